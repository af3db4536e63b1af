#include "node/path_node.h"
#include "node/announcements.h"
#include "node/http_response.h"
#include "node/path_explain.h"
#include "node/path_jobs.h"
#include "quetzalloft/address.h"
#include "quetzalloft/drain_schedule.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

#define PATH_READY "/quetzalloft/ready"
/* Limits of the listeners for readiness probes and announcements. */
#define HTTP_BODY_LIMIT_BYTES (64u << 10)
#define HTTP_CONNECTIONS_MAX 64u
/*
 * Most open connections of a listener, and the number of open connections above
 * which a connection is closed after its response, as file descriptors are
 * scarce.
 */
#define CLIENT_CONNECTIONS_MAX 1500u
#define CLIENT_KEEP_ALIVE_MAX 500u
#define GATE_CONNECTIONS_MAX 3000u
#define GATE_KEEP_ALIVE_MAX 800u
/* Most bytes of request bodies that a listener holds in memory. */
#define LISTENER_BUFFER_LIMIT_BYTES (48u << 20)
/* Limits on one request to the gate listener, and on an idle connection. */
#define GATE_HEAD_LIMIT_BYTES (64u << 10)
#define GATE_BODY_LIMIT_BYTES (256u << 20)
#define GATE_HEAD_TIMEOUT_MS 5000u
#define GATE_IDLE_TIMEOUT_MS 60000u
/* Interval at which a drain checks for requests in flight. */
#define DRAIN_POLL_US (20 * QL_US_PER_MS)
/* Connections announced for an endpoint if the document sets no limit. */
#define ENDPOINT_CONNECTIONS_DEFAULT 256u

static void on_endpoint_up(void *data, const char *service,
			   const ql_endpoint_info_t *info)
{
	ql_path_jobs_add_endpoint(data, service, info);
}

static void on_endpoint_gone(void *data, const char *service, const char *gate)
{
	ql_log(LOG_NOTICE, "endpoint_gone", QL_STR("service", service),
	       QL_STR("gate", gate));
	ql_path_jobs_remove_endpoint(data, service, gate);
}

static void on_config_changed(void *data, ql_document_t *doc)
{
	ql_path_node_t *node = data;

	ql_context_set_document(&node->context, doc);
	ql_counter_increment(&node->context.counters, QL_COUNT_CONFIG_CHANGES);
	ql_gauge_set(&node->context.counters, QL_GAUGE_CONFIG_VERSION,
		     doc->version);
	ql_path_jobs_set_document(node, doc);
}

static void on_config_confirmed(void *data)
{
	ql_path_node_t *node = data;

	ql_context_set_config_confirmed(&node->context);
	ql_path_jobs_set_ready(node);
	ql_log(LOG_NOTICE, "domain_asked",
	       QL_STR("node", node->context.settings->node));
}

static void on_withdrawal_received(void *data,
				   const ql_withdrawal_t *withdrawal)
{
	ql_path_jobs_withdraw(data, withdrawal);
}

static void on_withdrawal_agreed(void *data)
{
	ql_path_jobs_open_gate(data);
}

static void on_config_proven(void *data, const ql_key_proof_t *proof)
{
	ql_path_node_t *node = data;

	if (node->context.settings->key_lease_ms)
		ql_path_jobs_prove_keys(node, proof);
}

static const ql_member_ops_t member_ops = {
	.endpoint_up = on_endpoint_up,
	.endpoint_gone = on_endpoint_gone,
	.config_changed = on_config_changed,
	.config_confirmed = on_config_confirmed,
	.withdrawal_received = on_withdrawal_received,
	.withdrawal_agreed = on_withdrawal_agreed,
	.config_proven = on_config_proven,
};

static ql_document_t *get_document(void *data)
{
	return ql_context_document(&((ql_path_node_t *)data)->context);
}

static void on_version_received(void *data, uint64_t version)
{
	ql_path_node_t *node = data;

	if (node->front.doc && version <= node->front.doc->version)
		return;
	ql_lease_service_observe_version(&node->control.lease, version);
}

static void on_service_wanted(void *data, const char *service)
{
	ql_path_node_t *node = data;

	ql_lease_service_follow_service(&node->control.lease, service);
}

static void on_quota_wanted(void *data, const ql_quota_wallet_t *wallet)
{
	ql_path_node_t *node = data;

	ql_quota_client_ask(&node->quota, wallet);
}

