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

/* Endpoints that take their time or fail, and a caller that calls them. */
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
		ql_pick_request_t pick = {tried, n_tried, 0};

		return ql_balancer_pick(&balancer_, &pick, now_us_);
	}

	std::string Pick()
	{
		return Gate(PickFor(nullptr, 0));
	}

	using Serve = std::function<bool(const std::string &, uint64_t *)>;

	/* Calls one after another, one each millisecond. */
	std::map<std::string, int> Call(int n, const Serve &serve)
	{
		std::multimap<uint64_t, std::pair<ql_handle_t, bool>> open;
		std::map<uint64_t, uint64_t> took;
		std::map<std::string, int> counts;

		for (int i = 0; i < n; i++, now_us_ += kMs) {
			uint64_t latency_us = 5 * kMs;

			Finish(&open, now_us_);
			ql_handle_t handle = PickFor(nullptr, 0);
			std::string gate = Gate(handle);
			bool ok = serve(gate, &latency_us);

			counts[gate]++;
			if (handle != QL_HANDLE_NONE)
				open.emplace(now_us_ + latency_us,
					     std::make_pair(handle, ok));
			started_[handle] = latency_us;
		}
		Finish(&open, UINT64_MAX);
		return counts;
	}

	void Finish(std::multimap<uint64_t, std::pair<ql_handle_t, bool>> *open,
		    uint64_t until_us)
	{
		while (!open->empty() && open->begin()->first <= until_us) {
			auto first = *open->begin();
			ql_attempt_result_t result = {};

			open->erase(open->begin());
			result.outcome = first.second.second
						 ? QL_OUTCOME_ANSWERED
						 : QL_OUTCOME_NOT_RUN;
			result.reason = first.second.second
						? QL_REASON_NONE
						: QL_REASON_CONNECT_FAILED;
			result.latency_us = started_[first.second.first];
			ql_balancer_record_result(&balancer_,
						  first.second.first, &result,
						  MAX(now_us_, first.first));
		}
	}

	static bool Well(const std::string &, uint64_t *)
	{
		return true;
	}

	GRand *random_;
	ql_balancer_t balancer_;
	std::map<ql_handle_t, uint64_t> started_;
	uint64_t now_us_ = 100 * QL_US_PER_S;
};

TEST_F(BalancerTest, OneSlowEndpointGetsLess)
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

/* It is asked again after it was slow, since its latency counts for less. */
TEST_F(BalancerTest, OnceSlowIsTriedAgain)
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

TEST_F(BalancerTest, LyingReportsChangeLittle)
{
	AddMany(3);
	Add("liar", "d0", 100000);
	now_us_ += 10 * QL_US_PER_S;
	auto counts = Call(4000, [](const std::string &gate, uint64_t *us) {
		*us = gate == "liar" ? 50 * kMs : 5 * kMs;
		return true;
	});

	EXPECT_LT(counts["liar"], 4000 / 4);
	now_us_ += QL_US_PER_S;
	AddMany(3);
	Add("zero", "d0", 0);
	now_us_ += 10 * QL_US_PER_S;
	EXPECT_GT(Call(4000, Well)["zero"], 0);
}

TEST_F(BalancerTest, AllFailingAreNeverAllEjected)
{
	AddMany(6);
	auto counts = Call(2000, [](const std::string &, uint64_t *) {
		return false;
	});

	EXPECT_EQ(0, counts["none"]);
	EXPECT_LE(balancer_.ejected->len, 3u);
}

TEST_F(BalancerTest, EjectedIsProbedOneAtATime)
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

TEST_F(BalancerTest, FreshEndpointIsNotStormed)
{
	AddMany(4);
	now_us_ += 10 * QL_US_PER_S;
	Call(1000, Well);
	Add("d0/3", "d0", 15, 2);
	auto early = Call(5000, Well);
	now_us_ += 10 * QL_US_PER_S;
	auto late = Call(4000, Well);

	EXPECT_LT(early["d0/3"], 5000 / 4);
	EXPECT_GT(early["d0/3"], 0);
	EXPECT_GT(late["d0/3"], 4000 / 4 / 2);
}

TEST_F(BalancerTest, OwnDomainFirstWhileItHasRoom)
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

