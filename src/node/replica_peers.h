#ifndef QL_NODE_REPLICA_PEERS_H
#define QL_NODE_REPLICA_PEERS_H

/**
 * DOC: The connections of a replica to the others: a thread and a bounded
 * queue for each, so that one that is slow or dead holds up no other. Messages
 * may be lost; the replica sends again what matters.
 */

#include "node/settings.h"
#include "quetzalloft/clock.h"

#include "replication.h"

#include <pthread.h>

G_BEGIN_DECLS

/** Connections kept; messages for further addresses are dropped. */
#define QL_REPLICA_PEERS_MAX 64

typedef struct ql_replica_link ql_replica_link_t;

/**
 * struct ql_replica_peers - The connections. Used by one thread.
 * @settings: borrowed
 * @hlc: borrowed
 * @incarnation: start of this process
 * @own_address: where this replica listens
 * @links: one for each address
 * @n_links: their number
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
 * ql_replica_peers_send() - Queue a message.
 * @peers: the connections
 * @address: where to
 * @message: the message, which becomes the callee's
 */
void ql_replica_peers_send(ql_replica_peers_t *peers, const char *address,
			   ql_rpc_replica_message *message);

/**
 * ql_replica_peers_query_status() - Ask a replica for its status; blocks.
 * @peers: the connections
 * @address: whom
 * @res: zeros; freed with xdr_free() by the caller
 *
 * Return: 0, a failure of ql_rpc_client_call(), or the status of the answer.
 */
int ql_replica_peers_query_status(const ql_replica_peers_t *peers,
				  const char *address,
				  ql_rpc_replica_status_res *res);

void ql_replica_peers_finish(ql_replica_peers_t *peers);

G_END_DECLS

#endif
