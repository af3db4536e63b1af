#include "http/upstream.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "util/http_status.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MS_PER_S 1000u
/*
 * An idle connection is closed after this fraction of the keep-alive timeout of
 * the peer, so that no request is sent while the peer is closing it.
 */
#define KEEP_ALIVE_TIMEOUT_FRACTION 0.6
/* A response fails after this many bytes without a byte of its body. */
#define BYTES_WITHOUT_BODY_MAX (256u << 10)

/*
 * struct ql_upstream_connection - A connection of a pool.
 * @upstream: the pool
 * @stream: the TCP connection
 * @reader: reader of the responses
 * @timer: connect timeout or idle timeout
 * @request: request in flight, or NULL
 * @all_link: link in the list of all connections
 * @idle_link: link in the list of idle connections
 * @unsent: request to send once the connection is established, or NULL
 * @is_idle: the connection is in the list of idle connections
 * @connected: the connection is established
 * @reusable: the peer keeps the connection open after the current response
 * @idle_ms: longest time that the connection may be idle
 * @is_dropping_response: the current response is interim, or belongs to no
 *                        request, and is discarded
 * @bytes_without_body: bytes received since the last byte of a response body
 */
struct ql_upstream_connection {
	ql_upstream_t *upstream;
	ql_stream_t stream;
	ql_http_reader_t reader;
	ql_wheel_timer_t timer;
	ql_upstream_request_t *request;
	GList all_link;
	GList idle_link;
	GByteArray *unsent;
	bool is_idle;
	bool connected;
	bool reusable;
	uint32_t idle_ms;
	bool is_dropping_response;
	size_t bytes_without_body;
};

/*
 * struct ql_upstream_request - A request in flight.
 * @connection: connection that carries the request
 * @ops: callbacks
 * @data: passed to @ops
 * @bodiless: the response has no body whatever its headers say
 * @head_received: the head callback was called
 */
struct ql_upstream_request {
	ql_upstream_connection_t *connection;
	const ql_upstream_ops_t *ops;
	void *data;
	bool bodiless;
	bool head_received;
};

static void set_idle(ql_upstream_connection_t *connection, bool is_idle)
{
	GQueue *idle = &connection->upstream->idle;

	if (connection->is_idle == is_idle)
		return;
	connection->is_idle = is_idle;
	if (is_idle)
		g_queue_push_head_link(idle, &connection->idle_link);
	else
		g_queue_unlink(idle, &connection->idle_link);
}

static void close_connection(ql_upstream_connection_t *connection)
{
	set_idle(connection, false);
	ql_loop_stop_timer(connection->upstream->loop, &connection->timer);
	ql_stream_abort(&connection->stream);
}

static void free_if_unused(ql_upstream_t *upstream)
{
	if (upstream->finishing && !upstream->connections.length)
		g_free(upstream);
}

static void on_closed(void *data)
{
	ql_upstream_connection_t *connection = data;
	ql_upstream_t *upstream = connection->upstream;

	g_queue_unlink(&upstream->connections, &connection->all_link);
	ql_http_reader_finish(&connection->reader);
	if (connection->unsent)
		g_byte_array_free(connection->unsent, TRUE);
	g_free(connection);
	free_if_unused(upstream);
}

/* Detaches the request from its connection. */
static ql_upstream_request_t *take_request(ql_upstream_connection_t *connection)
{
	ql_upstream_request_t *request = connection->request;

	connection->request = NULL;
	return request;
}

static void fail_request(ql_upstream_connection_t *connection,
			 ql_upstream_failure_t failure)
{
	ql_upstream_request_t *request = take_request(connection);

	close_connection(connection);
	if (!request)
		return;
	request->ops->failed(request->data, failure);
	g_free(request);
}

static void on_timeout(void *data)
{
	ql_upstream_connection_t *connection = data;

	fail_request(connection, connection->connected ? QL_UPSTREAM_LOST
						       : QL_UPSTREAM_NOT_SENT);
}

/* How long to keep a connection idle, by the Keep-Alive header of the peer. */
static uint32_t idle_timeout_ms(const ql_upstream_connection_t *connection)
{
	const char *value =
		ql_headers_get(&connection->reader.headers, "keep-alive");
	const char *timeout = value ? strcasestr(value, "timeout=") : NULL;
	double ms;

	if (!timeout)
		return connection->upstream->opts.idle_ms;
	ms = g_ascii_strtod(timeout + strlen("timeout="), NULL) * MS_PER_S *
	     KEEP_ALIVE_TIMEOUT_FRACTION;
	return (uint32_t)CLAMP(ms, 0.0, connection->upstream->opts.idle_ms);
}

