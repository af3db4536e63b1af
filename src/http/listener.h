#ifndef QL_HTTP_LISTENER_H
#define QL_HTTP_LISTENER_H

/**
 * DOC: HTTP/1.1 server on an event loop. Pipelined requests of a connection are
 * handled concurrently; their responses are sent in request order.
 *
 * The listener owns an exchange from the first byte of the request until the
 * last byte of the response was passed on or the connection is closed. From the
 * call of @handle on, the handler may use it as well, and the listener calls
 * the handler through its @ops and @data. This ends, once for each exchange,
 * with ql_http_exchange_end(), ql_http_exchange_abort() or the callback
 * @cancelled: the handler frees its data then, although the exchange may wait
 * for its turn for long after that.
 */

#include "http/reader.h"
#include "net/stream.h"

G_BEGIN_DECLS

typedef struct ql_listener ql_listener_t;
typedef struct ql_listener_connection ql_listener_connection_t;
typedef struct ql_http_exchange ql_http_exchange_t;

/**
 * struct ql_http_exchange_ops - Callbacks of a request handler.
 * @cancelled: the client disconnected; the exchange must not be used any more
 * @drained: all written bytes were handed to the kernel, at once or later; not
 *           called while the exchange waits for its turn; may be NULL
 * @successor_received: another request was read behind this one on the same
 *                      connection; its client is likely to time out and close
 *                      the connection at @successor_deadline_us. Returns true
 *                      if the handler ended this exchange in favour of the
 *                      other one; may be NULL
 */
typedef struct ql_http_exchange_ops {
	void (*cancelled)(void *data);
	void (*drained)(void *data);
	bool (*successor_received)(void *data, uint64_t successor_deadline_us);
} ql_http_exchange_ops_t;

/**
 * struct ql_http_exchange - A request and its response.
 * @connection: connection of the client
 * @method: request method, a static string
 * @target: path and query
 * @headers: request headers
 * @body: the complete request body
 * @received_us: when the request was read completely
 * @deadline_us: when the client stops waiting, set by the handler; 0 if not
 *               known
 * @ops: callbacks, set by the handler; NULL until then, and once the handler
 *       has ended or aborted the exchange or was told that it is cancelled
 * @data: passed to @ops
 * @out: response bytes that were not passed to the stream yet
 * @keep_alive: the connection stays open after the response
 * @is_http_1_0: the request is HTTP/1.0, so chunked coding is not allowed
 * @chunked: the response body is sent in chunks
 * @bodiless: the response has no body
 * @ended: the response is complete
 * @aborted: the response was aborted before it was complete
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
 * @address: address to listen on
 * @head_limit_bytes: largest request target and headers
 * @body_limit_bytes: largest request body
 * @buffer_limit_bytes: limit on the bodies of all requests held at a time
 * @head_timeout_ms: longest time from the first byte of a request to the end
 *                   of its headers
 * @idle_timeout_ms: time after which a connection without a request is closed
 * @connections: maximum of open connections; further ones are closed at once
 * @keep_alive_max: while more connections than this are open, connections close
 *                  after a response instead of being kept alive; 0 is no limit
 * @handle: handles one request; the response may be sent later
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
 * struct ql_listener - A listening server.
 * @loop: loop that the listener runs on
 * @opts: settings
 * @socket: listening socket
 * @connections: open connections
 * @n_exchanges: requests whose response is not complete yet
 * @buffered_bytes: bytes of the bodies of all requests that are not freed
 * @keep_alive_disabled: responses close their connection
 * @listening: @socket is open
 * @rejected_requests: number of requests that the listener rejected itself, as
 *                     malformed or above a limit
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
	uint64_t rejected_requests;
};

/**
 * ql_listener_start() - Bind the address and start to listen.
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
 * ql_listener_disable_keep_alive() - Close each connection after its last
 * pending response; new connections and requests are still accepted.
 * @listener: the listener
 */
void ql_listener_disable_keep_alive(ql_listener_t *listener);

/**
 * ql_listener_count_unfinished() - Count what a stop of the process would cut.
 * @listener: the listener
 *
 * Return: requests whose response is not complete, and connections of which
 * some bytes wait to be sent or which the client has still to close.
 */
uint32_t ql_listener_count_unfinished(const ql_listener_t *listener);

/**
 * ql_listener_stop() - Close the listening socket and all connections.
 * @listener: the listener
 */
void ql_listener_stop(ql_listener_t *listener);

/**
 * ql_listener_finish() - Free the memory of a stopped listener.
 * @listener: the listener, after the loop has run its close callbacks
 */
void ql_listener_finish(ql_listener_t *listener);

/**
 * ql_http_exchange_write_head() - Write the status line and headers of a
 * response.
 * @exchange: the exchange
 * @status: HTTP status
 * @headers: header lines without those that frame the body; may be NULL
 * @length: bytes of the body, or -1 if not known yet
 */
void ql_http_exchange_write_head(ql_http_exchange_t *exchange,
				 unsigned int status, const GByteArray *headers,
				 int64_t length);

/**
 * ql_http_exchange_write() - Write a fragment of the response body; ignored if
 * the response has no body.
 * @exchange: the exchange
 * @bytes: the fragment; copied
 * @length: bytes of the fragment
 */
void ql_http_exchange_write(ql_http_exchange_t *exchange, const void *bytes,
			    size_t length);

/**
 * ql_http_exchange_end() - Complete a response.
 * @exchange: the exchange; not to be used after this call
 */
void ql_http_exchange_end(ql_http_exchange_t *exchange);

/**
 * ql_http_exchange_abort() - Abort a response and close the connection, so
 * that the client never takes a partial response for a complete one.
 * @exchange: the exchange; not to be used after this call
 */
void ql_http_exchange_abort(ql_http_exchange_t *exchange);

/**
 * ql_http_exchange_discard() - Take back a response that was written but not
 * ended, so that another one can be written.
 * @exchange: the exchange
 *
 * Return: false if some of it may have been sent; it is unchanged then.
 */
bool ql_http_exchange_discard(ql_http_exchange_t *exchange);

/**
 * ql_http_exchange_pending() - Count the bytes not written to the socket yet.
 * @exchange: the exchange
 *
 * A handler that stops writing because of them is called through @drained when
 * it may go on.
 *
 * Return: bytes of the response and of the connection's write queue; for an
 * exchange that waits for its turn, also those of the others on the connection.
 */
size_t ql_http_exchange_pending(const ql_http_exchange_t *exchange);

G_END_DECLS

#endif
