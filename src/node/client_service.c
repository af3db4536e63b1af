#include "node/client_service.h"
#include "node/keyed_request.h"

#include <string.h>

void ql_client_service_init(ql_client_service_t *service, ql_context_t *context,
			    ql_http_server_t *server, ql_router_t *router,
			    ql_claim_service_t *claims)
{
	memset(service, 0, sizeof(*service));
	service->context = context;
	service->server = server;
	service->router = router;
	service->claims = claims;
	pthread_mutex_init(&service->lock, NULL);
	service->random = g_rand_new();
	ql_early_rejection_init(&service->early_rejection, 0, service->random);
}

void ql_client_service_finish(ql_client_service_t *service)
{
	ql_early_rejection_finish(&service->early_rejection);
	ql_document_unref(service->early_rejection_doc);
	g_rand_free(service->random);
	pthread_mutex_destroy(&service->lock);
}

static uint64_t random_id(void)
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

	ql_counter_increment(counters, by_outcome[outcome]);
}

/* Copies the path of a URL, without the query and the fragment. */
static char *copy_path(const char *url)
{
	return g_strndup(url, strcspn(url, "?#"));
}

static const ql_route_t *match_route(const ql_document_t *doc,
				     const struct _u_request *request)
{
	const char *host_port = u_map_get_case(request->map_header, "Host");
	char *host = host_port ? g_strndup(host_port, strcspn(host_port, ":"))
			       : NULL;
	char *path = copy_path(request->http_url);
	const ql_route_t *route =
		ql_document_match(doc, -1, host, request->http_verb, path);

	g_free(path);
	g_free(host);
	return route;
}

static ql_call_t *start_call(const ql_document_t *doc, const ql_route_t *route)
{
	ql_attempt_id_t id = {.request = random_id()};
	ql_call_t *call = ql_call_new(&id, (uint32_t)doc->attempts);
	const ql_class_t *class = &doc->classes[route->class_index];

	g_strlcpy(call->class_name, class->name, QL_NAME_MAX);
	call->shed_order = (uint32_t) class->shed_order;
	call->deadline_us =
		ql_clock_now_us() + route->deadline_ms * QL_US_PER_MS;
	return call;
}

/* A client request and the listener that received it. */
typedef struct {
	ql_http_server_t *server;
	const struct _u_request *request;
} client_connection_t;

static bool is_client_disconnected(void *data)
{
	const client_connection_t *client = data;

	return ql_http_server_is_peer_disconnected(client->server,
						   client->request);
}

/* A client request; the route is NULL if none matches. */
typedef struct {
	const ql_document_t *doc;
	const ql_route_t *route;
	const struct _u_request *request;
	ql_call_t *call;
	ql_metadata_t metadata;
} client_request_t;

static bool have_same_routes(const ql_document_t *a, const ql_document_t *b)
{
	size_t i;

	if (!a || a->n_routes != b->n_routes)
		return false;
	for (i = 0; i < a->n_routes; i++)
		if (strcmp(a->routes[i].name, b->routes[i].name) != 0)
			return false;
	return true;
}

/* Resets the early rejection if a newer document has other routes. */
static void update_routes(ql_client_service_t *service,
			  const ql_document_t *doc)
{
	if (service->early_rejection_doc &&
	    service->early_rejection_doc->version >= doc->version)
		return;
	if (!have_same_routes(service->early_rejection_doc, doc))
		ql_early_rejection_reset(&service->early_rejection,
					 doc->n_routes);
	ql_document_unref(service->early_rejection_doc);
	service->early_rejection_doc = ql_document_ref((ql_document_t *)doc);
}

static size_t route_index(const client_request_t *cr)
{
	return (size_t)(cr->route - cr->doc->routes);
}

static bool reject_early(ql_client_service_t *service,
			 const client_request_t *cr, ql_failure_t *failure)
{
	ql_early_rejection_decision_t decision;

	pthread_mutex_lock(&service->lock);
	update_routes(service, cr->doc);
	decision =
		ql_early_rejection_decide(&service->early_rejection,
					  route_index(cr), ql_clock_now_us());
	pthread_mutex_unlock(&service->lock);
	if (!decision.refuse)
		return false;
	ql_counter_increment(&service->context->counters,
			     QL_COUNT_EARLY_REFUSALS);
	ql_failure_set_not_run(
		failure, decision.reason,
		"the service or a service that it calls is overloaded");
	failure->retry_after_ms = decision.retry_after_ms;
	return true;
}

