#ifndef QL_NODE_PATH_JOBS_H
#define QL_NODE_PATH_JOBS_H

/**
 * DOC: News that the threads beside the path of calls hand to its loop.
 */

#include "node/path_node.h"

G_BEGIN_DECLS

void ql_path_jobs_add_endpoint(ql_path_node_t *node, const char *service,
			       const ql_endpoint_info_t *info);
void ql_path_jobs_remove_endpoint(ql_path_node_t *node, const char *service,
				  const char *gate);
void ql_path_jobs_set_document(ql_path_node_t *node, ql_document_t *doc);
void ql_path_jobs_set_ready(ql_path_node_t *node);

/**
 * ql_path_jobs_apply_report() - Hand on an announcement of the endpoint.
 *
 * Return: 0 or QL_E_FULL.
 */
int ql_path_jobs_apply_report(ql_path_node_t *node,
			      const ql_instance_report_t *report);
int ql_path_jobs_deregister(ql_path_node_t *node, const char *instance);

/**
 * ql_path_jobs_count_in_flight() - Have the loop count what is in progress.
 */
void ql_path_jobs_count_in_flight(ql_path_node_t *node);

/**
 * ql_path_jobs_disable_keep_alive() - Have every answer close its connection.
 */
void ql_path_jobs_disable_keep_alive(ql_path_node_t *node);

/**
 * ql_path_jobs_drain_gate() - Have the local gate take nothing new.
 */
void ql_path_jobs_drain_gate(ql_path_node_t *node);

/**
 * ql_path_jobs_refuse_new_requests() - Have requests of clients refused from
 * now on.
 */
void ql_path_jobs_refuse_new_requests(ql_path_node_t *node);

/**
 * ql_path_jobs_set_repeat_ratio() - Have the loop take over the ratio of
 * repeats.
 */
void ql_path_jobs_set_repeat_ratio(ql_path_node_t *node);

/**
 * ql_path_jobs_fail_all() - Have what is in progress answered with a failure.
 */
void ql_path_jobs_fail_all(ql_path_node_t *node);

/**
 * ql_path_jobs_stop() - Have the loop close everything and end.
 */
void ql_path_jobs_stop(ql_path_node_t *node);

G_END_DECLS

#endif
