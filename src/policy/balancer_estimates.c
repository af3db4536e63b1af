#include "policy/balancer_internal.h"
#include "quetzalloft/clock.h"
#include "util/mean.h"

#include <math.h>

/* Weights of the newest value in the moving means. */
#define LATENCY_EWMA_WEIGHT 0.2
#define FAILURE_RATIO_EWMA_WEIGHT 0.1
#define REFUSAL_RATIO_EWMA_WEIGHT 0.1
/*
 * An endpoint is ejected after EJECT_AFTER_FAILURES connection failures in a
 * row, unless EJECTED_MAX_PERCENT of the endpoints are ejected already. Until
 * it answers, each further failure ejects it for twice as long as the one
 * before, with at most EJECTION_DOUBLINGS_MAX doublings.
 */
#define EJECT_AFTER_FAILURES 5u
#define EJECTION_BASE_US (2 * QL_US_PER_S)
#define EJECTED_MAX_PERCENT 50u
#define EJECTION_DOUBLINGS_MAX 5u
/* An endpoint that starts gets a share of its load that rises to 1. */
#define SLOW_START_DURATION_US (5 * QL_US_PER_S)
#define SLOW_START_FACTOR_MIN 0.1
/* Time without further observations that halves the weight of an estimate. */
#define OBSERVATION_HALF_LIFE_US (5 * QL_US_PER_S)

double ql_balancer__slow_start_factor(const ql_endpoint_t *endpoint,
				      uint64_t now_us)
{
	double age = (double)(now_us - endpoint->started_us) /
		     SLOW_START_DURATION_US;

	return CLAMP(age, SLOW_START_FACTOR_MIN, 1.0);
}

/* Decays a value observed in the past. */
static double decayed(double value, uint64_t observed_us, uint64_t now_us)
{
	if (!(value < 0 || value > 0))
		return 0;
	return value *
	       exp2(-(double)(now_us - observed_us) / OBSERVATION_HALF_LIFE_US);
}

double ql_balancer__expected_latency_us(const ql_balancer_t *balancer,
					const ql_endpoint_t *endpoint,
					uint64_t now_us)
{
	if (endpoint->latency_us <= 0)
		return MAX(balancer->latency_us, QL_BALANCER_LATENCY_FLOOR_US);
	return MAX(decayed(endpoint->latency_us, endpoint->last_answer_us,
			   now_us),
		   QL_BALANCER_LATENCY_FLOOR_US);
}

double ql_balancer__expected_relative_latency(const ql_endpoint_t *endpoint,
					      uint64_t now_us)
{
	if (endpoint->relative_latency <= 0)
		return 1;
	return 1 + decayed(endpoint->relative_latency - 1,
			   endpoint->last_answer_us, now_us);
}

double ql_balancer__expected_failure_ratio(const ql_endpoint_t *endpoint,
					   uint64_t now_us)
{
	return decayed(endpoint->failure_ratio, endpoint->failure_ratio_us,
		       now_us);
}

double ql_balancer__expected_refusal_ratio(const ql_endpoint_t *endpoint,
					   uint64_t now_us)
{
	return decayed(endpoint->refusal_ratio, endpoint->refusal_ratio_us,
		       now_us);
}

/* Drops from the list endpoints that answered since or were removed. */
static uint32_t count_ejected(ql_balancer_t *balancer)
{
	const ql_endpoint_t *endpoint;
	guint i = 0;

	while (i < balancer->ejected->len) {
		endpoint = ql_balancer__endpoint_at(balancer, balancer->ejected,
						    i);
		if (endpoint && endpoint->ejections)
			i++;
		else
			g_array_remove_index_fast(balancer->ejected, i);
	}
	return balancer->ejected->len;
}

/* Counts a connection failure; ejects the endpoint after too many. */
static void record_failure(ql_balancer_t *balancer, ql_endpoint_t *endpoint,
			   ql_handle_t handle, uint64_t now_us)
{
	uint32_t n_allowed =
		balancer->endpoints.count * EJECTED_MAX_PERCENT / 100;
	uint32_t doublings;

	if (++endpoint->consecutive_failures < EJECT_AFTER_FAILURES &&
	    !endpoint->ejections)
		return;
	if (!endpoint->ejections) {
		if (count_ejected(balancer) >= n_allowed)
			return;
		g_array_append_val(balancer->ejected, handle);
	}
	doublings = MIN(endpoint->ejections, EJECTION_DOUBLINGS_MAX);
	endpoint->ejections++;
	endpoint->ejected_until_us =
		now_us + ((uint64_t)EJECTION_BASE_US << doublings);
	endpoint->consecutive_failures = 0;
}

static double smoothed(double mean, double value)
{
	return ql_mean_update(mean, value, LATENCY_EWMA_WEIGHT);
}

