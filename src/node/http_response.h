#ifndef QL_NODE_HTTP_RESPONSE_H
#define QL_NODE_HTTP_RESPONSE_H

/**
 * DOC: Responses of this node: forwarded responses of endpoints, and failures
 * with an explicit outcome. Also selects the headers that are forwarded, and
 * reads and writes protocol headers.
 */

#include "node/http_client.h"
#include "node/http_server.h"
#include "quetzalloft/metadata.h"

#include <ulfius.h>

G_BEGIN_DECLS

/**
 * struct ql_failure - Failure of a call that no endpoint answered.
 * @outcome: whether the call may have run
 * @reason: reason of the failure
 * @retry_after_ms: delay before the caller should retry, in milliseconds; 0 if
 *                  not known
 * @detail: message for the caller; borrowed, may be NULL
 */
typedef struct ql_failure {
	ql_outcome_t outcome;
	ql_reason_t reason;
	uint32_t retry_after_ms;
	const char *detail;
} ql_failure_t;

/**
 * ql_failure_set_not_run() - Set a failure to QL_OUTCOME_NOT_RUN.
 * @failure: failure to set; @retry_after_ms stays as it is
 * @reason: reason why the call did not run
 * @detail: message for the caller; borrowed, may be NULL
 *
 * Return: false, so that a caller can write ``return
 * ql_failure_set_not_run(...)``.
 */
bool ql_failure_set_not_run(ql_failure_t *failure, ql_reason_t reason,
			    const char *detail);

/**
 * ql_response_set_failure() - Fill a response with a failure: the status of its
 * reason, the outcome, reason and Retry-After headers, and a JSON body.
 * @response: response to fill
 * @failure: the failure
 */
void ql_response_set_failure(struct _u_response *response,
			     const ql_failure_t *failure);

/**
 * ql_response_forward() - Copy the status, the end-to-end headers and the body
 * of an endpoint's response.
 * @response: response to fill
 * @upstream: response of the endpoint; copied; of a header that it repeats only
 *            the last value
 */
void ql_response_forward(struct _u_response *response,
			 ql_http_response_t *upstream);

/**
 * ql_response_add_metadata() - Add protocol headers to a response.
 * @response: the response
 * @metadata: headers to add; those whose bit is set
 */
void ql_response_add_metadata(struct _u_response *response,
			      const ql_metadata_t *metadata);

/**
 * ql_response_set_text() - Fill a response with a text.
 * @response: response to fill
 * @status: HTTP status
 * @type: content type
 * @text: body; copied. NULL, which the caller gets for a text that could not be
 *        made, results in the status 500 without a body.
 */
void ql_response_set_text(struct _u_response *response, unsigned int status,
			  const char *type, const char *text);

/**
 * ql_response_set_json() - Fill a response with a JSON value.
 * @response: response to fill
 * @status: HTTP status
 * @json: the value, of which the function takes the reference; NULL, as for a
 *        value that could not be made, results in the status 500
 */
void ql_response_set_json(struct _u_response *response, unsigned int status,
			  json_t *json);

/**
 * ql_http_response_outcome() - Get the outcome of a call that an endpoint
 * answered.
 * @response: complete response of the endpoint
 *
 * Return: QL_OUTCOME_NOT_RUN if the endpoint declares that it shed the request
 * before running it, else QL_OUTCOME_ANSWERED.
 */
ql_outcome_t ql_http_response_outcome(const ql_http_response_t *response);

/**
 * ql_headers_copy_end_to_end() - Copy the end-to-end headers of a request.
 * @request: the request
 *
 * Hop-by-hop headers and protocol headers are left out, except the idempotency
 * key. Of a repeated header only the last value is copied.
 *
 * Return: list of "Name: value" lines; free it with curl_slist_free_all().
 */
struct curl_slist *ql_headers_copy_end_to_end(const struct _u_request *request);

/**
 * ql_headers_add_metadata() - Append protocol headers to a list.
 * @headers: the list; owned by the returned list afterwards
 * @metadata: headers to add; those whose bit is set
 *
 * Return: the extended list.
 */
struct curl_slist *ql_headers_add_metadata(struct curl_slist *headers,
					   const ql_metadata_t *metadata);

/**
 * ql_request_parse_metadata() - Parse the protocol headers of a request.
 * @metadata: set to the parsed headers
 * @server: listener that received the request
 * @request: the request, which is still being handled
 * @error: set to the detail of a failure; may be NULL
 *
 * Return: 0 or an error of ql_metadata_add().
 */
int ql_request_parse_metadata(ql_metadata_t *metadata, ql_http_server_t *server,
			      const struct _u_request *request, GError **error);

/**
 * ql_http_response_parse_metadata() - Parse the protocol headers of a response.
 * @metadata: set to the parsed headers
 * @response: the response
 *
 * Return: 0 or an error of ql_metadata_add().
 */
int ql_http_response_parse_metadata(ql_metadata_t *metadata,
				    const ql_http_response_t *response);

G_END_DECLS

#endif
