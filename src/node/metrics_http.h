#ifndef QL_NODE_METRICS_HTTP_H
#define QL_NODE_METRICS_HTTP_H

/**
 * DOC: Counters, gauges and latencies in the Prometheus text format, served at
 * an address of their own.
 */

#include "node/http_server.h"
#include "node/settings.h"
#include "util/counters.h"

G_BEGIN_DECLS

/**
 * struct ql_metrics_http - The listener for readers of metrics.
 * @server: the listener; zeros when it does not run
 * @counters: counters, gauges and latencies to serve; borrowed
 */
typedef struct ql_metrics_http {
	ql_http_server_t server;
	const ql_counters_t *counters;
} ql_metrics_http_t;

/**
 * ql_metrics_http_start() - Start the listener.
 * @metrics: zeros
 * @settings: settings with the address in @listen; when that is "", nothing is
 *            started and 0 returned
 * @counters: counters, gauges and latencies to serve; borrowed
 * @error: set on failure
 *
 * Return: 0 or an error of ql_http_server_start_at().
 */
int ql_metrics_http_start(ql_metrics_http_t *metrics,
			  const ql_settings_t *settings,
			  const ql_counters_t *counters, GError **error);

/**
 * ql_metrics_http_stop() - Stop the listener; does nothing when it does not
 * run.
 * @metrics: the listener
 */
void ql_metrics_http_stop(ql_metrics_http_t *metrics);

G_END_DECLS

#endif
