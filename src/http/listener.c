#include "http/listener_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#include <string.h>

#define LISTEN_BACKLOG 1024
/* Requests of one connection that are handled concurrently. */
#define PIPELINED_REQUESTS_MAX 64u
/* Time for the peer to close after the last byte of the last response. */
#define LINGER_TIMEOUT_MS 1000u
/* A peer that takes no byte of a response for this long is cut off. */
#define UNSENT_STALL_TIMEOUT_MS 5000u

static void exchange_free(ql_http_exchange_t *exchange)
{
	ql_listener_t *listener = exchange->connection->listener;

	listener->n_exchanges--;
	listener->buffered_bytes -= exchange->body->len;
	g_string_free(exchange->target, TRUE);
	ql_headers_finish(&exchange->headers);
	g_byte_array_free(exchange->body, TRUE);
	g_byte_array_free(exchange->out, TRUE);
	g_free(exchange);
}

static ql_http_exchange_t *exchange_new(ql_listener_connection_t *connection)
{
	ql_http_exchange_t *exchange = g_new0(ql_http_exchange_t, 1);

	exchange->connection = connection;
	exchange->target = g_string_new(NULL);
	ql_headers_init(&exchange->headers);
	exchange->body = g_byte_array_new();
	exchange->out = g_byte_array_sized_new(QL_EXCHANGE_BUFFER_BYTES);
	connection->listener->n_exchanges++;
	return exchange;
}

void ql_listener__release_handler(ql_http_exchange_t *exchange)
{
	exchange->ops = NULL;
	exchange->data = NULL;
}

/* Tells the handler, if it is not done with the exchange yet. */
static void cancel_exchange(ql_http_exchange_t *exchange)
{
	const ql_http_exchange_ops_t *ops = exchange->ops;
	void *data = exchange->data;

	ql_listener__release_handler(exchange);
	if (ops)
		ops->cancelled(data);
}

/* Frees all exchanges, after a cancellation of those that have not ended. */
static void drop_exchanges(ql_listener_connection_t *connection)
{
	ql_http_exchange_t *exchange;

	connection->is_dropped = true;
	if (connection->incoming)
		exchange_free(connection->incoming);
	connection->incoming = NULL;
	while ((exchange = g_queue_pop_head(&connection->exchanges))) {
		cancel_exchange(exchange);
		exchange_free(exchange);
	}
}

static void abort_connection(ql_listener_connection_t *connection)
{
	if (connection->stream.closing)
		return;
	drop_exchanges(connection);
	ql_loop_stop_timer(connection->listener->loop, &connection->timer);
	ql_stream_abort(&connection->stream);
}

static void on_closed(void *data)
{
	ql_listener_connection_t *connection = data;

	ql_loop_stop_timer(connection->listener->loop, &connection->timer);
	g_hash_table_remove(connection->listener->connections, connection);
	ql_http_reader_finish(&connection->reader);
	g_free(connection);
}

static void on_ended(void *data, int status G_GNUC_UNUSED)
{
	abort_connection(data);
}

static void start_timer(ql_listener_connection_t *connection,
			uint32_t timeout_ms)
{
	ql_loop_start_timer(connection->listener->loop, &connection->timer,
			    timeout_ms);
}

/* Waits for the peer to read on. */
static void start_stall_timer(ql_listener_connection_t *connection)
{
	connection->unsent_at_timer =
		ql_stream_unsent_bytes(&connection->stream);
	start_timer(connection, UNSENT_STALL_TIMEOUT_MS);
}

/* A peer that still reads the last response is given more time. */
static void on_timeout(void *data)
{
	ql_listener_connection_t *connection = data;
	size_t unsent = ql_stream_unsent_bytes(&connection->stream);

	if (unsent && unsent < connection->unsent_at_timer)
		start_stall_timer(connection);
	else
		abort_connection(connection);
}

