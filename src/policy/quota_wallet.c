#include "quetzalloft/quota_wallet.h"
#include "quetzalloft/clock.h"

#include <math.h>
#include <string.h>

/* Shortest time between two calls to the leader. */
#define ASK_INTERVAL_US (20 * QL_US_PER_MS)
#define DEMAND_TIME_CONSTANT_S 1.0
/*
 * Time for which a node fetches tokens ahead. It covers some calls to the
 * leader, and is well within the validity, so that the tokens are spent.
 */
#define PREFETCH_S 0.1
/* Longest time for which a team is refused without asking again. */
#define NONE_MAX_US (60 * QL_US_PER_S)
/* Time without a request after which an account is forgotten. */
#define ACCOUNT_IDLE_US (10 * QL_US_PER_S)
/* Most tokens to ask ahead for. */
#define PREFETCH_MAX 100000.0

/* Tokens that end at the same time. */
typedef struct {
	uint64_t end_us;
	uint64_t n;
} batch_t;

static void account_free(void *data)
{
	ql_quota_account_t *account = data;

	g_array_free(account->batches, TRUE);
	g_free(account);
}

void ql_quota_wallet_init(ql_quota_wallet_t *wallet)
{
	memset(wallet, 0, sizeof(*wallet));
	wallet->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 account_free);
}

void ql_quota_wallet_finish(ql_quota_wallet_t *wallet)
{
	g_hash_table_destroy(wallet->accounts);
}

static ql_quota_account_t *get_account(ql_quota_wallet_t *wallet,
				       const char *team)
{
	ql_quota_account_t *account =
		g_hash_table_lookup(wallet->accounts, team);

	if (account)
		return account;
	account = g_new0(ql_quota_account_t, 1);
	g_strlcpy(account->name, team, sizeof(account->name));
	account->batches = g_array_new(FALSE, FALSE, sizeof(batch_t));
	g_queue_init(&account->waiters);
	g_hash_table_insert(wallet->accounts, account->name, account);
	return account;
}

static void drop_ended(ql_quota_account_t *account, uint64_t now_us)
{
	const batch_t *batch;
	guint i = 0;

	while (i < account->batches->len) {
		batch = &g_array_index(account->batches, batch_t, i);
		if (batch->end_us <= now_us || !batch->n)
			g_array_remove_index(account->batches, i);
		else
			i++;
	}
}

static uint64_t tokens_left(const ql_quota_account_t *account, uint64_t now_us)
{
	const batch_t *batch;
	uint64_t n = 0;
	guint i;

	for (i = 0; i < account->batches->len; i++) {
		batch = &g_array_index(account->batches, batch_t, i);
		if (batch->end_us > now_us)
			n += batch->n;
	}
	return n;
}

/* Takes the token that ends first. Returns its end, or 0 if there is none. */
static uint64_t take_token(ql_quota_account_t *account, uint64_t now_us)
{
	batch_t *batch;

	drop_ended(account, now_us);
	if (!account->batches->len)
		return 0;
	batch = &g_array_index(account->batches, batch_t, 0);
	batch->n--;
	return batch->end_us;
}

static void add_tokens(ql_quota_account_t *account, uint64_t end_us, uint64_t n)
{
	batch_t added = {.end_us = end_us, .n = n};
	batch_t *batch;
	guint i;

	for (i = 0; i < account->batches->len; i++) {
		batch = &g_array_index(account->batches, batch_t, i);
		if (batch->end_us > end_us)
			break;
		if (batch->end_us == end_us) {
			batch->n += n;
			return;
		}
	}
	g_array_insert_val(account->batches, i, added);
}

static double decayed_demand(const ql_quota_account_t *account, uint64_t now_us)
{
	double age_s =
		now_us > account->demand_us
			? (double)(now_us - account->demand_us) / QL_US_PER_S
			: 0;

	return account->demand_per_s * exp(-age_s / DEMAND_TIME_CONSTANT_S);
}

static void count_demand(ql_quota_account_t *account, uint64_t now_us)
{
	account->demand_per_s =
		decayed_demand(account, now_us) + 1 / DEMAND_TIME_CONSTANT_S;
	account->demand_us = now_us;
}

/* Returns the number of tokens to hold for requests that are expected soon. */
static uint64_t prefetch_target(const ql_quota_account_t *account,
				uint64_t now_us)
{
	double target = floor(decayed_demand(account, now_us) * PREFETCH_S);

	return (uint64_t)MIN(target, PREFETCH_MAX);
}

