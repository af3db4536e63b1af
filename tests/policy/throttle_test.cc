#include "quetzalloft/throttle.h"
#include "quetzalloft/clock.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

namespace
{

constexpr int kNodes = 19;
constexpr double kCapacityPerS = 100;
constexpr uint64_t kBaseLatencyUs = 400 * QL_US_PER_MS;
constexpr uint64_t kAcceptableDelayUs = 80 * QL_US_PER_MS;
/* The gate of the service refuses requests that would be queued for longer. */
constexpr uint64_t kMaxQueueingDelayUs = 300 * QL_US_PER_MS;
/* Latency within which an answer counts as in time. */
constexpr uint64_t kTargetUs = 1500 * QL_US_PER_MS;

struct Case {
	const char *name;
	/* Requests per second during the load, and after it. */
	double load_per_s;
	double after_per_s;
	/* Least fraction of the offered requests, or of the capacity if that is
	 * less, that is answered within the target. */
	double min_goodput;
	/* Longest time until less than 5% of the requests are refused. */
	double max_recovery_s;
};

/*
 * Simulates 19 nodes that receive client requests and share a service with a
 * capacity of 100 requests per second, several calls downstream.
 */
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

	/* Numbers of requests in one run. */
	struct Count {
		double offered = 0;
		double refused = 0;
		double in_time = 0;
	};

	/* Delivers the answers that are due until a point in time. */
	void DeliverAnswers(uint64_t until_us)
	{
		while (!pending_answers_.empty() &&
		       pending_answers_.begin()->first <= until_us) {
			auto [node, pressure, latency_us] =
				pending_answers_.begin()->second;

			ql_throttle_record_answer(
				&nodes_[node], pressure, latency_us,
				pending_answers_.begin()->first);
			ql_throttle_finish_request(&nodes_[node]);
			pending_answers_.erase(pending_answers_.begin());
		}
	}

	/* Queues a request at the service, and schedules its answer. */
	void Serve(int node, Count *count)
	{
		uint64_t wait_us = service_free_us_ > now_us_
					   ? service_free_us_ - now_us_
					   : 0;
		double pressure = (double)wait_us / kAcceptableDelayUs;

		if (wait_us > kMaxQueueingDelayUs) {
			pending_answers_.emplace(
				now_us_ + kMaxQueueingDelayUs,
				std::make_tuple(node, QL_PRESSURE_MAX,
						kMaxQueueingDelayUs));
			return;
		}
		service_free_us_ = MAX(service_free_us_, now_us_) +
				   (uint64_t)(QL_US_PER_S / kCapacityPerS);
		count->in_time += kBaseLatencyUs + wait_us <= kTargetUs;
		pending_answers_.emplace(now_us_ + kBaseLatencyUs + wait_us,
					 std::make_tuple(node, pressure,
							 kBaseLatencyUs +
								 wait_us));
	}

