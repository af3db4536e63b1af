#ifndef QL_NODE_LOCAL_SERVICE_H
#define QL_NODE_LOCAL_SERVICE_H

/**
 * DOC: The listener for the endpoints of this VM: their announcements, their
 * calls to other services, and reports for the platform.
 */

#include "node/gate_service.h"
#include "node/http_server.h"
#include "node/router.h"

G_BEGIN_DECLS

/** Paths below it are the node's own and not passed on. */
#define QL_LOCAL_PREFIX "/quetzalloft/"

/**
 * struct ql_local_service - What it needs; all borrowed.
 * @context: the shared parts
 * @server: the listener
 * @report: gives a report as JSON, or NULL when the topic is unknown
 * @announced: called when the registrar is to hear of a change at once
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

void ql_local_service_handle(void *data, const struct _u_request *request,
			     struct _u_response *response);

G_END_DECLS

#endif
