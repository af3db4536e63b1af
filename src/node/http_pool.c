#include "node/http_pool.h"

#define IDLE_CONNECTIONS_PER_ADDRESS_MAX 512u

static void connection_free(void *data)
{
	ql_http_connection_close(data);
}

static void queue_free(void *data)
{
	g_queue_free_full(data, connection_free);
}

void ql_http_pool_init(ql_http_pool_t *pool)
{
	pthread_mutex_init(&pool->lock, NULL);
	pool->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   queue_free);
}

void ql_http_pool_finish(ql_http_pool_t *pool)
{
	g_hash_table_destroy(pool->idle);
	pthread_mutex_destroy(&pool->lock);
}

static ql_http_connection_t *connection_new(void)
{
	ql_http_connection_t *connection = g_new0(ql_http_connection_t, 1);

	connection->easy = curl_easy_init();
	connection->multi = curl_multi_init();
	if (connection->easy && connection->multi)
		return connection;
	ql_http_connection_close(connection);
	return NULL;
}

void ql_http_connection_close(ql_http_connection_t *connection)
{
	if (connection->easy)
		curl_easy_cleanup(connection->easy);
	if (connection->multi)
		curl_multi_cleanup(connection->multi);
	g_free(connection);
}

static bool is_stale(const ql_http_connection_t *connection, uint64_t now_us)
{
	return now_us - connection->idle_since_us >=
	       QL_HTTP_CONNECTION_IDLE_MAX_US;
}

/* Removes the connections that were idle for too long; returns them. */
static GSList *collect_stale(GQueue *queue, uint64_t now_us)
{
	GSList *stale = NULL;

	while (queue->head && is_stale(queue->head->data, now_us))
		stale = g_slist_prepend(stale, g_queue_pop_head(queue));
	return stale;
}

ql_http_connection_t *ql_http_pool_take(ql_http_pool_t *pool,
					const char *address, uint64_t now_us)
{
	ql_http_connection_t *connection = NULL;
	GSList *stale = NULL;
	GQueue *queue;

	pthread_mutex_lock(&pool->lock);
	queue = g_hash_table_lookup(pool->idle, address);
	if (queue) {
		stale = collect_stale(queue, now_us);
		connection = g_queue_pop_tail(queue);
	}
	pthread_mutex_unlock(&pool->lock);
	g_slist_free_full(stale, connection_free);
	return connection ? connection : connection_new();
}

void ql_http_pool_put(ql_http_pool_t *pool, const char *address,
		      ql_http_connection_t *connection, uint64_t now_us)
{
	GQueue *queue;

	curl_easy_reset(connection->easy);
	connection->idle_since_us = now_us;
	pthread_mutex_lock(&pool->lock);
	queue = g_hash_table_lookup(pool->idle, address);
	if (!queue) {
		queue = g_queue_new();
		g_hash_table_insert(pool->idle, g_strdup(address), queue);
	}
	if (queue->length < IDLE_CONNECTIONS_PER_ADDRESS_MAX) {
		g_queue_push_tail(queue, connection);
		connection = NULL;
	}
	pthread_mutex_unlock(&pool->lock);
	if (connection)
		ql_http_connection_close(connection);
}
