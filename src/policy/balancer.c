#include "quetzalloft/balancer.h"
#include "quetzalloft/clock.h"

#include <math.h>
#include <string.h>

#define TARGETS_MAX 4096u
#define LATENCY_SMOOTHING 0.2
#define LATENCY_FLOOR_US 100.0
#define FAILING_SMOOTHING 0.1
/* A failure costs the work above it, and often a repeat. */
#define FAILURE_COST 10.0
/* What an endpoint of another failure domain has to save, since bytes between
 * domains are dear, in typical latencies. */
#define FAR_TYPICAL_TIMES 1.5
#define EJECT_FAILURES 5u
#define EJECT_US (2 * QL_US_PER_S)
#define EJECT_MAX_PERCENT 50u
#define SLOW_START_US (5 * QL_US_PER_S)
#define SLOW_START_FLOOR 0.1
/* Time without an answer that halves what is known of a latency. */
#define HALF_LIFE_US (5 * QL_US_PER_S)
#define EJECT_DOUBLINGS_MAX 5u
/* Up to this many endpoints are all looked at; of more, some are drawn. */
#define SCAN_MAX 16u
#define DRAWS_MAX 16u
#define LEVEL_FRESH_US (10 * QL_US_PER_MS)
#define LEVEL_HOLD_US (200 * QL_US_PER_MS)

static GArray *handles_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
}

static ql_handle_t handle_at(const GArray *handles, guint i)
{
	return g_array_index(handles, ql_handle_t, i);
}

static ql_target_t *target_at(const ql_balancer_t *balancer,
			      const GArray *handles, guint i)
{
	return ql_table_get(&balancer->targets, handle_at(handles, i));
}

void ql_balancer_init(ql_balancer_t *balancer, const ql_balancer_ops_t *ops,
		      const char *failure_domain, GRand *random)
{
	memset(balancer, 0, sizeof(*balancer));
	balancer->ops = ops;
	balancer->random = random;
	g_strlcpy(balancer->failure_domain, failure_domain,
		  sizeof(balancer->failure_domain));
	ql_table_init(&balancer->targets, sizeof(ql_target_t), TARGETS_MAX);
	balancer->by_gate =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	balancer->all = handles_new();
	balancer->near = handles_new();
	balancer->ejected = handles_new();
	balancer->candidates = handles_new();
}

void ql_balancer_finish(ql_balancer_t *balancer)
{
	g_array_free(balancer->candidates, TRUE);
	g_array_free(balancer->ejected, TRUE);
	g_array_free(balancer->near, TRUE);
	g_array_free(balancer->all, TRUE);
	g_hash_table_destroy(balancer->by_gate);
	ql_table_finish(&balancer->targets);
}

static ql_target_t *find_gate(const ql_balancer_t *balancer, const char *gate,
			      ql_handle_t *handle)
{
	void *value;

	*handle = QL_HANDLE_NONE;
	if (!g_hash_table_lookup_extended(balancer->by_gate, gate, NULL,
					  &value))
		return NULL;
	*handle = GPOINTER_TO_UINT(value);
	return ql_table_get(&balancer->targets, *handle);
}

static bool is_near(const ql_balancer_t *balancer, const ql_target_info_t *info)
{
	const char *place =
		info->placement[0] ? info->placement : info->failure_domain;

	return !strcmp(place, balancer->failure_domain);
}

static void list_target(ql_balancer_t *balancer, ql_target_t *target,
			ql_handle_t handle)
{
	target->position = balancer->all->len;
	g_array_append_val(balancer->all, handle);
	target->near_position = UINT32_MAX;
	if (!is_near(balancer, &target->info))
		return;
	target->near_position = balancer->near->len;
	g_array_append_val(balancer->near, handle);
}

/* The last entry takes the place of the one that is removed. */
static void unlist_target(ql_balancer_t *balancer, const ql_target_t *target)
{
	ql_target_t *last;

	last = target_at(balancer, balancer->all, balancer->all->len - 1);
	last->position = target->position;
	g_array_remove_index_fast(balancer->all, target->position);
	if (target->near_position == UINT32_MAX)
		return;
	last = target_at(balancer, balancer->near, balancer->near->len - 1);
	last->near_position = target->near_position;
	g_array_remove_index_fast(balancer->near, target->near_position);
}

static void forget(ql_balancer_t *balancer, ql_target_t *target,
		   ql_handle_t handle)
{
	unlist_target(balancer, target);
	g_hash_table_remove(balancer->by_gate, target->info.gate);
	ql_table_remove(&balancer->targets, handle);
}

