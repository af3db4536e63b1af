#ifndef QL_NODE_HTTP_CLIENT_H
#define QL_NODE_HTTP_CLIENT_H

/**
 * DOC: HTTP client with a pool of persistent connections.
 */

#include "node/http_pool.h"

G_BEGIN_DECLS

/**
 * struct ql_http_client - An HTTP client; may be used by many threads.
 * @pool: idle connections
 */
typedef struct ql_http_client {
	ql_http_pool_t pool;
} ql_http_client_t;

/**
 * struct ql_http_header - A header.
 * @name: name; owned
 * @value: value without surrounding white space; owned
 */
typedef struct ql_http_header {
	char *name;
	char *value;
} ql_http_header_t;

/**
 * struct ql_http_request - A request to send. All pointers are borrowed.
 * @address: "IP:port" of the server
 * @method: HTTP method
 * @target: path and query
 * @headers: "Name: value" lines; may be NULL
 * @body: body; may be NULL if @body_bytes is 0
 * @body_bytes: length of @body
 * @timeout_ms: time limit of the whole exchange, in milliseconds
 * @body_limit_bytes: maximum length of the response body
 * @is_cancelled: checks whether to abort the exchange; polled every 20 ms while
 *                no data arrives; may be NULL
 * @cancel_data: passed to @is_cancelled
 */
typedef struct ql_http_request {
	const char *address;
	const char *method;
	const char *target;
	struct curl_slist *headers;
	const void *body;
	size_t body_bytes;
	uint64_t timeout_ms;
	size_t body_limit_bytes;
	bool (*is_cancelled)(void *data);
	void *cancel_data;
} ql_http_request_t;

/**
 * struct ql_http_response - A received response.
 * @status: HTTP status
 * @headers: array of &struct ql_http_header; owned
 * @body: body; owned
 */
typedef struct ql_http_response {
	long status;
	GArray *headers;
	GByteArray *body;
} ql_http_response_t;

/**
 * ql_http_client_init() - Initialize a client without connections.
 * @client: the client
 */
void ql_http_client_init(ql_http_client_t *client);

/**
 * ql_http_client_finish() - Close the idle connections of a client.
 * @client: the client; no exchange may be in progress
 */
void ql_http_client_finish(ql_http_client_t *client);

/**
 * ql_http_response_init() - Initialize an empty response.
 * @response: the response
 */
void ql_http_response_init(ql_http_response_t *response);

/**
 * ql_http_response_finish() - Free the headers and the body of a response.
 * @response: the response
 */
void ql_http_response_finish(ql_http_response_t *response);

/**
 * ql_http_response_find_header() - Find the first header with a name.
 * @response: the response
 * @name: name of the header; case is ignored
 *
 * Return: value of the header, valid until the response is changed, or NULL.
 */
const char *ql_http_response_find_header(const ql_http_response_t *response,
					 const char *name);

/**
 * ql_http_client_exchange() - Send a request and receive the complete response.
 * @client: the client
 * @request: the request
 * @response: filled with the response; must be empty
 * @sent: set to true if the server may have received the request
 * @error: set to the detail of a failure; may be NULL
 *
 * The request is sent at most once: if the server closes a persistent
 * connection after the request was sent on it, the exchange fails.
 *
 * Return: 0; QL_E_UNAVAILABLE if no connection was established; QL_E_IO if the
 * connection was lost; QL_E_TIMEOUT; QL_E_CANCELLED; QL_E_TOO_LARGE if the URL
 * or the response body is too long; QL_E_PROTOCOL if the response is truncated
 * or malformed; QL_E_NOMEM.
 */
int ql_http_client_exchange(ql_http_client_t *client,
			    const ql_http_request_t *request,
			    ql_http_response_t *response, bool *sent,
			    GError **error);

G_END_DECLS

#endif