	/* Offers requests at random intervals, each to a random node. */
	Count Run(double per_s, double seconds)
	{
		uint64_t end_us = now_us_ + (uint64_t)(seconds * QL_US_PER_S);
		Count count;

		while (now_us_ < end_us) {
			int node = g_rand_int_range(random_, 0, kNodes);
			double gap = -log(1 - g_rand_double(random_)) / per_s;

			now_us_ += (uint64_t)(gap * QL_US_PER_S);
			DeliverAnswers(now_us_);
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
	std::multimap<uint64_t, std::tuple<int, double, uint64_t>>
		pending_answers_;
	uint64_t now_us_ = 60 * QL_US_PER_S;
	uint64_t service_free_us_ = 0;
};

TEST_P(ThrottleTest, KeepsTheServiceBusyAndItsQueueShort)
{
	const Case &test = GetParam();
	double recovery_s = 0;
	Count count;

	Run(test.load_per_s, 5);
	count = Run(test.load_per_s, 20);
	EXPECT_GE(count.in_time,
		  test.min_goodput * MIN(count.offered, kCapacityPerS * 20));
	while (recovery_s < 30) {
		count = Run(test.after_per_s, 1);
		if (count.refused < 0.05 * count.offered)
			break;
		recovery_s++;
	}
	EXPECT_LE(recovery_s, test.max_recovery_s);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, ThrottleTest,
	testing::Values(Case{"Calm", 50, 50, 0.99, 0},
			Case{"NearlyFull", 90, 50, 0.9, 1},
			Case{"SlightOverload", 120, 50, 0.85, 3},
			Case{"DoubleLoad", 200, 50, 0.85, 3},
			Case{"FiveTimesTheLoad", 500, 50, 0.75, 3}),
	[](const auto &test) { return test.param.name; });

TEST(Throttle, AdmitsOneProbeAtATime)
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
	/* No further probe is admitted while one is in progress. */
	throttle.share = 0;
	now_us += QL_US_PER_S;
	EXPECT_TRUE(ql_throttle_offer(&throttle, 0, random, now_us).refuse);
	while (throttle.in_progress)
		ql_throttle_finish_request(&throttle);
	EXPECT_FALSE(ql_throttle_offer(&throttle, 0, random, now_us).refuse);
	g_rand_free(random);
}

/*
 * Guards against: with many nodes, the probes alone exceed the low capacity of
 * a service that they share.
 */
TEST(Throttle, ProbesLessOftenWhileAllProbesAreLost)
{
	constexpr uint64_t kStepUs = 10 * QL_US_PER_MS;
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = 60 * QL_US_PER_S;
	int probes[] = {0, 0};
	ql_throttle_t throttle;

	ql_throttle_init(&throttle);
	for (int lost : {0, 1})
		for (int i = 0; i < 1000; i++, now_us += kStepUs) {
			throttle.share = 0;
			if (ql_throttle_offer(&throttle, 0, random, now_us)
				    .refuse)
				continue;
			probes[lost]++;
			ql_throttle_finish_request(&throttle);
			ql_throttle_record_answer(&throttle,
						  lost ? QL_PRESSURE_MAX : 1, 0,
						  now_us);
		}
	EXPECT_GE(probes[0], 25);
	EXPECT_LE(probes[1], 12);
	EXPECT_GE(probes[1], 9);
	g_rand_free(random);
}

/*
 * Guards against: a client that retries a refused request once does so too late
 * for the latency target.
 */
TEST(Throttle, RetryAfterAllowsMeetingTheTarget)
{
	constexpr uint64_t kTargetMs = 1500;
	constexpr uint32_t kServiceTimeMs = 500;
	GRand *random = g_rand_new_with_seed(1);
	uint32_t min_retry_ms = UINT32_MAX, max_retry_ms = 0;
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
		min_retry_ms = MIN(min_retry_ms, decision.retry_after_ms);
		max_retry_ms = MAX(max_retry_ms, decision.retry_after_ms);
	}
	EXPECT_LE(max_retry_ms + kServiceTimeMs, kTargetMs);
	EXPECT_GE(max_retry_ms - min_retry_ms, kTargetMs / 3);
	g_rand_free(random);
}

/*
 * Guards against: a throttle keeps admitting requests into a downstream queue,
 * because only the answers of requests that have left the queue report it.
 */
TEST(Throttle, AdmitsNoMoreWhileAnswersAreLate)
{
	constexpr uint64_t kGapUs = 10 * QL_US_PER_MS;
	constexpr uint64_t kUncongestedLatencyUs = 200 * QL_US_PER_MS;
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = 60 * QL_US_PER_S;
	ql_throttle_t throttle;
	int admitted = 0;

	ql_throttle_init(&throttle);
	for (int i = 0; i < 300; i++, now_us += kGapUs) {
		if (!ql_throttle_offer(&throttle, 0, random, now_us).refuse)
			ql_throttle_finish_request(&throttle);
		ql_throttle_record_answer(&throttle, i % 10 ? 0.9 : 1.5,
					  kUncongestedLatencyUs, now_us);
	}
	throttle.share = 0.5;
	for (int i = 0; i < 200; i++, now_us += kGapUs)
		admitted +=
			!ql_throttle_offer(&throttle, 0, random, now_us).refuse;
	/* Without queueing delay 10 requests would be in progress. */
	EXPECT_GE(admitted, 10);
	EXPECT_LE(admitted, 25);
	g_rand_free(random);
}

} // namespace
