#include "http/listener_internal.h"
#include "quetzalloft/clock.h"

#include <string.h>

/* Responds to a request without calling the handler, and stops reading. */
static void reject_request(ql_listener_connection_t *connection,
			   unsigned int status)
{
	ql_http_exchange_t *exchange = connection->incoming;

	connection->listener->rejected_requests++;
	connection->reading_ended = true;
	connection->incoming = NULL;
	if (!exchange) {
		exchange = ql_listener__exchange_new(connection);
		exchange->method = "";
	}
	exchange->keep_alive = false;
	g_queue_push_tail(&connection->exchanges, exchange);
	ql_http_exchange_write_head(exchange, status, NULL, 0);
	ql_http_exchange_end(exchange);
}

static unsigned int check_head(const ql_listener_connection_t *connection,
			       const ql_http_reader_t *reader)
{
	const ql_listener_opts_t *opts = &connection->listener->opts;
	if (reader->head_bytes > opts->head_limit_bytes)
		return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
	if (reader->parser.method == HTTP_CONNECT)
		return HTTP_STATUS_NOT_IMPLEMENTED;
	if (ql_http_reader_length(reader) > (int64_t)opts->body_limit_bytes)
		return HTTP_STATUS_PAYLOAD_TOO_LARGE;
	return 0;
}

static bool on_head(void *data, ql_http_reader_t *reader)
{
	ql_listener_connection_t *connection = data;
	ql_http_exchange_t *exchange;
	unsigned int status = check_head(connection, reader);

	exchange = ql_listener__exchange_new(connection);
	connection->incoming = exchange;
	exchange->method = ql_http_reader_method(reader);
	exchange->keep_alive = ql_http_reader_keep_alive(reader);
	exchange->is_http_1_0 = !reader->parser.http_minor;
	g_string_assign(exchange->target, reader->target->str);
	ql_headers_swap(&exchange->headers, &reader->headers);
	if (status) {
		reject_request(connection, status);
		return false;
	}
	connection->must_continue =
		ql_headers_get(&exchange->headers, "expect") != NULL;
	ql_listener__send_continue(connection);
	return true;
}

static void on_body(void *data, const char *bytes, size_t length)
{
	ql_listener_connection_t *connection = data;
	ql_listener_t *listener = connection->listener;
	ql_http_exchange_t *exchange = connection->incoming;

	if (!exchange)
		return;
	if (exchange->body->len + length > listener->opts.body_limit_bytes) {
		reject_request(connection, HTTP_STATUS_PAYLOAD_TOO_LARGE);
		return;
	}
	if (listener->buffered_bytes + length >
	    listener->opts.buffer_limit_bytes) {
		reject_request(connection, HTTP_STATUS_SERVICE_UNAVAILABLE);
		return;
	}
	listener->buffered_bytes += length;
	g_byte_array_append(exchange->body, (const guint8 *)bytes,
			    (guint)length);
}

/* Notifies a handler of a later request; true if it ended its exchange. */
static bool notify_exchange(ql_http_exchange_t *exchange,
			    uint64_t successor_deadline_us)
{
	return exchange->ops && exchange->ops->successor_received &&
	       exchange->ops->successor_received(exchange->data,
						 successor_deadline_us);
}

/*
 * Notifies the handlers of all earlier exchanges of the last request. When a
 * handler ends its exchange, others can be flushed and freed, so the iteration
 * starts again.
 */
static void notify_earlier_exchanges(ql_listener_connection_t *connection,
				     const ql_http_exchange_t *last)
{
	uint64_t successor_deadline_us = last->deadline_us;
	GList *link = connection->exchanges.head;

	while (link && link->data != last) {
		if (!notify_exchange(link->data, successor_deadline_us))
			link = link->next;
		else if (connection->is_dropped)
			return;
		else
			link = connection->exchanges.head;
	}
}

static bool on_complete(void *data, ql_http_reader_t *reader G_GNUC_UNUSED)
{
	ql_listener_connection_t *connection = data;
	ql_http_exchange_t *exchange = connection->incoming;

	if (!exchange)
		return false;
	connection->incoming = NULL;
	connection->must_continue = false;
	exchange->received_us = ql_clock_now_us();
	if (!exchange->keep_alive)
		connection->reading_ended = true;
	g_queue_push_tail(&connection->exchanges, exchange);
	connection->listener->opts.handle(connection->listener->opts.data,
					  exchange);
	if (!connection->is_dropped &&
	    g_queue_peek_tail(&connection->exchanges) == exchange &&
	    exchange->deadline_us)
		notify_earlier_exchanges(connection, exchange);
	return !connection->is_dropped && !connection->reading_ended;
}

const ql_http_reader_ops_t ql_listener__reader_ops = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
};

void ql_listener__received(void *data, const char *bytes, size_t length)
{
	ql_listener_connection_t *connection = data;
	ql_http_read_t result;
	size_t used;

	if (connection->reading_ended || connection->lingering)
		return;
	result = ql_http_reader_feed(&connection->reader, bytes, length, &used);
	if (connection->is_dropped)
		return;
	if (result == QL_HTTP_READ_MALFORMED && !connection->reading_ended)
		reject_request(connection, HTTP_STATUS_BAD_REQUEST);
	if (connection->is_dropped || connection->lingering)
		return;
	if (connection->exchanges.length >= QL_PIPELINED_REQUESTS_MAX)
		ql_stream_pause(&connection->stream);
	ql_listener__update_timer(connection);
}
