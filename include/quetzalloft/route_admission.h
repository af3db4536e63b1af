#ifndef QUETZALLOFT_ROUTE_ADMISSION_H
#define QUETZALLOFT_ROUTE_ADMISSION_H

/**
 * DOC: Which requests of a route the first node lets through: the higher
 * classes first, and no class without a part.
 *
 * A part of the requests of each route is served in any case. Where fewer are,
 * one of them is made a guaranteed one: it travels with the highest class, it
 * and all calls made for it, so that it is served in whole. It is refused only
 * where waits are far above what is bearable, or more than its time allows, and
 * all routes alike have given up the rest. The rest travels with its own class
 * and is refused as soon as that class waits longer than is bearable; what is
 * served of it counts towards the part.
 */

#include "quetzalloft/throttle.h"

G_BEGIN_DECLS

/**
 * struct ql_route_admission - What is known of one route.
 * @guaranteed: early refusal of its guaranteed requests
 * @rest: early refusal of the others
 * @credit: requests that the guaranteed part is behind, or below 0 ahead; when
 * it reaches 1, the next request is a guaranteed one
 */
typedef struct ql_route_admission {
	ql_throttle_t guaranteed;
	ql_throttle_t best_effort;
	double credit;
} ql_route_admission_t;

/**
 * struct ql_admission_offer - A request that asks to be let through.
 * @guaranteed_share: part of the requests of each route that is served first
 * @target_ms: the latency target of the route, or 0
 * @random: source of the choice and of the jitter
 * @now_us: the time
 */
typedef struct ql_admission_offer {
	double guaranteed_share;
	uint64_t target_ms;
	GRand *random;
	uint64_t now_us;
} ql_admission_offer_t;

/**
 * struct ql_admission_decision - Whether it is let through.
 * @refuse: it is refused, and was not run anywhere
 * @guaranteed: it is one of the guaranteed requests
 * @retry_after_ms: when a refused one may come again
 */
typedef struct ql_admission_decision {
	bool refuse;
	bool guaranteed;
	uint32_t retry_after_ms;
} ql_admission_decision_t;

void ql_route_admission_init(ql_route_admission_t *admission);

/**
 * ql_route_admission_offer() - Decide on a request before its first attempt.
 * @admission: of its route
 * @offer: the request
 *
 * Return: the decision. One that is let through ends with
 * ql_route_admission_end().
 */
ql_admission_decision_t
ql_route_admission_offer(ql_route_admission_t *admission,
			 const ql_admission_offer_t *offer);

/**
 * struct ql_admission_answer - What an answer says of the way below.
 * @guaranteed: what was decided on the request
 * @pressure: see quetzalloft/pressure.h
 * @latency_us: since the request came
 * @deadline_ms: the longest time that a request of the route has
 * @now_us: the time
 */
typedef struct ql_admission_answer {
	bool guaranteed;
	double pressure;
	uint64_t latency_us;
	uint64_t deadline_ms;
	uint64_t now_us;
} ql_admission_answer_t;

/**
 * ql_route_admission_note() - Learn from an answer.
 * @admission: of its route
 * @answer: what it says
 */
void ql_route_admission_record_answer(ql_route_admission_t *admission,
				      const ql_admission_answer_t *answer);

/**
 * ql_route_admission_end() - Report that a request that was let through has
 * ended.
 * @admission: of its route
 * @guaranteed: what was decided on it
 * @served: it was answered whole, and not too late
 */
void ql_route_admission_end(ql_route_admission_t *admission, bool guaranteed,
			    bool served);

G_END_DECLS

#endif
