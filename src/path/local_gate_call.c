#include "path/local_gate_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * Time after the deadline in which an endpoint may still respond to a cancelled
 * call, for an endpoint that responds at the deadline.
 */
#define ABANDONED_CALL_GRACE_MS 1000u

static uint64_t now_us(const ql_gate_call_t *call)
{
	return ql_loop_now_us(call->gate->loop);
}

static void count(const ql_local_gate_t *gate, ql_counter_t counter)
{
	ql_counter_increment(gate->opts.counters, counter);
}

void ql_gate_call__free(ql_gate_call_t *call)
{
	g_byte_array_free(call->head, TRUE);
	g_byte_array_free(call->tail, TRUE);
	g_free(call);
}

ql_call_result_t ql_gate_call__result(const ql_local_gate_t *gate,
				      ql_outcome_t outcome, ql_reason_t reason)
{
	return (ql_call_result_t){
		.outcome = outcome,
		.reason = reason,
		.has_load_level = true,
		.load_level = ql_local_gate_load_level(gate),
		.has_occupancy = gate->opts.reports_occupancy,
		.occupancy = ql_gate_occupancy(&gate->gate),
	};
}

/* Removes a running call and frees its slot. */
static void release_slot(ql_gate_call_t *call, ql_gate_outcome_t gate_outcome)
{
	ql_local_gate_t *gate = call->gate;

	ql_latency_record(gate->opts.counters, QL_LATENCY_ENDPOINT,
			  now_us(call) - call->admitted_us);
	ql_loop_stop_timer(gate->loop, &call->abandon_timer);
	ql_gate_finish_request(&gate->gate, call->ticket, gate_outcome,
			       now_us(call));
	if (g_hash_table_lookup(gate->running, call->id) == call)
		g_hash_table_remove(gate->running, call->id);
	g_hash_table_remove(gate->calls, GUINT_TO_POINTER(call->ticket));
}

static void finish_call(ql_gate_call_t *call)
{
	ql_local_gate_t *gate = call->gate;

	ql_gate_call__free(call);
	ql_local_gate__apply_decisions(gate);
}

static void fail_call(ql_gate_call_t *call, ql_outcome_t outcome,
		      ql_reason_t reason, ql_gate_outcome_t gate_outcome)
{
	ql_call_result_t result;

	release_slot(call, gate_outcome);
	result = ql_gate_call__result(call->gate, outcome, reason);
	if (call->sink)
		call->sink->failed(call->data, &result);
	finish_call(call);
}

static const char *response_id(const ql_gate_call_t *call,
			       const ql_http_reader_t *reader)
{
	return ql_headers_get(&reader->headers,
			      call->gate->opts.dialect->request_id);
}

static ql_response_match_t match_response(const ql_gate_call_t *call,
					  const ql_http_reader_t *reader)
{
	return ql_call_match_response(call->id, response_id(call, reader));
}

static bool may_be_response(void *data, const ql_http_reader_t *reader)
{
	return match_response(data, reader) != QL_RESPONSE_OTHER;
}

/*
 * Checks that a response was produced by the endpoint itself: the body is not
 * encoded, and a successful response carries the seal and a request ID.
 */
static bool is_from_endpoint(const ql_gate_call_t *call,
			     const ql_http_reader_t *reader)
{
	const ql_dialect_t *dialect = call->gate->opts.dialect;
	unsigned int status = ql_http_reader_status(reader);

	if (ql_headers_get(&reader->headers, "content-encoding"))
		return false;
	if (status < 200 || status > 299 || !dialect->seal)
		return true;
	return ql_headers_get(&reader->headers, dialect->seal) &&
	       response_id(call, reader);
}

static bool is_endpoint_refusal(const ql_gate_call_t *call,
				const ql_http_reader_t *reader)
{
	const char *name = call->gate->opts.dialect->not_run;

	return (name && ql_headers_get(&reader->headers, name)) ||
	       ql_http_reader_status(reader) == HTTP_STATUS_MISDIRECTED_REQUEST;
}

