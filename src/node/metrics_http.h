#ifndef QL_NODE_METRICS_HTTP_H
#define QL_NODE_METRICS_HTTP_H

/**
 * DOC: Counters and latencies in the Prometheus text format, for readers that
 * fetch them at an address of their own.
 */

#include "node/http_server.h"
#include "node/settings.h"
#include "util/counters.h"

G_BEGIN_DECLS

/**
 * struct ql_metrics_http - The listener.
 * @counters: what is served; borrowed
 */
typedef struct ql_metrics_http {
	ql_http_server_t server;
	const ql_counters_t *counters;
} ql_metrics_http_t;

/**
 * ql_metrics_http_start() - Serve metrics.
 * @metrics: zeros
 * @settings: where, if at all; borrowed
 * @counters: what is served
 * @error: filled in on failure
 *
 * Return: 0, or why it cannot listen there.
 */
int ql_metrics_http_start(ql_metrics_http_t *metrics,
			  const ql_settings_t *settings,
			  const ql_counters_t *counters, GError **error);

void ql_metrics_http_stop(ql_metrics_http_t *metrics);

G_END_DECLS

#endif
