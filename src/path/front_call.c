#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/give_way.h"
#include "quetzalloft/log.h"

#include <string.h>

/* Gates that may refuse one request before the client is told. */
#define REROUTES_MAX 3u
/* An answer up to this size is held until it is whole, so that a broken one
 * can still be followed by another attempt. */
#define HELD_MAX_BYTES (128u << 10)
/* Bytes of an answer that may wait for a slow client. */
#define PENDING_MAX_BYTES (256u << 10)
/* Another node takes the request at once. */
#define LEAVING_RETRY_MS 50u
/* So does another connection. */
#define GAVE_WAY_RETRY_MS 10u

static void start_attempt(ql_front_call_t *call);

static uint64_t now_us(const ql_front_call_t *call)
{
	return ql_loop_now_us(call->front->loop);
}

static void call_free(ql_front_call_t *call)
{
	if (call->let_through)
		ql_route_admission_end(&call->kept->admission, call->guaranteed,
				       call->served);
	ql_front__route_unref(call->kept);
	g_hash_table_remove(call->front->calls, call);
	ql_loop_stop_timer(call->front->loop, &call->deadline);
	ql_loop_stop_timer(call->front->loop, &call->hold);
	ql_headers_finish(&call->headers);
	g_byte_array_free(call->lines, TRUE);
	g_byte_array_free(call->held, TRUE);
	ql_document_unref(call->doc);
	g_free(call);
}

static void count(const ql_front_call_t *call, ql_counter_t counter)
{
	ql_count(call->front->opts.counters, counter);
}

/* A call for a request that is under way costs all that was done above it. */
static const char *failure_event(const ql_front_call_t *call)
{
	if (call->call.under_way)
		return "call_failed";
	return call->n_tried ? "request_failed" : "request_refused";
}

static void log_failure(const ql_front_call_t *call, const ql_call_end_t *end)
{
	ql_log(LOG_INFO, failure_event(call), QL_STR("id", call->call.id),
	       QL_STR("route", call->route->name),
	       QL_STR("class", call->call.class_name),
	       QL_INT("guaranteed", call->guaranteed),
	       QL_UINT("version", call->doc->version),
	       QL_STR("service", call->call.service),
	       QL_STR("outcome", ql_outcome_name(end->outcome)),
	       QL_STR("reason", ql_reason_name(end->reason)),
	       QL_STR("gate", call->gate), QL_UINT("sent", call->n_sent),
	       QL_UINT("reroutes", call->n_reroutes),
	       QL_UINT("age_us", now_us(call) - call->exchange->received_us));
}

/* Calls of the endpoint beside this node are counted where they were begun. */
static void count_end(const ql_front_call_t *call, ql_outcome_t outcome)
{
	if (call->call.under_way)
		return;
	ql_front__count_outcome(call->front, outcome);
	ql_count_latency(call->front->opts.counters, QL_LATENCY_CLIENT,
			 now_us(call) - call->exchange->received_us);
}

/* What becomes of requests by their route, for ql_load_log_t. */
static void count_outcome(const ql_front_call_t *call, bool answered)
{
	ql_front_usage_t *usage = &call->kept->usage;

	if (answered)
		usage->answered++;
	else if (call->n_tried)
		usage->failed++;
	else
		usage->refused_early++;
}

static void end_in_failure(ql_front_call_t *call, ql_reason_t reason)
{
	ql_call_end_t end = {
		.outcome = call->may_have_run ? QL_OUTCOME_UNKNOWN
					      : QL_OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = call->retry_after_ms,
	};

	log_failure(call, &end);
	count_outcome(call, false);
	ql_front__note_failure(call, reason);
	count_end(call, call->streaming ? QL_OUTCOME_UNKNOWN : end.outcome);
	if (call->streaming)
		ql_http_exchange_abort(call->exchange);
	else
		ql_front__answer_failure(call->front, call->exchange, &end);
	call_free(call);
}

