#include "call_graph.h"

#include <gtest/gtest.h>

using call_graph::Options;
using call_graph::Request;

namespace
{

constexpr uint32_t kSeeds = 4000;

struct LossCase {
	double loss;
	double false_reports;
	bool parallel;
	uint32_t extra_attempts;
};

class AllowanceGraph : public testing::TestWithParam<LossCase>
{
};

/*
 * The attempts of a client request never exceed its allowance, on random call
 * graphs, at any rate of losses and of false reports by callees.
 */
TEST_P(AllowanceGraph, AttemptsNeverExceedAllowance)
{
	uint32_t attempts_max = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Options options;

		options.seed = seed;
		options.depth = seed % 8 ? 4 : QL_CALL_DEPTH_MAX;
		options.fan_out = options.depth > 4 ? 2 : 4;
		options.loss = GetParam().loss;
		options.false_reports = GetParam().false_reports;
		options.parallel = GetParam().parallel;
		options.extra_attempts = GetParam().extra_attempts;

		Request request(options);

		request.Run();
		ASSERT_LE(request.attempts, request.allowance_size)
			<< "seed " << seed;
		attempts_max = MAX(attempts_max, request.attempts);
	}
	EXPECT_GT(attempts_max, 9u);
}

INSTANTIATE_TEST_SUITE_P(Losses, AllowanceGraph,
			 testing::Values(LossCase{0.02, 0, false, 20},
					 LossCase{0.02, 0, true, 20},
					 LossCase{0.3, 0, false, 100},
					 LossCase{0.3, 0, true, 100},
					 LossCase{0.9, 0, false, 50},
					 LossCase{0.9, 0, true, 50},
					 LossCase{0.3, 0.2, false, 30},
					 LossCase{0.3, 0.2, true, 30}));

/*
 * Without losses each call gets the attempts that it needs, even if the
 * allowance covers no retry.
 */
TEST(AllowanceGraph, TightAllowanceSufficesWithoutLosses)
{
	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Options options;

		options.seed = seed;
		options.depth = 5;
		options.loss = 0;
		options.parallel = seed % 2;
		options.extra_attempts = seed % 7;

		Request request(options);

		ASSERT_TRUE(request.Run()) << "seed " << seed;
	}
}

/*
 * Guards against: retries of an early call, after a lost answer, use up the
 * attempts that a later call needs.
 */
TEST(Allowance, KeepsAttemptsThatLaterCallsNeed)
{
	ql_allowance_t allowance;

	ql_allowance_init(&allowance, 6);
	EXPECT_EQ(3u, ql_allowance_lend(&allowance, 2, 3));
	EXPECT_EQ(3u, allowance.remaining);
	EXPECT_EQ(3u, ql_allowance_lend(&allowance, 3, 0));
}

TEST(Allowance, CancelReturnsAllLentAttempts)
{
	ql_allowance_t allowance;
	uint32_t lent;

	ql_allowance_init(&allowance, 6);
	lent = ql_allowance_lend(&allowance, 2, 0);
	ql_allowance_cancel(&allowance, lent);
	EXPECT_EQ(6u, allowance.remaining);
}

TEST(Allowance, ReserveExcludesStartedCalls)
{
	ql_service_t services[4] = {};
	ql_document_t doc = {};

	services[0].calls[0] = 1;
	services[0].calls[1] = 2;
	services[0].calls[2] = 3;
	services[0].n_calls = 3;
	for (uint32_t i = 1; i < 4; i++)
		services[i].subtree_attempts = 1u << i;
	doc.services = services;
	doc.n_services = 4;
	EXPECT_EQ(12u, ql_allowance_compute_reserve(&doc, 0, 0, 1));
	EXPECT_EQ(8u, ql_allowance_compute_reserve(&doc, 0, 1, 2));
	EXPECT_EQ(0u, ql_allowance_compute_reserve(&doc, 0, 3, 3));
}

} // namespace
