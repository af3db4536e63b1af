#include "path/hop_server.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"
#include "quetzalloft/metadata.h"

#include <string.h>

/* Bytes of an answer that may wait for a slow peer. */
#define PENDING_MAX_BYTES (256u << 10)

typedef struct {
	ql_http_exchange_t *exchange;
	ql_call_handle_t callee;
	bool begun;
	bool paused;
} taken_t;

/* What the caller's node is told beside an outcome. */
static void write_end(GByteArray *out, const ql_call_result_t *end)
{
	ql_metadata_t metadata;

	ql_call_write_outcome(out, end->outcome, end->reason);
	ql_metadata_init(&metadata);
	metadata.pressure = (uint64_t)MIN(end->pressure * QL_PRESSURE_ONE,
					  QL_PRESSURE_MAX_PERMILLE);
	if (end->has_level)
		metadata.has |= QL_HAS_LEVEL;
	if (metadata.pressure)
		metadata.has |= QL_HAS_PRESSURE;
	metadata.level = end->level;
	ql_call_write_metadata(out, &metadata);
	if (end->retry_after_ms)
		ql_call_write_retry_after(out, end->retry_after_ms);
}

static void answer_failure(ql_http_exchange_t *exchange,
			   const ql_call_result_t *end)
{
	GByteArray *headers = g_byte_array_new();

	write_end(headers, end);
	ql_http_exchange_write_head(exchange, HTTP_STATUS_SERVICE_UNAVAILABLE,
				    headers, 0);
	ql_http_exchange_end(exchange);
	g_byte_array_free(headers, TRUE);
}

static void on_head(void *data, const ql_response_head_t *head)
{
	taken_t *taken = data;
	const ql_call_result_t end = {
		.outcome = QL_OUTCOME_ANSWERED,
		.pressure = head->pressure,
	};
	GByteArray *lines = g_byte_array_sized_new(512);

	ql_call_write_headers(lines, head->headers);
	write_end(lines, &end);
	taken->begun = true;
	ql_http_exchange_write_head(taken->exchange, head->status, lines,
				    head->length);
	g_byte_array_free(lines, TRUE);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	taken_t *taken = data;

	ql_http_exchange_write(taken->exchange, bytes, length);
	if (!taken->paused && taken->callee.call &&
	    ql_http_exchange_pending(taken->exchange) > PENDING_MAX_BYTES) {
		taken->paused = true;
		taken->callee.ops->pause(taken->callee.call);
	}
}

static void on_complete(void *data, const ql_call_result_t *end G_GNUC_UNUSED)
{
	taken_t *taken = data;

	ql_http_exchange_end(taken->exchange);
	g_free(taken);
}

static void on_failed(void *data, const ql_call_result_t *end)
{
	taken_t *taken = data;

	if (taken->begun)
		ql_http_exchange_abort(taken->exchange);
	else
		answer_failure(taken->exchange, end);
	g_free(taken);
}

static const ql_call_sink_t sink = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

static void on_cancelled(void *data)
{
	taken_t *taken = data;

	if (taken->callee.call)
		taken->callee.ops->cancel(taken->callee.call);
	g_free(taken);
}

static void on_drained(void *data)
{
	taken_t *taken = data;

	if (!taken->paused)
		return;
	taken->paused = false;
	taken->callee.ops->resume(taken->callee.call);
}

static const ql_http_exchange_ops_t exchange_ops = {
	.cancelled = on_cancelled,
	.drained = on_drained,
};

static bool read_metadata(ql_metadata_t *metadata, const ql_headers_t *headers)
{
	const uint32_t needed = QL_HAS_TIMEOUT | QL_HAS_SERVICE | QL_HAS_CLASS;
	size_t i;

	ql_metadata_init(metadata);
	for (i = 0; i < ql_headers_count(headers); i++)
		if (ql_call_is_protocol_header(ql_headers_name(headers, i)) &&
		    ql_metadata_add(metadata, ql_headers_name(headers, i),
				    ql_headers_value(headers, i), NULL))
			return false;
	return (metadata->has & needed) == needed;
}

/* A class that this node's document does not know yet is shed first. */
static uint32_t shed_order(ql_hop_server_t *server, const char *class_name)
{
	ql_document_t *doc = server->document(server->data);
	uint32_t order = 0;
	size_t i;

	for (i = 0; i < doc->n_classes; i++)
		if (!strcmp(doc->classes[i].name, class_name))
			order = (uint32_t)doc->classes[i].shed_order;
	ql_document_unref(doc);
	return order;
}

void ql_hop_server_handle(void *data, ql_http_exchange_t *exchange)
{
	ql_hop_server_t *server = data;
	const char *id = ql_headers_get(&exchange->headers,
					server->gate->opts.dialect->request_id);
	const ql_call_result_t malformed = {
		.outcome = QL_OUTCOME_NOT_RUN,
		.reason = QL_REASON_BAD_REQUEST,
	};
	ql_metadata_t metadata;
	ql_call_handle_t callee;
	taken_t *taken;
	ql_path_call_t call;

	if (!read_metadata(&metadata, &exchange->headers)) {
		answer_failure(exchange, &malformed);
		return;
	}
	if (metadata.has & QL_HAS_VERSION)
		server->version_received(server->data, metadata.version);
	call = (ql_path_call_t){
		.method = exchange->method,
		.target = exchange->target->str,
		.headers = &exchange->headers,
		.body = exchange->body,
		.id = id ? id : "",
		.service = metadata.service,
		.class_name = metadata.class_name,
		.shed_order = shed_order(server, metadata.class_name),
		.under_way = metadata.under_way != 0,
		.idempotent = metadata.idempotent != 0,
		.deadline_us = exchange->received_us +
			       metadata.timeout_ms * QL_US_PER_MS,
	};
	taken = g_new0(taken_t, 1);
	taken->exchange = exchange;
	exchange->ops = &exchange_ops;
	exchange->data = taken;
	ql_local_gate_call(server->gate, &call, &sink, taken, &callee);
	/* Otherwise it has ended, and the memory is gone. */
	if (callee.call)
		taken->callee = callee;
}
