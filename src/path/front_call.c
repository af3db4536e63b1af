#include "path/front.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"
#include "quetzalloft/metadata.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MS_PER_S 1000.0
#define TRIED_MAX 8u
/* Gates that may refuse one request before the client is told. */
#define REROUTES_MAX 3u
/* An answer up to this size is held until it is whole, so that a broken one
 * can still be followed by another attempt. */
#define HELD_MAX_BYTES (128u << 10)
/* Bytes of an answer that may wait for a slow client. */
#define PENDING_MAX_BYTES (256u << 10)
#define RETRY_AFTER_DEFAULT_MS 500u
#define RETRY_AFTER_JITTER 0.5
/* Another node takes the request at once. */
#define LEAVING_RETRY_MS 50u

/* A request on its way, from its arrival to its one answer. */
typedef struct {
	ql_front_t *front;
	ql_http_exchange_t *exchange;
	ql_document_t *doc;
	const ql_route_t *route;
	size_t route_index;
	ql_front_service_t *service;
	ql_headers_t headers;
	ql_path_call_t call;
	ql_running_call_t parent;
	ql_callee_call_t callee;
	bool let_through;
	bool in_attempt;
	ql_handle_t tried[TRIED_MAX];
	uint32_t n_tried;
	uint32_t n_sent;
	uint32_t n_reroutes;
	bool may_have_run;
	uint64_t attempt_us;
	uint32_t retry_after_ms;
	ql_wheel_timer_t deadline;
	unsigned int status;
	GByteArray *lines;
	GByteArray *held;
	int64_t length;
	bool streaming;
	bool paused;
} front_call_t;

static void start_attempt(front_call_t *call);

static uint64_t now_us(const front_call_t *call)
{
	return ql_loop_now_us(call->front->loop);
}

static void call_free(front_call_t *call)
{
	g_hash_table_remove(call->front->calls, call);
	ql_loop_stop_timer(call->front->loop, &call->deadline);
	ql_headers_finish(&call->headers);
	g_byte_array_free(call->lines, TRUE);
	g_byte_array_free(call->held, TRUE);
	ql_document_unref(call->doc);
	g_free(call);
}

static void emit(void *data, const char *name, const char *value)
{
	ql_headers_write(data, name, value);
}

static void write_outcome(GByteArray *out, ql_outcome_t outcome,
			  ql_reason_t reason)
{
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	metadata.has = QL_HAS_OUTCOME | QL_HAS_REASON;
	metadata.outcome = outcome;
	metadata.reason = reason;
	ql_metadata_emit(&metadata, emit, out);
}

static unsigned int status_of(ql_outcome_t outcome, ql_reason_t reason)
{
	if (outcome != QL_OUTCOME_NOT_RUN)
		return reason == QL_REASON_DEADLINE
			       ? HTTP_STATUS_GATEWAY_TIMEOUT
			       : HTTP_STATUS_BAD_GATEWAY;
	switch (reason) {
	case QL_REASON_NO_ROUTE:
		return HTTP_STATUS_NOT_FOUND;
	case QL_REASON_BAD_REQUEST:
		return HTTP_STATUS_BAD_REQUEST;
	case QL_REASON_TOO_LARGE:
		return HTTP_STATUS_PAYLOAD_TOO_LARGE;
	default:
		return HTTP_STATUS_SERVICE_UNAVAILABLE;
	}
}

static void write_retry_after(ql_front_t *front, GByteArray *lines,
			      uint32_t retry_after_ms)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];
	double ms = retry_after_ms;

	if (!retry_after_ms)
		ms = RETRY_AFTER_DEFAULT_MS *
		     g_rand_double_range(front->random, 1 - RETRY_AFTER_JITTER,
					 1 + RETRY_AFTER_JITTER);
	g_ascii_formatd(text, sizeof(text), "%.3f", ms / MS_PER_S);
	ql_headers_write(lines, QL_HEADER_RETRY_AFTER, text);
}

/* Answers with a failure of this node. */
static void answer_failure(ql_front_t *front, ql_http_exchange_t *exchange,
			   const ql_call_end_t *end)
{
	unsigned int status = status_of(end->outcome, end->reason);
	const char *id_name = front->opts.dialect->request_id;
	const char *id = ql_headers_get(&exchange->headers, id_name);
	GByteArray *lines = g_byte_array_new();

	if (id)
		ql_headers_write(lines, id_name, id);
	write_outcome(lines, end->outcome, end->reason);
	if (status == HTTP_STATUS_SERVICE_UNAVAILABLE)
		write_retry_after(front, lines, end->retry_after_ms);
	ql_http_exchange_begin(exchange, status, lines, 0);
	ql_http_exchange_end(exchange);
	g_byte_array_free(lines, TRUE);
	if (end->outcome == QL_OUTCOME_NOT_RUN)
		front->counts.not_run++;
	else
		front->counts.unknown++;
}

