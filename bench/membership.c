/*
 * Measures membership and configuration without a network: one registrar with
 * all endpoints of a fleet, the nodes of its failure domain, and the document.
 * Prints one JSON object.
 */

#include "control/exchange.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/json.h"
#include "quetzalloft/member.h"
#include "quetzalloft/registrar.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RENEWAL_INTERVAL_MS 500u
#define LEASE_DURATION_MS 3000u
#define RENEWAL_ROUNDS 40u
/* Few members follow patches, because each compiles the document. */
#define PATCH_FOLLOWERS 4u
#define PATCHES 200u
/* Ethernet, IP and TCP headers of a segment or of an acknowledgement. */
#define SEGMENT_BYTES 66u
/* Record mark and headers of an RPC call and of its reply. */
#define RPC_CALL_BYTES 44u
#define RPC_REPLY_BYTES 28u

/*
 * Numbers of nodes, services and failure domains of a fleet, and the number of
 * services that each service calls at most.
 */
typedef struct {
	uint32_t nodes;
	uint32_t services;
	uint32_t domains;
	uint32_t calls;
} fleet_opts_t;

/*
 * One registrar and the members of its failure domain. The bytes, messages,
 * endpoints_up and the times in microseconds are totals since reset_totals().
 */
typedef struct {
	fleet_opts_t opts;
	ql_config_state_t config;
	ql_registrar_t registrar;
	ql_member_t *members;
	uint32_t n_members;
	GRand *random;
	uint64_t now_ms;
	uint64_t request_bytes;
	uint64_t answer_bytes;
	uint64_t messages;
	uint64_t endpoints_up;
	uint64_t registrar_us;
	uint64_t member_us;
} fleet_t;

static void endpoint_up(void *data, const char *service G_GNUC_UNUSED,
			const ql_endpoint_info_t *info G_GNUC_UNUSED)
{
	fleet_t *fleet = data;

	fleet->endpoints_up++;
}

static void endpoint_gone(void *data G_GNUC_UNUSED,
			  const char *service G_GNUC_UNUSED,
			  const char *gate G_GNUC_UNUSED)
{
}

static void config_changed(void *data G_GNUC_UNUSED,
			   ql_document_t *doc G_GNUC_UNUSED)
{
}

static const ql_member_ops_t ops = {
	.endpoint_up = endpoint_up,
	.endpoint_gone = endpoint_gone,
	.config_changed = config_changed,
};

#define SERVICE_LAYERS 9u

/* Makes the first call go to the next layer, the others to the last one. */
static json_t *make_calls(const fleet_opts_t *opts, uint32_t service)
{
	json_t *calls = json_array();
	uint32_t layer_size = MAX(opts->services / SERVICE_LAYERS, 1);
	uint32_t last = MIN(opts->services / layer_size, SERVICE_LAYERS) - 1;
	uint32_t layer = MIN(service / layer_size, last);
	char name[QL_NAME_MAX];
	uint32_t i, n, callee;

	n = layer < last ? MIN(opts->calls, layer_size) : 0;
	for (i = 0; i < n; i++) {
		callee = (i ? last : layer + 1) * layer_size +
			 (service * 7 + i) % layer_size;
		g_snprintf(name, sizeof(name), "service-%u", callee);
		if (i != 1 || layer + 1 != last || n == 1)
			json_array_append_new(calls, json_string(name));
	}
	return calls;
}

static json_t *make_document(const fleet_opts_t *opts)
{
	json_t *services = json_object();
	json_t *routes = json_object();
	char name[QL_NAME_MAX], path[QL_PATH_MAX];
	uint32_t i;

	for (i = 0; i < opts->services; i++) {
		g_snprintf(name, sizeof(name), "service-%u", i);
		g_snprintf(path, sizeof(path), "/%s", name);
		json_object_set_new(services, name,
				    json_pack("{s:o}", "calls",
					      make_calls(opts, i)));
		json_object_set_new(routes, name,
				    json_pack("{s:s, s:s, s:s, s:s, s:b, s:i}",
					      "service", name, "method", "GET",
					      "path", path, "class", "lookup",
					      "idempotent", 1, "deadline_ms",
					      1000));
	}
	return json_pack("{s:s, s:i, s:{s:{s:i}}, s:o, s:o}", "site", "bench",
			 "attempts", 200, "classes", "lookup", "shed_order", 1,
			 "services", services, "routes", routes);
}