/* Classifies the failure of a request as a load signal of its route. */
static ql_early_rejection_outcome_t
rejection_outcome(const ql_failure_t *failure, bool has_capacity)
{
	return failure->reason == QL_REASON_OVERLOAD ||
			       failure->reason == QL_REASON_DEADLINE ||
			       !has_capacity
		       ? QL_EARLY_REJECTION_SHED
		       : QL_EARLY_REJECTION_OTHER;
}

static void observe_outcome(ql_client_service_t *service,
			    const client_request_t *cr, bool answered,
			    const ql_failure_t *failure)
{
	bool has_capacity =
		ql_call_load_level(cr->call) <= cr->call->shed_order;

	pthread_mutex_lock(&service->lock);
	ql_early_rejection_observe(&service->early_rejection, route_index(cr),
				   answered ? QL_EARLY_REJECTION_SERVED
					    : rejection_outcome(failure,
								has_capacity),
				   has_capacity, ql_clock_now_us());
	pthread_mutex_unlock(&service->lock);
}

/*
 * Records an event of a request. The failure is NULL for an event without an
 * outcome; its outcome is QL_OUTCOME_ANSWERED if the request did not fail.
 */
static void record_event(ql_client_service_t *service,
			 const client_request_t *cr, ql_event_t event,
			 const ql_failure_t *failure)
{
	ql_timeline_event_t entry = {
		.event = event,
		.id = cr->call->id,
		.version = cr->doc->version,
		.service = cr->doc->services[cr->route->service].name,
		.class_name = cr->call->class_name,
	};

	if (failure) {
		entry.has_outcome = true;
		entry.outcome = failure->outcome;
		entry.reason = failure->reason;
	}
	ql_timeline_record(&service->context->timeline, &entry);
}

static bool call_service(ql_client_service_t *service, client_request_t *cr,
			 ql_http_response_t *upstream, ql_failure_t *failure)
{
	client_connection_t client = {service->server, cr->request};
	ql_router_request_t call = {
		.call = cr->call,
		.service = &cr->doc->services[cr->route->service],
		.idempotent = cr->route->idempotent,
		.deadline_us = cr->call->deadline_us,
		.config_version = cr->doc->version,
		.request = cr->request,
		.is_cancelled = is_client_disconnected,
		.cancel_data = &client,
	};
	bool answered;

	if (reject_early(service, cr, failure))
		return false;
	answered = ql_router_call(service->router, &call, upstream, failure);
	observe_outcome(service, cr, answered, failure);
	if (!answered && failure->reason == QL_REASON_NO_ENDPOINT &&
	    service->service_missing)
		service->service_missing(service->service_missing_data,
					 call.service->name);
	return answered;
}

static bool handle_route(ql_client_service_t *service, client_request_t *cr,
			 ql_http_response_t *upstream, ql_failure_t *failure)
{
	static const ql_failure_t no_failure = {.outcome = QL_OUTCOME_ANSWERED};
	const ql_service_t *callee = &cr->doc->services[cr->route->service];
	bool answered;

	if (cr->request->binary_body_length > callee->body_limit_bytes) {
		ql_counter_increment(&service->context->counters,
				     QL_COUNT_TOO_LARGE);
		return ql_failure_set_not_run(
			failure, QL_REASON_TOO_LARGE,
			"the body exceeds the limit of the service");
	}
	cr->call = start_call(cr->doc, cr->route);
	record_event(service, cr, QL_EVENT_REQUEST_RECEIVED, NULL);
	answered = call_service(service, cr, upstream, failure);
	record_event(service, cr, QL_EVENT_REQUEST_DONE,
		     answered ? &no_failure : failure);
	ql_call_end(cr->call);
	ql_call_unref(cr->call);
	return answered;
}

/* Time limit for sealing a key, also if the deadline has passed. */
#define KEY_SEAL_TIMEOUT_US QL_US_PER_S

/*
 * Changes the outcome of a keyed request that did not run from not-run to
 * refused, since other copies of it may run. If the client requests a seal, the
 * key is sealed: once that has succeeded no copy can run, and the outcome is
 * not-run again.
 */
