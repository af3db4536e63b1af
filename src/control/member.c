#include "quetzalloft/member.h"
#include "control/greeting.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

#define JITTER 0.2

typedef struct {
	char service[QL_NAME_MAX];
	uint64_t seen;
} known_t;

void ql_member_init(ql_member_t *member, const ql_member_opts_t *opts,
		    const ql_member_ops_t *ops, void *data, GRand *random)
{
	memset(member, 0, sizeof(*member));
	member->opts = *opts;
	member->ops = ops;
	member->data = data;
	member->random = random;
	member->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ql_config_state_init(&member->config);
}

void ql_member_finish(ql_member_t *member)
{
	ql_config_state_finish(&member->config);
	g_hash_table_destroy(member->known);
}

void ql_member_fill_lease(const ql_member_t *member, ql_rpc_lease_args *args)
{
	args->greeting.cluster = strdup(member->opts.cluster);
	args->greeting.node = strdup(member->opts.node);
	args->greeting.failure_domain = strdup(member->opts.failure_domain);
	args->greeting.incarnation = member->opts.incarnation;
	args->greeting.protocol = QL_RPC_PROTOCOL_VERSION;
	args->config_version = member->config.doc->version;
	args->registrar_incarnation = member->registrar_incarnation;
	args->members_version = member->members_version;
}

static void take_endpoint(ql_member_t *member, const ql_rpc_endpoint *endpoint,
			  uint64_t seen)
{
	ql_target_info_t info = {
		.incarnation = endpoint->incarnation,
		.slots = endpoint->slots,
		.connections = endpoint->connections,
	};
	known_t *known;

	if (endpoint->state != QL_RPC_ENDPOINT_SERVING) {
		if (g_hash_table_remove(member->known, endpoint->gate))
			member->ops->endpoint_gone(member->data,
						   endpoint->service,
						   endpoint->gate);
		return;
	}
	known = g_new0(known_t, 1);
	g_strlcpy(known->service, endpoint->service, sizeof(known->service));
	known->seen = seen;
	g_hash_table_insert(member->known, g_strdup(endpoint->gate), known);
	g_strlcpy(info.gate, endpoint->gate, sizeof(info.gate));
	g_strlcpy(info.failure_domain, endpoint->failure_domain,
		  sizeof(info.failure_domain));
	member->ops->endpoint_up(member->data, endpoint->service, &info);
}

/* Forgets every endpoint that a whole list did not name. */
static void forget_unseen(ql_member_t *member, uint64_t seen)
{
	GHashTableIter iter;
	gpointer gate, value;

	g_hash_table_iter_init(&iter, member->known);
	while (g_hash_table_iter_next(&iter, &gate, &value)) {
		const known_t *known = value;

		if (known->seen == seen)
			continue;
		member->ops->endpoint_gone(member->data, known->service, gate);
		g_hash_table_iter_remove(&iter);
	}
}

static void take_members(ql_member_t *member, const ql_rpc_lease_res *res)
{
	u_int i;

	for (i = 0; i < res->members.members_len; i++)
		take_endpoint(member, &res->members.members_val[i],
			      res->members_version);
	if (res->whole_members)
		forget_unseen(member, res->members_version);
	member->members_version = res->members_version;
	member->registrar_incarnation = res->registrar_incarnation;
}

static int take_config(ql_member_t *member, const ql_rpc_lease_res *res,
		       GError **error)
{
	bool_t whole = res->whole_document;
	u_int document_len = res->document.document_len;
	char *document_val = res->document.document_val;
	u_int changes_len = res->changes.changes_len;
	ql_rpc_change *changes_val = res->changes.changes_val;
	ql_config_reply_t reply = {&whole, &document_len, &document_val,
				   &changes_len, &changes_val};
	uint64_t before = member->config.doc->version;
	int ret;

	ret = ql_config_reply_take(&member->config, &reply, res->config_version,
				   error);
	if (member->config.doc->version != before)
		member->ops->config_changed(member->data, member->config.doc);
	return ret;
}

int ql_member_take_lease(ql_member_t *member, const ql_rpc_lease_res *res,
			 uint64_t now_ms, GError **error)
{
	int ret;

	if (res->status)
		return ql_error_set(error, (ql_error_code_t)res->status, "%s",
				    res->detail);
	ret = take_config(member, res, error);
	if (ret)
		return ret;
	take_members(member, res);
	member->asked = true;
	member->heard_ms = now_ms;
	return 0;
}

void ql_member_lease_failed(ql_member_t *member)
{
	if (member->opts.n_registrars)
		member->registrar =
			(member->registrar + 1) % member->opts.n_registrars;
}

uint32_t ql_member_delay_ms(ql_member_t *member)
{
	double factor =
		g_rand_double_range(member->random, 1 - JITTER, 1 + JITTER);

	return (uint32_t)(member->opts.renew_ms * factor);
}
