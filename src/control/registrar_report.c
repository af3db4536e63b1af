#include "control/registrar_leases.h"

#include <string.h>

static const char *const state_names[] = {
	[QL_RPC_ENDPOINT_SERVING] = "serving",
	[QL_RPC_ENDPOINT_LEAVING] = "leaving",
	[QL_RPC_ENDPOINT_GONE] = "gone",
};

static json_t *report_record(const ql_record_t *record)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I}", "service",
			 record->set->name, "gate", record->gate, "node",
			 record->node, "failure_domain", record->failure_domain,
			 "state", state_names[record->version.state], "slots",
			 (int)record->slots, "connections",
			 (int)record->connections, "incarnation",
			 (json_int_t)record->version.incarnation);
}

static json_t *report_node(const ql_registrar_t *registrar,
			   const ql_node_lease_t *lease, uint64_t now_ms)
{
	json_t *endpoints = json_array();
	const ql_record_t *record;
	guint i;

	for (i = 0; i < lease->records->len; i++) {
		record = ql_table_get(&registrar->records,
				      g_array_index(lease->records, ql_handle_t,
						    i));
		if (record && record->version.state != QL_RPC_ENDPOINT_GONE)
			json_array_append_new(endpoints, report_record(record));
	}
	return json_pack("{s:s, s:s, s:I, s:b, s:I, s:I, s:o}", "node",
			 lease->name, "failure_domain",
			 registrar->opts.failure_domain, "lease_age_ms",
			 (json_int_t)(now_ms - lease->renewed_ms),
			 "renewed_here", !lease->from_peer, "config_version",
			 (json_int_t)lease->config_version, "incarnation",
			 (json_int_t)lease->incarnation, "endpoints",
			 endpoints);
}

static json_t *report_nodes(const ql_registrar_t *registrar, uint64_t now_ms)
{
	json_t *nodes = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrar->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(nodes,
				      report_node(registrar, value, now_ms));
	return nodes;
}

static json_t *report_domains(const ql_registrar_t *registrar, uint64_t now_ms)
{
	json_t *domains = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrar->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ql_domain_entry_t *entry = value;
		uint64_t age_ms = now_ms - MIN(entry->confirmed_ms, now_ms);

		json_array_append_new(domains,
				      json_pack("{s:s, s:I, s:b, s:b}",
						"failure_domain", entry->name,
						"age_ms", (json_int_t)age_ms,
						"covered", entry->covered,
						"stale", entry->stale));
	}
	return domains;
}

/* Endpoints of the other failure domains. */
static json_t *report_remote(const ql_registrar_t *registrar)
{
	json_t *endpoints = json_array();
	uint32_t cursor = 0;
	ql_handle_t handle;
	const ql_record_t *record;

	while ((record = ql_table_next(&registrar->records, &cursor, &handle)))
		if (record->version.state != QL_RPC_ENDPOINT_GONE &&
		    strcmp(record->failure_domain,
			   registrar->opts.failure_domain) != 0)
			json_array_append_new(endpoints, report_record(record));
	return endpoints;
}

static json_t *report_counts(const ql_registrar_counts_t *counts)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}",
			 "renewals", (json_int_t)counts->renewals, "denied",
			 (json_int_t)counts->denied, "malformed",
			 (json_int_t)counts->malformed, "expired",
			 (json_int_t)counts->expired, "refuted",
			 (json_int_t)counts->refuted, "whole_lists",
			 (json_int_t)counts->whole_lists, "records_sent",
			 (json_int_t)counts->records_sent, "records_full",
			 (json_int_t)counts->records_full, "diverged",
			 (json_int_t)counts->diverged);
}

json_t *ql_registrar_report(const ql_registrar_t *registrar, uint64_t now_ms)
{
	return json_pack("{s:s, s:b, s:I, s:I, s:o, s:o, s:o, s:o}",
			 "failure_domain", registrar->opts.failure_domain,
			 "ready", ql_registrar_is_ready(registrar, now_ms),
			 "config_version",
			 (json_int_t)registrar->config->doc->version, "number",
			 (json_int_t)registrar->change_number, "nodes",
			 report_nodes(registrar, now_ms), "domains",
			 report_domains(registrar, now_ms), "remote_endpoints",
			 report_remote(registrar), "counts",
			 report_counts(&registrar->counts));
}