/*
 * Starts the head timeout while headers are incomplete, the idle timeout while
 * there is no request, and no timeout otherwise.
 */
static void update_timer(ql_listener_connection_t *connection)
{
	const ql_listener_opts_t *opts = &connection->listener->opts;

	if (connection->reader.started && !connection->incoming)
		start_timer(connection, opts->head_timeout_ms);
	else if (!connection->incoming && !connection->exchanges.length &&
		 connection->stream.pending_bytes)
		start_stall_timer(connection);
	else if (!connection->incoming && !connection->exchanges.length)
		start_timer(connection, opts->idle_timeout_ms);
	else
		ql_loop_stop_timer(connection->listener->loop,
				   &connection->timer);
}

/*
 * Shuts down sending after the last response until the peer has closed. Its
 * time for that starts when the last byte was sent.
 */
static void linger(ql_listener_connection_t *connection)
{
	connection->lingering = true;
	ql_stream_shutdown(&connection->stream);
	if (connection->stream.pending_bytes)
		start_stall_timer(connection);
	else
		start_timer(connection, LINGER_TIMEOUT_MS);
}

/*
 * Asks the client for the body of the request that is being read, once all
 * responses to earlier requests have been sent.
 */
static void send_continue_if_due(ql_listener_connection_t *connection)
{
	static const char response[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (!connection->must_continue || connection->exchanges.length)
		return;
	connection->must_continue = false;
	ql_stream_write(&connection->stream, response, strlen(response));
}

/* Lets the handler of the response that is being sent write more. */
static void notify_drained(ql_listener_connection_t *connection)
{
	ql_http_exchange_t *first = g_queue_peek_head(&connection->exchanges);

	if (first && first->ops && first->ops->drained)
		first->ops->drained(first->data);
}

void ql_listener__flush(ql_listener_connection_t *connection)
{
	ql_http_exchange_t *first;
	bool keep_alive;

	while ((first = g_queue_peek_head(&connection->exchanges))) {
		ql_stream_write(&connection->stream, first->out->data,
				first->out->len);
		g_byte_array_set_size(first->out, 0);
		if (first->aborted) {
			abort_connection(connection);
			return;
		}
		if (!first->ended) {
			/* If bytes are queued, the stream tells of their end.
			 */
			if (!connection->stream.pending_bytes)
				notify_drained(connection);
			return;
		}
		keep_alive = first->keep_alive;
		g_queue_pop_head(&connection->exchanges);
		exchange_free(first);
		if (!keep_alive) {
			drop_exchanges(connection);
			linger(connection);
			return;
		}
	}
	send_continue_if_due(connection);
}

bool ql_listener__is_first(const ql_http_exchange_t *exchange)
{
	return g_queue_peek_head(&exchange->connection->exchanges) == exchange;
}

/* Responds to a request without calling the handler, and stops reading. */
static void reject_request(ql_listener_connection_t *connection,
			   unsigned int status)
{
	ql_http_exchange_t *exchange = connection->incoming;

	connection->listener->rejected_requests++;
	connection->reading_ended = true;
	connection->incoming = NULL;
	if (!exchange) {
		exchange = exchange_new(connection);
		exchange->method = "";
	}
	exchange->keep_alive = false;
	g_queue_push_tail(&connection->exchanges, exchange);
	ql_http_exchange_write_head(exchange, status, NULL, 0);
	ql_http_exchange_end(exchange);
}

/*
 * The parser accepts a space before the colon. Other implementations read such
 * a header differently, which would allow request smuggling.
 */
static bool has_space_in_name(const ql_headers_t *headers)
{
	size_t i;

	for (i = 0; i < ql_headers_count(headers); i++)
		if (strpbrk(ql_headers_name(headers, i), " \t"))
			return true;
	return false;
}

static unsigned int check_head(const ql_listener_connection_t *connection,
			       const ql_http_reader_t *reader)
{
	const ql_listener_opts_t *opts = &connection->listener->opts;
	if (reader->head_bytes > opts->head_limit_bytes)
		return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
	if (has_space_in_name(&reader->headers))
		return HTTP_STATUS_BAD_REQUEST;
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

	exchange = exchange_new(connection);
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
	send_continue_if_due(connection);
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

static const ql_http_reader_ops_t reader_ops = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
};

static void on_received(void *data, const char *bytes, size_t length)
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
	if (connection->exchanges.length >= PIPELINED_REQUESTS_MAX)
		ql_stream_pause(&connection->stream);
	update_timer(connection);
}

