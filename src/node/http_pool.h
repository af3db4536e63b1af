#ifndef QL_NODE_HTTP_POOL_H
#define QL_NODE_HTTP_POOL_H

/**
 * DOC: Pool of idle HTTP connections by server address. Each connection is a
 * libcurl easy handle with a multi handle of its own.
 */

#include "quetzalloft/types.h"

#include <curl/curl.h>
#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_http_connection - A connection to one server.
 * @easy: handle of the transfers; owned
 * @multi: handle that keeps the connection open between transfers; owned
 * @idle_since_us: when the latest transfer ended, on the clock of
 *                 ql_clock_now_us()
 */
typedef struct ql_http_connection {
	CURL *easy;
	CURLM *multi;
	uint64_t idle_since_us;
} ql_http_connection_t;

/**
 * struct ql_http_pool - A pool of idle connections.
 * @lock: guards @idle
 * @idle: queue of &struct ql_http_connection by "IP:port", the most recently
 *        used one at the tail
 */
typedef struct ql_http_pool {
	pthread_mutex_t lock;
	GHashTable *idle;
} ql_http_pool_t;

/**
 * Maximum idle time of a connection, in microseconds. It is shorter than the
 * idle timeout of the listeners, so that no request is sent on a connection
 * that the server is closing.
 */
#define QL_HTTP_CONNECTION_IDLE_MAX_US (20 * 1000000ULL)

/**
 * ql_http_pool_init() - Initialize an empty pool.
 * @pool: the pool
 */
void ql_http_pool_init(ql_http_pool_t *pool);

/**
 * ql_http_pool_finish() - Close all idle connections and free the pool.
 * @pool: the pool
 */
void ql_http_pool_finish(ql_http_pool_t *pool);

/**
 * ql_http_pool_take() - Take the most recently used idle connection to a
 * server, or create one. Connections that were idle for too long are closed.
 * @pool: the pool
 * @address: "IP:port" of the server
 * @now_us: current time
 *
 * Return: the connection, owned by the caller, or NULL if libcurl cannot
 * allocate it.
 */
ql_http_connection_t *ql_http_pool_take(ql_http_pool_t *pool,
					const char *address, uint64_t now_us);

/**
 * ql_http_pool_put() - Return a connection after a complete transfer.
 * @pool: the pool
 * @address: "IP:port" of the server
 * @connection: the connection; ownership is taken. It is closed if the pool
 *              already holds the maximum for this address.
 * @now_us: current time
 */
void ql_http_pool_put(ql_http_pool_t *pool, const char *address,
		      ql_http_connection_t *connection, uint64_t now_us);

/**
 * ql_http_connection_close() - Close and free a connection.
 * @connection: the connection
 */
void ql_http_connection_close(ql_http_connection_t *connection);

G_END_DECLS

#endif