TEST_F(BalancerTest, CutOffDomainIsLeft)
{
	AddMany(4, "d0");
	AddMany(4, "d1");
	now_us_ += 10 * QL_US_PER_S;
	auto serve = [](const std::string &gate, uint64_t *) {
		return gate.substr(0, 2) != "d0";
	};
	Call(200, serve);
	auto counts = Call(1000, serve);
	int well = 0;

	for (const auto &count : counts)
		well += count.first.substr(0, 2) == "d1" ? count.second : 0;
	EXPECT_GT(well, 900);
}

TEST_F(BalancerTest, ConnectionsAreBounded)
{
	std::map<std::string, int> counts;

	AddMany(2);
	for (int i = 0; i < 50; i++)
		counts[Pick()]++;
	EXPECT_EQ(20, counts["d0/0"]);
	EXPECT_EQ(20, counts["d0/1"]);
	EXPECT_EQ(10, counts["none"]);
}

TEST_F(BalancerTest, TriedEndpointsComeLast)
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

/* The lists follow additions and removals of many endpoints. */
TEST_F(BalancerTest, ListsStayWhole)
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

/* A level is the least one, also with many endpoints. */
TEST_F(BalancerTest, LevelOfManyFollows)
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

struct TimeCase {
	const char *name;
	double near_ms;
	int n_each;
	double least_near;
	double most_near;
};