static void on_head(void *data, ql_http_reader_t *reader)
{
	ql_gate_call_t *call = data;
	const ql_gate_t *gate = &call->gate->gate;
	const ql_response_head_t head = {
		.status = ql_http_reader_status(reader),
		.headers = &reader->headers,
		.length = call->bodiless ? 0 : ql_http_reader_length(reader),
		.pressure = ql_pressure_get(&call->pressure),
		.has_occupancy = call->gate->opts.reports_occupancy,
		/* This call is about to end. */
		.occupancy = ql_gate_occupancy(gate) -
			     1.0 / ql_limiter_get(&gate->limiter),
	};
	bool is_own = match_response(call, reader) == QL_RESPONSE_OWN;
	bool is_refusal = is_own && is_endpoint_refusal(call, reader);

	if (is_refusal || ql_call_may_be_refusal(head.status))
		/* A late copy of the refusal must not meet another call. */
		ql_upstream_retire(call->request);
	if (is_refusal) {
		call->refused_by_endpoint = true;
		return;
	}
	if (!is_own || !is_from_endpoint(call, reader)) {
		count(call->gate, QL_COUNT_BAD_ANSWERS);
		ql_upstream_cancel(call->request);
		fail_call(call, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER,
			  QL_GATE_FAILED);
		return;
	}
	call->head_forwarded = true;
	if (call->sink)
		call->sink->head(call->data, &head);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	ql_gate_call_t *call = data;

	if (call->sink && call->head_forwarded)
		call->sink->body(call->data, bytes, length);
}

static void on_complete(void *data)
{
	ql_gate_call_t *call = data;
	ql_call_result_t result;

	if (call->refused_by_endpoint) {
		count(call->gate, QL_COUNT_ENDPOINT_REFUSED);
		fail_call(call, QL_OUTCOME_NOT_RUN, QL_REASON_ENDPOINT_REFUSED,
			  QL_GATE_OVERLOADED);
		return;
	}
	release_slot(call, QL_GATE_SERVED);
	result = ql_gate_call__result(call->gate, QL_OUTCOME_ANSWERED,
				      QL_REASON_NONE);
	result.pressure = ql_pressure_get(&call->pressure);
	if (call->sink)
		call->sink->complete(call->data, &result);
	finish_call(call);
}

/* Refuses all calls until the next report of the endpoint. */
static void set_unreachable(ql_local_gate_t *gate)
{
	if (gate->unreachable)
		return;
	gate->unreachable = true;
	ql_log(LOG_WARNING, "endpoint_unreachable",
	       QL_STR("service", gate->opts.service),
	       QL_STR("instance", gate->report.instance));
	gate->opts.state_changed(gate->opts.data);
}

static void on_failed(void *data, ql_upstream_failure_t failure)
{
	ql_gate_call_t *call = data;

	switch (failure) {
	case QL_UPSTREAM_NOT_SENT:
		set_unreachable(call->gate);
		fail_call(call, QL_OUTCOME_NOT_RUN, QL_REASON_CONNECT_FAILED,
			  QL_GATE_FAILED);
		break;
	case QL_UPSTREAM_MALFORMED:
		count(call->gate, QL_COUNT_BAD_ANSWERS);
		fail_call(call, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER,
			  QL_GATE_FAILED);
		break;
	case QL_UPSTREAM_LOST:
	default:
		count(call->gate, QL_COUNT_ENDPOINT_LOST);
		fail_call(call, QL_OUTCOME_UNKNOWN, QL_REASON_CONNECTION_LOST,
			  QL_GATE_FAILED);
		break;
	}
}

