#include "cli/peer.h"
#include "cli/command.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <sysexits.h>

#define PROGRAM_VERSION 1u
#define SENDER_NAME "operator"
#define ROUND_PAUSE_US (100 * QL_US_PER_MS)

void ql_peer_fill_greeting(ql_rpc_greeting *greeting, const char *cluster)
{
	*greeting = (ql_rpc_greeting){
		.cluster = (char *)cluster,
		.node = (char *)SENDER_NAME,
		.failure_domain = (char *)"",
		.protocol = QL_RPC_PROTOCOL_VERSION,
	};
}

int ql_peer_call(const char *address, uint32_t program,
		 const ql_rpc_call_t *call, uint64_t timeout_ms, GError **error)
{
	ql_rpc_client_t client;
	int ret;

	ql_rpc_client_init(&client, address, program, PROGRAM_VERSION,
			   (uint32_t)timeout_ms);
	ret = ql_rpc_client_call(&client, call, error);
	ql_rpc_client_finish(&client);
	/* A truncated answer may be partly decoded. */
	if (ret)
		xdr_free(call->decode, call->result);
	return ret;
}

/* Splits the time until the deadline evenly among the remaining servers. */
static uint64_t server_timeout_ms(uint64_t deadline_us, size_t n_remaining)
{
	uint64_t now_us = ql_clock_now_us();
	uint64_t remaining_ms = deadline_us > now_us
					? (deadline_us - now_us) / QL_US_PER_MS
					: 0;

	return remaining_ms / n_remaining + 1;
}

bool ql_peer_is_final(int status)
{
	switch (status) {
	case QL_E_PENDING:
	case QL_E_NOT_LEADER:
	case QL_E_UNAVAILABLE:
	case QL_E_TIMEOUT:
	case QL_E_IO:
		return false;
	default:
		return true;
	}
}

/* Sends the request to each server until one returns a final status. */
static int request_each(const ql_options_t *options, ql_peer_request_t request,
			void *data, uint64_t deadline_us, GString *details)
{
	int ret = QL_E_UNAVAILABLE;
	size_t i;

	g_string_truncate(details, 0);
	for (i = 0; i < options->n_servers; i++) {
		GError *call_error = NULL;

		ret = request(data, options->servers[i],
			      server_timeout_ms(deadline_us,
						options->n_servers - i),
			      &call_error);
		if (call_error)
			g_string_append_printf(details, "%s%s",
					       details->len ? "; " : "",
					       call_error->message);
		g_clear_error(&call_error);
		if (ql_peer_is_final(ret))
			break;
	}
	return ret;
}

int ql_peer_request_any(const ql_options_t *options, ql_peer_request_t request,
			void *data, GError **error)
{
	uint64_t deadline_us =
		ql_clock_now_us() + options->timeout_ms * QL_US_PER_MS;
	GString *details = g_string_new(NULL);
	int ret = request_each(options, request, data, deadline_us, details);

	/* The replicas may be electing a leader: call the servers again. */
	while (!ql_peer_is_final(ret) &&
	       ql_clock_now_us() + ROUND_PAUSE_US < deadline_us) {
		g_usleep(ROUND_PAUSE_US);
		ret = request_each(options, request, data, deadline_us,
				   details);
	}
	if (ret)
		ql_error_set(error, (ql_error_code_t)ret, "%s", details->str);
	g_string_free(details, TRUE);
	return ret;
}

/* Sets *out to NULL unless the answer holds a valid report. */
static int parse_report(json_t **out, const ql_rpc_report_res *res,
			const char *address, GError **error)
{
	GError *parse_error = NULL;

	*out = NULL;
	if (res->status)
		return ql_error_set(error, (ql_error_code_t)res->status,
				    "%s: %s", address, res->detail);
	if (!ql_json_parse(out, res->report.report_val, res->report.report_len,
			   &parse_error))
		return 0;
	ql_error_set(error, QL_E_PROTOCOL, "%s: %s", address,
		     parse_error->message);
	g_error_free(parse_error);
	return QL_E_PROTOCOL;
}

int ql_peer_fetch_report(json_t **out, const ql_options_t *options,
			 const char *address, const char *topic,
			 const char *filter, GError **error)
{
	ql_rpc_report_args args = {
		.topic = (char *)topic,
		.filter = (char *)filter,
	};
	ql_rpc_report_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_REPORT,
		.encode = (xdrproc_t)xdr_ql_rpc_report_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_report_res,
		.result = &res,
	};
	int ret;

	ql_peer_fill_greeting(&args.greeting, options->cluster);
	ret = ql_peer_call(address, QL_CONTROL_PROGRAM, &call,
			   options->timeout_ms, error);
	if (ret)
		return ret;
	ret = parse_report(out, &res, address, error);
	xdr_free((xdrproc_t)xdr_ql_rpc_report_res, &res);
	return ret;
}

int ql_peer_fetch_reports(const ql_options_t *options, const char *command,
			  const char *topic, ql_peer_report_handler_t handler,
			  void *data)
{
	int failed = EX_OK;
	size_t answered = 0;
	size_t i;

	for (i = 0; i < options->n_servers; i++) {
		GError *error = NULL;
		json_t *report = NULL;

		if (ql_peer_fetch_report(&report, options, options->servers[i],
					 topic, "", &error)) {
			failed = ql_command_report_error(command, error);
			continue;
		}
		handler(data, options->servers[i], report);
		json_decref(report);
		answered++;
	}
	if (failed == EX_OK || !answered)
		return failed;
	return QL_EXIT_PARTIAL;
}
