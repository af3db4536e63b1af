#ifndef QL_NODE_LEASE_SERVICE_H
#define QL_NODE_LEASE_SERVICE_H

/**
 * DOC: The thread that renews this node's lease, and what it learns thereby.
 */

#include "node/gate_service.h"
#include "node/settings.h"
#include "quetzalloft/ring.h"

#include "control/rpc_client.h"
#include "util/counters.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_lease_service - The renewal of the lease.
 * @settings: borrowed
 * @describe_endpoints: writes the local endpoints, up to
 * QL_LOCAL_ENDPOINTS_MAX, and returns their number
 * @describe_endpoints_data: passed to it
 * @counters: borrowed
 * @hlc: borrowed
 * @incarnation: start of this process
 * @lock: guards @member
 * @member: the node's side of membership
 * @clients: connections to the registrars
 * @neighbours: connections to other nodes of the domain
 * @next_neighbour: the one to ask next
 * @wake_ring: pushed to renew the lease at once
 * @stopping: set to end the thread
 * @leaving: set when the node leaves
 */
typedef struct ql_lease_service {
	const ql_settings_t *settings;
	u_int (*describe_endpoints)(void *data, ql_rpc_endpoint *out);
	void *describe_endpoints_data;
	ql_counters_t *counters;
	ql_hlc_t *hlc;
	uint64_t incarnation;
	pthread_mutex_t lock;
	ql_member_t member;
	GRand *random;
	ql_rpc_client_t clients[QL_REGISTRARS_MAX];
	ql_rpc_client_t neighbours[QL_NEIGHBOURS_MAX];
	size_t next_neighbour;
	ql_ring_t wake_ring;
	GThread *thread;
	int stopping;
	int leaving;
} ql_lease_service_t;

/**
 * ql_lease_service_init() - Prepare the renewal.
 * @service: the service, its borrowed members and @incarnation set
 * @ops: what to do when the node learns something
 * @ops_data: passed to @ops
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_ring_init().
 */
int ql_lease_service_init(ql_lease_service_t *service,
			  const ql_member_ops_t *ops, void *ops_data,
			  GError **error);

/**
 * ql_lease_service_start() - Start to renew the lease.
 * @service: the service
 */
void ql_lease_service_start(ql_lease_service_t *service);

/**
 * ql_lease_service_stop() - End the thread.
 * @service: the service
 */
void ql_lease_service_stop(ql_lease_service_t *service);

void ql_lease_service_finish(ql_lease_service_t *service);

/**
 * ql_lease_service_wake() - Renew the lease at once.
 * @service: the service
 */
void ql_lease_service_wake(ql_lease_service_t *service);

/**
 * ql_lease_service_leave() - Tell every registrar that this node leaves.
 * @service: the service
 */
void ql_lease_service_leave(ql_lease_service_t *service);

/**
 * ql_lease_service_observe_version() - A call carried a configuration version.
 * @service: the service
 * @version: the version
 */
void ql_lease_service_observe_version(ql_lease_service_t *service,
				      uint64_t version);

/**
 * ql_lease_service_add_registrar() - Changed settings name a registrar.
 * @service: the service
 * @address: "IP:port"
 */
void ql_lease_service_add_registrar(ql_lease_service_t *service,
				    const char *address);

/**
 * ql_lease_service_follow_service() - A client asked for a service.
 * @service: the service
 * @name: the name of what the client asked for
 */
void ql_lease_service_follow_service(ql_lease_service_t *service,
				     const char *name);

/**
 * ql_lease_service_report() - What this node knows, for operators.
 * @service: the service
 *
 * Return: a new reference.
 */
json_t *ql_lease_service_report(ql_lease_service_t *service);

G_END_DECLS

#endif
