#ifndef QL_NODE_REPLICA_STEWARD_H
#define QL_NODE_REPLICA_STEWARD_H

/**
 * DOC: The thread that keeps the members of the replicas in order without an
 * operator: it founds the cluster, joins it, and, while this replica leads,
 * promotes and removes members. It also tells the registrar which other
 * registrars there are.
 */

#include "node/registrar_service.h"
#include "node/replica_service.h"

G_BEGIN_DECLS

/**
 * struct ql_replica_steward - The thread.
 * @replica: borrowed
 * @registrar: borrowed
 * @known: addresses of replicas, the seeds first
 * @n_known: their number
 * @next: the one to ask next
 */
typedef struct ql_replica_steward {
	ql_replica_service_t *replica;
	ql_registrar_service_t *registrar;
	char known[QL_REPLICA_MEMBERS_MAX][QL_ADDRESS_MAX];
	size_t n_known;
	size_t next;
	GThread *thread;
	int stopping;
} ql_replica_steward_t;

/**
 * ql_replica_steward_start() - Start the thread.
 * @steward: the thread, its borrowed members set
 */
void ql_replica_steward_start(ql_replica_steward_t *steward);
void ql_replica_steward_stop(ql_replica_steward_t *steward);

G_END_DECLS

#endif
