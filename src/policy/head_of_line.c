#include "quetzalloft/head_of_line.h"
#include "quetzalloft/clock.h"

/* A request is delayed for its typical latency divided by this. */
#define FORWARD_DELAY_LATENCY_DIVISOR 32u
/* How long requests of a route are delayed after the last blocking. */
#define FORWARD_DELAY_AFTER_BLOCKING_US (10 * QL_US_PER_S)

bool ql_head_of_line_must_refuse(const ql_head_of_line_request_t *request)
{
	return request->now_us < request->next_timeout_us &&
	       request->received_us + request->typical_latency_us >
		       request->next_timeout_us;
}

uint64_t ql_head_of_line_forward_delay_us(const ql_head_of_line_route_t *route)
{
	if (!route->last_blocking_us ||
	    route->now_us - route->last_blocking_us >
		    FORWARD_DELAY_AFTER_BLOCKING_US)
		return 0;
	return route->typical_latency_us / FORWARD_DELAY_LATENCY_DIVISOR;
}