ql_handle_t ql_balancer_add(ql_balancer_t *balancer,
			    const ql_target_info_t *info, uint64_t now_us)
{
	ql_handle_t handle;
	ql_target_t *target = find_gate(balancer, info->gate, &handle);
	void *row;

	if (target && target->info.incarnation == info->incarnation &&
	    is_near(balancer, &target->info) == is_near(balancer, info)) {
		target->info = *info;
		return handle;
	}
	if (target)
		forget(balancer, target, handle);
	handle = ql_table_insert(&balancer->targets, &row);
	if (handle == QL_HANDLE_NONE)
		return handle;
	target = row;
	target->info = *info;
	target->added_us = now_us;
	g_hash_table_insert(balancer->by_gate, g_strdup(info->gate),
			    GUINT_TO_POINTER(handle));
	list_target(balancer, target, handle);
	balancer->level = 0;
	return handle;
}

void ql_balancer_remove(ql_balancer_t *balancer, const char *gate)
{
	ql_handle_t handle;
	ql_target_t *target = find_gate(balancer, gate, &handle);

	if (target)
		forget(balancer, target, handle);
}

static bool was_tried(ql_handle_t handle, const ql_handle_t *tried,
		      size_t n_tried)
{
	size_t i;

	for (i = 0; i < n_tried; i++)
		if (tried[i] == handle)
			return true;
	return false;
}

/* Which endpoints a pass may take, best first. */
typedef enum {
	PASS_OWN_DOMAIN,
	PASS_HEALTHY,
	PASS_ANY,
	N_PASSES,
} pass_t;

/* What a pass looks for. */
typedef struct {
	pass_t pass;
	const ql_handle_t *tried;
	size_t n_tried;
	uint64_t now_us;
} search_t;

/* Part of its work that an endpoint takes; less after a cold start. */
static double warmth(const ql_target_t *target, uint64_t now_us)
{
	double age = (double)(now_us - target->added_us) / SLOW_START_US;

	return CLAMP(age, SLOW_START_FLOOR, 1.0);
}

static bool has_room(const ql_target_t *target, uint64_t now_us)
{
	uint32_t slots = MAX(target->info.slots, 1);

	return target->refuse_until_us <= now_us && target->in_progress < slots;
}

static bool has_connection(const ql_target_t *target)
{
	return !target->info.connections ||
	       target->in_progress < target->info.connections;
}

/* After an ejection one attempt at a time shows whether it answers again. */
static bool is_healthy(const ql_target_t *target, uint64_t now_us)
{
	if (target->ejected_until_us > now_us)
		return false;
	return !target->ejections || !target->in_progress;
}

static bool is_candidate(const ql_target_t *target, ql_handle_t handle,
			 const search_t *search)
{
	if (!has_connection(target) ||
	    was_tried(handle, search->tried, search->n_tried))
		return false;
	if (search->pass == PASS_ANY)
		return true;
	if (!is_healthy(target, search->now_us))
		return false;
	return search->pass == PASS_HEALTHY || has_room(target, search->now_us);
}

static void try_candidate(ql_balancer_t *balancer, ql_handle_t handle,
			  const search_t *search)
{
	const ql_target_t *target = ql_table_get(&balancer->targets, handle);

	if (is_candidate(target, handle, search))
		g_array_append_val(balancer->candidates, handle);
}

static bool is_listed(const GArray *handles, ql_handle_t handle)
{
	guint i;

	for (i = 0; i < handles->len; i++)
		if (handle_at(handles, i) == handle)
			return true;
	return false;
}

static bool is_near_at(const ql_balancer_t *balancer, ql_handle_t handle)
{
	const ql_target_t *target = ql_table_get(&balancer->targets, handle);

	return target->near_position != UINT32_MAX;
}

/* Draws two candidates; no more are needed by any policy. */
static void draw(ql_balancer_t *balancer, const GArray *handles,
		 const search_t *search, bool far_only)
{
	guint wanted = balancer->candidates->len + 2;
	ql_handle_t handle;
	guint i;

	for (i = 0; i < DRAWS_MAX && balancer->candidates->len < wanted; i++) {
		handle = handle_at(
			handles, (guint)g_rand_int_range(balancer->random, 0,
							 (gint32)handles->len));
		if (!is_listed(balancer->candidates, handle) &&
		    !(far_only && is_near_at(balancer, handle)))
			try_candidate(balancer, handle, search);
	}
}

