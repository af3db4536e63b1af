#include "quetzalloft/balancer.h"
#include "quetzalloft/clock.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace
{

constexpr uint64_t kMs = QL_US_PER_MS;

/* Calls simulated endpoints whose latencies and failures each test sets. */
class BalancerTest : public testing::Test
{
      protected:
	void SetUp() override
	{
		random_ = g_rand_new_with_seed(1);
		ql_balancer_init(&balancer_, &ql_balancer_two_choices, "d0",
				 random_);
	}

	void TearDown() override
	{
		ql_balancer_finish(&balancer_);
		g_rand_free(random_);
	}

	void Add(const std::string &gate, const std::string &domain = "d0",
		 uint32_t slots = 15, uint64_t incarnation = 1)
	{
		ql_endpoint_info_t info = {};

		g_strlcpy(info.gate, gate.c_str(), sizeof(info.gate));
		g_strlcpy(info.failure_domain, domain.c_str(),
			  sizeof(info.failure_domain));
		info.incarnation = incarnation;
		info.slots = slots;
		info.connections = 20;
		ql_balancer_add(&balancer_, &info, now_us_);
	}

	void AddMany(int n, const std::string &domain = "d0")
	{
		for (int i = 0; i < n; i++)
			Add(domain + "/" + std::to_string(i), domain);
	}

	std::string Gate(ql_handle_t handle)
	{
		auto *endpoint = (const ql_endpoint_t *)
			ql_table_get(&balancer_.endpoints, handle);

		return endpoint ? endpoint->info.gate : "none";
	}

	ql_handle_t PickFor(const ql_handle_t *tried, size_t n_tried)
	{
		ql_pick_request_t request = {tried, n_tried, false, 0};

		return ql_balancer_pick(&balancer_, &request, now_us_);
	}

	std::string Pick()
	{
		return Gate(PickFor(nullptr, 0));
	}

	using Serve = std::function<bool(const std::string &, uint64_t *)>;

	/*
	 * Starts n calls, one each millisecond; serve returns whether the call
	 * succeeds and may change its latency of 5 ms. Returns the number of
	 * calls of each gate.
	 */
	std::map<std::string, int> Call(int n, const Serve &serve)
	{
		std::multimap<uint64_t, std::pair<ql_handle_t, bool>> in_flight;
		std::map<uint64_t, uint64_t> took;
		std::map<std::string, int> counts;

		for (int i = 0; i < n; i++, now_us_ += kMs) {
			uint64_t latency_us = 5 * kMs;

			Finish(&in_flight, now_us_);
			ql_handle_t handle = PickFor(nullptr, 0);
			std::string gate = Gate(handle);
			bool ok = serve(gate, &latency_us);

			counts[gate]++;
			if (handle != QL_HANDLE_NONE)
				in_flight.emplace(now_us_ + latency_us,
						  std::make_pair(handle, ok));
			latency_us_[handle] = latency_us;
		}
		Finish(&in_flight, UINT64_MAX);
		return counts;
	}

	/* Records the results of the calls that end until then. */
	void
	Finish(std::multimap<uint64_t, std::pair<ql_handle_t, bool>> *in_flight,
	       uint64_t until_us)
	{
		while (!in_flight->empty() &&
		       in_flight->begin()->first <= until_us) {
			auto first = *in_flight->begin();
			ql_attempt_result_t result = {};

			in_flight->erase(in_flight->begin());
			result.outcome = first.second.second
						 ? QL_OUTCOME_ANSWERED
						 : QL_OUTCOME_NOT_RUN;
			result.reason = first.second.second
						? QL_REASON_NONE
						: QL_REASON_CONNECT_FAILED;
			result.latency_us = latency_us_[first.second.first];
			ql_balancer_record_result(&balancer_,
						  first.second.first, &result,
						  MAX(now_us_, first.first));
		}
	}

	static bool Succeed(const std::string &, uint64_t *)
	{
		return true;
	}

	GRand *random_;
	ql_balancer_t balancer_;
	std::map<ql_handle_t, uint64_t> latency_us_;
	uint64_t now_us_ = 100 * QL_US_PER_S;
};

TEST_F(BalancerTest, SlowEndpointGetsFewerCalls)
{
	AddMany(4);
	now_us_ += 10 * QL_US_PER_S;
	auto counts = Call(4000, [](const std::string &gate, uint64_t *us) {
		*us = gate == "d0/2" ? 100 * kMs : 5 * kMs;
		return true;
	});

	EXPECT_LT(counts["d0/2"], 4000 / 4 / 3);
	EXPECT_GT(counts["d0/2"], 0);
}

/* The latency estimate decays, so that the endpoint is tried again. */
TEST_F(BalancerTest, TriesSlowEndpointAgain)
{
	bool slow = true;

	AddMany(4);
	now_us_ += 10 * QL_US_PER_S;
	auto serve = [&](const std::string &gate, uint64_t *us) {
		*us = slow && gate == "d0/2" ? 2000 * kMs : 5 * kMs;
		return true;
	};
	Call(4000, serve);
	slow = false;
	Call(60000, serve);
	EXPECT_GT(Call(4000, serve)["d0/2"], 4000 / 4 / 2);
}

TEST_F(BalancerTest, FalseSlotCountsHaveLittleEffect)
{
	AddMany(3);
	Add("false_slots", "d0", 100000);
	now_us_ += 10 * QL_US_PER_S;
	auto counts = Call(4000, [](const std::string &gate, uint64_t *us) {
		*us = gate == "false_slots" ? 50 * kMs : 5 * kMs;
		return true;
	});

	EXPECT_LT(counts["false_slots"], 4000 / 4);
	now_us_ += QL_US_PER_S;
	AddMany(3);
	Add("zero", "d0", 0);
	now_us_ += 10 * QL_US_PER_S;
	EXPECT_GT(Call(4000, Succeed)["zero"], 0);
}

TEST_F(BalancerTest, EjectsAtMostHalf)
{
	AddMany(6);
	auto counts = Call(2000, [](const std::string &, uint64_t *) {
		return false;
	});

	EXPECT_EQ(0, counts["none"]);
	EXPECT_LE(balancer_.ejected->len, 3u);
}

TEST_F(BalancerTest, ProbesEjectedEndpointOneAtATime)
{
	bool down = true;
	auto serve = [&](const std::string &gate, uint64_t *) {
		return !down || gate != "d0/1";
	};

	AddMany(4);
	now_us_ += 10 * QL_US_PER_S;
	Call(500, serve);
	EXPECT_LE(Call(1000, serve)["d0/1"], 1);
	EXPECT_LE(Call(20000, serve)["d0/1"], 10);
	down = false;
	Call(70000, serve);
	EXPECT_GT(Call(2000, serve)["d0/1"], 2000 / 4 / 2);
}

TEST_F(BalancerTest, SlowStartsRestartedEndpoint)
{
	AddMany(4);
	now_us_ += 10 * QL_US_PER_S;
	Call(1000, Succeed);
	Add("d0/3", "d0", 15, 2);
	auto early = Call(5000, Succeed);
	now_us_ += 10 * QL_US_PER_S;
	auto late = Call(4000, Succeed);

	EXPECT_LT(early["d0/3"], 5000 / 4);
	EXPECT_GT(early["d0/3"], 0);
	EXPECT_GT(late["d0/3"], 4000 / 4 / 2);
}

/*
 * Guards against a slow start of endpoints that a node hears of again: they got
 * a tenth of their load and the others more than they could take.
 */
TEST_F(BalancerTest, EndpointThatHasRunForLongStartsWithItsFullShare)
{
	ql_endpoint_info_t info = {};

	AddMany(3);
	now_us_ += 10 * QL_US_PER_S;
	Call(1000, Succeed);
	strcpy(info.gate, "d0/3");
	strcpy(info.failure_domain, "d0");
	info.incarnation = 1;
	info.age_us = 60 * QL_US_PER_S;
	info.slots = 8;
	ql_balancer_add(&balancer_, &info, now_us_);
	auto counts = Call(1000, Succeed);
	EXPECT_GT(counts["d0/3"], 1000 / 4 / 2);
	EXPECT_LT(counts["d0/3"], 1000 / 4 * 2);
}

TEST_F(BalancerTest, PrefersSameDomainWhileSlotsAreFree)
{
	std::map<std::string, int> counts;

	AddMany(2, "d0");
	AddMany(2, "d1");
	now_us_ += 10 * QL_US_PER_S;
	for (int i = 0; i < 30; i++)
		counts[Pick().substr(0, 2)]++;
	EXPECT_EQ(30, counts["d0"]);
	for (int i = 0; i < 30; i++)
		counts[Pick().substr(0, 2)]++;
	EXPECT_GT(counts["d1"], 0);
}

TEST_F(BalancerTest, LeavesUnreachableDomain)
{
	AddMany(4, "d0");
	AddMany(4, "d1");
	now_us_ += 10 * QL_US_PER_S;
	auto serve = [](const std::string &gate, uint64_t *) {
		return gate.substr(0, 2) != "d0";
	};
	Call(200, serve);
	auto counts = Call(1000, serve);
	int n_far_domain = 0;

	for (const auto &count : counts)
		n_far_domain +=
			count.first.substr(0, 2) == "d1" ? count.second : 0;
	EXPECT_GT(n_far_domain, 900);
}

TEST_F(BalancerTest, NeverExceedsConnections)
{
	std::map<std::string, int> counts;

	AddMany(2);
	for (int i = 0; i < 50; i++)
		counts[Pick()]++;
	EXPECT_EQ(20, counts["d0/0"]);
	EXPECT_EQ(20, counts["d0/1"]);
	EXPECT_EQ(10, counts["none"]);
}

TEST_F(BalancerTest, PrefersUntriedEndpoints)
{
	ql_handle_t tried[3];

	AddMany(2);
	tried[0] = PickFor(tried, 0);
	tried[1] = PickFor(tried, 1);
	tried[2] = PickFor(tried, 2);
	EXPECT_NE(tried[0], tried[1]);
	EXPECT_EQ(tried[0], tried[2]);
	ql_balancer_remove(&balancer_, Gate(tried[0]).c_str());
	EXPECT_EQ(tried[1], PickFor(tried + 1, 1));
	ql_balancer_remove(&balancer_, Gate(tried[1]).c_str());
	EXPECT_EQ(QL_HANDLE_NONE, PickFor(tried, 2));
}

/* Checks the lists of handles under random additions and removals. */
TEST_F(BalancerTest, ListsStayConsistent)
{
	GRand *random = g_rand_new_with_seed(3);

	for (int i = 0; i < 20000; i++) {
		int which = g_rand_int_range(random, 0, 300);
		std::string gate = "g" + std::to_string(which);

		if (g_rand_boolean(random))
			Add(gate,
			    "d" + std::to_string(
					  g_rand_int_range(random, 0, 3)),
			    15, 1 + (uint64_t)i % 2);
		else
			ql_balancer_remove(&balancer_, gate.c_str());
		ASSERT_EQ(balancer_.endpoints.count, balancer_.all->len);
		for (guint j = 0; j < balancer_.all->len; j += 37)
			ASSERT_NE("none", Gate(g_array_index(balancer_.all,
							     ql_handle_t, j)));
	}
	g_rand_free(random);
}

/* The cached least level follows a lower one at once and expires. */
TEST_F(BalancerTest, MinLevelFollowsManyEndpoints)
{
	ql_attempt_result_t result = {};

	AddMany(40);
	result.has_load_level = true;
	result.load_level = 5;
	result.outcome = QL_OUTCOME_ANSWERED;
	for (guint i = 0; i < 40; i++)
		ql_balancer_record_result(&balancer_,
					  g_array_index(balancer_.all,
							ql_handle_t, i),
					  &result, now_us_);
	EXPECT_EQ(5u, ql_balancer_min_level(&balancer_, now_us_));
	result.load_level = 2;
	ql_balancer_record_result(&balancer_,
				  g_array_index(balancer_.all, ql_handle_t, 7),
				  &result, now_us_);
	EXPECT_EQ(2u, ql_balancer_min_level(&balancer_, now_us_));
	EXPECT_EQ(0u, ql_balancer_min_level(&balancer_, now_us_ + QL_US_PER_S));
}

struct LeastTimeCase {
	const char *name;
	double near_ms;
	int n_each;
	double near_share_min;
	double near_share_max;
};

/* Two failure domains; the one of this node has the latency near_ms. */
class LeastTimeTest : public testing::TestWithParam<LeastTimeCase>
{
      protected:
	void SetUp() override
	{
		ql_balancer_init(&balancer_, &ql_balancer_least_time, "near",
				 random_);
		for (int i = 0; i < GetParam().n_each; i++) {
			Add("near", i);
			Add("far", i);
		}
	}

	void TearDown() override
	{
		ql_balancer_finish(&balancer_);
		g_rand_free(random_);
	}

	void Add(const char *domain, int i)
	{
		ql_endpoint_info_t info = {};

		g_snprintf(info.gate, sizeof(info.gate), "%s/%d", domain, i);
		g_strlcpy(info.failure_domain, domain,
			  sizeof(info.failure_domain));
		info.slots = 16;
		ql_balancer_add(&balancer_, &info, 0);
	}

	/*
	 * Makes n calls on two routes, one of them ten times as slow as the
	 * other. Returns the share that stayed in the domain of this node.
	 */
	double CallAndGetNearShare(int n, double near_ms)
	{
		int near = 0;

		for (int i = 0; i < n; i++, now_us_ += kMs) {
			double factor = g_rand_boolean(random_) ? 10 : 1;
			ql_pick_request_t request = {nullptr, 0, false,
						     factor * 10 * kMs};
			ql_handle_t handle =
				ql_balancer_pick(&balancer_, &request, now_us_);
			auto *endpoint = (const ql_endpoint_t *)
				ql_table_get(&balancer_.endpoints, handle);
			bool is_same_domain = endpoint->info.gate[0] == 'n';
			ql_attempt_result_t result = {};

			near += is_same_domain;
			result.outcome = QL_OUTCOME_ANSWERED;
			result.typical_latency_us = request.typical_latency_us;
			result.latency_us =
				(uint64_t)(factor *
					   (is_same_domain ? near_ms : 10) *
					   kMs);
			ql_balancer_record_result(&balancer_, handle, &result,
						  now_us_);
		}
		return (double)near / n;
	}

	GRand *random_ = g_rand_new_with_seed(1);
	ql_balancer_t balancer_;
	uint64_t now_us_ = 60 * QL_US_PER_S;
};

TEST_P(LeastTimeTest, LeavesSameDomainOnlyForMuchLessLatency)
{
	double near_ms = GetParam().near_ms;
	double near;

	CallAndGetNearShare(1000, near_ms);
	near = CallAndGetNearShare(4000, near_ms);
	EXPECT_GE(near, GetParam().near_share_min);
	EXPECT_LE(near, GetParam().near_share_max);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, LeastTimeTest,
	testing::Values(LeastTimeCase{"alike", 10, 2, 1, 1},
			LeastTimeCase{"a little slower", 12, 2, 1, 1},
			LeastTimeCase{"twice as slow", 20, 2, 1, 1},
			LeastTimeCase{"three times as slow", 30, 2, 0, 0.05},
			LeastTimeCase{"far slower", 40, 2, 0, 0.05},
			LeastTimeCase{"many endpoints", 10, 40, 1, 1},
			LeastTimeCase{"many, far slower", 40, 40, 0, 0.05}),
	[](const testing::TestParamInfo<LeastTimeCase> &test) {
		std::string name = test.param.name;

		for (char &c : name)
			c = g_ascii_isalnum(c) ? c : '_';
		return name;
	});

/*
 * Guards against long queueing delays at slow endpoints: each failure domain
 * has one endpoint, their speeds differ, and the total load is 85% of capacity.
 */
TEST(LeastTime, BalancesEndpointsOfDifferentSpeeds)
{
	constexpr int kDomains = 3;
	constexpr double kSpeeds[kDomains] = {0.6, 0.6, 1.5};
	constexpr double kWorkUs = 15.0 * kMs;
	constexpr uint32_t kSlots = 38;
	constexpr double kLoad = 0.85;
	constexpr int kCalls = 60000, kWarmUpCalls = 30000;
	struct Attempt {
		int domain;
		ql_handle_t handle;
		ql_attempt_result_t result;
	};
	GRand *random = g_rand_new_with_seed(1);
	ql_balancer_t balancers[kDomains];
	double idle_from_us[kDomains] = {}, typical_us[kDomains] = {};
	double capacity_per_us = 0, wait_sum_us = 0;
	std::multimap<uint64_t, Attempt> in_flight;
	uint64_t now_us = 60 * QL_US_PER_S;

	for (int i = 0; i < kDomains; i++) {
		std::string name = std::to_string(i);

		ql_balancer_init(&balancers[i], &ql_balancer_least_time,
				 name.c_str(), random);
		for (int j = 0; j < kDomains; j++) {
			ql_endpoint_info_t info = {};

			g_snprintf(info.gate, sizeof(info.gate), "%d", j);
			g_snprintf(info.failure_domain,
				   sizeof(info.failure_domain), "%d", j);
			info.slots = kSlots;
			ql_balancer_add(&balancers[i], &info, 0);
		}
		capacity_per_us += kSlots * kSpeeds[i] / kWorkUs;
	}
	for (int call = 0; call < kCalls; call++) {
		int i = call % kDomains;

		now_us += (uint64_t)(-log(1 - g_rand_double(random)) /
				     (kLoad * capacity_per_us));
		while (!in_flight.empty() &&
		       in_flight.begin()->first <= now_us) {
			const Attempt &attempt = in_flight.begin()->second;
			double latency_us = (double)attempt.result.latency_us;

			typical_us[attempt.domain] +=
				0.1 * (latency_us - typical_us[attempt.domain]);
			ql_balancer_record_result(&balancers[attempt.domain],
						  attempt.handle,
						  &attempt.result,
						  in_flight.begin()->first);
			in_flight.erase(in_flight.begin());
		}
		ql_pick_request_t request = {nullptr, 0, false, typical_us[i]};
		ql_handle_t handle =
			ql_balancer_pick(&balancers[i], &request, now_us);
		auto *endpoint = (const ql_endpoint_t *)
			ql_table_get(&balancers[i].endpoints, handle);
		int j = atoi(endpoint->info.gate);
		double wait_us = MAX(idle_from_us[j] - (double)now_us, 0);
		Attempt attempt = {i, handle, {}};

		idle_from_us[j] = MAX(idle_from_us[j], (double)now_us) +
				  kWorkUs / (kSlots * kSpeeds[j]);
		attempt.result.outcome = QL_OUTCOME_ANSWERED;
		attempt.result.typical_latency_us = typical_us[i];
		attempt.result.latency_us =
			(uint64_t)(kWorkUs / kSpeeds[j] + wait_us);
		in_flight.emplace(now_us + attempt.result.latency_us, attempt);
		wait_sum_us += call >= kWarmUpCalls ? wait_us : 0;
	}
	EXPECT_LE(wait_sum_us / (kCalls - kWarmUpCalls), 2 * kWorkUs);
	for (auto &balancer : balancers)
		ql_balancer_finish(&balancer);
	g_rand_free(random);
}

/* The rest of a Retry-After delay is added to the expected latency. */
/* A call that must run once is never sent to an endpoint that it has tried. */
TEST_F(BalancerTest, ChoosesEachEndpointOnceIfRequested)
{
	ql_handle_t tried[2];
	ql_pick_request_t request = {tried, 0, true, 0};

	AddMany(2);
	tried[0] = ql_balancer_pick(&balancer_, &request, now_us_);
	request.n_tried = 1;
	tried[1] = ql_balancer_pick(&balancer_, &request, now_us_);
	EXPECT_NE(tried[0], tried[1]);
	request.n_tried = 2;
	EXPECT_EQ(QL_HANDLE_NONE,
		  ql_balancer_pick(&balancer_, &request, now_us_));
	request.once_per_endpoint = false;
	EXPECT_NE(QL_HANDLE_NONE,
		  ql_balancer_pick(&balancer_, &request, now_us_));
}

TEST_F(BalancerTest, LeastTimeObservesRetryAfter)
{
	ql_attempt_result_t result = {};
	ql_handle_t refused;

	balancer_.ops = &ql_balancer_least_time;
	AddMany(2);
	now_us_ += 10 * QL_US_PER_S;
	refused = PickFor(nullptr, 0);
	result.outcome = QL_OUTCOME_NOT_RUN;
	result.reason = QL_REASON_OVERLOAD;
	result.retry_after_us = 500 * kMs;
	ql_balancer_record_result(&balancer_, refused, &result, now_us_);
	for (int i = 0; i < 10; i++)
		EXPECT_NE(refused, PickFor(nullptr, 0));
}

/*
 * Guards against: an endpoint that stopped responding keeps its good latency
 * estimate and gets further attempts while one is unanswered.
 */
TEST_F(BalancerTest, LeastTimeAvoidsUnresponsiveEndpoint)
{
	ql_pick_request_t request = {nullptr, 0, false, 100.0 * kMs};
	ql_attempt_result_t result = {};
	ql_handle_t unresponsive, handle;

	balancer_.ops = &ql_balancer_least_time;
	Add("unresponsive");
	now_us_ += 10 * QL_US_PER_S;
	unresponsive = ql_balancer_pick(&balancer_, &request, now_us_);
	Add("busy");
	now_us_ += 10 * QL_US_PER_S;
	result.outcome = QL_OUTCOME_ANSWERED;
	result.latency_us = 100 * kMs;
	result.typical_latency_us = 100.0 * kMs;
	for (int i = 0; i < 5; i++) {
		handle = ql_balancer_pick(&balancer_, &request, now_us_);
		EXPECT_NE(unresponsive, handle);
	}
	ql_balancer_record_result(&balancer_, handle, &result, now_us_);
	EXPECT_NE(unresponsive,
		  ql_balancer_pick(&balancer_, &request, now_us_));
	ql_balancer_record_result(&balancer_, unresponsive, &result, now_us_);
	EXPECT_EQ(unresponsive,
		  ql_balancer_pick(&balancer_, &request, now_us_));
}

/*
 * Guards against: an endpoint that fails half of its requests attracts calls,
 * because its failures are fast.
 */
TEST_F(BalancerTest, LeastTimeAvoidsFailingEndpoint)
{
	ql_pick_request_t request = {nullptr, 0, false, 50.0 * kMs};
	std::map<std::string, int> counts;
	bool is_failing = true;

	balancer_.ops = &ql_balancer_least_time;
	Add("failing");
	AddMany(2, "d1");
	now_us_ += 10 * QL_US_PER_S;
	for (int i = 0; i < 20000; i++, now_us_ += kMs) {
		ql_handle_t handle =
			ql_balancer_pick(&balancer_, &request, now_us_);
		std::string gate = Gate(handle);
		ql_attempt_result_t result = {};

		counts[gate]++;
		result.outcome = QL_OUTCOME_ANSWERED;
		result.latency_us = 50 * kMs;
		result.typical_latency_us = request.typical_latency_us;
		if (is_failing && gate == "failing" && i % 2) {
			result.latency_us = kMs;
			result.outcome = QL_OUTCOME_NOT_RUN;
			result.reason = QL_REASON_ENDPOINT_REFUSED;
		}
		ql_balancer_record_result(&balancer_, handle, &result, now_us_);
		if (i == 9999) {
			EXPECT_LT(counts["failing"], 1000);
			EXPECT_GT(counts["failing"], 5);
			is_failing = false;
		}
	}
	EXPECT_GT(counts["failing"], 8000);
}

} // namespace
