#ifndef QL_NODE_PATH_EXPLAIN_H
#define QL_NODE_PATH_EXPLAIN_H

/**
 * DOC: Answers the question of an operator where a request would go now, see
 * path/front_explain.h. The event loop answers it, as the state is its own.
 */

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/**
 * ql_path_explain() - Explain a request in the thread of the event loop, and
 * wait for the explanation.
 * @data: &struct ql_path_node
 * @out: set to the explanation; NULL after a failure
 * @filter: the request as a JSON object with the strings host, method, path and
 *          key and the boolean call, all of which may be absent but the path
 * @error: set after a failure; never holds the key
 *
 * Return: 0; QL_E_INVALID for a malformed filter; QL_E_TIMEOUT if the loop did
 * not answer in 500 ms; QL_E_FULL if it has too many jobs; or an error of
 * ql_front_explain().
 */
int ql_path_explain(void *data, json_t **out, const char *filter,
		    GError **error);

G_END_DECLS

#endif
