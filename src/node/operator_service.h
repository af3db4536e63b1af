#ifndef QL_NODE_OPERATOR_SERVICE_H
#define QL_NODE_OPERATOR_SERVICE_H

/**
 * DOC: RPC program for operators of this process.
 */

#include "control/rpc_server.h"
#include "node/settings.h"

G_BEGIN_DECLS

/**
 * ql_operator_program() - Get the RPC program for operators.
 * @settings: settings of the process; borrowed; must outlive the RPC server
 *
 * Procedure QL_DRAIN sends SIGTERM to this process.
 *
 * Return: the program.
 */
ql_rpc_program_t ql_operator_program(const ql_settings_t *settings);

G_END_DECLS

#endif
