#include "node/http_server.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <microhttpd.h>
#include <string.h>

#define THREAD_STACK_BYTES (256u << 10)
#define IDLE_TIMEOUT_S 60u

static const char *const methods[] = {
	"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS",
};

static int on_request(const struct _u_request *request,
		      struct _u_response *response, void *data)
{
	const ql_http_server_t *server = data;

	server->opts.handle(server->opts.data, request, response);
	return U_CALLBACK_COMPLETE;
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
		{MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed,
		 NULL},
		{MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger,
		 NULL},
		{MHD_OPTION_SOCK_ADDR, 0, &server->bind_address},
		{MHD_OPTION_CONNECTION_LIMIT, server->opts.connections, NULL},
		{MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL},
		{MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
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

void ql_http_server_stop(ql_http_server_t *server)
{
	if (!server->running)
		return;
	ulfius_stop_framework(&server->instance);
	ulfius_clean_instance(&server->instance);
	server->running = false;
}
