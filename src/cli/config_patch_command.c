#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"
#include "cli/submit.h"
#include "quetzalloft/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#define COMMAND "config patch"
#define SUMMARY                                                               \
	"Submits an RFC 7396 merge patch to a version of the configuration. " \
	"A patch to a version\nthat is not the current one is refused. "      \
	"The patch is sent again under the same id\nuntil its outcome is "    \
	"known or the time limit is reached; in the latter case, run the\n"   \
	"command again with the id that it printed."

/* A patch to submit. */
typedef struct {
	const ql_options_t *options;
	const char *id;
	uint64_t base_version;
	char *text;
	size_t length;
} patch_t;

static void store_answer(ql_submit_result_t *result, char *leader,
			 const ql_rpc_patch_res *res)
{
	result->status = res->status;
	result->version = res->config_version;
	result->detail = g_strdup(res->detail);
	g_strlcpy(leader, res->leader, QL_ADDRESS_MAX);
}

static void send_patch(void *data, const char *address, uint64_t timeout_ms,
		       ql_submit_result_t *result, char *leader)
{
	const patch_t *patch = data;
	ql_rpc_patch_args args = {
		.id = (char *)patch->id,
		.base_version = patch->base_version,
		.patch = {(u_int)patch->length, patch->text},
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

	ql_peer_fill_greeting(&args.greeting, patch->options->cluster);
	result->status = ql_peer_call(address, QL_CONTROL_PROGRAM, &call,
				      timeout_ms, &error);
	if (result->status) {
		result->detail = g_strdup(error->message);
		g_error_free(error);
		return;
	}
	store_answer(result, leader, &res);
	xdr_free((xdrproc_t)xdr_ql_rpc_patch_res, &res);
}

static void print_json(const char *id, const ql_submit_result_t *result)
{
	ql_output_json(json_pack("{s:s, s:s, s:I, s:i, s:s}", "id", id,
				 "status", ql_error_name(result->status),
				 "version", (json_int_t)result->version, "sent",
				 (int)result->n_sent, "detail",
				 result->detail ? result->detail : ""));
}

static int print_result(const patch_t *patch, const ql_submit_result_t *result)
{
	GError *error = NULL;

	if (patch->options->json)
		print_json(patch->id, result);
	else if (!result->status)
		printf("accepted as version %" PRIu64 "\n", result->version);
	if (!result->status)
		return EX_OK;
	ql_error_set(&error, (ql_error_code_t)result->status,
		     "%s (id %s, current version %" PRIu64 ", sent %u times)",
		     result->detail ? result->detail : "", patch->id,
		     result->version, result->n_sent);
	return ql_command_report_error(COMMAND, error);
}

static int submit(patch_t *patch)
{
	ql_submit_transport_t transport = {
		.send = send_patch,
		.now_us = ql_submit_now_us,
		.pause = ql_submit_pause,
		.data = patch,
	};
	ql_submit_result_t result;
	int status;

	ql_submit(&result, &transport, patch->options);
	status = print_result(patch, &result);
	g_free(result.detail);
	return status;
}

/* Reads the file, or standard input for "-"; prints an error on failure. */
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

/* Generates an id if it is NULL, and prints it to standard error. */
static int load_and_submit(patch_t *patch, const char *path, const char *id)
{
	char *generated_id = id ? NULL : g_uuid_string_random();
	int status = EX_NOINPUT;
	gsize length;

	patch->id = id ? id : generated_id;
	if (read_patch(path, &patch->text, &length)) {
		if (generated_id)
			fprintf(stderr, "id %s\n", generated_id);
		patch->length = length;
		status = submit(patch);
		g_free(patch->text);
	}
	g_free(generated_id);
	return status;
}

int ql_command_config_patch(int argc, char **argv)
{
	struct arg_str *id = arg_str0("i", "id", "ID", "id of this patch");
	struct arg_int *base =
		arg_int1("b", "base", "N", "version that the patch applies to");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE",
			  "the patch; \"-\" for standard input");
	ql_arguments_t arguments;
	ql_options_t options;
	patch_t patch = {.options = &options};
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
		patch.base_version = (uint64_t)base->ival[0];
		status = load_and_submit(&patch, file->filename[0],
					 id->count ? id->sval[0] : NULL);
	}
	ql_arguments_finish(&arguments);
	return status;
}
