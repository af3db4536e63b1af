#include "quetzalloft/throttle.h"
#include "quetzalloft/clock.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

namespace
{

constexpr int kNodes = 19;
constexpr double kCapacityPerS = 100;
constexpr uint64_t kBaseUs = 400 * QL_US_PER_MS;
constexpr uint64_t kBearableUs = 80 * QL_US_PER_MS;
/* The gate of the service refuses what would wait longer. */
constexpr uint64_t kQueueUs = 300 * QL_US_PER_MS;
constexpr uint64_t kTargetUs = 1500 * QL_US_PER_MS;

struct Case {
	const char *name;
	/* Requests a second while the load lasts, and behind it. */
	double load;
	double after;
	/* Part of what the service can do that is answered in time. */
	double goodput;
	/* Longest time to take all requests again. */
	double recovery_s;
};

/* Pattern: first nodes that share a narrow service deep below them. */
class ThrottleTest : public testing::TestWithParam<Case>
{
      protected:
	void SetUp() override
	{
		for (auto &node : nodes_)
			ql_throttle_init(&node);
	}

	void TearDown() override
	{
		g_rand_free(random_);
	}

	struct Count {
		double offered = 0;
		double refused = 0;
		double in_time = 0;
	};

	void Answer(uint64_t until_us)
	{
		while (!open_.empty() && open_.begin()->first <= until_us) {
			auto [node, pressure, latency_us] =
				open_.begin()->second;

			ql_throttle_record_answer(&nodes_[node], pressure,
						  latency_us,
						  open_.begin()->first);
			ql_throttle_end(&nodes_[node]);
			open_.erase(open_.begin());
		}
	}

	void Serve(int node, Count *count)
	{
		uint64_t wait_us = free_us_ > now_us_ ? free_us_ - now_us_ : 0;
		double pressure = (double)wait_us / kBearableUs;

		if (wait_us > kQueueUs) {
			open_.emplace(now_us_ + kQueueUs,
				      std::make_tuple(node, QL_PRESSURE_MAX,
						      kQueueUs));
			return;
		}
		free_us_ = MAX(free_us_, now_us_) +
			   (uint64_t)(QL_US_PER_S / kCapacityPerS);
		count->in_time += kBaseUs + wait_us <= kTargetUs;
		open_.emplace(now_us_ + kBaseUs + wait_us,
			      std::make_tuple(node, pressure,
					      kBaseUs + wait_us));
	}

	/* One request at a time, at any of the nodes. */
	Count Run(double per_s, double seconds)
	{
		uint64_t end_us = now_us_ + (uint64_t)(seconds * QL_US_PER_S);
		Count count;

		while (now_us_ < end_us) {
			int node = g_rand_int_range(random_, 0, kNodes);
			double gap = -log(1 - g_rand_double(random_)) / per_s;

			now_us_ += (uint64_t)(gap * QL_US_PER_S);
			Answer(now_us_);
			count.offered++;
			if (ql_throttle_offer(&nodes_[node], 0, random_,
					      now_us_)
				    .refuse)
				count.refused++;
			else
				Serve(node, &count);
		}
		return count;
	}

