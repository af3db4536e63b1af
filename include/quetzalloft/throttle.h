#ifndef QUETZALLOFT_THROTTLE_H
#define QUETZALLOFT_THROTTLE_H

/**
 * DOC: Early refusal of requests at the node that receives them from the
 * client, controlled by the pressure that is returned with their answers.
 *
 * The pressure of an answer is the queueing delay of the request or of its
 * downstream calls, relative to the acceptable delay; see
 * quetzalloft/pressure.h. The share of the requests of a route that is admitted
 * decreases while the pressure is above 1 and increases while it is below 1, so
 * that queues downstream stay short and admitted requests can complete. Each
 * node decides alone, from the answers to its own requests.
 *
 * A queue also delays the answers that report it. So while the share is below
 * 1, the number of requests in progress is limited to about the number that the
 * share of the offered requests would keep in progress without queueing delay.
 * When requests take longer, this limit refuses new ones at once.
 *
 * A route has a throttle for each class of its requests. The throttles that are
 * in use share the probes of the route and the one request that it may always
 * have in progress, so that many classes with few requests each do not add up.
 */

#include "quetzalloft/pressure.h"

G_BEGIN_DECLS

/**
 * struct ql_throttle - Early refusal of the requests of one route.
 * @share: share of the offered requests to admit, 0.02 to 1
 * @last_admitted_us: when a request was last admitted
 * @last_answer_us: when the last answer was received
 * @last_overload_us: when the last answer with a pressure above 1 was received
 * @last_offered_us: when a request was last offered
 * @offered_per_s: moving mean of the rate of offered requests, per second
 * @uncongested_latency_us: moving mean of the latency of requests with a
 *                          pressure of at most 1; 0 before the first one
 * @probe_interval_us: time since the last admission after which a request is
 *                     admitted as a probe if none is in progress
 * @in_progress: number of admitted requests that have not ended
 * @n_peers: number of other throttles of the same route that are in use
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
	uint32_t n_peers;
} ql_throttle_t;

/**
 * enum ql_throttle_choice - Who chooses the requests that make up the share.
 * @QL_THROTTLE_RANDOM: the throttle, at random
 * @QL_THROTTLE_TAKE: the caller, which counts this request in
 * @QL_THROTTLE_LEAVE: the caller, which leaves this request out
 */
typedef enum ql_throttle_choice {
	QL_THROTTLE_RANDOM,
	QL_THROTTLE_TAKE,
	QL_THROTTLE_LEAVE,
} ql_throttle_choice_t;

/**
 * struct ql_throttle_decision - Whether to refuse a request early.
 * @refuse: the request is refused; no part of it was run
 * @retry_after_ms: time after which a refused request may be sent again, at
 *                  least 1; 0 if it is admitted
 */
typedef struct ql_throttle_decision {
	bool refuse;
	uint32_t retry_after_ms;
} ql_throttle_decision_t;

/**
 * ql_throttle_init() - Start to admit all requests.
 * @throttle: throttle of the route; it allocates nothing and needs no release
 */
void ql_throttle_init(ql_throttle_t *throttle);

/**
 * ql_throttle_offer() - Decide on a request before its first attempt.
 * @throttle: throttle of the route
 * @target_ms: latency target of the route; 0 if it has none
 * @random: random number generator for the decision and the jitter
 * @now_us: current time
 *
 * The retry delay of a refused request is short enough that the retry can meet
 * the latency target.
 *
 * Return: the decision. The caller must call ql_throttle_finish_request() when
 * an admitted request ends.
 */
ql_throttle_decision_t ql_throttle_offer(ql_throttle_t *throttle,
					 uint64_t target_ms, GRand *random,
					 uint64_t now_us);

/**
 * ql_throttle_offer_chosen() - Decide on a request like ql_throttle_offer(),
 * with the choice of the caller in place of a random one.
 * @throttle: throttle of the route
 * @choice: whether the request is among those that make up the share; the
 *          limit of the requests in progress and the probes do not depend on it
 * @target_ms: latency target of the route; 0 if it has none
 * @random: random number generator for the decision and the jitter
 * @now_us: current time
 *
 * Return: the decision.
 */
ql_throttle_decision_t ql_throttle_offer_chosen(ql_throttle_t *throttle,
						ql_throttle_choice_t choice,
						uint64_t target_ms,
						GRand *random, uint64_t now_us);

/**
 * enum ql_throttle_verdict - What decides on a request.
 * @QL_THROTTLE_PROBE: it is admitted as a probe
 * @QL_THROTTLE_IN_SHARE: it is admitted, as the caller counts it in
 * @QL_THROTTLE_CHANCE: it is admitted with the probability of the share
 * @QL_THROTTLE_BUSY: it is refused, as too many requests are in progress
 * @QL_THROTTLE_OUT_OF_SHARE: it is refused, as the caller leaves it out
 */
typedef enum ql_throttle_verdict {
	QL_THROTTLE_PROBE,
	QL_THROTTLE_IN_SHARE,
	QL_THROTTLE_CHANCE,
	QL_THROTTLE_BUSY,
	QL_THROTTLE_OUT_OF_SHARE,
} ql_throttle_verdict_t;

/**
 * ql_throttle_look() - Tell what would decide on a request now, without
 * offering it.
 * @throttle: throttle of the route
 * @choice: see ql_throttle_offer_chosen()
 * @now_us: current time
 *
 * Return: the verdict of ql_throttle_offer_chosen().
 */
ql_throttle_verdict_t ql_throttle_look(const ql_throttle_t *throttle,
				       ql_throttle_choice_t choice,
				       uint64_t now_us);

/**
 * ql_throttle_record_answer() - Adapt the admitted share to an answer.
 * @throttle: throttle of the route
 * @pressure: pressure returned with the answer, at least 0: 0 if there was no
 *            queueing delay, QL_PRESSURE_MAX if the request was lost
 * @latency_us: time since the request was received
 * @now_us: current time
 */
void ql_throttle_record_answer(ql_throttle_t *throttle, double pressure,
			       uint64_t latency_us, uint64_t now_us);

/**
 * ql_throttle_finish_request() - Remove an admitted request from those in
 * progress.
 * @throttle: throttle of the route
 */
void ql_throttle_finish_request(ql_throttle_t *throttle);

G_END_DECLS

#endif
