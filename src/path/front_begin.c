#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/head_of_line.h"

#include <string.h>

/* Short, as another node can take the request at once. */
#define DRAINING_RETRY_AFTER_MS 50u
/* Short, as the client can use another connection at once. */
#define HEAD_OF_LINE_RETRY_AFTER_MS 10u
/* Less than a renewal of the lease takes, as each may bring a proof. */
#define NOT_CURRENT_RETRY_AFTER_MS 250u

static bool blocks_successor(const ql_front_call_t *call,
			     uint64_t successor_deadline_us)
{
	const ql_head_of_line_request_t request = {
		.now_us = ql_front__now_us(call),
		.received_us = call->exchange->received_us,
		.typical_latency_us =
			(uint64_t)ql_front__typical_latency_us(call),
		.next_timeout_us = successor_deadline_us,
	};

	return ql_head_of_line_must_refuse(&request);
}

bool ql_front__successor_received(void *data, uint64_t successor_deadline_us)
{
	ql_front_call_t *call = data;

	if (!blocks_successor(call, successor_deadline_us))
		return false;
	call->route_state->last_blocking_us = ql_front__now_us(call);
	if (!call->is_delayed)
		return false;
	ql_front__count(call, QL_COUNT_GAVE_WAY);
	call->retry_after_ms = HEAD_OF_LINE_RETRY_AFTER_MS;
	ql_front__fail(call, QL_REASON_GAVE_WAY);
	return true;
}

static void on_delay_expired(void *data)
{
	ql_front_call_t *call = data;

	call->is_delayed = false;
	ql_front__start_attempt(call);
}

/*
 * How long to delay the first attempt, so that the request can still be refused
 * if it blocks a later one on its connection; 0 if it must not be delayed.
 */
static uint64_t first_attempt_delay_ms(const ql_front_call_t *call)
{
	const ql_head_of_line_route_t route = {
		.now_us = ql_front__now_us(call),
		.last_blocking_us = call->route_state->last_blocking_us,
		.typical_latency_us =
			(uint64_t)ql_front__typical_latency_us(call),
	};

	if (!call->route->idempotent || call->downstream.under_way)
		return 0;
	return ql_head_of_line_forward_delay_us(&route) / QL_US_PER_MS;
}

static void delay_or_start(ql_front_call_t *call)
{
	uint64_t delay_ms = first_attempt_delay_ms(call);

	if (!delay_ms) {
		ql_front__start_attempt(call);
		return;
	}
	call->is_delayed = true;
	ql_loop_start_timer(call->front->loop, &call->delay_timer, delay_ms);
}

static ql_front_call_t *call_new(ql_front_t *front,
				 ql_http_exchange_t *exchange,
				 const ql_route_t *route, const ql_team_t *team)
{
	ql_front_call_t *call = g_new0(ql_front_call_t, 1);
	uint16_t service;
	size_t index;

	call->front = front;
	call->exchange = exchange;
	call->doc = ql_document_ref(front->doc);
	call->route = route;
	call->team = team;
	index = (size_t)(route - front->doc->routes);
	call->route_state = front->routes[index];
	call->route_state->references++;
	call->route_class = ql_front__get_route_class(call);
	call->route_class->references++;
	call->header_lines = g_byte_array_new();
	call->buffered_body = g_byte_array_new();
	service = ql_front_choose_service(front, index);
	ql_front__prepare(call, call->doc->services[service].name);
	call->service = ql_front_find_service(front, call->downstream.service);
	g_hash_table_add(front->calls, call);
	call->deadline_timer.expired = ql_front__deadline_expired;
	call->deadline_timer.data = call;
	call->delay_timer.expired = on_delay_expired;
	call->delay_timer.data = call;
	exchange->ops = &ql_front__exchange_ops;
	exchange->data = call;
	return call;
}