static void return_to_pool(ql_upstream_connection_t *connection)
{
	const ql_upstream_t *upstream = connection->upstream;
	bool has_room = !upstream->opts.idle_max ||
			upstream->idle.length < upstream->opts.idle_max;

	if (!connection->reusable || upstream->finishing ||
	    !connection->idle_ms || !has_room) {
		close_connection(connection);
		return;
	}
	/* The request may have paused reading at the end of its response. */
	ql_stream_resume(&connection->stream);
	set_idle(connection, true);
	ql_loop_start_timer(connection->upstream->loop, &connection->timer,
			    connection->idle_ms);
}

static bool on_head(void *data, ql_http_reader_t *reader)
{
	ql_upstream_connection_t *connection = data;
	ql_upstream_request_t *request = connection->request;
	unsigned int status = ql_http_reader_status(reader);

	if (!ql_http_status_is_valid(status))
		return false;
	connection->is_dropping_response =
		!request || !ql_http_status_is_final(status);
	if (connection->is_dropping_response)
		return request != NULL;
	if (request->ops->accepts &&
	    !request->ops->accepts(request->data, reader)) {
		connection->upstream->unexpected_responses++;
		connection->is_dropping_response = true;
		return true;
	}
	connection->reusable = ql_http_reader_keep_alive(reader);
	connection->idle_ms = idle_timeout_ms(connection);
	reader->bodiless = request->bodiless;
	request->head_received = true;
	request->ops->head(request->data, reader);
	/* The callback may have cancelled the request. */
	return connection->request != NULL;
}

static void on_body(void *data, const char *bytes, size_t length)
{
	ql_upstream_connection_t *connection = data;
	ql_upstream_request_t *request = connection->request;

	if (!request || connection->is_dropping_response)
		return;
	connection->bytes_without_body = 0;
	request->ops->body(request->data, bytes, length);
}

static bool on_complete(void *data, ql_http_reader_t *reader)
{
	ql_upstream_connection_t *connection = data;

	if (!connection->request)
		return false;
	if (connection->is_dropping_response) {
		/* Read on unless the dropped response ends the connection. */
		return ql_http_reader_keep_alive(reader) ||
		       ql_http_reader_status(reader) < HTTP_STATUS_OK;
	}
	return false;
}

static const ql_http_reader_ops_t reader_ops = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
};

static bool is_response_complete(const ql_upstream_connection_t *connection)
{
	return connection->request && connection->request->head_received &&
	       !connection->is_dropping_response && !connection->reader.started;
}

/* Completes the request; bytes after the response belong to no request. */
static void finish_response(ql_upstream_connection_t *connection,
			    bool has_more_bytes)
{
	ql_upstream_request_t *request = take_request(connection);

	if (has_more_bytes) {
		connection->upstream->unexpected_responses++;
		connection->reusable = false;
	}
	ql_http_reader_resume(&connection->reader);
	return_to_pool(connection);
	request->ops->complete(request->data);
	g_free(request);
}

static void on_received(void *data, const char *bytes, size_t length)
{
	ql_upstream_connection_t *connection = data;
	ql_http_read_t result;
	size_t used;

	if (!connection->request) {
		connection->upstream->unexpected_responses++;
		close_connection(connection);
		return;
	}
	connection->bytes_without_body += length;
	result = ql_http_reader_feed(&connection->reader, bytes, length, &used);
	if (connection->stream.closing)
		return;
	if (result == QL_HTTP_READ_STOPPED && is_response_complete(connection))
		finish_response(connection, used < length);
	else if (result != QL_HTTP_READ_MORE ||
		 connection->bytes_without_body > BYTES_WITHOUT_BODY_MAX)
		fail_request(connection, QL_UPSTREAM_MALFORMED);
}

