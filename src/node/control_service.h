#ifndef QL_NODE_CONTROL_SERVICE_H
#define QL_NODE_CONTROL_SERVICE_H

/**
 * DOC: The control side of a process: the RPC server, the replica, the
 * registrar, and the lease of this node.
 */

#include "control/rpc_server.h"
#include "node/lease_service.h"
#include "node/registrar_service.h"
#include "node/replica_service.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_control_service - The control side.
 * @settings: borrowed
 * @lock: guards @state and the registrar
 * @state: the configuration of a replica, or the one that a registrar follows
 * @replica: the replica of this process
 * @registrar: the registrar of this process
 * @lease: the lease of this node
 */
typedef struct ql_control_service {
	const ql_settings_t *settings;
	u_int (*describe_endpoints)(void *data, ql_rpc_endpoint *out);
	void *describe_endpoints_data;
	ql_claim_service_t *claims;
	ql_counters_t *counters;
	ql_hlc_t *hlc;
	ql_timeline_t *timeline;
	json_t *(*report)(void *data, const char *topic, const char *filter);
	void *report_data;
	uint64_t incarnation;
	bool has_lease;
	pthread_mutex_t lock;
	ql_config_state_t state;
	ql_replica_service_t replica;
	ql_rpc_server_t rpc;
	ql_registrar_service_t registrar;
	ql_lease_service_t lease;
} ql_control_service_t;

/**
 * ql_control_service_start() - Load the state, serve, and renew the lease.
 * @control: the service, its borrowed members set
 * @ops: what to do when the node learns something; NULL holds no lease
 * @ops_data: passed to @ops
 * @error: detail of a failure
 *
 * Return: 0 or a failure of the store or of the RPC server.
 */
int ql_control_service_start(ql_control_service_t *control,
			     const ql_member_ops_t *ops, void *ops_data,
			     GError **error);
void ql_control_service_stop(ql_control_service_t *control);

G_END_DECLS

#endif