static void submit(ql_config_state_t *config, const char *text)
{
	ql_patch_t patch = {.base_version = config->doc->version,
			    .text = text,
			    .length = strlen(text)};
	ql_patch_answer_t answer;

	g_snprintf(patch.id, sizeof(patch.id), "p%u",
		   (unsigned int)config->doc->version);
	ql_config_state_apply(config, &patch, &answer);
	if (answer.status)
		g_error("patch refused: %s", answer.detail);
}

/* Fills in the endpoint of a node; nodes are assigned to services in turn. */
static void describe(const fleet_t *fleet, uint32_t node, ql_rpc_endpoint *out)
{
	char text[QL_NAME_MAX];

	g_snprintf(text, sizeof(text), "service-%u",
		   node / fleet->opts.domains % fleet->opts.services);
	out->service = strdup(text);
	g_snprintf(text, sizeof(text), "10.%u.%u.%u:8080", node >> 16 & 255,
		   node >> 8 & 255, node & 255);
	out->gate = strdup(text);
	g_snprintf(text, sizeof(text), "node-%u", node);
	out->node = strdup(text);
	g_snprintf(text, sizeof(text), "region-domain-%u",
		   node % fleet->opts.domains);
	out->failure_domain = strdup(text);
	out->placement = strdup("");
	out->incarnation = 1700000000000000ULL + node;
	out->slots = 60;
	out->connections = 450;
	out->epoch = 1;
}

/* Tracks the withdrawals of the endpoint of a node, as a node does. */
static void track_withdrawals(const fleet_t *fleet, uint32_t node,
			      ql_member_t *member)
{
	ql_rpc_endpoint endpoint = {0};

	describe(fleet, node, &endpoint);
	ql_member_track_withdrawals(member, endpoint.service, endpoint.gate);
	xdr_free((xdrproc_t)xdr_ql_rpc_endpoint, &endpoint);
}

static void init_fleet(fleet_t *fleet, const fleet_opts_t *opts)
{
	ql_registrar_opts_t registrar_opts = {
		.cluster = "bench",
		.failure_domain = "region-domain-0",
		.incarnation = 1,
		.lease_ms = LEASE_DURATION_MS,
	};
	json_t *json = make_document(opts);
	char *text = ql_json_dump(json);

	memset(fleet, 0, sizeof(*fleet));
	fleet->opts = *opts;
	fleet->now_ms = 1000000;
	registrar_opts.started_ms = fleet->now_ms - LEASE_DURATION_MS;
	fleet->random = g_rand_new_with_seed(1);
	ql_config_state_init(&fleet->config);
	submit(&fleet->config, text);
	free(text);
	json_decref(json);
	ql_registrar_init(&fleet->registrar, &registrar_opts, &fleet->config);
}

static void finish_fleet(fleet_t *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->n_members; i++)
		ql_member_finish(&fleet->members[i]);
	g_free(fleet->members);
	ql_registrar_finish(&fleet->registrar);
	ql_config_state_finish(&fleet->config);
	g_rand_free(fleet->random);
}

/* Adds the endpoints of the other failure domains as exchange replies do. */
static void add_remote_endpoints(fleet_t *fleet)
{
	ql_rpc_exchange_res res = {.detail = (char *)"",
				   .registrar_incarnation = 2};
	ql_rpc_domain domain = {.covered = TRUE};
	ql_rpc_endpoint endpoint;
	char name[QL_NAME_MAX];
	ql_exchange_t exchange;
	uint32_t i;

	ql_exchange_init(&exchange, &fleet->registrar, "r", 1, fleet->random);
	res.endpoints.endpoints_val = &endpoint;
	res.endpoints.endpoints_len = 1;
	res.domains.domains_val = &domain;
	res.domains.domains_len = 1;
	domain.name = name;
	for (i = 0; i < fleet->opts.nodes; i++) {
		if (i % fleet->opts.domains == 0)
			continue;
		memset(&endpoint, 0, sizeof(endpoint));
		describe(fleet, i, &endpoint);
		g_strlcpy(name, endpoint.failure_domain, sizeof(name));
		ql_exchange_handle_reply(&exchange, 0, &res, fleet->now_ms,
					 NULL);
		xdr_free((xdrproc_t)xdr_ql_rpc_endpoint, &endpoint);
	}
}

