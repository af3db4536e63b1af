#ifndef QL_CLI_PEER_H
#define QL_CLI_PEER_H

/**
 * DOC: Calls of the command line to a process of the cluster.
 */

#include "control/rpc_client.h"

#include "control.h"

G_BEGIN_DECLS

/**
 * ql_peer_greeting() - Fill in the greeting of the command line.
 * @greeting: the greeting; its strings are static
 * @cluster: name of the cluster
 */
void ql_peer_greeting(ql_rpc_greeting *greeting, const char *cluster);

/**
 * ql_peer_call() - Make one call.
 * @address: "IP:port" of the process
 * @call: the call
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_rpc_client_call().
 */
int ql_peer_call(const char *address, const ql_rpc_call_t *call,
		 GError **error);

/**
 * ql_peer_complain() - Write a failure to standard error.
 * @command: the command that failed
 * @error: the failure; freed
 *
 * Return: the exit status.
 */
int ql_peer_complain(const char *command, GError *error);

G_END_DECLS

#endif
