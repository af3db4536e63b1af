#include "quetzalloft/metrics.h"

#include <benchmark/benchmark.h>

namespace
{

ql_histogram_t histogram;
uint64_t sharded_counters[QL_METRICS_SHARDS][1 + QL_METRICS_PADDING];
uint64_t shared_counter;

/* One counter for all threads, as a baseline for the sharded counters. */
void BM_CountShared(benchmark::State &state)
{
	for (auto _ : state)
		__atomic_add_fetch(&shared_counter, 1, __ATOMIC_RELAXED);
}

void BM_CountSpread(benchmark::State &state)
{
	for (auto _ : state)
		__atomic_add_fetch(&sharded_counters[ql_metrics_shard()][0], 1,
				   __ATOMIC_RELAXED);
}

void BM_Histogram(benchmark::State &state)
{
	uint64_t value_us = 0;

	for (auto _ : state)
		ql_histogram_add(&histogram, value_us++ & 4095);
}

} // namespace

BENCHMARK(BM_CountShared)->ThreadRange(1, 8);
BENCHMARK(BM_CountSpread)->ThreadRange(1, 8);
BENCHMARK(BM_Histogram)->ThreadRange(1, 8);
BENCHMARK_MAIN();
