#include "policy/balancer_internal.h"
#include "quetzalloft/clock.h"
#include "util/mean.h"

#include <math.h>

#define LATENCY_SMOOTHING 0.2
#define FAILING_SMOOTHING 0.1
#define EJECT_FAILURES 5u
#define EJECT_US (2 * QL_US_PER_S)
#define EJECT_MAX_PERCENT 50u
#define EJECT_DOUBLINGS_MAX 5u
#define SLOW_START_US (5 * QL_US_PER_S)
#define SLOW_START_FLOOR 0.1
/* Time without an answer that halves what is known of a latency. */
#define HALF_LIFE_US (5 * QL_US_PER_S)

double ql_balancer__slow_start_factor(const ql_endpoint_t *target,
				      uint64_t now_us)
{
	double age = (double)(now_us - target->added_us) / SLOW_START_US;

	return CLAMP(age, SLOW_START_FLOOR, 1.0);
}

/* What is left of what was learned then, without news since. */
static double left_of(double value, uint64_t learned_us, uint64_t now_us)
{
	return value * exp2(-(double)(now_us - learned_us) / HALF_LIFE_US);
}

double ql_balancer__expected_latency_us(const ql_balancer_t *balancer,
					const ql_endpoint_t *target,
					uint64_t now_us)
{
	if (target->latency_us <= 0)
		return MAX(balancer->latency_us, QL_BALANCER_LATENCY_FLOOR_US);
	return MAX(left_of(target->latency_us, target->last_answer_us, now_us),
		   QL_BALANCER_LATENCY_FLOOR_US);
}

double ql_balancer__expected_relative_latency(const ql_endpoint_t *target,
					      uint64_t now_us)
{
	if (target->relative_latency <= 0)
		return 1;
	return 1 + left_of(target->relative_latency - 1, target->last_answer_us,
			   now_us);
}

double ql_balancer__expected_failure_ratio(const ql_endpoint_t *target,
					   uint64_t now_us)
{
	return left_of(target->failure_ratio, target->failure_ratio_us, now_us);
}

/* Drops from the list what has answered since or is gone. */
static uint32_t count_ejected(ql_balancer_t *balancer)
{
	const ql_endpoint_t *target;
	guint i = 0;

	while (i < balancer->ejected->len) {
		target = ql_balancer__endpoint_at(balancer, balancer->ejected,
						  i);
		if (target && target->ejections)
			i++;
		else
			g_array_remove_index_fast(balancer->ejected, i);
	}
	return balancer->ejected->len;
}

static void note_failure(ql_balancer_t *balancer, ql_endpoint_t *target,
			 ql_handle_t handle, uint64_t now_us)
{
	uint32_t n_allowed =
		balancer->endpoints.count * EJECT_MAX_PERCENT / 100;
	uint32_t doublings;

	if (++target->consecutive_failures < EJECT_FAILURES &&
	    !target->ejections)
		return;
	if (!target->ejections) {
		if (count_ejected(balancer) >= n_allowed)
			return;
		g_array_append_val(balancer->ejected, handle);
	}
	doublings = MIN(target->ejections, EJECT_DOUBLINGS_MAX);
	target->ejections++;
	target->ejected_until_us = now_us + ((uint64_t)EJECT_US << doublings);
	target->consecutive_failures = 0;
}

static double moved(double mean, double value)
{
	return ql_mean_moved(mean, value, LATENCY_SMOOTHING);
}

static void note_slowness(const ql_balancer_t *balancer, ql_endpoint_t *target,
			  const ql_attempt_result_t *result, uint64_t now_us)
{
	double typical_us = result->typical_latency_us > 0
				    ? result->typical_latency_us
				    : balancer->latency_us;
	double slowness = (double)result->latency_us /
			  MAX(typical_us, QL_BALANCER_LATENCY_FLOOR_US);
	double known =
		target->relative_latency > 0
			? ql_balancer__expected_relative_latency(target, now_us)
			: 0;

	target->relative_latency = moved(known, slowness);
}

static void note_answer(ql_balancer_t *balancer, ql_endpoint_t *target,
			const ql_attempt_result_t *result, uint64_t now_us)
{
	double latency_us = (double)result->latency_us;
	double known_us =
		target->latency_us > 0
			? ql_balancer__expected_latency_us(balancer, target,
							   now_us)
			: 0;

	target->consecutive_failures = 0;
	target->ejections = 0;
	target->ejected_until_us = 0;
	target->latency_us = moved(known_us, latency_us);
	balancer->latency_us = moved(balancer->latency_us, latency_us);
	note_slowness(balancer, target, result, now_us);
	target->last_answer_us = now_us;
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

static void note_failing(ql_endpoint_t *target, bool failed, uint64_t now_us)
{
	double known = ql_balancer__expected_failure_ratio(target, now_us);

	target->failure_ratio =
		known + FAILING_SMOOTHING * ((double)failed - known);
	target->failure_ratio_us = now_us;
}

void ql_balancer_record_result(ql_balancer_t *balancer, ql_handle_t handle,
			       const ql_attempt_result_t *result,
			       uint64_t now_us)
{
	ql_endpoint_t *target = ql_table_get(&balancer->endpoints, handle);

	if (!target)
		return;
	if (target->in_progress)
		target->in_progress--;
	target->unanswered_since_us = now_us;
	if (result->has_level) {
		target->level = result->level;
		target->level_us = now_us;
		balancer->min_level = MIN(balancer->min_level, result->level);
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
