#include "node/local_service.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdlib.h>
#include <string.h>

#define ENDPOINT_SLOTS_MAX 65536
#define ENDPOINT_CONNECTIONS_MAX 65536
#define ANNOUNCEMENT_LEASE_MIN_MS 100
#define ANNOUNCEMENT_LEASE_MAX_MS 60000
#define ANNOUNCEMENT_LEASE_DEFAULT_MS 3000

/* Members of the JSON object of an announcement. */
typedef struct {
	char service[QL_NAME_MAX];
	uint64_t port;
	uint64_t slots;
	uint64_t connections;
	bool draining;
	uint64_t lease_ms;
} announcement_json_t;

static const ql_json_member_t announcement_members[] = {
	QL_MEMBER_STRING(announcement_json_t, service, true, 1),
	QL_MEMBER_UINT(announcement_json_t, port, true, 1, 65535),
	QL_MEMBER_UINT(announcement_json_t, slots, true, 1, ENDPOINT_SLOTS_MAX),
	QL_MEMBER_UINT(announcement_json_t, connections, true, 1,
		       ENDPOINT_CONNECTIONS_MAX),
	QL_MEMBER_BOOL(announcement_json_t, draining, false),
	QL_MEMBER_UINT(announcement_json_t, lease_ms, false,
		       ANNOUNCEMENT_LEASE_MIN_MS, ANNOUNCEMENT_LEASE_MAX_MS),
};

static int parse_announcement(const ql_local_service_t *service,
			      const struct _u_request *request,
			      ql_announcement_t *out, GError **error)
{
	announcement_json_t source = {.lease_ms =
					      ANNOUNCEMENT_LEASE_DEFAULT_MS};
	json_t *json = NULL;
	int ret;

	ret = ql_json_parse(&json, request->binary_body,
			    request->binary_body_length, error);
	if (ret)
		return ret;
	ret = ql_json_read(&source, json, "endpoint", announcement_members,
			   G_N_ELEMENTS(announcement_members), error);
	json_decref(json);
	if (ret)
		return ret;
	memset(out, 0, sizeof(*out));
	memcpy(out->service, source.service, sizeof(out->service));
	ql_address_format(out->address, service->context->settings->address,
			  (unsigned int)source.port);
	out->slots = source.slots;
	out->connections = source.connections;
	out->draining = source.draining;
	out->lease_ms = source.lease_ms;
	return 0;
}

static void respond_with_error(struct _u_response *response,
			       unsigned int status, const GError *error)
{
	ql_response_set_json(response, status,
			     json_pack("{s:s, s:s}", "error",
				       ql_error_name(error->code), "detail",
				       error->message));
}

static void handle_announcement(ql_local_service_t *service,
				const struct _u_request *request,
				struct _u_response *response)
{
	ql_announcement_t announcement;
	GError *error = NULL;
	bool changed = false;
	int ret;

	ret = parse_announcement(service, request, &announcement, &error);
	if (!ret)
		ret = ql_gate_service_apply_announcement(service->gates,
							 &announcement,
							 &changed, &error);
	if (ret) {
		respond_with_error(response, ret == QL_E_FULL ? 507 : 400,
				   error);
		g_clear_error(&error);
		return;
	}
	if (changed)
		service->announcement_changed(service->data);
	ql_response_set_text(response, 204, "application/json", "");
}

static void send_report(ql_local_service_t *service, const char *topic,
			struct _u_response *response)
{
	json_t *json = service->report(service->data, topic, "");

	if (json)
		ql_response_set_json(response, 200, json);
	else
		ql_response_set_text(response, 404, "text/plain",
				     "no such report\n");
}

/* Handles a request below QL_LOCAL_PREFIX; the name is the path after it. */
static void handle_own_path(ql_local_service_t *service, const char *name,
			    const struct _u_request *request,
			    struct _u_response *response)
{
	char *text;

	if (!strcmp(name, "endpoint") && !strcmp(request->http_verb, "PUT")) {
		handle_announcement(service, request, response);
	} else if (!strcmp(name, "metrics")) {
		text = ql_counters_format_prometheus(
			&service->context->counters);
		ql_response_set_text(response, 200, "text/plain; version=0.0.4",
				     text);
		g_free(text);
	} else {
		send_report(service, name, response);
	}
}

