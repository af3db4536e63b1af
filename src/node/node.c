#include "node/node.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

#define BODY_LIMIT_BYTES (256u << 20)
#define KEEPER_KEYS_MAX 100000u
#define KEEPER_ANSWERS_MAX_BYTES (16u << 20)
#define DRAIN_POLL_INTERVAL_US (10 * QL_US_PER_MS)

/* Applies an event to the state of the node, records and logs it. */
static void record_event(ql_node_t *node, ql_event_t event, uint64_t version)
{
	ql_timeline_event_t entry = {.event = event, .version = version};

	pthread_mutex_lock(&node->state_lock);
	ql_shutdown_step(&node->context.cycles, &node->state, event);
	pthread_mutex_unlock(&node->state_lock);
	ql_timeline_record(&node->context.timeline, &entry);
	ql_log(LOG_NOTICE, ql_event_name(event),
	       QL_STR("node", node->context.settings->node),
	       QL_UINT("version", version));
}

static const char *state_name(ql_node_t *node)
{
	ql_shutdown_state_t state;

	pthread_mutex_lock(&node->state_lock);
	state = node->state;
	pthread_mutex_unlock(&node->state_lock);
	return node->context.cycles.shutdown.states[state];
}

static void record_endpoint_event(ql_node_t *node, ql_event_t event,
				  const char *service, const char *gate)
{
	ql_timeline_event_t entry = {
		.event = event,
		.service = service,
		.endpoint = gate,
	};

	ql_timeline_record(&node->context.timeline, &entry);
}

static void on_endpoint_up(void *data, const char *service,
			   const ql_endpoint_info_t *info)
{
	ql_node_t *node = data;

	ql_router_add_endpoint(&node->router, service, info);
	record_endpoint_event(node, QL_EVENT_ENDPOINT_UP, service, info->gate);
}

static void on_endpoint_gone(void *data, const char *service, const char *gate)
{
	ql_node_t *node = data;

	ql_log(LOG_INFO, "endpoint_gone", QL_STR("service", service),
	       QL_STR("gate", gate));
	ql_router_remove_endpoint(&node->router, service, gate);
	record_endpoint_event(node, QL_EVENT_ENDPOINT_GONE, service, gate);
}

static void on_config_changed(void *data, ql_document_t *doc)
{
	ql_node_t *node = data;

	ql_context_set_document(&node->context, doc);
	ql_gate_service_reconfigure(&node->gate_service);
	ql_counter_increment(&node->context.counters, QL_COUNT_CONFIG_CHANGES);
	record_event(node, QL_EVENT_CONFIG_IN_FORCE, doc->version);
}

static void on_config_confirmed(void *data)
{
	ql_node_t *node = data;

	ql_context_set_config_confirmed(&node->context);
	ql_log(LOG_NOTICE, "domain_asked",
	       QL_STR("node", node->context.settings->node));
}

static const ql_member_ops_t member_ops = {
	.endpoint_up = on_endpoint_up,
	.endpoint_gone = on_endpoint_gone,
	.config_changed = on_config_changed,
	.config_confirmed = on_config_confirmed,
};

static json_t *report_status(ql_node_t *node)
{
	const ql_settings_t *settings = node->context.settings;
	ql_document_t *doc = ql_context_document(&node->context);
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:s, s:I, s:b, s:i}", "node",
			  settings->node, "cluster", settings->cluster,
			  "failure_domain", settings->failure_domain, "state",
			  state_name(node), "config_version",
			  (json_int_t)doc->version, "ready",
			  ql_context_is_ready(&node->context),
			  "calls_in_progress",
			  (int)ql_calls_count(&node->gate_service.calls));

	ql_document_unref(doc);
	return json;
}

static json_t *report(void *data, const char *topic, const char *filter)
{
	ql_node_t *node = data;

	if (!strcmp(topic, "status"))
		return report_status(node);
	if (!strcmp(topic, "counters"))
		return ql_counters_report(&node->context.counters);
	if (!strcmp(topic, "members"))
		return ql_registrar_service_report(&node->control.registrar);
	if (!strcmp(topic, "membership"))
		return ql_lease_service_report(&node->control.lease);
	if (!strcmp(topic, "timeline"))
		return ql_timeline_report(&node->context.timeline, filter);
	return NULL;
}

static void on_announcement_changed(void *data)
{
	ql_node_t *node = data;

	ql_lease_service_wake(&node->control.lease);
}

static void on_version_received(void *data, uint64_t version)
{
	ql_node_t *node = data;

	ql_lease_service_observe_version(&node->control.lease, version);
}

static void on_service_missing(void *data, const char *service)
{
	ql_node_t *node = data;

	ql_lease_service_follow_service(&node->control.lease, service);
}

static ql_document_t *get_document(void *data)
{
	return ql_context_document(data);
}

static void init_claims(ql_node_t *node)
{
	const ql_settings_t *settings = node->context.settings;
	ql_claim_service_opts_t opts = {
		.incarnation = (uint64_t)g_get_real_time(),
		.hlc = &node->context.hlc,
		.document = get_document,
		.data = &node->context,
		.keys_max = KEEPER_KEYS_MAX,
		.answers_max_bytes = KEEPER_ANSWERS_MAX_BYTES,
	};

	memcpy(opts.cluster, settings->cluster, sizeof(opts.cluster));
	memcpy(opts.node, settings->node, sizeof(opts.node));
	memcpy(opts.failure_domain, settings->failure_domain,
	       sizeof(opts.failure_domain));
	ql_claim_service_init(&node->claims, &opts);
}

