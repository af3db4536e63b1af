#ifndef QL_CLI_PEER_H
#define QL_CLI_PEER_H

/**
 * DOC: Calls of the command line to processes of the cluster.
 */

#include "cli/options.h"
#include "control/rpc_client.h"

#include "control.h"

#include <jansson.h>

G_BEGIN_DECLS

/**
 * ql_peer_fill_greeting() - Fill in the greeting of the command line.
 * @greeting: the greeting; its strings are borrowed
 * @cluster: name of the cluster
 */
void ql_peer_fill_greeting(ql_rpc_greeting *greeting, const char *cluster);

/**
 * ql_peer_call() - Call one process.
 * @address: "IP:port" of its control port
 * @program: number of the RPC program; version 1 is called
 * @call: the call
 * @timeout_ms: how long at most
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_rpc_client_call(); then the result holds
 * nothing.
 */
int ql_peer_call(const char *address, uint32_t program,
		 const ql_rpc_call_t *call, uint64_t timeout_ms,
		 GError **error);

/**
 * typedef ql_peer_request_t - Asks one server.
 * @data: of the caller
 * @address: "IP:port" of its control port
 * @timeout_ms: how long at most
 * @error: detail of a failure
 *
 * Return: 0 or an error code.
 */
typedef int (*ql_peer_request_t)(void *data, const char *address,
				 uint64_t timeout_ms, GError **error);

/**
 * ql_peer_request_any() - Ask the servers in turn until one gives an answer
 * that settles the matter, be it a refusal.
 * @options: the servers, and the time for all of them
 * @request: asks one of them
 * @data: passed to @request
 * @error: what each of them said
 *
 * Return: 0, or the failure of the last one asked.
 */
int ql_peer_request_any(const ql_options_t *options, ql_peer_request_t request,
			void *data, GError **error);

/**
 * ql_peer_is_final() - Whether another server or another try is of no use.
 * @status: 0 or an error code
 *
 * Return: false when the same question may find another answer.
 */
bool ql_peer_is_final(int status);

/**
 * ql_peer_fetch_report() - Ask one process for a report.
 * @out: the report; the caller drops it with json_decref()
 * @options: cluster and time
 * @address: "IP:port" of its control port
 * @topic: name of the report
 * @filter: depends on the topic
 * @error: detail of a failure
 *
 * Return: 0, a failure of ql_peer_call(), the status of the answer, or
 * QL_E_PROTOCOL when it is not JSON.
 */
int ql_peer_fetch_report(json_t **out, const ql_options_t *options,
			 const char *address, const char *topic,
			 const char *filter, GError **error);

/**
 * typedef ql_peer_report_handler_t - Takes the report of one process.
 */
typedef void (*ql_peer_report_handler_t)(void *data, const char *address,
					 json_t *report);

/**
 * ql_peer_fetch_reports() - Ask every server for a report.
 * @options: the servers
 * @command: name of the command, for complaints
 * @topic: name of the report
 * @handler: receives each report, which it borrows
 * @data: passed to @handler
 *
 * A server that does not answer is named on standard error.
 *
 * Return: EX_OK; QL_EXIT_PARTIAL when some did not answer; when none did, the
 * exit status of the last failure.
 */
int ql_peer_fetch_reports(const ql_options_t *options, const char *command,
			  const char *topic, ql_peer_report_handler_t handler,
			  void *data);

G_END_DECLS

#endif
