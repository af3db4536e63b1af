#ifndef QL_NODE_OPERATOR_HTTP_H
#define QL_NODE_OPERATOR_HTTP_H

/**
 * DOC: The operators' HTTP interface of a replica: put a whole document, and
 * read the newest one. A replica that does not lead sends the operator on to
 * the leader; one that cannot tell answers 503.
 */

#include "node/http_server.h"
#include "node/replica_service.h"
#include "quetzalloft/dialect.h"

G_BEGIN_DECLS

/**
 * struct ql_operator_http - The interface.
 * @settings: borrowed
 * @dialect: of the operators; borrowed
 * @replica: borrowed
 * @server: the listener
 */
typedef struct ql_operator_http {
	const ql_settings_t *settings;
	const ql_dialect_t *dialect;
	ql_replica_service_t *replica;
	ql_http_server_t server;
} ql_operator_http_t;

/**
 * ql_operator_http_start() - Listen for operators.
 * @operators: the interface, its borrowed members set
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_http_server_start().
 */
int ql_operator_http_start(ql_operator_http_t *operators, GError **error);
void ql_operator_http_stop(ql_operator_http_t *operators);

G_END_DECLS

#endif
