#ifndef QL_NODE_QUOTA_SERVICE_H
#define QL_NODE_QUOTA_SERVICE_H

/**
 * DOC: The quotas of teams at the leader of the replicas: it answers the nodes
 * out of its ledger. Used by the thread of the RPC server only.
 */

#include "control.h"
#include "node/replica_service.h"
#include "quetzalloft/quota_ledger.h"

G_BEGIN_DECLS

/**
 * struct ql_quota_service - The quotas at a replica.
 * @settings: settings of the process; borrowed
 * @counters: counters and gauges; borrowed
 * @replica: the replica of this process; borrowed
 * @ledger: the tokens, while this replica leads
 * @given: tokens granted since the last log lines, by name of the team
 * @logged_us: time of the last log lines
 */
typedef struct ql_quota_service {
	const ql_settings_t *settings;
	ql_counters_t *counters;
	ql_replica_service_t *replica;
	ql_quota_ledger_t ledger;
	GHashTable *given;
	uint64_t logged_us;
} ql_quota_service_t;

/**
 * ql_quota_service_init() - Initialize the quotas without a token.
 * @service: zeros, with the borrowed fields set
 */
void ql_quota_service_init(ql_quota_service_t *service);

/**
 * ql_quota_service_finish() - Free the tokens.
 * @service: the service
 */
void ql_quota_service_finish(ql_quota_service_t *service);

/**
 * ql_quota_service_handle() - Answer a node that asks for tokens.
 * @service: the service
 * @args: the call, from a member of the cluster
 * @res: the answer, with its clock set: status 0, QL_E_NOT_LEADER with the
 *       address of the leader if it is known, or QL_E_PENDING when this leader
 *       may not grant yet
 */
void ql_quota_service_handle(ql_quota_service_t *service,
			     const ql_rpc_quota_args *args,
			     ql_rpc_quota_res *res);

G_END_DECLS

#endif