static void init_data_path(ql_node_t *node)
{
	ql_context_t *context = &node->context;

	ql_http_client_init(&node->http_client);
	ql_router_init(&node->router, context, &node->http_client);
	init_claims(node);
	ql_gate_service_init(&node->gate_service, context, &node->gate_server,
			     &node->http_client, &node->claims);
	ql_client_service_init(&node->client_service, context,
			       &node->client_server, &node->router,
			       &node->claims);
	node->client_service.service_missing = on_service_missing;
	node->client_service.service_missing_data = node;
	node->local_service = (ql_local_service_t){
		.context = context,
		.server = &node->local_server,
		.router = &node->router,
		.gates = &node->gate_service,
		.report = report,
		.announcement_changed = on_announcement_changed,
		.data = node,
	};
}

static int start_server(ql_node_t *node, ql_http_server_t *server,
			uint64_t port, ql_http_handler_t handle, void *data,
			GError **error)
{
	ql_http_server_opts_t opts = {
		.address = node->context.settings->address,
		.port = (unsigned int)port,
		.connections =
			(unsigned int)node->context.settings->connections,
		.body_limit_bytes = BODY_LIMIT_BYTES,
		.handle = handle,
		.data = data,
	};

	return ql_http_server_start(server, &opts, error);
}

static int start_servers(ql_node_t *node, GError **error)
{
	int ret;

	ret = start_server(node, &node->gate_server,
			   node->context.settings->gate_port,
			   ql_gate_service_handle, &node->gate_service, error);
	if (!ret)
		ret = start_server(node, &node->local_server,
				   node->context.settings->local_port,
				   ql_local_service_handle,
				   &node->local_service, error);
	if (!ret)
		ret = start_server(node, &node->client_server,
				   node->context.settings->client_port,
				   ql_client_service_handle,
				   &node->client_service, error);
	return ret;
}

static void stop_servers(ql_node_t *node)
{
	ql_http_server_stop(&node->client_server);
	ql_http_server_stop(&node->local_server);
	ql_http_server_stop(&node->gate_server);
}

static void finish_data_path(ql_node_t *node)
{
	ql_client_service_finish(&node->client_service);
	ql_gate_service_finish(&node->gate_service);
	ql_claim_service_finish(&node->claims);
	ql_router_finish(&node->router);
	ql_http_client_finish(&node->http_client);
	ql_context_finish(&node->context);
	pthread_mutex_destroy(&node->state_lock);
}

static u_int describe_endpoints(void *data, ql_rpc_endpoint *out)
{
	ql_node_t *node = data;
	const ql_settings_t *settings = node->context.settings;
	char gate[QL_ADDRESS_MAX];

	ql_address_format(gate, settings->address,
			  (unsigned int)settings->gate_port);
	return ql_gate_service_describe_endpoints(&node->gate_service,
						  settings->node,
						  settings->failure_domain,
						  gate, out);
}

static int start_control(ql_node_t *node, GError **error)
{
	node->control.settings = node->context.settings;
	node->control.describe_endpoints = describe_endpoints;
	node->control.describe_endpoints_data = node;
	node->control.counters = &node->context.counters;
	node->control.hlc = &node->context.hlc;
	node->control.timeline = &node->context.timeline;
	node->control.report = report;
	node->control.report_data = node;
	node->control.claims = &node->claims;
	return ql_control_service_start(&node->control, &member_ops, node,
					error);
}

int ql_node_start(ql_node_t *node, const ql_settings_t *settings,
		  GError **error)
{
	int ret;

	memset(node, 0, sizeof(*node));
	ret = ql_context_init(&node->context, settings, error);
	if (ret)
		return ret;
	pthread_mutex_init(&node->state_lock, NULL);
	init_data_path(node);
	ret = start_control(node, error);
	if (!ret) {
		node->context.version_received_data = node;
		node->context.version_received = on_version_received;
		ret = start_servers(node, error);
		if (ret)
			ql_control_service_stop(&node->control);
	}
	if (ret) {
		stop_servers(node);
		finish_data_path(node);
		return ret;
	}
	record_event(node, QL_EVENT_NODE_STARTED, 0);
	return 0;
}

/* Returns true while a request is in flight on a listener. */
static bool is_busy(ql_node_t *node)
{
	return ql_http_server_in_flight(&node->gate_server) ||
	       ql_http_server_in_flight(&node->client_server) ||
	       ql_http_server_in_flight(&node->local_server);
}

void ql_node_drain(ql_node_t *node)
{
	uint64_t earliest_us = ql_clock_now_us() +
			       node->context.settings->drain_ms * QL_US_PER_MS;

	record_event(node, QL_EVENT_STOP_REQUESTED, 0);
	__atomic_store_n(&node->client_service.draining, 1, __ATOMIC_RELEASE);
	ql_gate_service_drain(&node->gate_service);
	ql_http_server_disable_keep_alive(&node->client_server);
	ql_http_server_disable_keep_alive(&node->gate_server);
	ql_lease_service_leave(&node->control.lease);
	while (ql_clock_now_us() < earliest_us || is_busy(node))
		g_usleep(DRAIN_POLL_INTERVAL_US);
	record_event(node, QL_EVENT_DRAIN_FINISHED, 0);
}

void ql_node_stop(ql_node_t *node)
{
	stop_servers(node);
	node->context.version_received = NULL;
	ql_control_service_stop(&node->control);
	record_event(node, QL_EVENT_NODE_STOPPED, 0);
	finish_data_path(node);
}
