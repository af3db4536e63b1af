#include "policy/balancer_internal.h"
#include "quetzalloft/clock.h"

#include <string.h>

/*
 * Cost of a certain failure, in expected latencies: it wastes the work of the
 * callers and is often followed by a retry.
 */
#define FAILURE_COST_FACTOR 10.0
/*
 * Added to the expected latency of an endpoint in another failure domain, in
 * typical latencies of the route, since traffic between domains is expensive.
 */
#define CROSS_DOMAIN_PENALTY_LATENCIES 1.5
/*
 * Cost factor of an endpoint whose Retry-After delay has not ended; two_choices
 * uses it in place of the remaining delay.
 */
#define BACKOFF_COST_FACTOR 100

static ql_handle_t pick_random(ql_balancer_t *balancer,
			       const ql_pick_request_t *request G_GNUC_UNUSED,
			       uint64_t now_us G_GNUC_UNUSED)
{
	const GArray *candidates = balancer->candidates;

	return ql_balancer__handle_at(
		candidates, (guint)g_rand_int_range(balancer->random, 0,
						    (gint32)candidates->len));
}

static ql_estimate_kind_t
estimate_alike(ql_balancer_t *balancer G_GNUC_UNUSED,
	       const ql_pick_request_t *request G_GNUC_UNUSED,
	       uint64_t now_us G_GNUC_UNUSED, double *estimates G_GNUC_UNUSED)
{
	return QL_ESTIMATE_NONE;
}

/*
 * Expected latency in microseconds, multiplied by the attempts in flight
 * including one more; higher during slow start and back-off.
 */
static double expected_load_cost(const ql_balancer_t *balancer,
				 const ql_endpoint_t *endpoint, uint64_t now_us)
{
	double latency =
		ql_balancer__expected_latency_us(balancer, endpoint, now_us);
	double cost = latency * (endpoint->in_progress + 1) /
		      ql_balancer__slow_start_factor(endpoint, now_us);

	return endpoint->backoff_until_us > now_us ? cost * BACKOFF_COST_FACTOR
						   : cost;
}

static ql_estimate_kind_t
estimate_load_cost(ql_balancer_t *balancer,
		   const ql_pick_request_t *request G_GNUC_UNUSED,
		   uint64_t now_us, double *estimates)
{
	guint i;

	for (i = 0; i < balancer->candidates->len; i++)
		estimates[i] = expected_load_cost(
			balancer,
			ql_balancer__endpoint_at(balancer, balancer->candidates,
						 i),
			now_us);
	return QL_ESTIMATE_COST;
}

/*
 * Compares expected load costs. The reported load level only breaks ties, as it
 * can be outdated or wrong.
 */
static bool is_cheaper(const ql_balancer_t *balancer, const ql_endpoint_t *a,
		       const ql_endpoint_t *b, uint64_t now_us)
{
	double cost_a = expected_load_cost(balancer, a, now_us);
	double cost_b = expected_load_cost(balancer, b, now_us);

	if (cost_a < cost_b || cost_a > cost_b)
		return cost_a < cost_b;
	return a->load_level <= b->load_level;
}

/*
 * Moves two random candidates, if there are as many, to the beginning of the
 * range of n candidates from index first.
 */
static void sample_two(ql_balancer_t *balancer, guint first, guint n)
{
	ql_handle_t *handles = (ql_handle_t *)balancer->candidates->data;
	ql_handle_t handle;
	guint i, other;

	for (i = first; i < first + 2 && i + 1 < first + n; i++) {
		other = (guint)g_rand_int_range(balancer->random, (gint32)i,
						(gint32)(first + n));
		handle = handles[i];
		handles[i] = handles[other];
		handles[other] = handle;
	}
}

static ql_handle_t
pick_two_choices(ql_balancer_t *balancer,
		 const ql_pick_request_t *request G_GNUC_UNUSED,
		 uint64_t now_us)
{
	const GArray *candidates = balancer->candidates;

	sample_two(balancer, 0, candidates->len);
	if (candidates->len > 1 &&
	    !is_cheaper(balancer,
			ql_balancer__endpoint_at(balancer, candidates, 0),
			ql_balancer__endpoint_at(balancer, candidates, 1),
			now_us))
		return ql_balancer__handle_at(candidates, 1);
	return ql_balancer__handle_at(candidates, 0);
}

/*
 * Expected latency of one more attempt in microseconds, with penalties for
 * failures, back-off and another failure domain.
 */
