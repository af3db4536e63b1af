#include "policy/balancer_internal.h"
#include "quetzalloft/clock.h"

/* A failure costs the work above it, and often a repeat. */
#define FAILURE_COST 10.0
/* What an endpoint of another failure domain has to save, since bytes between
 * domains are dear, in typical latencies. */
#define FAR_TYPICAL_TIMES 1.5
/* What a refusal that lasts costs, in place of its end. */
#define REFUSAL_COST 100

static ql_handle_t pick_random(ql_balancer_t *balancer,
			       const ql_pick_request_t *pick G_GNUC_UNUSED,
			       uint64_t now_us G_GNUC_UNUSED)
{
	const GArray *candidates = balancer->candidates;

	return ql_balancer__handle_at(
		candidates, (guint)g_rand_int_range(balancer->random, 0,
						    (gint32)candidates->len));
}

/* Expected cost of one more request; an endpoint in slow start costs more. */
static double cost(const ql_balancer_t *balancer, const ql_endpoint_t *target,
		   uint64_t now_us)
{
	double latency =
		ql_balancer__expected_latency_us(balancer, target, now_us);
	double cost = latency * (target->in_progress + 1) /
		      ql_balancer__slow_start_factor(target, now_us);

	return target->refuse_until_us > now_us ? cost * REFUSAL_COST : cost;
}

/* What an endpoint reports of itself breaks ties only. */
static bool is_better(const ql_balancer_t *balancer, const ql_endpoint_t *a,
		      const ql_endpoint_t *b, uint64_t now_us)
{
	double cost_a = cost(balancer, a, now_us);
	double cost_b = cost(balancer, b, now_us);

	if (cost_a < cost_b || cost_a > cost_b)
		return cost_a < cost_b;
	return a->level <= b->level;
}

/* Puts two of the candidates, if there are as many, at the start. */
static void shuffle_two(ql_balancer_t *balancer, guint first, guint n)
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

static ql_handle_t pick_two_choices(ql_balancer_t *balancer,
				    const ql_pick_request_t *pick G_GNUC_UNUSED,
				    uint64_t now_us)
{
	const GArray *candidates = balancer->candidates;

	shuffle_two(balancer, 0, candidates->len);
	if (candidates->len > 1 &&
	    !is_better(balancer,
		       ql_balancer__endpoint_at(balancer, candidates, 0),
		       ql_balancer__endpoint_at(balancer, candidates, 1),
		       now_us))
		return ql_balancer__handle_at(candidates, 1);
	return ql_balancer__handle_at(candidates, 0);
}

/* Time in which the endpoint is likely to answer one more request. */
static double expected_us(const ql_balancer_t *balancer,
			  const ql_endpoint_t *target,
			  const ql_pick_request_t *pick, uint64_t now_us)
{
	double typical_us = pick->typical_latency_us > 0
				    ? pick->typical_latency_us
				    : MAX(balancer->latency_us,
					  QL_BALANCER_LATENCY_FLOOR_US);
	double load = (double)target->in_progress / MAX(target->info.slots, 1);
	double time_us =
		typical_us *
		ql_balancer__expected_relative_latency(target, now_us) *
		(1 + load) / ql_balancer__slow_start_factor(target, now_us);

	time_us *=
		1 + FAILURE_COST *
			    ql_balancer__expected_failure_ratio(target, now_us);
	/* Whoever has said nothing for so long will not be faster. */
	if (target->in_progress)
		time_us = MAX(time_us,
			      (double)(now_us - target->unanswered_since_us));
	if (target->refuse_until_us > now_us)
		time_us += (double)(target->refuse_until_us - now_us);
	if (target->same_domain_position == UINT32_MAX)
		time_us += FAR_TYPICAL_TIMES * typical_us;
	return time_us;
}

/* Moves the candidates of the own failure domain to the start. */
static guint part_by_domain(ql_balancer_t *balancer)
{
	ql_handle_t *handles = (ql_handle_t *)balancer->candidates->data;
	ql_handle_t handle;
	guint i, n_near = 0;

	for (i = 0; i < balancer->candidates->len; i++) {
		handle = handles[i];
		if (!ql_balancer__is_same_domain(balancer, handle))
			continue;
		handles[i] = handles[n_near];
		handles[n_near++] = handle;
	}
	return n_near;
}

static ql_handle_t pick_least_time(ql_balancer_t *balancer,
				   const ql_pick_request_t *pick,
				   uint64_t now_us)
{
	const GArray *candidates = balancer->candidates;
	guint n_near = part_by_domain(balancer);
	guint drawn[] = {0, 1, n_near, n_near + 1};
	guint end[] = {n_near, n_near, candidates->len, candidates->len};
	ql_handle_t best = QL_HANDLE_NONE;
	double time_us, best_us = 0;
	size_t i;

	shuffle_two(balancer, 0, n_near);
	shuffle_two(balancer, n_near, candidates->len - n_near);
	for (i = 0; i < G_N_ELEMENTS(drawn); i++) {
		if (drawn[i] >= end[i])
			continue;
		time_us = expected_us(balancer,
				      ql_balancer__endpoint_at(balancer,
							       candidates,
							       drawn[i]),
				      pick, now_us);
		if (best != QL_HANDLE_NONE && time_us >= best_us)
			continue;
		best = ql_balancer__handle_at(candidates, drawn[i]);
		best_us = time_us;
	}
	return best;
}

const ql_balancer_ops_t ql_balancer_random = {"random", false, pick_random};
const ql_balancer_ops_t ql_balancer_two_choices = {"two_choices", false,
						   pick_two_choices};
const ql_balancer_ops_t ql_balancer_least_time = {"least_time", true,
						  pick_least_time};
