#include "quetzalloft/registrar.h"
#include "control/greeting.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

#define MEMBERS_MAX 65536u

typedef struct {
	char service[QL_NAME_MAX];
	char gate[QL_ADDRESS_MAX];
	char node[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	uint64_t incarnation;
	uint32_t slots;
	uint32_t connections;
	uint64_t expires_ms;
} member_row_t;

void ql_registrar_init(ql_registrar_t *registrar,
		       const ql_registrar_opts_t *opts,
		       ql_config_state_t *config)
{
	memset(registrar, 0, sizeof(*registrar));
	registrar->opts = *opts;
	registrar->config = config;
	ql_table_init(&registrar->members, sizeof(member_row_t), MEMBERS_MAX);
}

void ql_registrar_finish(ql_registrar_t *registrar)
{
	ql_table_finish(&registrar->members);
}

static member_row_t *find_member(const ql_registrar_t *registrar,
				 const char *gate, ql_handle_t *handle)
{
	uint32_t cursor = 0;
	member_row_t *row;

	while ((row = ql_table_next(&registrar->members, &cursor, handle)))
		if (!strcmp(row->gate, gate))
			return row;
	return NULL;
}

static void remove_member(ql_registrar_t *registrar, ql_handle_t handle)
{
	ql_table_remove(&registrar->members, handle);
	registrar->members_version++;
}

static void renew(ql_registrar_t *registrar, const ql_rpc_endpoint *endpoint,
		  uint64_t now_ms)
{
	ql_handle_t handle;
	member_row_t *row = find_member(registrar, endpoint->gate, &handle);
	void *fresh;

	if (endpoint->state != QL_RPC_ENDPOINT_SERVING) {
		if (row)
			remove_member(registrar, handle);
		return;
	}
	if (!row || row->incarnation != endpoint->incarnation)
		registrar->members_version++;
	if (!row) {
		handle = ql_table_insert(&registrar->members, &fresh);
		if (handle == QL_HANDLE_NONE)
			return;
		row = fresh;
	}
	g_strlcpy(row->service, endpoint->service, sizeof(row->service));
	g_strlcpy(row->gate, endpoint->gate, sizeof(row->gate));
	g_strlcpy(row->node, endpoint->node, sizeof(row->node));
	g_strlcpy(row->failure_domain, endpoint->failure_domain,
		  sizeof(row->failure_domain));
	row->incarnation = endpoint->incarnation;
	row->slots = endpoint->slots;
	row->connections = endpoint->connections;
	row->expires_ms = now_ms + registrar->opts.lease_ms;
}

static void fill_members(const ql_registrar_t *registrar, ql_rpc_lease_res *res)
{
	ql_rpc_endpoint *out =
		calloc(registrar->members.count + 1, sizeof(*out));
	uint32_t cursor = 0;
	ql_handle_t handle;
	const member_row_t *row;

	g_assert(out);
	res->whole_members = TRUE;
	res->members.members_val = out;
	res->members.members_len = registrar->members.count;
	while ((row = ql_table_next(&registrar->members, &cursor, &handle))) {
		out->service = strdup(row->service);
		out->gate = strdup(row->gate);
		out->node = strdup(row->node);
		out->failure_domain = strdup(row->failure_domain);
		out->incarnation = row->incarnation;
		out->slots = row->slots;
		out->connections = row->connections;
		out->state = QL_RPC_ENDPOINT_SERVING;
		out++;
	}
}

void ql_registrar_lease(ql_registrar_t *registrar,
			const ql_rpc_lease_args *args, ql_rpc_lease_res *res,
			uint64_t now_ms)
{
	ql_config_reply_t reply = {
		.whole_document = &res->whole_document,
		.document_len = &res->document.document_len,
		.document_val = &res->document.document_val,
		.changes_len = &res->changes.changes_len,
		.changes_val = &res->changes.changes_val,
	};
	u_int i;

	res->status = ql_greeting_check(&args->greeting,
					registrar->opts.cluster, &res->detail);
	if (!res->detail)
		res->detail = strdup("");
	if (res->status)
		return;
	ql_registrar_tick(registrar, now_ms);
	for (i = 0; i < args->endpoints.endpoints_len; i++)
		renew(registrar, &args->endpoints.endpoints_val[i], now_ms);
	res->lease_ms = registrar->opts.lease_ms;
	res->registrar_incarnation = registrar->opts.incarnation;
	res->members_version = registrar->members_version;
	if (args->registrar_incarnation != registrar->opts.incarnation ||
	    args->members_version != registrar->members_version)
		fill_members(registrar, res);
	res->config_version = registrar->config->doc->version;
	ql_config_reply_fill(&reply, registrar->config, args->config_version);
}

void ql_registrar_tick(ql_registrar_t *registrar, uint64_t now_ms)
{
	uint32_t cursor = 0;
	ql_handle_t handle;
	const member_row_t *row;

	while ((row = ql_table_next(&registrar->members, &cursor, &handle)))
		if (row->expires_ms <= now_ms)
			remove_member(registrar, handle);
}
