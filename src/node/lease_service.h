#ifndef QL_NODE_LEASE_SERVICE_H
#define QL_NODE_LEASE_SERVICE_H

/**
 * DOC: The threads that renew the lease of this node and pass the answers of
 * the registrars to the membership of the node. One of them waits for the next
 * renewal, holding @turn, and writes it; then the next thread waits while the
 * first one calls the registrar. Calls to different registrars, to a neighbour
 * and of the document therefore run in parallel, and a call that is not
 * answered holds up its own thread only. There are as many threads as a node
 * has registrars at most. The membership is changed with @lock held, which is
 * never held during a call.
 */

#include "node/gate_service.h"
#include "node/settings.h"
#include "quetzalloft/ring.h"

#include "control/rpc_client.h"
#include "util/counters.h"

#include <pthread.h>

G_BEGIN_DECLS

/** Threads that renew the lease. */
#define QL_LEASE_THREADS QL_REGISTRARS_MAX

/**
 * struct ql_lease_service - The renewal of the lease of this node.
 * @settings: settings of the process; borrowed
 * @describe_endpoints: writes up to QL_LOCAL_ENDPOINTS_MAX local endpoints to
 *                      @out, zeros before, and returns their number; the
 *                      strings are allocated with malloc()
 * @describe_endpoints_data: passed to @describe_endpoints
 * @counters: counters and gauges; borrowed
 * @hlc: hybrid logical clock; borrowed
 * @incarnation: start of this process
 * @lock: guards @member, @next_neighbour and @neighbour_asked
 * @turn: held by the thread that waits for the next renewal and writes it;
 *        taken before @lock
 * @saved: signalled when the registrars have saved the withdrawal of the
 * endpoint
 * @member: the node's side of membership
 * @random: source of the jitter of @member
 * @clients: connections to the registrars, at the index that @member uses; each
 *           belongs to the thread with the renewal in flight at the index
 * @neighbours: connections to other nodes of the failure domain, in the order
 *              of the settings
 * @next_neighbour: requests to neighbours so far, modulo their number the index
 *                  of the next one
 * @neighbour_asked: a request to a neighbour is in flight; its thread is the
 *                   only one that uses @neighbours
 * @wake_ring: a push ends the wait for the next renewal
 * @threads: the threads
 * @renew_now: 1 when a renewal is due at once; accessed atomically
 * @stopping: 1 ends the threads; accessed atomically
 * @leaving: 1 once the node leaves; accessed atomically
 */
typedef struct ql_lease_service {
	const ql_settings_t *settings;
	u_int (*describe_endpoints)(void *data, ql_rpc_endpoint *out);
	void *describe_endpoints_data;
	ql_counters_t *counters;
	ql_hlc_t *hlc;
	uint64_t incarnation;
	pthread_mutex_t lock;
	pthread_mutex_t turn;
	pthread_cond_t saved;
	ql_member_t member;
	GRand *random;
	ql_rpc_client_t clients[QL_REGISTRARS_MAX];
	ql_rpc_client_t neighbours[QL_NEIGHBOURS_MAX];
	size_t next_neighbour;
	bool neighbour_asked;
	ql_ring_t wake_ring;
	GThread *threads[QL_LEASE_THREADS];
	int renew_now;
	int stopping;
	int leaving;
} ql_lease_service_t;

/**
 * ql_lease_service_init() - Initialise the renewal.
 * @service: zeros, with the borrowed fields and @incarnation set
 * @ops: callbacks of the membership, called with @lock held
 * @ops_data: passed to @ops
 * @error: set on failure
 *
 * Return: 0 or an error of ql_ring_init().
 */
int ql_lease_service_init(ql_lease_service_t *service,
			  const ql_member_ops_t *ops, void *ops_data,
			  GError **error);

/**
 * ql_lease_service_start() - Start the threads.
 * @service: the service
 */
void ql_lease_service_start(ql_lease_service_t *service);

/**
 * ql_lease_service_stop() - Stop the threads and wait for their end.
 * @service: the service
 */
void ql_lease_service_stop(ql_lease_service_t *service);

/**
 * ql_lease_service_finish() - Close the connections and release the memory.
 * @service: a stopped service
 */
void ql_lease_service_finish(ql_lease_service_t *service);

/**
 * ql_lease_service_wake() - Renew the lease at once.
 * @service: the service
 */
void ql_lease_service_wake(ql_lease_service_t *service);

/**
 * ql_lease_service_leave() - Make the threads report to every registrar that
 * this node leaves; returns at once.
 * @service: the service
 */
void ql_lease_service_leave(ql_lease_service_t *service);

/**
 * ql_lease_service_withdraw() - Keep a withdrawal of the local endpoint at the
 * registrars.
 * @service: the service
 * @withdrawal: the withdrawal; see ql_member_withdraw()
 */
void ql_lease_service_withdraw(ql_lease_service_t *service,
			       const ql_withdrawal_t *withdrawal);

/**
 * ql_lease_service_wait_saved() - Wait until the registrars have saved the
 * latest withdrawal of the local endpoint.
 * @service: the service
 * @timeout_ms: most time to wait
 *
 * Return: whether they have.
 */
bool ql_lease_service_wait_saved(ql_lease_service_t *service,
				 uint32_t timeout_ms);

/**
 * ql_lease_service_observe_version() - Process a configuration version that a
 * call or an answer carried; a newer one renews the lease at once.
 * @service: the service
 * @version: the version
 */
void ql_lease_service_observe_version(ql_lease_service_t *service,
				      uint64_t version);

/**
 * ql_lease_service_add_registrar() - Add a registrar that changed settings
 * list, and renew the lease at once.
 * @service: the service
 * @address: "IP:port"; see ql_member_add_registrar()
 */
void ql_lease_service_add_registrar(ql_lease_service_t *service,
				    const char *address);

/**
 * ql_lease_service_follow_service() - Follow the endpoints of a service that a
 * client requested; a new one renews the lease at once.
 * @service: the lease service
 * @name: name of the service to follow
 */
void ql_lease_service_follow_service(ql_lease_service_t *service,
				     const char *name);

/**
 * ql_lease_service_report() - Describe the membership of this node for
 * operators.
 * @service: the service
 *
 * Return: a new reference.
 */
json_t *ql_lease_service_report(ql_lease_service_t *service);

G_END_DECLS

#endif
