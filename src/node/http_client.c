#include "node/http_client.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "util/http_status.h"

#include <stdio.h>
#include <string.h>

#define CANCELLATION_POLL_MS 20
#define CONNECT_TIMEOUT_MS 1000L
#define URL_MAX_BYTES 4096

/* State of one exchange, for the callbacks of libcurl. */
typedef struct {
	ql_http_response_t *response;
	size_t body_limit_bytes;
	int n_sends;
	bool too_large;
	bool cancelled;
} exchange_t;

void ql_http_client_init(ql_http_client_t *client)
{
	ql_http_pool_init(&client->pool);
}

void ql_http_client_finish(ql_http_client_t *client)
{
	ql_http_pool_finish(&client->pool);
}

static void clear_header(void *data)
{
	ql_http_header_t *header = data;

	g_free(header->name);
	g_free(header->value);
}

void ql_http_response_init(ql_http_response_t *response)
{
	response->status = 0;
	response->headers = g_array_new(FALSE, FALSE, sizeof(ql_http_header_t));
	g_array_set_clear_func(response->headers, clear_header);
	response->body = g_byte_array_new();
}

void ql_http_response_finish(ql_http_response_t *response)
{
	g_array_free(response->headers, TRUE);
	g_byte_array_free(response->body, TRUE);
}

const char *ql_http_response_find_header(const ql_http_response_t *response,
					 const char *name)
{
	const ql_http_header_t *header;
	guint i;

	for (i = 0; i < response->headers->len; i++) {
		header = &g_array_index(response->headers, ql_http_header_t, i);
		if (!g_ascii_strcasecmp(header->name, name))
			return header->value;
	}
	return NULL;
}

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	exchange_t *exchange = user;
	size_t bytes = size * n;

	if (exchange->response->body->len + bytes >
	    exchange->body_limit_bytes) {
		exchange->too_large = true;
		return 0;
	}
	g_byte_array_append(exchange->response->body, (const guint8 *)data,
			    (guint)bytes);
	return bytes;
}

static size_t on_header(char *data, size_t size, size_t n, void *user)
{
	exchange_t *exchange = user;
	size_t bytes = size * n;
	char *line = g_strndup(data, bytes);
	char *colon = strchr(line, ':');
	ql_http_header_t header;

	if (g_str_has_prefix(line, "HTTP/"))
		g_array_set_size(exchange->response->headers, 0);
	if (colon) {
		*colon = '\0';
		header.name = g_strdup(line);
		header.value = g_strdup(g_strstrip(colon + 1));
		g_array_append_val(exchange->response->headers, header);
	}
	g_free(line);
	return bytes;
}

/*
 * Called by libcurl before each time that it sends the request. When the server
 * has closed a persistent connection, libcurl would send the request again on a
 * new one; this aborts the second transmission.
 */
static int on_before_send(void *user, char *peer_ip G_GNUC_UNUSED,
			  char *own_ip G_GNUC_UNUSED,
			  int peer_port G_GNUC_UNUSED,
			  int own_port G_GNUC_UNUSED)
{
	exchange_t *exchange = user;

	return exchange->n_sends++ ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static void set_body(CURL *handle, const ql_http_request_t *request)
{
	if (!strcmp(request->method, "HEAD")) {
		curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
		return;
	}
	if (request->body_bytes || !strcmp(request->method, "POST")) {
		curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body_bytes);
		curl_easy_setopt(handle, CURLOPT_POSTFIELDS,
				 request->body_bytes ? request->body : "");
	}
	curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request->method);
}

static void set_options(CURL *handle, const ql_http_request_t *request,
			exchange_t *exchange)
{
	char url[URL_MAX_BYTES];

	snprintf(url, sizeof(url), "http://%s%s", request->address,
		 request->target);
	curl_easy_setopt(handle, CURLOPT_URL, url);
	curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(handle, CURLOPT_PROXY, "");
	curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(handle, CURLOPT_HTTPHEADER, request->headers);
	curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(handle, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(handle, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(handle, CURLOPT_PREREQDATA, exchange);
	set_body(handle, request);
}

static int error_code(CURLcode code, const exchange_t *exchange)
{
	if (exchange->too_large)
		return QL_E_TOO_LARGE;
	if (exchange->cancelled)
		return QL_E_CANCELLED;
	switch (code) {
	case CURLE_OPERATION_TIMEDOUT:
		return QL_E_TIMEOUT;
	case CURLE_PARTIAL_FILE:
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_BAD_CONTENT_ENCODING:
		return QL_E_PROTOCOL;
	default:
		return exchange->n_sends ? QL_E_IO : QL_E_UNAVAILABLE;
	}
}

/* Returns the result of a finished transfer. */
static CURLcode transfer_result(CURLM *multi)
{
	int n_left;
	const CURLMsg *message = curl_multi_info_read(multi, &n_left);

	return message ? message->data.result : CURLE_FAILED_INIT;
}

/* Runs the transfer until it ends or is cancelled. */
static CURLcode run_transfer(ql_http_connection_t *connection,
			     const ql_http_request_t *request,
			     exchange_t *exchange)
{
	CURLcode code = CURLE_ABORTED_BY_CALLBACK;
	int n_running = 1;
	int n_ready;

	curl_multi_add_handle(connection->multi, connection->easy);
	while (curl_multi_perform(connection->multi, &n_running) == CURLM_OK &&
	       n_running) {
		curl_multi_poll(connection->multi, NULL, 0,
				CANCELLATION_POLL_MS, &n_ready);
		/*
		 * The check costs a system call, so it is skipped while data
		 * arrives.
		 */
		if (!n_ready && request->is_cancelled &&
		    request->is_cancelled(request->cancel_data)) {
			exchange->cancelled = true;
			break;
		}
	}
	if (!n_running)
		code = transfer_result(connection->multi);
	curl_multi_remove_handle(connection->multi, connection->easy);
	return code;
}

int ql_http_client_exchange(ql_http_client_t *client,
			    const ql_http_request_t *request,
			    ql_http_response_t *response, bool *sent,
			    GError **error)
{
	exchange_t exchange = {
		.response = response,
		.body_limit_bytes = request->body_limit_bytes,
	};
	ql_http_connection_t *connection;
	CURLcode code;

	*sent = false;
	if (strlen(request->address) + strlen(request->target) + 16 >
	    URL_MAX_BYTES)
		return ql_error_set(error, QL_E_TOO_LARGE,
				    "the URL is longer than %d bytes",
				    URL_MAX_BYTES);
	connection = ql_http_pool_take(&client->pool, request->address,
				       ql_clock_now_us());
	if (!connection)
		return ql_error_set(error, QL_E_NOMEM, "curl_easy_init");
	set_options(connection->easy, request, &exchange);
	code = run_transfer(connection, request, &exchange);
	*sent = exchange.n_sends > 0;
	curl_easy_getinfo(connection->easy, CURLINFO_RESPONSE_CODE,
			  &response->status);
	if (code == CURLE_OK && !ql_http_status_is_final(response->status))
		code = CURLE_WEIRD_SERVER_REPLY;
	if (code == CURLE_OK) {
		ql_http_pool_put(&client->pool, request->address, connection,
				 ql_clock_now_us());
		return 0;
	}
	ql_http_connection_close(connection);
	return ql_error_set(error, (ql_error_code_t)error_code(code, &exchange),
			    "%s: %s", request->address,
			    curl_easy_strerror(code));
}
