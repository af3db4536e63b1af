#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"

#include <string.h>

/* Retries of one request after attempts that reached no endpoint. */
#define REROUTES_MAX 3u
/* Shortest time between two requests for the endpoints of a service. */
#define WANTED_INTERVAL_US (1000 * QL_US_PER_MS)
/*
 * A response body up to this size is buffered until it is complete, so that the
 * request can still be retried if the response breaks off.
 */
#define BUFFERED_BODY_MAX_BYTES (128u << 10)
/* Reading a response is paused while more bytes wait for a slow client. */
#define UNSENT_RESPONSE_MAX_BYTES (256u << 10)

static void call_free(ql_front_call_t *call)
{
	if (call->admitted)
		ql_route_admission_finish_request(&call->route_class->admission,
						  call->guaranteed,
						  call->served);
	ql_front__route_class_unref(call->route_class);
	ql_front__route_unref(call->route_state);
	g_hash_table_remove(call->front->calls, call);
	ql_loop_stop_timer(call->front->loop, &call->deadline_timer);
	ql_loop_stop_timer(call->front->loop, &call->delay_timer);
	ql_loop_stop_timer(call->front->loop, &call->quota_timer);
	ql_quota_wallet_leave(&call->quota_waiter);
	ql_headers_finish(&call->headers);
	g_byte_array_free(call->header_lines, TRUE);
	g_byte_array_free(call->buffered_body, TRUE);
	ql_document_unref(call->doc);
	g_free(call);
}

/* A failed call has its own event, as it wastes the work of its callers. */
static const char *failure_event(const ql_front_call_t *call)
{
	if (call->downstream.under_way)
		return "call_failed";
	return call->n_tried ? "request_failed" : "request_refused";
}

static void log_failure(const ql_front_call_t *call,
			const ql_call_result_t *result)
{
	ql_log(LOG_INFO, failure_event(call), QL_STR("id", call->downstream.id),
	       QL_STR("route", call->route->name),
	       QL_STR("class", call->downstream.class_name),
	       QL_INT("guaranteed", call->guaranteed),
	       QL_UINT("version", call->doc->version),
	       QL_STR("service", call->downstream.service),
	       QL_STR("outcome", ql_outcome_name(result->outcome)),
	       QL_STR("reason", ql_reason_name(result->reason)),
	       QL_STR("gate", call->gate), QL_UINT("sent", call->n_sent),
	       QL_UINT("reroutes", call->n_reroutes),
	       QL_UINT("age_us",
		       ql_front__now_us(call) - call->exchange->received_us));
}

/*
 * Counts client requests only. A call of the local endpoint belongs to a client
 * request, which its first node counts.
 */
static void count_client_outcome(const ql_front_call_t *call,
				 ql_outcome_t outcome)
{
	if (call->downstream.under_way)
		return;
	ql_front__count_outcome(call->front, outcome);
	ql_latency_record(call->front->opts.counters, QL_LATENCY_CLIENT,
			  ql_front__now_us(call) - call->exchange->received_us);
}

/* Counts the outcome by route, for ql_load_log_t. */
static void count_route_outcome(const ql_front_call_t *call, bool answered)
{
	ql_front_usage_t *usage = &call->route_class->usage;

	if (answered)
		usage->answered++;
	else if (call->n_tried)
		usage->failed++;
	else
		usage->refused_early++;
}

/*
 * Takes back a response that waits behind others on its connection, so that the
 * request can be retried, or the client told that it failed.
 */
static void discard_unsent_response(ql_front_call_t *call)
{
	if (!call->streaming || !ql_http_exchange_discard(call->exchange))
		return;
	call->streaming = false;
	call->paused = false;
}

void ql_front__fail(ql_front_call_t *call, ql_reason_t reason)
{
	ql_call_result_t result = {
		.outcome = call->may_have_run ? QL_OUTCOME_UNKNOWN
					      : QL_OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = call->retry_after_ms,
	};

	if (!call->may_have_run && !call->n_sent)
		ql_front__return_quota(call);
	discard_unsent_response(call);
	log_failure(call, &result);
	count_route_outcome(call, false);
	ql_front__record_failure(call, reason);
	count_client_outcome(call, call->streaming ? QL_OUTCOME_UNKNOWN
						   : result.outcome);
	if (call->streaming)
		ql_http_exchange_abort(call->exchange);
	else
		ql_front__send_failure(call->front, call->exchange, &result);
	call_free(call);
}

