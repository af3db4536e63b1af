#ifndef QL_NODE_CLIENT_SERVICE_H
#define QL_NODE_CLIENT_SERVICE_H

/**
 * DOC: Requests of clients. The node that receives a client request finds its
 * route, starts its deadline and its attempt allowance, and calls the service.
 */

#include "node/claim_service.h"
#include "node/http_server.h"
#include "node/router.h"
#include "quetzalloft/early_rejection.h"

G_BEGIN_DECLS

/**
 * struct ql_client_service - Handler of the client listener.
 * @context: shared state of the node; borrowed
 * @server: listener for clients; borrowed
 * @router: makes the calls to services; borrowed
 * @claims: claim service, to seal idempotency keys; borrowed
 * @service_missing: called with the name of a service if a request for it
 *                   failed because no endpoint is known; may be NULL
 * @service_missing_data: passed to @service_missing
 * @draining: new requests are refused; atomic
 * @lock: guards the members below
 * @early_rejection: early rejection of requests, by index of the route
 * @early_rejection_doc: document whose routes @early_rejection counts, or NULL
 * @random: random source of @early_rejection
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

/**
 * ql_client_service_init() - Initialize the handler.
 * @service: the handler
 * @context: shared state of the node; borrowed
 * @server: listener for clients; borrowed
 * @router: router; borrowed
 * @claims: claim service; borrowed
 */
void ql_client_service_init(ql_client_service_t *service, ql_context_t *context,
			    ql_http_server_t *server, ql_router_t *router,
			    ql_claim_service_t *claims);

/**
 * ql_client_service_finish() - Free the handler.
 * @service: the handler; no request may be in flight
 */
void ql_client_service_finish(ql_client_service_t *service);

/**
 * ql_client_service_handle() - Handle a request of a client; see
 * ql_http_handler_t.
 * @data: &struct ql_client_service
 * @request: the request
 * @response: response to fill
 */
void ql_client_service_handle(void *data, const struct _u_request *request,
			      struct _u_response *response);

G_END_DECLS

#endif