static void init_members(fleet_t *fleet)
{
	ql_member_opts_t opts = {
		.cluster = "bench",
		.failure_domain = "region-domain-0",
		.n_registrars = 1,
		.renew_ms = RENEWAL_INTERVAL_MS,
	};
	uint32_t i, node;

	fleet->n_members = (fleet->opts.nodes + fleet->opts.domains - 1) /
			   fleet->opts.domains;
	fleet->members = g_new0(ql_member_t, fleet->n_members);
	for (i = 0; i < fleet->n_members; i++) {
		node = i * fleet->opts.domains;
		g_snprintf(opts.node, sizeof(opts.node), "node-%u", node);
		opts.incarnation = 1700000000000000ULL + node;
		opts.started_ms = fleet->now_ms;
		ql_member_init(&fleet->members[i], &opts, &ops, fleet,
			       fleet->random);
		track_withdrawals(fleet, node, &fleet->members[i]);
	}
}

/* Renews the lease of one member and adds its time and bytes to the totals. */
static void renew(fleet_t *fleet, uint32_t index)
{
	ql_member_t *member = &fleet->members[index];
	ql_rpc_lease_args args = {0};
	ql_rpc_lease_res res = {0};
	uint64_t start_us, handler_start_us, reply_start_us;

	start_us = ql_clock_now_us();
	args.endpoints.endpoints_val = calloc(1, sizeof(ql_rpc_endpoint));
	args.endpoints.endpoints_len = 1;
	describe(fleet, index * fleet->opts.domains,
		 args.endpoints.endpoints_val);
	ql_member_fill_lease(member, 0, &args);
	fleet->member_us += ql_clock_now_us() - start_us;
	fleet->request_bytes +=
		xdr_sizeof((xdrproc_t)xdr_ql_rpc_lease_args, &args) +
		RPC_CALL_BYTES;
	handler_start_us = ql_clock_now_us();
	ql_registrar_handle_lease(&fleet->registrar, &args, &res,
				  fleet->now_ms);
	fleet->registrar_us += ql_clock_now_us() - handler_start_us;
	fleet->answer_bytes +=
		xdr_sizeof((xdrproc_t)xdr_ql_rpc_lease_res, &res) +
		RPC_REPLY_BYTES;
	reply_start_us = ql_clock_now_us();
	if (ql_member_handle_lease_reply(member, 0, &res, fleet->now_ms, NULL))
		g_error("renewal refused: %d %s", res.status, res.detail);
	fleet->member_us += ql_clock_now_us() - reply_start_us;
	fleet->messages++;
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &args);
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &res);
}

static void run_renewal_rounds(fleet_t *fleet, uint32_t rounds)
{
	uint32_t i;

	while (rounds--) {
		for (i = 0; i < fleet->n_members; i++)
			renew(fleet, i);
		fleet->now_ms += RENEWAL_INTERVAL_MS;
		ql_registrar_tick(&fleet->registrar, fleet->now_ms);
	}
}

static void reset_totals(fleet_t *fleet)
{
	fleet->request_bytes = 0;
	fleet->answer_bytes = 0;
	fleet->messages = 0;
	fleet->endpoints_up = 0;
	fleet->registrar_us = 0;
	fleet->member_us = 0;
}

static uint64_t allocated_bytes(void)
{
	return mallinfo2().uordblks + mallinfo2().hblkhd;
}

static json_t *report_renewals(const fleet_t *fleet)
{
	double n = (double)fleet->messages;

	return json_pack("{s:f, s:f, s:f, s:f, s:f}", "request_bytes",
			 (double)fleet->request_bytes / n, "answer_bytes",
			 (double)fleet->answer_bytes / n, "wire_bytes",
			 (double)(fleet->request_bytes + fleet->answer_bytes) /
					 n +
				 3 * SEGMENT_BYTES,
			 "registrar_us", (double)fleet->registrar_us / n,
			 "member_us", (double)fleet->member_us / n);
}

/* Raises the epoch of n_endpoints endpoints of another failure domain. */
static void restart_remote_endpoints(fleet_t *fleet, uint32_t n_endpoints)
{
	ql_exchange_t exchange;
	ql_rpc_endpoint endpoint;
	ql_rpc_exchange_res res = {.detail = (char *)"",
				   .registrar_incarnation = 2};
	uint32_t i;

	ql_exchange_init(&exchange, &fleet->registrar, "r", 1, fleet->random);
	res.endpoints.endpoints_val = &endpoint;
	res.endpoints.endpoints_len = 1;
	for (i = 0; i < n_endpoints; i++) {
		memset(&endpoint, 0, sizeof(endpoint));
		describe(fleet, i * fleet->opts.domains + 1, &endpoint);
		endpoint.epoch = 2;
		ql_exchange_handle_reply(&exchange, 0, &res, fleet->now_ms,
					 NULL);
		xdr_free((xdrproc_t)xdr_ql_rpc_endpoint, &endpoint);
	}
}

