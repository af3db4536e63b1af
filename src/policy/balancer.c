#include "quetzalloft/balancer.h"
#include "quetzalloft/clock.h"

#include <string.h>

#define TARGETS_MAX 4096u
#define LATENCY_SMOOTHING 0.2
#define LATENCY_FLOOR_US 100.0
#define EJECT_FAILURES 5u
#define EJECT_US (2 * QL_US_PER_S)
#define EJECT_MAX_PERCENT 50u
#define SLOW_START_US (5 * QL_US_PER_S)
#define SLOW_START_FLOOR 0.1
#define LEVEL_HOLD_US (200 * QL_US_PER_MS)

void ql_balancer_init(ql_balancer_t *balancer, const ql_balancer_ops_t *ops,
		      const char *failure_domain, GRand *random)
{
	memset(balancer, 0, sizeof(*balancer));
	balancer->ops = ops;
	balancer->random = random;
	g_strlcpy(balancer->failure_domain, failure_domain,
		  sizeof(balancer->failure_domain));
	ql_table_init(&balancer->targets, sizeof(ql_target_t), TARGETS_MAX);
	balancer->candidates = g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
}

void ql_balancer_finish(ql_balancer_t *balancer)
{
	g_array_free(balancer->candidates, TRUE);
	ql_table_finish(&balancer->targets);
}

static ql_target_t *find_gate(const ql_balancer_t *balancer, const char *gate,
			      ql_handle_t *handle)
{
	uint32_t cursor = 0;
	ql_target_t *target;

	while ((target = ql_table_next(&balancer->targets, &cursor, handle)))
		if (!strcmp(target->info.gate, gate))
			return target;
	*handle = QL_HANDLE_NONE;
	return NULL;
}

ql_handle_t ql_balancer_add(ql_balancer_t *balancer,
			    const ql_target_info_t *info, uint64_t now_us)
{
	ql_handle_t handle;
	ql_target_t *target = find_gate(balancer, info->gate, &handle);
	void *row;

	if (target && target->info.incarnation == info->incarnation) {
		target->info = *info;
		return handle;
	}
	if (target)
		ql_table_remove(&balancer->targets, handle);
	handle = ql_table_insert(&balancer->targets, &row);
	if (handle == QL_HANDLE_NONE)
		return handle;
	target = row;
	target->info = *info;
	target->added_us = now_us;
	return handle;
}