/* Runs on the loop: updates the announced state and renews the lease. */
static void on_endpoint_changed(void *data)
{
	ql_path_node_t *node = data;

	pthread_mutex_lock(&node->lock);
	node->announced_endpoint = (ql_announced_endpoint_t){
		.has_report = node->gate.has_report && !node->gate.closed,
		.serving = ql_local_gate_is_serving(&node->gate),
		.slots = (uint32_t)node->gate.report.slots,
		.incarnation = node->gate.incarnation,
	};
	pthread_mutex_unlock(&node->lock);
	ql_lease_service_wake(&node->control.lease);
}

/* Returns the connections that an endpoint of a service accepts. */
static uint32_t service_connections(ql_path_node_t *node, const char *name)
{
	ql_document_t *doc = ql_context_document(&node->context);
	int index = ql_document_find_service(doc, name);
	uint64_t connections = index < 0 ? 0 : doc->services[index].connections;

	ql_document_unref(doc);
	return connections ? (uint32_t)connections
			   : ENDPOINT_CONNECTIONS_DEFAULT;
}

/* Runs in the lease threads, in one at a time. */
static u_int describe_endpoint(void *data, ql_rpc_endpoint *out)
{
	ql_path_node_t *node = data;
	const ql_settings_t *settings = node->context.settings;
	ql_announced_endpoint_t announced;

	pthread_mutex_lock(&node->lock);
	announced = node->announced_endpoint;
	pthread_mutex_unlock(&node->lock);
	if (!announced.has_report)
		return 0;
	out->service = strdup(settings->endpoint.service);
	out->gate = strdup(settings->listen.gate);
	out->node = strdup(settings->node);
	out->failure_domain = strdup(settings->failure_domain);
	out->placement = strdup(settings->placement);
	out->incarnation = announced.incarnation;
	out->slots = announced.slots;
	out->connections =
		service_connections(node, settings->endpoint.service);
	out->state = announced.serving ? QL_RPC_ENDPOINT_SERVING
				       : QL_RPC_ENDPOINT_LEAVING;
	return 1;
}

static bool is_ready(ql_path_node_t *node)
{
	return !__atomic_load_n(&node->draining, __ATOMIC_ACQUIRE) &&
	       ql_context_is_ready(&node->context);
}

static void handle_ready(void *data, const struct _u_request *request,
			 struct _u_response *response)
{
	ql_path_node_t *node = data;

	if (strcmp(request->url_path, PATH_READY) != 0)
		ql_response_set_text(response, 404, "text/plain",
				     "not found\n");
	else if (is_ready(node))
		ql_response_set_text(response, 200, "text/plain", "ready\n");
	else
		ql_response_set_text(response, 503, "text/plain",
				     "not ready\n");
}

static json_t *make_report(void *data, const char *topic, const char *filter)
{
	ql_path_node_t *node = data;
	ql_document_t *doc;
	json_t *json;

	if (!strcmp(topic, "counters"))
		return ql_counters_report(&node->context.counters);
	if (!strcmp(topic, "membership"))
		return ql_lease_service_report(&node->control.lease);
	if (!strcmp(topic, "timeline"))
		return ql_timeline_report(&node->context.timeline, filter);
	if (strcmp(topic, "status") != 0)
		return NULL;
	doc = ql_context_document(&node->context);
	json = json_pack("{s:s, s:s, s:s, s:I, s:b}", "node",
			 node->context.settings->node, "cluster",
			 node->context.settings->cluster, "failure_domain",
			 node->context.settings->placement, "config_version",
			 (json_int_t)doc->version, "ready", is_ready(node));
	ql_document_unref(doc);
	return json;
}

static int init_quota(ql_path_node_t *node, GError **error)
{
	node->quota.settings = node->context.settings;
	node->quota.hlc = &node->context.hlc;
	node->quota.lease = &node->control.lease;
	node->quota.loop = &node->loop;
	node->quota.front = &node->front;
	node->quota.incarnation = (uint64_t)g_get_real_time();
	return ql_quota_client_init(&node->quota, error);
}

