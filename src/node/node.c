#include "node/node.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

#define BODY_LIMIT_BYTES (256u << 20)
#define DRAIN_POLL_US (10 * QL_US_PER_MS)

static ql_document_t *node_document(void *data)
{
	ql_node_t *node = data;
	ql_document_t *doc;

	pthread_mutex_lock(&node->doc_lock);
	doc = ql_document_ref(node->doc);
	pthread_mutex_unlock(&node->doc_lock);
	return doc;
}

static bool node_is_ready(void *data)
{
	ql_node_t *node = data;

	return __atomic_load_n(&node->asked, __ATOMIC_ACQUIRE) &&
	       __atomic_load_n(&node->configured, __ATOMIC_ACQUIRE);
}

static void endpoint_up(void *data, const char *service,
			const ql_target_info_t *info)
{
	ql_node_t *node = data;

	ql_router_endpoint_up(&node->router, service, info);
}

static void endpoint_gone(void *data, const char *service, const char *gate)
{
	ql_node_t *node = data;

	ql_log(LOG_INFO, "endpoint_gone", QL_STR("service", service),
	       QL_STR("gate", gate));
	ql_router_endpoint_gone(&node->router, service, gate);
}

static void config_changed(void *data, ql_document_t *doc)
{
	ql_node_t *node = data;
	ql_document_t *old;

	pthread_mutex_lock(&node->doc_lock);
	old = node->doc;
	node->doc = ql_document_ref(doc);
	pthread_mutex_unlock(&node->doc_lock);
	ql_document_unref(old);
	ql_count(&node->counters, QL_COUNT_CONFIG_CHANGES);
	__atomic_store_n(&node->configured, 1, __ATOMIC_RELEASE);
	ql_log(LOG_NOTICE, "config_in_force", QL_UINT("version", doc->version));
}

static void asked(void *data)
{
	ql_node_t *node = data;

	__atomic_store_n(&node->asked, 1, __ATOMIC_RELEASE);
	ql_log(LOG_NOTICE, "domain_asked",
	       QL_STR("node", node->settings->node));
}

static const ql_member_ops_t member_ops = {
	.endpoint_up = endpoint_up,
	.endpoint_gone = endpoint_gone,
	.config_changed = config_changed,
	.asked = asked,
};

static json_t *report_status(ql_node_t *node)
{
	ql_document_t *doc = node_document(node);
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:I, s:b, s:i}", "node",
			  node->settings->node, "cluster",
			  node->settings->cluster, "failure_domain",
			  node->settings->failure_domain, "config_version",
			  (json_int_t)doc->version, "ready",
			  node_is_ready(node), "calls_in_progress",
			  (int)ql_calls_count(&node->gates.calls));

	ql_document_unref(doc);
	return json;
}

static json_t *report(void *data, const char *topic,
		      const char *filter G_GNUC_UNUSED)
{
	ql_node_t *node = data;

	if (!strcmp(topic, "status"))
		return report_status(node);
	if (!strcmp(topic, "counters"))
		return ql_counters_report(&node->counters);
	if (!strcmp(topic, "members"))
		return ql_registrar_service_report(&node->control.registrar);
	if (!strcmp(topic, "membership"))
		return ql_lease_service_report(&node->control.lease);
	return NULL;
}

static void announced(void *data)
{
	ql_node_t *node = data;

	ql_lease_service_wake(&node->control.lease);
}

static void init_data_path(ql_node_t *node)
{
	const ql_settings_t *settings = node->settings;
	ql_gate_service_opts_t gate_opts = {
		.server = &node->gate_server,
		.client = &node->client,
		.counters = &node->counters,
		.hlc = &node->hlc,
		.limiter = settings->limiter,
		.queue_max = (uint32_t)settings->queue,
		.document = node_document,
		.is_ready = node_is_ready,
		.data = node,
	};

	ql_hlc_init(&node->hlc);
	ql_http_client_init(&node->client);
	node->router.client = &node->client;
	node->router.counters = &node->counters;
	node->router.hlc = &node->hlc;
	ql_router_init(&node->router,
		       strcmp(settings->balancer, "random") != 0
			       ? &ql_balancer_two_choices
			       : &ql_balancer_random,
		       settings->failure_domain);
	ql_gate_service_init(&node->gates, &gate_opts);
	node->clients = (ql_client_service_t){
		.server = &node->client_server,
		.router = &node->router,
		.counters = &node->counters,
		.document = node_document,
		.is_ready = node_is_ready,
		.data = node,
	};
	node->locals = (ql_local_service_t){
		.server = &node->local_server,
		.address = settings->address,
		.router = &node->router,
		.gates = &node->gates,
		.counters = &node->counters,
		.document = node_document,
		.report = report,
		.announced = announced,
		.data = node,
	};
}