static void report_attempt(ql_front_call_t *call, const ql_call_end_t *end)
{
	ql_attempt_result_t result = {
		.outcome = end->outcome,
		.reason = end->reason,
		.failed = end->outcome == QL_OUTCOME_ANSWERED &&
			  call->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR,
		.latency_us = now_us(call) - call->attempt_us,
		.typical_us = ql_front__typical_us(call),
		.has_level = end->has_level,
		.level = end->level,
		.retry_after_us = end->retry_after_ms * QL_US_PER_MS,
	};

	ql_count_latency(call->front->opts.counters, QL_LATENCY_ATTEMPT,
			 result.latency_us);
	call->in_attempt = false;
	call->callee.call = NULL;
	if (end->outcome == QL_OUTCOME_ANSWERED)
		ql_front__note_typical(call, result.latency_us);
	ql_balancer_done(&call->service->balancer,
			 call->tried[call->n_tried - 1], &result, now_us(call));
}

static void write_answer_head(ql_front_call_t *call, int64_t length)
{
	ql_http_exchange_begin(call->exchange, call->status, call->lines,
			       length);
	ql_http_exchange_write(call->exchange, call->held->data,
			       call->held->len);
	g_byte_array_set_size(call->held, 0);
}

static void on_head(void *data, const ql_answer_head_t *head)
{
	ql_front_call_t *call = data;

	call->status = head->status;
	call->length = head->length;
	g_byte_array_set_size(call->lines, 0);
	g_byte_array_set_size(call->held, 0);
	ql_call_write_headers(call->lines, head->headers);
	ql_call_write_outcome(call->lines, QL_OUTCOME_ANSWERED, QL_REASON_NONE);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	ql_front_call_t *call = data;

	if (!call->streaming && call->held->len + length > HELD_MAX_BYTES) {
		write_answer_head(call, call->length);
		call->streaming = true;
	}
	if (!call->streaming) {
		g_byte_array_append(call->held, (const guint8 *)bytes,
				    (guint)length);
		return;
	}
	ql_http_exchange_write(call->exchange, bytes, length);
	if (!call->paused &&
	    ql_http_exchange_pending(call->exchange) > PENDING_MAX_BYTES) {
		call->paused = true;
		call->callee.ops->pause(call->callee.call);
	}
}

static void on_complete(void *data, const ql_call_end_t *end)
{
	ql_front_call_t *call = data;
	int64_t length = call->length;

	report_attempt(call, end);
	count_end(call, QL_OUTCOME_ANSWERED);
	count_outcome(call, call->status < HTTP_STATUS_INTERNAL_SERVER_ERROR);
	ql_front__note_answer(call, end);
	if (!call->streaming) {
		if (call->held->len)
			length = call->held->len;
		write_answer_head(call, MAX(length, 0));
	}
	ql_http_exchange_end(call->exchange);
	call_free(call);
}

/* Whether an attempt that ended so may have reached an endpoint. */
static bool was_sent(const ql_call_end_t *end)
{
	return end->outcome != QL_OUTCOME_NOT_RUN ||
	       end->reason == QL_REASON_ENDPOINT_REFUSED;
}

static bool may_repeat(const ql_front_call_t *call, const ql_call_end_t *end)
{
	if (end->outcome == QL_OUTCOME_UNKNOWN && !call->route->idempotent)
		return false;
	if (end->reason == QL_REASON_DEADLINE ||
	    end->reason == QL_REASON_BAD_REQUEST || call->streaming)
		return false;
	if (call->n_tried == QL_FRONT_TRIED_MAX)
		return false;
	return call->call.deadline_us > now_us(call);
}

/* A repeat draws on the budget; a gate that refused costs the endpoints
 * nothing. */
static bool may_try_again(ql_front_call_t *call, const ql_call_end_t *end)
{
	if (!may_repeat(call, end))
		return false;
	if (!was_sent(end)) {
		if (call->n_reroutes == REROUTES_MAX ||
		    call->n_tried >= call->service->balancer.all->len)
			return false;
		call->n_reroutes++;
		count(call, QL_COUNT_REROUTES);
		return true;
	}
	if (call->route->attempts && call->n_sent >= call->route->attempts)
		return false;
	if (!ql_retry_budget_spend(&call->service->budget))
		return false;
	count(call, QL_COUNT_RETRIES);
	return true;
}

