#ifndef QL_NODE_HTTP_CLIENT_H
#define QL_NODE_HTTP_CLIENT_H

/**
 * DOC: HTTP calls over kept connections.
 */

#include "node/http_pool.h"

G_BEGIN_DECLS

/**
 * struct ql_http_client - Makes calls.
 * @pool: its idle connections
 */
typedef struct ql_http_client {
	ql_http_pool_t pool;
} ql_http_client_t;

/**
 * struct ql_http_header - One header.
 */
typedef struct ql_http_header {
	char *name;
	char *value;
} ql_http_header_t;

/**
 * struct ql_http_request - What to send.
 * @address: "IP:port"
 * @method: HTTP method
 * @target: path and query
 * @headers: lines "Name: value"; borrowed
 * @body: the body; borrowed
 * @body_bytes: its length
 * @timeout_ms: for the whole exchange
 * @body_limit_bytes: longest body of an answer
 * @is_cancelled: asked now and then whether to give up; may be NULL
 * @cancel_data: passed to it
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
 * struct ql_http_response - What came back.
 * @status: HTTP status
 * @headers: array of &struct ql_http_header
 * @body: the body
 */
typedef struct ql_http_response {
	long status;
	GArray *headers;
	GByteArray *body;
} ql_http_response_t;

void ql_http_client_init(ql_http_client_t *client);
void ql_http_client_finish(ql_http_client_t *client);

void ql_http_response_init(ql_http_response_t *response);
void ql_http_response_finish(ql_http_response_t *response);

/**
 * ql_http_response_find_header() - Find a header.
 * @response: the answer
 * @name: its name; case is ignored
 *
 * Return: its value, or NULL.
 */
const char *ql_http_response_find_header(const ql_http_response_t *response,
					 const char *name);

/**
 * ql_http_client_exchange() - Send a request and take the whole answer.
 * @client: the client
 * @request: the request
 * @response: the answer, empty at first
 * @sent: set when the request may have reached the peer
 * @error: detail of a failure
 *
 * The request is sent once at the most: when a kept connection turns out to be
 * closed after the first byte, the exchange fails.
 *
 * Return: 0, QL_E_UNAVAILABLE when no connection was made, QL_E_IO when it
 * broke, QL_E_TIMEOUT, QL_E_CANCELLED, QL_E_TOO_LARGE, or QL_E_PROTOCOL for a
 * truncated or malformed answer.
 */
int ql_http_client_exchange(ql_http_client_t *client,
			    const ql_http_request_t *request,
			    ql_http_response_t *response, bool *sent,
			    GError **error);

G_END_DECLS

#endif
