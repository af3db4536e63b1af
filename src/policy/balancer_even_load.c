#include "policy/balancer_internal.h"
#include "quetzalloft/clock.h"

#include <math.h>
#include <string.h>

/* The means over all endpoints are computed at most once in this time. */
#define MEANS_CACHE_US (10 * QL_US_PER_MS)
/* Time in which a difference in occupancy between domains loses half of it. */
#define DOMAIN_NEWS_HALF_LIFE_US (5 * QL_US_PER_S)
/* News that tell how the load is now. */
#define RECENT_NEWS_US (1 * QL_US_PER_S)
/* A report of more counts as this, so that one endpoint cannot move the mean.
 */
#define OCCUPANCY_MAX 1.5
/* Lowest mean occupancy to which differences are related. */
#define MEAN_OCCUPANCY_MIN 0.05
/*
 * Many callers act on the same news, and what they cause is seen only after a
 * service time. A correction is stable at any age of the news while it is at
 * most as large as the difference itself, times the service time divided by
 * the age. For fresh news, it is limited to this.
 */
#define CORRECTION_GAIN_MAX 4.0
/* Bounds, so that wrong news cannot overrun or idle an endpoint. */
#define CORRECTION_MIN 0.75
#define CORRECTION_MAX 1.25
/* What an endpoint gets at least of its part, to find out how it does now. */
#define QUALITY_MIN 0.02
/* Cost of a certain failure, in expected latencies. */
#define FAILURE_COST_FACTOR 10.0
/* An endpoint is silent that owes answers for so many of its latencies. */
#define SILENCE_LATENCIES 3.0
/* A shorter silence says nothing. */
#define SILENCE_MIN_US (20.0 * QL_US_PER_MS)
/* Below this occupancy, the failure domain of this node has room. */
#define OCCUPANCY_WITH_ROOM 0.5
/* So much fuller than the others, this domain is clearly fuller. */
#define CLEARLY_FULLER 0.05
/*
 * Change of the cross share, for a difference of 1, in the time in which what
 * it changes is heard of: this time and the age of the news. From one news to
 * the next, up to 5 s later, it moves by little more than the difference.
 */
#define CROSS_GAIN 0.5
#define CROSS_DELAY_US (0.5 * QL_US_PER_S)
#define CROSS_STEP_MAX_US (1 * QL_US_PER_S)

/* Sums over the endpoints of one or all failure domains, weighted by slots. */
typedef struct {
	double slots;
	double known_slots;
	double occupied;
	double quality;
	double age_us;
} domain_sums_t;

static double slots_of(const ql_endpoint_t *endpoint)
{
	return MAX(endpoint->info.slots, 1);
}

/* Adds the attempts of this node that were sent since the report. */
static double reported_occupancy(const ql_endpoint_t *endpoint)
{
	uint32_t unreported = MIN(endpoint->sent_since, endpoint->in_progress);

	return MAX(MIN(endpoint->occupancy, OCCUPANCY_MAX) +
			   unreported / slots_of(endpoint),
		   endpoint->in_progress / slots_of(endpoint));
}

static double silence_factor(const ql_balancer_t *balancer,
			     const ql_endpoint_t *endpoint, uint64_t now_us)
{
	double silent_us = (double)(now_us - endpoint->unanswered_since_us);
	double allowed_us;

	if (!endpoint->in_progress || silent_us <= SILENCE_MIN_US)
		return 1;
	allowed_us =
		SILENCE_LATENCIES *
		ql_balancer__expected_latency_us(balancer, endpoint, now_us);
	allowed_us = MAX(allowed_us, SILENCE_MIN_US);
	return silent_us > allowed_us ? allowed_us / silent_us : 1;
}

/* The part of what its slots and speed are worth that an endpoint can serve. */
static double quality(const ql_balancer_t *balancer,
		      const ql_endpoint_t *endpoint, uint64_t now_us)
{
	double served =
		1 - ql_balancer__expected_refusal_ratio(endpoint, now_us);
	double failures = ql_balancer__expected_failure_ratio(endpoint, now_us);

	return MAX(served * served *
			   silence_factor(balancer, endpoint, now_us) *
			   ql_balancer__slow_start_factor(endpoint, now_us) /
			   (1 + FAILURE_COST_FACTOR * failures),
		   QUALITY_MIN);
}

