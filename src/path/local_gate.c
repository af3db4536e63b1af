#include "path/local_gate_internal.h"
#include "quetzalloft/address.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"
#include "quetzalloft/metadata.h"
#include "quetzalloft/pressure.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000u
/* Default without a Keep-Alive timeout of the endpoint, and upper bound. */
#define ENDPOINT_IDLE_MAX_MS 4000u
#define QUEUED_CALLS_MAX 1024u
#define QUEUE_WAIT_MAX_US (300 * QL_US_PER_MS)
#define LOWER_CLASS_INTERVAL 8u
/*
 * Time after the deadline in which an endpoint may still respond to a cancelled
 * call, for an endpoint that responds at the deadline.
 */
#define ABANDONED_CALL_GRACE_MS 1000u

typedef enum {
	CALL_QUEUED,
	CALL_RUNNING,
} call_state_t;

/*
 * A call that is queued for admission or runs at the endpoint.
 *
 * head and tail are the bytes of the request before and after the headers that
 * are added when it is sent: the remaining time and the expected instance. sink
 * is NULL after the caller has cancelled the call.
 */
typedef struct {
	ql_local_gate_t *gate;
	call_state_t state;
	ql_running_call_t inherited;
	ql_handle_t ticket;
	GByteArray *head;
	GByteArray *tail;
	char id[QL_KEY_MAX];
	bool idempotent;
	bool bodiless;
	bool head_forwarded;
	bool refused_by_endpoint;
	bool paused;
	ql_pressure_t pressure;
	uint64_t offered_us;
	uint64_t admitted_us;
	uint64_t deadline_us;
	ql_wheel_timer_t abandon_timer;
	ql_upstream_request_t *request;
	const ql_call_sink_t *sink;
	void *data;
} gate_call_t;

static uint64_t now_us(const gate_call_t *call)
{
	return ql_loop_now_us(call->gate->loop);
}

static void count(const ql_local_gate_t *gate, ql_counter_t counter)
{
	ql_counter_increment(gate->opts.counters, counter);
}

static void call_free(gate_call_t *call)
{
	g_byte_array_free(call->head, TRUE);
	g_byte_array_free(call->tail, TRUE);
	g_free(call);
}

static ql_call_result_t make_result(const ql_local_gate_t *gate,
				    ql_outcome_t outcome, ql_reason_t reason)
{
	return (ql_call_result_t){
		.outcome = outcome,
		.reason = reason,
		.has_load_level = true,
		.load_level = ql_local_gate_load_level(gate),
	};
}

/* Removes a running call and frees its slot. */
static void release_slot(gate_call_t *call, ql_gate_outcome_t gate_outcome)
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

static void finish_call(gate_call_t *call)
{
	ql_local_gate_t *gate = call->gate;

	call_free(call);
	ql_local_gate__apply_decisions(gate);
}

static void fail_call(gate_call_t *call, ql_outcome_t outcome,
		      ql_reason_t reason, ql_gate_outcome_t gate_outcome)
{
	ql_call_result_t result = make_result(call->gate, outcome, reason);

	release_slot(call, gate_outcome);
	if (call->sink)
		call->sink->failed(call->data, &result);
	finish_call(call);
}

static const char *response_id(const gate_call_t *call,
			       const ql_http_reader_t *reader)
{
	return ql_headers_get(&reader->headers,
			      call->gate->opts.dialect->request_id);
}