static void on_failed(void *data, const ql_call_end_t *end)
{
	ql_front_call_t *call = data;

	report_attempt(call, end);
	call->n_sent += was_sent(end);
	call->may_have_run |= end->outcome != QL_OUTCOME_NOT_RUN;
	call->retry_after_ms = MAX(call->retry_after_ms, end->retry_after_ms);
	if (may_try_again(call, end))
		start_attempt(call);
	else
		end_in_failure(call, end->reason);
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
	ql_call_end_t end = {
		.outcome = QL_OUTCOME_UNKNOWN,
		.reason = reason,
	};
	ql_callee_call_t callee = call->callee;

	if (!call->in_attempt)
		return;
	report_attempt(call, &end);
	call->may_have_run = true;
	callee.ops->cancel(callee.call);
}

static void on_deadline(void *data)
{
	ql_front_call_t *call = data;

	cancel_attempt(call, QL_REASON_DEADLINE);
	end_in_failure(call, QL_REASON_DEADLINE);
}

static void on_cancelled(void *data)
{
	ql_front_call_t *call = data;

	count(call, QL_COUNT_CLIENT_CANCELLED);
	cancel_attempt(call, QL_REASON_CANCELLED);
	call_free(call);
}

static void on_drained(void *data)
{
	ql_front_call_t *call = data;

	if (!call->paused || !call->in_attempt)
		return;
	call->paused = false;
	call->callee.ops->resume(call->callee.call);
}

static bool gives_way(const ql_front_call_t *call, uint64_t until_us)
{
	const ql_give_way_t request = {
		.now_us = now_us(call),
		.begun_us = call->exchange->received_us,
		.typical_us = (uint64_t)ql_front__typical_us(call),
		.until_us = until_us,
	};

	return ql_gives_way(&request);
}

static bool on_followed(void *data, uint64_t until_us)
{
	ql_front_call_t *call = data;

	if (!gives_way(call, until_us))
		return false;
	call->kept->followed_us = now_us(call);
	if (!call->held_back)
		return false;
	count(call, QL_COUNT_GAVE_WAY);
	call->retry_after_ms = GAVE_WAY_RETRY_MS;
	end_in_failure(call, QL_REASON_GAVE_WAY);
	return true;
}

static const ql_http_exchange_ops_t exchange_ops = {
	.cancelled = on_cancelled,
	.drained = on_drained,
	.followed = on_followed,
};

static void call_gate(ql_front_call_t *call)
{
	ql_front_t *front = call->front;
	ql_callee_call_t callee;

	count(call, QL_COUNT_ATTEMPTS);
	call->in_attempt = true;
	call->attempt_us = now_us(call);
	if (!strcmp(call->gate, front->opts.own_gate))
		ql_local_gate_call(front->opts.local, &call->call, &sink, call,
				   &callee);
	else
		ql_hops_call(front->opts.hops, call->gate, &call->call, &sink,
			     call, &callee);
	/* Otherwise it has ended, and the memory may be gone. */
	if (callee.call)
		call->callee = callee;
}

static void start_attempt(ql_front_call_t *call)
{
	ql_balancer_t *balancer = &call->service->balancer;
	const ql_pick_t pick = {
		.tried = call->tried,
		.n_tried = call->n_tried,
		.typical_us = ql_front__typical_us(call),
	};
	const ql_target_t *target;
	ql_handle_t handle;

	handle = ql_balancer_pick(balancer, &pick, now_us(call));
	if (handle == QL_HANDLE_NONE) {
		end_in_failure(call, QL_REASON_NO_ENDPOINT);
		return;
	}
	call->tried[call->n_tried++] = handle;
	target = ql_table_get(&balancer->targets, handle);
	memcpy(call->gate, target->info.gate, sizeof(call->gate));
	call_gate(call);
}

static void on_held_long_enough(void *data)
{
	ql_front_call_t *call = data;

	call->held_back = false;
	start_attempt(call);
}

/* How long a request waits for another one that it would hold up. */
static uint64_t hold_ms(const ql_front_call_t *call)
{
	const ql_give_way_route_t route = {
		.now_us = now_us(call),
		.followed_us = call->kept->followed_us,
		.typical_us = (uint64_t)ql_front__typical_us(call),
	};

	if (!call->route->idempotent || call->call.under_way)
		return 0;
	return ql_give_way_hold_us(&route) / QL_US_PER_MS;
}

static void hold_or_start(ql_front_call_t *call)
{
	uint64_t held_ms = hold_ms(call);

	if (!held_ms) {
		start_attempt(call);
		return;
	}
	call->held_back = true;
	ql_loop_start_timer(call->front->loop, &call->hold, held_ms);
}

