#include "cli/command.h"
#include "cli/output.h"
#include "cli/patch_sender.h"
#include "cli/peer.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#define COMMAND "config patch"
#define SUMMARY                                                               \
	"Submits an RFC 7396 merge patch against a version. A patch against " \
	"an old\nversion is refused. The patch is sent again under the same " \
	"id until its answer is\nknown or the time is over; after that, run " \
	"the command again with the id that\nit printed."
#define SEND_TIMEOUT_MS 2000u

/* What is sent, and to whom. */
typedef struct {
	const ql_options_t *options;
	ql_patch_submission_t submission;
} sender_t;

static void take_answer(ql_patch_result_t *result, char *leader,
			const ql_rpc_patch_res *res)
{
	result->status = res->status;
	result->version = res->config_version;
	result->detail = g_strdup(res->detail);
	g_strlcpy(leader, res->leader, QL_ADDRESS_MAX);
}

static void send_patch(void *data, const char *address,
		       ql_patch_result_t *result, char *leader)
{
	const sender_t *sender = data;
	const ql_patch_submission_t *submission = &sender->submission;
	ql_rpc_patch_args args = {
		.id = (char *)submission->id,
		.base_version = submission->base_version,
		.patch = {(u_int)submission->length, submission->text},
	};
	ql_rpc_patch_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_PATCH,
		.encode = (xdrproc_t)xdr_ql_rpc_patch_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_patch_res,
		.result = &res,
	};
	GError *error = NULL;

	ql_peer_greeting(&args.greeting, sender->options->cluster);
	result->status =
		ql_peer_call(address, QL_CONTROL_PROGRAM, &call,
			     MIN(sender->options->timeout_ms, SEND_TIMEOUT_MS),
			     &error);
	if (result->status) {
		result->detail = g_strdup(error->message);
		g_error_free(error);
		return;
	}
	take_answer(result, leader, &res);
	xdr_free((xdrproc_t)xdr_ql_rpc_patch_res, &res);
}

static uint64_t now_us(void *data G_GNUC_UNUSED)
{
	return ql_clock_now_us();
}

static void pause_us(void *data G_GNUC_UNUSED, uint64_t duration_us)
{
	g_usleep(duration_us);
}

static void print_json(const char *id, const ql_patch_result_t *result)
{
	ql_output_json(json_pack("{s:s, s:s, s:I, s:i, s:s}", "id", id,
				 "status", ql_error_name(result->status),
				 "version", (json_int_t)result->version, "sent",
				 (int)result->sent, "detail",
				 result->detail ? result->detail : ""));
}

static int print_result(const sender_t *sender, const ql_patch_result_t *result)
{
	GError *error = NULL;

	if (sender->options->json)
		print_json(sender->submission.id, result);
	else if (!result->status)
		printf("accepted as version %" PRIu64 "\n", result->version);
	if (!result->status)
		return EX_OK;
	ql_error_set(&error, (ql_error_code_t)result->status,
		     "%s (id %s, present version %" PRIu64 ", sent %u times)",
		     result->detail ? result->detail : "",
		     sender->submission.id, result->version, result->sent);
	return ql_command_complain(COMMAND, error);
}

static int submit(sender_t *sender)
{
	ql_patch_transport_t transport = {
		.send = send_patch,
		.now_us = now_us,
		.pause = pause_us,
		.data = sender,
	};
	ql_patch_result_t result;
	int status;

	ql_patch_submit(&result, &transport, sender->options);
	status = print_result(sender, &result);
	g_free(result.detail);
	return status;
}

/* Reads the file, or standard input for "-". */
static bool read_patch(const char *path, char **text, gsize *length)
{
	GError *error = NULL;

	if (!strcmp(path, "-"))
		path = "/dev/stdin";
	if (g_file_get_contents(path, text, length, &error))
		return true;
	fprintf(stderr, "quetzalloft " COMMAND ": %s\n", error->message);
	g_error_free(error);
	return false;
}

static int load_and_submit(sender_t *sender, const char *path, const char *id)
{
	char *own_id = id ? NULL : g_uuid_string_random();
	int status = EX_NOINPUT;
	gsize length;

	sender->submission.id = id ? id : own_id;
	if (read_patch(path, &sender->submission.text, &length)) {
		if (own_id)
			fprintf(stderr, "id %s\n", own_id);
		sender->submission.length = length;
		status = submit(sender);
		g_free(sender->submission.text);
	}
	g_free(own_id);
	return status;
}

int ql_command_config_patch(int argc, char **argv)
{
	struct arg_str *id = arg_str0("i", "id", "ID", "id of this patch");
	struct arg_int *base =
		arg_int1("b", "base", "N", "version it was written against");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE",
			  "the patch; \"-\" for standard input");
	ql_arguments_t arguments;
	ql_options_t options;
	sender_t sender = {.options = &options};
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	ql_arguments_add(&arguments, id);
	ql_arguments_add(&arguments, base);
	ql_arguments_add(&arguments, file);
	if (!ql_arguments_parse(&arguments, argc, argv, &options, &status)) {
		ql_arguments_finish(&arguments);
		return status;
	}
	if (base->ival[0] < 0) {
		fputs("quetzalloft " COMMAND ": --base: allowed 0 and above\n",
		      stderr);
		status = EX_USAGE;
	} else {
		sender.submission.base_version = (uint64_t)base->ival[0];
		status = load_and_submit(&sender, file->filename[0],
					 id->count ? id->sval[0] : NULL);
	}
	ql_arguments_finish(&arguments);
	return status;
}