static ql_response_match_t match_response(const gate_call_t *call,
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
static bool is_from_endpoint(const gate_call_t *call,
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

static bool is_endpoint_refusal(const gate_call_t *call,
				const ql_http_reader_t *reader)
{
	const char *name = call->gate->opts.dialect->not_run;

	return (name && ql_headers_get(&reader->headers, name)) ||
	       ql_http_reader_status(reader) == HTTP_STATUS_MISDIRECTED_REQUEST;
}

static void on_head(void *data, ql_http_reader_t *reader)
{
	gate_call_t *call = data;
	const ql_response_head_t head = {
		.status = ql_http_reader_status(reader),
		.headers = &reader->headers,
		.length = call->bodiless ? 0 : ql_http_reader_length(reader),
		.pressure = ql_pressure_get(&call->pressure),
	};
	bool is_own = match_response(call, reader) == QL_RESPONSE_OWN;

	if (is_own && is_endpoint_refusal(call, reader)) {
		call->refused_by_endpoint = true;
		/* A late copy of the refusal must not meet another call. */
		ql_upstream_retire(call->request);
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
	gate_call_t *call = data;

	if (call->sink && call->head_forwarded)
		call->sink->body(call->data, bytes, length);
}

static void on_complete(void *data)
{
	gate_call_t *call = data;
	ql_call_result_t result;

	if (call->refused_by_endpoint) {
		count(call->gate, QL_COUNT_ENDPOINT_REFUSED);
		fail_call(call, QL_OUTCOME_NOT_RUN, QL_REASON_ENDPOINT_REFUSED,
			  QL_GATE_OVERLOADED);
		return;
	}
	release_slot(call, QL_GATE_SERVED);
	result = make_result(call->gate, QL_OUTCOME_ANSWERED, QL_REASON_NONE);
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
	gate_call_t *call = data;

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

static void send_to_endpoint(gate_call_t *call)
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

	call->state = CALL_RUNNING;
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

static void refuse_call(gate_call_t *call, ql_reason_t reason,
			uint32_t retry_after_ms)
{
	ql_call_result_t result =
		make_result(call->gate, QL_OUTCOME_NOT_RUN, reason);

	count(call->gate, QL_COUNT_GATE_REFUSED);
	result.retry_after_ms = retry_after_ms;
	if (call->sink)
		call->sink->failed(call->data, &result);
	call_free(call);
}

static void apply_decision(ql_local_gate_t *gate,
			   const ql_gate_decision_t *decision)
{
	gpointer key = GUINT_TO_POINTER(decision->ticket);
	gate_call_t *call = g_hash_table_lookup(gate->calls, key);

	if (!call)
		return;
	if (decision->verdict == QL_GATE_ADMIT) {
		send_to_endpoint(call);
		return;
	}
	g_hash_table_remove(gate->calls, key);
	refuse_call(call, decision->reason, decision->retry_after_ms);
}

static void schedule_wakeup(ql_local_gate_t *gate)
{
	uint64_t next_us = ql_gate_next_wakeup_us(&gate->gate);
	uint64_t now = ql_loop_now_us(gate->loop);

	if (next_us == UINT64_MAX)
		ql_loop_stop_timer(gate->loop, &gate->timer);
	else
		ql_loop_start_timer(gate->loop, &gate->timer,
				    next_us > now
					    ? (next_us - now) / QL_US_PER_MS + 1
					    : 0);
}

static void set_gauges(const ql_local_gate_t *gate)
{
	ql_counters_t *counters = gate->opts.counters;

	ql_gauge_set(counters, QL_GAUGE_GATE_RUNNING, gate->gate.in_progress);
	ql_gauge_set(counters, QL_GAUGE_GATE_QUEUED,
		     ql_gate_queue_length(&gate->gate.queue));
	ql_gauge_set(counters, QL_GAUGE_GATE_LIMIT,
		     ql_limiter_get(&gate->gate.limiter));
}

void ql_local_gate__apply_decisions(ql_local_gate_t *gate)
{
	ql_gate_decision_t decision;

	while (ql_gate_next_decision(&gate->gate, &decision,
				     ql_loop_now_us(gate->loop)))
		apply_decision(gate, &decision);
	set_gauges(gate);
	schedule_wakeup(gate);
}

static void on_timer(void *data)
{
	ql_local_gate__apply_decisions(data);
}

static void pause_response(void *data)
{
	gate_call_t *call = data;

	if (!call->request)
		return;
	call->paused = true;
	ql_upstream_pause(call->request);
}

static void resume_response(void *data)
{
	gate_call_t *call = data;

	if (!call->paused)
		return;
	call->paused = false;
	ql_upstream_resume(call->request);
}

static void stop_call(gate_call_t *call)
{
	count(call->gate, QL_COUNT_ABANDONED);
	ql_upstream_cancel(call->request);
	release_slot(call, QL_GATE_FAILED);
	finish_call(call);
}

/* Aborts a cancelled call that got no response within the grace time. */
static void on_abandoned(void *data)
{
	gate_call_t *call = data;

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
static void await_abandoned_call(gate_call_t *call)
{
	resume_response(call);
	ql_loop_start_timer(call->gate->loop, &call->abandon_timer,
			    ql_remaining_ms(call->deadline_us, now_us(call)) +
				    ABANDONED_CALL_GRACE_MS);
}

static void cancel(void *data)
{
	gate_call_t *call = data;
	ql_local_gate_t *gate = call->gate;

	call->sink = NULL;
	if (call->state == CALL_QUEUED) {
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

static const ql_call_handle_ops_t handle_ops = {
	.cancel = cancel,
	.pause = pause_response,
	.resume = resume_response,
};

static gate_call_t *call_new(ql_local_gate_t *gate, const ql_path_call_t *call)
{
	const ql_dialect_t *dialect = gate->opts.dialect;
	gate_call_t *out = g_new0(gate_call_t, 1);

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

static ql_reason_t reason_to_refuse(const ql_local_gate_t *gate,
				    const ql_path_call_t *call)
{
	if (strcmp(call->service, gate->opts.service) != 0)
		return QL_REASON_NO_ENDPOINT;
	if (!gate->has_report || gate->closed || gate->unreachable)
		return QL_REASON_NO_ENDPOINT;
	return ql_local_gate_is_serving(gate) ? QL_REASON_NONE
					      : QL_REASON_DRAINING;
}

void ql_local_gate_call(ql_local_gate_t *gate, const ql_path_call_t *call,
			const ql_call_sink_t *sink, void *data,
			ql_call_handle_t *out)
{
	ql_gate_request_t request = {
		.shed_order = call->shed_order,
		.under_way = call->under_way,
		.deadline_us = call->deadline_us,
	};
	ql_reason_t reason = reason_to_refuse(gate, call);
	ql_call_result_t result = make_result(gate, QL_OUTCOME_NOT_RUN, reason);
	ql_gate_decision_t decision;
	gate_call_t *gate_call;

	*out = (ql_call_handle_t){&handle_ops, NULL};
	if (reason) {
		count(gate, QL_COUNT_GATE_REFUSED);
		sink->failed(data, &result);
		return;
	}
	gate_call = call_new(gate, call);
	gate_call->sink = sink;
	gate_call->data = data;
	decision = ql_gate_offer(&gate->gate, &request,
				 ql_loop_now_us(gate->loop));
	gate_call->ticket = decision.ticket;
	if (decision.verdict == QL_GATE_REFUSE) {
		refuse_call(gate_call, decision.reason,
			    decision.retry_after_ms);
		ql_local_gate__apply_decisions(gate);
		return;
	}
	g_hash_table_insert(gate->calls, GUINT_TO_POINTER(decision.ticket),
			    gate_call);
	if (decision.verdict == QL_GATE_ADMIT)
		send_to_endpoint(gate_call);
	ql_local_gate__apply_decisions(gate);
	/* The call may already have failed and been freed. */
	if (g_hash_table_lookup(gate->calls,
				GUINT_TO_POINTER(decision.ticket)) == gate_call)
		out->call = gate_call;
}

void ql_local_gate__gate_opts(const ql_local_gate_t *gate, ql_gate_opts_t *opts)
{
	*opts = (ql_gate_opts_t){
		.limiter = &ql_limiter_headroom,
		.slots = (uint32_t)MAX(gate->report.slots, 1),
		.queue_max = QUEUED_CALLS_MAX,
		.max_wait_us = QUEUE_WAIT_MAX_US,
		.lower_class_interval = LOWER_CLASS_INTERVAL,
		.seed = g_random_int(),
	};
}

void ql_local_gate_init(ql_local_gate_t *gate, ql_loop_t *loop,
			const ql_local_gate_opts_t *opts)
{
	ql_upstream_opts_t upstream = {
		.address = opts->address,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = ENDPOINT_IDLE_MAX_MS,
	};
	ql_gate_opts_t policy;

	memset(gate, 0, sizeof(*gate));
	gate->loop = loop;
	gate->opts = *opts;
	gate->closed = opts->await_withdrawal;
	gate->timer.expired = on_timer;
	gate->timer.data = gate;
	gate->calls = g_hash_table_new(NULL, NULL);
	gate->running = g_hash_table_new(g_str_hash, g_str_equal);
	gate->upstream = ql_upstream_new(loop, &upstream);
	ql_local_gate__gate_opts(gate, &policy);
	ql_gate_init(&gate->gate, &policy);
}

/* Cancels all requests, as their connections would keep the loop running. */
static void drop_calls(ql_local_gate_t *gate)
{
	GList *calls = g_hash_table_get_values(gate->calls);
	GList *link;
	gate_call_t *call;

	for (link = calls; link; link = link->next) {
		call = link->data;
		if (call->request)
			ql_upstream_cancel(call->request);
		ql_loop_stop_timer(gate->loop, &call->abandon_timer);
		call_free(call);
	}
	g_list_free(calls);
}

void ql_local_gate_finish(ql_local_gate_t *gate)
{
	drop_calls(gate);
	ql_loop_stop_timer(gate->loop, &gate->timer);
	ql_upstream_free(gate->upstream);
	g_hash_table_destroy(gate->calls);
	g_hash_table_destroy(gate->running);
	ql_gate_finish(&gate->gate);
}

bool ql_local_gate_is_serving(const ql_local_gate_t *gate)
{
	return gate->has_report && !gate->closed && !gate->deregistered &&
	       !gate->unreachable && !gate->report.draining && !gate->draining;
}

void ql_local_gate_drain(ql_local_gate_t *gate)
{
	gate->draining = true;
	ql_gate_drain(&gate->gate);
	ql_local_gate__apply_decisions(gate);
}

void ql_local_gate_add_pressure(ql_local_gate_t *gate, const char *id,
				double pressure)
{
	gate_call_t *call = g_hash_table_lookup(gate->running, id);

	if (call)
		ql_pressure_add_call(&call->pressure, pressure);
}

const ql_running_call_t *ql_local_gate_find_call(const ql_local_gate_t *gate,
						 const char *id)
{
	const gate_call_t *call = g_hash_table_lookup(gate->running, id);

	return call ? &call->inherited : NULL;
}

uint32_t ql_local_gate_load_level(const ql_local_gate_t *gate)
{
	return ql_gate_load_level(&gate->gate, ql_loop_now_us(gate->loop));
}
