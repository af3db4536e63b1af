#ifndef QL_NODE_ROUTER_H
#define QL_NODE_ROUTER_H

/**
 * DOC: Carries calls to the gate beside a chosen endpoint, with retries within
 * the allowance, the deadline and the retry budget of the callee.
 */

#include "node/attempt.h"

G_BEGIN_DECLS

/**
 * struct ql_router - The endpoints of all called services.
 * @context: borrowed
 * @client: for HTTP calls; borrowed
 * @ops: policy that chooses endpoints
 * @lock: guards @services
 * @services: endpoints and retry budget by name of the service
 */
typedef struct ql_router {
	ql_context_t *context;
	ql_http_client_t *client;
	const ql_balancer_ops_t *ops;
	pthread_mutex_t lock;
	GHashTable *services;
} ql_router_t;

void ql_router_init(ql_router_t *router, ql_context_t *context,
		    ql_http_client_t *client);
void ql_router_finish(ql_router_t *router);

void ql_router_add_endpoint(ql_router_t *router, const char *service,
			    const ql_endpoint_info_t *info);
void ql_router_remove_endpoint(ql_router_t *router, const char *service,
			       const char *gate);

/**
 * ql_router_call() - Make a call and wait for its outcome.
 * @router: the router
 * @request: the call
 * @response: the endpoint's answer, empty at first
 * @failure: why there is none
 *
 * Return: true when @response holds the endpoint's whole answer.
 */
bool ql_router_call(ql_router_t *router, const ql_router_request_t *request,
		    ql_http_response_t *response, ql_failure_t *failure);

G_END_DECLS

#endif
