#include "quetzalloft/level.h"
#include "quetzalloft/clock.h"

#include <math.h>

#define RETRY_AFTER_MS 1000u
#define RETRY_AFTER_JITTER 0.5

const ql_level_opts_t ql_level_busy = {
	.decay_us = 500.0 * QL_US_PER_MS,
	.headroom = 1.5,
	.free_weight = 2.0,
	.free_relief = 2.0,
	.tolerated = 10.0,
	.probe_us = 100 * QL_US_PER_MS,
};

const ql_level_opts_t ql_level_sparse = {
	.decay_us = 2500.0 * QL_US_PER_MS,
	.headroom = 1.25,
	.free_weight = 1.0,
	.free_relief = 1.0,
	.tolerated = 3.0,
	.probe_us = 400 * QL_US_PER_MS,
};

void ql_level_init(ql_level_t *level, const ql_level_opts_t *opts,
		   size_t n_routes, GRand *random)
{
	level->opts = opts;
	level->random = random;
	level->routes = NULL;
	ql_level_reset(level, n_routes);
}

void ql_level_finish(ql_level_t *level)
{
	g_free(level->routes);
}

void ql_level_reset(ql_level_t *level, size_t n_routes)
{
	g_free(level->routes);
	level->routes = g_new0(ql_level_route_t, n_routes);
	level->n_routes = n_routes;
}

static void decay(const ql_level_t *level, ql_level_route_t *route,
		  uint64_t now_us)
{
	double factor = exp(-(double)(now_us - route->counted_us) /
			    level->opts->decay_us);

	route->offered *= factor;
	route->served *= factor;
	route->counted_us = now_us;
}

/* The part of the requests that would be shed below in any case. */
static double refused_part(const ql_level_opts_t *opts,
			   const ql_level_route_t *route)
{
	double excess = route->offered - opts->headroom * route->served -
			opts->tolerated;

	return excess > 0 ? excess / route->offered : 0;
}

ql_level_decision_t ql_level_offer(ql_level_t *level, size_t index,
				   uint64_t now_us)
{
	ql_level_decision_t decision = {0};
	ql_level_route_t *route;
	double part;

	if (index >= level->n_routes)
		return decision;
	route = &level->routes[index];
	decay(level, route, now_us);
	part = refused_part(level->opts, route);
	if (part <= 0 || now_us - route->admitted_us >= level->opts->probe_us ||
	    g_rand_double(level->random) >= part) {
		route->admitted_us = now_us;
		return decision;
	}
	route->offered++;
	decision.refuse = true;
	decision.reason = QL_REASON_OVERLOAD;
	decision.retry_after_ms =
		(uint32_t)(RETRY_AFTER_MS *
			   g_rand_double_range(level->random,
					       1 - RETRY_AFTER_JITTER,
					       1 + RETRY_AFTER_JITTER));
	return decision;
}

void ql_level_done(ql_level_t *level, size_t index, ql_level_end_t end,
		   bool is_free, uint64_t now_us)
{
	ql_level_route_t *route;

	if (index >= level->n_routes || end == QL_LEVEL_OTHER)
		return;
	route = &level->routes[index];
	decay(level, route, now_us);
	route->offered++;
	if (end != QL_LEVEL_SERVED)
		return;
	route->served += is_free ? level->opts->free_weight : 1;
	if (is_free)
		route->offered /= level->opts->free_relief;
}
