#include "cli/members.h"

#include <stdbool.h>

const char *const ql_members_endpoint_titles[] = {
	"FAILURE DOMAIN", "NODE",    "VERSION",
	"LEASE AGE (MS)", "SERVICE", "GATE",
	"STATE",	  "SLOTS",   NULL,
};

const char *const ql_members_version_titles[] = {
	"FAILURE DOMAIN", "NODE", "VERSION", "BEHIND", "LEASE AGE (MS)", NULL,
};

void ql_members_init(ql_members_t *members)
{
	members->nodes = json_object();
	members->domains = json_object();
}

void ql_members_finish(ql_members_t *members)
{
	json_decref(members->nodes);
	json_decref(members->domains);
}

static json_int_t integer_member(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const char *string_member(const json_t *object, const char *key)
{
	return json_string_value(json_object_get(object, key));
}

/* Stores an item unless the stored one of that name is as young or younger. */
static void merge_youngest(json_t *items, const char *name, json_t *item,
			   const char *age_key)
{
	const json_t *stored;

	if (!name)
		return;
	stored = json_object_get(items, name);
	if (!stored ||
	    integer_member(item, age_key) < integer_member(stored, age_key))
		json_object_set(items, name, item);
}

void ql_members_merge_report(ql_members_t *members, json_t *report)
{
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(report, "nodes"), i, item) {
		merge_youngest(members->nodes, string_member(item, "node"),
			       item, "lease_age_ms");
	}
	json_array_foreach (json_object_get(report, "domains"), i, item) {
		merge_youngest(members->domains,
			       string_member(item, "failure_domain"), item,
			       "age_ms");
	}
}

static gint compare_domain_and_name(gconstpointer a, gconstpointer b)
{
	const json_t *x = *(json_t *const *)a;
	const json_t *y = *(json_t *const *)b;
	int order = g_strcmp0(string_member(x, "failure_domain"),
			      string_member(y, "failure_domain"));

	return order ? order
		     : g_strcmp0(string_member(x, "node"),
				 string_member(y, "node"));
}

/* Returns the nodes, borrowed, sorted by failure domain and name. */
static GPtrArray *sorted_nodes(const ql_members_t *members)
{
	GPtrArray *nodes = g_ptr_array_new();
	const char *name;
	json_t *node;

	json_object_foreach (members->nodes, name, node) {
		g_ptr_array_add(nodes, node);
	}
	g_ptr_array_sort(nodes, compare_domain_and_name);
	return nodes;
}

static void add_node_cells(ql_text_table_t *table, const json_t *node)
{
	ql_text_table_add_member(table, node, "failure_domain");
	ql_text_table_add_member(table, node, "node");
	ql_text_table_add_member(table, node, "config_version");
}

static void add_endpoint_row(ql_text_table_t *table, const json_t *node,
			     const json_t *endpoint)
{
	add_node_cells(table, node);
	ql_text_table_add_member(table, node, "lease_age_ms");
	ql_text_table_add_member(table, endpoint, "service");
	ql_text_table_add_member(table, endpoint, "gate");
	ql_text_table_add_member(table, endpoint, "state");
	ql_text_table_add_member(table, endpoint, "slots");
}

static void add_node_rows(ql_text_table_t *table, const json_t *node)
{
	const json_t *endpoints = json_object_get(node, "endpoints");
	json_t *endpoint;
	size_t i;

	if (!json_array_size(endpoints))
		add_endpoint_row(table, node, NULL);
	json_array_foreach (endpoints, i, endpoint) {
		add_endpoint_row(table, node, endpoint);
	}
}

void ql_members_add_endpoint_rows(const ql_members_t *members,
				  ql_text_table_t *table)
{
	GPtrArray *nodes = sorted_nodes(members);
	guint i;

	for (i = 0; i < nodes->len; i++)
		add_node_rows(table, g_ptr_array_index(nodes, i));
	g_ptr_array_free(nodes, TRUE);
}

size_t ql_members_add_version_rows(const ql_members_t *members,
				   json_int_t version, bool all,
				   ql_text_table_t *table)
{
	GPtrArray *nodes = sorted_nodes(members);
	const json_t *node;
	json_int_t behind;
	size_t n_behind = 0;
	guint i;

	for (i = 0; i < nodes->len; i++) {
		node = g_ptr_array_index(nodes, i);
		behind = version - integer_member(node, "config_version");
		if (behind)
			n_behind++;
		else if (!all)
			continue;
		add_node_cells(table, node);
		ql_text_table_add_number(table, behind);
		ql_text_table_add_member(table, node, "lease_age_ms");
	}
	g_ptr_array_free(nodes, TRUE);
	return n_behind;
}

json_int_t ql_members_newest_version(const ql_members_t *members)
{
	json_int_t newest = 0;
	const char *name;
	json_t *node;

	json_object_foreach (members->nodes, name, node) {
		newest = MAX(newest, integer_member(node, "config_version"));
	}
	return newest;
}
