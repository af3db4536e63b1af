#ifndef QL_NODE_CLIENT_SERVICE_H
#define QL_NODE_CLIENT_SERVICE_H

/**
 * DOC: The listener for clients: the first node of a client request.
 */

#include "node/http_server.h"
#include "node/router.h"

G_BEGIN_DECLS

/**
 * struct ql_client_service - What it needs.
 * @server: the listener; borrowed
 * @router: borrowed
 * @counters: borrowed
 * @document: gives the document in force with a new reference
 * @is_ready: whether this node has asked its failure domain since its start
 * @data: passed to both
 * @draining: new requests are refused
 * @in_progress: requests that are served at present
 */
typedef struct ql_client_service {
	ql_http_server_t *server;
	ql_router_t *router;
	ql_counters_t *counters;
	ql_document_t *(*document)(void *data);
	bool (*is_ready)(void *data);
	void *data;
	int draining;
	int in_progress;
} ql_client_service_t;

void ql_client_service_handle(void *data, const struct _u_request *request,
			      struct _u_response *response);

G_END_DECLS

#endif
