#ifndef QL_NODE_CLIENT_SERVICE_H
#define QL_NODE_CLIENT_SERVICE_H

/**
 * DOC: The listener for clients: the first node of a client request.
 */

#include "node/claim_service.h"
#include "node/http_server.h"
#include "node/router.h"
#include "quetzalloft/early_rejection.h"

G_BEGIN_DECLS

/**
 * struct ql_client_service - The listener and what it learned of the load.
 * @context: borrowed
 * @server: the listener; borrowed
 * @router: borrowed
 * @claims: borrowed
 * @want: told of the service of each request that this node has no endpoint
 *        of; may be NULL
 * @want_data: passed to it
 * @draining: new requests are refused
 * @lock: guards what follows
 * @level: what is known of the load below each route
 * @level_doc: the document whose routes @level counts
 * @random: source of its choices
 */
typedef struct ql_client_service {
	ql_context_t *context;
	ql_http_server_t *server;
	ql_router_t *router;
	ql_claim_service_t *claims;
	void (*service_missing)(void *data, const char *service);
	void *service_missing_data;
	int draining;
	pthread_mutex_t lock;
	ql_early_rejection_t early_rejection;
	ql_document_t *early_rejection_doc;
	GRand *random;
} ql_client_service_t;

void ql_client_service_init(ql_client_service_t *service, ql_context_t *context,
			    ql_http_server_t *server, ql_router_t *router,
			    ql_claim_service_t *claims);
void ql_client_service_finish(ql_client_service_t *service);

void ql_client_service_handle(void *data, const struct _u_request *request,
			      struct _u_response *response);

G_END_DECLS

#endif
