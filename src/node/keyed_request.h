#ifndef QL_NODE_KEYED_REQUEST_H
#define QL_NODE_KEYED_REQUEST_H

/**
 * DOC: Requests that carry an idempotency key and are not idempotent. A copy of
 * such a request runs only after it has won a claim at the keepers of its key.
 */

#include "node/claim_service.h"
#include "node/http_response.h"

G_BEGIN_DECLS

/**
 * struct ql_keyed_request - One copy of a keyed request.
 * @claims: claim service; borrowed
 * @doc: document that names the keepers; borrowed
 * @request: received HTTP request; borrowed
 * @key: idempotency key
 * @deadline_us: deadline, on the clock of ql_clock_now_us()
 * @run: forwards the request to the endpoint; returns true if the endpoint sent
 *       a complete response, else sets @failure. Not used for a seal.
 * @data: passed to @run
 */
typedef struct ql_keyed_request {
	ql_claim_service_t *claims;
	ql_document_t *doc;
	const struct _u_request *request;
	const char *key;
	uint64_t deadline_us;
	bool (*run)(void *data, ql_http_response_t *response,
		    ql_failure_t *failure);
	void *data;
} ql_keyed_request_t;

/**
 * ql_keyed_request_has_keepers() - Check whether a document names keepers.
 * @doc: the document
 *
 * Return: true if idempotency keys are claimed before a request runs.
 */
bool ql_keyed_request_has_keepers(const ql_document_t *doc);

/**
 * ql_keyed_request_run() - Claim the key, run the request, and store the
 * response at the keepers.
 * @keyed: the copy
 * @response: filled with the endpoint's response, or with the stored response
 *            if another copy has run; must be empty
 * @failure: set if there is no complete response
 *
 * Return: true if @response is complete.
 */
bool ql_keyed_request_run(const ql_keyed_request_t *keyed,
			  ql_http_response_t *response, ql_failure_t *failure);

/**
 * ql_keyed_request_seal() - Seal the key of a refused request, so that no copy
 * of it ever runs.
 * @keyed: the copy, which did not run
 * @failure: updated: the outcome becomes QL_OUTCOME_NOT_RUN if the keepers have
 *           chosen the seal; otherwise the outcome and the reason become those
 *           of the attempt to seal the key
 */
void ql_keyed_request_seal(const ql_keyed_request_t *keyed,
			   ql_failure_t *failure);

G_END_DECLS

#endif