/* Fills in what to ask for a team; returns false if nothing has to be asked. */
static bool fill_ask(ql_quota_account_t *account, uint64_t now_us,
		     ql_quota_ask_t *ask)
{
	uint64_t target = prefetch_target(account, now_us);
	uint64_t held;

	drop_ended(account, now_us);
	held = tokens_left(account, now_us);
	if (now_us < account->none_before_us ||
	    now_us < account->unlimited_until_us)
		return false;
	ask->least = account->waiters.length;
	ask->more = target > held ? (uint32_t)(target - held) : 0;
	return ask->least || (ask->more && held * 2 <= target);
}

static ql_quota_result_t taken(ql_quota_account_t *account, uint64_t end_us)
{
	const ql_quota_result_t result = {
		.verdict = QL_QUOTA_TAKEN,
		.end_us = end_us,
	};

	account->usage.used++;
	return result;
}

static ql_quota_result_t refused(ql_quota_account_t *account, uint64_t now_us)
{
	const ql_quota_result_t result = {
		.verdict = QL_QUOTA_NONE,
		.retry_us = account->none_before_us - now_us,
	};

	account->usage.refused++;
	return result;
}

static ql_quota_result_t wait_for_token(ql_quota_account_t *account,
					ql_quota_waiter_t *waiter)
{
	const ql_quota_result_t result = {.verdict = QL_QUOTA_WAIT};

	waiter->account = account;
	waiter->link.data = waiter;
	g_queue_push_tail_link(&account->waiters, &waiter->link);
	return result;
}

/* Those that wait already are served first. */
static ql_quota_verdict_t decide(const ql_quota_account_t *account,
				 uint64_t now_us)
{
	if (now_us < account->unlimited_until_us)
		return QL_QUOTA_TAKEN;
	if (!account->waiters.length && tokens_left(account, now_us))
		return QL_QUOTA_TAKEN;
	return now_us < account->none_before_us ? QL_QUOTA_NONE : QL_QUOTA_WAIT;
}

ql_quota_look_t ql_quota_wallet_look(const ql_quota_wallet_t *wallet,
				     const char *team, uint64_t now_us)
{
	const ql_quota_account_t *account =
		g_hash_table_lookup(wallet->accounts, team);
	ql_quota_look_t look = {.verdict = QL_QUOTA_WAIT};

	if (!account)
		return look;
	look.verdict = decide(account, now_us);
	look.unlimited = now_us < account->unlimited_until_us;
	look.tokens = tokens_left(account, now_us);
	if (now_us < account->none_before_us)
		look.retry_us = account->none_before_us - now_us;
	return look;
}

ql_quota_result_t ql_quota_wallet_take(ql_quota_wallet_t *wallet,
				       const char *team,
				       ql_quota_waiter_t *waiter,
				       uint64_t now_us)
{
	ql_quota_account_t *account = get_account(wallet, team);
	ql_quota_ask_t unused;
	ql_quota_result_t result;
	ql_quota_verdict_t verdict;

	count_demand(account, now_us);
	if (now_us < account->unlimited_until_us)
		return taken(account, 0);
	verdict = decide(account, now_us);
	if (verdict == QL_QUOTA_TAKEN)
		result = taken(account, take_token(account, now_us));
	else if (verdict == QL_QUOTA_NONE)
		result = refused(account, now_us);
	else
		result = wait_for_token(account, waiter);
	wallet->wanted |= fill_ask(account, now_us, &unused);
	return result;
}

void ql_quota_wallet_leave(ql_quota_waiter_t *waiter)
{
	if (!waiter->account)
		return;
	g_queue_unlink(&waiter->account->waiters, &waiter->link);
	waiter->account = NULL;
}

void ql_quota_wallet_put_back(ql_quota_wallet_t *wallet, const char *team,
			      uint64_t end_us)
{
	ql_quota_account_t *account = get_account(wallet, team);

	if (account->usage.used)
		account->usage.used--;
	if (end_us)
		add_tokens(account, end_us, 1);
}

uint64_t ql_quota_wallet_next_ask_us(const ql_quota_wallet_t *wallet)
{
	if (wallet->asking || !wallet->wanted)
		return UINT64_MAX;
	return wallet->next_ask_us;
}

static bool is_idle(ql_quota_account_t *account, uint64_t now_us)
{
	return !account->waiters.length && !account->usage.used &&
	       !account->usage.refused && now_us >= account->none_before_us &&
	       now_us > account->demand_us + ACCOUNT_IDLE_US;
}

