#ifndef QL_CLI_PEER_H
#define QL_CLI_PEER_H

/**
 * DOC: Calls from the command line to processes of a cluster.
 */

#include "cli/options.h"
#include "control/rpc_client.h"

#include "control.h"

#include <jansson.h>

G_BEGIN_DECLS

/**
 * ql_peer_fill_greeting() - Fill in the greeting that the command line sends.
 * @greeting: receives the greeting; its strings are borrowed, @cluster too
 * @cluster: name of the cluster
 */
void ql_peer_fill_greeting(ql_rpc_greeting *greeting, const char *cluster);

/**
 * ql_peer_call() - Call a procedure of one process.
 * @address: "IP:port" of the control port of the process
 * @program: number of the RPC program; version 1 is called
 * @call: the procedure, its arguments and where to store its result
 * @timeout_ms: time limit of the call, in milliseconds
 * @error: receives the details of a failure; may be NULL
 *
 * Return: 0, or a failure of ql_rpc_client_call(); after a failure the result
 * is already freed. After success the caller frees it with xdr_free().
 */
int ql_peer_call(const char *address, uint32_t program,
		 const ql_rpc_call_t *call, uint64_t timeout_ms,
		 GError **error);

/**
 * typedef ql_peer_request_t - Sends a request to one server.
 * @data: data of the caller
 * @address: "IP:port" of the control port of the server
 * @timeout_ms: time limit of the request, in milliseconds
 * @error: receives the details of a failure
 *
 * Return: 0 or an error code.
 */
typedef int (*ql_peer_request_t)(void *data, const char *address,
				 uint64_t timeout_ms, GError **error);

/**
 * ql_peer_request_any() - Send a request to one server after the other until
 * one returns a final status, which may be a refusal.
 * @options: the servers, and the time limit for all attempts together
 * @request: sends the request to one server
 * @data: passed to @request
 * @error: receives the errors of all servers of the last round; may be NULL
 *
 * Starts over with the first server, after a pause, when no server returned a
 * final status and time is left.
 *
 * Return: 0, or the status of the last server that was called.
 */
int ql_peer_request_any(const ql_options_t *options, ql_peer_request_t request,
			void *data, GError **error);

/**
 * ql_peer_is_final() - Whether a status is final.
 * @status: 0 or an error code
 *
 * Return: false if another server, or the same server at a later time, may
 * return another status to the same request.
 */
bool ql_peer_is_final(int status);

/**
 * ql_peer_fetch_report() - Fetch a report from one process.
 * @out: receives the report; the caller drops it with json_decref()
 * @options: the cluster, and the time limit of the call
 * @address: "IP:port" of the control port of the process
 * @topic: name of the report
 * @filter: filter of the report, whose syntax depends on the topic; "" for
 *          the whole report
 * @error: receives the details of a failure; may be NULL
 *
 * Return: 0, a failure of ql_peer_call(), the status of the answer, or
 * QL_E_PROTOCOL when the report is not valid JSON.
 */
int ql_peer_fetch_report(json_t **out, const ql_options_t *options,
			 const char *address, const char *topic,
			 const char *filter, GError **error);

/**
 * typedef ql_peer_report_handler_t - Handles the report of one process.
 * @data: data of the caller
 * @address: "IP:port" of the control port of the process
 * @report: the report; borrowed
 */
typedef void (*ql_peer_report_handler_t)(void *data, const char *address,
					 json_t *report);

/**
 * ql_peer_fetch_reports() - Fetch a report from every server.
 * @options: the cluster, the servers, and the time limit of each call
 * @command: name of the command, for error messages
 * @topic: name of the report
 * @handler: called with each report, in the order of the servers
 * @data: passed to @handler
 *
 * Prints an error to standard error for each server that fails.
 *
 * Return: EX_OK if all servers returned a report; QL_EXIT_PARTIAL if some did;
 * otherwise the exit status for the failure of the last server.
 */
int ql_peer_fetch_reports(const ql_options_t *options, const char *command,
			  const char *topic, ql_peer_report_handler_t handler,
			  void *data);

G_END_DECLS

#endif
