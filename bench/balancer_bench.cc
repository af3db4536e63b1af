/* Cost of choosing an endpoint, for several numbers of endpoints. */

#include "quetzalloft/balancer.h"
#include "quetzalloft/clock.h"

#include <benchmark/benchmark.h>

namespace
{

void Pick(benchmark::State &state, const ql_balancer_ops_t *ops)
{
	GRand *random = g_rand_new_with_seed(1);
	ql_attempt_result_t result = {};
	ql_balancer_t balancer;
	ql_pick_request_t request = {};
	uint64_t now_us = QL_US_PER_S;

	ql_balancer_init(&balancer, ops, "d0", random);
	for (int64_t i = 0; i < state.range(0); i++) {
		ql_endpoint_info_t info = {};

		g_snprintf(info.gate, sizeof(info.gate), "10.0.%d.%d:1",
			   (int)i / 256, (int)i % 256);
		g_snprintf(info.failure_domain, sizeof(info.failure_domain),
			   "d%d", (int)i % 4);
		info.slots = 15;
		info.connections = 200;
		ql_balancer_add(&balancer, &info, 0);
	}
	result.outcome = QL_OUTCOME_ANSWERED;
	result.latency_us = 1000;
	result.has_occupancy = true;
	result.occupancy = 0.5;
	for (auto _ : state) {
		ql_handle_t handle;

		benchmark::DoNotOptimize(
			ql_balancer_min_level(&balancer, now_us));
		handle = ql_balancer_pick(&balancer, &request, now_us);
		now_us += 100;
		ql_balancer_record_result(&balancer, handle, &result, now_us);
	}
	ql_balancer_finish(&balancer);
	g_rand_free(random);
}
BENCHMARK_CAPTURE(Pick, two_choices, &ql_balancer_two_choices)
	->Arg(4)
	->Arg(40)
	->Arg(400)
	->Arg(4000);
BENCHMARK_CAPTURE(Pick, least_time, &ql_balancer_least_time)
	->Arg(4)
	->Arg(40)
	->Arg(400)
	->Arg(4000);
BENCHMARK_CAPTURE(Pick, even_load, &ql_balancer_even_load)
	->Arg(4)
	->Arg(16)
	->Arg(100)
	->Arg(400)
	->Arg(4000);

} // namespace

BENCHMARK_MAIN();
