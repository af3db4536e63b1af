#include "quetzalloft/quota_ledger.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#include <math.h>
#include <string.h>

/*
 * Shortest time after which a node whose team has no token left asks again. All
 * nodes ask for a team that sends too much; its tokens wait in the bucket.
 */
#define WAIT_MIN_US (50 * QL_US_PER_MS)
#define WAIT_MAX_US (60 * QL_US_PER_S)
/*
 * A bucket holds at least one token, or it could never give one out. Where
 * burst and slack are below one, a window may exceed the bound by that token.
 */
#define DEPTH_MIN 1.0

typedef struct {
	double rate_per_s;
	double depth;
	double tokens;
	uint64_t updated_us;
} bucket_t;

void ql_quota_ledger_init(ql_quota_ledger_t *ledger,
			  const ql_quota_ledger_opts_t *opts)
{
	g_assert(opts->window_us > 0);
	memset(ledger, 0, sizeof(*ledger));
	ledger->opts = *opts;
	ledger->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void ql_quota_ledger_finish(ql_quota_ledger_t *ledger)
{
	g_hash_table_destroy(ledger->buckets);
}

/*
 * The tokens of a new term begin empty: what the leader before has granted is
 * not known, and all of a burst may have been spent.
 */
static void begin_term(ql_quota_ledger_t *ledger,
		       const ql_quota_permit_t *permit)
{
	ledger->term = permit->term;
	ledger->start_us = permit->leading_since_us + QL_QUOTA_PERMIT_US;
	g_hash_table_remove_all(ledger->buckets);
}

int ql_quota_ledger_open(ql_quota_ledger_t *ledger,
			 const ql_quota_permit_t *permit, uint64_t now_us,
			 uint64_t *retry_us)
{
	*retry_us = 0;
	if (!permit->term)
		return QL_E_NOT_LEADER;
	if (permit->term != ledger->term)
		begin_term(ledger, permit);
	if (now_us < ledger->start_us) {
		*retry_us = ledger->start_us - now_us;
		return QL_E_PENDING;
	}
	if (!permit->confirmed_us ||
	    now_us >= permit->confirmed_us + QL_QUOTA_PERMIT_US)
		return QL_E_PENDING;
	return 0;
}

/*
 * What is spent in a window was granted in it or up to the validity before.
 * With window W, validity V, and part o of overshoot that may be used, rate and
 * depth are chosen so that, with the part s of the slack,
 *	depth + rate * (W + V) <= (rate_per_s * W + burst) * (1 + o) + s.
 */
static void set_limits(const ql_quota_ledger_t *ledger, const ql_team_t *team,
		       bucket_t *bucket)
{
	double window_s = (double)ledger->opts.window_us / QL_US_PER_S;
	double allowed = 1 + ledger->opts.overshoot * QL_QUOTA_OVERSHOOT_PART;
	double spent_s = window_s + (double)QL_QUOTA_VALIDITY_US / QL_US_PER_S;
	double spare_s = window_s * allowed - spent_s;

	bucket->rate_per_s =
		team->rate_per_s * MIN(1, window_s * allowed / spent_s);
	bucket->depth =
		team->burst * allowed + team->rate_per_s * MAX(0, spare_s);
	bucket->depth += ledger->opts.slack * QL_QUOTA_OVERSHOOT_PART;
	bucket->depth = MAX(bucket->depth, DEPTH_MIN);
}

static void refill(bucket_t *bucket, double rate_per_s, uint64_t now_us)
{
	if (now_us <= bucket->updated_us)
		return;
	bucket->tokens += rate_per_s * (double)(now_us - bucket->updated_us) /
			  QL_US_PER_S;
	bucket->updated_us = now_us;
}

static gboolean is_full(gpointer name, gpointer value, gpointer now_us)
{
	bucket_t *bucket = value;

	(void)name;
	refill(bucket, bucket->rate_per_s, *(const uint64_t *)now_us);
	bucket->tokens = MIN(bucket->tokens, bucket->depth);
	return bucket->tokens >= bucket->depth;
}

/*
 * A team that is removed keeps its bucket until that is full: if the team is
 * back earlier, it does not have its burst twice.
 */
static void forget_full_buckets(ql_quota_ledger_t *ledger, uint64_t now_us)
{
	if (g_hash_table_size(ledger->buckets) > QL_TEAMS_MAX)
		g_hash_table_foreach_remove(ledger->buckets, is_full, &now_us);
}

static bucket_t *bucket_new(ql_quota_ledger_t *ledger, const ql_team_t *team,
			    uint64_t now_us)
{
	bucket_t *bucket = g_new0(bucket_t, 1);

	forget_full_buckets(ledger, now_us);
	bucket->updated_us = ledger->start_us;
	set_limits(ledger, team, bucket);
	g_hash_table_insert(ledger->buckets, g_strdup(team->name), bucket);
	return bucket;
}

/* Returns the bucket of a team, filled up to the time. */
static bucket_t *get_bucket(ql_quota_ledger_t *ledger, const ql_team_t *team,
			    uint64_t now_us)
{
	bucket_t *bucket = g_hash_table_lookup(ledger->buckets, team->name);
	double rate_before;

	if (!bucket)
		bucket = bucket_new(ledger, team, now_us);
	/* When the limit changed is not known here: the lower rate counts. */
	rate_before = bucket->rate_per_s;
	set_limits(ledger, team, bucket);
	refill(bucket, MIN(rate_before, bucket->rate_per_s), now_us);
	bucket->tokens = MIN(bucket->tokens, bucket->depth);
	return bucket;
}

/* Returns the whole tokens of a bucket above a level. */
static uint32_t tokens_above(const bucket_t *bucket, double level)
{
	double above = floor(bucket->tokens - level);

	return above < 1	    ? 0
	       : above < UINT32_MAX ? (uint32_t)above
				    : UINT32_MAX;
}

static uint64_t wait_us(const bucket_t *bucket)
{
	double us = (1 - bucket->tokens) / bucket->rate_per_s * QL_US_PER_S;

	return (uint64_t)CLAMP(us, WAIT_MIN_US, WAIT_MAX_US);
}

ql_quota_grant_t ql_quota_ledger_grant(ql_quota_ledger_t *ledger,
				       const ql_team_t *team,
				       const ql_quota_ask_t *ask,
				       uint64_t now_us)
{
	ql_quota_grant_t grant = {0};
	bucket_t *bucket;

	if (!team || team->rate_per_s <= 0) {
		grant.unlimited = true;
		return grant;
	}
	bucket = get_bucket(ledger, team, now_us);
	grant.granted = MIN(ask->least, tokens_above(bucket, 0));
	bucket->tokens -= grant.granted;
	if (grant.granted < ask->least) {
		grant.wait_us = wait_us(bucket);
	} else {
		uint32_t more =
			MIN(ask->more, tokens_above(bucket, bucket->depth / 2));

		more = MIN(more, UINT32_MAX - grant.granted);
		bucket->tokens -= more;
		grant.granted += more;
	}
	return grant;
}
