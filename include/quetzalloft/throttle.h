#ifndef QUETZALLOFT_THROTTLE_H
#define QUETZALLOFT_THROTTLE_H

/**
 * DOC: Early refusal at the first node of a request, by what its answers say of
 * the way below.
 *
 * An answer tells the pressure on its way: how long the request, or a call that
 * was made for it, waited at a gate, as a part of what is bearable there. The
 * share of the requests of a route that is let through falls while the pressure
 * is above 1 and grows while it is below, so that the queues below stay short
 * and what is begun can be finished. Each node decides alone, from the answers
 * that it gets itself.
 *
 * Answers tell late of a queue that makes them late. So while the share is
 * below 1, no more requests are in progress than that share of them keeps there
 * when nothing waits; requests that stay longer keep others from being begun at
 * once.
 */

#include "quetzalloft/pressure.h"

G_BEGIN_DECLS

/**
 * struct ql_throttle - What is known of one route.
 * @share: of the requests that is let through, up to 1
 * @admitted_us: when a request was let through last
 * @heard_us: when the last answer came
 * @pressed_us: when the last one came whose pressure was above 1
 * @offered_us: when a request was offered last
 * @offered_per_s: moving mean of the requests offered
 * @clear_us: moving mean of the latency where the pressure was not above 1
 * @probe_us: with none in progress, one is let through this long after the last
 * @in_progress: requests that were let through and have not ended
 */
typedef struct ql_throttle {
	double share;
	uint64_t last_admitted_us;
	uint64_t last_answer_us;
	uint64_t last_overload_us;
	uint64_t last_offered_us;
	double offered_per_s;
	double uncongested_latency_us;
	uint64_t probe_interval_us;
	uint32_t in_progress;
} ql_throttle_t;

/**
 * struct ql_throttle_decision - Whether to refuse a request early.
 * @refuse: it is refused, and was not run anywhere
 * @retry_after_ms: when it may come again
 */
typedef struct ql_throttle_decision {
	bool refuse;
	uint32_t retry_after_ms;
} ql_throttle_decision_t;

void ql_throttle_init(ql_throttle_t *throttle);

/**
 * ql_throttle_offer() - Decide on a request before its first attempt.
 * @throttle: of its route
 * @target_ms: the latency target of the route, or 0
 * @random: source of the choice and of the jitter
 * @now_us: the time
 *
 * One that is refused may come again so soon that its target can still be met.
 *
 * Return: the decision. One that is let through ends with ql_throttle_end().
 */
ql_throttle_decision_t ql_throttle_offer(ql_throttle_t *throttle,
					 uint64_t target_ms, GRand *random,
					 uint64_t now_us);

/**
 * ql_throttle_note() - Tell what an answer says of the way below.
 * @throttle: of its route
 * @pressure: on its way, 0 where nothing waited
 * @latency_us: since the request came
 * @now_us: the time
 */
void ql_throttle_record_answer(ql_throttle_t *throttle, double pressure,
			       uint64_t latency_us, uint64_t now_us);

/**
 * ql_throttle_end() - Report that a request that was let through has ended.
 * @throttle: of its route
 */
void ql_throttle_end(ql_throttle_t *throttle);

G_END_DECLS

#endif
