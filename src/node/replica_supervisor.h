#ifndef QL_NODE_REPLICA_SUPERVISOR_H
#define QL_NODE_REPLICA_SUPERVISOR_H

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
 * struct ql_replica_supervisor - The thread.
 * @replica: borrowed
 * @registrar: borrowed
 * @lock: guards @addresses
 * @addresses: addresses of replicas, the seeds first
 * @n_addresses: their number
 * @next_evicted: place of the one that was forgotten last for another
 * @next_probed: the one to ask next
 */
typedef struct ql_replica_supervisor {
	ql_replica_service_t *replica;
	ql_registrar_service_t *registrar;
	pthread_mutex_t lock;
	char addresses[QL_REPLICA_MEMBERS_MAX][QL_ADDRESS_MAX];
	size_t n_addresses;
	size_t next_evicted;
	size_t next_probed;
	GThread *thread;
	int stopping;
} ql_replica_supervisor_t;

/**
 * ql_replica_supervisor_start() - Start the thread.
 * @supervisor: the thread, its borrowed members set
 */
void ql_replica_supervisor_start(ql_replica_supervisor_t *supervisor);

/**
 * ql_replica_supervisor_add_address() - Learn of a replica.
 * @supervisor: the thread
 * @address: "IP:port"; where there is no room, the one that was learned first
 *           is forgotten
 */
void ql_replica_supervisor_add_address(ql_replica_supervisor_t *supervisor,
				       const char *address);

void ql_replica_supervisor_stop(ql_replica_supervisor_t *supervisor);

G_END_DECLS

#endif
