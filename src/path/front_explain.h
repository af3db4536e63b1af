#ifndef QL_PATH_FRONT_EXPLAIN_H
#define QL_PATH_FRONT_EXPLAIN_H

/**
 * DOC: Tells an operator where a request would go now, and why. Nothing is sent
 * and no state changes: the decisions of the call path are asked by their
 * functions without effects.
 */

#include "path/front.h"

#include <jansson.h>

G_BEGIN_DECLS

/** Bytes of the path and of the API key of a request to explain, with NUL. */
#define QL_EXPLAIN_TEXT_MAX 512

/**
 * struct ql_explain_request - A request to explain.
 * @host: value of the Host header; empty for none
 * @method: HTTP method
 * @path: path, with or without a query
 * @key: API key; empty for none
 * @call: it is a call of a request that runs at the local endpoint, which needs
 *        no API key and no token and is not refused early
 */
typedef struct ql_explain_request {
	char host[QL_NAME_MAX];
	char method[QL_METHOD_MAX];
	char path[QL_EXPLAIN_TEXT_MAX];
	char key[QL_EXPLAIN_TEXT_MAX];
	bool call;
} ql_explain_request_t;

/**
 * ql_front_explain() - Explain where a request would go now.
 * @front: the front end; not changed; in the thread of its loop
 * @out: set to the explanation, a new reference; NULL after a failure
 * @request: the request
 * @error: set after a failure; never holds the key
 *
 * The explanation is an object; docs/OPERATORS.md tells of its values.
 *
 * Return: 0; QL_E_UNAVAILABLE if the front end is leaving or not ready;
 * QL_E_NOT_FOUND without a route; QL_E_MISSING_KEY without an API key;
 * QL_E_UNKNOWN_KEY for an unknown one; QL_E_PENDING while it is not proven that
 * the keys are current.
 */
int ql_front_explain(ql_front_t *front, json_t **out,
		     const ql_explain_request_t *request, GError **error);

G_END_DECLS

#endif
