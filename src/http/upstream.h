#ifndef QL_HTTP_UPSTREAM_H
#define QL_HTTP_UPSTREAM_H

/**
 * DOC: Kept HTTP/1.1 connections to one address on an event loop, one request
 * at a time on each.
 */

#include "http/reader.h"
#include "net/stream.h"

G_BEGIN_DECLS

typedef struct ql_upstream ql_upstream_t;
typedef struct ql_upstream_connection ql_upstream_connection_t;
typedef struct ql_upstream_request ql_upstream_request_t;

/**
 * typedef ql_upstream_failure_t - Why a request got no whole answer.
 * @QL_UPSTREAM_NOT_SENT: no connection was made, so nothing was sent
 * @QL_UPSTREAM_LOST: the connection broke behind the request
 * @QL_UPSTREAM_MALFORMED: what came is no HTTP answer
 */
typedef enum ql_upstream_failure {
	QL_UPSTREAM_NOT_SENT,
	QL_UPSTREAM_LOST,
	QL_UPSTREAM_MALFORMED,
} ql_upstream_failure_t;

/**
 * struct ql_upstream_ops - What becomes of a request.
 * @accepts: whether an answer belongs to the request; others are dropped
 * @head: status and headers of the answer
 * @body: a part of its body
 * @complete: the answer is whole; the request is gone
 * @failed: there is no whole answer; the request is gone
 */
typedef struct ql_upstream_ops {
	bool (*accepts)(void *data, const ql_http_reader_t *reader);
	void (*head)(void *data, ql_http_reader_t *reader);
	void (*body)(void *data, const char *bytes, size_t length);
	void (*complete)(void *data);
	void (*failed)(void *data, ql_upstream_failure_t failure);
} ql_upstream_ops_t;

/**
 * struct ql_upstream_opts - Settings.
 * @address: the peer
 * @connect_timeout_ms: longest time to connect
 * @idle_ms: a connection that was idle for longer is not used again
 * @idle_max: connections that are kept idle; 0 keeps all of them
 */
typedef struct ql_upstream_opts {
	struct sockaddr_in address;
	uint32_t connect_timeout_ms;
	uint32_t idle_ms;
	uint32_t idle_max;
} ql_upstream_opts_t;

/**
 * struct ql_upstream - The connections.
 * @idle: connections without a request, the one used last first
 * @connections: all connections
 * @finishing: frees itself when the last connection is gone
 * @opened: connections made
 * @unexpected: answers that belong to no request
 */
struct ql_upstream {
	ql_loop_t *loop;
	ql_upstream_opts_t opts;
	GQueue idle;
	GQueue connections;
	bool finishing;
	uint64_t opened;
	uint64_t unexpected;
};

/**
 * struct ql_upstream_call - What to send.
 * @bytes: the whole request
 * @bodiless: the answer has no body whatever its headers say
 * @ops: what becomes of it
 * @data: passed to @ops
 */
typedef struct ql_upstream_call {
	const GByteArray *bytes;
	bool bodiless;
	const ql_upstream_ops_t *ops;
	void *data;
} ql_upstream_call_t;

/**
 * ql_upstream_new() - Prepare connections to an address.
 * @loop: the loop
 * @opts: settings
 */
ql_upstream_t *ql_upstream_new(ql_loop_t *loop, const ql_upstream_opts_t *opts);

/**
 * ql_upstream_free() - Close idle connections; requests in progress go on.
 * @upstream: the connections; not to be used any more
 */
void ql_upstream_free(ql_upstream_t *upstream);

/**
 * ql_upstream_send() - Send a request.
 * @upstream: the connections
 * @call: the request
 *
 * Return: the request, or NULL when it failed at once and nothing was sent;
 * @ops are then not called.
 */
ql_upstream_request_t *ql_upstream_send(ql_upstream_t *upstream,
					const ql_upstream_call_t *call);

/**
 * ql_upstream_cancel() - Give up a request; its connection is closed, which
 * tells the peer. The operations are not called any more.
 * @request: the request; gone after this
 */
void ql_upstream_cancel(ql_upstream_request_t *request);

void ql_upstream_pause(ql_upstream_request_t *request);
void ql_upstream_resume(ql_upstream_request_t *request);

/**
 * ql_upstream_drop_idle() - Close the connections that carry no request.
 */
void ql_upstream_drop_idle(ql_upstream_t *upstream);

G_END_DECLS

#endif
