#ifndef QL_PATH_FRONT_H
#define QL_PATH_FRONT_H

/**
 * DOC: The first node of a request: it takes requests of clients and of the
 * endpoint beside it, finds the route, chooses an endpoint for each attempt,
 * and gives exactly one answer.
 */

#include "http/listener.h"
#include "path/hop.h"
#include "path/local_gate.h"
#include "quetzalloft/balancer.h"
#include "quetzalloft/retry.h"
#include "quetzalloft/route_admission.h"
#include "util/counters.h"

G_BEGIN_DECLS

/**
 * struct ql_front_opts - Settings.
 * @dialect: of clients; borrowed
 * @caller: service of the endpoint beside this node
 * @own_gate: "IP:port" of the gate of this node
 * @failure_domain: where this node is
 * @repeat_ratio: second sends that a service takes for each request for it,
 * from all layers above it together; 0 goes by the document
 * @local: the gate of this node; borrowed
 * @hops: connections to other gates; borrowed
 * @counters: what happens is counted there; borrowed
 */
typedef struct ql_front_opts {
	const ql_dialect_t *dialect;
	char caller[QL_NAME_MAX];
	char own_gate[QL_ADDRESS_MAX];
	char failure_domain[QL_NAME_MAX];
	double repeat_ratio;
	ql_local_gate_t *local;
	ql_hops_t *hops;
	ql_counters_t *counters;
} ql_front_opts_t;

/**
 * struct ql_front_service - A service that requests are sent to.
 * @balancer: its endpoints
 * @budget: for repeats to it
 */
typedef struct ql_front_service {
	ql_balancer_t balancer;
	ql_retry_budget_t budget;
} ql_front_service_t;

/**
 * struct ql_front_usage - Requests and calls on a route since the start.
 * @offered: those that came
 * @refused_early: those refused before anything was done for them
 * @answered: those that an endpoint answered, in whole and without a failure of
 * its own
 * @failed: those that failed after something had been done for them
 * @noted: those that told of a pressure, see quetzalloft/pressure.h
 * @pressed: those of them that told of more than is bearable
 * @pressure: what they told, added up
 */
typedef struct ql_front_usage {
	uint64_t offered;
	uint64_t refused_early;
	uint64_t answered;
	uint64_t failed;
	uint64_t pressure_samples;
	uint64_t congested;
	double pressure_sum;
} ql_front_usage_t;

/**
 * struct ql_front_route - What the front keeps of a route, over all documents
 * that have a route of this name.
 * @references: the document in force, and the requests on their way
 * @credit: for each part of its split; the one with the most is next
 * @typical_us: moving mean of the time in which an attempt is answered
 * @followed_us: when a request was read last behind one that would hold it up
 * @admission: early refusal of its requests
 * @usage: what became of them
 * @logged: the same, when it was logged last
 */
typedef struct ql_front_route {
	uint32_t references;
	int64_t split_credit[QL_ROUTE_PARTS_MAX];
	double typical_us;
	uint64_t last_blocking_us;
	ql_route_admission_t admission;
	ql_front_usage_t usage;
	ql_front_usage_t logged_usage;
} ql_front_route_t;

/**
 * struct ql_front - The front.
 * @doc: the document in force
 * @ready: requests may be served
 * @leaving: no request is begun any more
 * @services: &struct ql_front_service by name
 * @routes: by index of the route in @doc, each with a reference
 * @n_routes: their number
 * @calls: set of requests in progress
 */
typedef struct ql_front {
	ql_loop_t *loop;
	ql_front_opts_t opts;
	ql_document_t *doc;
	bool ready;
	bool draining;
	GHashTable *services;
	ql_front_route_t **routes;
	size_t n_routes;
	GHashTable *calls;
	GRand *random;
} ql_front_t;

void ql_front_init(ql_front_t *front, ql_loop_t *loop,
		   const ql_front_opts_t *opts);
void ql_front_finish(ql_front_t *front);

/**
 * ql_front_set_document() - Put another document in force.
 * @front: the front
 * @doc: the document; a reference is taken
 */
void ql_front_set_document(ql_front_t *front, ql_document_t *doc);

/**
 * ql_front_set_repeat_ratio() - Change the budget of repeats.
 * @front: the front
 * @ratio: see &struct ql_front_opts
 */
void ql_front_set_repeat_ratio(ql_front_t *front, double ratio);

void ql_front_add_endpoint(ql_front_t *front, const char *service,
			   const ql_endpoint_info_t *info);
void ql_front_remove_endpoint(ql_front_t *front, const char *service,
			      const char *gate);

/**
 * ql_front_find_service() - Find or add a service.
 */
ql_front_service_t *ql_front_find_service(ql_front_t *front, const char *name);

/**
 * ql_front_choose_part() - The service of the next request of a route.
 * @front: the front
 * @index: of the route in the document in force
 *
 * Return: the index of the service; each gets its weight of any run of
 * requests.
 */
uint16_t ql_front_choose_service(ql_front_t *front, size_t index);

/**
 * ql_front_handle() - Take one request; see &struct ql_listener_opts.
 * @data: &struct ql_front
 * @exchange: the request
 */
void ql_front_handle(void *data, ql_http_exchange_t *exchange);

/**
 * ql_front_fail_all() - Give every request in progress its final answer.
 * @front: the front of a node that has no time left
 */
void ql_front_fail_all(ql_front_t *front);

G_END_DECLS

#endif
