#ifndef QL_NODE_ANNOUNCEMENTS_H
#define QL_NODE_ANNOUNCEMENTS_H

/**
 * DOC: The reports and the deregistration that the local endpoint sends to its
 * node. That an endpoint withdraws is confirmed once its registrars know it, so
 * that the confirmation still holds after a restart of the node.
 */

#include "node/http_server.h"
#include "node/path_node.h"

G_BEGIN_DECLS

/**
 * ql_announcements_handle() - Handle a request of the local endpoint.
 * @data: &struct ql_path_node
 * @request: the request
 * @response: set to 200; 400 for a malformed report or ID; 404 or 405 for
 *            another path or method; or 503 if the endpoint has to repeat the
 *            request
 */
void ql_announcements_handle(void *data, const struct _u_request *request,
			     struct _u_response *response);

G_END_DECLS

#endif
