#include "quetzalloft/head_of_line.h"
#include "quetzalloft/clock.h"

/* A request is held back for its typical latency divided by this. */
#define HOLD_LATENCY_DIVISOR 32u
/* How long after the last blocking requests of the route are held back. */
#define BLOCKING_MEMORY_US (10 * QL_US_PER_S)

bool ql_head_of_line_must_refuse(const ql_head_of_line_request_t *request)
{
	return request->now_us < request->next_timeout_us &&
	       request->received_us + request->typical_latency_us >
		       request->next_timeout_us;
}

uint64_t ql_head_of_line_hold_us(const ql_head_of_line_route_t *route)
{
	if (!route->last_blocking_us ||
	    route->now_us - route->last_blocking_us > BLOCKING_MEMORY_US)
		return 0;
	return route->typical_latency_us / HOLD_LATENCY_DIVISOR;
}
