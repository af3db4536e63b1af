#ifndef QL_NODE_CONTROL_SERVICE_H
#define QL_NODE_CONTROL_SERVICE_H

/**
 * DOC: The control plane of a process: the RPC server, the replica, the
 * registrar and the lease of this node.
 */

#include "control/rpc_server.h"
#include "node/lease_service.h"
#include "node/quota_service.h"
#include "node/registrar_service.h"
#include "node/replica_service.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_control_service - The control plane of a process.
 * @settings: settings of the process; borrowed
 * @describe_endpoints: describes the local endpoints for the lease, see &struct
 *                      ql_lease_service; not called without a lease
 * @describe_endpoints_data: passed to @describe_endpoints
 * @claims: claims of idempotency keys to serve over RPC; borrowed; may be NULL
 * @counters: counters and gauges; borrowed
 * @hlc: hybrid logical clock; borrowed
 * @timeline: events of the process; borrowed
 * @report: returns a new reference to the report on a topic, or NULL when there
 *          is none
 * @report_data: passed to @report
 * @explain: sets the explanation of a request, see node/path_explain.h; returns
 *           0 or an error; NULL in a process without a call path
 * @explain_data: passed to @explain
 * @incarnation: start of this process in microseconds of real time
 * @has_lease: this process holds a lease
 * @lock: guards @state and the registrar
 * @state: configuration of the replica, or the one that the registrar follows
 * @replica: the replica of this process, when the settings make it one
 * @quota: the quotas of teams, when this process is a replica
 * @rpc: the RPC server
 * @registrar: the registrar of this process
 * @lease: the lease of this node, with @has_lease
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
	int (*explain)(void *data, json_t **out, const char *filter,
		       GError **error);
	void *explain_data;
	uint64_t incarnation;
	bool has_lease;
	pthread_mutex_t lock;
	ql_config_state_t state;
	ql_replica_service_t replica;
	ql_quota_service_t quota;
	ql_rpc_server_t rpc;
	ql_registrar_service_t registrar;
	ql_lease_service_t lease;
} ql_control_service_t;

/**
 * ql_control_service_start() - Load the state, start the RPC server and renew
 * the lease.
 * @control: zeros, with the borrowed fields and the callbacks set
 * @ops: callbacks of the membership; NULL for a process without a lease
 * @ops_data: passed to @ops
 * @error: set on failure
 *
 * Return: 0, or an error of ql_replica_service_init(),
 * ql_registrar_service_init(), ql_lease_service_init() or
 * ql_rpc_server_start(). After a failure nothing runs, but what was loaded is
 * not released: the process must exit.
 */
int ql_control_service_start(ql_control_service_t *control,
			     const ql_member_ops_t *ops, void *ops_data,
			     GError **error);

/**
 * ql_control_service_stop() - Stop all threads and release the memory.
 * @control: the service, after a successful start
 */
void ql_control_service_stop(ql_control_service_t *control);

G_END_DECLS

#endif
