#ifndef QL_NODE_HTTP_RESPONSE_H
#define QL_NODE_HTTP_RESPONSE_H

/**
 * DOC: Answers to calls: those of an endpoint, passed on whole, and failures
 * with an explicit outcome. Also the headers that are not passed on.
 */

#include "node/http_client.h"
#include "node/http_server.h"
#include "quetzalloft/metadata.h"

#include <ulfius.h>

G_BEGIN_DECLS

/**
 * struct ql_failure - A call that did not end in an endpoint's answer.
 * @outcome: what is known
 * @reason: why
 * @retry_after_ms: when to come again; 0 when nothing is known
 * @detail: for the caller; may be NULL
 */
typedef struct ql_failure {
	ql_outcome_t outcome;
	ql_reason_t reason;
	uint32_t retry_after_ms;
	const char *detail;
} ql_failure_t;

/**
 * ql_failure_set_not_run() - Fill in a failure of a call that did not run.
 * @failure: the failure
 * @reason: why it did not run
 * @detail: for the caller; may be NULL
 *
 * Return: false, so that a caller can write ``return
 * ql_failure_set_not_run(...)``.
 */
bool ql_failure_set_not_run(ql_failure_t *failure, ql_reason_t reason,
			    const char *detail);

/**
 * ql_response_set_failure() - Answer with a failure.
 * @response: the answer
 * @failure: the failure
 */
void ql_response_set_failure(struct _u_response *response,
			     const ql_failure_t *failure);

/**
 * ql_response_forward() - Answer with what an endpoint answered.
 * @response: the answer
 * @upstream: the endpoint's; its body is taken over
 */
void ql_response_forward(struct _u_response *response,
			 ql_http_response_t *upstream);

/**
 * ql_response_add_metadata() - Add protocol headers to an answer.
 * @response: the answer
 * @metadata: the headers whose bits are set
 */
void ql_response_add_metadata(struct _u_response *response,
			      const ql_metadata_t *metadata);

/**
 * ql_response_set_text() - Answer with a text of this node.
 * @response: the answer
 * @status: HTTP status
 * @type: content type
 * @text: the text
 */
void ql_response_set_text(struct _u_response *response, unsigned int status,
			  const char *type, const char *text);

/**
 * ql_http_response_outcome() - What an endpoint's whole answer says of its
 * request.
 * @response: the answer
 *
 * Return: QL_OUTCOME_NOT_RUN when the endpoint says that it shed the request
 * before it ran, else QL_OUTCOME_ANSWERED.
 */
ql_outcome_t ql_http_response_outcome(const ql_http_response_t *response);

/**
 * ql_headers_copy_end_to_end() - Copy the headers of a request that are passed
 * on.
 * @request: the request
 *
 * Hop-by-hop headers and those of this protocol are left out; the idempotency
 * key is passed on.
 *
 * Return: a list to free with curl_slist_free_all().
 */
struct curl_slist *ql_headers_copy_end_to_end(const struct _u_request *request);

/**
 * ql_headers_add_metadata() - Add protocol headers to a request.
 * @headers: the list
 * @metadata: the headers whose bits are set
 *
 * Return: the new list.
 */
struct curl_slist *ql_headers_add_metadata(struct curl_slist *headers,
					   const ql_metadata_t *metadata);

/**
 * ql_request_parse_metadata() - Parse the protocol headers of a request.
 * @metadata: the result
 * @server: the listener that took the request
 * @request: the request
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_metadata_add().
 */
int ql_request_parse_metadata(ql_metadata_t *metadata, ql_http_server_t *server,
			      const struct _u_request *request, GError **error);

/**
 * ql_http_response_parse_metadata() - Parse the protocol headers of an answer.
 * @metadata: the result
 * @response: the answer
 *
 * Return: 0 or a failure of ql_metadata_add().
 */
int ql_http_response_parse_metadata(ql_metadata_t *metadata,
				    const ql_http_response_t *response);

G_END_DECLS

#endif