static void finish_attempt(ql_front_call_t *call,
			   const ql_call_result_t *result)
{
	ql_attempt_result_t attempt_result = {
		.outcome = result->outcome,
		.reason = result->reason,
		.failed = result->outcome == QL_OUTCOME_ANSWERED &&
			  call->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR,
		.latency_us = ql_front__now_us(call) - call->attempt_us,
		.typical_latency_us = ql_front__typical_latency_us(call),
		.has_load_level = result->has_load_level,
		.load_level = result->load_level,
		.has_occupancy = result->has_occupancy,
		.occupancy = result->occupancy,
		.retry_after_us = result->retry_after_ms * QL_US_PER_MS,
	};

	ql_latency_record(call->front->opts.counters, QL_LATENCY_ATTEMPT,
			  attempt_result.latency_us);
	if (result->bad_occupancy)
		ql_front__count(call, QL_COUNT_BAD_METADATA);
	call->attempt_in_flight = false;
	call->attempt.call = NULL;
	if (result->outcome == QL_OUTCOME_ANSWERED)
		ql_front__record_latency(call, attempt_result.latency_us);
	ql_balancer_record_result(&call->service->balancer,
				  call->tried[call->n_tried - 1],
				  &attempt_result, ql_front__now_us(call));
}

static void write_head_and_buffered_body(ql_front_call_t *call, int64_t length)
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
	ql_call_write_headers(call->header_lines, call->front->opts.dialect,
			      head->headers);
	ql_call_write_outcome(call->header_lines, QL_OUTCOME_ANSWERED,
			      QL_REASON_NONE);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	ql_front_call_t *call = data;

	if (!call->streaming &&
	    call->buffered_body->len + length > BUFFERED_BODY_MAX_BYTES) {
		write_head_and_buffered_body(call, call->content_length);
		call->streaming = true;
	}
	if (!call->streaming) {
		g_byte_array_append(call->buffered_body, (const guint8 *)bytes,
				    (guint)length);
		return;
	}
	ql_http_exchange_write(call->exchange, bytes, length);
	if (!call->paused && ql_http_exchange_pending(call->exchange) >
				     UNSENT_RESPONSE_MAX_BYTES) {
		call->paused = true;
		call->attempt.ops->pause(call->attempt.call);
	}
}

static void on_complete(void *data, const ql_call_result_t *result)
{
	ql_front_call_t *call = data;
	int64_t length = call->content_length;

	finish_attempt(call, result);
	count_client_outcome(call, QL_OUTCOME_ANSWERED);
	count_route_outcome(call,
			    call->status < HTTP_STATUS_INTERNAL_SERVER_ERROR);
	ql_front__record_response(call, result);
	if (!call->streaming) {
		if (call->buffered_body->len)
			length = call->buffered_body->len;
		write_head_and_buffered_body(call, MAX(length, 0));
	}
	ql_http_exchange_end(call->exchange);
	call_free(call);
}

/* Checks whether an attempt may have reached an endpoint. */
static bool may_have_reached_endpoint(const ql_call_result_t *result)
{
	return result->outcome != QL_OUTCOME_NOT_RUN ||
	       result->reason == QL_REASON_ENDPOINT_REFUSED;
}

static bool may_retry(const ql_front_call_t *call,
		      const ql_call_result_t *result)
{
	if (result->outcome == QL_OUTCOME_UNKNOWN && !call->route->idempotent)
		return false;
	if (result->reason == QL_REASON_DEADLINE ||
	    result->reason == QL_REASON_BAD_REQUEST || call->streaming)
		return false;
	if (call->n_tried == QL_FRONT_TRIED_MAX)
		return false;
	return call->downstream.deadline_us > ql_front__now_us(call);
}

/*
 * Decides on another attempt and counts it. A retry after an attempt that may
 * have reached an endpoint spends retry budget. A reroute after an attempt that
 * reached no endpoint spends none, as it adds no load to the endpoints.
 */
