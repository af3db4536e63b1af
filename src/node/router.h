#ifndef QL_NODE_ROUTER_H
#define QL_NODE_ROUTER_H

/**
 * DOC: Carries calls to the gate beside a chosen endpoint, with retries within
 * the allowance, the deadline and the retry budget of the callee.
 */

#include "node/answer.h"
#include "node/calls.h"
#include "node/counters.h"
#include "quetzalloft/balancer.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/document.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_router - The endpoints of all called services.
 * @client: for HTTP calls; borrowed
 * @counters: borrowed
 * @hlc: borrowed
 * @ops: policy that chooses endpoints
 * @lock: guards @services
 * @services: endpoints and retry budget by name of the service
 */
typedef struct ql_router {
	ql_http_client_t *client;
	ql_counters_t *counters;
	ql_hlc_t *hlc;
	const ql_balancer_ops_t *ops;
	char failure_domain[QL_NAME_MAX];
	pthread_mutex_t lock;
	GHashTable *services;
} ql_router_t;

/**
 * struct ql_router_request - A call to make.
 * @call: on whose behalf; its allowance is spent
 * @service: the service that is called
 * @idempotent: whether it may be repeated
 * @under_way: whether work for its client request was done already
 * @deadline_us: when its time is over
 * @config_version: version of the configuration
 * @request: what came in
 * @is_cancelled: whether to give up
 * @cancel_data: passed to it
 */
typedef struct ql_router_request {
	ql_call_t *call;
	const ql_service_t *service;
	bool idempotent;
	bool under_way;
	uint64_t deadline_us;
	uint64_t config_version;
	const struct _u_request *request;
	bool (*is_cancelled)(void *data);
	void *cancel_data;
} ql_router_request_t;

void ql_router_init(ql_router_t *router, const ql_balancer_ops_t *ops,
		    const char *failure_domain);
void ql_router_finish(ql_router_t *router);

void ql_router_endpoint_up(ql_router_t *router, const char *service,
			   const ql_target_info_t *info);
void ql_router_endpoint_gone(ql_router_t *router, const char *service,
			     const char *gate);

/**
 * ql_router_call() - Make a call and wait for its outcome.
 * @router: the router
 * @request: the call
 * @answer: the endpoint's answer, empty at first
 * @failure: why there is none
 *
 * Return: true when @answer holds the endpoint's whole answer.
 */
bool ql_router_call(ql_router_t *router, const ql_router_request_t *request,
		    ql_http_answer_t *answer, ql_failure_t *failure);

G_END_DECLS

#endif
