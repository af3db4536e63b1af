#ifndef QL_NODE_QUOTA_CLIENT_H
#define QL_NODE_QUOTA_CLIENT_H

/**
 * DOC: Calls of a node to the leader of the replicas for tokens of quotas. A
 * thread of its own makes them; it starts with the first call, so that there is
 * none where no team has a quota.
 */

#include "control/rpc_client.h"
#include "node/lease_service.h"
#include "path/front.h"
#include "quetzalloft/ring.h"

G_BEGIN_DECLS

/**
 * struct ql_quota_client - Calls to the leader.
 * @settings: settings of the process; borrowed
 * @hlc: hybrid logical clock; borrowed
 * @lease: knows the registrars, which are replicas or know one; borrowed
 * @loop: loop of @front; borrowed
 * @front: front end that gets the answers; borrowed
 * @incarnation: start of this process
 * @asks: calls to make; the client itself is pushed to wake the thread
 * @rpc: connection to the leader, or to the registrar that is asked for it;
 *       used by the thread
 * @next_registrar: next registrar to ask; used by the thread
 * @lock: guards @thread
 * @thread: makes the calls; NULL until the first one
 * @stopping: 1 ends the thread; atomic
 */
typedef struct ql_quota_client {
	const ql_settings_t *settings;
	ql_hlc_t *hlc;
	ql_lease_service_t *lease;
	ql_loop_t *loop;
	ql_front_t *front;
	uint64_t incarnation;
	ql_ring_t asks;
	ql_rpc_client_t rpc;
	size_t next_registrar;
	pthread_mutex_t lock;
	GThread *thread;
	int stopping;
} ql_quota_client_t;

/**
 * ql_quota_client_init() - Initialize a client without a thread.
 * @client: zeros, with the borrowed fields set
 * @error: detail of a failure
 *
 * Return: 0 or an error of ql_ring_init().
 */
int ql_quota_client_init(ql_quota_client_t *client, GError **error);

/**
 * ql_quota_client_ask() - Make a call; see &ql_front_opts.ask_quota.
 * @client: the client; call it on the loop
 * @wallet: what to ask for; copied
 */
void ql_quota_client_ask(ql_quota_client_t *client,
			 const ql_quota_wallet_t *wallet);

/**
 * ql_quota_client_stop() - End the thread; a call in flight is awaited. The
 * loop has to run on until it has handled the last answer.
 * @client: the client
 */
void ql_quota_client_stop(ql_quota_client_t *client);

/**
 * ql_quota_client_finish() - Free the calls that were not made.
 * @client: the client, stopped, with its loop at an end
 */
void ql_quota_client_finish(ql_quota_client_t *client);

G_END_DECLS

#endif
