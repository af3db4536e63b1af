#include "quetzalloft/give_way.h"
#include "quetzalloft/clock.h"

/* Of the time that requests of the route take. */
#define HOLD_PART 32u
/* How long it is remembered that one was followed. */
#define FOLLOWED_US (10 * QL_US_PER_S)

bool ql_gives_way(const ql_give_way_t *request)
{
	return request->now_us < request->until_us &&
	       request->begun_us + request->typical_us > request->until_us;
}

uint64_t ql_give_way_hold_us(const ql_give_way_route_t *route)
{
	if (!route->followed_us ||
	    route->now_us - route->followed_us > FOLLOWED_US)
		return 0;
	return route->typical_us / HOLD_PART;
}
