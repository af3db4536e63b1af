#ifndef QL_NODE_REPLICA_SUPERVISOR_H
#define QL_NODE_REPLICA_SUPERVISOR_H

/**
 * DOC: The thread that manages the membership of the replicas without an
 * operator. It joins this replica to the cluster and, while this replica is
 * the leader, promotes and removes members. It also passes the addresses of
 * the replicas to the registrar, as each of them is a registrar too.
 */

#include "node/registrar_service.h"
#include "node/replica_service.h"

G_BEGIN_DECLS

/**
 * struct ql_replica_supervisor - The supervisor thread.
 * @replica: the replica of this process; borrowed
 * @registrar: the registrar of this process; borrowed
 * @lock: guards @addresses, @n_addresses and @next_evicted
 * @addresses: "IP:port" of replicas; the seeds come first until they are
 *             evicted
 * @n_addresses: number of @addresses
 * @next_evicted: replacements so far, modulo QL_REPLICA_MEMBERS_MAX the index
 *                of the next address to evict when @addresses is full
 * @next_probed: probes so far, modulo @n_addresses the index of the next
 *               address to probe
 * @thread: the thread; NULL before the start
 * @stopping: 1 ends the thread; accessed atomically
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
 * @supervisor: zeros, with @replica and @registrar set
 */
void ql_replica_supervisor_start(ql_replica_supervisor_t *supervisor);

/**
 * ql_replica_supervisor_add_address() - Add the address of a replica.
 * @supervisor: the supervisor
 * @address: "IP:port"; ignored when it is "" or listed already
 *
 * When the list is full, the new address replaces the oldest one.
 */
void ql_replica_supervisor_add_address(ql_replica_supervisor_t *supervisor,
				       const char *address);

/**
 * ql_replica_supervisor_stop() - Stop the thread; does nothing before the
 * start.
 * @supervisor: the supervisor
 */
void ql_replica_supervisor_stop(ql_replica_supervisor_t *supervisor);

G_END_DECLS

#endif