bool ql_quota_wallet_begin_ask(ql_quota_wallet_t *wallet, uint64_t now_us)
{
	ql_quota_team_ask_t *asked;
	ql_quota_account_t *account;
	GHashTableIter iter;
	gpointer value;

	g_assert(!wallet->asking);
	wallet->n_asked = 0;
	wallet->wanted = false;
	g_hash_table_iter_init(&iter, wallet->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account = value;
		if (is_idle(account, now_us)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (wallet->n_asked == QL_QUOTA_ASKS_MAX) {
			wallet->wanted = true;
			break;
		}
		asked = &wallet->asked[wallet->n_asked];
		if (!fill_ask(account, now_us, &asked->ask))
			continue;
		memcpy(asked->team, account->name, sizeof(asked->team));
		wallet->n_asked++;
	}
	wallet->asking = wallet->n_asked > 0;
	wallet->asked_us = now_us;
	wallet->next_ask_us = now_us + ASK_INTERVAL_US;
	return wallet->asking;
}

/* Tells waiting requests that they may run, as far as there are tokens. */
static void serve_waiters(ql_quota_account_t *account, uint64_t now_us)
{
	ql_quota_waiter_t *waiter;
	ql_quota_result_t result;
	uint64_t end_us = 0;
	GList *link;

	while ((link = g_queue_peek_head_link(&account->waiters))) {
		if (now_us >= account->unlimited_until_us) {
			end_us = take_token(account, now_us);
			if (!end_us)
				return;
		}
		waiter = link->data;
		ql_quota_wallet_leave(waiter);
		result = taken(account, end_us);
		waiter->decided(waiter->data, &result);
	}
}

static void refuse_waiters(ql_quota_account_t *account, uint64_t now_us)
{
	ql_quota_waiter_t *waiter;
	ql_quota_result_t result;
	GList *link;

	while ((link = g_queue_peek_head_link(&account->waiters))) {
		waiter = link->data;
		ql_quota_wallet_leave(waiter);
		result = refused(account, now_us);
		waiter->decided(waiter->data, &result);
	}
}

static void apply_grant(ql_quota_account_t *account, const ql_quota_ask_t *ask,
			const ql_quota_grant_t *grant, uint64_t end_us,
			uint64_t now_us)
{
	if (grant->unlimited)
		account->unlimited_until_us = end_us;
	if (grant->granted)
		add_tokens(account, end_us, grant->granted);
	serve_waiters(account, now_us);
	if (grant->unlimited || grant->granted >= ask->least)
		return;
	account->none_before_us =
		now_us + CLAMP(grant->wait_us, 1, NONE_MAX_US);
	refuse_waiters(account, now_us);
}

/*
 * Requests that came while the call was in flight, and teams whose answer came
 * too late, are asked for in the next call.
 */
static void end_ask(ql_quota_wallet_t *wallet, uint64_t now_us)
{
	ql_quota_account_t *account;
	ql_quota_ask_t unused;
	GHashTableIter iter;
	gpointer value;

	wallet->asking = false;
	g_hash_table_iter_init(&iter, wallet->accounts);
	while (!wallet->wanted && g_hash_table_iter_next(&iter, NULL, &value)) {
		account = value;
		wallet->wanted = fill_ask(account, now_us, &unused);
	}
}

void ql_quota_wallet_handle_reply(ql_quota_wallet_t *wallet,
				  const ql_quota_grant_t *grants,
				  size_t n_grants, uint64_t validity_us,
				  uint64_t now_us)
{
	uint64_t end_us =
		wallet->asked_us + MIN(validity_us, QL_QUOTA_VALIDITY_US);
	const ql_quota_team_ask_t *asked;
	size_t i;

	g_assert(wallet->asking);
	for (i = 0; i < MIN(n_grants, wallet->n_asked); i++) {
		asked = &wallet->asked[i];
		if (now_us < end_us)
			apply_grant(get_account(wallet, asked->team),
				    &asked->ask, &grants[i], end_us, now_us);
	}
	end_ask(wallet, now_us);
}

void ql_quota_wallet_handle_failure(ql_quota_wallet_t *wallet,
				    uint64_t retry_us, uint64_t now_us)
{
	g_assert(wallet->asking);
	wallet->next_ask_us = MAX(wallet->next_ask_us, now_us + retry_us);
	end_ask(wallet, now_us);
}
