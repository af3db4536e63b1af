#ifndef QUETZALLOFT_GIVE_WAY_H
#define QUETZALLOFT_GIVE_WAY_H

/**
 * DOC: Whether a request is given up for an answer that is ready behind it on
 * the connection of their client.
 *
 * HTTP/1.1 answers in order. A client that no longer waits for the answer
 * behind closes the connection, and both requests are lost; so one that will
 * not be ready until then gives way, and its client sends it again. An answer
 * that would only be late waits: clients send again once or twice, and one that
 * gave way for so little could be lost by it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_give_way - A request and the answers behind it.
 * @now_us: the time
 * @begun_us: when the request came
 * @typical_us: how long requests like it take, or 0
 * @until_us: when its client no longer waits for one of the answers behind it
 */
typedef struct ql_give_way {
	uint64_t now_us;
	uint64_t begun_us;
	uint64_t typical_us;
	uint64_t until_us;
} ql_give_way_t;

/**
 * ql_gives_way() - Decide on a request that may be repeated.
 * @request: the request and the answers behind it
 *
 * Return: whether it is given up.
 */
bool ql_gives_way(const ql_give_way_t *request);

G_END_DECLS

#endif
