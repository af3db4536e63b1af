#ifndef QUETZALLOFT_ROUTE_ADMISSION_H
#define QUETZALLOFT_ROUTE_ADMISSION_H

/**
 * DOC: Admission control for the requests of a route at the node that receives
 * them from the client: higher classes first, with a guaranteed share for every
 * route.
 *
 * Each route has a guaranteed share: the fraction of its requests that is
 * served in any case. When the route is below it, the next request is made a
 * guaranteed one: it and all its downstream calls run in the highest class, so
 * that the whole request is served. All other requests are best-effort ones:
 * they run in the class of the route, and count towards the guaranteed share if
 * they are served.
 *
 * Both kinds have a throttle. Best-effort requests are refused early as soon as
 * the queueing delay of their class exceeds the acceptable one. Guaranteed ones
 * are refused early only when queueing delays are far above the acceptable one,
 * or too long for their deadline, after all routes have reduced their
 * best-effort requests.
 *
 * Where teams have classes of their own, the requests of a route are of several
 * classes, which wait differently long. Each class of a route then has an
 * admission control and a guaranteed share of its own.
 */

#include "quetzalloft/throttle.h"

G_BEGIN_DECLS

/**
 * struct ql_route_admission - Admission control of one class of one route.
 * @guaranteed: throttle of the guaranteed requests
 * @best_effort: throttle of all other requests
 * @credit: number of requests by which the route is below its guaranteed share;
 *          negative, at least -8, if it is above. From 1 on the next request
 *          that may be is made a guaranteed one; at most 8.
 * @limit_passed: moving mean of the part of the best-effort requests chosen
 *                with QL_THROTTLE_TAKE that the throttle admitted, 0 to 1
 */
typedef struct ql_route_admission {
	ql_throttle_t guaranteed;
	ql_throttle_t best_effort;
	double credit;
	double limit_passed;
} ql_route_admission_t;

/**
 * struct ql_admission_offer - A request to decide on.
 * @guaranteed_share: fraction of the requests of each route that is guaranteed,
 *                    0 to 1
 * @target_ms: latency target of the route; 0 if it has none
 * @random: random number generator for the decision and the jitter
 * @now_us: current time
 * @choice: whether the request is among those to admit. With
 *          QL_THROTTLE_LEAVE it is not made a guaranteed one either
 */
typedef struct ql_admission_offer {
	double guaranteed_share;
	uint64_t target_ms;
	GRand *random;
	uint64_t now_us;
	ql_throttle_choice_t choice;
} ql_admission_offer_t;

/**
 * struct ql_admission_decision - Whether to admit a request.
 * @refuse: the request is refused; no part of it was run
 * @guaranteed: the request is a guaranteed one
 * @retry_after_ms: time after which a refused request may be sent again; 0 if
 *                  it is admitted
 */
typedef struct ql_admission_decision {
	bool refuse;
	bool guaranteed;
	uint32_t retry_after_ms;
} ql_admission_decision_t;

/**
 * ql_route_admission_init() - Start to admit all requests.
 * @admission: admission control of the route; it allocates nothing and needs no
 *             release
 */
void ql_route_admission_init(ql_route_admission_t *admission);

/**
 * ql_route_admission_offer() - Decide on a request before its first attempt.
 * @admission: admission control of the route
 * @offer: the request
 *
 * Return: the decision. The caller must call
 * ql_route_admission_finish_request() when an admitted request ends.
 */
ql_admission_decision_t
ql_route_admission_offer(ql_route_admission_t *admission,
			 const ql_admission_offer_t *offer);

/**
 * struct ql_admission_look - What would be decided on a request.
 * @guaranteed: it would be a guaranteed one
 * @verdict: what would decide on it
 * @share: share of such requests that is admitted, 0 to 1
 */
typedef struct ql_admission_look {
	bool guaranteed;
	ql_throttle_verdict_t verdict;
	double share;
} ql_admission_look_t;

/**
 * ql_route_admission_look() - Tell what ql_route_admission_offer() would decide
 * now, without offering a request.
 * @admission: the admission control
 * @offer: the request; its random number generator is not used
 *
 * Return: the decision.
 */
ql_admission_look_t
ql_route_admission_look(const ql_route_admission_t *admission,
			const ql_admission_offer_t *offer);

/**
 * struct ql_admission_peer - Another class of the same route.
 * @admission: its admission control
 * @shed_order: its shed order
 */
typedef struct ql_admission_peer {
	const ql_route_admission_t *admission;
	uint32_t shed_order;
} ql_admission_peer_t;

/**
 * ql_route_admission_compare() - Take over what other classes of the route have
 * learned. To be called before each offer if there are other classes.
 * @admission: admission control of the class
 * @shed_order: shed order of the class
 * @peers: the other classes
 * @n_peers: number of elements of @peers
 * @now_us: current time
 *
 * A class waits no longer than those that are shed before it, so its share is
 * at least that of each of them that had an answer in the last second.
 */
void ql_route_admission_compare(ql_route_admission_t *admission,
				uint32_t shed_order,
				const ql_admission_peer_t *peers,
				size_t n_peers, uint64_t now_us);

/**
 * ql_route_admission_share() - Estimate the part of the requests that is
 * admitted: the share, and what the limit of the requests in progress leaves of
 * it, but no less than the guaranteed share.
 * @admission: admission control of the class
 * @guaranteed_share: see &struct ql_admission_offer
 *
 * Return: 0 to 1.
 */
double ql_route_admission_share(const ql_route_admission_t *admission,
				double guaranteed_share);

/**
 * struct ql_admission_answer - What the answer to a request shows of the load
 * downstream.
 * @guaranteed: whether the request was a guaranteed one
 * @pressure: pressure of the request, 0 to QL_PRESSURE_MAX; see
 *            quetzalloft/pressure.h
 * @latency_us: time since the request was received
 * @deadline_ms: longest time that a request of the route may take
 * @now_us: current time
 */
typedef struct ql_admission_answer {
	bool guaranteed;
	double pressure;
	uint64_t latency_us;
	uint64_t deadline_ms;
	uint64_t now_us;
} ql_admission_answer_t;

/**
 * ql_route_admission_record_answer() - Adapt the throttles to an answer.
 * @admission: admission control of the route
 * @answer: pressure and latency of the answered request
 */
void ql_route_admission_record_answer(ql_route_admission_t *admission,
				      const ql_admission_answer_t *answer);

/**
 * ql_route_admission_finish_request() - Remove an admitted request from those
 * in progress.
 * @admission: admission control of the route
 * @guaranteed: whether the request was a guaranteed one
 * @served: the request was answered completely and within its target
 */
void ql_route_admission_finish_request(ql_route_admission_t *admission,
				       bool guaranteed, bool served);

G_END_DECLS

#endif
