#ifndef QUETZALLOFT_HEAD_OF_LINE_H
#define QUETZALLOFT_HEAD_OF_LINE_H

/**
 * DOC: Early refusal of requests that cause head-of-line blocking on a
 * pipelined client connection.
 *
 * HTTP/1.1 sends responses in the order of the requests. When the client times
 * out while the response to a later request is blocked by an earlier one, it
 * closes the connection and both requests are lost. So an earlier request that
 * is not expected to complete by then is refused, and the client sends it
 * again. Only a request that has not been forwarded can be refused with the
 * truthful statement that it was not run. Therefore idempotent requests of a
 * route on which such blocking occurs are delayed by a small fraction of their
 * latency before they are forwarded.
 *
 * A request is not refused if the client would still be waiting when the
 * blocked response is sent late: clients retry only once or twice, and the
 * refused request could be lost for so small a gain.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_head_of_line_request - A request and the timeout of the request
 * pipelined behind it. All times are in microseconds on the same clock.
 * @now_us: current time
 * @received_us: when the request was received
 * @typical_latency_us: typical latency of requests of its route; 0 if unknown
 * @next_timeout_us: when the client stops waiting for the response to the
 *                   request behind it
 */
typedef struct ql_head_of_line_request {
	uint64_t now_us;
	uint64_t received_us;
	uint64_t typical_latency_us;
	uint64_t next_timeout_us;
} ql_head_of_line_request_t;

/**
 * ql_head_of_line_must_refuse() - Check whether to refuse a request that blocks
 * the one behind it.
 * @request: a request that has not been forwarded
 *
 * Return: true if the request behind it has not timed out yet, but is expected
 * to time out before the response to @request is complete.
 */
bool ql_head_of_line_must_refuse(const ql_head_of_line_request_t *request);

/**
 * struct ql_head_of_line_route - Head-of-line blocking observed on one route.
 * @now_us: current time
 * @last_blocking_us: when ql_head_of_line_must_refuse() last returned true for
 *                    a request of the route, also for one that had been
 *                    forwarded already; 0 if never
 * @typical_latency_us: typical latency of requests of the route; 0 if unknown
 */
typedef struct ql_head_of_line_route {
	uint64_t now_us;
	uint64_t last_blocking_us;
	uint64_t typical_latency_us;
} ql_head_of_line_route_t;

/**
 * ql_head_of_line_forward_delay_us() - Compute how long to delay the
 * forwarding of an idempotent request.
 * @route: the route of the request
 *
 * Return: 1/32 of the typical latency, in microseconds; 0 if that is unknown,
 * or if no head-of-line blocking was observed on the route in the last 10 s.
 */
uint64_t ql_head_of_line_forward_delay_us(const ql_head_of_line_route_t *route);

G_END_DECLS

#endif
