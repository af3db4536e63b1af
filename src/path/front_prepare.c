#include "path/front_internal.h"
#include "quetzalloft/clock.h"

#include <string.h>
#include <strings.h>

static bool is_header(const char *name, const char *other)
{
	return other && !strcasecmp(name, other);
}

/*
 * Checks whether a header is set by this node, so that callers cannot set it,
 * or is a secret that endpoints do not get.
 */
static bool is_withheld(const ql_front_call_t *call, const char *name)
{
	const ql_dialect_t *dialect = call->front->opts.dialect;

	if (is_header(name, dialect->caller))
		return true;
	return call->doc->teams.n_entries &&
	       (is_header(name, dialect->api_key) ||
		is_header(name, dialect->team));
}

/*
 * Copies the end-to-end headers of the request and sets those that name the
 * caller. What the client lists in Connection does not apply to the latter.
 */
static void copy_headers(ql_front_call_t *call)
{
	const ql_dialect_t *dialect = call->front->opts.dialect;
	const ql_headers_t *in = &call->exchange->headers;
	const char *name;
	size_t i;

	ql_headers_init(&call->headers);
	for (i = 0; i < ql_headers_count(in); i++) {
		name = ql_headers_name(in, i);
		if (ql_call_is_end_to_end(dialect, in, name) &&
		    !is_withheld(call, name))
			ql_headers_add(&call->headers, name,
				       ql_headers_value(in, i));
	}
	if (dialect->caller)
		ql_headers_add(&call->headers, dialect->caller,
			       call->front->opts.caller);
	if (dialect->team && call->team)
		ql_headers_add(&call->headers, dialect->team, call->team->name);
}

const ql_class_t *ql_front__find_class(const ql_front_call_t *call)
{
	size_t index =
		ql_document_find_class(call->doc, call->route, call->team);

	return &call->doc->classes[index];
}

/* When the client stops waiting, from its timeout header; 0 if not known. */
static uint64_t client_deadline_us(const ql_front_call_t *call)
{
	const ql_http_exchange_t *exchange = call->exchange;
	const char *value =
		ql_headers_get(&exchange->headers,
			       call->front->opts.dialect->timeout_ms);
	guint64 timeout_ms;

	if (!value || !g_ascii_string_to_unsigned(value, 10, 0, UINT32_MAX,
						  &timeout_ms, NULL))
		return 0;
	return exchange->received_us + timeout_ms * QL_US_PER_MS;
}

static uint64_t deadline_us(const ql_front_call_t *call)
{
	const ql_http_exchange_t *exchange = call->exchange;
	uint64_t latest_us =
		exchange->received_us + call->route->deadline_ms * QL_US_PER_MS;

	return exchange->deadline_us ? MIN(latest_us, exchange->deadline_us)
				     : latest_us;
}

/*
 * A call of the local endpoint belongs to a request that runs there, its
 * parent: it takes the class of the parent, is a repeat if the parent is one,
 * and is marked as under way. If the parent is not known, the call keeps the
 * class of its own route.
 */
static void inherit_class(ql_front_call_t *call, const char *id)
{
	const ql_dialect_t *dialect = call->front->opts.dialect;
	const ql_running_call_t *parent;

	if (!dialect->parse_parent_id ||
	    !dialect->parse_parent_id(call->parent_id, sizeof(call->parent_id),
				      id))
		return;
	call->downstream.under_way = true;
	parent = ql_local_gate_find_call(call->front->opts.local,
					 call->parent_id);
	if (!parent)
		return;
	call->parent = *parent;
	call->downstream.class_name = call->parent.class_name;
	call->downstream.shed_order = call->parent.shed_order;
	call->downstream.repeat = call->parent.repeat;
}

void ql_front__prepare(ql_front_call_t *call, const char *service)
{
	const ql_dialect_t *dialect = call->front->opts.dialect;
	const ql_class_t *class = ql_front__find_class(call);
	ql_http_exchange_t *exchange = call->exchange;
	const char *id =
		ql_headers_get(&exchange->headers, dialect->request_id);

	exchange->deadline_us = client_deadline_us(call);
	copy_headers(call);
	call->downstream = (ql_path_call_t){
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
		inherit_class(call, id);
}

const ql_route_t *ql_front__find_route(const ql_front_t *front,
				       const ql_http_exchange_t *exchange)
{
	return ql_front__match_route(front,
				     ql_headers_get(&exchange->headers, "host"),
				     exchange->method, exchange->target->str);
}

/* Matches the host without its port and the path without its query. */
const ql_route_t *ql_front__match_route(const ql_front_t *front,
					const char *host, const char *method,
					const char *target)
{
	char name[QL_NAME_MAX] = "";
	char path[QL_PATH_MAX * 8];

	if (host)
		g_strlcpy(name, host,
			  MIN(strcspn(host, ":") + 1, sizeof(name)));
	g_strlcpy(path, target, MIN(strcspn(target, "?") + 1, sizeof(path)));
	return ql_document_match(front->doc, -1, name, method, path);
}
