#ifndef QL_HTTP_LISTENER_H
#define QL_HTTP_LISTENER_H

/**
 * DOC: An HTTP/1.1 listener on an event loop. Requests that a client pipelines
 * are handed out side by side and answered in the order in which they came.
 */

#include "http/reader.h"
#include "net/stream.h"

G_BEGIN_DECLS

typedef struct ql_listener ql_listener_t;
typedef struct ql_listener_connection ql_listener_connection_t;
typedef struct ql_http_exchange ql_http_exchange_t;

/**
 * struct ql_http_exchange_ops - What the answering side is told.
 * @cancelled: the client has gone; the exchange is not to be used any more
 * @drained: what was written has left; may be NULL
 * @followed: another request was read behind this one, whose client is likely
 * to close the connection at @until_us; returns whether this one was ended for
 * it; may be NULL
 */
typedef struct ql_http_exchange_ops {
	void (*cancelled)(void *data);
	void (*drained)(void *data);
	bool (*successor_received)(void *data, uint64_t until_us);
} ql_http_exchange_ops_t;

/**
 * struct ql_http_exchange - A request and its answer.
 * @connection: where it came from
 * @method: static name of its method
 * @target: its path and query
 * @headers: its headers
 * @body: its whole body
 * @received_us: when it was read to its end
 * @deadline_us: how long its client waits, as far as the answering side knows,
 * or 0
 * @ops: set by the answering side; NULL until then
 * @data: passed to @ops
 */
struct ql_http_exchange {
	ql_listener_connection_t *connection;
	const char *method;
	GString *target;
	ql_headers_t headers;
	GByteArray *body;
	uint64_t received_us;
	uint64_t deadline_us;
	const ql_http_exchange_ops_t *ops;
	void *data;
	/* Private to the listener. */
	GByteArray *out;
	bool keep_alive;
	bool is_http_1_0;
	bool chunked;
	bool bodiless;
	bool ended;
	bool aborted;
};

/**
 * struct ql_listener_opts - Settings of a listener.
 * @address: where to listen
 * @head_limit_bytes: largest start line and headers
 * @body_limit_bytes: largest body
 * @buffer_limit_bytes: bodies of all requests that are held at a time
 * @head_timeout_ms: longest time from the first byte of a request to the end
 *                   of its headers
 * @idle_timeout_ms: a connection without a request is closed after this
 * @connections: most connections
 * @kept: connections above this number take one request each
 * @handle: answers one request, now or later
 * @data: passed to @handle
 */
typedef struct ql_listener_opts {
	struct sockaddr_in address;
	size_t head_limit_bytes;
	size_t body_limit_bytes;
	size_t buffer_limit_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
	uint32_t connections;
	uint32_t keep_alive_max;
	void (*handle)(void *data, ql_http_exchange_t *exchange);
	void *data;
} ql_listener_opts_t;

/**
 * struct ql_listener - The listener.
 * @connections: open connections
 * @n_exchanges: requests that are not answered in whole yet
 * @buffered: bytes of their bodies
 * @closing: every answer closes its connection
 * @malformed: requests refused for their form
 */
struct ql_listener {
	ql_loop_t *loop;
	ql_listener_opts_t opts;
	uv_tcp_t socket;
	GHashTable *connections;
	uint32_t n_exchanges;
	size_t buffered_bytes;
	bool keep_alive_disabled;
	bool listening;
	uint64_t malformed;
};

/**
 * ql_listener_start() - Listen.
 * @listener: the listener; it must not move in memory
 * @loop: the loop
 * @opts: settings
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_IO.
 */
int ql_listener_start(ql_listener_t *listener, ql_loop_t *loop,
		      const ql_listener_opts_t *opts, GError **error);

/**
 * ql_listener_begin_close() - Let every answer from now on close its
 * connection; new connections and requests are still taken.
 * @listener: the listener
 */
void ql_listener_disable_keep_alive(ql_listener_t *listener);

/**
 * ql_listener_stop() - Close the socket and every connection.
 * @listener: the listener
 */
void ql_listener_stop(ql_listener_t *listener);
void ql_listener_finish(ql_listener_t *listener);

/**
 * ql_http_exchange_begin() - Write the head of an answer.
 * @exchange: the exchange
 * @status: HTTP status
 * @headers: header lines, without those that frame the body
 * @length: bytes of the body, or -1 when they are not known yet
 */
void ql_http_exchange_write_head(ql_http_exchange_t *exchange,
				 unsigned int status, const GByteArray *headers,
				 int64_t length);
void ql_http_exchange_write(ql_http_exchange_t *exchange, const void *bytes,
			    size_t length);

/**
 * ql_http_exchange_end() - The answer is complete; the exchange is gone after
 * this.
 * @exchange: the exchange
 */
void ql_http_exchange_end(ql_http_exchange_t *exchange);

/**
 * ql_http_exchange_abort() - Break the connection, so that a part of an answer
 * never looks like a whole one; the exchange is gone after this.
 * @exchange: the exchange
 */
void ql_http_exchange_abort(ql_http_exchange_t *exchange);

/**
 * ql_http_exchange_pending() - Bytes of the answer that have not left yet.
 */
size_t ql_http_exchange_pending(const ql_http_exchange_t *exchange);

G_END_DECLS

#endif
