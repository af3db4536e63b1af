#ifndef QL_NODE_ROUTER_H
#define QL_NODE_ROUTER_H

/**
 * DOC: Calls to services. The router chooses an endpoint for each attempt and
 * sends the attempt to its gate. Retries are limited by the attempt allowance,
 * the deadline and the retry budget of the called service.
 */

#include "node/attempt.h"

G_BEGIN_DECLS

/**
 * struct ql_router - A router.
 * @context: shared state of the node; borrowed
 * @client: HTTP client; borrowed
 * @ops: load balancing policy
 * @lock: guards @services
 * @services: endpoints and retry budget of each service by its name; an entry
 *            is never removed before ql_router_finish()
 */
typedef struct ql_router {
	ql_context_t *context;
	ql_http_client_t *client;
	const ql_balancer_ops_t *ops;
	pthread_mutex_t lock;
	GHashTable *services;
} ql_router_t;

/**
 * ql_router_init() - Initialize a router without endpoints.
 * @router: the router
 * @context: shared state of the node; borrowed
 * @client: HTTP client; borrowed
 */
void ql_router_init(ql_router_t *router, ql_context_t *context,
		    ql_http_client_t *client);

/**
 * ql_router_finish() - Free the services of a router.
 * @router: the router; no call may be in flight
 */
void ql_router_finish(ql_router_t *router);

/**
 * ql_router_add_endpoint() - Add or update an endpoint of a service.
 * @router: the router
 * @service: name of the service
 * @info: the endpoint; copied
 */
void ql_router_add_endpoint(ql_router_t *router, const char *service,
			    const ql_endpoint_info_t *info);

/**
 * ql_router_remove_endpoint() - Remove an endpoint of a service.
 * @router: the router
 * @service: name of the service
 * @gate: "IP:port" of the gate of the endpoint; ignored if unknown
 */
void ql_router_remove_endpoint(ql_router_t *router, const char *service,
			       const char *gate);

/**
 * ql_router_call() - Call a service and wait for the outcome.
 * @router: the router
 * @request: the call
 * @response: filled with the endpoint's response; must be empty
 * @failure: set if no endpoint answered
 *
 * Return: true if @response is the complete response of an endpoint.
 */
bool ql_router_call(ql_router_t *router, const ql_router_request_t *request,
		    ql_http_response_t *response, ql_failure_t *failure);

G_END_DECLS

#endif
