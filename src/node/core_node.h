#ifndef QL_NODE_CORE_NODE_H
#define QL_NODE_CORE_NODE_H

/**
 * DOC: A process on a VM with a disk: replica of the configuration, registrar
 * and the operators' interface.
 */

#include "node/context.h"
#include "node/control_service.h"
#include "node/metrics_http.h"
#include "node/operator_http.h"
#include "node/replica_supervisor.h"

G_BEGIN_DECLS

/**
 * struct ql_core_node - The process.
 * @control: replica, registrar and the RPC server
 * @supervisor: keeps the members of the replicas in order
 * @operator_http: the operators' HTTP interface
 * @metrics: for readers of metrics
 */
typedef struct ql_core_node {
	ql_context_t context;
	ql_control_service_t control;
	ql_replica_supervisor_t supervisor;
	ql_operator_http_t operator_http;
	ql_metrics_http_t metrics;
} ql_core_node_t;

/**
 * ql_core_node_start() - Load the state, and serve.
 * @node: the process, zeros
 * @settings: borrowed
 * @dialect: of the operators; borrowed
 * @error: detail of a failure
 *
 * Return: 0 or the failure of a part; the process is then to exit.
 */
int ql_core_node_start(ql_core_node_t *node, const ql_settings_t *settings,
		       const ql_dialect_t *dialect, GError **error);

/**
 * ql_core_node_reload() - Put changed settings in force.
 * @node: the process
 * @settings: the new ones; only those that need no restart are used
 */
void ql_core_node_reload(ql_core_node_t *node, const ql_settings_t *settings);

void ql_core_node_stop(ql_core_node_t *node);

G_END_DECLS

#endif
