#include "quetzalloft/limiter.h"

#include <gtest/gtest.h>

#include <random>

namespace
{

const double SERVICE_US = 10000;

struct Case {
	const char *name;
	uint32_t slots;
	uint32_t capacity;
	uint32_t seed = 1;
};

/*
 * Models an endpoint that reports @slots but serves only @capacity requests
 * concurrently and queues the others internally. The load always fills the
 * limit.
 */
class Limiter : public testing::TestWithParam<Case>
{
      protected:
	void SetUp() override
	{
		ql_limiter_opts_t opts = {GetParam().slots, 1,
					  GetParam().slots};

		random.seed(GetParam().seed);
		ql_limiter_init(&limiter, ql_limiter_find(GetParam().name),
				&opts);
	}

	void run(int samples, double slowdown)
	{
		ql_limiter_sample_t sample;
		double queueing_factor, noise;

		for (int i = 0; i < samples; i++) {
			sample.in_progress = ql_limiter_get(&limiter);
			queueing_factor =
				sample.in_progress / (double)capacity();
			noise = 0.5 + exponential(random);
			sample.latency_us =
				(uint64_t)(SERVICE_US * slowdown * noise *
					   std::max(1.0, queueing_factor));
			sample.overloaded = sample.latency_us > 500000;
			sample.timed_out = sample.overloaded;
			now_us += sample.latency_us / sample.in_progress + 1;
			ql_limiter_observe(&limiter, &sample, now_us);
			ASSERT_GE(ql_limiter_get(&limiter), 1u);
			ASSERT_LE(ql_limiter_get(&limiter), GetParam().slots);
		}
	}

	uint32_t capacity() const
	{
		return GetParam().capacity;
	}

	/* Number of samples that a policy may need to adapt the limit once. */
	int window() const
	{
		return (int)std::max(40u, GetParam().slots);
	}

	/* Measures the range of the limit over an interval with probes. */
	void measure_limit(uint32_t *low, uint32_t *high)
	{
		*low = UINT32_MAX;
		*high = 0;
		for (int i = 0; i < 100 * window(); i++) {
			run(1, 1);
			if (limiter.probe_limit)
				continue;
			*low = std::min(*low, ql_limiter_get(&limiter));
			*high = std::max(*high, ql_limiter_get(&limiter));
		}
	}