void ql_listener__resume_reading(ql_listener_connection_t *connection)
{
	if (connection->exchanges.length < PIPELINED_REQUESTS_MAX)
		ql_stream_resume(&connection->stream);
	update_timer(connection);
}

static void on_drained(void *data)
{
	ql_listener_connection_t *connection = data;

	if (connection->lingering)
		start_timer(connection, LINGER_TIMEOUT_MS);
	else if (connection->exchanges.length)
		notify_drained(connection);
	else
		update_timer(connection);
}

static const ql_stream_ops_t stream_ops = {
	.received = on_received,
	.ended = on_ended,
	.drained = on_drained,
	.closed = on_closed,
};

static void on_connection(uv_stream_t *socket, int status)
{
	ql_listener_t *listener = socket->data;
	ql_listener_connection_t *connection;

	if (status)
		return;
	connection = g_new0(ql_listener_connection_t, 1);
	connection->listener = listener;
	connection->timer.expired = on_timeout;
	connection->timer.data = connection;
	g_queue_init(&connection->exchanges);
	ql_http_reader_init(&connection->reader, true, &reader_ops, connection);
	ql_stream_init(&connection->stream, listener->loop, &stream_ops,
		       connection);
	g_hash_table_add(listener->connections, connection);
	if (ql_stream_accept(&connection->stream, socket) ||
	    g_hash_table_size(listener->connections) >
		    listener->opts.connections)
		abort_connection(connection);
	else
		update_timer(connection);
}

int ql_listener_start(ql_listener_t *listener, ql_loop_t *loop,
		      const ql_listener_opts_t *opts, GError **error)
{
	int status;

	memset(listener, 0, sizeof(*listener));
	listener->loop = loop;
	listener->opts = *opts;
	listener->connections = g_hash_table_new(NULL, NULL);
	uv_tcp_init(&loop->uv, &listener->socket);
	listener->socket.data = listener;
	listener->listening = true;
	status = uv_tcp_bind(&listener->socket,
			     (const struct sockaddr *)&opts->address, 0);
	if (!status)
		status = uv_listen((uv_stream_t *)&listener->socket,
				   LISTEN_BACKLOG, on_connection);
	if (status)
		return ql_error_set(error, QL_E_IO,
				    "cannot listen at port %u:"
				    " %s",
				    ntohs(opts->address.sin_port),
				    uv_strerror(status));
	return 0;
}

uint32_t ql_listener_count_unfinished(const ql_listener_t *listener)
{
	uint32_t n = listener->n_exchanges;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, listener->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const ql_listener_connection_t *connection = key;

		n += connection->stream.pending_bytes || connection->lingering;
	}
	return n;
}

void ql_listener_disable_keep_alive(ql_listener_t *listener)
{
	listener->keep_alive_disabled = true;
}

void ql_listener_stop(ql_listener_t *listener)
{
	GList *connections, *link;

	if (!listener->listening)
		return;
	listener->listening = false;
	uv_close((uv_handle_t *)&listener->socket, NULL);
	connections = g_hash_table_get_keys(listener->connections);
	for (link = connections; link; link = link->next)
		abort_connection(link->data);
	g_list_free(connections);
}

void ql_listener_finish(ql_listener_t *listener)
{
	if (listener->connections)
		g_hash_table_destroy(listener->connections);
}
