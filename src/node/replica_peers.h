#ifndef QL_NODE_REPLICA_PEERS_H
#define QL_NODE_REPLICA_PEERS_H

/**
 * DOC: Connections of a replica to other replicas. Each has a thread and a
 * bounded queue, so that a replica that is slow or dead delays no other one.
 * Messages may be lost; the replica repeats those that matter.
 */

#include "node/settings.h"
#include "quetzalloft/clock.h"

#include "replication.h"

#include <pthread.h>

G_BEGIN_DECLS

/** Connections; messages to further addresses are dropped. */
#define QL_REPLICA_PEERS_MAX 64

typedef struct ql_replica_link ql_replica_link_t;

/**
 * struct ql_replica_peers - Connections to other replicas.
 * @settings: settings of the process; borrowed
 * @hlc: hybrid logical clock; borrowed
 * @incarnation: start of this process
 * @own_address: "IP:port" on which this replica listens
 * @links: connections in the order of their first message, one for each
 *         address; changed only by ql_replica_peers_send() and
 *         ql_replica_peers_finish()
 * @n_links: number of @links
 */
typedef struct ql_replica_peers {
	const ql_settings_t *settings;
	ql_hlc_t *hlc;
	uint64_t incarnation;
	char own_address[QL_ADDRESS_MAX];
	ql_replica_link_t *links[QL_REPLICA_PEERS_MAX];
	size_t n_links;
} ql_replica_peers_t;

/**
 * ql_replica_peers_send() - Queue a message; called by one thread only.
 * @peers: the connections
 * @address: "IP:port" of the receiver
 * @message: the message; ownership passes to this function
 *
 * The oldest message is dropped when the queue is full. Opens a connection for
 * an address that has none.
 */
void ql_replica_peers_send(ql_replica_peers_t *peers, const char *address,
			   ql_rpc_replica_message *message);

/**
 * ql_replica_peers_query_status() - Query the status of a replica; blocks.
 * @peers: the connections; none of them is used
 * @address: "IP:port" of the replica
 * @res: zeros; the caller frees it with xdr_free() in any case
 *
 * Return: 0, an error of ql_rpc_client_call(), or the status of the answer.
 */
int ql_replica_peers_query_status(const ql_replica_peers_t *peers,
				  const char *address,
				  ql_rpc_replica_status_res *res);

/**
 * ql_replica_peers_finish() - Close all connections and drop queued messages;
 * blocks until calls in flight have ended.
 * @peers: the connections
 */
void ql_replica_peers_finish(ql_replica_peers_t *peers);

G_END_DECLS

#endif
