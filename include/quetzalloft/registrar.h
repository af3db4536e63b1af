#ifndef QUETZALLOFT_REGISTRAR_H
#define QUETZALLOFT_REGISTRAR_H

/**
 * DOC: The registrar of a failure domain: it holds the leases of the nodes,
 * knows their endpoints, and hands out members and configuration as deltas.
 * It has no thread, socket or clock of its own.
 */

#include "quetzalloft/config_state.h"
#include "quetzalloft/table.h"

#include "control.h"

G_BEGIN_DECLS

/**
 * struct ql_registrar_opts - Settings of a registrar.
 * @cluster: name of the cluster
 * @failure_domain: whose nodes it serves
 * @incarnation: start of this process
 * @lease_ms: how long a lease lasts without renewal
 */
typedef struct ql_registrar_opts {
	char cluster[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	uint64_t incarnation;
	uint32_t lease_ms;
} ql_registrar_opts_t;

/**
 * struct ql_registrar - The registrar.
 * @opts: settings
 * @config: the configuration; borrowed
 * @members: known endpoints
 * @members_version: number of the last change of members
 */
typedef struct ql_registrar {
	ql_registrar_opts_t opts;
	ql_config_state_t *config;
	ql_table_t members;
	uint64_t members_version;
} ql_registrar_t;

void ql_registrar_init(ql_registrar_t *registrar,
		       const ql_registrar_opts_t *opts,
		       ql_config_state_t *config);
void ql_registrar_finish(ql_registrar_t *registrar);

/**
 * ql_registrar_lease() - Answer a node that renews its lease.
 * @registrar: the registrar
 * @args: what the node sent
 * @res: the answer, zeros at first; freed by its XDR routine
 * @now_ms: the time
 */
void ql_registrar_lease(ql_registrar_t *registrar,
			const ql_rpc_lease_args *args, ql_rpc_lease_res *res,
			uint64_t now_ms);

/**
 * ql_registrar_tick() - Forget members whose lease ran out.
 * @registrar: the registrar
 * @now_ms: the time
 */
void ql_registrar_tick(ql_registrar_t *registrar, uint64_t now_ms);

G_END_DECLS

#endif