static void refuse_request(ql_front_t *front, ql_http_exchange_t *exchange,
			   ql_reason_t reason, uint32_t retry_after_ms)
{
	ql_call_result_t result = {
		.outcome = QL_OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	ql_counter_increment(front->opts.counters, QL_COUNT_CLIENT_REQUESTS);
	ql_front__count_outcome(front, QL_OUTCOME_NOT_RUN);
	ql_front__send_failure(front, exchange, &result);
}

/* Serves the request and its calls with the highest class. */
static void raise_to_top_class(ql_front_call_t *call)
{
	const ql_class_t *top = ql_document_top_class(call->doc);

	call->guaranteed = true;
	call->downstream.class_name = top->name;
	call->downstream.shed_order = (uint32_t)top->shed_order;
}

/* Decides on early rejection, before any work is done for the request. */
static bool is_rejected_early(ql_front_call_t *call)
{
	ql_front_t *front = call->front;
	ql_admission_offer_t offer = {
		.guaranteed_share = call->doc->guaranteed_share,
		.target_ms = call->route->target_ms,
		.random = front->random,
		.now_us = ql_front__now_us(call),
	};
	ql_admission_decision_t decision;

	/* Refusing a call would waste the work done by its callers. */
	if (call->downstream.under_way)
		return false;
	offer.choice = ql_front__compare_shares(call);
	decision =
		ql_route_admission_offer(&call->route_class->admission, &offer);
	ql_front__record_share(call, &decision, offer.choice);
	call->retry_after_ms = decision.retry_after_ms;
	call->admitted = !decision.refuse;
	if (decision.guaranteed && !decision.refuse)
		raise_to_top_class(call);
	return decision.refuse;
}

static void count_request(const ql_front_call_t *call)
{
	ql_front__count(call, call->downstream.under_way
				      ? QL_COUNT_LOCAL_CALLS
				      : QL_COUNT_CLIENT_REQUESTS);
	call->route_class->usage.offered++;
}

void ql_front__start_call(ql_front_call_t *call)
{
	uint64_t now = ql_front__now_us(call);

	if (is_rejected_early(call)) {
		ql_front__count(call, QL_COUNT_EARLY_REFUSALS);
		ql_front__fail(call, QL_REASON_OVERLOAD);
		return;
	}
	if (call->downstream.repeat)
		ql_retry_budget_charge(&call->service->budget);
	else
		ql_retry_budget_earn(&call->service->budget);
	if (call->downstream.deadline_us <= now) {
		ql_front__fail(call, QL_REASON_DEADLINE);
		return;
	}
	ql_loop_start_timer(call->front->loop, &call->deadline_timer,
			    (call->downstream.deadline_us - now) /
				    QL_US_PER_MS);
	delay_or_start(call);
}

bool ql_front__ends_too_late(const ql_front_t *front, const ql_route_t *route)
{
	const ql_front_route_t *state =
		front->routes[route - front->doc->routes];
	uint64_t now = ql_loop_now_us(front->loop);

	return front->end_us &&
	       now + (uint64_t)state->typical_latency_us >= front->end_us;
}

uint32_t ql_front__count_caller_refusal(ql_front_t *front, ql_reason_t reason)
{
	if (reason != QL_REASON_NOT_CURRENT)
		return 0;
	ql_counter_increment(front->opts.counters, QL_COUNT_KEYS_NOT_CURRENT);
	return ql_retry_after_ms(NOT_CURRENT_RETRY_AFTER_MS, front->random);
}

/* Refuses the request of an unknown caller and starts that of a known one. */
static void start_identified(ql_front_t *front, ql_http_exchange_t *exchange,
			     const ql_route_t *route)
{
	const ql_team_t *team;
	ql_front_call_t *call;
	ql_reason_t reason =
		ql_front__identify_caller(front, exchange, route, &team);

	if (reason != QL_REASON_NONE) {
		refuse_request(front, exchange, reason,
			       ql_front__count_caller_refusal(front, reason));
		return;
	}
	call = call_new(front, exchange, route, team);
	count_request(call);
	if (ql_front__has_quota(front, team))
		ql_front__take_quota(call);
	else
		ql_front__start_call(call);
}

void ql_front_handle(void *data, ql_http_exchange_t *exchange)
{
	ql_front_t *front = data;
	const ql_route_t *route;

	if (!front->doc || !front->ready) {
		refuse_request(front, exchange, QL_REASON_NOT_READY, 0);
		return;
	}
	if (front->draining) {
		refuse_request(front, exchange, QL_REASON_DRAINING,
			       DRAINING_RETRY_AFTER_MS);
		return;
	}
	route = ql_front__find_route(front, exchange);
	if (!route)
		refuse_request(front, exchange, QL_REASON_NO_ROUTE, 0);
	else if (ql_front__ends_too_late(front, route))
		refuse_request(front, exchange, QL_REASON_DRAINING,
			       DRAINING_RETRY_AFTER_MS);
	else
		start_identified(front, exchange, route);
}