static int init_path(ql_path_node_t *node, GError **error)
{
	const ql_settings_t *settings = node->context.settings;
	const ql_balancer_ops_t *balancer =
		ql_balancer_find(settings->balancer);
	ql_local_gate_opts_t gate = {
		.dialect = node->dialect,
		.state_changed = on_endpoint_changed,
		.data = node,
		.await_withdrawal = true,
		.reports_occupancy = balancer == &ql_balancer_even_load ||
				     balancer == &ql_balancer_auto,
		.counters = &node->context.counters,
	};
	ql_front_opts_t front = {
		.dialect = node->dialect,
		.repeat_ratio = settings->repeat_ratio,
		.key_lease_ms = settings->key_lease_ms,
		.balancer = balancer,
		.local = &node->gate,
		.hops = &node->hops,
		.counters = &node->context.counters,
		.service_wanted = on_service_wanted,
		.ask_quota = on_quota_wanted,
		.data = node,
	};
	int ret = ql_address_parse(&gate.address, settings->endpoint.address,
				   error);

	if (!ret)
		ret = init_quota(node, error);
	if (ret)
		return ret;
	g_strlcpy(gate.service, settings->endpoint.service,
		  sizeof(gate.service));
	g_strlcpy(front.caller, settings->endpoint.service,
		  sizeof(front.caller));
	g_strlcpy(front.own_gate, settings->listen.gate,
		  sizeof(front.own_gate));
	g_strlcpy(front.failure_domain, settings->placement,
		  sizeof(front.failure_domain));
	ql_local_gate_init(&node->gate, &node->loop, &gate);
	ql_hops_init(&node->hops, &node->loop, node->dialect->request_id);
	ql_front_init(&node->front, &node->loop, &front);
	ql_load_log_start(&node->load_log, &node->loop, &node->front,
			  &node->gate);
	ql_key_watch_start(&node->key_watch, &node->loop, &node->front);
	node->hop_server = (ql_hop_server_t){
		.gate = &node->gate,
		.document = get_document,
		.version_received = on_version_received,
		.data = node,
	};
	return 0;
}

static int listen_clients(ql_path_node_t *node, GError **error)
{
	ql_client_limits_t limits = node->context.doc->limits;
	ql_listener_opts_t opts = {
		.head_limit_bytes = limits.head_bytes,
		.body_limit_bytes = limits.body_bytes,
		.buffer_limit_bytes = LISTENER_BUFFER_LIMIT_BYTES,
		.head_timeout_ms = (uint32_t)limits.head_ms,
		.idle_timeout_ms = (uint32_t)limits.idle_ms,
		.connections = CLIENT_CONNECTIONS_MAX,
		.keep_alive_max = CLIENT_KEEP_ALIVE_MAX,
		.handle = ql_front_handle,
		.data = &node->front,
	};
	int ret =
		ql_address_parse(&opts.address,
				 node->context.settings->listen.client, error);

	return ret ? ret
		   : ql_listener_start(&node->client_listener, &node->loop,
				       &opts, error);
}

static int listen_gates(ql_path_node_t *node, GError **error)
{
	ql_listener_opts_t opts = {
		.head_limit_bytes = GATE_HEAD_LIMIT_BYTES,
		.body_limit_bytes = GATE_BODY_LIMIT_BYTES,
		.buffer_limit_bytes = LISTENER_BUFFER_LIMIT_BYTES,
		.head_timeout_ms = GATE_HEAD_TIMEOUT_MS,
		.idle_timeout_ms = GATE_IDLE_TIMEOUT_MS,
		.connections = GATE_CONNECTIONS_MAX,
		.keep_alive_max = GATE_KEEP_ALIVE_MAX,
		.handle = ql_hop_server_handle,
		.data = &node->hop_server,
	};
	int ret = ql_address_parse(&opts.address,
				   node->context.settings->listen.gate, error);

	return ret ? ret
		   : ql_listener_start(&node->gate_listener, &node->loop, &opts,
				       error);
}

static int start_http_server(ql_path_node_t *node, ql_http_server_t *server,
			     const char *where, ql_http_handler_t handle,
			     GError **error)
{
	const ql_http_server_opts_t opts = {
		.address = node->context.settings->address,
		.connections = HTTP_CONNECTIONS_MAX,
		.body_limit_bytes = HTTP_BODY_LIMIT_BYTES,
		.handle = handle,
		.data = node,
	};

	return ql_http_server_start_at(server, &opts, where, error);
}

static int start_control(ql_path_node_t *node, GError **error)
{
	node->control.settings = node->context.settings;
	node->control.counters = &node->context.counters;
	node->control.hlc = &node->context.hlc;
	node->control.timeline = &node->context.timeline;
	node->control.describe_endpoints = describe_endpoint;
	node->control.describe_endpoints_data = node;
	node->control.report = make_report;
	node->control.report_data = node;
	node->control.explain = ql_path_explain;
	node->control.explain_data = node;
	return ql_control_service_start(&node->control, &member_ops, node,
					error);
}

static void *run_loop(void *data)
{
	ql_path_node_t *node = data;

	ql_loop_run(&node->loop);
	return NULL;
}

void ql_path_node_reload(ql_path_node_t *node, const ql_settings_t *settings)
{
	size_t i;

	node->drain_ms = settings->drain_ms;
	node->grace_ms = settings->grace_ms;
	pthread_mutex_lock(&node->lock);
	node->repeat_ratio = settings->repeat_ratio;
	pthread_mutex_unlock(&node->lock);
	ql_path_jobs_set_repeat_ratio(node);
	for (i = 0; i < settings->n_registrars; i++)
		ql_lease_service_add_registrar(&node->control.lease,
					       settings->registrars[i]);
}

