#ifndef QL_NODE_PATH_JOBS_H
#define QL_NODE_PATH_JOBS_H

/**
 * DOC: News that the threads beside the path of calls hand to its loop.
 */

#include "node/path_node.h"

G_BEGIN_DECLS

void ql_path_jobs_endpoint_up(ql_path_node_t *node, const char *service,
			      const ql_endpoint_info_t *info);
void ql_path_jobs_endpoint_gone(ql_path_node_t *node, const char *service,
				const char *gate);
void ql_path_jobs_document(ql_path_node_t *node, ql_document_t *doc);
void ql_path_jobs_ready(ql_path_node_t *node);

/**
 * ql_path_jobs_report() - Hand on an announcement of the endpoint.
 *
 * Return: 0 or QL_E_FULL.
 */
int ql_path_jobs_report(ql_path_node_t *node,
			const ql_instance_report_t *report);
int ql_path_jobs_leave(ql_path_node_t *node, const char *instance);

/**
 * ql_path_jobs_count() - Have the loop count what is in progress.
 */
void ql_path_jobs_count(ql_path_node_t *node);

/**
 * ql_path_jobs_begin_close() - Have every answer close its connection.
 */
void ql_path_jobs_begin_close(ql_path_node_t *node);

/**
 * ql_path_jobs_drain_gate() - Have the local gate take nothing new.
 */
void ql_path_jobs_drain_gate(ql_path_node_t *node);

/**
 * ql_path_jobs_refuse_new() - Have requests of clients refused from now on.
 */
void ql_path_jobs_refuse_new(ql_path_node_t *node);

/**
 * ql_path_jobs_set_ratio() - Have the loop take over the ratio of repeats.
 */
void ql_path_jobs_set_ratio(ql_path_node_t *node);

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
