#include "quetzalloft/route_admission.h"
#include "quetzalloft/clock.h"

#include <string.h>

/* What a guaranteed request bears at most, where the others bear 1. */
#define GUARANTEED_BEARABLE 2.0
/* Requests served beyond the guaranteed part that are remembered. */
#define AHEAD_MAX 8.0

void ql_route_admission_init(ql_route_admission_t *admission)
{
	memset(admission, 0, sizeof(*admission));
	ql_throttle_init(&admission->guaranteed);
	ql_throttle_init(&admission->best_effort);
}

static ql_throttle_t *find(ql_route_admission_t *admission, bool guaranteed)
{
	return guaranteed ? &admission->guaranteed : &admission->best_effort;
}

static bool is_guaranteed(ql_route_admission_t *admission, double share)
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
	bool guaranteed = is_guaranteed(admission, offer->guaranteed_share);
	ql_throttle_decision_t decision =
		ql_throttle_offer(find(admission, guaranteed), offer->target_ms,
				  offer->random, offer->now_us);

	return (ql_admission_decision_t){
		.refuse = decision.refuse,
		.guaranteed = guaranteed,
		.retry_after_ms = decision.retry_after_ms,
	};
}

/*
 * With waits of what is bearable, a request takes three times as long as
 * without; one that bears more must still have the time for it.
 */
static double bearable(const ql_throttle_t *throttle, uint64_t deadline_ms)
{
	double deadline_us = (double)(deadline_ms * QL_US_PER_MS);

	if (throttle->uncongested_latency_us <= 0)
		return GUARANTEED_BEARABLE;
	return CLAMP((deadline_us / throttle->uncongested_latency_us - 1) / 2,
		     1, GUARANTEED_BEARABLE);
}

void ql_route_admission_record_answer(ql_route_admission_t *admission,
				      const ql_admission_answer_t *answer)
{
	ql_throttle_t *throttle = find(admission, answer->guaranteed);
	double pressure = answer->pressure;

	/* A lost request was lost, whatever it bears. */
	if (answer->guaranteed && pressure < QL_PRESSURE_MAX)
		pressure /= bearable(throttle, answer->deadline_ms);
	ql_throttle_record_answer(throttle, pressure, answer->latency_us,
				  answer->now_us);
}

void ql_route_admission_end(ql_route_admission_t *admission, bool guaranteed,
			    bool served)
{
	ql_throttle_end(find(admission, guaranteed));
	/* A guaranteed one was counted as it began. */
	if (served && !guaranteed)
		admission->credit = MAX(admission->credit - 1, -AHEAD_MAX);
}
