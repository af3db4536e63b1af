#ifndef QL_NODE_GATE_SERVICE_H
#define QL_NODE_GATE_SERVICE_H

/**
 * DOC: Gates of the local endpoints. A gate admits, queues or refuses the calls
 * of other nodes, and forwards the admitted ones to its endpoint.
 */

#include "node/http_response.h"
#include "node/claim_service.h"
#include "node/calls.h"
#include "node/context.h"
#include "node/http_server.h"
#include "node/local_endpoint.h"

#include "control.h"

#include <pthread.h>

G_BEGIN_DECLS

/** Maximum number of local endpoints of a node, one for each service. */
#define QL_LOCAL_ENDPOINTS_MAX QL_RPC_LOCAL_ENDPOINTS_MAX

/**
 * struct ql_gate_service - The gates of a node.
 * @context: shared state of the node; borrowed
 * @server: listener for calls of other nodes; borrowed
 * @client: HTTP client for calls to the endpoints; borrowed
 * @claims: claim service for idempotency keys; borrowed
 * @gate_address: "IP:port" of the listener, as announced to other nodes
 * @lock: guards @endpoints, @n_endpoints and @draining
 * @endpoints: local endpoints, one for each service; owned, never removed
 *             before ql_gate_service_finish()
 * @n_endpoints: number of elements of @endpoints
 * @draining: the node is draining; endpoints announced later are drained too
 * @calls: calls that run at the endpoints
 */
typedef struct ql_gate_service {
	ql_context_t *context;
	ql_http_server_t *server;
	ql_http_client_t *client;
	ql_claim_service_t *claims;
	char gate_address[QL_ADDRESS_MAX];
	pthread_mutex_t lock;
	ql_local_endpoint_t *endpoints[QL_LOCAL_ENDPOINTS_MAX];
	size_t n_endpoints;
	bool draining;
	ql_calls_t calls;
} ql_gate_service_t;

/**
 * ql_gate_service_init() - Initialize a service without endpoints.
 * @service: the service
 * @context: shared state of the node; borrowed
 * @server: listener for calls of other nodes; borrowed
 * @client: HTTP client for calls to the endpoints; borrowed
 * @claims: claim service; borrowed
 */
void ql_gate_service_init(ql_gate_service_t *service, ql_context_t *context,
			  ql_http_server_t *server, ql_http_client_t *client,
			  ql_claim_service_t *claims);

/**
 * ql_gate_service_finish() - Free all endpoints.
 * @service: the service; no request may be in flight
 */
void ql_gate_service_finish(ql_gate_service_t *service);

/**
 * ql_gate_service_apply_announcement() - Add or update a local endpoint.
 * @service: the service
 * @announcement: announcement of the endpoint; copied
 * @changed: set to true if the lease must be renewed at once, see
 *           ql_local_endpoint_apply_announcement(); not set on failure
 * @error: set to the detail of a failure; may be NULL
 *
 * Return: 0, or QL_E_FULL if the node has QL_LOCAL_ENDPOINTS_MAX other
 * endpoints.
 */
int ql_gate_service_apply_announcement(ql_gate_service_t *service,
				       const ql_announcement_t *announcement,
				       bool *changed, GError **error);

/**
 * ql_gate_service_find_endpoint() - Find the local endpoint of a service.
 * @service: the gate service
 * @name: name of the service that the endpoint runs
 *
 * Return: the endpoint, valid until ql_gate_service_finish(), or NULL.
 */
ql_local_endpoint_t *ql_gate_service_find_endpoint(ql_gate_service_t *service,
						   const char *name);

/**
 * ql_gate_service_handle() - Handle a call of another node; see
 * ql_http_handler_t.
 * @data: &struct ql_gate_service
 * @request: the call
 * @response: response to fill
 */
void ql_gate_service_handle(void *data, const struct _u_request *request,
			    struct _u_response *response);

/**
 * ql_gate_service_describe_endpoints() - Describe the local endpoints for the
 * lease of this node.
 * @service: the service
 * @node: name of this node
 * @failure_domain: failure domain of this node
 * @gate: "IP:port" of the gate listener
 * @out: array of QL_LOCAL_ENDPOINTS_MAX elements to fill; the caller frees
 *       their strings with free()
 *
 * Return: number of elements filled.
 */
u_int ql_gate_service_describe_endpoints(ql_gate_service_t *service,
					 const char *node,
					 const char *failure_domain,
					 const char *gate,
					 ql_rpc_endpoint *out);

/**
 * ql_gate_service_reconfigure() - Apply the document in force to all gates.
 * @service: the service
 */
void ql_gate_service_reconfigure(ql_gate_service_t *service);

/**
 * ql_gate_service_drain() - Refuse all queued and all further requests.
 * @service: the service
 */
void ql_gate_service_drain(ql_gate_service_t *service);

G_END_DECLS

#endif