static void add_endpoint(domain_sums_t *sums, const ql_balancer_t *balancer,
			 const ql_endpoint_t *endpoint, uint64_t now_us)
{
	double slots = slots_of(endpoint);

	sums->slots += slots;
	sums->quality += slots * quality(balancer, endpoint, now_us);
	if (!endpoint->occupancy_us)
		return;
	sums->known_slots += slots;
	sums->occupied += slots * reported_occupancy(endpoint);
	sums->age_us += slots * (double)(now_us - endpoint->occupancy_us);
}

static double mean_occupancy(const domain_sums_t *sums)
{
	return sums->known_slots > 0 ? sums->occupied / sums->known_slots : 0;
}

/*
 * Moves the cross share by the difference in occupancy between this domain and
 * the others, no faster than what it changes can be heard of.
 */
static void update_cross_share(ql_even_load_t *state, const domain_sums_t *own,
			       const domain_sums_t *others, uint64_t now_us)
{
	double age_us = (own->age_us + others->age_us) /
			(own->known_slots + others->known_slots);
	double own_occupancy = mean_occupancy(own);
	double difference = (own_occupancy - mean_occupancy(others)) *
			    exp2(-age_us / (double)DOMAIN_NEWS_HALF_LIFE_US);
	double excess = MIN(difference - CLEARLY_FULLER,
			    own_occupancy - OCCUPANCY_WITH_ROOM);
	double step_us =
		(double)MIN(now_us - state->updated_us, CROSS_STEP_MAX_US);
	double change =
		CROSS_GAIN * excess * step_us / (CROSS_DELAY_US + age_us);

	state->cross_share = CLAMP(state->cross_share + change, 0, 1);
}

static void update_means(ql_balancer_t *balancer, uint64_t now_us)
{
	ql_even_load_t *state = &balancer->even_load;
	domain_sums_t own = {0}, others = {0};
	const ql_endpoint_t *endpoint;
	double known_slots;
	guint i;

	if (state->updated_us && now_us - state->updated_us < MEANS_CACHE_US)
		return;
	for (i = 0; i < balancer->all->len; i++) {
		endpoint = ql_balancer__endpoint_at(balancer, balancer->all, i);
		add_endpoint(endpoint->same_domain_position == UINT32_MAX
				     ? &others
				     : &own,
			     balancer, endpoint, now_us);
	}
	known_slots = own.known_slots + others.known_slots;
	state->mean_occupancy =
		known_slots > 0 ? (own.occupied + others.occupied) / known_slots
				: 0;
	state->own_quality = own.slots > 0 ? own.quality / own.slots : 0;
	if (own.known_slots > 0 && others.known_slots > 0)
		update_cross_share(state, &own, &others, now_us);
	state->updated_us = now_us;
}

/* More for an endpoint that is emptier than the mean, less for a fuller one. */
static double correction(const ql_balancer_t *balancer,
			 const ql_endpoint_t *endpoint, uint64_t now_us)
{
	double mean =
		MAX(balancer->even_load.mean_occupancy, MEAN_OCCUPANCY_MIN);
	double age_us = (double)(now_us - endpoint->occupancy_us);
	double latency_us =
		ql_balancer__expected_latency_us(balancer, endpoint, now_us);
	double gain = CORRECTION_GAIN_MAX;

	if (!endpoint->occupancy_us)
		return 1;
	if (latency_us < gain * age_us)
		gain = latency_us / age_us;
	return CLAMP(1 + gain * (mean - reported_occupancy(endpoint)) / mean,
		     CORRECTION_MIN, CORRECTION_MAX);
}

/* Failures are often fast, which is no speed. */
static double relative_latency(const ql_endpoint_t *endpoint, uint64_t now_us)
{
	double relative =
		ql_balancer__expected_relative_latency(endpoint, now_us);
	double failures = ql_balancer__expected_failure_ratio(endpoint, now_us);

	return relative < 1 ? relative + (1 - relative) * failures : relative;
}

