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
 * @lock: guards @known
 * @known: addresses of replicas, the seeds first
 * @n_known: their number
 * @forgotten: place of the one that was forgotten last for another
 * @next: the one to ask next
 */
typedef struct ql_replica_steward {
	ql_replica_service_t *replica;
	ql_registrar_service_t *registrar;
	pthread_mutex_t lock;
	char known[QL_REPLICA_MEMBERS_MAX][QL_ADDRESS_MAX];
	size_t n_known;
	size_t forgotten;
	size_t next;
	GThread *thread;
	int stopping;
} ql_replica_steward_t;

/**
 * ql_replica_steward_start() - Start the thread.
 * @steward: the thread, its borrowed members set
 */
void ql_replica_steward_start(ql_replica_steward_t *steward);

/**
 * ql_replica_steward_learn() - Learn of a replica.
 * @steward: the thread
 * @address: "IP:port"; where there is no room, the one that was learned first
 *           is forgotten
 */
void ql_replica_steward_learn(ql_replica_steward_t *steward,
			      const char *address);

void ql_replica_steward_stop(ql_replica_steward_t *steward);

G_END_DECLS

#endif
