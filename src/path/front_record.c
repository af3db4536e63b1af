#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "util/mean.h"

#define LATENCY_SMOOTHING 0.1
/* Minimum pressure of a response beyond the latency target. */
#define LATE_RESPONSE_MIN_PRESSURE 2.0

static uint64_t age_us(const ql_front_call_t *call)
{
	return ql_front__now_us(call) - call->exchange->received_us;
}

double ql_front__typical_latency_us(const ql_front_call_t *call)
{
	return call->route_state->typical_latency_us;
}

void ql_front__record_latency(const ql_front_call_t *call, uint64_t latency_us)
{
	call->route_state->typical_latency_us =
		ql_mean_update(call->route_state->typical_latency_us,
			       (double)latency_us, LATENCY_SMOOTHING);
}

static void count_pressure_sample(ql_front_usage_t *usage, double pressure)
{
	usage->pressure_samples++;
	usage->congested += pressure > 1;
	usage->pressure_sum += pressure;
}

/* Reports the pressure to the route admission and to the parent request. */
static void record_pressure(ql_front_call_t *call, double pressure)
{
	const ql_admission_answer_t answer = {
		.guaranteed = call->guaranteed,
		.pressure = pressure,
		.latency_us = age_us(call),
		.deadline_ms = call->route->deadline_ms,
		.now_us = ql_front__now_us(call),
	};

	/* A request that was rejected early has no pressure sample. */
	if (!call->admitted && !call->downstream.under_way)
		return;
	count_pressure_sample(&call->route_class->usage, pressure);
	if (call->admitted)
		ql_route_admission_record_answer(&call->route_class->admission,
						 &answer);
	if (call->downstream.under_way)
		ql_local_gate_add_pressure(call->front->opts.local,
					   call->parent_id, pressure);
}

static bool is_overload_failure(ql_reason_t reason)
{
	return reason == QL_REASON_OVERLOAD || reason == QL_REASON_DEADLINE;
}

void ql_front__record_failure(ql_front_call_t *call, ql_reason_t reason)
{
	if (is_overload_failure(reason))
		record_pressure(call, QL_PRESSURE_MAX);
}

static bool is_late(const ql_front_call_t *call)
{
	return call->route->target_ms &&
	       age_us(call) > call->route->target_ms * QL_US_PER_MS;
}

/* A response beyond the latency target has been queued somewhere. */
static double response_pressure(const ql_front_call_t *call,
				const ql_call_result_t *result)
{
	return is_late(call) ? MAX(result->pressure, LATE_RESPONSE_MIN_PRESSURE)
			     : result->pressure;
}

/* A server error without congestion is not caused by the load. */
void ql_front__record_response(ql_front_call_t *call,
			       const ql_call_result_t *result)
{
	double pressure = response_pressure(call, result);

	call->served = call->status < HTTP_STATUS_INTERNAL_SERVER_ERROR &&
		       !is_late(call);
	if (call->status < HTTP_STATUS_INTERNAL_SERVER_ERROR || pressure > 1)
		record_pressure(call, pressure);
}
