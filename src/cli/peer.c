#include "cli/peer.h"
#include "cli/command.h"
#include "quetzalloft/error.h"

#include <stdio.h>
#include <sysexits.h>

#define CALL_TIMEOUT_MS 3000u

void ql_peer_greeting(ql_rpc_greeting *greeting, const char *cluster)
{
	greeting->cluster = (char *)cluster;
	greeting->node = (char *)"operator";
	greeting->failure_domain = (char *)"";
	greeting->protocol = QL_RPC_PROTOCOL_VERSION;
}

int ql_peer_call(const char *address, const ql_rpc_call_t *call, GError **error)
{
	ql_rpc_client_t client;
	int ret;

	ql_rpc_client_init(&client, address, QL_CONTROL_PROGRAM, QL_CONTROL_V1,
			   CALL_TIMEOUT_MS);
	ret = ql_rpc_client_call(&client, call, error);
	ql_rpc_client_finish(&client);
	return ret;
}

int ql_command_exit_status(int ret)
{
	switch (ret) {
	case 0:
		return EX_OK;
	case QL_E_STALE:
		return QL_EXIT_STALE;
	case QL_E_UNAVAILABLE:
	case QL_E_TIMEOUT:
	case QL_E_NOT_LEADER:
	case QL_E_PENDING:
		return EX_TEMPFAIL;
	case QL_E_IO:
		return EX_IOERR;
	case QL_E_INVALID:
	case QL_E_RANGE:
	case QL_E_TYPE:
	case QL_E_UNKNOWN_KEY:
	case QL_E_MISSING_KEY:
	case QL_E_NOT_FOUND:
		return EX_DATAERR;
	default:
		return QL_EXIT_REFUSED;
	}
}

int ql_peer_complain(const char *command, GError *error)
{
	int status = ql_command_exit_status(error->code);

	fprintf(stderr, "quetzalloft %s: %s: %s\n", command,
		ql_error_name(error->code), error->message);
	if (status == EX_TEMPFAIL)
		fputs("Nothing is known of the request; send it again, with "
		      "the same id if it had one.\n",
		      stderr);
	g_error_free(error);
	return status;
}
