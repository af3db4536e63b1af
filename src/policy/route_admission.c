#include "quetzalloft/route_admission.h"
#include "quetzalloft/clock.h"

#include <string.h>

/* Highest pressure accepted for guaranteed requests; it is 1 for the others. */
#define GUARANTEED_PRESSURE_MAX 2.0
/* Most requests served beyond the guaranteed share that are counted. */
#define SURPLUS_MAX_REQUESTS 8.0
/* Most guaranteed requests that wait for a chosen one. */
#define MISSING_MAX_REQUESTS 8.0
/* A class counts as in use for this long after its last request. */
#define IN_USE_US (2 * QL_US_PER_S)
/* What a class has learned is good for others for this long. */
#define ANSWER_RECENT_US (1 * QL_US_PER_S)
/* Weight of the newest request in the mean of those that pass the limit. */
#define LIMIT_PASSED_SMOOTHING 0.05

void ql_route_admission_init(ql_route_admission_t *admission)
{
	memset(admission, 0, sizeof(*admission));
	ql_throttle_init(&admission->guaranteed);
	ql_throttle_init(&admission->best_effort);
	admission->limit_passed = 1;
}

static ql_throttle_t *find_throttle(ql_route_admission_t *admission,
				    bool guaranteed)
{
	return guaranteed ? &admission->guaranteed : &admission->best_effort;
}

/* The credit once the guaranteed share of one more request is added. */
static double credit_after(const ql_route_admission_t *admission,
			   const ql_admission_offer_t *offer)
{
	return MIN(admission->credit + offer->guaranteed_share,
		   MISSING_MAX_REQUESTS);
}

/*
 * Checks whether one more offered request is to be a guaranteed one. A request
 * that is not chosen leaves its turn to the next that is.
 */
static bool is_next_guaranteed(const ql_route_admission_t *admission,
			       const ql_admission_offer_t *offer)
{
	return credit_after(admission, offer) >= 1 &&
	       offer->choice != QL_THROTTLE_LEAVE;
}

/*
 * Adds the guaranteed share of one offered request to the credit. Takes 1 from
 * it and returns true if the request is to be a guaranteed one.
 */
static bool take_guaranteed(ql_route_admission_t *admission,
			    const ql_admission_offer_t *offer)
{
	bool guaranteed = is_next_guaranteed(admission, offer);

	admission->credit = credit_after(admission, offer);
	if (guaranteed)
		admission->credit -= 1;
	return guaranteed;
}

static ql_throttle_choice_t choice_of(const ql_admission_offer_t *offer,
				      bool guaranteed)
{
	return guaranteed ? QL_THROTTLE_RANDOM : offer->choice;
}

ql_admission_look_t
ql_route_admission_look(const ql_route_admission_t *admission,
			const ql_admission_offer_t *offer)
{
	bool guaranteed = is_next_guaranteed(admission, offer);
	const ql_throttle_t *throttle =
		guaranteed ? &admission->guaranteed : &admission->best_effort;

	return (ql_admission_look_t){
		.guaranteed = guaranteed,
		.verdict =
			ql_throttle_look(throttle, choice_of(offer, guaranteed),
					 offer->now_us),
		.share = throttle->share,
	};
}

ql_admission_decision_t
ql_route_admission_offer(ql_route_admission_t *admission,
			 const ql_admission_offer_t *offer)
{
	bool guaranteed = take_guaranteed(admission, offer);
	ql_throttle_choice_t choice = choice_of(offer, guaranteed);
	ql_throttle_decision_t decision =
		ql_throttle_offer_chosen(find_throttle(admission, guaranteed),
					 choice, offer->target_ms,
					 offer->random, offer->now_us);

	if (choice == QL_THROTTLE_TAKE)
		admission->limit_passed +=
			LIMIT_PASSED_SMOOTHING *
			(!decision.refuse - admission->limit_passed);
	return (ql_admission_decision_t){
		.refuse = decision.refuse,
		.guaranteed = guaranteed,
		.retry_after_ms = decision.retry_after_ms,
	};
}

static bool is_recent(uint64_t since_us, uint64_t now_us, uint64_t period_us)
{
	return since_us && now_us - since_us < period_us;
}

void ql_route_admission_compare(ql_route_admission_t *admission,
				uint32_t shed_order,
				const ql_admission_peer_t *peers,
				size_t n_peers, uint64_t now_us)
{
	ql_throttle_t *own = &admission->best_effort;
	const ql_throttle_t *other;
	size_t i;

	own->n_peers = 0;
	for (i = 0; i < n_peers; i++) {
		other = &peers[i].admission->best_effort;
		if (is_recent(other->last_offered_us, now_us, IN_USE_US))
			own->n_peers++;
		if (peers[i].shed_order < shed_order &&
		    is_recent(other->last_answer_us, now_us, ANSWER_RECENT_US))
			own->share = MAX(own->share, other->share);
	}
}

double ql_route_admission_share(const ql_route_admission_t *admission,
				double guaranteed_share)
{
	/* There is no limit on the requests in progress then. */
	if (admission->best_effort.share >= 1)
		return 1;
	return MAX(admission->best_effort.share * admission->limit_passed,
		   guaranteed_share);
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
