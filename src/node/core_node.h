#ifndef QL_NODE_CORE_NODE_H
#define QL_NODE_CORE_NODE_H

/**
 * DOC: A process on a VM with a disk: replica of the configuration, registrar
 * and HTTP interface for operators.
 */

#include "node/context.h"
#include "node/control_service.h"
#include "node/metrics_http.h"
#include "node/operator_http.h"
#include "node/replica_supervisor.h"

G_BEGIN_DECLS

/**
 * struct ql_core_node - The process.
 * @context: shared state of the services
 * @control: the RPC server, the replica and the registrar
 * @supervisor: manages the membership of the replicas
 * @operator_http: HTTP interface for operators
 * @metrics: HTTP listener for readers of metrics
 */
typedef struct ql_core_node {
	ql_context_t context;
	ql_control_service_t control;
	ql_replica_supervisor_t supervisor;
	ql_operator_http_t operator_http;
	ql_metrics_http_t metrics;
} ql_core_node_t;

/**
 * ql_core_node_start() - Load the state and start all services.
 * @node: zeros
 * @settings: settings of the process; borrowed
 * @dialect: dialect of the operators; borrowed
 * @error: set on failure
 *
 * Return: 0 or the error of a service. After a failure some services may run,
 * and the process must exit.
 */
int ql_core_node_start(ql_core_node_t *node, const ql_settings_t *settings,
		       const ql_dialect_t *dialect, GError **error);

/**
 * ql_core_node_reload() - Apply changed settings.
 * @node: the process
 * @settings: the new settings; only the seeds are used
 */
void ql_core_node_reload(ql_core_node_t *node, const ql_settings_t *settings);

/**
 * ql_core_node_stop() - Stop all services and release the memory.
 * @node: the process, after a successful start
 */
void ql_core_node_stop(ql_core_node_t *node);

G_END_DECLS

#endif
