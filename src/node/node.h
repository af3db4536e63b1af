#ifndef QL_NODE_NODE_H
#define QL_NODE_NODE_H

/**
 * DOC: A node that runs all services, with one thread for each connection.
 */

#include "node/client_service.h"
#include "node/control_service.h"
#include "node/http_server.h"
#include "node/local_service.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_node - The node.
 * @context: shared state of the services
 * @http_client: connections to the gates of other nodes and to endpoints
 * @claims: claims of idempotency keys that this node keeps
 * @router: chooses an endpoint for each attempt
 * @gate_service: gates of the local endpoints
 * @client_service: handles requests of clients
 * @local_service: handles requests of the endpoints of this VM
 * @control: the control plane
 * @client_server: listener for clients
 * @gate_server: listener for other nodes
 * @local_server: listener for the endpoints of this VM
 * @state_lock: guards @state
 * @state: state of chart "shutdown"
 */
typedef struct ql_node {
	ql_context_t context;
	ql_http_client_t http_client;
	ql_claim_service_t claims;
	ql_router_t router;
	ql_gate_service_t gate_service;
	ql_client_service_t client_service;
	ql_local_service_t local_service;
	ql_control_service_t control;
	ql_http_server_t client_server;
	ql_http_server_t gate_server;
	ql_http_server_t local_server;
	pthread_mutex_t state_lock;
	ql_shutdown_state_t state;
} ql_node_t;

/**
 * ql_node_start() - Start all services.
 * @node: uninitialised memory
 * @settings: settings of the process; borrowed
 * @error: set on failure
 *
 * Return: 0 or the error of a service; after a failure nothing runs.
 */
int ql_node_start(ql_node_t *node, const ql_settings_t *settings,
		  GError **error);

/**
 * ql_node_drain() - Drain the node: refuse new requests, report to the
 * registrars that the node leaves, and wait for the requests in flight.
 * @node: the node
 *
 * Blocks for at least the drain_ms of the settings, and without an upper limit.
 */
void ql_node_drain(ql_node_t *node);

/**
 * ql_node_stop() - Stop all services and release the memory.
 * @node: the node, after a successful start
 */
void ql_node_stop(ql_node_t *node);

G_END_DECLS

#endif
