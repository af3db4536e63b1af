#ifndef QL_NODE_PATH_NODE_H
#define QL_NODE_PATH_NODE_H

/**
 * DOC: A node with the path of calls on an event loop: one thread for the
 * calls, and one for each duty beside it (lease, RPC, announcements,
 * readiness), which hand their news to the loop.
 */

#include "node/context.h"
#include "node/control_service.h"
#include "node/http_server.h"
#include "node/metrics_http.h"
#include "path/front.h"
#include "path/hop_server.h"
#include "path/load_log.h"

G_BEGIN_DECLS

/**
 * struct ql_announced_endpoint - What other nodes are told of the endpoint.
 * @known: it has announced itself
 * @serving: it takes new calls
 * @slots: requests that it runs at once
 * @incarnation: of this start of it
 */
typedef struct ql_announced_endpoint {
	bool has_report;
	bool serving;
	uint32_t slots;
	uint64_t incarnation;
} ql_announced_endpoint_t;

/**
 * struct ql_path_node - The node.
 * @dialect: of the site; borrowed
 * @clients: listener for clients and the endpoint
 * @gates: listener for other nodes
 * @lock: guards @announced and @repeat_ratio
 * @repeat_ratio: of the settings in force
 * @drain_ms: of the settings in force; for the thread that stops the node
 * @grace_ms: likewise
 * @draining: set when the node leaves
 * @in_progress: requests that are not answered in whole, as the loop counted
 */
typedef struct ql_path_node {
	ql_context_t context;
	const ql_dialect_t *dialect;
	ql_control_service_t control;
	ql_loop_t loop;
	ql_local_gate_t gate;
	ql_hops_t hops;
	ql_front_t front;
	ql_hop_server_t hop_server;
	ql_load_log_t load_log;
	ql_listener_t client_listener;
	ql_listener_t gate_listener;
	ql_http_server_t ready_server;
	ql_http_server_t announce_server;
	ql_metrics_http_t metrics;
	pthread_mutex_t lock;
	ql_announced_endpoint_t announced_endpoint;
	double repeat_ratio;
	uint64_t drain_ms;
	uint64_t grace_ms;
	GThread *loop_thread;
	int draining;
	int requests_in_flight;
} ql_path_node_t;

/**
 * ql_path_node_start() - Listen and serve.
 * @node: the node, zeros
 * @settings: borrowed
 * @dialect: borrowed
 * @error: detail of a failure
 *
 * Return: 0 or the failure of a part; the process is then to exit.
 */
int ql_path_node_start(ql_path_node_t *node, const ql_settings_t *settings,
		       const ql_dialect_t *dialect, GError **error);

/**
 * ql_path_node_reload() - Put changed settings in force.
 * @node: the node
 * @settings: the new ones; only those that need no restart are used
 *
 * Call it in the thread that stops the node.
 */
void ql_path_node_reload(ql_path_node_t *node, const ql_settings_t *settings);

/**
 * ql_path_node_drain() - Leave: finish what was read; blocks until it is.
 * @node: the node
 */
void ql_path_node_drain(ql_path_node_t *node);

/**
 * ql_path_node_stop() - Close everything.
 * @node: the node
 */
void ql_path_node_stop(ql_path_node_t *node);

G_END_DECLS

#endif
