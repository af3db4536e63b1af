#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/head_of_line.h"

#include <string.h>

/* Another node takes the request at once. */
#define LEAVING_RETRY_MS 50u
/* So does another connection. */
#define GAVE_WAY_RETRY_MS 10u

static bool gives_way(const ql_front_call_t *call, uint64_t until_us)
{
	const ql_head_of_line_request_t request = {
		.now_us = ql_front__now_us(call),
		.received_us = call->exchange->received_us,
		.typical_latency_us = (uint64_t)ql_front__typical_us(call),
		.next_timeout_us = until_us,
	};

	return ql_head_of_line_must_refuse(&request);
}

bool ql_front__followed(void *data, uint64_t until_us)
{
	ql_front_call_t *call = data;

	if (!gives_way(call, until_us))
		return false;
	call->kept->followed_us = ql_front__now_us(call);
	if (!call->held_back)
		return false;
	ql_front__count(call, QL_COUNT_GAVE_WAY);
	call->retry_after_ms = GAVE_WAY_RETRY_MS;
	ql_front__end_in_failure(call, QL_REASON_GAVE_WAY);
	return true;
}

static void on_held_long_enough(void *data)
{
	ql_front_call_t *call = data;

	call->held_back = false;
	ql_front__start_attempt(call);
}

/* How long a request waits for another one that it would hold up. */
static uint64_t hold_ms(const ql_front_call_t *call)
{
	const ql_head_of_line_route_t route = {
		.now_us = ql_front__now_us(call),
		.last_blocking_us = call->kept->followed_us,
		.typical_latency_us = (uint64_t)ql_front__typical_us(call),
	};

	if (!call->route->idempotent || call->call.under_way)
		return 0;
	return ql_head_of_line_hold_us(&route) / QL_US_PER_MS;
}

static void hold_or_start(ql_front_call_t *call)
{
	uint64_t held_ms = hold_ms(call);

	if (!held_ms) {
		ql_front__start_attempt(call);
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
	call->deadline.expired = ql_front__deadline_expired;
	call->deadline.data = call;
	call->hold.expired = on_held_long_enough;
	call->hold.data = call;
	exchange->ops = &ql_front__exchange_ops;
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
		.now_us = ql_front__now_us(call),
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
	uint64_t now = ql_front__now_us(call);

	ql_front__count(call, call->call.under_way ? QL_COUNT_LOCAL_CALLS
						   : QL_COUNT_CLIENT_REQUESTS);
	call->kept->usage.offered++;
	if (is_refused_early(call)) {
		ql_front__count(call, QL_COUNT_EARLY_REFUSALS);
		ql_front__end_in_failure(call, QL_REASON_OVERLOAD);
		return;
	}
	ql_retry_budget_earn(&call->service->budget);
	if (call->call.deadline_us <= now) {
		ql_front__end_in_failure(call, QL_REASON_DEADLINE);
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
