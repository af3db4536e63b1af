#ifndef QL_NODE_GATE_SERVICE_H
#define QL_NODE_GATE_SERVICE_H

/**
 * DOC: The gates in front of the local endpoints: calls of other nodes are
 * admitted, queued or refused, and passed to the endpoint.
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

#define QL_LOCAL_ENDPOINTS_MAX QL_RPC_LOCAL_ENDPOINTS_MAX

/**
 * struct ql_gate_service - The gates.
 * @context: borrowed
 * @server: the listener; borrowed
 * @client: for calls to the endpoints; borrowed
 * @claims: claims on idempotency keys; borrowed
 * @gate_address: "IP:port" of the listener, as callers know it
 * @lock: guards @endpoints
 * @endpoints: gates by service; they live as long as the process
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

void ql_gate_service_init(ql_gate_service_t *service, ql_context_t *context,
			  ql_http_server_t *server, ql_http_client_t *client,
			  ql_claim_service_t *claims);
void ql_gate_service_finish(ql_gate_service_t *service);

/**
 * ql_gate_service_apply_announcement() - Take an endpoint's announcement.
 * @service: the gates
 * @announcement: what it says
 * @changed: set when it is new, restarted, or began to drain
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_FULL.
 */
int ql_gate_service_apply_announcement(ql_gate_service_t *service,
				       const ql_announcement_t *announcement,
				       bool *changed, GError **error);

/**
 * ql_gate_service_find_endpoint() - Find the local endpoint of a service.
 * @service: the gates
 * @name: name of the service
 *
 * Return: the endpoint, which lives as long as the gates, or NULL.
 */
ql_local_endpoint_t *ql_gate_service_find_endpoint(ql_gate_service_t *service,
						   const char *name);

/**
 * ql_gate_service_handle() - Answer a call of another node.
 */
void ql_gate_service_handle(void *data, const struct _u_request *request,
			    struct _u_response *response);

/**
 * ql_gate_service_describe_endpoints() - Describe the local endpoints for a
 * lease.
 * @service: the gates
 * @node: name of this node
 * @failure_domain: where it is
 * @gate: "IP:port" of the gate listener
 * @out: room for QL_LOCAL_ENDPOINTS_MAX; strings are freed with free()
 *
 * Return: their number.
 */
u_int ql_gate_service_describe_endpoints(ql_gate_service_t *service,
					 const char *node,
					 const char *failure_domain,
					 const char *gate,
					 ql_rpc_endpoint *out);

/**
 * ql_gate_service_reconfigure() - Apply the document in force to every gate.
 * @service: the gates
 */
void ql_gate_service_reconfigure(ql_gate_service_t *service);

/**
 * ql_gate_service_drain() - Refuse every new request from now on.
 * @service: the gates
 */
void ql_gate_service_drain(ql_gate_service_t *service);

G_END_DECLS

#endif
