#include "quetzalloft/early_rejection.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/retry.h"

#include <math.h>

/* Time in which the counts of a route decay to 1/e. */
#define DECAY_TIME_CONSTANT_US (500.0 * QL_US_PER_MS)
/*
 * Requests forwarded for each one served. Above 1, so that an increase of the
 * downstream capacity is noticed.
 */
#define FORWARDED_PER_SERVED 1.5
/*
 * What a request served without congestion adds to the served count. Above 1,
 * so that rejection ends soon after the congestion.
 */
#define UNCONGESTED_SERVED_WEIGHT 2.0
/* Divides the offered count when a request was served without congestion. */
#define UNCONGESTED_OFFERED_DIVISOR 2.0
/*
 * No request is rejected while the offered ones exceed FORWARDED_PER_SERVED
 * times the served ones by at most this number.
 */
#define UNTHROTTLED_EXCESS_REQUESTS 10.0
/* If no request was forwarded for this long, the next one is, as a probe. */
#define FORWARD_INTERVAL_MAX_US (100 * QL_US_PER_MS)
#define RETRY_AFTER_MEAN_MS 1000u

void ql_early_rejection_init(ql_early_rejection_t *rejection, size_t n_routes,
			     GRand *random)
{
	rejection->random = random;
	rejection->routes = NULL;
	ql_early_rejection_reset(rejection, n_routes);
}

void ql_early_rejection_finish(ql_early_rejection_t *rejection)
{
	g_free(rejection->routes);
}

void ql_early_rejection_reset(ql_early_rejection_t *rejection, size_t n_routes)
{
	g_free(rejection->routes);
	rejection->routes = g_new0(ql_early_rejection_route_t, n_routes);
	rejection->n_routes = n_routes;
}

static void decay(ql_early_rejection_route_t *route, uint64_t now_us)
{
	double factor = exp(-(double)(now_us - route->decayed_us) /
			    DECAY_TIME_CONSTANT_US);

	route->offered *= factor;
	route->served *= factor;
	route->decayed_us = now_us;
}

/*
 * Returns the fraction of the requests to reject: an estimate of those that
 * would be shed downstream anyway.
 */
static double rejected_fraction(const ql_early_rejection_route_t *route)
{
	double excess = route->offered - FORWARDED_PER_SERVED * route->served -
			UNTHROTTLED_EXCESS_REQUESTS;

	return excess > 0 ? excess / route->offered : 0;
}

ql_early_rejection_decision_t
ql_early_rejection_decide(ql_early_rejection_t *rejection, size_t route_index,
			  uint64_t now_us)
{
	ql_early_rejection_decision_t decision = {0};
	ql_early_rejection_route_t *route;
	double fraction;

	if (route_index >= rejection->n_routes)
		return decision;
	route = &rejection->routes[route_index];
	decay(route, now_us);
	fraction = rejected_fraction(route);
	if (fraction <= 0 ||
	    now_us - route->last_forwarded_us >= FORWARD_INTERVAL_MAX_US ||
	    g_rand_double(rejection->random) >= fraction) {
		route->last_forwarded_us = now_us;
		return decision;
	}
	route->offered++;
	decision.refuse = true;
	decision.reason = QL_REASON_OVERLOAD;
	decision.retry_after_ms =
		ql_retry_after_ms(RETRY_AFTER_MEAN_MS, rejection->random);
	return decision;
}

void ql_early_rejection_observe(ql_early_rejection_t *rejection,
				size_t route_index,
				ql_early_rejection_outcome_t outcome,
				bool is_uncongested, uint64_t now_us)
{
	ql_early_rejection_route_t *route;

	if (route_index >= rejection->n_routes ||
	    outcome == QL_EARLY_REJECTION_OTHER)
		return;
	route = &rejection->routes[route_index];
	decay(route, now_us);
	route->offered++;
	if (outcome != QL_EARLY_REJECTION_SERVED)
		return;
	route->served += is_uncongested ? UNCONGESTED_SERVED_WEIGHT : 1;
	if (is_uncongested)
		route->offered /= UNCONGESTED_OFFERED_DIVISOR;
}
