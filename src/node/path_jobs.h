#ifndef QL_NODE_PATH_JOBS_H
#define QL_NODE_PATH_JOBS_H

/**
 * DOC: Jobs that other threads post to the event loop of the call path. Each
 * function copies its arguments, may be called from any thread, and returns
 * before the job has run. If the job queue is full, the job is dropped and
 * logged.
 */

#include "node/path_node.h"

G_BEGIN_DECLS

/**
 * ql_path_jobs_add_endpoint() - Add or update an endpoint of a service.
 * @node: the node
 * @service: name of the service
 * @info: the endpoint
 */
void ql_path_jobs_add_endpoint(ql_path_node_t *node, const char *service,
			       const ql_endpoint_info_t *info);

/**
 * ql_path_jobs_remove_endpoint() - Remove an endpoint of a service.
 * @node: the node
 * @service: name of the service
 * @gate: "IP:port" of the gate of the endpoint
 */
void ql_path_jobs_remove_endpoint(ql_path_node_t *node, const char *service,
				  const char *gate);

/**
 * ql_path_jobs_set_document() - Switch to another document.
 * @node: the node
 * @doc: the document; a reference is taken
 */
void ql_path_jobs_set_document(ql_path_node_t *node, ql_document_t *doc);

/**
 * ql_path_jobs_prove_keys() - Pass a proof that the document is the newest to
 * the front end, after the documents that were passed before.
 * @node: the node
 * @proof: the proof; copied
 */
void ql_path_jobs_prove_keys(ql_path_node_t *node, const ql_key_proof_t *proof);

/**
 * ql_path_jobs_set_ready() - Start to serve requests.
 * @node: the node
 */
void ql_path_jobs_set_ready(ql_path_node_t *node);

/**
 * ql_path_jobs_apply_report() - Apply a report of the local endpoint.
 * @node: the node
 * @report: the report
 *
 * Return: 0, or QL_E_FULL if the job queue is full.
 */
int ql_path_jobs_apply_report(ql_path_node_t *node,
			      const ql_instance_report_t *report);

/**
 * ql_path_jobs_withdraw() - Withdraw the local endpoint.
 * @node: the node
 * @withdrawal: the withdrawal
 *
 * Return: 0, or QL_E_FULL if the job queue is full.
 */
int ql_path_jobs_withdraw(ql_path_node_t *node,
			  const ql_withdrawal_t *withdrawal);

/**
 * ql_path_jobs_open_gate() - Accept calls at the local gate, as the earlier
 * withdrawals of the endpoint are known.
 * @node: the node
 */
void ql_path_jobs_open_gate(ql_path_node_t *node);

/**
 * ql_path_jobs_count_in_flight() - Update the number of requests in flight.
 * @node: the node; its @requests_in_flight is set
 */
void ql_path_jobs_count_in_flight(ql_path_node_t *node);

/**
 * ql_path_jobs_begin_drain() - Close each client connection after its next
 * response, and refuse requests that would not end in time.
 * @node: the node
 * @end_us: when the requests in flight will be failed
 */
void ql_path_jobs_begin_drain(ql_path_node_t *node, uint64_t end_us);

/**
 * ql_path_jobs_drain_gate() - Refuse new calls at the local gate, and close
 * each connection of other nodes after its next response.
 * @node: the node
 */
void ql_path_jobs_drain_gate(ql_path_node_t *node);

/**
 * ql_path_jobs_refuse_new_requests() - Refuse new requests of clients.
 * @node: the node
 */
void ql_path_jobs_refuse_new_requests(ql_path_node_t *node);

/**
 * ql_path_jobs_set_repeat_ratio() - Apply the retry budget of the settings in
 * force.
 * @node: the node
 */
void ql_path_jobs_set_repeat_ratio(ql_path_node_t *node);

/**
 * ql_path_jobs_fail_all() - Fail all requests in flight.
 * @node: the node
 */
void ql_path_jobs_fail_all(ql_path_node_t *node);

/**
 * ql_path_jobs_stop() - Stop the listeners, the gate and the loop.
 * @node: the node
 */
void ql_path_jobs_stop(ql_path_node_t *node);

G_END_DECLS

#endif
