#include "node/http_server.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <errno.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>

#define CONNECTION_THREAD_STACK_BYTES (256u << 10)
#define CONNECTION_IDLE_TIMEOUT_S 60u

static const char *const methods[] = {
	"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
};

static int on_request(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	ql_http_server_t *server = data;

	/* A response that a handler leaves out must not be a success. */
	response->status = MHD_HTTP_INTERNAL_SERVER_ERROR;
	server->opts.handle(server->opts.data, request, response);
	if (__atomic_load_n(&server->keep_alive_disabled, __ATOMIC_ACQUIRE))
		u_map_put(response->map_header, "Connection", "close");
	return U_CALLBACK_COMPLETE;
}

/* Packs the IP address and the port of a peer into a key. */
static guint64 peer_key(const struct sockaddr *address)
{
	const struct sockaddr_in *in = (const struct sockaddr_in *)address;

	return (guint64)in->sin_addr.s_addr << 16 | in->sin_port;
}

static void on_connection(void *data, struct MHD_Connection *connection,
			  void **context G_GNUC_UNUSED,
			  enum MHD_ConnectionNotificationCode code)
{
	ql_http_server_t *server = data;
	const union MHD_ConnectionInfo *address =
		MHD_get_connection_info(connection,
					MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	guint64 key;

	if (!address)
		return;
	key = peer_key(address->client_addr);
	pthread_mutex_lock(&server->lock);
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		g_hash_table_insert(server->connections,
				    g_memdup2(&key, sizeof(key)), connection);
	else
		g_hash_table_remove(server->connections, &key);
	pthread_mutex_unlock(&server->lock);
}

/*
 * Finds the connection of a request that is being handled. It is not freed
 * before the handler returns.
 */
static struct MHD_Connection *find_connection(ql_http_server_t *server,
					      const struct _u_request *request)
{
	guint64 key = peer_key(request->client_address);
	struct MHD_Connection *connection;

	pthread_mutex_lock(&server->lock);
	connection = g_hash_table_lookup(server->connections, &key);
	pthread_mutex_unlock(&server->lock);
	return connection;
}

static int find_socket(ql_http_server_t *server,
		       const struct _u_request *request)
{
	struct MHD_Connection *connection = find_connection(server, request);
	const union MHD_ConnectionInfo *info;

	if (!connection)
		return -1;
	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	return info ? info->connect_fd : -1;
}

/* Arguments of ql_http_server_visit_headers(). */
typedef struct {
	ql_http_header_visit_t visit;
	void *data;
} header_visitor_t;

static enum MHD_Result on_header(void *data,
				 enum MHD_ValueKind kind G_GNUC_UNUSED,
				 const char *name, const char *value)
{
	const header_visitor_t *visitor = data;

	return visitor->visit(visitor->data, name, value ? value : "") ? MHD_YES
								       : MHD_NO;
}

void ql_http_server_visit_headers(ql_http_server_t *server,
				  const struct _u_request *request,
				  ql_http_header_visit_t visit, void *data)
{
	struct MHD_Connection *connection = find_connection(server, request);
	header_visitor_t visitor = {visit, data};

	if (connection)
		MHD_get_connection_values(connection, MHD_HEADER_KIND,
					  on_header, &visitor);
}

bool ql_http_server_is_peer_disconnected(ql_http_server_t *server,
					 const struct _u_request *request)
{
	int fd = find_socket(server, request);
	ssize_t n;
	char byte;

	if (fd < 0)
		return false;
	n = recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
	return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void ql_http_server_disable_keep_alive(ql_http_server_t *server)
{
	__atomic_store_n(&server->keep_alive_disabled, 1, __ATOMIC_RELEASE);
}

static void *on_request_line(void *data, const char *uri)
{
	ql_http_server_t *server = data;

	__atomic_add_fetch(&server->requests_in_flight, 1, __ATOMIC_ACQ_REL);
	return ulfius_uri_logger(NULL, uri);
}

static void on_completed(void *data, struct MHD_Connection *connection,
			 void **context, enum MHD_RequestTerminationCode code)
{
	ql_http_server_t *server = data;

	mhd_request_completed(NULL, connection, context, code);
	__atomic_sub_fetch(&server->requests_in_flight, 1, __ATOMIC_ACQ_REL);
}

int ql_http_server_in_flight(ql_http_server_t *server)
{
	return __atomic_load_n(&server->requests_in_flight, __ATOMIC_ACQUIRE);
}

static int add_routes(ql_http_server_t *server)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(methods); i++)
		if (ulfius_add_endpoint_by_val(&server->instance, methods[i],
					       NULL, "*", 0, on_request,
					       server) != U_OK)
			return QL_E_IO;
	return ulfius_set_default_endpoint(&server->instance, on_request,
					   server) == U_OK
		       ? 0
		       : QL_E_IO;
}

static int start_framework(ql_http_server_t *server)
{
	struct MHD_OptionItem options[] = {
		{MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)on_completed, server},
		{MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)on_request_line,
		 server},
		{MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, server},
		{MHD_OPTION_SOCK_ADDR, 0, &server->bind_address},
		{MHD_OPTION_CONNECTION_LIMIT, server->opts.connections, NULL},
		{MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_TIMEOUT_S,
		 NULL},
		{MHD_OPTION_THREAD_STACK_SIZE, CONNECTION_THREAD_STACK_BYTES,
		 NULL},
		{MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL},
		{MHD_OPTION_END, 0, NULL},
	};

	return ulfius_start_framework_with_mhd_options(
		&server->instance,
		MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		options);
}

int ql_http_server_start(ql_http_server_t *server,
			 const ql_http_server_opts_t *opts, GError **error)
{
	char address[QL_ADDRESS_MAX];
	int ret;

	memset(server, 0, sizeof(*server));
	server->opts = *opts;
	pthread_mutex_init(&server->lock, NULL);
	server->connections = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, NULL);
	ql_address_format(address, opts->address, opts->port);
	ret = ql_address_parse(&server->bind_address, address, error);
	if (ret)
		return ret;
	if (ulfius_init_instance(&server->instance, opts->port,
				 &server->bind_address, NULL) != U_OK)
		return ql_error_set(error, QL_E_IO, "ulfius_init_instance");
	server->instance.max_post_body_size = opts->body_limit_bytes + 1;
	server->instance.check_utf8 = 0;
	server->instance.allowed_post_processor = U_POST_PROCESS_NONE;
	if (add_routes(server) || start_framework(server) != U_OK) {
		ulfius_clean_instance(&server->instance);
		return ql_error_set(error, QL_E_IO, "cannot listen at %s",
				    address);
	}
	server->running = true;
	return 0;
}

int ql_http_server_start_at(ql_http_server_t *server,
			    const ql_http_server_opts_t *opts,
			    const char *where, GError **error)
{
	ql_http_server_opts_t at = *opts;
	struct sockaddr_in address;
	int ret = ql_address_parse(&address, where, error);

	if (ret)
		return ret;
	at.port = ntohs(address.sin_port);
	return ql_http_server_start(server, &at, error);
}

void ql_http_server_stop(ql_http_server_t *server)
{
	if (!server->running)
		return;
	ulfius_stop_framework(&server->instance);
	ulfius_clean_instance(&server->instance);
	g_hash_table_destroy(server->connections);
	pthread_mutex_destroy(&server->lock);
	server->running = false;
}
