#include "quetzalloft/early_rejection.h"

#include <gtest/gtest.h>

namespace
{

const uint64_t MS = 1000;

/* Requests of two routes, one each ms; below, a part of them is served. */
class Level : public testing::Test
{
      protected:
	void SetUp() override
	{
		random = g_rand_new_with_seed(1);
		ql_early_rejection_init(&level, 2, random);
	}

	void TearDown() override
	{
		ql_early_rejection_finish(&level);
		g_rand_free(random);
	}

	/* Returns the part that was let through. */
	double run(size_t route, int n, int served_per_100_ms)
	{
		int passed = 0, room = 0;

		for (int i = 0; i < n; i++) {
			now_us += MS;
			if (i % 100 == 0)
				room = served_per_100_ms;
			if (ql_early_rejection_decide(&level, route, now_us)
				    .refuse)
				continue;
			passed++;
			ql_early_rejection_observe(
				&level, route,
				room > 0 ? QL_EARLY_REJECTION_SERVED
					 : QL_EARLY_REJECTION_SHED,
				served_per_100_ms >= 100, now_us);
			room--;
		}
		return (double)passed / n;
	}

	GRand *random;
	ql_early_rejection_t level;
	uint64_t now_us = 1000 * MS;
};

TEST_F(Level, LetsEverythingThroughWithoutOverload)
{
	EXPECT_EQ(1.0, run(0, 5000, 100));
}

TEST_F(Level, RefusesWhatWouldBeShedAndFillsTheCapacity)
{
	struct {
		int served_per_100_ms;
	} cases[] = {{50}, {25}, {10}};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.served_per_100_ms);
		double carried = c.served_per_100_ms / 100.0;

		run(0, 5000, c.served_per_100_ms);
		double passed = run(0, 10000, c.served_per_100_ms);

		EXPECT_GE(passed, carried);
		EXPECT_LE(passed, 2 * carried);
	}
}

TEST_F(Level, GoesOnTryingWhenNothingIsServed)
{
	run(0, 5000, 0);
	EXPECT_GE(run(0, 5000, 0), 0.01);
	EXPECT_LE(run(0, 5000, 0), 0.1);
}

TEST_F(Level, LiftsWithinSecondsOfTheRecovery)
{
	run(0, 20000, 0);
	run(0, 3000, 100);
	EXPECT_GE(run(0, 1000, 100), 0.99);
}

/* Clients that come again at once: 100 requests a ms while 10 are served. */
TEST_F(Level, LiftsAsSoonAfterAStormOfRepeats)
{
	for (int ms = 0; ms < 5000; ms++) {
		now_us += MS;
		for (int i = 0; i < 100; i++)
			if (!ql_early_rejection_decide(&level, 0, now_us)
				     .refuse)
				ql_early_rejection_observe(
					&level, 0,
					i < 10 ? QL_EARLY_REJECTION_SERVED
					       : QL_EARLY_REJECTION_SHED,
					false, now_us);
	}
	run(0, 1000, 100);
	EXPECT_GE(run(0, 1000, 100), 0.99);
}

TEST_F(Level, DoesNotRefuseARouteThatHearsOfNoOverload)
{
	for (int i = 0; i < 50; i++) {
		run(0, 100, 0);
		EXPECT_EQ(1.0, run(1, 100, 100));
	}
}

TEST_F(Level, IgnoresEndsThatSayNothingOfTheLoad)
{
	for (int i = 0; i < 1000; i++)
		ql_early_rejection_observe(&level, 0, QL_EARLY_REJECTION_OTHER,
					   false, now_us);
	EXPECT_FALSE(ql_early_rejection_decide(&level, 0, now_us).refuse);
	EXPECT_FALSE(ql_early_rejection_decide(&level, 7, now_us).refuse);
	ql_early_rejection_observe(&level, 7, QL_EARLY_REJECTION_SHED, false,
				   now_us);
}

TEST_F(Level, IsResetWithTheRoutes)
{
	run(0, 5000, 0);
	ql_early_rejection_reset(&level, 1);
	for (int i = 0; i < 10; i++)
		EXPECT_FALSE(
			ql_early_rejection_decide(&level, 0, now_us).refuse);
}

} // namespace