/* The pattern: endpoints of two failure domains, of which one is slower. */
class LeastTimeTest : public testing::TestWithParam<TimeCase>
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

	/* Calls of two routes, one ten times as long; how many stay near. */
	double Near(int n, double near_ms)
	{
		int near = 0;

		for (int i = 0; i < n; i++, now_us_ += kMs) {
			double factor = g_rand_boolean(random_) ? 10 : 1;
			ql_pick_request_t pick = {nullptr, 0,
						  factor * 10 * kMs};
			ql_handle_t handle =
				ql_balancer_pick(&balancer_, &pick, now_us_);
			auto *endpoint = (const ql_endpoint_t *)
				ql_table_get(&balancer_.endpoints, handle);
			bool is_near = endpoint->info.gate[0] == 'n';
			ql_attempt_result_t result = {};

			near += is_near;
			result.outcome = QL_OUTCOME_ANSWERED;
			result.typical_latency_us = pick.typical_latency_us;
			result.latency_us =
				(uint64_t)(factor * (is_near ? near_ms : 10) *
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

TEST_P(LeastTimeTest, GoesFarOnlyWhenThatSavesEnough)
{
	double near_ms = GetParam().near_ms;
	double near;

	Near(1000, near_ms);
	near = Near(4000, near_ms);
	EXPECT_GE(near, GetParam().least_near);
	EXPECT_LE(near, GetParam().most_near);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, LeastTimeTest,
	testing::Values(TimeCase{"alike", 10, 2, 1, 1},
			TimeCase{"a little slower", 12, 2, 1, 1},
			TimeCase{"twice as slow", 20, 2, 1, 1},
			TimeCase{"three times as slow", 30, 2, 0, 0.05},
			TimeCase{"far slower", 40, 2, 0, 0.05},
			TimeCase{"many endpoints", 10, 40, 1, 1},
			TimeCase{"many, far slower", 40, 40, 0, 0.05}),
	[](const testing::TestParamInfo<TimeCase> &test) {
		std::string name = test.param.name;

		for (char &c : name)
			c = g_ascii_isalnum(c) ? c : '_';
		return name;
	});

/*
 * The pattern: one endpoint in each failure domain, of unlike speeds, and all
 * callers together near what they can do.
 */
TEST(LeastTime, SharesUnlikeEndpointsOfAllDomains)
{
	constexpr int kDomains = 3;
	constexpr double kSpeeds[kDomains] = {0.6, 0.6, 1.5};
	constexpr double kWorkUs = 15.0 * kMs;
	constexpr uint32_t kSlots = 38;
	constexpr double kLoad = 0.85;
	constexpr int kCalls = 60000, kWarmUp = 30000;
	struct End {
		int domain;
		ql_handle_t handle;
		ql_attempt_result_t result;
	};
	GRand *random = g_rand_new_with_seed(1);
	ql_balancer_t balancers[kDomains];
	double free_us[kDomains] = {}, typical_us[kDomains] = {};
	double per_us = 0, waited_us = 0;
	std::multimap<uint64_t, End> open;
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
		per_us += kSlots * kSpeeds[i] / kWorkUs;
	}
	for (int call = 0; call < kCalls; call++) {
		int i = call % kDomains;

		now_us += (uint64_t)(-log(1 - g_rand_double(random)) /
				     (kLoad * per_us));
		while (!open.empty() && open.begin()->first <= now_us) {
			const End &end = open.begin()->second;
			double latency_us = (double)end.result.latency_us;

			typical_us[end.domain] +=
				0.1 * (latency_us - typical_us[end.domain]);
			ql_balancer_record_result(&balancers[end.domain],
						  end.handle, &end.result,
						  open.begin()->first);
			open.erase(open.begin());
		}
		ql_pick_request_t pick = {nullptr, 0, typical_us[i]};
		ql_handle_t handle =
			ql_balancer_pick(&balancers[i], &pick, now_us);
		auto *endpoint = (const ql_endpoint_t *)
			ql_table_get(&balancers[i].endpoints, handle);
		int j = atoi(endpoint->info.gate);
		double wait_us = MAX(free_us[j] - (double)now_us, 0);
		End end = {i, handle, {}};

		free_us[j] = MAX(free_us[j], (double)now_us) +
			     kWorkUs / (kSlots * kSpeeds[j]);
		end.result.outcome = QL_OUTCOME_ANSWERED;
		end.result.typical_latency_us = typical_us[i];
		end.result.latency_us =
			(uint64_t)(kWorkUs / kSpeeds[j] + wait_us);
		open.emplace(now_us + end.result.latency_us, end);
		waited_us += call >= kWarmUp ? wait_us : 0;
	}
	EXPECT_LE(waited_us / (kCalls - kWarmUp), 2 * kWorkUs);
	for (auto &balancer : balancers)
		ql_balancer_finish(&balancer);
	g_rand_free(random);
}

/* One that asked not to be called is worth its wait at the most. */
TEST_F(BalancerTest, LeastTimeKeepsAwayFromARefusal)
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

/* The pattern: a connection that went silent, while an answer is owed. */
TEST_F(BalancerTest, LeastTimeLeavesTheSilentAlone)
{
	ql_pick_request_t pick = {nullptr, 0, 100.0 * kMs};
	ql_attempt_result_t result = {};
	ql_handle_t silent, handle;

	balancer_.ops = &ql_balancer_least_time;
	Add("silent");
	now_us_ += 10 * QL_US_PER_S;
	silent = ql_balancer_pick(&balancer_, &pick, now_us_);
	Add("busy");
	now_us_ += 10 * QL_US_PER_S;
	result.outcome = QL_OUTCOME_ANSWERED;
	result.latency_us = 100 * kMs;
	result.typical_latency_us = 100.0 * kMs;
	for (int i = 0; i < 5; i++) {
		handle = ql_balancer_pick(&balancer_, &pick, now_us_);
		EXPECT_NE(silent, handle);
	}
	ql_balancer_record_result(&balancer_, handle, &result, now_us_);
	EXPECT_NE(silent, ql_balancer_pick(&balancer_, &pick, now_us_));
	ql_balancer_record_result(&balancer_, silent, &result, now_us_);
	EXPECT_EQ(silent, ql_balancer_pick(&balancer_, &pick, now_us_));
}

/* The pattern: an endpoint that fails half of its requests, and fast. */
TEST_F(BalancerTest, LeastTimeAvoidsTheFailing)
{
	ql_pick_request_t pick = {nullptr, 0, 50.0 * kMs};
	std::map<std::string, int> counts;
	bool is_grey = true;

	balancer_.ops = &ql_balancer_least_time;
	Add("grey");
	AddMany(2, "d1");
	now_us_ += 10 * QL_US_PER_S;
	for (int i = 0; i < 20000; i++, now_us_ += kMs) {
		ql_handle_t handle =
			ql_balancer_pick(&balancer_, &pick, now_us_);
		std::string gate = Gate(handle);
		ql_attempt_result_t result = {};

		counts[gate]++;
		result.outcome = QL_OUTCOME_ANSWERED;
		result.latency_us = 50 * kMs;
		result.typical_latency_us = pick.typical_latency_us;
		if (is_grey && gate == "grey" && i % 2) {
			result.latency_us = kMs;
			result.outcome = QL_OUTCOME_NOT_RUN;
			result.reason = QL_REASON_ENDPOINT_REFUSED;
		}
		ql_balancer_record_result(&balancer_, handle, &result, now_us_);
		if (i == 9999) {
			EXPECT_LT(counts["grey"], 1000);
			EXPECT_GT(counts["grey"], 5);
			is_grey = false;
		}
	}
	EXPECT_GT(counts["grey"], 8000);
}

} // namespace
