#include "cli/command.h"
#include "quetzalloft/error.h"

#include <stdio.h>
#include <sysexits.h>

/* Exit status for an error code, and a hint how to resolve the error. */
typedef struct {
	ql_error_code_t code;
	int status;
	const char *hint;
} error_exit_t;

static const error_exit_t error_exits[] = {
	{QL_OK, EX_OK, NULL},
	{QL_E_STALE, QL_EXIT_STALE,
	 "Read the current version with \"quetzalloft config get\", rebase the "
	 "patch onto it, and submit it under a new id."},
	{QL_E_CONFLICT, QL_EXIT_REFUSED,
	 "This id was used for a different patch: choose a new one."},
	{QL_E_DENIED, QL_EXIT_REFUSED,
	 "Give the name of the cluster of the process with --cluster."},
	{QL_E_PROTOCOL, QL_EXIT_REFUSED,
	 "Check that --server names a control port, and that both sides run "
	 "the same version."},
	{QL_E_UNAVAILABLE, EX_TEMPFAIL,
	 "Check that quetzalloftd runs at that address, or name other "
	 "processes with further --server options."},
	{QL_E_TIMEOUT, EX_TEMPFAIL,
	 "The outcome of the request is unknown. Try again, with the same --id "
	 "if it had one, or with a longer --timeout-ms."},
	{QL_E_NOT_LEADER, EX_TEMPFAIL,
	 "Name the other replicas with further --server options."},
	{QL_E_PENDING, EX_TEMPFAIL,
	 "The outcome is not decided yet. Run the command again; a patch with "
	 "the same --id."},
	{QL_E_IO, EX_IOERR, NULL},
	{QL_E_INVALID, EX_DATAERR, NULL},
	{QL_E_RANGE, EX_DATAERR, NULL},
	{QL_E_TYPE, EX_DATAERR, NULL},
	{QL_E_UNKNOWN_KEY, EX_DATAERR, NULL},
	{QL_E_MISSING_KEY, EX_DATAERR, NULL},
	{QL_E_EXISTS, EX_DATAERR, NULL},
	{QL_E_NOT_FOUND, EX_DATAERR, NULL},
};

static const error_exit_t *find_error_exit(int code)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(error_exits); i++)
		if ((int)error_exits[i].code == code)
			return &error_exits[i];
	return NULL;
}

int ql_command_exit_status(int ret)
{
	const error_exit_t *error_exit = find_error_exit(ret);

	return error_exit ? error_exit->status : QL_EXIT_REFUSED;
}

int ql_command_report_error(const char *command, GError *error)
{
	const error_exit_t *error_exit = find_error_exit(error->code);
	int status = ql_command_exit_status(error->code);

	fprintf(stderr, "quetzalloft %s: %s: %s\n", command,
		ql_error_name(error->code), error->message);
	if (error_exit && error_exit->hint)
		fprintf(stderr, "%s\n", error_exit->hint);
	g_error_free(error);
	return status;
}