	GRand *random_ = g_rand_new_with_seed(1);
	ql_throttle_t nodes_[kNodes];
	std::multimap<uint64_t, std::tuple<int, double, uint64_t>> open_;
	uint64_t now_us_ = 60 * QL_US_PER_S;
	uint64_t free_us_ = 0;
};

TEST_P(ThrottleTest, KeepsTheServiceBusyAndItsQueueShort)
{
	const Case &test = GetParam();
	double recovery_s = 0;
	Count count;

	Run(test.load, 5);
	count = Run(test.load, 20);
	EXPECT_GE(count.in_time,
		  test.goodput * MIN(count.offered, kCapacityPerS * 20));
	while (recovery_s < 30) {
		count = Run(test.after, 1);
		if (count.refused < 0.05 * count.offered)
			break;
		recovery_s++;
	}
	EXPECT_LE(recovery_s, test.recovery_s);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, ThrottleTest,
	testing::Values(Case{"Calm", 50, 50, 0.99, 0},
			Case{"NearlyFull", 90, 50, 0.9, 1},
			Case{"SlightOverload", 120, 50, 0.85, 3},
			Case{"DoubleLoad", 200, 50, 0.85, 3},
			Case{"FiveTimesTheLoad", 500, 50, 0.75, 3}),
	[](const auto &test) { return test.param.name; });

TEST(Throttle, LetsOneThroughToLearn)
{
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = 60 * QL_US_PER_S;
	ql_throttle_decision_t decision;
	ql_throttle_t throttle;

	ql_throttle_init(&throttle);
	for (int i = 0; i < 100; i++, now_us += 100 * QL_US_PER_MS)
		ql_throttle_record_answer(&throttle, QL_PRESSURE_MAX, 0,
					  now_us);
	ql_throttle_offer(&throttle, 0, random, now_us);
	for (int i = 0; i < 100; i++, now_us += 1000) {
		decision = ql_throttle_offer(&throttle, 0, random, now_us);
		EXPECT_EQ(decision.refuse, decision.retry_after_ms > 0);
	}
	/* Not before the one that is on its way has ended. */
	throttle.share = 0;
	now_us += QL_US_PER_S;
	EXPECT_TRUE(ql_throttle_offer(&throttle, 0, random, now_us).refuse);
	while (throttle.in_progress)
		ql_throttle_end(&throttle);
	EXPECT_FALSE(ql_throttle_offer(&throttle, 0, random, now_us).refuse);
	g_rand_free(random);
}

/*
 * Guards against: with many nodes the requests that only test whether the
 * pressure has gone are more than a narrow service has room for.
 */
TEST(Throttle, TestsMoreRarelyWhileAllAreLost)
{
	constexpr uint64_t kStepUs = 10 * QL_US_PER_MS;
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = 60 * QL_US_PER_S;
	int tests[] = {0, 0};
	ql_throttle_t throttle;

	ql_throttle_init(&throttle);
	for (int lost : {0, 1})
		for (int i = 0; i < 1000; i++, now_us += kStepUs) {
			throttle.share = 0;
			if (ql_throttle_offer(&throttle, 0, random, now_us)
				    .refuse)
				continue;
			tests[lost]++;
			ql_throttle_end(&throttle);
			ql_throttle_record_answer(&throttle,
						  lost ? QL_PRESSURE_MAX : 1, 0,
						  now_us);
		}
	EXPECT_GE(tests[0], 25);
	EXPECT_LE(tests[1], 12);
	EXPECT_GE(tests[1], 9);
	g_rand_free(random);
}

/* Pattern: callers that come back once must not come back too late. */
TEST(Throttle, CallsBackWithinTheTarget)
{
	constexpr uint64_t kTargetMs = 1500;
	constexpr uint32_t kServedMs = 500;
	GRand *random = g_rand_new_with_seed(1);
	uint32_t first_ms = UINT32_MAX, last_ms = 0;
	uint64_t now_us = 60 * QL_US_PER_S;
	ql_throttle_t throttle;

	ql_throttle_init(&throttle);
	for (int i = 0; i < 100; i++, now_us += 100 * QL_US_PER_MS)
		ql_throttle_record_answer(&throttle, QL_PRESSURE_MAX, 0,
					  now_us);
	for (int i = 0; i < 1000; i++) {
		ql_throttle_decision_t decision =
			ql_throttle_offer(&throttle, kTargetMs, random, now_us);

		if (!decision.refuse)
			continue;
		first_ms = MIN(first_ms, decision.retry_after_ms);
		last_ms = MAX(last_ms, decision.retry_after_ms);
	}
	EXPECT_LE(last_ms + kServedMs, kTargetMs);
	EXPECT_GE(last_ms - first_ms, kTargetMs / 3);
	g_rand_free(random);
}

/* Pattern: a queue far below that answers tell of only when they leave it. */
TEST(Throttle, BeginsNoMoreWhileAnswersAreLate)
{
	constexpr uint64_t kGapUs = 10 * QL_US_PER_MS;
	constexpr uint64_t kClearUs = 200 * QL_US_PER_MS;
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = 60 * QL_US_PER_S;
	ql_throttle_t throttle;
	int let_through = 0;

	ql_throttle_init(&throttle);
	for (int i = 0; i < 300; i++, now_us += kGapUs) {
		if (!ql_throttle_offer(&throttle, 0, random, now_us).refuse)
			ql_throttle_end(&throttle);
		ql_throttle_record_answer(&throttle, i % 10 ? 0.9 : 1.5,
					  kClearUs, now_us);
	}
	throttle.share = 0.5;
	for (int i = 0; i < 200; i++, now_us += kGapUs)
		let_through +=
			!ql_throttle_offer(&throttle, 0, random, now_us).refuse;
	/* 10 would be in progress if answers came as before. */
	EXPECT_GE(let_through, 10);
	EXPECT_LE(let_through, 25);
	g_rand_free(random);
}

} // namespace