static bool take_retry(ql_front_call_t *call, const ql_call_result_t *result)
{
	if (!may_retry(call, result))
		return false;
	if (!may_have_reached_endpoint(result)) {
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
	call->downstream.repeat = true;
	return true;
}

static void on_failed(void *data, const ql_call_result_t *result)
{
	ql_front_call_t *call = data;

	finish_attempt(call, result);
	call->n_sent += may_have_reached_endpoint(result);
	call->may_have_run |= result->outcome != QL_OUTCOME_NOT_RUN;
	call->retry_after_ms =
		MAX(call->retry_after_ms, result->retry_after_ms);
	discard_unsent_response(call);
	if (take_retry(call, result))
		ql_front__start_attempt(call);
	else
		ql_front__fail(call, result->reason);
}

static const ql_call_sink_t sink = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

/* Cancels the attempt in flight, if there is one. */
static void cancel_attempt(ql_front_call_t *call, ql_reason_t reason)
{
	ql_call_result_t result = {
		.outcome = QL_OUTCOME_UNKNOWN,
		.reason = reason,
	};
	ql_call_handle_t attempt = call->attempt;

	if (!call->attempt_in_flight)
		return;
	finish_attempt(call, &result);
	call->may_have_run = true;
	attempt.ops->cancel(attempt.call);
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
	if (!call->n_tried)
		ql_front__return_quota(call);
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
	ql_call_handle_t attempt;

	ql_front__count(call, QL_COUNT_ATTEMPTS);
	call->attempt_in_flight = true;
	call->attempt_us = ql_front__now_us(call);
	if (!strcmp(call->gate, front->opts.own_gate))
		ql_local_gate_call(front->opts.local, &call->downstream, &sink,
				   call, &attempt);
	else
		ql_hops_call(front->opts.hops, call->gate, &call->downstream,
			     &sink, call, &attempt);
	/* Otherwise the attempt has ended and the request may be freed. */
	if (attempt.call)
		call->attempt = attempt;
}

/*
 * Asks for the endpoints of the service. A node follows only some services of a
 * large document before they are called.
 */
static void want_service(ql_front_call_t *call)
{
	const ql_front_opts_t *opts = &call->front->opts;
	ql_front_service_t *service = call->service;
	uint64_t now_us = ql_front__now_us(call);

	if (!opts->service_wanted || now_us < service->next_wanted_us ||
	    (service->next_wanted_us && service->balancer.endpoints.count))
		return;
	service->next_wanted_us = now_us + WANTED_INTERVAL_US;
	opts->service_wanted(opts->data, call->downstream.service);
}

void ql_front__start_attempt(ql_front_call_t *call)
{
	ql_balancer_t *balancer = &call->service->balancer;
	const ql_pick_request_t pick = {
		.tried = call->tried,
		.n_tried = call->n_tried,
		/*
		 * An endpoint that gets the same request ID twice could answer
		 * the second one with a copy of its first refusal.
		 */
		.once_per_endpoint = !call->route->idempotent,
		.typical_latency_us = ql_front__typical_latency_us(call),
	};
	const ql_endpoint_t *endpoint;
	ql_handle_t handle;

	want_service(call);
	handle = ql_balancer_pick(balancer, &pick, ql_front__now_us(call));
	if (handle == QL_HANDLE_NONE) {
		ql_front__fail(call, QL_REASON_NO_ENDPOINT);
		return;
	}
	call->tried[call->n_tried++] = handle;
	endpoint = ql_table_get(&balancer->endpoints, handle);
	memcpy(call->gate, endpoint->info.gate, sizeof(call->gate));
	call_gate(call);
}

/* Returns a request in flight, or NULL if there is none. */
static ql_front_call_t *any_call(const ql_front_t *front)
{
	GHashTableIter iter;
	gpointer call = NULL;

	g_hash_table_iter_init(&iter, front->calls);
	g_hash_table_iter_next(&iter, &call, NULL);
	return call;
}

/*
 * Each turn looks for a request anew: the end of a response that is streamed
 * closes its connection, which frees the requests behind it.
 */
void ql_front_fail_all(ql_front_t *front)
{
	ql_front_call_t *call;

	while ((call = any_call(front))) {
		cancel_attempt(call, QL_REASON_DRAINING);
		ql_front__fail(call, QL_REASON_DRAINING);
	}
}
