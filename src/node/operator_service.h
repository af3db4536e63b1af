#ifndef QL_NODE_OPERATOR_SERVICE_H
#define QL_NODE_OPERATOR_SERVICE_H

/**
 * DOC: The RPC program for operators of this process.
 */

#include "control/rpc_server.h"
#include "node/settings.h"

G_BEGIN_DECLS

/**
 * ql_operator_program() - The program, for the RPC server.
 * @settings: borrowed
 *
 * QL_DRAIN stops this process as SIGTERM does.
 *
 * Return: the program.
 */
ql_rpc_program_t ql_operator_program(const ql_settings_t *settings);

G_END_DECLS

#endif