static int start_services(ql_path_node_t *node, GError **error)
{
	const ql_listen_settings_t *listen = &node->context.settings->listen;
	int ret = init_path(node, error);

	if (!ret)
		ret = listen_clients(node, error);
	if (!ret)
		ret = listen_gates(node, error);
	if (!ret)
		ret = start_control(node, error);
	if (ret)
		return ret;
	node->loop_thread = g_thread_new("calls", run_loop, node);
	ret = start_http_server(node, &node->ready_server, listen->ready,
				handle_ready, error);
	if (!ret)
		ret = start_http_server(node, &node->announce_server,
					listen->announce,
					ql_announcements_handle, error);
	return ret ? ret
		   : ql_metrics_http_start(&node->metrics,
					   node->context.settings,
					   &node->context.counters, error);
}

int ql_path_node_start(ql_path_node_t *node, const ql_settings_t *settings,
		       const ql_dialect_t *dialect, GError **error)
{
	int ret = ql_context_init(&node->context, settings, error);

	if (ret)
		return ret;
	node->dialect = dialect;
	node->drain_ms = settings->drain_ms;
	node->grace_ms = settings->grace_ms;
	pthread_mutex_init(&node->lock, NULL);
	ret = ql_loop_init(&node->loop, error);
	if (!ret)
		ret = start_services(node, error);
	if (!ret)
		ql_log(LOG_NOTICE, "node_started",
		       QL_STR("node", settings->node),
		       QL_STR("service", settings->endpoint.service),
		       QL_STR("placement", settings->placement));
	return ret;
}

/*
 * Requests a new count from the loop and checks the latest one, which may be
 * that of an earlier request.
 */
static bool has_requests_in_flight(ql_path_node_t *node)
{
	ql_path_jobs_count_in_flight(node);
	return __atomic_load_n(&node->requests_in_flight, __ATOMIC_ACQUIRE) > 0;
}

static void wait_until(uint64_t at_us)
{
	uint64_t now_us = ql_clock_now_us();

	if (now_us < at_us)
		g_usleep(at_us - now_us);
}

/* Waits until no request is in flight, but no longer than until a time. */
static void wait_for_requests(ql_path_node_t *node, uint64_t latest_us)
{
	while (ql_clock_now_us() < latest_us && has_requests_in_flight(node))
		g_usleep(DRAIN_POLL_US);
}

void ql_path_node_drain(ql_path_node_t *node)
{
	ql_drain_schedule_t schedule;

	ql_drain_schedule_init(&schedule, node->drain_ms, node->grace_ms,
			       ql_clock_now_us());
	__atomic_store_n(&node->draining, 1, __ATOMIC_RELEASE);
	ql_path_jobs_begin_drain(node, schedule.fail_us);
	wait_until(schedule.leave_us);
	ql_lease_service_leave(&node->control.lease);
	wait_until(schedule.drain_gate_us);
	ql_path_jobs_drain_gate(node);
	wait_until(schedule.refuse_clients_us);
	ql_path_jobs_refuse_new_requests(node);
	/* Not known until the loop has counted them. */
	__atomic_store_n(&node->requests_in_flight, 1, __ATOMIC_RELEASE);
	wait_until(schedule.exit_us);
	wait_for_requests(node, schedule.fail_us);
	/* The grace time is nearly over: fail the requests in flight. */
	ql_path_jobs_fail_all(node);
	wait_for_requests(node, schedule.latest_exit_us);
	ql_log(LOG_NOTICE, "drain_finished",
	       QL_INT("in_progress", __atomic_load_n(&node->requests_in_flight,
						     __ATOMIC_ACQUIRE)));
}

void ql_path_node_stop(ql_path_node_t *node)
{
	ql_metrics_http_stop(&node->metrics);
	ql_http_server_stop(&node->announce_server);
	ql_http_server_stop(&node->ready_server);
	ql_log(LOG_INFO, "part_stopped", QL_STR("part", "http"));
	ql_quota_client_stop(&node->quota);
	ql_control_service_stop(&node->control);
	ql_path_jobs_stop(node);
	g_thread_join(node->loop_thread);
	ql_loop_finish(&node->loop);
	ql_front_finish(&node->front);
	ql_quota_client_finish(&node->quota);
	ql_listener_finish(&node->client_listener);
	ql_listener_finish(&node->gate_listener);
	pthread_mutex_destroy(&node->lock);
	ql_log(LOG_NOTICE, "node_stopped",
	       QL_STR("node", node->context.settings->node));
	ql_context_finish(&node->context);
}
