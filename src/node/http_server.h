#ifndef QL_NODE_HTTP_SERVER_H
#define QL_NODE_HTTP_SERVER_H

/**
 * DOC: HTTP listener with one thread for each connection and one handler for
 * all requests.
 */

#include "quetzalloft/types.h"

#include <netinet/in.h>
#include <pthread.h>
#include <ulfius.h>

G_BEGIN_DECLS

/**
 * typedef ql_http_handler_t - Handles one request; may block.
 * @data: &ql_http_server_opts.data
 * @request: the request
 * @response: response to fill; sent when the handler returns
 */
typedef void (*ql_http_handler_t)(void *data, const struct _u_request *request,
				  struct _u_response *response);

/**
 * struct ql_http_server_opts - Settings of a listener.
 * @address: IP address to bind to
 * @port: port to bind to
 * @connections: maximum number of open connections
 * @body_limit_bytes: limit on request bodies; a longer body is truncated to one
 *                    byte above the limit, so that the handler can detect it
 * @handle: handles each request; called in the thread of its connection
 * @data: passed to @handle
 */
typedef struct ql_http_server_opts {
	const char *address;
	unsigned int port;
	unsigned int connections;
	size_t body_limit_bytes;
	ql_http_handler_t handle;
	void *data;
} ql_http_server_opts_t;

/**
 * struct ql_http_server - A listener.
 * @instance: ulfius instance
 * @bind_address: address to bind to
 * @opts: settings
 * @lock: guards @connections
 * @connections: open connections by address of the peer
 * @requests_in_flight: requests without a complete response; atomic
 * @keep_alive_disabled: responses carry "Connection: close"; atomic
 * @running: the listener was started and not stopped
 */
typedef struct ql_http_server {
	struct _u_instance instance;
	struct sockaddr_in bind_address;
	ql_http_server_opts_t opts;
	pthread_mutex_t lock;
	GHashTable *connections;
	int requests_in_flight;
	int keep_alive_disabled;
	bool running;
} ql_http_server_t;

/**
 * ql_http_server_start() - Start a listener.
 * @server: listener to initialize and start
 * @opts: settings; copied, but the string @address is borrowed
 * @error: set to the detail of a failure; may be NULL
 *
 * Return: 0, QL_E_INVALID if the address is malformed, or QL_E_IO if the
 * listener cannot listen at it.
 */
int ql_http_server_start(ql_http_server_t *server,
			 const ql_http_server_opts_t *opts, GError **error);

/**
 * ql_http_server_start_at() - Start a listener at the port of an address.
 * @server: listener to initialize and start
 * @opts: settings; @port is ignored
 * @where: "IP:port"; only the port is used, the IP address is that of @opts
 * @error: set to the detail of a failure; may be NULL
 *
 * Return: like ql_http_server_start().
 */
int ql_http_server_start_at(ql_http_server_t *server,
			    const ql_http_server_opts_t *opts,
			    const char *where, GError **error);

/**
 * ql_http_server_is_peer_disconnected() - Check whether the peer closed the
 * connection of a request.
 * @server: the listener
 * @request: a request that is being handled
 *
 * Return: true if the peer has closed its side of the connection or the
 * connection is broken; false also if the connection is not found.
 */
bool ql_http_server_is_peer_disconnected(ql_http_server_t *server,
					 const struct _u_request *request);

/**
 * typedef ql_http_header_visit_t - Receives one header.
 * @data: argument of ql_http_server_visit_headers()
 * @name: name of the header
 * @value: value of the header; empty if it has none
 *
 * Return: false to skip the remaining headers.
 */
typedef bool (*ql_http_header_visit_t)(void *data, const char *name,
				       const char *value);

/**
 * ql_http_server_visit_headers() - Visit all received headers of a request.
 * @server: the listener
 * @request: a request that is being handled
 * @visit: called for each header, also for each repetition of a header; the
 *         header map of @request holds only the last one
 * @data: passed to @visit
 */
void ql_http_server_visit_headers(ql_http_server_t *server,
				  const struct _u_request *request,
				  ql_http_header_visit_t visit, void *data);

/**
 * ql_http_server_in_flight() - Count the requests in flight.
 * @server: the listener
 *
 * Return: number of requests whose first line was received and whose response
 * is not sent completely.
 */
int ql_http_server_in_flight(ql_http_server_t *server);

/**
 * ql_http_server_disable_keep_alive() - Close each connection after its next
 * response.
 * @server: the listener
 */
void ql_http_server_disable_keep_alive(ql_http_server_t *server);

/**
 * ql_http_server_stop() - Close the listener and all connections.
 * @server: the listener; ignored if it does not run
 */
void ql_http_server_stop(ql_http_server_t *server);

G_END_DECLS

#endif
