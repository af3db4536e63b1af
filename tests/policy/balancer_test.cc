#include "quetzalloft/balancer.h"
#include "quetzalloft/clock.h"

#include <gtest/gtest.h>

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
		ql_target_info_t info = {};

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
		auto *target =
			(const ql_target_t *)ql_table_get(&balancer_.targets,
							  handle);

		return target ? target->info.gate : "none";
	}

	std::string Pick()
	{
		return Gate(ql_balancer_pick(&balancer_, nullptr, 0, now_us_));
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
			ql_handle_t handle =
				ql_balancer_pick(&balancer_, nullptr, 0,
						 now_us_);
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
			ql_balancer_done(&balancer_, first.second.first,
					 &result, MAX(now_us_, first.first));
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
	tried[0] = ql_balancer_pick(&balancer_, tried, 0, now_us_);
	tried[1] = ql_balancer_pick(&balancer_, tried, 1, now_us_);
	tried[2] = ql_balancer_pick(&balancer_, tried, 2, now_us_);
	EXPECT_NE(tried[0], tried[1]);
	EXPECT_EQ(tried[0], tried[2]);
	ql_balancer_remove(&balancer_, Gate(tried[0]).c_str());
	EXPECT_EQ(tried[1],
		  ql_balancer_pick(&balancer_, tried + 1, 1, now_us_));
	ql_balancer_remove(&balancer_, Gate(tried[1]).c_str());
	EXPECT_EQ(QL_HANDLE_NONE,
		  ql_balancer_pick(&balancer_, tried, 2, now_us_));
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
		ASSERT_EQ(balancer_.targets.count, balancer_.all->len);
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
	result.has_level = true;
	result.level = 5;
	result.outcome = QL_OUTCOME_ANSWERED;
	for (guint i = 0; i < 40; i++)
		ql_balancer_done(&balancer_,
				 g_array_index(balancer_.all, ql_handle_t, i),
				 &result, now_us_);
	EXPECT_EQ(5u, ql_balancer_level(&balancer_, now_us_));
	result.level = 2;
	ql_balancer_done(&balancer_,
			 g_array_index(balancer_.all, ql_handle_t, 7), &result,
			 now_us_);
	EXPECT_EQ(2u, ql_balancer_level(&balancer_, now_us_));
	EXPECT_EQ(0u, ql_balancer_level(&balancer_, now_us_ + QL_US_PER_S));
}

} // namespace
