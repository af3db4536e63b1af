#ifndef QL_NODE_NODE_H
#define QL_NODE_NODE_H

/**
 * DOC: One node: its listeners, its router, its gates and its control side.
 */

#include "node/client_service.h"
#include "node/control_service.h"
#include "node/http_server.h"
#include "node/local_service.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_node - The node.
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
 * ql_node_start() - Start every part.
 * @node: the node
 * @settings: borrowed
 * @error: detail of a failure
 *
 * Return: 0, or the failure of a part; then nothing runs.
 */
int ql_node_start(ql_node_t *node, const ql_settings_t *settings,
		  GError **error);

/**
 * ql_node_drain() - Refuse new requests, tell the registrar, and wait until
 * the requests in progress have ended.
 * @node: the node
 */
void ql_node_drain(ql_node_t *node);

/**
 * ql_node_stop() - Stop every part.
 * @node: the node
 */
void ql_node_stop(ql_node_t *node);

G_END_DECLS

#endif
