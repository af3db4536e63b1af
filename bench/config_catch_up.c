/*
 * Measures what a node that lags behind the configuration costs: the bytes of
 * the reply and the processor time to apply it, by the size of the document and
 * the number of versions missed. Each version is put as a whole document, of
 * which one route differs. Prints one JSON object.
 */

#include "control/greeting.h"
#include "quetzalloft/config_state.h"
#include "quetzalloft/json.h"

#include "control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static const unsigned int route_counts[] = {10, 18, 115, 180, 1060, 1608};
static const uint64_t versions_missed[] = {1, 17, 128};

/* Makes a document with its origin, as the operators of a site have put it. */
static json_t *make_document(unsigned int n_routes, uint64_t version)
{
	json_t *routes = json_object(), *resources = json_array();
	json_int_t deadline_ms;
	char name[32], path[32];
	unsigned int i;

	for (i = 0; i < n_routes; i++) {
		deadline_ms = i ? 1000 : 1000 + (json_int_t)version;
		g_snprintf(name, sizeof(name), "route-%u", i);
		g_snprintf(path, sizeof(path), "/p%u/", i);
		json_object_set_new(routes, name,
				    json_pack("{s:s, s:s, s:s, s:b, s:I}",
					      "service", "a", "path", path,
					      "class", "c", "idempotent", 1,
					      "deadline_ms", deadline_ms));
		json_array_append_new(
			resources,
			json_pack("{s:s, s:{s:s}, s:{s:s, s:s, s:s, s:I, s:s, "
				  "s:i, s:s, s:i}}",
				  "type", "route", "metadata", "name", name,
				  "spec", "host", "shop.example", "prefix",
				  path, "kind", "idempotent", "timeout",
				  deadline_ms, "aim", "500ms", "priority", 1,
				  "service", "a", "attempts", 2));
	}
	return json_pack("{s:s, s:i, s:{s:{s:i}}, s:{s:{}}, s:o, s:{s:o}}",
			 "site", "bench", "attempts", 3, "classes", "c",
			 "shed_order", 1, "services", "a", "routes", routes,
			 "origin", "resources", resources);
}

/* Reads the processor time of the process. */
static uint64_t processor_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (uint64_t)time.tv_sec * 1000000 + (uint64_t)time.tv_nsec / 1000;
}

static size_t put(ql_config_state_t *state, unsigned int n_routes)
{
	uint64_t base = state->doc->version;
	json_t *json = make_document(n_routes, base + 1);
	char *text = ql_json_dump(json);
	ql_patch_t patch = {
		.base_version = base,
		.whole = true,
		.text = text,
		.length = strlen(text),
	};
	ql_patch_answer_t answer;

	g_snprintf(patch.id, sizeof(patch.id), "put-%" G_GUINT64_FORMAT, base);
	ql_config_state_apply(state, &patch, &answer);
	if (answer.status)
		g_error("put refused: %s", answer.detail);
	json_decref(json);
	free(text);
	return patch.length;
}

static json_t *measure(unsigned int n_routes, uint64_t missed)
{
	ql_config_state_t leader, node;
	ql_rpc_document_res res = {0};
	ql_config_reply_t reply = {&res.whole_document,
				   &res.document.document_len,
				   &res.document.document_val,
				   &res.changes.changes_len,
				   &res.changes.changes_val};
	GError *error = NULL;
	uint64_t start_us, apply_us, i;
	size_t document_bytes = 0, reply_bytes;
	char *text;

	ql_config_state_init(&leader);
	ql_config_state_init(&node);
	put(&leader, n_routes);
	text = ql_json_dump(leader.doc->json);
	if (ql_config_state_replace_document(&node, 1, text, strlen(text),
					     &error))
		g_error("document refused: %s", error->message);
	free(text);
	for (i = 0; i < missed; i++)
		document_bytes = put(&leader, n_routes);
	ql_config_reply_fill(&reply, &leader, 1);
	res.detail = strdup("");
	reply_bytes = xdr_sizeof((xdrproc_t)xdr_ql_rpc_document_res, &res);
	start_us = processor_us();
	if (ql_config_reply_apply(&node, &reply, leader.doc->version, &error))
		g_error("reply not applied: %s", error->message);
	apply_us = processor_us() - start_us;
	g_assert(node.doc->digest == leader.doc->digest);
	xdr_free((xdrproc_t)xdr_ql_rpc_document_res, &res);
	ql_config_state_finish(&node);
	ql_config_state_finish(&leader);
	return json_pack("{s:I, s:I, s:I, s:I}", "document_bytes",
			 (json_int_t)document_bytes, "versions_missed",
			 (json_int_t)missed, "reply_bytes",
			 (json_int_t)reply_bytes, "apply_us",
			 (json_int_t)apply_us);
}

int main(void)
{
	json_t *rows = json_array();
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(route_counts); i++)
		for (j = 0; j < G_N_ELEMENTS(versions_missed); j++)
			json_array_append_new(rows,
					      measure(route_counts[i],
						      versions_missed[j]));
	json_dumpf(rows, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(rows);
	return 0;
}