static json_t *measure_fleet(const fleet_opts_t *opts)
{
	json_t *out = json_pack("{s:i, s:i, s:i, s:i}", "nodes", opts->nodes,
				"services", opts->services, "domains",
				opts->domains, "calls", opts->calls);
	uint64_t before = allocated_bytes(), after;
	uint32_t changes = MAX(opts->nodes / opts->domains / 10, 1);
	fleet_t fleet;
	uint32_t i, j;

	init_fleet(&fleet, opts);
	add_remote_endpoints(&fleet);
	after = allocated_bytes();
	json_object_set_new(out, "registrar_bytes",
			    json_integer((json_int_t)(after - before)));
	init_members(&fleet);
	before = allocated_bytes();
	run_renewal_rounds(&fleet, 3);
	after = allocated_bytes();
	json_object_set_new(out, "first_renewals", report_renewals(&fleet));
	json_object_set_new(out, "bytes_per_node",
			    json_integer((json_int_t)((after - before) /
						      fleet.n_members)));
	json_object_set_new(out, "endpoints_per_node",
			    json_integer((json_int_t)(fleet.endpoints_up /
						      fleet.n_members)));
	reset_totals(&fleet);
	run_renewal_rounds(&fleet, RENEWAL_ROUNDS);
	json_object_set_new(out, "quiet_renewals", report_renewals(&fleet));
	reset_totals(&fleet);
	restart_remote_endpoints(&fleet, changes);
	run_renewal_rounds(&fleet, 1);
	json_object_set_new(out, "restarts", json_integer(changes));
	json_object_set_new(out, "renewals_after_restarts",
			    report_renewals(&fleet));
	reset_totals(&fleet);
	for (i = 0; i < RENEWAL_ROUNDS / 4; i++) {
		char text[32];

		g_snprintf(text, sizeof(text), "{\"attempts\":%u}", 201 + i);
		submit(&fleet.config, text);
		for (j = 0; j < MIN(PATCH_FOLLOWERS, fleet.n_members); j++)
			renew(&fleet, j);
	}
	json_object_set_new(out, "renewals_with_patch",
			    report_renewals(&fleet));
	finish_fleet(&fleet);
	return out;
}

/* Measures applying a patch to a document with that many services. */
static json_t *measure_patch_following(uint32_t services)
{
	fleet_opts_t opts = {.services = services, .calls = 3};
	json_t *json = make_document(&opts);
	char *text = ql_json_dump(json);
	ql_config_state_t leader, follower;
	size_t length = strlen(text);
	uint64_t start_us, apply_us = 0, before;
	uint32_t i;

	ql_config_state_init(&leader);
	submit(&leader, text);
	before = allocated_bytes();
	ql_config_state_init(&follower);
	ql_config_state_replace_document(&follower, 1, text, length, NULL);
	before = allocated_bytes() - before;
	for (i = 0; i < PATCHES; i++) {
		char patch[96];

		g_snprintf(patch, sizeof(patch),
			   "{\"services\":{\"service-%u\":{\"queue_ms\":%u}}}",
			   i % services, 10 + i);
		submit(&leader, patch);
		start_us = ql_clock_now_us();
		if (ql_config_state_apply_changes(
			    &follower, g_queue_peek_tail(&leader.changes), 1,
			    NULL))
			g_error("the change does not apply");
		apply_us += ql_clock_now_us() - start_us;
	}
	ql_config_state_finish(&leader);
	ql_config_state_finish(&follower);
	free(text);
	json_decref(json);
	return json_pack("{s:i, s:i, s:f, s:i}", "services", services,
			 "document_bytes", (int)length, "follow_us",
			 (double)apply_us / PATCHES, "memory_bytes",
			 (int)before);
}

static json_t *measure_all(void)
{
	static const fleet_opts_t fleets[] = {
		{25, 4, 3, 3},	      {100, 8, 4, 3},	   {1000, 50, 8, 3},
		{4500, 212, 24, 3},   {9000, 425, 24, 3},  {18000, 850, 24, 3},
		{18000, 850, 24, 10}, {18000, 100, 24, 3},
	};
	static const uint32_t sizes[] = {4, 100, 850};
	json_t *measured = json_array(), *follow = json_array();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++)
		json_array_append_new(measured, measure_fleet(&fleets[i]));
	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		json_array_append_new(follow,
				      measure_patch_following(sizes[i]));
	return json_pack("{s:o, s:o}", "fleets", measured, "follow", follow);
}

int main(void)
{
	json_t *json = measure_all();

	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_REAL_PRECISION(5));
	putchar('\n');
	json_decref(json);
	return 0;
}
