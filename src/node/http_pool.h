#ifndef QL_NODE_HTTP_POOL_H
#define QL_NODE_HTTP_POOL_H

/**
 * DOC: Idle HTTP connections, kept for each destination. A connection is a
 * libcurl easy handle inside a multi handle of its own.
 */

#include "quetzalloft/types.h"

#include <curl/curl.h>
#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_http_connection - A connection to one destination.
 * @easy: the transfer
 * @multi: holds the connection between transfers
 * @idle_since_us: when the last transfer ended
 */
typedef struct ql_http_connection {
	CURL *easy;
	CURLM *multi;
	uint64_t idle_since_us;
} ql_http_connection_t;

/**
 * struct ql_http_pool - The idle connections.
 * @lock: guards the members
 * @idle: queues of connections by "IP:port", the last used at the tail
 */
typedef struct ql_http_pool {
	pthread_mutex_t lock;
	GHashTable *idle;
} ql_http_pool_t;

/**
 * An idle connection is not used again after this time. It is below the time
 * after which a listener closes one, so that no request is written to a
 * connection that is being closed.
 */
#define QL_HTTP_CONNECTION_IDLE_MAX_US (20 * 1000000ULL)

void ql_http_pool_init(ql_http_pool_t *pool);
void ql_http_pool_finish(ql_http_pool_t *pool);

/**
 * ql_http_pool_take() - Take an idle connection or make a new one.
 * @pool: the pool
 * @address: "IP:port"
 * @now_us: the time
 *
 * Return: a connection, or NULL when memory is exhausted.
 */
ql_http_connection_t *ql_http_pool_take(ql_http_pool_t *pool,
					const char *address, uint64_t now_us);

/**
 * ql_http_pool_put() - Give a connection back after a whole transfer.
 * @pool: the pool
 * @address: "IP:port"
 * @connection: the connection
 * @now_us: the time
 */
void ql_http_pool_put(ql_http_pool_t *pool, const char *address,
		      ql_http_connection_t *connection, uint64_t now_us);

/**
 * ql_http_connection_close() - Close a connection after a failure.
 * @connection: the connection
 */
void ql_http_connection_close(ql_http_connection_t *connection);

G_END_DECLS

#endif
