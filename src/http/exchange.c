#include "http/listener_internal.h"

#include <stdio.h>
#include <string.h>

static const char *status_text(unsigned int status)
{
	switch (status) {
#define QL_STATUS(number, name, text) \
	case number:                  \
		return #text;
		HTTP_STATUS_MAP(QL_STATUS)
#undef QL_STATUS
	default:
		return "Unknown";
	}
}

/* Checks that no later request was read, in full or in part. */
static bool is_last(const ql_http_exchange_t *exchange)
{
	const ql_listener_connection_t *connection = exchange->connection;

	return !connection->incoming &&
	       g_queue_peek_tail((GQueue *)&connection->exchanges) == exchange;
}

/* Checks whether too many connections are open to keep them alive. */
static bool exceeds_keep_alive_max(const ql_listener_t *listener)
{
	return listener->opts.keep_alive_max &&
	       g_hash_table_size(listener->connections) >
		       listener->opts.keep_alive_max;
}

static void append(ql_http_exchange_t *exchange, const void *bytes,
		   size_t length)
{
	g_byte_array_append(exchange->out, bytes, (guint)length);
}

static void write_framing(ql_http_exchange_t *exchange, unsigned int status,
			  int64_t length)
{
	if (status == HTTP_STATUS_NO_CONTENT ||
	    status == HTTP_STATUS_NOT_MODIFIED) {
		exchange->bodiless = true;
	} else if (length >= 0) {
		ql_headers_write_uint(exchange->out, "Content-Length",
				      (uint64_t)length);
	} else if (exchange->is_http_1_0) {
		exchange->keep_alive = false;
	} else {
		exchange->chunked = true;
		ql_headers_write(exchange->out, "Transfer-Encoding", "chunked");
	}
	if (!strcmp(exchange->method, "HEAD"))
		exchange->bodiless = true;
}

void ql_http_exchange_write_head(ql_http_exchange_t *exchange,
				 unsigned int status, const GByteArray *headers,
				 int64_t length)
{
	const ql_listener_t *listener = exchange->connection->listener;
	char line[64];

	if ((listener->keep_alive_disabled ||
	     exceeds_keep_alive_max(listener)) &&
	    is_last(exchange)) {
		exchange->keep_alive = false;
		exchange->connection->reading_ended = true;
	}
	snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
		 status_text(status));
	append(exchange, line, strlen(line));
	if (headers)
		append(exchange, headers->data, headers->len);
	write_framing(exchange, status, length);
	if (!exchange->keep_alive)
		ql_headers_write(exchange->out, "Connection", "close");
	append(exchange, "\r\n", 2);
}

void ql_http_exchange_write(ql_http_exchange_t *exchange, const void *bytes,
			    size_t length)
{
	char line[24];

	if (exchange->bodiless || !length)
		return;
	if (exchange->chunked) {
		snprintf(line, sizeof(line), "%zx\r\n", length);
		append(exchange, line, strlen(line));
	}
	append(exchange, bytes, length);
	if (exchange->chunked)
		append(exchange, "\r\n", 2);
	if (ql_listener__is_first(exchange) &&
	    exchange->out->len >= QL_EXCHANGE_BUFFER_BYTES * 16)
		ql_listener__flush(exchange->connection);
}

void ql_http_exchange_end(ql_http_exchange_t *exchange)
{
	ql_listener_connection_t *connection = exchange->connection;

	if (exchange->chunked && !exchange->bodiless)
		append(exchange, "0\r\n\r\n", 5);
	ql_listener__release_handler(exchange);
	exchange->ended = true;
	if (!ql_listener__is_first(exchange))
		return;
	ql_listener__flush(connection);
	if (!connection->is_dropped)
		ql_listener__resume_reading(connection);
}

void ql_http_exchange_abort(ql_http_exchange_t *exchange)
{
	ql_listener__release_handler(exchange);
	exchange->aborted = true;
	if (ql_listener__is_first(exchange))
		ql_listener__flush(exchange->connection);
}

bool ql_http_exchange_discard(ql_http_exchange_t *exchange)
{
	if (ql_listener__is_first(exchange))
		return false;
	g_byte_array_set_size(exchange->out, 0);
	exchange->chunked = false;
	exchange->bodiless = false;
	return true;
}

size_t ql_http_exchange_pending(const ql_http_exchange_t *exchange)
{
	const ql_listener_connection_t *connection = exchange->connection;
	size_t pending = connection->stream.pending_bytes;
	GList *link;

	if (ql_listener__is_first(exchange))
		return pending + exchange->out->len;
	for (link = connection->exchanges.head; link; link = link->next)
		pending += ((ql_http_exchange_t *)link->data)->out->len;
	return pending;
}