static ql_front_call_t *call_new(ql_front_t *front,
				 ql_http_exchange_t *exchange,
				 const ql_route_t *route)
{
	ql_front_call_t *call = g_new0(ql_front_call_t, 1);
	uint16_t service;
	size_t index;

	call->front = front;
	call->exchange = exchange;
	call->doc = ql_document_ref(front->doc);
	call->route = route;
	index = (size_t)(route - front->doc->routes);
	call->kept = front->routes[index];
	call->kept->references++;
	call->lines = g_byte_array_new();
	call->held = g_byte_array_new();
	service = ql_front_choose_part(front, index);
	ql_front__prepare(call, call->doc->services[service].name);
	call->service = ql_front_find_service(front, call->call.service);
	g_hash_table_add(front->calls, call);
	call->deadline.expired = on_deadline;
	call->deadline.data = call;
	call->hold.expired = on_held_long_enough;
	call->hold.data = call;
	exchange->ops = &exchange_ops;
	exchange->data = call;
	return call;
}

static void refuse(ql_front_t *front, ql_http_exchange_t *exchange,
		   ql_reason_t reason, uint32_t retry_after_ms)
{
	ql_call_end_t end = {
		.outcome = QL_OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	ql_count(front->opts.counters, QL_COUNT_CLIENT_REQUESTS);
	ql_front__count_outcome(front, QL_OUTCOME_NOT_RUN);
	ql_front__answer_failure(front, exchange, &end);
}

/* Its calls are served before those of its own class. */
static void raise_class(ql_front_call_t *call)
{
	const ql_class_t *top = ql_document_top_class(call->doc);

	call->guaranteed = true;
	call->call.class_name = top->name;
	call->call.shed_order = (uint32_t)top->shed_order;
}

/* Whether a request is refused before anything was done for it. */
static bool is_refused_early(ql_front_call_t *call)
{
	ql_front_t *front = call->front;
	const ql_admission_offer_t offer = {
		.guaranteed_share = call->doc->guaranteed_share,
		.target_ms = call->route->target_ms,
		.random = front->random,
		.now_us = now_us(call),
	};
	ql_admission_decision_t decision;

	/* Refusing a call would throw away the work above it. */
	if (call->call.under_way)
		return false;
	decision = ql_route_admission_offer(&call->kept->admission, &offer);
	call->retry_after_ms = decision.retry_after_ms;
	call->let_through = !decision.refuse;
	if (decision.guaranteed && !decision.refuse)
		raise_class(call);
	return decision.refuse;
}

static void begin(ql_front_call_t *call)
{
	uint64_t now = now_us(call);

	count(call, call->call.under_way ? QL_COUNT_LOCAL_CALLS
					 : QL_COUNT_CLIENT_REQUESTS);
	call->kept->usage.offered++;
	if (is_refused_early(call)) {
		count(call, QL_COUNT_EARLY_REFUSALS);
		end_in_failure(call, QL_REASON_OVERLOAD);
		return;
	}
	ql_retry_budget_earn(&call->service->budget);
	if (call->call.deadline_us <= now) {
		end_in_failure(call, QL_REASON_DEADLINE);
		return;
	}
	ql_loop_start_timer(call->front->loop, &call->deadline,
			    (call->call.deadline_us - now) / QL_US_PER_MS);
	hold_or_start(call);
}

void ql_front_handle(void *data, ql_http_exchange_t *exchange)
{
	ql_front_t *front = data;
	const ql_route_t *route;

	if (!front->doc || !front->ready) {
		refuse(front, exchange, QL_REASON_NOT_READY, 0);
		return;
	}
	if (front->leaving) {
		refuse(front, exchange, QL_REASON_DRAINING, LEAVING_RETRY_MS);
		return;
	}
	route = ql_front__find_route(front, exchange);
	if (!route)
		refuse(front, exchange, QL_REASON_NO_ROUTE, 0);
	else
		begin(call_new(front, exchange, route));
}

void ql_front_fail_all(ql_front_t *front)
{
	GList *calls = g_hash_table_get_keys(front->calls);
	GList *link;

	for (link = calls; link; link = link->next) {
		cancel_attempt(link->data, QL_REASON_DRAINING);
		end_in_failure(link->data, QL_REASON_DRAINING);
	}
	g_list_free(calls);
}