static void scan(ql_balancer_t *balancer, const GArray *handles,
		 const search_t *search)
{
	guint i;

	for (i = 0; i < handles->len; i++)
		try_candidate(balancer, handle_at(handles, i), search);
}

static void draw_some(ql_balancer_t *balancer, const GArray *handles,
		      const search_t *search)
{
	bool by_domain = balancer->ops->weighs_domains;

	if (by_domain && balancer->near->len)
		draw(balancer, balancer->near, search, false);
	draw(balancer, handles, search, by_domain);
}

static void collect(ql_balancer_t *balancer, const search_t *search)
{
	const GArray *handles = search->pass == PASS_OWN_DOMAIN ? balancer->near
								: balancer->all;

	g_array_set_size(balancer->candidates, 0);
	if (handles->len > SCAN_MAX)
		draw_some(balancer, handles, search);
	if (!balancer->candidates->len)
		scan(balancer, handles, search);
}

static void find_candidates(ql_balancer_t *balancer, search_t *search)
{
	int pass =
		balancer->ops->weighs_domains ? PASS_HEALTHY : PASS_OWN_DOMAIN;

	for (; pass < N_PASSES; pass++) {
		search->pass = (pass_t)pass;
		collect(balancer, search);
		if (balancer->candidates->len)
			return;
	}
}

ql_handle_t ql_balancer_pick(ql_balancer_t *balancer, const ql_pick_t *pick,
			     uint64_t now_us)
{
	search_t search = {
		.tried = pick->tried,
		.n_tried = pick->n_tried,
		.now_us = now_us,
	};
	ql_target_t *target;
	ql_handle_t handle;

	find_candidates(balancer, &search);
	if (!balancer->candidates->len && pick->n_tried) {
		search.tried = pick->tried + pick->n_tried - 1;
		search.n_tried = balancer->all->len > 1 ? 1 : 0;
		find_candidates(balancer, &search);
	}
	if (!balancer->candidates->len)
		return QL_HANDLE_NONE;
	handle = balancer->ops->pick(balancer, pick, now_us);
	target = ql_table_get(&balancer->targets, handle);
	if (!target->in_progress++)
		target->silent_us = now_us;
	return handle;
}

/* What is left of what was learned then, without news since. */
static double left_of(double value, uint64_t learned_us, uint64_t now_us)
{
	return value * exp2(-(double)(now_us - learned_us) / HALF_LIFE_US);
}

/* What is known of its latency, and less the longer nothing was heard. */
static double expected_latency_us(const ql_balancer_t *balancer,
				  const ql_target_t *target, uint64_t now_us)
{
	if (target->latency_us <= 0)
		return MAX(balancer->latency_us, LATENCY_FLOOR_US);
	return MAX(left_of(target->latency_us, target->heard_us, now_us),
		   LATENCY_FLOOR_US);
}

static ql_handle_t pick_random(ql_balancer_t *balancer,
			       const ql_pick_t *pick G_GNUC_UNUSED,
			       uint64_t now_us G_GNUC_UNUSED)
{
	const GArray *candidates = balancer->candidates;

	return handle_at(candidates,
			 (guint)g_rand_int_range(balancer->random, 0,
						 (gint32)candidates->len));
}

/* Expected cost of one more request; an endpoint in slow start costs more. */
static double cost(const ql_balancer_t *balancer, const ql_target_t *target,
		   uint64_t now_us)
{
	double latency = expected_latency_us(balancer, target, now_us);
	double cost =
		latency * (target->in_progress + 1) / warmth(target, now_us);

	return target->refuse_until_us > now_us ? cost * 100 : cost;
}

/* What an endpoint reports of itself breaks ties only. */
static bool is_better(const ql_balancer_t *balancer, const ql_target_t *a,
		      const ql_target_t *b, uint64_t now_us)
{
	double cost_a = cost(balancer, a, now_us);
	double cost_b = cost(balancer, b, now_us);

	if (cost_a < cost_b || cost_a > cost_b)
		return cost_a < cost_b;
	return a->level <= b->level;
}

/* Puts two of the candidates, if there are as many, at the start. */
static void shuffle_two(ql_balancer_t *balancer, guint first, guint n)
{
	ql_handle_t *handles = (ql_handle_t *)balancer->candidates->data;
	ql_handle_t handle;
	guint i, other;

	for (i = first; i < first + 2 && i + 1 < first + n; i++) {
		other = (guint)g_rand_int_range(balancer->random, (gint32)i,
						(gint32)(first + n));
		handle = handles[i];
		handles[i] = handles[other];
		handles[other] = handle;
	}
}

