#include "cli/command.h"
#include "cli/peer.h"
#include "quetzalloft/error.h"

#include <argtable2.h>
#include <stdio.h>
#include <sysexits.h>

#define ARGUMENT_ERRORS_MAX 8

typedef struct {
	struct arg_str *server;
	struct arg_str *cluster;
	struct arg_end *end;
} arguments_t;

static int show_report(const arguments_t *options, const char *command,
		       const char *topic)
{
	ql_rpc_report_args args = {
		.topic = (char *)topic,
		.filter = (char *)"",
	};
	ql_rpc_report_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_REPORT,
		.encode = (xdrproc_t)xdr_ql_rpc_report_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_report_res,
		.result = &res,
	};
	GError *error = NULL;
	int status;

	ql_peer_greeting(&args.greeting, options->cluster->sval[0]);
	if (ql_peer_call(options->server->sval[0], &call, &error))
		return ql_peer_complain(command, error);
	status = ql_command_exit_status(res.status);
	if (res.status)
		fprintf(stderr, "quetzalloft %s: %s: %s\n", command,
			ql_error_name(res.status), res.detail);
	else
		printf("%.*s\n", (int)res.report.report_len,
		       res.report.report_val);
	xdr_free((xdrproc_t)xdr_ql_rpc_report_res, &res);
	return status;
}

static int run_report(int argc, char **argv, const char *command,
		      const char *topic)
{
	arguments_t options = {
		arg_str1("s", "server", "IP:PORT", "the process to ask"),
		arg_str1("c", "cluster", "NAME", "name of the cluster"),
		arg_end(ARGUMENT_ERRORS_MAX),
	};
	void **table = (void **)&options;
	int status;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, options.end, command);
		fprintf(stderr, "Usage: quetzalloft %s", command);
		arg_print_syntax(stderr, table, "\n");
		status = EX_USAGE;
	} else {
		status = show_report(&options, command, topic);
	}
	arg_freetable(table, sizeof(options) / sizeof(void *));
	return status;
}

int ql_command_status(int argc, char **argv)
{
	return run_report(argc, argv, "status", "status");
}

int ql_command_metrics(int argc, char **argv)
{
	return run_report(argc, argv, "metrics", "counters");
}
