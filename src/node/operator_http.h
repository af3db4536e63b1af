#ifndef QL_NODE_OPERATOR_HTTP_H
#define QL_NODE_OPERATOR_HTTP_H

/**
 * DOC: HTTP interface of a replica for operators: put a whole document, and get
 * the newest one. A replica that is not the leader redirects to the leader, or
 * answers 503 when the leader is not known.
 */

#include "node/http_server.h"
#include "node/replica_service.h"
#include "quetzalloft/dialect.h"

G_BEGIN_DECLS

/**
 * struct ql_operator_http - The interface.
 * @settings: settings of the process; borrowed
 * @dialect: dialect of the operators; borrowed
 * @replica: replica of this process; borrowed
 * @server: the listener
 */
typedef struct ql_operator_http {
	const ql_settings_t *settings;
	const ql_dialect_t *dialect;
	ql_replica_service_t *replica;
	ql_http_server_t server;
} ql_operator_http_t;

/**
 * ql_operator_http_start() - Start the listener for operators.
 * @operators: zeros, with the borrowed fields set
 * @error: set on failure
 *
 * Return: 0 or an error of ql_http_server_start_at().
 */
int ql_operator_http_start(ql_operator_http_t *operators, GError **error);

/**
 * ql_operator_http_stop() - Stop the listener.
 * @operators: the interface
 */
void ql_operator_http_stop(ql_operator_http_t *operators);

G_END_DECLS

#endif