void ql_balancer_remove(ql_balancer_t *balancer, const char *gate)
{
	ql_handle_t handle;

	if (find_gate(balancer, gate, &handle))
		ql_table_remove(&balancer->targets, handle);
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

/* Which endpoints a pass over the table may take, best first. */
typedef enum {
	PASS_OWN_DOMAIN,
	PASS_HEALTHY,
	PASS_ANY,
	N_PASSES,
} pass_t;

static bool has_room(const ql_target_t *target, uint64_t now_us)
{
	return target->refuse_until_us <= now_us &&
	       target->in_progress < target->info.slots;
}

static bool is_candidate(const ql_balancer_t *balancer,
			 const ql_target_t *target, pass_t pass,
			 uint64_t now_us)
{
	if (pass == PASS_ANY)
		return true;
	if (target->ejected_until_us > now_us)
		return false;
	if (pass == PASS_HEALTHY)
		return true;
	return has_room(target, now_us) &&
	       !strcmp(target->info.failure_domain, balancer->failure_domain);
}

static void collect(ql_balancer_t *balancer, const ql_handle_t *tried,
		    size_t n_tried, pass_t pass, uint64_t now_us)
{
	uint32_t cursor = 0;
	ql_handle_t handle;
	ql_target_t *target;

	g_array_set_size(balancer->candidates, 0);
	while ((target = ql_table_next(&balancer->targets, &cursor, &handle)))
		if (!was_tried(handle, tried, n_tried) &&
		    is_candidate(balancer, target, pass, now_us))
			g_array_append_val(balancer->candidates, handle);
}

ql_handle_t ql_balancer_pick(ql_balancer_t *balancer, const ql_handle_t *tried,
			     size_t n_tried, uint64_t now_us)
{
	ql_target_t *target;
	ql_handle_t handle;
	int pass;

	for (pass = PASS_OWN_DOMAIN; pass < N_PASSES; pass++) {
		collect(balancer, tried, n_tried, pass, now_us);
		if (balancer->candidates->len)
			break;
	}
	if (!balancer->candidates->len)
		return QL_HANDLE_NONE;
	handle = balancer->ops->pick(balancer,
				     (ql_handle_t *)balancer->candidates->data,
				     balancer->candidates->len, now_us);
	target = ql_table_get(&balancer->targets, handle);
	target->in_progress++;
	return handle;
}

static ql_handle_t pick_random(ql_balancer_t *balancer,
			       const ql_handle_t *candidates,
			       guint n_candidates,
			       uint64_t now_us G_GNUC_UNUSED)
{
	return candidates[g_rand_int_range(balancer->random, 0,
					   (gint32)n_candidates)];
}

/* Expected cost of one more request; an endpoint in slow start costs more. */
static double cost(const ql_target_t *target, uint64_t now_us)
{
	double latency = MAX(target->latency_us, LATENCY_FLOOR_US);
	double age = (double)(now_us - target->added_us) / SLOW_START_US;
	double warmth = CLAMP(age, SLOW_START_FLOOR, 1.0);
	double cost = latency * (target->in_progress + 1) / warmth;

	return target->refuse_until_us > now_us || target->info.stale
		       ? cost * 100
		       : cost;
}

static ql_handle_t pick_two_choices(ql_balancer_t *balancer,
				    const ql_handle_t *candidates,
				    guint n_candidates, uint64_t now_us)
{
	gint32 n = (gint32)n_candidates;
	gint32 first = g_rand_int_range(balancer->random, 0, n);
	gint32 second;
	const ql_target_t *a, *b;

	if (n == 1)
		return candidates[0];
	second = g_rand_int_range(balancer->random, 0, n - 1);
	if (second >= first)
		second++;
	a = ql_table_get(&balancer->targets, candidates[first]);
	b = ql_table_get(&balancer->targets, candidates[second]);
	return cost(a, now_us) <= cost(b, now_us) ? candidates[first]
						  : candidates[second];
}

const ql_balancer_ops_t ql_balancer_random = {"random", pick_random};
const ql_balancer_ops_t ql_balancer_two_choices = {"two_choices",
						   pick_two_choices};

static uint32_t count_ejected(const ql_balancer_t *balancer, uint64_t now_us)
{
	uint32_t cursor = 0, n_ejected = 0;
	ql_handle_t handle;
	const ql_target_t *target;

	while ((target = ql_table_next(&balancer->targets, &cursor, &handle)))
		if (target->ejected_until_us > now_us)
			n_ejected++;
	return n_ejected;
}

static void note_failure(ql_balancer_t *balancer, ql_target_t *target,
			 uint64_t now_us)
{
	uint32_t n_allowed = balancer->targets.count * EJECT_MAX_PERCENT / 100;

	if (++target->failures < EJECT_FAILURES)
		return;
	if (count_ejected(balancer, now_us) >= n_allowed)
		return;
	target->ejected_until_us = now_us + EJECT_US;
	target->failures = 0;
}

static void note_answer(ql_target_t *target, uint64_t latency_us)
{
	target->failures = 0;
	if (target->latency_us <= 0)
		target->latency_us = (double)latency_us;
	target->latency_us +=
		LATENCY_SMOOTHING * ((double)latency_us - target->latency_us);
}

void ql_balancer_done(ql_balancer_t *balancer, ql_handle_t handle,
		      const ql_attempt_result_t *result, uint64_t now_us)
{
	ql_target_t *target = ql_table_get(&balancer->targets, handle);

	if (!target)
		return;
	target->in_progress--;
	if (result->has_level) {
		target->level = result->level;
		target->level_us = now_us;
	}
	if (result->retry_after_us)
		target->refuse_until_us = now_us + result->retry_after_us;
	if (result->outcome == QL_OUTCOME_ANSWERED)
		note_answer(target, result->latency_us);
	else if (result->reason == QL_REASON_CONNECT_FAILED ||
		 result->reason == QL_REASON_CONNECTION_LOST ||
		 result->reason == QL_REASON_BAD_ANSWER)
		note_failure(balancer, target, now_us);
}

uint32_t ql_balancer_level(const ql_balancer_t *balancer, uint64_t now_us)
{
	uint32_t cursor = 0, level = UINT32_MAX;
	ql_handle_t handle;
	const ql_target_t *target;

	while ((target = ql_table_next(&balancer->targets, &cursor, &handle)))
		level = MIN(level, now_us - target->level_us < LEVEL_HOLD_US
					   ? target->level
					   : 0);
	return level == UINT32_MAX ? 0 : level;
}