static ql_handle_t pick_two_choices(ql_balancer_t *balancer,
				    const ql_pick_t *pick G_GNUC_UNUSED,
				    uint64_t now_us)
{
	const GArray *candidates = balancer->candidates;

	shuffle_two(balancer, 0, candidates->len);
	if (candidates->len > 1 &&
	    !is_better(balancer, target_at(balancer, candidates, 0),
		       target_at(balancer, candidates, 1), now_us))
		return handle_at(candidates, 1);
	return handle_at(candidates, 0);
}

/* What is known of its slowness, and less the longer nothing was heard. */
static double expected_slowness(const ql_target_t *target, uint64_t now_us)
{
	if (target->slowness <= 0)
		return 1;
	return 1 + left_of(target->slowness - 1, target->heard_us, now_us);
}

/* The part of the attempts that is likely to fail there. */
static double expected_failing(const ql_target_t *target, uint64_t now_us)
{
	return left_of(target->failing, target->failing_us, now_us);
}

/* Time in which the endpoint is likely to answer one more request. */
static double expected_us(const ql_balancer_t *balancer,
			  const ql_target_t *target, const ql_pick_t *pick,
			  uint64_t now_us)
{
	double typical_us = pick->typical_us > 0 ? pick->typical_us
						 : MAX(balancer->latency_us,
						       LATENCY_FLOOR_US);
	double load = (double)target->in_progress / MAX(target->info.slots, 1);
	double time_us = typical_us * expected_slowness(target, now_us) *
			 (1 + load) / warmth(target, now_us);

	time_us *= 1 + FAILURE_COST * expected_failing(target, now_us);
	/* Whoever has said nothing for so long will not be faster. */
	if (target->in_progress)
		time_us = MAX(time_us, (double)(now_us - target->silent_us));
	if (target->refuse_until_us > now_us)
		time_us += (double)(target->refuse_until_us - now_us);
	if (target->near_position == UINT32_MAX)
		time_us += FAR_TYPICAL_TIMES * typical_us;
	return time_us;
}

/* Moves the candidates of the own failure domain to the start. */
static guint part_by_domain(ql_balancer_t *balancer)
{
	ql_handle_t *handles = (ql_handle_t *)balancer->candidates->data;
	ql_handle_t handle;
	guint i, n_near = 0;

	for (i = 0; i < balancer->candidates->len; i++) {
		handle = handles[i];
		if (!is_near_at(balancer, handle))
			continue;
		handles[i] = handles[n_near];
		handles[n_near++] = handle;
	}
	return n_near;
}

static ql_handle_t pick_least_time(ql_balancer_t *balancer,
				   const ql_pick_t *pick, uint64_t now_us)
{
	const GArray *candidates = balancer->candidates;
	guint n_near = part_by_domain(balancer);
	guint drawn[] = {0, 1, n_near, n_near + 1};
	guint end[] = {n_near, n_near, candidates->len, candidates->len};
	ql_handle_t best = QL_HANDLE_NONE;
	double time_us, best_us = 0;
	size_t i;

	shuffle_two(balancer, 0, n_near);
	shuffle_two(balancer, n_near, candidates->len - n_near);
	for (i = 0; i < G_N_ELEMENTS(drawn); i++) {
		if (drawn[i] >= end[i])
			continue;
		time_us = expected_us(balancer,
				      target_at(balancer, candidates, drawn[i]),
				      pick, now_us);
		if (best != QL_HANDLE_NONE && time_us >= best_us)
			continue;
		best = handle_at(candidates, drawn[i]);
		best_us = time_us;
	}
	return best;
}

const ql_balancer_ops_t ql_balancer_random = {"random", false, pick_random};
const ql_balancer_ops_t ql_balancer_two_choices = {"two_choices", false,
						   pick_two_choices};
const ql_balancer_ops_t ql_balancer_least_time = {"least_time", true,
						  pick_least_time};

/* Drops from the list what has answered since or is gone. */
static uint32_t count_ejected(ql_balancer_t *balancer)
{
	const ql_target_t *target;
	guint i = 0;

	while (i < balancer->ejected->len) {
		target = target_at(balancer, balancer->ejected, i);
		if (target && target->ejections)
			i++;
		else
			g_array_remove_index_fast(balancer->ejected, i);
	}
	return balancer->ejected->len;
}

