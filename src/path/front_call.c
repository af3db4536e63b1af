#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"

#include <string.h>

/* Gates that may refuse one request before the client is told. */
#define REROUTES_MAX 3u
/* An answer up to this size is held until it is whole, so that a broken one
 * can still be followed by another attempt. */
#define HELD_MAX_BYTES (128u << 10)
/* Bytes of an answer that may wait for a slow client. */
#define PENDING_MAX_BYTES (256u << 10)

static void call_free(ql_front_call_t *call)
{
	if (call->admitted)
		ql_route_admission_end(&call->route_state->admission,
				       call->guaranteed, call->served);
	ql_front__route_unref(call->route_state);
	g_hash_table_remove(call->front->calls, call);
	ql_loop_stop_timer(call->front->loop, &call->deadline_timer);
	ql_loop_stop_timer(call->front->loop, &call->delay_timer);
	ql_headers_finish(&call->headers);
	g_byte_array_free(call->header_lines, TRUE);
	g_byte_array_free(call->buffered_body, TRUE);
	ql_document_unref(call->doc);
	g_free(call);
}

/* A call for a request that is under way costs all that was done above it. */
static const char *failure_event(const ql_front_call_t *call)
{
	if (call->downstream.under_way)
		return "call_failed";
	return call->n_tried ? "request_failed" : "request_refused";
}

static void log_failure(const ql_front_call_t *call,
			const ql_call_result_t *end)
{
	ql_log(LOG_INFO, failure_event(call), QL_STR("id", call->downstream.id),
	       QL_STR("route", call->route->name),
	       QL_STR("class", call->downstream.class_name),
	       QL_INT("guaranteed", call->guaranteed),
	       QL_UINT("version", call->doc->version),
	       QL_STR("service", call->downstream.service),
	       QL_STR("outcome", ql_outcome_name(end->outcome)),
	       QL_STR("reason", ql_reason_name(end->reason)),
	       QL_STR("gate", call->gate), QL_UINT("sent", call->n_sent),
	       QL_UINT("reroutes", call->n_reroutes),
	       QL_UINT("age_us",
		       ql_front__now_us(call) - call->exchange->received_us));
}

/* Calls of the endpoint beside this node are counted where they were begun. */
static void count_end(const ql_front_call_t *call, ql_outcome_t outcome)
{
	if (call->downstream.under_way)
		return;
	ql_front__count_outcome(call->front, outcome);
	ql_count_latency(call->front->opts.counters, QL_LATENCY_CLIENT,
			 ql_front__now_us(call) - call->exchange->received_us);
}

/* What becomes of requests by their route, for ql_load_log_t. */
static void count_outcome(const ql_front_call_t *call, bool answered)
{
	ql_front_usage_t *usage = &call->route_state->usage;

	if (answered)
		usage->answered++;
	else if (call->n_tried)
		usage->failed++;
	else
		usage->refused_early++;
}

void ql_front__fail(ql_front_call_t *call, ql_reason_t reason)
{
	ql_call_result_t end = {
		.outcome = call->may_have_run ? QL_OUTCOME_UNKNOWN
					      : QL_OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = call->retry_after_ms,
	};

	log_failure(call, &end);
	count_outcome(call, false);
	ql_front__record_failure(call, reason);
	count_end(call, call->streaming ? QL_OUTCOME_UNKNOWN : end.outcome);
	if (call->streaming)
		ql_http_exchange_abort(call->exchange);
	else
		ql_front__send_failure(call->front, call->exchange, &end);
	call_free(call);
}

