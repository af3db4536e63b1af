#ifndef QL_HTTP_UPSTREAM_H
#define QL_HTTP_UPSTREAM_H

/**
 * DOC: Pool of persistent HTTP/1.1 client connections to one address on an
 * event loop. Each connection carries one request at a time.
 */

#include "http/reader.h"
#include "net/stream.h"

G_BEGIN_DECLS

typedef struct ql_upstream ql_upstream_t;
typedef struct ql_upstream_connection ql_upstream_connection_t;
typedef struct ql_upstream_request ql_upstream_request_t;

/**
 * typedef ql_upstream_failure_t - Why a request got no complete response.
 * @QL_UPSTREAM_NOT_SENT: connecting failed, so nothing was sent
 * @QL_UPSTREAM_LOST: the connection broke after the request was sent
 * @QL_UPSTREAM_MALFORMED: the peer sent something other than an HTTP response
 */
typedef enum ql_upstream_failure {
	QL_UPSTREAM_NOT_SENT,
	QL_UPSTREAM_LOST,
	QL_UPSTREAM_MALFORMED,
} ql_upstream_failure_t;

/**
 * struct ql_upstream_ops - Callbacks of a request.
 * @accepts: checks whether a response belongs to the request; responses that do
 *           not are dropped; may be NULL
 * @head: the status and headers of the response were read
 * @body: a fragment of the response body was read
 * @complete: the response is complete; the request is freed after the call
 * @failed: the request failed; the request is freed after the call
 */
typedef struct ql_upstream_ops {
	bool (*accepts)(void *data, const ql_http_reader_t *reader);
	void (*head)(void *data, ql_http_reader_t *reader);
	void (*body)(void *data, const char *bytes, size_t length);
	void (*complete)(void *data);
	void (*failed)(void *data, ql_upstream_failure_t failure);
} ql_upstream_ops_t;

/**
 * struct ql_upstream_opts - Settings of a pool.
 * @address: address of the peer
 * @connect_timeout_ms: longest time to connect
 * @idle_ms: idle time after which a connection is closed
 * @idle_max: maximum of idle connections; 0 is no limit
 */
typedef struct ql_upstream_opts {
	struct sockaddr_in address;
	uint32_t connect_timeout_ms;
	uint32_t idle_ms;
	uint32_t idle_max;
} ql_upstream_opts_t;

/**
 * struct ql_upstream - A connection pool.
 * @loop: loop that the connections run on
 * @opts: settings
 * @idle: connections without a request, most recently used first
 * @connections: all connections
 * @finishing: the pool frees itself after its last connection has closed
 * @connections_opened: number of connections established so far
 * @unexpected_responses: number of times that bytes were received which belong
 *                        to no request in flight
 */
struct ql_upstream {
	ql_loop_t *loop;
	ql_upstream_opts_t opts;
	GQueue idle;
	GQueue connections;
	bool finishing;
	uint64_t connections_opened;
	uint64_t unexpected_responses;
};

/**
 * struct ql_upstream_call - A request to send.
 * @bytes: the complete request
 * @bodiless: the response has no body whatever its headers say
 * @ops: callbacks
 * @data: passed to @ops
 */
typedef struct ql_upstream_call {
	const GByteArray *bytes;
	bool bodiless;
	const ql_upstream_ops_t *ops;
	void *data;
} ql_upstream_call_t;

/**
 * ql_upstream_new() - Create a pool without connections.
 * @loop: the loop
 * @opts: settings
 *
 * Return: the pool.
 */
ql_upstream_t *ql_upstream_new(ql_loop_t *loop, const ql_upstream_opts_t *opts);

/**
 * ql_upstream_free() - Close idle connections and free the pool after its
 * requests in flight have ended.
 * @upstream: the pool; not to be used after this call
 */
void ql_upstream_free(ql_upstream_t *upstream);

/**
 * ql_upstream_send() - Send a request on an idle or a new connection.
 * @upstream: the pool
 * @call: the request
 *
 * Return: the request in flight, or NULL if connecting failed at once; nothing
 * was sent then and the callbacks are not called.
 */
ql_upstream_request_t *ql_upstream_send(ql_upstream_t *upstream,
					const ql_upstream_call_t *call);

/**
 * ql_upstream_cancel() - Cancel a request and close its connection, so that the
 * peer can cancel it as well. The callbacks are not called any more.
 * @request: the request; freed by this call
 */
void ql_upstream_cancel(ql_upstream_request_t *request);

/**
 * ql_upstream_retire() - Close the connection of a request after its response,
 * instead of using it for other requests.
 * @request: the request, whose head callback has been called
 */
void ql_upstream_retire(ql_upstream_request_t *request);

/**
 * ql_upstream_pause() - Pause reading the response.
 * @request: the request in flight
 */
void ql_upstream_pause(ql_upstream_request_t *request);

/**
 * ql_upstream_resume() - Resume reading the response.
 * @request: the request in flight
 */
void ql_upstream_resume(ql_upstream_request_t *request);

/**
 * ql_upstream_close_idle() - Close all idle connections.
 * @upstream: the pool
 */
void ql_upstream_close_idle(ql_upstream_t *upstream);

G_END_DECLS

#endif
