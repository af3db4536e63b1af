#ifndef QL_NODE_HTTP_SERVER_H
#define QL_NODE_HTTP_SERVER_H

/**
 * DOC: An HTTP listener with one handler for every request.
 */

#include "quetzalloft/types.h"

#include <netinet/in.h>
#include <pthread.h>
#include <ulfius.h>

G_BEGIN_DECLS

/**
 * typedef ql_http_handler_t - Answers one request; may block.
 */
typedef void (*ql_http_handler_t)(void *data, const struct _u_request *request,
				  struct _u_response *response);

/**
 * struct ql_http_server_opts - Settings of a listener.
 * @address: IP number to bind to
 * @port: port to bind to
 * @connections: connections that are taken
 * @body_limit_bytes: a longer body is cut to one byte more, so that the
 *                    handler can tell
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
 * struct ql_http_server - The listener.
 * @lock: guards @connections
 * @connections: open connections by the peer's address
 * @active: requests received and not answered in whole yet
 * @closing: answers tell the peer to close its connection
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
 * ql_http_server_start() - Listen.
 * @server: the listener
 * @opts: settings
 * @error: detail of a failure
 *
 * Return: 0, QL_E_INVALID or QL_E_IO.
 */
int ql_http_server_start(ql_http_server_t *server,
			 const ql_http_server_opts_t *opts, GError **error);

/**
 * ql_http_server_start_at() - Listen at the port of an address.
 * @server: the listener
 * @opts: settings; the port is not used
 * @where: "IP:port"; the IP number that is bound to is that of @opts
 * @error: detail of a failure
 *
 * Return: as ql_http_server_start().
 */
int ql_http_server_start_at(ql_http_server_t *server,
			    const ql_http_server_opts_t *opts,
			    const char *where, GError **error);

/**
 * ql_http_server_is_peer_disconnected() - Whether the peer closed its
 * connection.
 * @server: the listener
 * @request: a request that is being answered
 *
 * Return: true when nobody waits for the answer any more.
 */
bool ql_http_server_is_peer_disconnected(ql_http_server_t *server,
					 const struct _u_request *request);

/**
 * typedef ql_http_header_visit_t - Takes one header; false ends the visit.
 */
typedef bool (*ql_http_header_visit_t)(void *data, const char *name,
				       const char *value);

/**
 * ql_http_server_visit_headers() - Visit every header that was sent.
 * @server: the listener
 * @request: a request that is being answered
 * @visit: takes each header; a repeated one comes each time, while the map of
 *         the request holds only the last
 * @data: passed to @visit
 */
void ql_http_server_visit_headers(ql_http_server_t *server,
				  const struct _u_request *request,
				  ql_http_header_visit_t visit, void *data);

/**
 * ql_http_server_in_flight() - Requests that are not answered in whole yet.
 * @server: the listener
 *
 * Return: requests whose first line was read and whose answer was not written
 * to its end.
 */
int ql_http_server_in_flight(ql_http_server_t *server);

/**
 * ql_http_server_disable_keep_alive() - Ask every peer to close with its next
 * answer.
 * @server: the listener
 */
void ql_http_server_disable_keep_alive(ql_http_server_t *server);

/**
 * ql_http_server_stop() - Close the listener and every connection.
 * @server: the listener; one that does not run is ignored
 */
void ql_http_server_stop(ql_http_server_t *server);

G_END_DECLS

#endif
