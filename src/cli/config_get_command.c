#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"
#include "control/greeting.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/config_state.h"
#include "quetzalloft/error.h"

#include <stdio.h>
#include <sysexits.h>

#define COMMAND "config get"
/* Pause between polls while a quorum confirms the read. */
#define TOKEN_POLL_INTERVAL_US (20 * QL_US_PER_MS)
#define SUMMARY                                                                \
	"Prints the configuration and its version after a quorum of replicas " \
	"has confirmed\nthem. With --local, prints the configuration of the "  \
	"process that answers, which may\nbe an older version."

static json_t *describe_document(const ql_document_t *doc)
{
	return json_pack("{s:I, s:O}", "version", (json_int_t)doc->version,
			 "document", doc->json);
}

/*
 * Builds the document from an answer, which holds the whole document or the
 * changes to an empty one.
 */
static int build_document(json_t **out, ql_rpc_document_res *res,
			  const char *address, GError **error)
{
	ql_config_reply_t reply = {
		.whole_document = &res->whole_document,
		.document_len = &res->document.document_len,
		.document_val = &res->document.document_val,
		.changes_len = &res->changes.changes_len,
		.changes_val = &res->changes.changes_val,
	};
	ql_config_state_t state;
	int ret;

	if (res->status)
		return ql_error_set(error, (ql_error_code_t)res->status,
				    "%s: %s", address, res->detail);
	ql_config_state_init(&state);
	ret = ql_config_reply_apply(&state, &reply, res->config_version, error);
	if (!ret)
		*out = describe_document(state.doc);
	ql_config_state_finish(&state);
	return ret;
}

/* Parameters of the request; @document receives the answer. */
typedef struct {
	const ql_options_t *options;
	bool local;
	json_t *document;
} document_request_t;

static int request_document(document_request_t *request, const char *address,
			    uint64_t *read_token, uint64_t timeout_ms,
			    GError **error)
{
	ql_rpc_document_args args = {
		.must_be_current = !request->local,
		.read_token = *read_token,
	};
	ql_rpc_document_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_DOCUMENT,
		.encode = (xdrproc_t)xdr_ql_rpc_document_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_document_res,
		.result = &res,
	};
	int ret;

	ql_peer_fill_greeting(&args.greeting, request->options->cluster);
	ret = ql_peer_call(address, QL_CONTROL_PROGRAM, &call, timeout_ms,
			   error);
	if (ret)
		return ret;
	*read_token = res.read_token;
	ret = build_document(&request->document, &res, address, error);
	xdr_free((xdrproc_t)xdr_ql_rpc_document_res, &res);
	return ret;
}

/*
 * Sends the request, and repeats it with the read token of the answer while a
 * quorum has not confirmed the read.
 */
static int request_until_current(void *data, const char *address,
				 uint64_t timeout_ms, GError **error)
{
	uint64_t deadline_us = ql_clock_now_us() + timeout_ms * QL_US_PER_MS;
	uint64_t read_token = 0;
	GError *last_error = NULL;
	int ret;

	while ((ret = request_document(data, address, &read_token, timeout_ms,
				       &last_error)) == QL_E_PENDING &&
	       ql_clock_now_us() + TOKEN_POLL_INTERVAL_US < deadline_us) {
		g_clear_error(&last_error);
		g_usleep(TOKEN_POLL_INTERVAL_US);
	}
	if (last_error)
		g_propagate_error(error, last_error);
	return ret;
}

static int print_document(const ql_options_t *options, bool local)
{
	document_request_t request = {.options = options, .local = local};
	GError *error = NULL;
	json_t *described;

	if (ql_peer_request_any(options, request_until_current, &request,
				&error))
		return ql_command_report_error(COMMAND, error);
	described = request.document;
	if (options->json) {
		ql_output_json(described);
		return EX_OK;
	}
	printf("version %" JSON_INTEGER_FORMAT "\n",
	       json_integer_value(json_object_get(described, "version")));
	ql_output_json(json_incref(json_object_get(described, "document")));
	json_decref(described);
	return EX_OK;
}

int ql_command_config_get(int argc, char **argv)
{
	struct arg_lit *local =
		arg_lit0("l", "local", "do not wait for a quorum");
	ql_arguments_t arguments;
	ql_options_t options;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	ql_arguments_add(&arguments, local);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status))
		status = print_document(&options, local->count > 0);
	ql_arguments_finish(&arguments);
	return status;
}
