#ifndef QL_CLI_REPLICAS_H
#define QL_CLI_REPLICAS_H

/**
 * DOC: Status of a replica of the configuration, for the commands that show
 * and change replicas.
 */

#include "cli/options.h"
#include "quetzalloft/error.h"

#include "replication.h"

G_BEGIN_DECLS

/**
 * ql_replica_fetch_status() - Fetch the status of a replica.
 * @address: "IP:port" of the control port of the replica
 * @options: the cluster, and the time limit of the call
 * @res: zeroed by the caller; receives the status, which the caller frees with
 *       xdr_free() after success only
 * @error: receives the details of a failure; may be NULL
 *
 * Return: 0, a failure of ql_peer_call(), or the status of the answer.
 */
int ql_replica_fetch_status(const char *address, const ql_options_t *options,
			    ql_rpc_replica_status_res *res, GError **error);

G_END_DECLS

#endif