static void record_relative_latency(const ql_balancer_t *balancer,
				    ql_endpoint_t *endpoint,
				    const ql_attempt_result_t *result,
				    uint64_t now_us)
{
	double typical_us = result->typical_latency_us > 0
				    ? result->typical_latency_us
				    : balancer->latency_us;
	double relative_latency = (double)result->latency_us /
				  MAX(typical_us, QL_BALANCER_LATENCY_FLOOR_US);
	double previous =
		endpoint->relative_latency > 0
			? ql_balancer__expected_relative_latency(endpoint,
								 now_us)
			: 0;

	endpoint->relative_latency = smoothed(previous, relative_latency);
}

static void record_answer(ql_balancer_t *balancer, ql_endpoint_t *endpoint,
			  const ql_attempt_result_t *result, uint64_t now_us)
{
	double latency_us = (double)result->latency_us;
	double previous_us =
		endpoint->latency_us > 0
			? ql_balancer__expected_latency_us(balancer, endpoint,
							   now_us)
			: 0;

	endpoint->consecutive_failures = 0;
	endpoint->ejections = 0;
	endpoint->ejected_until_us = 0;
	endpoint->latency_us = smoothed(previous_us, latency_us);
	balancer->latency_us = smoothed(balancer->latency_us, latency_us);
	record_relative_latency(balancer, endpoint, result, now_us);
	endpoint->last_answer_us = now_us;
}

/* Whether the endpoint or the connection to it failed; overload is neither. */
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

static void update_failure_ratio(ql_endpoint_t *endpoint, bool failed,
				 uint64_t now_us)
{
	double previous = ql_balancer__expected_failure_ratio(endpoint, now_us);

	endpoint->failure_ratio =
		previous +
		FAILURE_RATIO_EWMA_WEIGHT * ((double)failed - previous);
	endpoint->failure_ratio_us = now_us;
}

/*
 * Whether the gate or the endpoint turned the attempt away for its own sake,
 * not for the sake of the request.
 */
static bool is_refusal(const ql_attempt_result_t *result)
{
	if (result->outcome != QL_OUTCOME_NOT_RUN)
		return false;
	switch (result->reason) {
	case QL_REASON_OVERLOAD:
	case QL_REASON_DRAINING:
	case QL_REASON_NOT_READY:
	case QL_REASON_NO_ENDPOINT:
	case QL_REASON_ENDPOINT_REFUSED:
		return true;
	default:
		return false;
	}
}

/*
 * An endpoint that refuses is taken for full, whatever it reports: one that
 * refuses at once would look idle.
 */
static void record_occupancy(ql_balancer_t *balancer, ql_endpoint_t *endpoint,
			     const ql_attempt_result_t *result, uint64_t now_us)
{
	bool refused = is_refusal(result);
	double previous = ql_balancer__expected_refusal_ratio(endpoint, now_us);

	balancer->refusals += refused;
	if (refused || result->outcome == QL_OUTCOME_ANSWERED) {
		endpoint->refusal_ratio =
			previous + REFUSAL_RATIO_EWMA_WEIGHT *
					   ((double)refused - previous);
		endpoint->refusal_ratio_us = now_us;
	}
	if (!refused && !result->has_occupancy)
		return;
	endpoint->occupancy = result->has_occupancy ? result->occupancy : 0;
	if (refused)
		endpoint->occupancy = MAX(endpoint->occupancy, 1);
	endpoint->occupancy_us = now_us;
	endpoint->sent_since = 0;
}

void ql_balancer_record_result(ql_balancer_t *balancer, ql_handle_t handle,
			       const ql_attempt_result_t *result,
			       uint64_t now_us)
{
	ql_endpoint_t *endpoint = ql_table_get(&balancer->endpoints, handle);

	if (!endpoint)
		return;
	if (endpoint->in_progress)
		endpoint->in_progress--;
	endpoint->unanswered_since_us = now_us;
	if (result->has_load_level) {
		endpoint->load_level = result->load_level;
		endpoint->load_level_us = now_us;
		balancer->min_level =
			MIN(balancer->min_level, result->load_level);
	}
	if (result->retry_after_us)
		endpoint->backoff_until_us = now_us + result->retry_after_us;
	record_occupancy(balancer, endpoint, result, now_us);
	if (result->outcome == QL_OUTCOME_ANSWERED || is_failure(result))
		update_failure_ratio(endpoint, is_failure(result), now_us);
	if (result->outcome == QL_OUTCOME_ANSWERED)
		record_answer(balancer, endpoint, result, now_us);
	else if (result->reason == QL_REASON_CONNECT_FAILED ||
		 result->reason == QL_REASON_CONNECTION_LOST ||
		 result->reason == QL_REASON_BAD_ANSWER)
		record_failure(balancer, endpoint, handle, now_us);
}
