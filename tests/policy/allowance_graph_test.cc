#include "call_graph.h"

#include <gtest/gtest.h>

using call_graph::Options;
using call_graph::Request;

namespace
{

constexpr uint32_t kSeeds = 4000;

struct Case {
	double loss;
	double lies;
	bool parallel;
	uint32_t extra;
};

class AllowanceGraph : public testing::TestWithParam<Case>
{
};

/* Random graphs, any loss: the bound holds for each client request. */
TEST_P(AllowanceGraph, AttemptsNeverPassTheBound)
{
	uint32_t most = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Options options;

		options.seed = seed;
		options.depth = seed % 8 ? 4 : QL_CALL_DEPTH_MAX;
		options.fan_out = options.depth > 4 ? 2 : 4;
		options.loss = GetParam().loss;
		options.lies = GetParam().lies;
		options.parallel = GetParam().parallel;
		options.extra = GetParam().extra;

		Request request(options);

		request.Run();
		ASSERT_LE(request.attempts, request.bound) << "seed " << seed;
		most = MAX(most, request.attempts);
	}
	EXPECT_GT(most, 9u);
}

INSTANTIATE_TEST_SUITE_P(
	Losses, AllowanceGraph,
	testing::Values(Case{0.02, 0, false, 20}, Case{0.02, 0, true, 20},
			Case{0.3, 0, false, 100}, Case{0.3, 0, true, 100},
			Case{0.9, 0, false, 50}, Case{0.9, 0, true, 50},
			Case{0.3, 0.2, false, 30}, Case{0.3, 0.2, true, 30}));

/* Without losses no call may lack allowance, however tight the bound is. */
TEST(AllowanceGraph, TightBoundServesACallWithoutLosses)
{
	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Options options;

		options.seed = seed;
		options.depth = 5;
		options.loss = 0;
		options.parallel = seed % 2;
		options.extra = seed % 7;

		Request request(options);

		ASSERT_TRUE(request.Run()) << "seed " << seed;
	}
}

/* Why the reserve: an answer lost early must not starve a later call. */
TEST(Allowance, KeepsWhatLaterCallsNeed)
{
	ql_allowance_t allowance;

	ql_allowance_init(&allowance, 6);
	EXPECT_EQ(3u, ql_allowance_lend(&allowance, 2, 3));
	EXPECT_EQ(3u, allowance.remaining);
	EXPECT_EQ(3u, ql_allowance_lend(&allowance, 3, 0));
}

TEST(Allowance, CancelGivesAllBack)
{
	ql_allowance_t allowance;
	uint32_t lent;

	ql_allowance_init(&allowance, 6);
	lent = ql_allowance_lend(&allowance, 2, 0);
	ql_allowance_cancel(&allowance, lent);
	EXPECT_EQ(6u, allowance.remaining);
}

TEST(Allowance, ReserveLeavesOutWhatWasBegun)
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
