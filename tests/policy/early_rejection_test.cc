#include "quetzalloft/early_rejection.h"

#include <gtest/gtest.h>

namespace
{

const uint64_t MS = 1000;

/*
 * Sends one request per ms, of either of two routes, to a downstream service of
 * limited capacity, which sheds the requests above it.
 */
class EarlyRejection : public testing::Test
{
      protected:
	void SetUp() override
	{
		random = g_rand_new_with_seed(1);
		ql_early_rejection_init(&rejection, 2, random);
	}

	void TearDown() override
	{
		ql_early_rejection_finish(&rejection);
		g_rand_free(random);
	}

	/*
	 * Sends @n requests of a route and returns the fraction that was
	 * forwarded. The service is congested if it serves less than 100 per
	 * 100 ms.
	 */
	double run(size_t route, int n, int served_per_100_ms)
	{
		int forwarded = 0, capacity_left = 0;

		for (int i = 0; i < n; i++) {
			now_us += MS;
			if (i % 100 == 0)
				capacity_left = served_per_100_ms;
			if (ql_early_rejection_decide(&rejection, route, now_us)
				    .refuse)
				continue;
			forwarded++;
			ql_early_rejection_observe(
				&rejection, route,
				capacity_left > 0 ? QL_EARLY_REJECTION_SERVED
						  : QL_EARLY_REJECTION_SHED,
				served_per_100_ms >= 100, now_us);
			capacity_left--;
		}
		return (double)forwarded / n;
	}

	GRand *random;
	ql_early_rejection_t rejection;
	uint64_t now_us = 1000 * MS;
};

TEST_F(EarlyRejection, ForwardsAllRequestsWithoutOverload)
{
	EXPECT_EQ(1.0, run(0, 5000, 100));
}

TEST_F(EarlyRejection, RejectsRequestsThatWouldBeShedAndFillsTheCapacity)
{
	struct {
		int served_per_100_ms;
	} cases[] = {{50}, {25}, {10}};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.served_per_100_ms);
		double served_fraction = c.served_per_100_ms / 100.0;

		run(0, 5000, c.served_per_100_ms);
		double forwarded = run(0, 10000, c.served_per_100_ms);

		EXPECT_GE(forwarded, served_fraction);
		EXPECT_LE(forwarded, 2 * served_fraction);
	}
}

TEST_F(EarlyRejection, ForwardsProbesWhileNothingIsServed)
{
	run(0, 5000, 0);
	EXPECT_GE(run(0, 5000, 0), 0.01);
	EXPECT_LE(run(0, 5000, 0), 0.1);
}

TEST_F(EarlyRejection, EndsWithinSecondsOfTheRecovery)
{
	run(0, 20000, 0);
	run(0, 3000, 100);
	EXPECT_GE(run(0, 1000, 100), 0.99);
}

/*
 * Guards against: most requests are still rejected seconds after a retry storm.
 * Clients that retry at once offer 100 requests per ms while 10 are served, so
 * the count of offered requests is about 100 times that of the normal load of
 * one request per ms when the storm ends.
 */
TEST_F(EarlyRejection, EndsWithinSecondsAfterARetryStorm)
{
	for (int ms = 0; ms < 5000; ms++) {
		now_us += MS;
		for (int i = 0; i < 100; i++)
			if (!ql_early_rejection_decide(&rejection, 0, now_us)
				     .refuse)
				ql_early_rejection_observe(
					&rejection, 0,
					i < 10 ? QL_EARLY_REJECTION_SERVED
					       : QL_EARLY_REJECTION_SHED,
					false, now_us);
	}
	run(0, 1000, 100);
	EXPECT_GE(run(0, 1000, 100), 0.99);
}

TEST_F(EarlyRejection, RejectsNoRequestOfARouteWithoutOverload)
{
	for (int i = 0; i < 50; i++) {
		run(0, 100, 0);
		EXPECT_EQ(1.0, run(1, 100, 100));
	}
}

TEST_F(EarlyRejection, IgnoresOutcomesUnrelatedToLoad)
{
	for (int i = 0; i < 1000; i++)
		ql_early_rejection_observe(&rejection, 0,
					   QL_EARLY_REJECTION_OTHER, false,
					   now_us);
	EXPECT_FALSE(ql_early_rejection_decide(&rejection, 0, now_us).refuse);
	EXPECT_FALSE(ql_early_rejection_decide(&rejection, 7, now_us).refuse);
	ql_early_rejection_observe(&rejection, 7, QL_EARLY_REJECTION_SHED,
				   false, now_us);
}

TEST_F(EarlyRejection, IsResetWithTheRoutes)
{
	run(0, 5000, 0);
	ql_early_rejection_reset(&rejection, 1);
	for (int i = 0; i < 10; i++)
		EXPECT_FALSE(ql_early_rejection_decide(&rejection, 0, now_us)
				     .refuse);
}

} // namespace