static void adjust_keyed_outcome(ql_client_service_t *service,
				 const client_request_t *cr,
				 ql_failure_t *failure)
{
	ql_keyed_request_t keyed = {
		.claims = service->claims,
		.doc = (ql_document_t *)cr->doc,
		.request = cr->request,
		.key = cr->metadata.key,
		.deadline_us = ql_clock_now_us() + KEY_SEAL_TIMEOUT_US,
	};

	if (failure->outcome != QL_OUTCOME_NOT_RUN ||
	    !(cr->metadata.has & QL_HAS_KEY))
		return;
	failure->outcome = QL_OUTCOME_REFUSED;
	if (cr->metadata.seal && ql_keyed_request_has_keepers(cr->doc))
		ql_keyed_request_seal(&keyed, failure);
}

/*
 * Refuses a request before its route is known. The outcome of a keyed request
 * is refused, since other copies may run.
 */
static bool refuse_unrouted(const struct _u_request *request,
			    ql_failure_t *failure, ql_reason_t reason,
			    const char *detail)
{
	ql_failure_set_not_run(failure, reason, detail);
	if (u_map_has_key_case(request->map_header, QL_HEADER_KEY))
		failure->outcome = QL_OUTCOME_REFUSED;
	return false;
}

static bool handle_request(ql_client_service_t *service,
			   const struct _u_request *request,
			   ql_http_response_t *upstream, ql_failure_t *failure)
{
	client_request_t cr = {.request = request};
	ql_document_t *doc;
	bool answered;

	if (__atomic_load_n(&service->draining, __ATOMIC_ACQUIRE))
		return refuse_unrouted(request, failure, QL_REASON_DRAINING,
				       NULL);
	if (!ql_context_is_ready(service->context))
		return refuse_unrouted(
			request, failure, QL_REASON_NOT_READY,
			"the node has not reached its failure domain "
			"yet");
	/* Of the metadata of a client only the key and the seal are used. */
	if (ql_request_parse_metadata(&cr.metadata, service->server, request,
				      NULL)) {
		ql_counter_increment(&service->context->counters,
				     QL_COUNT_BAD_METADATA);
		return refuse_unrouted(request, failure, QL_REASON_BAD_REQUEST,
				       "a protocol header is malformed");
	}
	doc = ql_context_document(service->context);
	cr.doc = doc;
	cr.route = match_route(doc, request);
	answered = cr.route ? handle_route(service, &cr, upstream, failure)
			    : ql_failure_set_not_run(
				      failure, QL_REASON_NO_ROUTE,
				      "no route matches this method and path");
	if (!answered)
		adjust_keyed_outcome(service, &cr, failure);
	ql_document_unref(doc);
	return answered;
}

static void send_response(ql_client_service_t *service, bool answered,
			  ql_http_response_t *upstream,
			  const ql_failure_t *failure,
			  struct _u_response *response)
{
	ql_counters_t *counters = &service->context->counters;
	ql_metadata_t metadata;

	if (!answered) {
		ql_response_set_failure(response, failure);
		count_outcome(counters, failure->outcome);
		return;
	}
	ql_response_forward(response, upstream);
	ql_metadata_init(&metadata);
	metadata.has = QL_HAS_OUTCOME;
	metadata.outcome = QL_OUTCOME_ANSWERED;
	ql_response_add_metadata(response, &metadata);
	count_outcome(counters, QL_OUTCOME_ANSWERED);
}

void ql_client_service_handle(void *data, const struct _u_request *request,
			      struct _u_response *response)
{
	ql_client_service_t *service = data;
	ql_counters_t *counters = &service->context->counters;
	uint64_t start_us = ql_clock_now_us();
	ql_failure_t failure = {0};
	ql_http_response_t upstream;
	bool answered;

	ql_counter_increment(counters, QL_COUNT_CLIENT_REQUESTS);
	ql_http_response_init(&upstream);
	answered = handle_request(service, request, &upstream, &failure);
	send_response(service, answered, &upstream, &failure, response);
	ql_http_response_finish(&upstream);
	ql_latency_record(counters, QL_LATENCY_CLIENT,
			  ql_clock_now_us() - start_us);
}
