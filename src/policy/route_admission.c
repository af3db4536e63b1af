#include "quetzalloft/route_admission.h"

#include <string.h>

/* What a guaranteed request bears, where the others bear 1. */
#define GUARANTEED_BEARABLE 2.0
/* Requests served beyond the guaranteed part that are remembered. */
#define AHEAD_MAX 8.0

void ql_route_admission_init(ql_route_admission_t *admission)
{
	memset(admission, 0, sizeof(*admission));
	ql_throttle_init(&admission->guaranteed);
	ql_throttle_init(&admission->rest);
}

static ql_throttle_t *find(ql_route_admission_t *admission, bool guaranteed)
{
	return guaranteed ? &admission->guaranteed : &admission->rest;
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

void ql_route_admission_note(ql_route_admission_t *admission, bool guaranteed,
			     double pressure, uint64_t latency_us,
			     uint64_t now_us)
{
	/* A lost request was lost, whatever it bears. */
	if (guaranteed && pressure < QL_PRESSURE_MAX)
		pressure /= GUARANTEED_BEARABLE;
	ql_throttle_note(find(admission, guaranteed), pressure, latency_us,
			 now_us);
}

void ql_route_admission_end(ql_route_admission_t *admission, bool guaranteed,
			    bool served)
{
	ql_throttle_end(find(admission, guaranteed));
	/* A guaranteed one was counted as it began. */
	if (served && !guaranteed)
		admission->credit = MAX(admission->credit - 1, -AHEAD_MAX);
}
