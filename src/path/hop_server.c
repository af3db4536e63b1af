#include "path/hop_server.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"
#include "quetzalloft/metadata.h"

#include <string.h>

/* Reading a response is paused while more bytes wait for a slow peer. */
#define UNSENT_RESPONSE_MAX_BYTES (256u << 10)

/* A call of another node that is served by the local gate. */
typedef struct {
	const ql_dialect_t *dialect;
	ql_metadata_t metadata;
	ql_http_exchange_t *exchange;
	ql_call_handle_t handle;
	bool head_sent;
	bool paused;
} served_call_t;

/*
 * Writes the outcome, load level, occupancy, pressure and retry delay of a
 * call, and echoes its attempt.
 */
static void write_result(GByteArray *out, const ql_metadata_t *request,
			 const ql_call_result_t *result)
{
	ql_metadata_t metadata;

	ql_call_write_outcome(out, result->outcome, result->reason);
	ql_metadata_init(&metadata);
	metadata.has = request->has & QL_HAS_ATTEMPT;
	metadata.attempt = request->attempt;
	metadata.pressure = (uint64_t)MIN(result->pressure * QL_PRESSURE_SCALE,
					  QL_PRESSURE_MAX_PERMILLE);
	if (result->has_load_level)
		metadata.has |= QL_HAS_LOAD_LEVEL;
	if (metadata.pressure)
		metadata.has |= QL_HAS_PRESSURE;
	metadata.load_level = result->load_level;
	if (result->has_occupancy)
		metadata.has |= QL_HAS_OCCUPANCY;
	metadata.occupancy =
		(uint64_t)MIN(MAX(result->occupancy, 0) * QL_OCCUPANCY_SCALE,
			      QL_OCCUPANCY_MAX_PERMILLE);
	ql_call_write_metadata(out, &metadata);
	if (result->retry_after_ms)
		ql_call_write_retry_after(out, result->retry_after_ms);
}

static void send_failure(ql_http_exchange_t *exchange, const char *request_id,
			 const ql_metadata_t *request,
			 const ql_call_result_t *result)
{
	const char *id = ql_headers_get(&exchange->headers, request_id);
	GByteArray *headers = g_byte_array_new();

	if (id)
		ql_headers_write(headers, request_id, id);
	write_result(headers, request, result);
	ql_http_exchange_write_head(exchange, HTTP_STATUS_SERVICE_UNAVAILABLE,
				    headers, 0);
	ql_http_exchange_end(exchange);
	g_byte_array_free(headers, TRUE);
}

static void on_head(void *data, const ql_response_head_t *head)
{
	served_call_t *served = data;
	const ql_call_result_t result = {
		.outcome = QL_OUTCOME_ANSWERED,
		.pressure = head->pressure,
		.has_occupancy = head->has_occupancy,
		.occupancy = head->occupancy,
	};
	GByteArray *lines = g_byte_array_sized_new(512);

	ql_call_write_headers(lines, served->dialect, head->headers);
	write_result(lines, &served->metadata, &result);
	served->head_sent = true;
	ql_http_exchange_write_head(served->exchange, head->status, lines,
				    head->length);
	g_byte_array_free(lines, TRUE);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	served_call_t *served = data;

	ql_http_exchange_write(served->exchange, bytes, length);
	if (!served->paused && served->handle.call &&
	    ql_http_exchange_pending(served->exchange) >
		    UNSENT_RESPONSE_MAX_BYTES) {
		served->paused = true;
		served->handle.ops->pause(served->handle.call);
	}
}

static void on_complete(void *data,
			const ql_call_result_t *result G_GNUC_UNUSED)
{
	served_call_t *served = data;

	ql_http_exchange_end(served->exchange);
	g_free(served);
}

static void on_failed(void *data, const ql_call_result_t *result)
{
	served_call_t *served = data;

	if (served->head_sent)
		ql_http_exchange_abort(served->exchange);
	else
		send_failure(served->exchange, served->dialect->request_id,
			     &served->metadata, result);
	g_free(served);
}

static const ql_call_sink_t sink = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

static void on_cancelled(void *data)
{
	served_call_t *served = data;

	if (served->handle.call)
		served->handle.ops->cancel(served->handle.call);
	g_free(served);
}

static void on_drained(void *data)
{
	served_call_t *served = data;

	if (!served->paused)
		return;
	served->paused = false;
	served->handle.ops->resume(served->handle.call);
}

static const ql_http_exchange_ops_t exchange_ops = {
	.cancelled = on_cancelled,
	.drained = on_drained,
};

static bool read_metadata(ql_metadata_t *metadata, const ql_headers_t *headers)
{
	const uint32_t required =
		QL_HAS_TIMEOUT | QL_HAS_SERVICE | QL_HAS_CLASS;
	size_t i;

	ql_metadata_init(metadata);
	for (i = 0; i < ql_headers_count(headers); i++)
		if (ql_call_is_protocol_header(ql_headers_name(headers, i)) &&
		    ql_metadata_add(metadata, ql_headers_name(headers, i),
				    ql_headers_value(headers, i), NULL))
			return false;
	return (metadata->has & required) == required;
}

/* A class that is not in the document of this node yet is shed first. */
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
	const char *request_id = server->gate->opts.dialect->request_id;
	const char *id = ql_headers_get(&exchange->headers, request_id);
	const ql_call_result_t malformed = {
		.outcome = QL_OUTCOME_NOT_RUN,
		.reason = QL_REASON_BAD_REQUEST,
	};
	ql_metadata_t metadata;
	ql_call_handle_t handle;
	served_call_t *served;
	ql_path_call_t call;

	if (!read_metadata(&metadata, &exchange->headers)) {
		send_failure(exchange, request_id, &metadata, &malformed);
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
		.repeat = metadata.repeat != 0,
		.idempotent = metadata.idempotent != 0,
		.deadline_us = exchange->received_us +
			       metadata.timeout_ms * QL_US_PER_MS,
	};
	served = g_new0(served_call_t, 1);
	served->dialect = server->gate->opts.dialect;
	served->metadata = metadata;
	served->exchange = exchange;
	exchange->ops = &exchange_ops;
	exchange->data = served;
	ql_local_gate_call(server->gate, &call, &sink, served, &handle);
	/* Without a handle the call has ended and is freed. */
	if (handle.call)
		served->handle = handle;
}