static int start_server(ql_node_t *node, ql_http_server_t *server,
			uint64_t port, ql_http_handler_t handle, void *data,
			GError **error)
{
	ql_http_server_opts_t opts = {
		.address = node->settings->address,
		.port = (unsigned int)port,
		.connections = (unsigned int)node->settings->connections,
		.body_limit_bytes = BODY_LIMIT_BYTES,
		.handle = handle,
		.data = data,
	};

	return ql_http_server_start(server, &opts, error);
}

static int start_servers(ql_node_t *node, GError **error)
{
	int ret;

	ret = start_server(node, &node->gate_server, node->settings->gate_port,
			   ql_gate_service_handle, &node->gates, error);
	if (!ret)
		ret = start_server(node, &node->local_server,
				   node->settings->local_port,
				   ql_local_service_handle, &node->locals,
				   error);
	if (!ret)
		ret = start_server(node, &node->client_server,
				   node->settings->client_port,
				   ql_client_service_handle, &node->clients,
				   error);
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
	ql_gate_service_finish(&node->gates);
	ql_router_finish(&node->router);
	ql_http_client_finish(&node->client);
	ql_document_unref(node->doc);
	pthread_mutex_destroy(&node->doc_lock);
}

static ql_document_t *empty_document(void)
{
	json_t *json = json_object();
	ql_document_t *doc = NULL;

	if (ql_document_compile(&doc, json, 0, NULL))
		g_assert_not_reached();
	json_decref(json);
	return doc;
}

int ql_node_start(ql_node_t *node, const ql_settings_t *settings,
		  GError **error)
{
	int ret;

	memset(node, 0, sizeof(*node));
	node->settings = settings;
	pthread_mutex_init(&node->doc_lock, NULL);
	node->doc = empty_document();
	init_data_path(node);
	ret = start_servers(node, error);
	if (!ret) {
		node->control.settings = settings;
		node->control.gates = &node->gates;
		node->control.counters = &node->counters;
		node->control.hlc = &node->hlc;
		node->control.report = report;
		node->control.data = node;
		ret = ql_control_service_start(&node->control, &member_ops,
					       node, error);
	}
	if (ret) {
		stop_servers(node);
		finish_data_path(node);
		return ret;
	}
	ql_log(LOG_NOTICE, "node_started", QL_STR("node", settings->node),
	       QL_STR("failure_domain", settings->failure_domain));
	return 0;
}

static bool is_busy(ql_node_t *node)
{
	return ql_calls_count(&node->gates.calls) ||
	       __atomic_load_n(&node->clients.in_progress, __ATOMIC_ACQUIRE);
}

void ql_node_drain(ql_node_t *node)
{
	uint64_t earliest_us =
		ql_clock_now_us() + node->settings->drain_ms * QL_US_PER_MS;

	ql_log(LOG_NOTICE, "drain_started",
	       QL_STR("node", node->settings->node));
	__atomic_store_n(&node->clients.draining, 1, __ATOMIC_RELEASE);
	ql_gate_service_drain(&node->gates);
	ql_http_server_begin_close(&node->client_server);
	ql_http_server_begin_close(&node->gate_server);
	ql_lease_service_leave(&node->control.lease);
	while (ql_clock_now_us() < earliest_us || is_busy(node))
		g_usleep(DRAIN_POLL_US);
	ql_log(LOG_NOTICE, "drain_finished",
	       QL_STR("node", node->settings->node));
}

void ql_node_stop(ql_node_t *node)
{
	stop_servers(node);
	ql_control_service_stop(&node->control);
	finish_data_path(node);
	ql_log(LOG_NOTICE, "node_stopped",
	       QL_STR("node", node->settings->node));
}