static void report_attempt(ql_front_call_t *call, const ql_call_result_t *end)
{
	ql_attempt_result_t result = {
		.outcome = end->outcome,
		.reason = end->reason,
		.failed = end->outcome == QL_OUTCOME_ANSWERED &&
			  call->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR,
		.latency_us = ql_front__now_us(call) - call->attempt_us,
		.typical_latency_us = ql_front__typical_us(call),
		.has_level = end->has_level,
		.level = end->level,
		.retry_after_us = end->retry_after_ms * QL_US_PER_MS,
	};

	ql_count_latency(call->front->opts.counters, QL_LATENCY_ATTEMPT,
			 result.latency_us);
	call->attempt_in_flight = false;
	call->attempt.call = NULL;
	if (end->outcome == QL_OUTCOME_ANSWERED)
		ql_front__record_latency(call, result.latency_us);
	ql_balancer_record_result(&call->service->balancer,
				  call->tried[call->n_tried - 1], &result,
				  ql_front__now_us(call));
}

static void write_answer_head(ql_front_call_t *call, int64_t length)
{
	ql_http_exchange_write_head(call->exchange, call->status,
				    call->header_lines, length);
	ql_http_exchange_write(call->exchange, call->buffered_body->data,
			       call->buffered_body->len);
	g_byte_array_set_size(call->buffered_body, 0);
}

static void on_head(void *data, const ql_response_head_t *head)
{
	ql_front_call_t *call = data;

	call->status = head->status;
	call->content_length = head->length;
	g_byte_array_set_size(call->header_lines, 0);
	g_byte_array_set_size(call->buffered_body, 0);
	ql_call_write_headers(call->header_lines, head->headers);
	ql_call_write_outcome(call->header_lines, QL_OUTCOME_ANSWERED,
			      QL_REASON_NONE);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	ql_front_call_t *call = data;

	if (!call->streaming &&
	    call->buffered_body->len + length > HELD_MAX_BYTES) {
		write_answer_head(call, call->content_length);
		call->streaming = true;
	}
	if (!call->streaming) {
		g_byte_array_append(call->buffered_body, (const guint8 *)bytes,
				    (guint)length);
		return;
	}
	ql_http_exchange_write(call->exchange, bytes, length);
	if (!call->paused &&
	    ql_http_exchange_pending(call->exchange) > PENDING_MAX_BYTES) {
		call->paused = true;
		call->attempt.ops->pause(call->attempt.call);
	}
}

static void on_complete(void *data, const ql_call_result_t *end)
{
	ql_front_call_t *call = data;
	int64_t length = call->content_length;

	report_attempt(call, end);
	count_end(call, QL_OUTCOME_ANSWERED);
	count_outcome(call, call->status < HTTP_STATUS_INTERNAL_SERVER_ERROR);
	ql_front__record_response(call, end);
	if (!call->streaming) {
		if (call->buffered_body->len)
			length = call->buffered_body->len;
		write_answer_head(call, MAX(length, 0));
	}
	ql_http_exchange_end(call->exchange);
	call_free(call);
}

/* Whether an attempt that ended so may have reached an endpoint. */
static bool was_sent(const ql_call_result_t *end)
{
	return end->outcome != QL_OUTCOME_NOT_RUN ||
	       end->reason == QL_REASON_ENDPOINT_REFUSED;
}

static bool may_repeat(const ql_front_call_t *call, const ql_call_result_t *end)
{
	if (end->outcome == QL_OUTCOME_UNKNOWN && !call->route->idempotent)
		return false;
	if (end->reason == QL_REASON_DEADLINE ||
	    end->reason == QL_REASON_BAD_REQUEST || call->streaming)
		return false;
	if (call->n_tried == QL_FRONT_TRIED_MAX)
		return false;
	return call->downstream.deadline_us > ql_front__now_us(call);
}

/* A repeat draws on the budget; a gate that refused costs the endpoints
 * nothing. */
static bool may_try_again(ql_front_call_t *call, const ql_call_result_t *end)
{
	if (!may_repeat(call, end))
		return false;
	if (!was_sent(end)) {
		if (call->n_reroutes == REROUTES_MAX ||
		    call->n_tried >= call->service->balancer.all->len)
			return false;
		call->n_reroutes++;
		ql_front__count(call, QL_COUNT_REROUTES);
		return true;
	}
	if (call->route->attempts && call->n_sent >= call->route->attempts)
		return false;
	if (!ql_retry_budget_spend(&call->service->budget))
		return false;
	ql_front__count(call, QL_COUNT_RETRIES);
	return true;
}

