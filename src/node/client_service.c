#include "node/client_service.h"

#include <string.h>

static uint64_t random_identity(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int();
}

static void count_outcome(ql_counters_t *counters, ql_outcome_t outcome)
{
	static const ql_counter_t by_outcome[QL_N_OUTCOMES] = {
		[QL_OUTCOME_ANSWERED] = QL_COUNT_CLIENT_ANSWERED,
		[QL_OUTCOME_NOT_RUN] = QL_COUNT_CLIENT_NOT_RUN,
		[QL_OUTCOME_REFUSED] = QL_COUNT_CLIENT_REFUSED,
		[QL_OUTCOME_UNKNOWN] = QL_COUNT_CLIENT_UNKNOWN,
	};

	ql_count(counters, by_outcome[outcome]);
}

static bool refuse(ql_failure_t *failure, ql_reason_t reason,
		   const char *detail)
{
	failure->outcome = QL_OUTCOME_NOT_RUN;
	failure->reason = reason;
	failure->detail = detail;
	return false;
}

/* The path of a URL without its query, for the choice of the route. */
static char *path_of(const char *url)
{
	return g_strndup(url, strcspn(url, "?#"));
}

static const ql_route_t *match(const ql_document_t *doc,
			       const struct _u_request *request)
{
	const char *host_port = u_map_get_case(request->map_header, "Host");
	char *host = host_port ? g_strndup(host_port, strcspn(host_port, ":"))
			       : NULL;
	char *path = path_of(request->http_url);
	const ql_route_t *route =
		ql_document_match(doc, -1, host, request->http_verb, path);

	g_free(path);
	g_free(host);
	return route;
}

static ql_call_t *start_call(const ql_document_t *doc, const ql_route_t *route)
{
	ql_attempt_id_t id = {.request = random_identity()};
	ql_call_t *call = ql_call_new(&id, (uint32_t)doc->attempts);
	const ql_class_t *class = &doc->classes[route->class_index];

	g_strlcpy(call->class_name, class->name, QL_NAME_MAX);
	call->shed_order = (uint32_t) class->shed_order;
	call->deadline_us =
		ql_clock_now_us() + route->deadline_ms * QL_US_PER_MS;
	return call;
}

/* A request and the listener that knows whether its client still waits. */
typedef struct {
	ql_http_server_t *server;
	const struct _u_request *request;
} waiting_client_t;

static bool client_gone(void *data)
{
	const waiting_client_t *client = data;

	return ql_http_server_peer_gone(client->server, client->request);
}

/* Serves a request whose route is known. */
static bool serve_route(ql_client_service_t *service, const ql_document_t *doc,
			const ql_route_t *route,
			const struct _u_request *request,
			ql_http_answer_t *answer, ql_failure_t *failure)
{
	const ql_service_t *callee = &doc->services[route->service];
	waiting_client_t client = {service->server, request};
	ql_router_request_t call = {
		.service = callee,
		.idempotent = route->idempotent,
		.config_version = doc->version,
		.request = request,
		.is_cancelled = client_gone,
		.cancel_data = &client,
	};
	bool answered;

	if (request->binary_body_length > callee->body_limit_bytes) {
		ql_count(service->counters, QL_COUNT_TOO_LARGE);
		return refuse(failure, QL_REASON_TOO_LARGE,
			      "the body is over the limit of the service");
	}
	call.call = start_call(doc, route);
	call.deadline_us = call.call->deadline_us;
	answered = ql_router_call(service->router, &call, answer, failure);
	ql_call_end(call.call);
	ql_call_unref(call.call);
	return answered;
}

static bool serve(ql_client_service_t *service,
		  const struct _u_request *request, ql_http_answer_t *answer,
		  ql_failure_t *failure)
{
	const ql_route_t *route;
	ql_metadata_t metadata;
	ql_document_t *doc;
	bool answered;

	if (__atomic_load_n(&service->draining, __ATOMIC_ACQUIRE))
		return refuse(failure, QL_REASON_DRAINING, NULL);
	if (!service->is_ready(service->data))
		return refuse(failure, QL_REASON_NOT_READY,
			      "the node has not heard from its failure "
			      "domain yet");
	/* A client has no say in the metadata but for its key. */
	if (ql_request_metadata(&metadata, request, NULL)) {
		ql_count(service->counters, QL_COUNT_BAD_METADATA);
		return refuse(failure, QL_REASON_BAD_REQUEST,
			      "a header of the protocol is malformed");
	}
	doc = service->document(service->data);
	route = match(doc, request);
	answered = route ? serve_route(service, doc, route, request, answer,
				       failure)
			 : refuse(failure, QL_REASON_NO_ROUTE,
				  "no route matches this method and path");
	ql_document_unref(doc);
	return answered;
}

void ql_client_service_handle(void *data, const struct _u_request *request,
			      struct _u_response *response)
{
	ql_client_service_t *service = data;
	ql_metadata_t metadata;
	ql_failure_t failure = {0};
	ql_http_answer_t answer;

	__atomic_add_fetch(&service->in_progress, 1, __ATOMIC_ACQ_REL);
	ql_count(service->counters, QL_COUNT_CLIENT_REQUESTS);
	ql_http_answer_init(&answer);
	if (serve(service, request, &answer, &failure)) {
		ql_answer_pass(response, &answer);
		ql_metadata_init(&metadata);
		metadata.has = QL_HAS_OUTCOME;
		metadata.outcome = QL_OUTCOME_ANSWERED;
		ql_answer_add_metadata(response, &metadata);
		count_outcome(service->counters, QL_OUTCOME_ANSWERED);
	} else {
		ql_answer_fail(response, &failure);
		count_outcome(service->counters, failure.outcome);
	}
	ql_http_answer_finish(&answer);
	__atomic_sub_fetch(&service->in_progress, 1, __ATOMIC_ACQ_REL);
}
