#include "node/core_node.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

static json_t *report(void *data, const char *topic, const char *filter)
{
	ql_core_node_t *node = data;
	const ql_settings_t *settings = node->context.settings;

	if (!strcmp(topic, "status"))
		return json_pack("{s:s, s:s, s:s}", "node", settings->node,
				 "cluster", settings->cluster, "failure_domain",
				 settings->placement);
	if (!strcmp(topic, "counters"))
		return ql_counters_report(&node->context.counters);
	if (!strcmp(topic, "members"))
		return ql_registrar_service_report(&node->control.registrar);
	if (!strcmp(topic, "timeline"))
		return ql_timeline_report(&node->context.timeline, filter);
	return NULL;
}

static int start_control(ql_core_node_t *node, GError **error)
{
	node->control.settings = node->context.settings;
	node->control.counters = &node->context.counters;
	node->control.hlc = &node->context.hlc;
	node->control.timeline = &node->context.timeline;
	node->control.report = report;
	node->control.report_data = node;
	return ql_control_service_start(&node->control, NULL, NULL, error);
}

int ql_core_node_start(ql_core_node_t *node, const ql_settings_t *settings,
		       const ql_dialect_t *dialect, GError **error)
{
	int ret = ql_context_init(&node->context, settings, error);

	if (!ret)
		ret = start_control(node, error);
	if (ret)
		return ret;
	node->supervisor.replica = &node->control.replica;
	node->supervisor.registrar = &node->control.registrar;
	ql_replica_supervisor_start(&node->supervisor);
	node->operator_http.settings = settings;
	node->operator_http.dialect = dialect;
	node->operator_http.replica = &node->control.replica;
	ret = ql_operator_http_start(&node->operator_http, error);
	if (!ret)
		ret = ql_metrics_http_start(&node->metrics, settings,
					    &node->context.counters, error);
	if (!ret)
		ql_log(LOG_NOTICE, "core_started",
		       QL_STR("node", settings->node),
		       QL_INT("bootstrap", settings->bootstrap));
	return ret;
}

void ql_core_node_reload(ql_core_node_t *node, const ql_settings_t *settings)
{
	size_t i;

	for (i = 0; i < settings->n_seeds; i++)
		ql_replica_supervisor_add_address(&node->supervisor,
						  settings->seeds[i]);
}

void ql_core_node_stop(ql_core_node_t *node)
{
	ql_metrics_http_stop(&node->metrics);
	ql_operator_http_stop(&node->operator_http);
	ql_log(LOG_INFO, "part_stopped", QL_STR("part", "http"));
	ql_replica_supervisor_stop(&node->supervisor);
	ql_log(LOG_INFO, "part_stopped", QL_STR("part", "steward"));
	ql_control_service_stop(&node->control);
	ql_log(LOG_NOTICE, "core_stopped",
	       QL_STR("node", node->context.settings->node));
	ql_context_finish(&node->context);
}
