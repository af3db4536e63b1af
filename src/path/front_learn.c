#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "util/mean.h"

#define TYPICAL_SMOOTHING 0.1
/* The pressure at least, where an answer came too late. */
#define LATE_PRESSURE 2.0

static uint64_t age_us(const ql_front_call_t *call)
{
	return ql_front__now_us(call) - call->exchange->received_us;
}

double ql_front__typical_us(const ql_front_call_t *call)
{
	return call->route_state->typical_us;
}

void ql_front__record_latency(const ql_front_call_t *call, uint64_t latency_us)
{
	call->route_state->typical_us =
		ql_mean_moved(call->route_state->typical_us, (double)latency_us,
			      TYPICAL_SMOOTHING);
}

static void count_pressure(ql_front_usage_t *usage, double pressure)
{
	usage->pressure_samples++;
	usage->congested += pressure > 1;
	usage->pressure_sum += pressure;
}

/* Tells the request above and those to come what this one met with. */
static void note_pressure(ql_front_call_t *call, double pressure)
{
	const ql_admission_answer_t answer = {
		.guaranteed = call->guaranteed,
		.pressure = pressure,
		.latency_us = age_us(call),
		.deadline_ms = call->route->deadline_ms,
		.now_us = ql_front__now_us(call),
	};

	/* One that was refused early met with nothing. */
	if (!call->admitted && !call->downstream.under_way)
		return;
	count_pressure(&call->route_state->usage, pressure);
	if (call->admitted)
		ql_route_admission_record_answer(&call->route_state->admission,
						 &answer);
	if (call->downstream.under_way)
		ql_local_gate_add_pressure(call->front->opts.local,
					   call->parent_id, pressure);
}

static bool is_for_lack_of_room(ql_reason_t reason)
{
	return reason == QL_REASON_OVERLOAD || reason == QL_REASON_DEADLINE;
}

void ql_front__record_failure(ql_front_call_t *call, ql_reason_t reason)
{
	if (is_for_lack_of_room(reason))
		note_pressure(call, QL_PRESSURE_MAX);
}

static bool is_late(const ql_front_call_t *call)
{
	return call->route->target_ms &&
	       age_us(call) > call->route->target_ms * QL_US_PER_MS;
}

/* An answer behind the target of the route has waited somewhere. */
static double pressure_of(const ql_front_call_t *call,
			  const ql_call_result_t *end)
{
	return is_late(call) ? MAX(end->pressure, LATE_PRESSURE)
			     : end->pressure;
}

/* A failure that met with no pressure says nothing of the load. */
void ql_front__record_response(ql_front_call_t *call,
			       const ql_call_result_t *end)
{
	double pressure = pressure_of(call, end);

	call->served = call->status < HTTP_STATUS_INTERNAL_SERVER_ERROR &&
		       !is_late(call);
	if (call->status < HTTP_STATUS_INTERNAL_SERVER_ERROR || pressure > 1)
		note_pressure(call, pressure);
}
