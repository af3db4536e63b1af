#ifndef QL_NODE_KEYED_REQUEST_H
#define QL_NODE_KEYED_REQUEST_H

/**
 * DOC: Requests that carry an Idempotency-Key and must not be repeated: they
 * run only under a claim that was won at the keepers of the key.
 */

#include "node/http_response.h"
#include "node/claim_service.h"

G_BEGIN_DECLS

/**
 * struct ql_keyed_request - A copy of a keyed request.
 * @claims: borrowed
 * @doc: the configuration that names the keepers
 * @request: the request
 * @key: its key
 * @deadline_us: when its time is over
 * @run: runs it; true when the endpoint answered in whole
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
 * ql_keyed_request_has_keepers() - Whether keys are claimed.
 * @doc: the configuration
 *
 * Return: false when it names no keepers.
 */
bool ql_keyed_request_has_keepers(const ql_document_t *doc);

/**
 * ql_keyed_request_run() - Win the claim, run the request, and store its
 * answer.
 * @keyed: the copy
 * @response: the answer, empty at first; for a repeat the stored one
 * @failure: why there is none
 *
 * Return: true when @response holds a whole answer.
 */
bool ql_keyed_request_run(const ql_keyed_request_t *keyed,
			  ql_http_response_t *response, ql_failure_t *failure);

/**
 * ql_keyed_request_seal() - Make sure that no copy of a refused request ever
 * runs.
 * @keyed: the copy, which did not run
 * @failure: replaced by what is known then; not-run after a majority has
 *           sealed the key
 */
void ql_keyed_request_seal(const ql_keyed_request_t *keyed,
			   ql_failure_t *failure);

G_END_DECLS

#endif
