#include "node/gate_service.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

/* Queueing delay limit of a service that is not in the document in force. */
#define QUEUE_WAIT_DEFAULT_MS 50

void ql_gate_service_init(ql_gate_service_t *service, ql_context_t *context,
			  ql_http_server_t *server, ql_http_client_t *client,
			  ql_claim_service_t *claims)
{
	memset(service, 0, sizeof(*service));
	service->context = context;
	service->server = server;
	service->client = client;
	service->claims = claims;
	ql_address_format(service->gate_address, context->settings->address,
			  (unsigned int)context->settings->gate_port);
	pthread_mutex_init(&service->lock, NULL);
	ql_calls_init(&service->calls);
}

void ql_gate_service_finish(ql_gate_service_t *service)
{
	size_t i;

	for (i = 0; i < service->n_endpoints; i++) {
		ql_local_endpoint_finish(service->endpoints[i]);
		g_free(service->endpoints[i]);
	}
	ql_calls_finish(&service->calls);
	pthread_mutex_destroy(&service->lock);
}

/*
 * Fills in the settings of the gate of a service from the document in force and
 * the settings of the node.
 */
static void fill_gate_opts(const ql_gate_service_t *service, const char *name,
			   uint64_t slots, ql_gate_opts_t *opts)
{
	const ql_settings_t *settings = service->context->settings;
	ql_document_t *doc = ql_context_document(service->context);
	int index = ql_document_find_service(doc, name);
	const ql_service_t *configured =
		index < 0 ? NULL : &doc->services[index];
	const char *limiter = settings->limiter;

	memset(opts, 0, sizeof(*opts));
	opts->seed = g_random_int();
	if (configured && !limiter[0])
		limiter = configured->limiter;
	opts->limiter = ql_limiter_find(limiter);
	if (!opts->limiter)
		opts->limiter = &ql_limiter_gradient;
	opts->slots = (uint32_t)slots;
	opts->queue_max = (uint32_t)settings->queue;
	opts->max_wait_us =
		(configured ? configured->queue_ms : QUEUE_WAIT_DEFAULT_MS) *
		QL_US_PER_MS;
	ql_document_unref(doc);
}

/* Must be called with the lock held. */
static ql_local_endpoint_t *find_locked(const ql_gate_service_t *service,
					const char *name)
{
	size_t i;

	for (i = 0; i < service->n_endpoints; i++)
		if (!strcmp(service->endpoints[i]->service, name))
			return service->endpoints[i];
	return NULL;
}

ql_local_endpoint_t *ql_gate_service_find_endpoint(ql_gate_service_t *service,
						   const char *name)
{
	ql_local_endpoint_t *found;

	pthread_mutex_lock(&service->lock);
	found = find_locked(service, name);
	pthread_mutex_unlock(&service->lock);
	return found;
}

/* Adds an endpoint; returns NULL if there are QL_LOCAL_ENDPOINTS_MAX. */
static ql_local_endpoint_t *add_endpoint(ql_gate_service_t *service,
					 const ql_announcement_t *announcement)
{
	ql_local_endpoint_t *endpoint;
	ql_gate_opts_t opts;

	if (service->n_endpoints == QL_LOCAL_ENDPOINTS_MAX)
		return NULL;
	fill_gate_opts(service, announcement->service, announcement->slots,
		       &opts);
	endpoint = g_new0(ql_local_endpoint_t, 1);
	ql_local_endpoint_init(endpoint, announcement, &opts);
	endpoint->node_draining = service->draining;
	service->endpoints[service->n_endpoints++] = endpoint;
	return endpoint;
}

int ql_gate_service_apply_announcement(ql_gate_service_t *service,
				       const ql_announcement_t *announcement,
				       bool *changed, GError **error)
{
	ql_local_endpoint_t *endpoint;

	pthread_mutex_lock(&service->lock);
	endpoint = find_locked(service, announcement->service);
	if (!endpoint)
		endpoint = add_endpoint(service, announcement);
	pthread_mutex_unlock(&service->lock);
	if (!endpoint)
		return ql_error_set(error, QL_E_FULL,
				    "this node already has %d endpoints",
				    QL_LOCAL_ENDPOINTS_MAX);
	*changed = ql_local_endpoint_apply_announcement(endpoint, announcement);
	return 0;
}

static void describe_endpoint(ql_local_endpoint_t *endpoint,
			      ql_rpc_endpoint *out)
{
	bool serving = ql_local_endpoint_is_serving(endpoint);

	pthread_mutex_lock(&endpoint->lock);
	out->service = strdup(endpoint->announcement.service);
	out->incarnation = endpoint->incarnation;
	out->slots = (u_int)endpoint->announcement.slots;
	out->connections = (u_int)endpoint->announcement.connections;
	out->state =
		serving ? QL_RPC_ENDPOINT_SERVING : QL_RPC_ENDPOINT_LEAVING;
	pthread_mutex_unlock(&endpoint->lock);
}

u_int ql_gate_service_describe_endpoints(ql_gate_service_t *service,
					 const char *node,
					 const char *failure_domain,
					 const char *gate, ql_rpc_endpoint *out)
{
	size_t i;

	pthread_mutex_lock(&service->lock);
	for (i = 0; i < service->n_endpoints; i++) {
		describe_endpoint(service->endpoints[i], &out[i]);
		out[i].gate = strdup(gate);
		out[i].node = strdup(node);
		out[i].failure_domain = strdup(failure_domain);
		out[i].placement = strdup("");
	}
	pthread_mutex_unlock(&service->lock);
	return (u_int)i;
}

void ql_gate_service_reconfigure(ql_gate_service_t *service)
{
	ql_gate_opts_t opts;
	size_t i;

	pthread_mutex_lock(&service->lock);
	for (i = 0; i < service->n_endpoints; i++) {
		/* ql_local_endpoint_configure() replaces the slots. */
		fill_gate_opts(service, service->endpoints[i]->service, 1,
			       &opts);
		ql_local_endpoint_configure(service->endpoints[i], &opts);
	}
	pthread_mutex_unlock(&service->lock);
}

void ql_gate_service_drain(ql_gate_service_t *service)
{
	size_t i;

	pthread_mutex_lock(&service->lock);
	service->draining = true;
	for (i = 0; i < service->n_endpoints; i++)
		ql_local_endpoint_drain(service->endpoints[i]);
	pthread_mutex_unlock(&service->lock);
}
