#include "http/listener_internal.h"

#include <string.h>

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

ql_http_exchange_t *
ql_listener__exchange_new(ql_listener_connection_t *connection)
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

void ql_listener__abort(ql_listener_connection_t *connection)
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
	ql_listener__abort(data);
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
void ql_listener__timed_out(void *data)
{
	ql_listener_connection_t *connection = data;
	size_t unsent = ql_stream_unsent_bytes(&connection->stream);

	if (unsent && unsent < connection->unsent_at_timer)
		start_stall_timer(connection);
	else
		ql_listener__abort(connection);
}

/*
 * Starts the head timeout while headers are incomplete, the idle timeout while
 * there is no request, and no timeout otherwise.
 */
void ql_listener__update_timer(ql_listener_connection_t *connection)
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
void ql_listener__send_continue(ql_listener_connection_t *connection)
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
			ql_listener__abort(connection);
			return;
		}
		if (!first->ended) {
			/* Else the stream tells when the queue is empty. */
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
	ql_listener__send_continue(connection);
}

bool ql_listener__is_first(const ql_http_exchange_t *exchange)
{
	return g_queue_peek_head(&exchange->connection->exchanges) == exchange;
}

void ql_listener__resume_reading(ql_listener_connection_t *connection)
{
	if (connection->exchanges.length < QL_PIPELINED_REQUESTS_MAX)
		ql_stream_resume(&connection->stream);
	ql_listener__update_timer(connection);
}

static void on_drained(void *data)
{
	ql_listener_connection_t *connection = data;

	if (connection->lingering)
		start_timer(connection, LINGER_TIMEOUT_MS);
	else if (connection->exchanges.length)
		notify_drained(connection);
	else
		ql_listener__update_timer(connection);
}

const ql_stream_ops_t ql_listener__stream_ops = {
	.received = ql_listener__received,
	.ended = on_ended,
	.drained = on_drained,
	.closed = on_closed,
};
