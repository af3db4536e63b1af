#ifndef QUETZALLOFT_EARLY_REJECTION_H
#define QUETZALLOFT_EARLY_REJECTION_H

/**
 * DOC: Early refusal at the first node, before any work is done for a client
 * request.
 *
 * What is learned is kept for each route, since a route has one class and one
 * set of services below it: a route that never reaches an overloaded service
 * hears nothing of it and is not refused. A part of the requests is refused
 * that grows with the part that was shed below; the rest goes on and shows
 * when the overload ends.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/**
 * enum ql_early_rejection_outcome - How a client request ended, for this
 * module.
 * @QL_EARLY_REJECTION_SERVED: with a whole answer
 * @QL_EARLY_REJECTION_SHED: refused or failed because a gate on its way is
 * overloaded, or because its time ran out
 * @QL_EARLY_REJECTION_OTHER: in a way that says nothing of the load
 */
typedef enum ql_early_rejection_outcome {
	QL_EARLY_REJECTION_SERVED,
	QL_EARLY_REJECTION_SHED,
	QL_EARLY_REJECTION_OTHER,
} ql_early_rejection_outcome_t;

/**
 * struct ql_early_rejection_route - What is known of one route. Counts decay.
 * @offered: requests that ended or were refused early
 * @served: requests with a whole answer; one whose way was free counts double
 * @counted_us: the time of both counts
 * @admitted_us: when a request was let through last
 */
typedef struct ql_early_rejection_route {
	double offered;
	double served;
	uint64_t counted_us;
	uint64_t admitted_us;
} ql_early_rejection_route_t;

/**
 * struct ql_early_rejection - What the first node heard of the load below.
 * @routes: by index of the route in the document
 * @n_routes: their number
 * @random: source of the choice and of the jitter; borrowed
 */
typedef struct ql_early_rejection {
	ql_early_rejection_route_t *routes;
	size_t n_routes;
	GRand *random;
} ql_early_rejection_t;

/**
 * struct ql_early_rejection_decision - Whether to refuse a client request
 * early.
 * @refuse: it is refused, and was not run anywhere
 * @reason: why
 * @retry_after_ms: when it may come again
 */
typedef struct ql_early_rejection_decision {
	bool refuse;
	ql_reason_t reason;
	uint32_t retry_after_ms;
} ql_early_rejection_decision_t;

void ql_early_rejection_init(ql_early_rejection_t *level, size_t n_routes,
			     GRand *random);
void ql_early_rejection_finish(ql_early_rejection_t *level);

/**
 * ql_early_rejection_reset() - Forget everything, after the routes changed.
 * @level: the state
 * @n_routes: number of routes of the new document
 */
void ql_early_rejection_reset(ql_early_rejection_t *level, size_t n_routes);

/**
 * ql_early_rejection_decide() - Decide on a client request before its first
 * attempt.
 * @level: the state
 * @route: index of its route; one that is out of range is let through
 * @now_us: the time
 *
 * Return: the decision. One that is let through ends with
 * ql_early_rejection_observe().
 */
ql_early_rejection_decision_t
ql_early_rejection_decide(ql_early_rejection_t *level, size_t route,
			  uint64_t now_us);

/**
 * ql_early_rejection_observe() - Report the end of a client request that was
 * let through.
 * @level: the state
 * @route: index of its route
 * @end: how it ended
 * @is_free: no gate on its way refuses its class at present: the highest load
 *           level on its way is not above the shed order of the class
 * @now_us: the time
 */
void ql_early_rejection_observe(ql_early_rejection_t *level, size_t route,
				ql_early_rejection_outcome_t end, bool is_free,
				uint64_t now_us);

G_END_DECLS

#endif
