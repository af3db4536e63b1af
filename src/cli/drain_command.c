#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#include "operator.h"

#include <stdio.h>
#include <sysexits.h>

#define COMMAND "drain"
#define SUMMARY                                                               \
	"Starts the graceful shutdown of one node: it refuses new requests, " \
	"announces that\nit is leaving, finishes the requests in progress "   \
	"and exits. Waits until the node has\nstopped, unless --no-wait "     \
	"is given."
#define STOP_POLL_INTERVAL_US (100 * QL_US_PER_MS)

static int request_drain(const ql_options_t *options, GError **error)
{
	ql_rpc_drain_args args = {0};
	ql_rpc_drain_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_DRAIN,
		.encode = (xdrproc_t)xdr_ql_rpc_drain_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_drain_res,
		.result = &res,
	};
	int ret;

	ql_peer_fill_greeting(&args.greeting, options->cluster);
	ret = ql_peer_call(options->servers[0], QL_OPERATOR_PROGRAM, &call,
			   options->timeout_ms, error);
	if (ret)
		return ret;
	if (res.status)
		ret = ql_error_set(error, (ql_error_code_t)res.status, "%s: %s",
				   options->servers[0], res.detail);
	xdr_free((xdrproc_t)xdr_ql_rpc_drain_res, &res);
	return ret;
}

/*
 * Polls the control port until a call fails: the node closes the port last,
 * after the requests in progress have finished.
 */
static int wait_until_stopped(const ql_options_t *options, GError **error)
{
	uint64_t deadline_us =
		ql_clock_now_us() + options->timeout_ms * QL_US_PER_MS;
	json_t *report;

	while (!ql_peer_fetch_report(&report, options, options->servers[0],
				     "status", "", NULL)) {
		json_decref(report);
		if (ql_clock_now_us() >= deadline_us)
			return ql_error_set(
				error, QL_E_PENDING,
				"%s is draining: requests are in progress",
				options->servers[0]);
		g_usleep(STOP_POLL_INTERVAL_US);
	}
	return 0;
}

static int drain(const ql_options_t *options, bool wait)
{
	GError *error = NULL;
	int ret;

	if (options->n_servers != 1) {
		fputs("quetzalloft drain: give exactly one --server\n", stderr);
		return EX_USAGE;
	}
	ret = request_drain(options, &error);
	if (!ret && wait)
		ret = wait_until_stopped(options, &error);
	if (ret)
		return ql_command_report_error(COMMAND, error);
	if (options->json)
		ql_output_json(json_pack("{s:s, s:b}", "server",
					 options->servers[0], "gone", wait));
	else
		printf("%s %s\n", options->servers[0],
		       wait ? "has stopped" : "is draining");
	return EX_OK;
}

int ql_command_drain(int argc, char **argv)
{
	struct arg_lit *no_wait =
		arg_lit0("n", "no-wait",
			 "do not wait until the node has stopped");
	ql_arguments_t arguments;
	ql_options_t options;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	ql_arguments_add(&arguments, no_wait);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status))
		status = drain(&options, !no_wait->count);
	ql_arguments_finish(&arguments);
	return status;
}
