#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"
#include "cli/replicas.h"

#include <inttypes.h>
#include <stdio.h>
#include <sysexits.h>

#define COMMAND "replicas status"
#define SUMMARY                                                                \
	"Shows the status of each replica among the servers, and the members " \
	"as reported by\nthe replica with the highest commit index."
#define HEX_ID_BYTES 17

static const char *const replica_titles[] = {
	"SERVER", "ID",	    "ROLE",    "TERM",	  "LEADER",
	"LOG",	  "COMMIT", "VERSION", "SETTLED", NULL,
};

static const char *const member_titles[] = {"MEMBER", "ADDRESS", "VOTES", NULL};

int ql_replica_fetch_status(const char *address, const ql_options_t *options,
			    ql_rpc_replica_status_res *res, GError **error)
{
	ql_rpc_replica_status_args args = {0};
	ql_rpc_call_t call = {
		.procedure = QL_REPLICA_STATUS,
		.encode = (xdrproc_t)xdr_ql_rpc_replica_status_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_replica_status_res,
		.result = res,
	};
	int ret;

	ql_peer_fill_greeting(&args.greeting, options->cluster);
	ret = ql_peer_call(address, QL_REPLICA_PROGRAM, &call,
			   options->timeout_ms, error);
	if (ret || !res->status)
		return ret;
	ret = ql_error_set(error, (ql_error_code_t)res->status, "%s: %s",
			   address, res->detail);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_status_res, res);
	return ret;
}

static json_t *id_to_json(uint64_t value)
{
	char text[HEX_ID_BYTES];

	g_snprintf(text, sizeof(text), "%016" PRIx64, value);
	return json_string(text);
}

static json_t *members_json(const ql_rpc_replica_members *all)
{
	const ql_rpc_replica_member *member = all->members.members_val;
	json_t *list = json_array();
	u_int i;

	for (i = 0; i < all->members.members_len; i++, member++)
		json_array_append_new(list,
				      json_pack("{s:o, s:s, s:b}", "id",
						id_to_json(member->id),
						"address", member->address,
						"voter", member->voter));
	return list;
}

static json_t *status_json(const char *address,
			   const ql_rpc_replica_status_res *res)
{
	return json_pack("{s:s, s:o, s:s, s:I, s:s, s:I, s:I, s:I, s:b, s:o}",
			 "server", address, "id", id_to_json(res->id), "role",
			 res->role, "term", (json_int_t)res->term, "leader",
			 res->leader_address, "log", (json_int_t)res->log_index,
			 "commit", (json_int_t)res->commit, "version",
			 (json_int_t)res->config_version, "settled",
			 res->members_settled, "members",
			 members_json(&res->members));
}

/*
 * Fetches the status of each server. Returns a JSON array with an object for
 * each server that answered.
 */
static json_t *fetch_statuses(const ql_options_t *options, int *status)
{
	json_t *list = json_array();
	size_t i;

	*status = EX_OK;
	for (i = 0; i < options->n_servers; i++) {
		ql_rpc_replica_status_res res = {0};
		GError *error = NULL;

		if (ql_replica_fetch_status(options->servers[i], options, &res,
					    &error)) {
			*status = ql_command_report_error(COMMAND, error);
			continue;
		}
		json_array_append_new(list,
				      status_json(options->servers[i], &res));
		xdr_free((xdrproc_t)xdr_ql_rpc_replica_status_res, &res);
	}
	if (*status != EX_OK && json_array_size(list))
		*status = QL_EXIT_PARTIAL;
	return list;
}

static void print_replicas(const json_t *list)
{
	ql_text_table_t table;
	json_t *item;
	size_t i;

	ql_text_table_init(&table, replica_titles);
	json_array_foreach (list, i, item) {
		ql_text_table_add_member(&table, item, "server");
		ql_text_table_add_member(&table, item, "id");
		ql_text_table_add_member(&table, item, "role");
		ql_text_table_add_member(&table, item, "term");
		ql_text_table_add_member(&table, item, "leader");
		ql_text_table_add_member(&table, item, "log");
		ql_text_table_add_member(&table, item, "commit");
		ql_text_table_add_member(&table, item, "version");
		ql_text_table_add_member(&table, item, "settled");
	}
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
}

static json_int_t commit_index(const json_t *item)
{
	return json_integer_value(json_object_get(item, "commit"));
}

/* Prints the members as reported by the replica with the highest commit. */
static void print_members(const json_t *list)
{
	const json_t *newest = json_array_get(list, 0);
	ql_text_table_t table;
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		if (commit_index(item) > commit_index(newest))
			newest = item;
	}
	ql_text_table_init(&table, member_titles);
	json_array_foreach (json_object_get(newest, "members"), i, item) {
		ql_text_table_add_member(&table, item, "id");
		ql_text_table_add_member(&table, item, "address");
		ql_text_table_add_member(&table, item, "voter");
	}
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
}

static int show(const ql_options_t *options)
{
	int status;
	json_t *list = fetch_statuses(options, &status);

	if (options->json) {
		ql_output_json(list);
		return status;
	}
	if (json_array_size(list)) {
		print_replicas(list);
		print_members(list);
	}
	json_decref(list);
	return status;
}

int ql_command_replicas_status(int argc, char **argv)
{
	return ql_arguments_run(argc, argv, COMMAND, SUMMARY, show);
}