/* A downstream call of a local endpoint, and the call that it is made for. */
typedef struct {
	ql_http_server_t *server;
	const struct _u_request *request;
	const ql_call_t *parent;
} downstream_call_t;

/* Returns whether the parent was cancelled or the endpoint disconnected. */
static bool is_call_cancelled(void *data)
{
	const downstream_call_t *call = data;

	return ql_call_is_cancelled(call->parent) ||
	       ql_http_server_is_peer_disconnected(call->server, call->request);
}

/* Calls a service for the call that the endpoint names as its parent. */
static bool call_service(ql_local_service_t *service, ql_call_t *parent,
			 const ql_document_t *doc, int callee,
			 const struct _u_request *request,
			 ql_http_response_t *upstream, ql_failure_t *failure)
{
	char *path =
		g_strndup(request->http_url, strcspn(request->http_url, "?#"));
	const ql_route_t *route =
		ql_document_match(doc, callee, NULL, request->http_verb, path);
	downstream_call_t downstream = {service->server, request, parent};
	ql_router_request_t call = {
		.call = parent,
		.service = &doc->services[callee],
		.reserve =
			ql_call_start_downstream(parent, doc, (uint16_t)callee),
		/* A call that matches no route counts as not idempotent. */
		.idempotent = route && route->idempotent,
		.under_way = true,
		.deadline_us = parent->deadline_us,
		.config_version = doc->version,
		.request = request,
		.is_cancelled = is_call_cancelled,
		.cancel_data = &downstream,
	};

	g_free(path);
	return ql_router_call(service->router, &call, upstream, failure);
}

/*
 * Handles a call of a local endpoint. Sets the failure and returns false if no
 * endpoint answered it.
 */
static bool handle_call(ql_local_service_t *service,
			const struct _u_request *request,
			ql_http_response_t *upstream, ql_failure_t *failure)
{
	ql_metadata_t metadata;
	ql_document_t *doc;
	ql_call_t *parent;
	bool answered;
	int callee;

	if (ql_request_parse_metadata(&metadata, service->server, request,
				      NULL) ||
	    !(metadata.has & QL_HAS_ATTEMPT) ||
	    !(metadata.has & QL_HAS_SERVICE)) {
		ql_counter_increment(&service->context->counters,
				     QL_COUNT_BAD_METADATA);
		return ql_failure_set_not_run(
			failure, QL_REASON_BAD_REQUEST,
			"expected one " QL_HEADER_ATTEMPT_ID
			" and one " QL_HEADER_SERVICE " header");
	}
	parent = ql_calls_find(&service->gates->calls, &metadata.attempt);
	if (!parent)
		return ql_failure_set_not_run(
			failure, QL_REASON_CANCELLED,
			"this attempt is not in flight at this node");
	doc = ql_context_document(service->context);
	callee = ql_document_find_service(doc, metadata.service);
	answered = callee < 0 ? ql_failure_set_not_run(
					failure, QL_REASON_NO_ROUTE,
					"the service is not configured")
			      : call_service(service, parent, doc, callee,
					     request, upstream, failure);
	ql_document_unref(doc);
	ql_call_unref(parent);
	return answered;
}

void ql_local_service_handle(void *data, const struct _u_request *request,
			     struct _u_response *response)
{
	ql_local_service_t *service = data;
	ql_failure_t failure = {0};
	ql_http_response_t upstream;
	ql_metadata_t metadata;

	if (g_str_has_prefix(request->http_url, QL_LOCAL_PREFIX)) {
		handle_own_path(service,
				request->http_url + strlen(QL_LOCAL_PREFIX),
				request, response);
		return;
	}
	ql_counter_increment(&service->context->counters, QL_COUNT_LOCAL_CALLS);
	ql_http_response_init(&upstream);
	if (handle_call(service, request, &upstream, &failure)) {
		ql_response_forward(response, &upstream);
		ql_metadata_init(&metadata);
		metadata.has = QL_HAS_OUTCOME;
		metadata.outcome = QL_OUTCOME_ANSWERED;
		ql_response_add_metadata(response, &metadata);
	} else {
		ql_response_set_failure(response, &failure);
	}
	ql_http_response_finish(&upstream);
}
