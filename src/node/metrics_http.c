#include "node/metrics_http.h"
#include "node/http_response.h"

#include <string.h>

#define PATH_METRICS "/metrics"
#define PROMETHEUS_TEXT_TYPE "text/plain; version=0.0.4"
#define METRICS_CONNECTIONS_MAX 16u
#define BODY_LIMIT_BYTES 1024u

static void handle(void *data, const struct _u_request *request,
		   struct _u_response *response)
{
	const ql_metrics_http_t *metrics = data;
	char *text;

	if (strcmp(request->url_path, PATH_METRICS) != 0) {
		ql_response_set_text(response, 404, "text/plain",
				     "not found\n");
		return;
	}
	text = ql_counters_format_prometheus(metrics->counters);
	ql_response_set_text(response, 200, PROMETHEUS_TEXT_TYPE, text);
	g_free(text);
}

int ql_metrics_http_start(ql_metrics_http_t *metrics,
			  const ql_settings_t *settings,
			  const ql_counters_t *counters, GError **error)
{
	const ql_http_server_opts_t opts = {
		.address = settings->address,
		.connections = METRICS_CONNECTIONS_MAX,
		.body_limit_bytes = BODY_LIMIT_BYTES,
		.handle = handle,
		.data = metrics,
	};

	if (!settings->listen.metrics[0])
		return 0;
	metrics->counters = counters;
	return ql_http_server_start_at(&metrics->server, &opts,
				       settings->listen.metrics, error);
}

void ql_metrics_http_stop(ql_metrics_http_t *metrics)
{
	ql_http_server_stop(&metrics->server);
}