	ql_limiter_t limiter;
	std::mt19937 random;
	std::exponential_distribution<double> exponential{2};
	uint64_t now_us = 1000000;
};

class AnyLimiter : public Limiter
{
};

TEST_P(AnyLimiter, RecoversAfterASlowdown)
{
	run(100 * window(), 100);
	run(60 * window(), 1);
	EXPECT_GE(limiter.limit, 0.75 * std::min(capacity(), GetParam().slots));
}

TEST_P(AnyLimiter, KeepsItsStateWhenConfiguredAlike)
{
	ql_limiter_opts_t opts = {GetParam().slots, 1, GetParam().slots};
	ql_limiter_t before;

	run(2000, 1);
	before = limiter;
	ql_limiter_configure(&limiter, limiter.ops, &opts);
	EXPECT_EQ(before.limit, limiter.limit);
	EXPECT_EQ(before.base_latency_us, limiter.base_latency_us);
	opts.max = 4;
	ql_limiter_configure(&limiter, limiter.ops, &opts);
	EXPECT_LE(ql_limiter_get(&limiter), 4u);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, AnyLimiter,
	testing::Values(Case{"fixed", 15, 15}, Case{"headroom", 17, 17},
			Case{"headroom", 353, 353}, Case{"aimd", 15, 15},
			Case{"aimd", 60, 60}, Case{"gradient", 15, 15},
			Case{"gradient", 60, 15}, Case{"gradient", 300, 300},
			Case{"gradient_drift", 15, 15}));

struct HeadroomCase {
	uint32_t slots;
	uint32_t limit;
};

class HeadroomLimiter : public testing::TestWithParam<HeadroomCase>
{
};

/*
 * Guards against: all slots of an endpoint are in use, which makes it serve
 * every request more slowly. The policy must leave a sixteenth of the slots
 * free, also after their number has changed.
 */
TEST_P(HeadroomLimiter, LeavesASixteenthOfTheSlotsFree)
{
	ql_limiter_opts_t opts = {GetParam().slots, 1, GetParam().slots};
	ql_limiter_opts_t other = {3, 1, 3};
	ql_limiter_sample_t sample = {};
	ql_limiter_t limiter;

	ql_limiter_init(&limiter, &ql_limiter_headroom, &opts);
	EXPECT_EQ(GetParam().limit, ql_limiter_get(&limiter));
	ql_limiter_configure(&limiter, &ql_limiter_headroom, &other);
	EXPECT_EQ(3u, ql_limiter_get(&limiter));
	ql_limiter_configure(&limiter, &ql_limiter_headroom, &opts);
	ql_limiter_observe(&limiter, &sample, 1);
	EXPECT_EQ(GetParam().limit, ql_limiter_get(&limiter));
}

INSTANTIATE_TEST_SUITE_P(Cases, HeadroomLimiter,
			 testing::Values(HeadroomCase{1, 1}, HeadroomCase{7, 7},
					 HeadroomCase{17, 16},
					 HeadroomCase{41, 38},
					 HeadroomCase{353, 331}));

class GradientLimiter : public Limiter
{
};

TEST_P(GradientLimiter, FindsTheRealCapacity)
{
	uint32_t low, high;

	run(200 * window(), 1);
	measure_limit(&low, &high);
	EXPECT_GE(low, 0.75 * std::min(capacity(), GetParam().slots));
	EXPECT_LE(high, std::max(4u, 2 * capacity()));
}

TEST_P(GradientLimiter, KeepsItsBaseUnderConstantOverload)
{
	for (int i = 0; i < 20; i++) {
		run(100 * window(), 1);
		EXPECT_LE(limiter.base_latency_us, 1.35 * SERVICE_US);
		EXPECT_GE(limiter.base_latency_us, 0.65 * SERVICE_US);
	}
}

/*
 * Guards against: the limit falls because the service itself becomes slower, as
 * if requests were queueing. Such a service does not get faster with fewer
 * requests in progress.
 */
TEST_P(GradientLimiter, DoesNotStarveASlowService)
{
	uint32_t low, high;

	run(100 * window(), 1);
	run(60 * window(), 4);
	EXPECT_GE(limiter.limit, 0.75 * std::min(capacity(), GetParam().slots));
	run(60 * window(), 1);
	measure_limit(&low, &high);
	EXPECT_GE(low, 0.75 * std::min(capacity(), GetParam().slots));
}

/*
 * Guards against: a probe that ran before a slowdown is compared with the
 * latency during it, and lowers the limit.
 */
TEST_P(GradientLimiter, StaysUpOverManySlowdowns)
{
	double least = 0.7 * std::min(capacity(), GetParam().slots);

	run(200 * window(), 1);
	for (int cycle = 0; cycle < 40; cycle++) {
		run((int)(random() % 20) * window(), 1);
		EXPECT_GE(limiter.limit, least);
		run(20 * window(), 3);
		EXPECT_GE(limiter.limit, least);
	}
}

INSTANTIATE_TEST_SUITE_P(Cases, GradientLimiter,
			 testing::Values(Case{"gradient", 15, 15},
					 Case{"gradient", 60, 15},
					 Case{"gradient", 60, 60},
					 Case{"gradient", 300, 20},
					 Case{"gradient", 300, 300},
					 /* Seeds that produce noisy probes. */
					 Case{"gradient", 60, 15, 6},
					 Case{"gradient", 60, 15, 14},
					 Case{"gradient", 60, 15, 27},
					 Case{"gradient", 300, 20, 6},
					 Case{"gradient", 300, 20, 23},
					 Case{"gradient", 300, 20, 31}));

} // namespace
