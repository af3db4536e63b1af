#include "http/listener_internal.h"
#include "quetzalloft/error.h"

#include <string.h>

#define LISTEN_BACKLOG 1024

static void on_connection(uv_stream_t *socket, int status)
{
	ql_listener_t *listener = socket->data;
	ql_listener_connection_t *connection;

	if (status)
		return;
	connection = g_new0(ql_listener_connection_t, 1);
	connection->listener = listener;
	connection->timer.expired = ql_listener__timed_out;
	connection->timer.data = connection;
	g_queue_init(&connection->exchanges);
	ql_http_reader_init(&connection->reader, true, &ql_listener__reader_ops,
			    connection);
	ql_stream_init(&connection->stream, listener->loop,
		       &ql_listener__stream_ops, connection);
	g_hash_table_add(listener->connections, connection);
	if (ql_stream_accept(&connection->stream, socket) ||
	    g_hash_table_size(listener->connections) >
		    listener->opts.connections)
		ql_listener__abort(connection);
	else
		ql_listener__update_timer(connection);
}

int ql_listener_start(ql_listener_t *listener, ql_loop_t *loop,
		      const ql_listener_opts_t *opts, GError **error)
{
	int status;

	memset(listener, 0, sizeof(*listener));
	listener->loop = loop;
	listener->opts = *opts;
	listener->connections = g_hash_table_new(NULL, NULL);
	uv_tcp_init(&loop->uv, &listener->socket);
	listener->socket.data = listener;
	listener->listening = true;
	status = uv_tcp_bind(&listener->socket,
			     (const struct sockaddr *)&opts->address, 0);
	if (!status)
		status = uv_listen((uv_stream_t *)&listener->socket,
				   LISTEN_BACKLOG, on_connection);
	if (status)
		return ql_error_set(error, QL_E_IO,
				    "cannot listen at port %u:"
				    " %s",
				    ntohs(opts->address.sin_port),
				    uv_strerror(status));
	return 0;
}

uint32_t ql_listener_count_unfinished(const ql_listener_t *listener)
{
	uint32_t n = listener->n_exchanges;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, listener->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const ql_listener_connection_t *connection = key;

		n += connection->stream.pending_bytes || connection->lingering;
	}
	return n;
}

void ql_listener_disable_keep_alive(ql_listener_t *listener)
{
	listener->keep_alive_disabled = true;
}

void ql_listener_stop(ql_listener_t *listener)
{
	GList *connections, *link;

	if (!listener->listening)
		return;
	listener->listening = false;
	uv_close((uv_handle_t *)&listener->socket, NULL);
	connections = g_hash_table_get_keys(listener->connections);
	for (link = connections; link; link = link->next)
		ql_listener__abort(link->data);
	g_list_free(connections);
}

void ql_listener_finish(ql_listener_t *listener)
{
	if (listener->connections)
		g_hash_table_destroy(listener->connections);
}