static void on_ended(void *data, int status)
{
	ql_upstream_connection_t *connection = data;
	size_t used;

	if (status == UV_EOF && connection->request &&
	    connection->request->head_received && connection->reader.started) {
		/* A response without a length ends with the connection. */
		connection->reusable = false;
		ql_http_reader_feed(&connection->reader, NULL, 0, &used);
		if (connection->stream.closing)
			return;
		if (is_response_complete(connection)) {
			finish_response(connection, false);
			return;
		}
	}
	fail_request(connection, connection->connected ? QL_UPSTREAM_LOST
						       : QL_UPSTREAM_NOT_SENT);
}

static void on_connected(void *data, int status)
{
	ql_upstream_connection_t *connection = data;

	if (status) {
		fail_request(connection, QL_UPSTREAM_NOT_SENT);
		return;
	}
	connection->connected = true;
	connection->upstream->connections_opened++;
	ql_loop_stop_timer(connection->upstream->loop, &connection->timer);
	if (!connection->request) {
		close_connection(connection);
		return;
	}
	ql_stream_write(&connection->stream, connection->unsent->data,
			connection->unsent->len);
	g_byte_array_free(connection->unsent, TRUE);
	connection->unsent = NULL;
}

static const ql_stream_ops_t stream_ops = {
	.connected = on_connected,
	.received = on_received,
	.ended = on_ended,
	.closed = on_closed,
};

ql_upstream_t *ql_upstream_new(ql_loop_t *loop, const ql_upstream_opts_t *opts)
{
	ql_upstream_t *upstream = g_new0(ql_upstream_t, 1);

	upstream->loop = loop;
	upstream->opts = *opts;
	g_queue_init(&upstream->idle);
	g_queue_init(&upstream->connections);
	return upstream;
}

void ql_upstream_close_idle(ql_upstream_t *upstream)
{
	ql_upstream_connection_t *connection;

	while ((connection = g_queue_peek_head(&upstream->idle)))
		close_connection(connection);
}

void ql_upstream_free(ql_upstream_t *upstream)
{
	ql_upstream_close_idle(upstream);
	upstream->finishing = true;
	free_if_unused(upstream);
}

static ql_upstream_connection_t *open_connection(ql_upstream_t *upstream)
{
	ql_upstream_connection_t *connection =
		g_new0(ql_upstream_connection_t, 1);

	connection->upstream = upstream;
	connection->all_link.data = connection;
	connection->idle_link.data = connection;
	connection->timer.expired = on_timeout;
	connection->timer.data = connection;
	ql_http_reader_init(&connection->reader, false, &reader_ops,
			    connection);
	ql_stream_init(&connection->stream, upstream->loop, &stream_ops,
		       connection);
	g_queue_push_tail_link(&upstream->connections, &connection->all_link);
	if (ql_stream_connect(&connection->stream, &upstream->opts.address)) {
		close_connection(connection);
		return NULL;
	}
	ql_loop_start_timer(upstream->loop, &connection->timer,
			    upstream->opts.connect_timeout_ms);
	return connection;
}

ql_upstream_request_t *ql_upstream_send(ql_upstream_t *upstream,
					const ql_upstream_call_t *call)
{
	ql_upstream_connection_t *connection =
		g_queue_peek_head(&upstream->idle);
	ql_upstream_request_t *request;

	if (!connection)
		connection = open_connection(upstream);
	if (!connection)
		return NULL;
	request = g_new0(ql_upstream_request_t, 1);
	request->connection = connection;
	request->ops = call->ops;
	request->data = call->data;
	request->bodiless = call->bodiless;
	connection->request = request;
	connection->reader.bodiless = false;
	connection->bytes_without_body = 0;
	if (!connection->connected) {
		connection->unsent = g_byte_array_new();
		g_byte_array_append(connection->unsent, call->bytes->data,
				    call->bytes->len);
		return request;
	}
	set_idle(connection, false);
	ql_loop_stop_timer(upstream->loop, &connection->timer);
	ql_stream_write(&connection->stream, call->bytes->data,
			call->bytes->len);
	return request;
}

void ql_upstream_cancel(ql_upstream_request_t *request)
{
	ql_upstream_connection_t *connection = request->connection;

	take_request(connection);
	close_connection(connection);
	g_free(request);
}

void ql_upstream_retire(ql_upstream_request_t *request)
{
	request->connection->reusable = false;
}

void ql_upstream_pause(ql_upstream_request_t *request)
{
	ql_stream_pause(&request->connection->stream);
}

void ql_upstream_resume(ql_upstream_request_t *request)
{
	ql_stream_resume(&request->connection->stream);
}
