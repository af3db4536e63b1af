#ifndef QL_CLI_REPLICAS_H
#define QL_CLI_REPLICAS_H

/**
 * DOC: Questions to a replica.
 */

#include "cli/options.h"
#include "quetzalloft/error.h"

#include "replication.h"

G_BEGIN_DECLS

/**
 * ql_replica_fetch_status() - Ask a replica for its status.
 * @address: "IP:port" of its control port
 * @options: cluster and time
 * @res: zeros; receives the status, freed by its XDR routine
 * @error: detail of a failure
 *
 * Return: 0, a failure of ql_peer_call(), or the status of the answer.
 */
int ql_replica_fetch_status(const char *address, const ql_options_t *options,
			    ql_rpc_replica_status_res *res, GError **error);

G_END_DECLS

#endif
