#ifndef QL_POLICY_BALANCER_INTERNAL_H
#define QL_POLICY_BALANCER_INTERNAL_H

/**
 * DOC: Functions shared by the sources of the balancer: the table of endpoints
 * and the search for candidates (balancer.c), the policies that choose one of
 * them (balancer_choice.c, balancer_even_load.c), and the estimates of latency
 * and of the ratios of failures and refusals from the results of attempts
 * (balancer_estimates.c).
 */

#include "quetzalloft/balancer.h"

G_BEGIN_DECLS

/** Latencies and latency estimates below this count as this. */
#define QL_BALANCER_LATENCY_FLOOR_US 100.0

/**
 * ql_balancer__handle_at() - Get an element of a list of handles.
 * @handles: list
 * @i: index, less than the length of @handles
 */
static inline ql_handle_t ql_balancer__handle_at(const GArray *handles, guint i)
{
	return g_array_index(handles, ql_handle_t, i);
}

/**
 * ql_balancer__endpoint_at() - Get the endpoint of an element of a list.
 * @balancer: balancer
 * @handles: list
 * @i: index, less than the length of @handles
 *
 * Return: the endpoint, or NULL if it was removed.
 */
static inline ql_endpoint_t *
ql_balancer__endpoint_at(const ql_balancer_t *balancer, const GArray *handles,
			 guint i)
{
	return ql_table_get(&balancer->endpoints,
			    ql_balancer__handle_at(handles, i));
}

/**
 * ql_balancer__is_same_domain() - Check whether an endpoint is in the failure
 * domain of this node.
 * @balancer: balancer
 * @handle: valid handle of the endpoint
 */
static inline bool ql_balancer__is_same_domain(const ql_balancer_t *balancer,
					       ql_handle_t handle)
{
	const ql_endpoint_t *endpoint =
		ql_table_get(&balancer->endpoints, handle);

	return endpoint->same_domain_position != UINT32_MAX;
}

/**
 * ql_balancer__slow_start_factor() - Compute the share of its full load that an
 * endpoint gets.
 * @endpoint: endpoint
 * @now_us: current time
 *
 * Return: 0.1 after its start, rising to 1 at the end of the slow start.
 */
double ql_balancer__slow_start_factor(const ql_endpoint_t *endpoint,
				      uint64_t now_us);

/**
 * ql_balancer__expected_latency_us() - Estimate the latency of an endpoint.
 * @balancer: balancer
 * @endpoint: endpoint
 * @now_us: current time
 *
 * Return: the mean latency, which decays towards QL_BALANCER_LATENCY_FLOOR_US
 * since the last answer, so that an endpoint that was slow is tried again; the
 * mean of all endpoints if it has not answered yet.
 */
double ql_balancer__expected_latency_us(const ql_balancer_t *balancer,
					const ql_endpoint_t *endpoint,
					uint64_t now_us);

/**
 * ql_balancer__expected_relative_latency() - Estimate the latency of an
 * endpoint as a multiple of the typical latency of the route.
 * @endpoint: endpoint
 * @now_us: current time
 *
 * Return: the mean relative latency, which decays towards 1 since the last
 * answer; 1 if it has not answered yet.
 */
double ql_balancer__expected_relative_latency(const ql_endpoint_t *endpoint,
					      uint64_t now_us);

/**
 * ql_balancer__expected_failure_ratio() - Estimate the ratio of failing
 * attempts of an endpoint.
 * @endpoint: endpoint
 * @now_us: current time
 *
 * Return: the ratio, 0 to 1, which decays towards 0 since the last attempt
 * that counted for it.
 */
double ql_balancer__expected_failure_ratio(const ql_endpoint_t *endpoint,
					   uint64_t now_us);

/**
 * ql_balancer__expected_refusal_ratio() - Estimate the ratio of attempts that
 * the endpoint refuses without running them.
 * @endpoint: endpoint
 * @now_us: current time
 *
 * Return: the ratio, 0 to 1, which decays towards 0 since the last attempt
 * that counted for it.
 */
double ql_balancer__expected_refusal_ratio(const ql_endpoint_t *endpoint,
					   uint64_t now_us);

G_END_DECLS

#endif