static void log_failure(const front_call_t *call, const ql_call_end_t *end)
{
	ql_log(LOG_INFO, "request_failed", QL_STR("id", call->call.id),
	       QL_STR("route", call->route->name),
	       QL_UINT("version", call->doc->version),
	       QL_STR("service", call->call.service),
	       QL_STR("outcome", ql_outcome_name(end->outcome)),
	       QL_STR("reason", ql_reason_name(end->reason)),
	       QL_UINT("sent", call->n_sent),
	       QL_UINT("reroutes", call->n_reroutes),
	       QL_UINT("age_us", now_us(call) - call->exchange->received_us));
}

static void note_level(front_call_t *call, ql_level_end_t end, bool is_free)
{
	if (call->let_through && call->doc == call->front->doc)
		ql_level_done(&call->front->level, call->route_index, end,
			      is_free, now_us(call));
}

static ql_level_end_t level_end(const ql_call_end_t *end)
{
	switch (end->reason) {
	case QL_REASON_OVERLOAD:
	case QL_REASON_DEADLINE:
	case QL_REASON_ENDPOINT_REFUSED:
		return QL_LEVEL_SHED;
	default:
		return QL_LEVEL_OTHER;
	}
}

static void end_in_failure(front_call_t *call, ql_reason_t reason)
{
	ql_call_end_t end = {
		.outcome = call->may_have_run ? QL_OUTCOME_UNKNOWN
					      : QL_OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = call->retry_after_ms,
	};

	log_failure(call, &end);
	note_level(call, level_end(&end), false);
	if (call->streaming) {
		call->front->counts.unknown++;
		ql_http_exchange_abort(call->exchange);
	} else {
		answer_failure(call->front, call->exchange, &end);
	}
	call_free(call);
}

static void report_attempt(front_call_t *call, const ql_call_end_t *end)
{
	ql_attempt_result_t result = {
		.outcome = end->outcome,
		.reason = end->reason,
		.latency_us = now_us(call) - call->attempt_us,
		.has_level = end->has_level,
		.level = end->level,
		.retry_after_us = end->retry_after_ms * QL_US_PER_MS,
	};

	call->in_attempt = false;
	call->callee.call = NULL;
	ql_balancer_done(&call->service->balancer,
			 call->tried[call->n_tried - 1], &result, now_us(call));
}

static void write_answer_head(front_call_t *call, int64_t length)
{
	ql_http_exchange_begin(call->exchange, call->status, call->lines,
			       length);
	ql_http_exchange_write(call->exchange, call->held->data,
			       call->held->len);
	g_byte_array_set_size(call->held, 0);
}

