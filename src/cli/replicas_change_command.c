#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"
#include "cli/replicas.h"
#include "cli/submit.h"
#include "quetzalloft/timeline.h"

#include <inttypes.h>
#include <stdio.h>
#include <sysexits.h>

#define ADD_COMMAND "replicas add"
#define ADD_SUMMARY                                                    \
	"Adds a new replica as a learner, under the identity that it " \
	"reports. Promote it\nwhen it has caught up with the log."
#define PROMOTE_COMMAND "replicas promote"
#define PROMOTE_SUMMARY \
	"Makes a learner that has caught up with the log a voter."
#define REMOVE_COMMAND "replicas remove"
#define REMOVE_SUMMARY                                                      \
	"Removes a replica permanently. Its identity is not used again: a " \
	"replacement gets an\nidentity of its own."

/* A change to the members of the replica group. */
typedef struct {
	const char *command;
	ql_options_t options;
	ql_replica_change_kind kind;
	uint64_t id;
	char address[QL_ADDRESS_MAX];
} change_t;

static void send_change(void *data, const char *address, uint64_t timeout_ms,
			ql_submit_result_t *result, char *leader)
{
	change_t *change = data;
	ql_rpc_replica_change_args args = {
		.kind = change->kind,
		.id = change->id,
		.address = change->address,
	};
	ql_rpc_replica_change_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_REPLICA_CHANGE,
		.encode = (xdrproc_t)xdr_ql_rpc_replica_change_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_replica_change_res,
		.result = &res,
	};
	GError *error = NULL;

	ql_peer_fill_greeting(&args.greeting, change->options.cluster);
	result->status = ql_peer_call(address, QL_REPLICA_PROGRAM, &call,
				      timeout_ms, &error);
	if (result->status) {
		result->detail = g_strdup(error->message);
		g_error_free(error);
		return;
	}
	result->status = res.status;
	result->detail = g_strdup(res.detail);
	g_strlcpy(leader, res.leader_address, QL_ADDRESS_MAX);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_change_res, &res);
}

static void print_json(const change_t *change, const ql_submit_result_t *result)
{
	char id[QL_HEX64_MAX];

	ql_hex64_format(id, change->id);
	ql_output_json(json_pack("{s:s, s:s, s:i, s:s}", "id", id, "status",
				 ql_error_name(result->status), "sent",
				 (int)result->n_sent, "detail",
				 result->detail ? result->detail : ""));
}

static int print_result(const change_t *change,
			const ql_submit_result_t *result)
{
	GError *error = NULL;

	if (change->options.json)
		print_json(change, result);
	else if (!result->status)
		printf("done: replica %016" PRIx64 "\n", change->id);
	if (!result->status)
		return EX_OK;
	ql_error_set(&error, (ql_error_code_t)result->status,
		     "%s (replica %016" PRIx64 ", sent %u times)",
		     result->detail ? result->detail : "", change->id,
		     result->n_sent);
	return ql_command_report_error(change->command, error);
}

static int submit(change_t *change)
{
	ql_submit_transport_t transport = {
		.send = send_change,
		.now_us = ql_submit_now_us,
		.pause = ql_submit_pause,
		.data = change,
	};
	ql_submit_result_t result;
	int status;

	ql_submit(&result, &transport, &change->options);
	status = print_result(change, &result);
	g_free(result.detail);
	return status;
}

/* Fetches the identity of the replica to add. */
static int fetch_identity(change_t *change, GError **error)
{
	ql_rpc_replica_status_res res = {0};
	int ret = ql_replica_fetch_status(change->address, &change->options,
					  &res, error);

	if (ret)
		return ret;
	change->id = res.id;
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_status_res, &res);
	return 0;
}

int ql_command_replicas_add(int argc, char **argv)
{
	struct arg_str *address = arg_str1(NULL, NULL, "IP:PORT",
					   "control port of the new replica");
	ql_arguments_t arguments;
	change_t change = {
		.command = ADD_COMMAND,
		.kind = QL_REPLICA_ADD_LEARNER,
	};
	GError *error = NULL;
	int status;

	ql_arguments_init(&arguments, ADD_COMMAND, ADD_SUMMARY, true);
	ql_arguments_add(&arguments, address);
	if (ql_arguments_parse(&arguments, argc, argv, &change.options,
			       &status)) {
		g_strlcpy(change.address, address->sval[0], QL_ADDRESS_MAX);
		status = fetch_identity(&change, &error)
				 ? ql_command_report_error(ADD_COMMAND, error)
				 : submit(&change);
	}
	ql_arguments_finish(&arguments);
	return status;
}

/* Runs a command that names a replica by its identity. */
static int change_by_id(int argc, char **argv, change_t *change,
			const char *summary)
{
	struct arg_str *id = arg_str1(NULL, NULL, "ID",
				      "identity, as shown by replicas status");
	ql_arguments_t arguments;
	int status;

	ql_arguments_init(&arguments, change->command, summary, true);
	ql_arguments_add(&arguments, id);
	if (!ql_arguments_parse(&arguments, argc, argv, &change->options,
				&status)) {
		ql_arguments_finish(&arguments);
		return status;
	}
	if (ql_hex64_parse(&change->id, id->sval[0])) {
		fprintf(stderr,
			"quetzalloft %s: found \"%s\", allowed 1 to 16 hex "
			"digits\n",
			change->command, id->sval[0]);
		status = EX_USAGE;
	} else {
		status = submit(change);
	}
	ql_arguments_finish(&arguments);
	return status;
}

int ql_command_replicas_promote(int argc, char **argv)
{
	change_t change = {.command = PROMOTE_COMMAND,
			   .kind = QL_REPLICA_PROMOTE};

	return change_by_id(argc, argv, &change, PROMOTE_SUMMARY);
}

int ql_command_replicas_remove(int argc, char **argv)
{
	change_t change = {.command = REMOVE_COMMAND,
			   .kind = QL_REPLICA_REMOVE};

	return change_by_id(argc, argv, &change, REMOVE_SUMMARY);
}
