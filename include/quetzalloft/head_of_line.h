#ifndef QUETZALLOFT_HEAD_OF_LINE_H
#define QUETZALLOFT_HEAD_OF_LINE_H

/**
 * DOC: Whether a request gives way to another one that a client sends behind it
 * on the same connection.
 *
 * HTTP/1.1 answers in order. A client that no longer waits for the answer
 * behind closes the connection, and both requests are lost; so one that will
 * not be ready until then is refused, and its client sends it again. Only one
 * that has not been sent on can be refused truthfully. So where that happens,
 * the requests of a route are held back for a small part of their time.
 *
 * An answer that would only be late waits: clients send again once or twice,
 * and a request that gave way for so little could be lost by it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_give_way - A request and another one behind it.
 * @now_us: the time
 * @begun_us: when the request came
 * @typical_us: how long requests like it take, or 0
 * @until_us: when the client no longer waits for the one behind it
 */
typedef struct ql_head_of_line_request {
	uint64_t now_us;
	uint64_t received_us;
	uint64_t typical_latency_us;
	uint64_t next_timeout_us;
} ql_head_of_line_request_t;

/**
 * ql_gives_way() - Decide on a request that has not been sent on.
 * @request: the request and another one behind it
 *
 * Return: whether it is refused for that.
 */
bool ql_head_of_line_must_refuse(const ql_head_of_line_request_t *request);

/**
 * struct ql_head_of_line_route - What is known of the requests of a route.
 * @now_us: the time
 * @followed_us: when one would have given way last; 0 if never
 * @typical_us: how long they take, or 0
 */
typedef struct ql_head_of_line_route {
	uint64_t now_us;
	uint64_t last_blocking_us;
	uint64_t typical_latency_us;
} ql_head_of_line_route_t;

/**
 * ql_give_way_hold_us() - How long to hold back a request that may be repeated.
 * @route: its route
 *
 * Return: microseconds; 0 where nothing has come behind such requests lately.
 */
uint64_t ql_head_of_line_hold_us(const ql_head_of_line_route_t *route);

G_END_DECLS

#endif