static double expected_cost_us(const ql_balancer_t *balancer,
			       const ql_endpoint_t *endpoint,
			       const ql_pick_request_t *request,
			       uint64_t now_us)
{
	double typical_us = request->typical_latency_us > 0
				    ? request->typical_latency_us
				    : MAX(balancer->latency_us,
					  QL_BALANCER_LATENCY_FLOOR_US);
	double load =
		(double)endpoint->in_progress / MAX(endpoint->info.slots, 1);
	double cost_us =
		typical_us *
		ql_balancer__expected_relative_latency(endpoint, now_us) *
		(1 + load) / ql_balancer__slow_start_factor(endpoint, now_us);

	cost_us *= 1 + FAILURE_COST_FACTOR *
			       ql_balancer__expected_failure_ratio(endpoint,
								   now_us);
	/*
	 * If no attempt has ended for this long, one more is expected to take
	 * at least as long.
	 */
	if (endpoint->in_progress)
		cost_us = MAX(cost_us,
			      (double)(now_us - endpoint->unanswered_since_us));
	if (endpoint->backoff_until_us > now_us)
		cost_us += (double)(endpoint->backoff_until_us - now_us);
	if (endpoint->same_domain_position == UINT32_MAX)
		cost_us += CROSS_DOMAIN_PENALTY_LATENCIES * typical_us;
	return cost_us;
}

static ql_estimate_kind_t estimate_cost(ql_balancer_t *balancer,
					const ql_pick_request_t *request,
					uint64_t now_us, double *estimates)
{
	guint i;

	for (i = 0; i < balancer->candidates->len; i++)
		estimates[i] = expected_cost_us(
			balancer,
			ql_balancer__endpoint_at(balancer, balancer->candidates,
						 i),
			request, now_us);
	return QL_ESTIMATE_COST;
}

/*
 * Moves the candidates in the failure domain of this node to the beginning.
 * Returns their number.
 */
static guint partition_by_domain(ql_balancer_t *balancer)
{
	ql_handle_t *handles = (ql_handle_t *)balancer->candidates->data;
	ql_handle_t handle;
	guint i, n_same_domain = 0;

	for (i = 0; i < balancer->candidates->len; i++) {
		handle = handles[i];
		if (!ql_balancer__is_same_domain(balancer, handle))
			continue;
		handles[i] = handles[n_same_domain];
		handles[n_same_domain++] = handle;
	}
	return n_same_domain;
}

static ql_handle_t pick_least_time(ql_balancer_t *balancer,
				   const ql_pick_request_t *request,
				   uint64_t now_us)
{
	const GArray *candidates = balancer->candidates;
	guint n_same_domain = partition_by_domain(balancer);
	guint sampled[] = {0, 1, n_same_domain, n_same_domain + 1};
	guint end[] = {n_same_domain, n_same_domain, candidates->len,
		       candidates->len};
	ql_handle_t best = QL_HANDLE_NONE;
	double cost_us, best_cost_us = 0;
	size_t i;

	sample_two(balancer, 0, n_same_domain);
	sample_two(balancer, n_same_domain, candidates->len - n_same_domain);
	for (i = 0; i < G_N_ELEMENTS(sampled); i++) {
		if (sampled[i] >= end[i])
			continue;
		cost_us = expected_cost_us(balancer,
					   ql_balancer__endpoint_at(balancer,
								    candidates,
								    sampled[i]),
					   request, now_us);
		if (best != QL_HANDLE_NONE && cost_us >= best_cost_us)
			continue;
		best = ql_balancer__handle_at(candidates, sampled[i]);
		best_cost_us = cost_us;
	}
	return best;
}

const ql_balancer_ops_t ql_balancer_random = {
	.name = "random",
	.pick = pick_random,
	.estimate = estimate_alike,
};
const ql_balancer_ops_t ql_balancer_two_choices = {
	.name = "two_choices",
	.pick = pick_two_choices,
	.estimate = estimate_load_cost,
};
const ql_balancer_ops_t ql_balancer_least_time = {
	.name = "least_time",
	.cross_domain = true,
	.pick = pick_least_time,
	.estimate = estimate_cost,
};

/* Few endpoints are all known, and each one that is fuller matters. */
static const ql_balancer_ops_t *auto_policy(const ql_balancer_t *balancer)
{
	return balancer->all->len <= QL_BALANCER_FEW_ENDPOINTS_MAX
		       ? &ql_balancer_even_load
		       : &ql_balancer_least_time;
}

static ql_handle_t pick_auto(ql_balancer_t *balancer,
			     const ql_pick_request_t *request, uint64_t now_us)
{
	return auto_policy(balancer)->pick(balancer, request, now_us);
}

static ql_estimate_kind_t estimate_auto(ql_balancer_t *balancer,
					const ql_pick_request_t *request,
					uint64_t now_us, double *estimates)
{
	return auto_policy(balancer)->estimate(balancer, request, now_us,
					       estimates);
}

const ql_balancer_ops_t ql_balancer_auto = {
	.name = "auto",
	.cross_domain = true,
	.pick = pick_auto,
	.estimate = estimate_auto,
};

const ql_balancer_ops_t *ql_balancer_find(const char *name)
{
	static const ql_balancer_ops_t *const policies[] = {
		&ql_balancer_random, &ql_balancer_two_choices,
		&ql_balancer_least_time, &ql_balancer_even_load,
		&ql_balancer_auto};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	return NULL;
}
