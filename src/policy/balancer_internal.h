#ifndef QL_POLICY_BALANCER_INTERNAL_H
#define QL_POLICY_BALANCER_INTERNAL_H

/**
 * DOC: What the files of the balancer share: the set of endpoints and the
 * candidates (balancer.c), the choice among them (balancer_choice.c), and what
 * is learned from attempts (balancer_estimates.c).
 */

#include "quetzalloft/balancer.h"

G_BEGIN_DECLS

/** Latencies below this are taken for this. */
#define QL_BALANCER_LATENCY_FLOOR_US 100.0

static inline ql_handle_t ql_balancer__handle_at(const GArray *handles, guint i)
{
	return g_array_index(handles, ql_handle_t, i);
}

static inline ql_endpoint_t *
ql_balancer__endpoint_at(const ql_balancer_t *balancer, const GArray *handles,
			 guint i)
{
	return ql_table_get(&balancer->endpoints,
			    ql_balancer__handle_at(handles, i));
}

/**
 * ql_balancer__is_near_at() - Whether an endpoint is in the own failure domain.
 */
static inline bool ql_balancer__is_same_domain(const ql_balancer_t *balancer,
					       ql_handle_t handle)
{
	const ql_endpoint_t *endpoint =
		ql_table_get(&balancer->endpoints, handle);

	return endpoint->same_domain_position != UINT32_MAX;
}

/**
 * ql_balancer__warmth() - Part of its work that an endpoint takes; less
 * after a cold start.
 */
double ql_balancer__slow_start_factor(const ql_endpoint_t *endpoint,
				      uint64_t now_us);

/**
 * ql_balancer__expected_latency_us() - What is known of its latency, and
 * less the longer nothing was heard.
 */
double ql_balancer__expected_latency_us(const ql_balancer_t *balancer,
					const ql_endpoint_t *endpoint,
					uint64_t now_us);

/**
 * ql_balancer__expected_slowness() - What is known of its slowness, and
 * less the longer nothing was heard.
 */
double ql_balancer__expected_relative_latency(const ql_endpoint_t *endpoint,
					      uint64_t now_us);

/**
 * ql_balancer__expected_failing() - The part of the attempts that is likely
 * to fail there.
 */
double ql_balancer__expected_failure_ratio(const ql_endpoint_t *endpoint,
					   uint64_t now_us);

G_END_DECLS

#endif
