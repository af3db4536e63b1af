#ifndef QL_NODE_PATH_NODE_H
#define QL_NODE_PATH_NODE_H

/**
 * DOC: A node whose call path runs on an event loop. One thread runs the loop;
 * the lease, RPC, announcements, readiness and metrics have threads of their
 * own, which post jobs to the loop, see node/path_jobs.h.
 */

#include "node/context.h"
#include "node/control_service.h"
#include "node/http_server.h"
#include "node/metrics_http.h"
#include "node/quota_client.h"
#include "path/front.h"
#include "path/hop_server.h"
#include "path/key_watch.h"
#include "path/load_log.h"

G_BEGIN_DECLS

/**
 * struct ql_announced_endpoint - State of the local endpoint as announced to
 * other nodes.
 * @has_report: the endpoint has sent a report; without one nothing is announced
 * @serving: the endpoint accepts new calls
 * @slots: requests that the endpoint can run at once
 * @incarnation: incarnation of the endpoint
 */
typedef struct ql_announced_endpoint {
	bool has_report;
	bool serving;
	uint32_t slots;
	uint64_t incarnation;
} ql_announced_endpoint_t;

/**
 * struct ql_path_node - A node with a call path.
 * @context: shared state of the node
 * @dialect: header names of the site; borrowed
 * @control: RPC server and lease
 * @loop: event loop of the call path
 * @gate: gate of the local endpoint
 * @hops: connections to the gates of other nodes
 * @front: front end for clients and the local endpoint
 * @quota: calls to the leader for tokens of quotas
 * @hop_server: handler for the calls of other nodes
 * @load_log: periodic load log
 * @key_watch: watch of the proof that API keys are current
 * @client_listener: listener for clients and the local endpoint
 * @gate_listener: listener for other nodes
 * @ready_server: listener for readiness probes
 * @announce_server: listener for announcements of the local endpoint
 * @metrics: listener for metrics
 * @lock: guards @announced_endpoint, @latest_run and @repeat_ratio
 * @announced_endpoint: copied from @gate by the loop, for the lease threads
 * @latest_run: a report of the latest run of the endpoint that has reported
 * @repeat_ratio: retry budget in the settings in force, see
 *                &struct ql_front_opts
 * @drain_ms: minimum drain time in the settings in force, in milliseconds; used
 *            only by the thread that stops the node
 * @grace_ms: maximum time of a stop in the settings in force, in milliseconds;
 *            used only by the thread that stops the node
 * @loop_thread: thread that runs @loop
 * @draining: the node is draining and no longer ready; atomic
 * @requests_in_flight: requests without a complete response at the latest
 *                      ql_path_jobs_count_in_flight(); atomic
 */
typedef struct ql_path_node {
	ql_context_t context;
	const ql_dialect_t *dialect;
	ql_control_service_t control;
	ql_loop_t loop;
	ql_local_gate_t gate;
	ql_hops_t hops;
	ql_front_t front;
	ql_quota_client_t quota;
	ql_hop_server_t hop_server;
	ql_load_log_t load_log;
	ql_key_watch_t key_watch;
	ql_listener_t client_listener;
	ql_listener_t gate_listener;
	ql_http_server_t ready_server;
	ql_http_server_t announce_server;
	ql_metrics_http_t metrics;
	pthread_mutex_t lock;
	ql_announced_endpoint_t announced_endpoint;
	ql_instance_report_t latest_run;
	double repeat_ratio;
	uint64_t drain_ms;
	uint64_t grace_ms;
	GThread *loop_thread;
	int draining;
	int requests_in_flight;
} ql_path_node_t;

/**
 * ql_path_node_start() - Start the listeners and the threads of a node.
 * @node: the node, zeroed
 * @settings: settings; borrowed
 * @dialect: header names of the site; borrowed
 * @error: set to the detail of a failure
 *
 * Return: 0 or the error of the component that failed to start. After a failure
 * the process must exit, since other components may be running.
 */
int ql_path_node_start(ql_path_node_t *node, const ql_settings_t *settings,
		       const ql_dialect_t *dialect, GError **error);

/**
 * ql_path_node_reload() - Apply changed settings.
 * @node: the node
 * @settings: new settings; those that need a restart are ignored
 *
 * Must be called in the thread that stops the node.
 */
void ql_path_node_reload(ql_path_node_t *node, const ql_settings_t *settings);

/**
 * ql_path_node_drain() - Shut down gracefully: leave the cluster, refuse new
 * requests and finish those in flight.
 * @node: the node
 *
 * Blocks for at least the drain time, and until no request is in flight or the
 * grace time is nearly over; requests still in flight fail then.
 */
void ql_path_node_drain(ql_path_node_t *node);

/**
 * ql_path_node_stop() - Stop all threads and free the node.
 * @node: the node
 */
void ql_path_node_stop(ql_path_node_t *node);

G_END_DECLS

#endif
