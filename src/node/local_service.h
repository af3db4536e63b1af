#ifndef QL_NODE_LOCAL_SERVICE_H
#define QL_NODE_LOCAL_SERVICE_H

/**
 * DOC: Requests of the endpoints on this VM: announcements, calls to other
 * services, and reports for the platform.
 */

#include "node/gate_service.h"
#include "node/http_server.h"
#include "node/router.h"

G_BEGIN_DECLS

/** Prefix of the paths that the node handles itself and does not forward. */
#define QL_LOCAL_PREFIX "/quetzalloft/"

/**
 * struct ql_local_service - Handler of the local listener; all members are
 * borrowed.
 * @context: shared state of the node
 * @server: listener for the local endpoints
 * @router: makes the calls to other services
 * @gates: gates of the local endpoints
 * @report: returns a report as a new JSON value, or NULL if the topic is
 *          unknown; @filter is empty
 * @announcement_changed: called when the node must renew its lease at once, see
 *                        ql_local_endpoint_apply_announcement()
 * @data: passed to @report and @announcement_changed
 */
typedef struct ql_local_service {
	ql_context_t *context;
	ql_http_server_t *server;
	ql_router_t *router;
	ql_gate_service_t *gates;
	json_t *(*report)(void *data, const char *topic, const char *filter);
	void (*announcement_changed)(void *data);
	void *data;
} ql_local_service_t;

/**
 * ql_local_service_handle() - Handle a request of a local endpoint; see
 * ql_http_handler_t.
 * @data: &struct ql_local_service
 * @request: the request
 * @response: response to fill
 */
void ql_local_service_handle(void *data, const struct _u_request *request,
			     struct _u_response *response);

G_END_DECLS

#endif
