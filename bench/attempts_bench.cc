/*
 * Latency of claims on idempotency keys with three keepers over RPC, and the
 * cost of the decisions without a network.
 */

#include "support/keepers.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <vector>

namespace
{

keepers_test::Keepers *keepers;

std::string MakeKey(const benchmark::State &state, uint64_t i)
{
	return std::to_string(state.thread_index()) + "/" + std::to_string(i);
}

uint64_t last_key_number;

uint64_t NextKeyNumber()
{
	return __atomic_add_fetch(&last_key_number, 1, __ATOMIC_RELAXED);
}

/* Time that a keyed call waits for its claim before it is executed. */
void ClaimThenAnswer(benchmark::State &state)
{
	GBytes *answer = g_bytes_new(std::string(200, 'x').data(), 200);
	std::vector<uint64_t> latencies_us;

	for (auto _ : state) {
		ql_claim_verdict_t verdict = {};
		std::string key = MakeKey(state, NextKeyNumber());
		uint64_t start_us = ql_clock_now_us();
		ql_claim_session_t *session =
			keepers->Begin(QL_CLAIM_RUN, key, "body", &verdict);

		latencies_us.push_back(ql_clock_now_us() - start_us);
		if (session)
			ql_claim_service_end(&keepers->service, session,
					     QL_CLAIM_NOTE_ANSWERED, answer);
		else
			state.SkipWithError("not won");
	}
	g_bytes_unref(answer);
	std::sort(latencies_us.begin(), latencies_us.end());
	state.counters["p50_us"] =
		benchmark::Counter(latencies_us[latencies_us.size() / 2],
				   benchmark::Counter::kAvgThreads);
	state.counters["p99_us"] =
		benchmark::Counter(latencies_us[latencies_us.size() * 99 / 100],
				   benchmark::Counter::kAvgThreads);
}
BENCHMARK(ClaimThenAnswer)->ThreadRange(1, 64)->UseRealTime();

/* Time that it takes to seal a key, so that a refusal may say not-run. */
void Seal(benchmark::State &state)
{
	for (auto _ : state) {
		ql_claim_verdict_t verdict = {};

		keepers->Begin(QL_CLAIM_SEAL, MakeKey(state, NextKeyNumber()),
			       "body", &verdict);
		if (verdict.result != QL_CLAIM_SEALED)
			state.SkipWithError("not sealed");
	}
}
BENCHMARK(Seal)->ThreadRange(1, 64)->UseRealTime();

/* A refusal that does not cover other copies of the call sends no message. */
void RefusedAlone(benchmark::State &state)
{
	for (auto _ : state)
		benchmark::DoNotOptimize(
			ql_claim_rules.outcome(QL_CLAIM_IN_PROGRESS));
}
BENCHMARK(RefusedAlone);

/* Decision of one keeper on a claim for a new key. */
void KeeperDecides(benchmark::State &state)
{
	ql_keeper_opts_t opts = {&ql_claim_rules, QL_US_PER_S, 1u << 20,
				 1u << 20};
	ql_claim_request_t request = {};
	ql_claim_reply_t reply;
	ql_keeper_t keeper;
	uint64_t now_us = QL_US_PER_S;

	ql_keeper_init(&keeper, &opts, 0);
	request.op = QL_CLAIM_OP_ACCEPT;
	request.value.kind = QL_CLAIM_RUN;
	for (auto _ : state) {
		g_snprintf(request.key, sizeof(request.key), "%llu",
			   (unsigned long long)now_us);
		request.value.claimant.attempt = now_us;
		ql_keeper_handle(&keeper, &request, &reply, now_us++);
	}
	ql_keeper_finish(&keeper);
}
BENCHMARK(KeeperDecides);

} // namespace

int main(int argc, char **argv)
{
	keepers_test::Keepers keeper_processes;

	keepers = &keeper_processes;
	benchmark::Initialize(&argc, argv);
	benchmark::RunSpecifiedBenchmarks();
	return 0;
}