static void on_failed(void *data, const ql_call_result_t *end)
{
	ql_front_call_t *call = data;

	report_attempt(call, end);
	call->n_sent += was_sent(end);
	call->may_have_run |= end->outcome != QL_OUTCOME_NOT_RUN;
	call->retry_after_ms = MAX(call->retry_after_ms, end->retry_after_ms);
	if (may_try_again(call, end))
		ql_front__start_attempt(call);
	else
		ql_front__fail(call, end->reason);
}

static const ql_call_sink_t sink = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

/* Gives up the attempt in progress, if there is one. */
static void cancel_attempt(ql_front_call_t *call, ql_reason_t reason)
{
	ql_call_result_t end = {
		.outcome = QL_OUTCOME_UNKNOWN,
		.reason = reason,
	};
	ql_call_handle_t callee = call->attempt;

	if (!call->attempt_in_flight)
		return;
	report_attempt(call, &end);
	call->may_have_run = true;
	callee.ops->cancel(callee.call);
}

void ql_front__deadline_expired(void *data)
{
	ql_front_call_t *call = data;

	cancel_attempt(call, QL_REASON_DEADLINE);
	ql_front__fail(call, QL_REASON_DEADLINE);
}

static void on_cancelled(void *data)
{
	ql_front_call_t *call = data;

	ql_front__count(call, QL_COUNT_CLIENT_CANCELLED);
	cancel_attempt(call, QL_REASON_CANCELLED);
	call_free(call);
}

static void on_drained(void *data)
{
	ql_front_call_t *call = data;

	if (!call->paused || !call->attempt_in_flight)
		return;
	call->paused = false;
	call->attempt.ops->resume(call->attempt.call);
}

const ql_http_exchange_ops_t ql_front__exchange_ops = {
	.cancelled = on_cancelled,
	.drained = on_drained,
	.successor_received = ql_front__successor_received,
};

static void call_gate(ql_front_call_t *call)
{
	ql_front_t *front = call->front;
	ql_call_handle_t callee;

	ql_front__count(call, QL_COUNT_ATTEMPTS);
	call->attempt_in_flight = true;
	call->attempt_us = ql_front__now_us(call);
	if (!strcmp(call->gate, front->opts.own_gate))
		ql_local_gate_call(front->opts.local, &call->downstream, &sink,
				   call, &callee);
	else
		ql_hops_call(front->opts.hops, call->gate, &call->downstream,
			     &sink, call, &callee);
	/* Otherwise it has ended, and the memory may be gone. */
	if (callee.call)
		call->attempt = callee;
}

void ql_front__start_attempt(ql_front_call_t *call)
{
	ql_balancer_t *balancer = &call->service->balancer;
	const ql_pick_request_t pick = {
		.tried = call->tried,
		.n_tried = call->n_tried,
		.typical_latency_us = ql_front__typical_us(call),
	};
	const ql_endpoint_t *target;
	ql_handle_t handle;

	handle = ql_balancer_pick(balancer, &pick, ql_front__now_us(call));
	if (handle == QL_HANDLE_NONE) {
		ql_front__fail(call, QL_REASON_NO_ENDPOINT);
		return;
	}
	call->tried[call->n_tried++] = handle;
	target = ql_table_get(&balancer->endpoints, handle);
	memcpy(call->gate, target->info.gate, sizeof(call->gate));
	call_gate(call);
}

void ql_front_fail_all(ql_front_t *front)
{
	GList *calls = g_hash_table_get_keys(front->calls);
	GList *link;

	for (link = calls; link; link = link->next) {
		cancel_attempt(link->data, QL_REASON_DRAINING);
		ql_front__fail(link->data, QL_REASON_DRAINING);
	}
	g_list_free(calls);
}