static void on_head(void *data, unsigned int status,
		    const ql_headers_t *headers, int64_t length)
{
	front_call_t *call = data;

	call->status = status;
	call->length = length;
	g_byte_array_set_size(call->lines, 0);
	g_byte_array_set_size(call->held, 0);
	ql_call_write_headers(call->lines, headers);
	write_outcome(call->lines, QL_OUTCOME_ANSWERED, QL_REASON_NONE);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	front_call_t *call = data;

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

/*
 * An endpoint whose calls are refused below answers with a failure; one whose
 * calls wait below answers behind the target of the route.
 */
static bool is_good(const front_call_t *call)
{
	uint64_t age_us = now_us(call) - call->exchange->received_us;

	if (call->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR)
		return false;
	return !call->route->target_ms ||
	       age_us <= call->route->target_ms * QL_US_PER_MS;
}

static void on_complete(void *data, const ql_call_end_t *end)
{
	front_call_t *call = data;
	int64_t length = call->length;

	report_attempt(call, end);
	call->front->counts.answered++;
	note_level(call, is_good(call) ? QL_LEVEL_SERVED : QL_LEVEL_SHED,
		   !end->has_level || end->level <= call->call.shed_order);
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

static bool may_repeat(const front_call_t *call, const ql_call_end_t *end)
{
	if (end->outcome == QL_OUTCOME_UNKNOWN && !call->route->idempotent)
		return false;
	if (end->reason == QL_REASON_DEADLINE ||
	    end->reason == QL_REASON_BAD_REQUEST || call->streaming)
		return false;
	if (call->n_tried == TRIED_MAX)
		return false;
	return call->call.deadline_us > now_us(call);
}

/* A repeat draws on the budget; a gate that refused costs the endpoints
 * nothing. */
static bool may_try_again(front_call_t *call, const ql_call_end_t *end)
{
	if (!may_repeat(call, end))
		return false;
	if (!was_sent(end)) {
		if (call->n_reroutes == REROUTES_MAX ||
		    call->n_tried >= call->service->balancer.all->len)
			return false;
		call->n_reroutes++;
		call->front->counts.reroutes++;
		return true;
	}
	if (call->route->attempts && call->n_sent >= call->route->attempts)
		return false;
	if (!ql_retry_budget_spend(&call->service->budget))
		return false;
	call->front->counts.repeats++;
	return true;
}

static void on_failed(void *data, const ql_call_end_t *end)
{
	front_call_t *call = data;

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
static void cancel_attempt(front_call_t *call, ql_reason_t reason)
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
	front_call_t *call = data;

	cancel_attempt(call, QL_REASON_DEADLINE);
	end_in_failure(call, QL_REASON_DEADLINE);
}

static void on_cancelled(void *data)
{
	front_call_t *call = data;

	call->front->counts.cancelled++;
	cancel_attempt(call, QL_REASON_CANCELLED);
	note_level(call, QL_LEVEL_OTHER, false);
	call_free(call);
}

static void on_drained(void *data)
{
	front_call_t *call = data;

	if (!call->paused || !call->in_attempt)
		return;
	call->paused = false;
	call->callee.ops->resume(call->callee.call);
}

static const ql_http_exchange_ops_t exchange_ops = {
	.cancelled = on_cancelled,
	.drained = on_drained,
};

static void call_gate(front_call_t *call, const char *gate)
{
	ql_front_t *front = call->front;
	ql_callee_call_t callee;

	call->in_attempt = true;
	call->attempt_us = now_us(call);
	if (!strcmp(gate, front->opts.own_gate))
		ql_local_gate_call(front->opts.local, &call->call, &sink, call,
				   &callee);
	else
		ql_hops_call(front->opts.hops, gate, &call->call, &sink, call,
			     &callee);
	/* Otherwise it has ended, and the memory may be gone. */
	if (callee.call)
		call->callee = callee;
}

static void start_attempt(front_call_t *call)
{
	ql_balancer_t *balancer = &call->service->balancer;
	char gate[QL_ADDRESS_MAX];
	const ql_target_t *target;
	ql_handle_t handle;

	handle = ql_balancer_pick(balancer, call->tried, call->n_tried,
				  now_us(call));
	if (handle == QL_HANDLE_NONE) {
		end_in_failure(call, QL_REASON_NO_ENDPOINT);
		return;
	}
	call->tried[call->n_tried++] = handle;
	target = ql_table_get(&balancer->targets, handle);
	memcpy(gate, target->info.gate, sizeof(gate));
	call_gate(call, gate);
}

/* The headers of the request, with the caller as this node knows it. */
static void copy_headers(front_call_t *call)
{
	const ql_headers_t *in = &call->exchange->headers;
	const char *caller = call->front->opts.dialect->caller;
	const char *name;
	size_t i;

	ql_headers_init(&call->headers);
	for (i = 0; i < ql_headers_count(in); i++) {
		name = ql_headers_name(in, i);
		if (!ql_headers_is_hop_by_hop(in, name) &&
		    (!caller || strcasecmp(name, caller) != 0))
			ql_headers_add(&call->headers, name,
				       ql_headers_value(in, i));
	}
	if (caller)
		ql_headers_add(&call->headers, caller,
			       call->front->opts.caller);
}

static uint64_t deadline_us(const front_call_t *call)
{
	const ql_http_exchange_t *exchange = call->exchange;
	const char *value =
		ql_headers_get(&exchange->headers,
			       call->front->opts.dialect->timeout_ms);
	uint64_t timeout_ms = call->route->deadline_ms;
	guint64 stated;

	if (value &&
	    g_ascii_string_to_unsigned(value, 10, 0, UINT32_MAX, &stated, NULL))
		timeout_ms = MIN(timeout_ms, stated);
	return exchange->received_us + timeout_ms * QL_US_PER_MS;
}

/*
 * A call of the endpoint beside this node serves a request that runs there: it
 * is as important as that request, and its work is under way. Where the
 * request is not known, the call counts as its own route says.
 */
static void inherit(front_call_t *call, const char *id)
{
	const ql_dialect_t *dialect = call->front->opts.dialect;
	const ql_running_call_t *parent;
	char parent_id[QL_KEY_MAX];

	if (!dialect->parent_of ||
	    !dialect->parent_of(parent_id, sizeof(parent_id), id))
		return;
	call->call.under_way = true;
	parent = ql_local_gate_find(call->front->opts.local, parent_id);
	if (!parent)
		return;
	call->parent = *parent;
	call->call.class_name = call->parent.class_name;
	call->call.shed_order = call->parent.shed_order;
}

static void fill_call(front_call_t *call, const char *service)
{
	const ql_dialect_t *dialect = call->front->opts.dialect;
	const ql_class_t *class = &call->doc->classes[call->route->class_index];
	ql_http_exchange_t *exchange = call->exchange;
	const char *id =
		ql_headers_get(&exchange->headers, dialect->request_id);

	call->call = (ql_path_call_t){
		.method = exchange->method,
		.target = exchange->target->str,
		.headers = &call->headers,
		.body = exchange->body,
		.id = id ? id : "",
		.service = service,
		.class_name = class->name,
		.shed_order = (uint32_t) class->shed_order,
		.idempotent = call->route->idempotent,
		.deadline_us = deadline_us(call),
		.version = call->doc->version,
	};
	if (id)
		inherit(call, id);
}

static front_call_t *call_new(ql_front_t *front, ql_http_exchange_t *exchange,
			      const ql_route_t *route)
{
	front_call_t *call = g_new0(front_call_t, 1);
	uint16_t service;

	call->front = front;
	call->exchange = exchange;
	call->doc = ql_document_ref(front->doc);
	call->route = route;
	call->route_index = (size_t)(route - front->doc->routes);
	call->lines = g_byte_array_new();
	call->held = g_byte_array_new();
	copy_headers(call);
	service = ql_front_choose_part(front, call->route_index);
	fill_call(call, call->doc->services[service].name);
	call->service = ql_front_find_service(front, call->call.service);
	g_hash_table_add(front->calls, call);
	call->deadline.expired = on_deadline;
	call->deadline.data = call;
	exchange->ops = &exchange_ops;
	exchange->data = call;
	return call;
}

/* Host without a port, and path without a query. */
static const ql_route_t *find_route(const ql_front_t *front,
				    const ql_http_exchange_t *exchange)
{
	const char *host = ql_headers_get(&exchange->headers, "host");
	const char *target = exchange->target->str;
	char name[QL_NAME_MAX] = "";
	char path[QL_PATH_MAX * 8];

	if (host)
		g_strlcpy(name, host,
			  MIN(strcspn(host, ":") + 1, sizeof(name)));
	g_strlcpy(path, target, MIN(strcspn(target, "?") + 1, sizeof(path)));
	return ql_document_match(front->doc, -1, name, exchange->method, path);
}

static void refuse(ql_front_t *front, ql_http_exchange_t *exchange,
		   ql_reason_t reason, uint32_t retry_after_ms)
{
	ql_call_end_t end = {
		.outcome = QL_OUTCOME_NOT_RUN,
		.reason = reason,
		.retry_after_ms = retry_after_ms,
	};

	answer_failure(front, exchange, &end);
}

/* Whether a request is refused before anything was done for it. */
static bool is_refused_early(front_call_t *call)
{
	ql_level_decision_t decision;

	/* Refusing a call would throw away the work above it. */
	if (call->call.under_way)
		return false;
	decision = ql_level_offer(&call->front->level, call->route_index,
				  now_us(call));
	call->retry_after_ms = decision.retry_after_ms;
	call->let_through = !decision.refuse;
	return decision.refuse;
}

static void begin(front_call_t *call)
{
	uint64_t now = now_us(call);

	if (is_refused_early(call)) {
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
	start_attempt(call);
}

void ql_front_handle(void *data, ql_http_exchange_t *exchange)
{
	ql_front_t *front = data;
	const ql_route_t *route;

	front->counts.requests++;
	if (!front->doc || !front->ready) {
		refuse(front, exchange, QL_REASON_NOT_READY, 0);
		return;
	}
	if (front->leaving) {
		refuse(front, exchange, QL_REASON_DRAINING, LEAVING_RETRY_MS);
		return;
	}
	route = find_route(front, exchange);
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
