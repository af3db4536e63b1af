#include "quetzalloft/early_rejection.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/retry.h"

#include <math.h>

/* Time in which a count falls to 1/e. */
#define DECAY_US (500.0 * QL_US_PER_MS)
/* Requests let through for each one served, so that growth is noticed. */
#define HEADROOM 1.5
/* Weight of a request whose way was free: lifts the refusal soon. */
#define FREE_WEIGHT 2.0
/* What was offered counts less by so much after a request with a free way. */
#define FREE_RELIEF 2.0
/* Refusals below that are borne before any is refused early. */
#define TOLERATED 10.0
/* One request is let through at least this often. */
#define PROBE_US (100 * QL_US_PER_MS)
#define RETRY_AFTER_MS 1000u

void ql_early_rejection_init(ql_early_rejection_t *level, size_t n_routes,
			     GRand *random)
{
	level->random = random;
	level->routes = NULL;
	ql_early_rejection_reset(level, n_routes);
}

void ql_early_rejection_finish(ql_early_rejection_t *level)
{
	g_free(level->routes);
}

void ql_early_rejection_reset(ql_early_rejection_t *level, size_t n_routes)
{
	g_free(level->routes);
	level->routes = g_new0(ql_early_rejection_route_t, n_routes);
	level->n_routes = n_routes;
}

static void decay(ql_early_rejection_route_t *route, uint64_t now_us)
{
	double factor = exp(-(double)(now_us - route->counted_us) / DECAY_US);

	route->offered *= factor;
	route->served *= factor;
	route->counted_us = now_us;
}

/* The part of the requests that would be shed below in any case. */
static double refused_part(const ql_early_rejection_route_t *route)
{
	double excess = route->offered - HEADROOM * route->served - TOLERATED;

	return excess > 0 ? excess / route->offered : 0;
}

ql_early_rejection_decision_t
ql_early_rejection_decide(ql_early_rejection_t *level, size_t index,
			  uint64_t now_us)
{
	ql_early_rejection_decision_t decision = {0};
	ql_early_rejection_route_t *route;
	double part;

	if (index >= level->n_routes)
		return decision;
	route = &level->routes[index];
	decay(route, now_us);
	part = refused_part(route);
	if (part <= 0 || now_us - route->admitted_us >= PROBE_US ||
	    g_rand_double(level->random) >= part) {
		route->admitted_us = now_us;
		return decision;
	}
	route->offered++;
	decision.refuse = true;
	decision.reason = QL_REASON_OVERLOAD;
	decision.retry_after_ms =
		ql_retry_after_ms(RETRY_AFTER_MS, level->random);
	return decision;
}

void ql_early_rejection_observe(ql_early_rejection_t *level, size_t index,
				ql_early_rejection_outcome_t end, bool is_free,
				uint64_t now_us)
{
	ql_early_rejection_route_t *route;

	if (index >= level->n_routes || end == QL_EARLY_REJECTION_OTHER)
		return;
	route = &level->routes[index];
	decay(route, now_us);
	route->offered++;
	if (end != QL_EARLY_REJECTION_SERVED)
		return;
	route->served += is_free ? FREE_WEIGHT : 1;
	if (is_free)
		route->offered /= FREE_RELIEF;
}
