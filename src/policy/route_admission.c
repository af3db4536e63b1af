#include "quetzalloft/route_admission.h"
#include "quetzalloft/clock.h"

#include <string.h>

/* Highest pressure accepted for guaranteed requests; it is 1 for the others. */
#define GUARANTEED_PRESSURE_MAX 2.0
/* Most requests served beyond the guaranteed share that are counted. */
#define SURPLUS_MAX_REQUESTS 8.0

void ql_route_admission_init(ql_route_admission_t *admission)
{
	memset(admission, 0, sizeof(*admission));
	ql_throttle_init(&admission->guaranteed);
	ql_throttle_init(&admission->best_effort);
}

static ql_throttle_t *find_throttle(ql_route_admission_t *admission,
				    bool guaranteed)
{
	return guaranteed ? &admission->guaranteed : &admission->best_effort;
}

/*
 * Adds the guaranteed share of one offered request to the credit. Takes 1 from
 * it and returns true if the request is to be a guaranteed one.
 */
static bool take_guaranteed(ql_route_admission_t *admission, double share)
{
	admission->credit += share;
	if (admission->credit < 1)
		return false;
	admission->credit -= 1;
	return true;
}

ql_admission_decision_t
ql_route_admission_offer(ql_route_admission_t *admission,
			 const ql_admission_offer_t *offer)
{
	bool guaranteed = take_guaranteed(admission, offer->guaranteed_share);
	ql_throttle_decision_t decision =
		ql_throttle_offer(find_throttle(admission, guaranteed),
				  offer->target_ms, offer->random,
				  offer->now_us);

	return (ql_admission_decision_t){
		.refuse = decision.refuse,
		.guaranteed = guaranteed,
		.retry_after_ms = decision.retry_after_ms,
	};
}

/*
 * Returns the pressure accepted for guaranteed requests. The acceptable
 * queueing delay is twice the service time, so a request takes three times as
 * long at a pressure of 1 as without queueing delay. A higher pressure is
 * accepted up to the one at which the request just meets its deadline.
 */
static double acceptable_pressure(const ql_throttle_t *throttle,
				  uint64_t deadline_ms)
{
	double deadline_us = (double)(deadline_ms * QL_US_PER_MS);

	if (throttle->uncongested_latency_us <= 0)
		return GUARANTEED_PRESSURE_MAX;
	return CLAMP((deadline_us / throttle->uncongested_latency_us - 1) / 2,
		     1, GUARANTEED_PRESSURE_MAX);
}

void ql_route_admission_record_answer(ql_route_admission_t *admission,
				      const ql_admission_answer_t *answer)
{
	ql_throttle_t *throttle = find_throttle(admission, answer->guaranteed);
	double pressure = answer->pressure;

	/* The full pressure of a lost request counts. */
	if (answer->guaranteed && pressure < QL_PRESSURE_MAX)
		pressure /= acceptable_pressure(throttle, answer->deadline_ms);
	ql_throttle_record_answer(throttle, pressure, answer->latency_us,
				  answer->now_us);
}

void ql_route_admission_finish_request(ql_route_admission_t *admission,
				       bool guaranteed, bool served)
{
	ql_throttle_finish_request(find_throttle(admission, guaranteed));
	/* A guaranteed request was already counted when it was offered. */
	if (served && !guaranteed)
		admission->credit =
			MAX(admission->credit - 1, -SURPLUS_MAX_REQUESTS);
}