static double even_weight(const ql_balancer_t *balancer,
			  const ql_endpoint_t *endpoint, uint64_t now_us)
{
	return slots_of(endpoint) / relative_latency(endpoint, now_us) *
	       quality(balancer, endpoint, now_us) *
	       correction(balancer, endpoint, now_us);
}

static bool has_same_domain_candidate(ql_balancer_t *balancer)
{
	guint i;

	for (i = 0; i < balancer->candidates->len; i++)
		if (ql_balancer__is_same_domain(
			    balancer,
			    ql_balancer__handle_at(balancer->candidates, i)))
			return true;
	return false;
}

/* What an endpoint in another failure domain gets of its even part. */
static double cross_factor(ql_balancer_t *balancer)
{
	const ql_even_load_t *state = &balancer->even_load;

	if (!has_same_domain_candidate(balancer))
		return 1;
	return 1 - (1 - state->cross_share) * state->own_quality;
}

static double weight_of(const ql_balancer_t *balancer,
			const ql_endpoint_t *endpoint, double factor,
			uint64_t now_us)
{
	double weight = even_weight(balancer, endpoint, now_us);

	return endpoint->same_domain_position == UINT32_MAX ? weight * factor
							    : weight;
}

static ql_estimate_kind_t
estimate_weight(ql_balancer_t *balancer,
		const ql_pick_request_t *request G_GNUC_UNUSED, uint64_t now_us,
		double *estimates)
{
	double factor;
	guint i;

	update_means(balancer, now_us);
	factor = cross_factor(balancer);
	for (i = 0; i < balancer->candidates->len; i++)
		estimates[i] =
			weight_of(balancer,
				  ql_balancer__endpoint_at(balancer,
							   balancer->candidates,
							   i),
				  factor, now_us);
	return QL_ESTIMATE_WEIGHT;
}

static ql_handle_t
pick_even_load(ql_balancer_t *balancer,
	       const ql_pick_request_t *request G_GNUC_UNUSED, uint64_t now_us)
{
	const GArray *candidates = balancer->candidates;
	ql_handle_t chosen = ql_balancer__handle_at(candidates, 0);
	const ql_endpoint_t *endpoint;
	double factor, weight, sum = 0;
	guint i;

	update_means(balancer, now_us);
	factor = cross_factor(balancer);
	for (i = 0; i < candidates->len; i++) {
		endpoint = ql_balancer__endpoint_at(balancer, candidates, i);
		weight = weight_of(balancer, endpoint, factor, now_us);
		sum += weight;
		/* Each is chosen with its weight, in one pass. */
		if (g_rand_double(balancer->random) * sum < weight)
			chosen = ql_balancer__handle_at(candidates, i);
	}
	return chosen;
}

void ql_balancer_get_spread(const ql_balancer_t *balancer,
			    ql_balancer_spread_t *spread, uint64_t now_us)
{
	const ql_endpoint_t *endpoint;
	double slots, occupancy, known_slots = 0, occupied = 0;
	guint i;

	memset(spread, 0, sizeof(*spread));
	for (i = 0; i < balancer->all->len; i++) {
		endpoint = ql_balancer__endpoint_at(balancer, balancer->all, i);
		slots = slots_of(endpoint);
		spread->slots += (uint32_t)slots;
		if (!endpoint->occupancy_us ||
		    now_us - endpoint->occupancy_us > RECENT_NEWS_US)
			continue;
		occupancy = reported_occupancy(endpoint);
		spread->n_known++;
		spread->busiest = MAX(spread->busiest, occupancy);
		spread->idle_slots += slots * MAX(1 - occupancy, 0);
		known_slots += slots;
		occupied += slots * occupancy;
	}
	if (!spread->n_known)
		return;
	spread->mean = occupied / known_slots;
	spread->idle_slots *= spread->slots / known_slots;
}

const ql_balancer_ops_t ql_balancer_even_load = {
	.name = "even_load",
	.cross_domain = true,
	.weighted = true,
	.pick = pick_even_load,
	.estimate = estimate_weight,
};
