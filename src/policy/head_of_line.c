#include "quetzalloft/head_of_line.h"
#include "quetzalloft/clock.h"

/* Of the time that requests of the route take. */
#define HOLD_PART 32u
/* How long it is remembered that one was followed. */
#define FOLLOWED_US (10 * QL_US_PER_S)

bool ql_head_of_line_must_refuse(const ql_head_of_line_request_t *request)
{
	return request->now_us < request->next_timeout_us &&
	       request->received_us + request->typical_latency_us >
		       request->next_timeout_us;
}

uint64_t ql_head_of_line_hold_us(const ql_head_of_line_route_t *route)
{
	if (!route->last_blocking_us ||
	    route->now_us - route->last_blocking_us > FOLLOWED_US)
		return 0;
	return route->typical_latency_us / HOLD_PART;
}