static void note_failure(ql_balancer_t *balancer, ql_target_t *target,
			 ql_handle_t handle, uint64_t now_us)
{
	uint32_t n_allowed = balancer->targets.count * EJECT_MAX_PERCENT / 100;
	uint32_t doublings;

	if (++target->failures < EJECT_FAILURES && !target->ejections)
		return;
	if (!target->ejections) {
		if (count_ejected(balancer) >= n_allowed)
			return;
		g_array_append_val(balancer->ejected, handle);
	}
	doublings = MIN(target->ejections, EJECT_DOUBLINGS_MAX);
	target->ejections++;
	target->ejected_until_us = now_us + ((uint64_t)EJECT_US << doublings);
	target->failures = 0;
}

static double moved(double mean, double value)
{
	return mean <= 0 ? value : mean + LATENCY_SMOOTHING * (value - mean);
}

static void note_slowness(const ql_balancer_t *balancer, ql_target_t *target,
			  const ql_attempt_result_t *result, uint64_t now_us)
{
	double typical_us = result->typical_us > 0 ? result->typical_us
						   : balancer->latency_us;
	double slowness =
		(double)result->latency_us / MAX(typical_us, LATENCY_FLOOR_US);
	double known =
		target->slowness > 0 ? expected_slowness(target, now_us) : 0;

	target->slowness = moved(known, slowness);
}

static void note_answer(ql_balancer_t *balancer, ql_target_t *target,
			const ql_attempt_result_t *result, uint64_t now_us)
{
	double latency_us = (double)result->latency_us;
	double known_us =
		target->latency_us > 0
			? expected_latency_us(balancer, target, now_us)
			: 0;

	target->failures = 0;
	target->ejections = 0;
	target->ejected_until_us = 0;
	target->latency_us = moved(known_us, latency_us);
	balancer->latency_us = moved(balancer->latency_us, latency_us);
	note_slowness(balancer, target, result, now_us);
	target->heard_us = now_us;
}

/* Whether the endpoint itself, or the way to it, is to blame. */
static bool is_failure(const ql_attempt_result_t *result)
{
	switch (result->reason) {
	case QL_REASON_CONNECT_FAILED:
	case QL_REASON_CONNECTION_LOST:
	case QL_REASON_BAD_ANSWER:
	case QL_REASON_ENDPOINT_REFUSED:
		return true;
	default:
		return result->failed;
	}
}

static void note_failing(ql_target_t *target, bool failed, uint64_t now_us)
{
	double known = expected_failing(target, now_us);

	target->failing = known + FAILING_SMOOTHING * ((double)failed - known);
	target->failing_us = now_us;
}

void ql_balancer_done(ql_balancer_t *balancer, ql_handle_t handle,
		      const ql_attempt_result_t *result, uint64_t now_us)
{
	ql_target_t *target = ql_table_get(&balancer->targets, handle);

	if (!target)
		return;
	if (target->in_progress)
		target->in_progress--;
	target->silent_us = now_us;
	if (result->has_level) {
		target->level = result->level;
		target->level_us = now_us;
		balancer->level = MIN(balancer->level, result->level);
	}
	if (result->retry_after_us)
		target->refuse_until_us = now_us + result->retry_after_us;
	if (result->outcome == QL_OUTCOME_ANSWERED || is_failure(result))
		note_failing(target, is_failure(result), now_us);
	if (result->outcome == QL_OUTCOME_ANSWERED)
		note_answer(balancer, target, result, now_us);
	else if (result->reason == QL_REASON_CONNECT_FAILED ||
		 result->reason == QL_REASON_CONNECTION_LOST ||
		 result->reason == QL_REASON_BAD_ANSWER)
		note_failure(balancer, target, handle, now_us);
}

static uint32_t least_level(const ql_balancer_t *balancer, uint64_t now_us)
{
	uint32_t level = UINT32_MAX;
	const ql_target_t *target;
	guint i;

	for (i = 0; i < balancer->all->len && level; i++) {
		target = target_at(balancer, balancer->all, i);
		level = MIN(level, now_us - target->level_us < LEVEL_HOLD_US
					   ? target->level
					   : 0);
	}
	return level == UINT32_MAX ? 0 : level;
}

uint32_t ql_balancer_level(ql_balancer_t *balancer, uint64_t now_us)
{
	bool is_large = balancer->all->len > SCAN_MAX;

	if (is_large && now_us - balancer->level_us < LEVEL_FRESH_US)
		return balancer->level;
	balancer->level = least_level(balancer, now_us);
	balancer->level_us = now_us;
	return balancer->level;
}