static const ql_upstream_ops_t upstream_ops = {
	.accepts = may_be_response,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

void ql_gate_call__send(ql_gate_call_t *call)
{
	ql_local_gate_t *gate = call->gate;
	const ql_dialect_t *dialect = gate->opts.dialect;
	uint64_t waited_us = now_us(call) - call->offered_us;
	ql_upstream_call_t out = {
		.bytes = call->head,
		.bodiless = call->bodiless,
		.ops = &upstream_ops,
		.data = call,
	};

	call->state = QL_GATE_CALL_RUNNING;
	call->admitted_us = now_us(call);
	call->pressure.own =
		ql_service_times_pressure(&gate->gate.times, waited_us);
	g_hash_table_replace(gate->running, call->id, call);
	count(gate, QL_COUNT_GATE_ADMITTED);
	ql_latency_record(gate->opts.counters, QL_LATENCY_GATE_WAIT, waited_us);
	ql_headers_write_uint(call->head, dialect->timeout_ms,
			      ql_remaining_ms(call->deadline_us, now_us(call)));
	if (dialect->expected_instance)
		ql_headers_write(call->head, dialect->expected_instance,
				 gate->report.instance);
	g_byte_array_append(call->head, call->tail->data, call->tail->len);
	call->request = ql_upstream_send(gate->upstream, &out);
	if (!call->request)
		on_failed(call, QL_UPSTREAM_NOT_SENT);
}

void ql_gate_call__refuse(ql_gate_call_t *call, ql_reason_t reason,
			  uint32_t retry_after_ms)
{
	ql_call_result_t result =
		ql_gate_call__result(call->gate, QL_OUTCOME_NOT_RUN, reason);

	count(call->gate, QL_COUNT_GATE_REFUSED);
	result.retry_after_ms = retry_after_ms;
	if (call->sink)
		call->sink->failed(call->data, &result);
	ql_gate_call__free(call);
}

static void pause_response(void *data)
{
	ql_gate_call_t *call = data;

	if (!call->request)
		return;
	call->paused = true;
	ql_upstream_pause(call->request);
}

static void resume_response(void *data)
{
	ql_gate_call_t *call = data;

	if (!call->paused)
		return;
	call->paused = false;
	ql_upstream_resume(call->request);
}

static void stop_call(ql_gate_call_t *call)
{
	count(call->gate, QL_COUNT_ABANDONED);
	ql_upstream_cancel(call->request);
	release_slot(call, QL_GATE_FAILED);
	finish_call(call);
}

/* Aborts a cancelled call that got no response within the grace time. */
static void on_abandoned(void *data)
{
	ql_gate_call_t *call = data;

	ql_log(LOG_WARNING, "endpoint_silent",
	       QL_STR("service", call->gate->opts.service),
	       QL_STR("instance", call->gate->report.instance),
	       QL_STR("id", call->id));
	stop_call(call);
}

/*
 * Waits for the response to a cancelled call that is not idempotent, until the
 * grace time after the deadline has passed. The call keeps its slot until then.
 */
static void await_abandoned_call(ql_gate_call_t *call)
{
	resume_response(call);
	ql_loop_start_timer(call->gate->loop, &call->abandon_timer,
			    ql_remaining_ms(call->deadline_us, now_us(call)) +
				    ABANDONED_CALL_GRACE_MS);
}

static void cancel(void *data)
{
	ql_gate_call_t *call = data;
	ql_local_gate_t *gate = call->gate;

	call->sink = NULL;
	if (call->state == QL_GATE_CALL_QUEUED) {
		ql_gate_cancel(&gate->gate, call->ticket);
		g_hash_table_remove(gate->calls,
				    GUINT_TO_POINTER(call->ticket));
		finish_call(call);
		return;
	}
	if (call->idempotent)
		stop_call(call);
	else
		await_abandoned_call(call);
}

const ql_call_handle_ops_t ql_gate_call__handle_ops = {
	.cancel = cancel,
	.pause = pause_response,
	.resume = resume_response,
};

ql_gate_call_t *ql_gate_call__new(ql_local_gate_t *gate,
				  const ql_path_call_t *call)
{
	const ql_dialect_t *dialect = gate->opts.dialect;
	ql_gate_call_t *out = g_new0(ql_gate_call_t, 1);

	out->gate = gate;
	out->idempotent = call->idempotent;
	out->bodiless = !strcmp(call->method, "HEAD");
	out->deadline_us = call->deadline_us;
	out->offered_us = now_us(out);
	out->abandon_timer.expired = on_abandoned;
	out->abandon_timer.data = out;
	out->inherited.shed_order = call->shed_order;
	out->inherited.repeat = call->repeat;
	g_strlcpy(out->inherited.class_name, call->class_name,
		  sizeof(out->inherited.class_name));
	g_strlcpy(out->id, call->id, sizeof(out->id));
	out->head = g_byte_array_new();
	out->tail = g_byte_array_new();
	ql_call_write_head(out->head, call, dialect->timeout_ms,
			   dialect->expected_instance);
	ql_call_write_body(out->tail, call);
	return out;
}
