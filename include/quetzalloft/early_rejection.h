#ifndef QUETZALLOFT_EARLY_REJECTION_H
#define QUETZALLOFT_EARLY_REJECTION_H

/**
 * DOC: Early rejection of client requests at the first node, before any work is
 * done for them.
 *
 * State is kept per route, as all requests of a route have the same class and
 * the same downstream services: requests of a route that calls no overloaded
 * service are not rejected. The rejected fraction of the requests grows with
 * the fraction that is shed downstream. The outcomes of the forwarded requests
 * show when the overload ends.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/**
 * enum ql_early_rejection_outcome - Outcome of a client request.
 * @QL_EARLY_REJECTION_SERVED: it got a complete answer
 * @QL_EARLY_REJECTION_SHED: it was refused or failed because a downstream gate
 *                           is overloaded, or its deadline passed
 * @QL_EARLY_REJECTION_OTHER: it failed for a reason unrelated to load
 */
typedef enum ql_early_rejection_outcome {
	QL_EARLY_REJECTION_SERVED,
	QL_EARLY_REJECTION_SHED,
	QL_EARLY_REJECTION_OTHER,
} ql_early_rejection_outcome_t;

/**
 * struct ql_early_rejection_route - State of one route. The counts decay
 * exponentially.
 * @offered: requests that were served, shed or rejected early; halved by each
 *           request that was served without congestion
 * @served: requests that got a complete answer; one that was served without
 *          congestion counts as two
 * @decayed_us: time up to which both counts have decayed
 * @last_forwarded_us: time at which a request was last forwarded
 */
typedef struct ql_early_rejection_route {
	double offered;
	double served;
	uint64_t decayed_us;
	uint64_t last_forwarded_us;
} ql_early_rejection_route_t;

/**
 * struct ql_early_rejection - State of all routes at one node.
 * @routes: state by index of the route in the document
 * @n_routes: number of routes
 * @random: random source of the rejections and of the jitter; borrowed
 */
typedef struct ql_early_rejection {
	ql_early_rejection_route_t *routes;
	size_t n_routes;
	GRand *random;
} ql_early_rejection_t;

/**
 * struct ql_early_rejection_decision - Decision on a client request.
 * @refuse: true to reject it without running it anywhere, false to forward it
 * @reason: reason of the rejection; %QL_REASON_NONE if it is forwarded
 * @retry_after_ms: time after which the client may send the rejected request
 *                  again; 0 if it is forwarded
 */
typedef struct ql_early_rejection_decision {
	bool refuse;
	ql_reason_t reason;
	uint32_t retry_after_ms;
} ql_early_rejection_decision_t;

/**
 * ql_early_rejection_init() - Allocate the state of all routes.
 * @rejection: state; release with ql_early_rejection_finish()
 * @n_routes: number of routes of the document
 * @random: random source; borrowed until ql_early_rejection_finish()
 *
 * No request is rejected until enough shed ones have been observed.
 */
void ql_early_rejection_init(ql_early_rejection_t *rejection, size_t n_routes,
			     GRand *random);
/**
 * ql_early_rejection_finish() - Free the state of all routes.
 * @rejection: state; its random source is not freed
 */
void ql_early_rejection_finish(ql_early_rejection_t *rejection);

/**
 * ql_early_rejection_reset() - Discard the state of all routes after the routes
 * have changed.
 * @rejection: state
 * @n_routes: number of routes of the new document
 */
void ql_early_rejection_reset(ql_early_rejection_t *rejection, size_t n_routes);

/**
 * ql_early_rejection_decide() - Decide whether to reject a client request
 * before its first attempt.
 * @rejection: state
 * @route_index: index of its route; a request with an index out of range is
 *               forwarded
 * @now_us: current time
 *
 * A request is forwarded in any case if none was for 100 ms, so that the end of
 * the overload is noticed.
 *
 * Return: the decision. The caller reports the outcome of a forwarded request
 * with ql_early_rejection_observe().
 */
ql_early_rejection_decision_t
ql_early_rejection_decide(ql_early_rejection_t *rejection, size_t route_index,
			  uint64_t now_us);

/**
 * ql_early_rejection_observe() - Record the outcome of a forwarded client
 * request.
 * @rejection: state
 * @route_index: index of its route; ignored if out of range
 * @outcome: outcome; ignored if %QL_EARLY_REJECTION_OTHER
 * @is_uncongested: true if no gate on its call path currently refuses its
 *                  class: the highest load level on the path is not above the
 *                  shed order of the class
 * @now_us: current time
 */
void ql_early_rejection_observe(ql_early_rejection_t *rejection,
				size_t route_index,
				ql_early_rejection_outcome_t outcome,
				bool is_uncongested, uint64_t now_us);

G_END_DECLS

#endif
