#include "quetzalloft/clock.h"
#include "quetzalloft/route_admission.h"
#include "quetzalloft/team_shares.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace
{

/* Requests of one team at one node, over a time. */
struct Load {
	std::string team;
	double weight;
	double per_s;
	double from_s, until_s;
};

struct Served {
	double asked = 0;
	double admitted = 0;
	/* Longest run of requests that were refused one after another. */
	int worst_run = 0;
	int run = 0;

	double part() const
	{
		return asked ? admitted / asked : 0;
	}
};

using ServedByTeam = std::map<std::string, Served>;

/* Plays loads at one node, with random gaps between the requests of a team. */
class Node
{
      public:
	Node()
	{
		ql_team_shares_init(&shares_, random_);
	}

	~Node()
	{
		ql_team_shares_finish(&shares_);
		g_rand_free(random_);
	}

	/* The requests that come within [count_from_s, end) are counted. */
	ServedByTeam play(const std::vector<Load> &loads, double share,
			  double count_from_s)
	{
		std::multimap<double, const Load *> due;
		ServedByTeam served;

		for (const Load &load : loads)
			due.emplace(load.from_s + gap(load), &load);
		while (!due.empty()) {
			auto [at_s, load] = *due.begin();

			due.erase(due.begin());
			if (at_s >= load->until_s)
				continue;
			bool admitted = offer(*load, share, at_s);
			if (at_s >= count_from_s)
				count(&served[load->team], admitted);
			due.emplace(at_s + gap(*load), load);
		}
		return served;
	}

	ql_team_shares_t *shares()
	{
		return &shares_;
	}

      private:
	double gap(const Load &load)
	{
		return -log(1 - g_rand_double(random_)) / load.per_s;
	}

	bool offer(const Load &load, double share, double at_s)
	{
		bool admitted =
			ql_team_shares_offer(&shares_, load.team.c_str(),
					     load.weight, share,
					     (uint64_t)((60 + at_s) *
							QL_US_PER_S)) ==
			QL_THROTTLE_TAKE;

		ql_team_shares_record(&shares_, load.team.c_str(), admitted);
		return admitted;
	}

	static void count(Served *served, bool admitted)
	{
		served->asked++;
		served->admitted += admitted;
		served->run = admitted ? 0 : served->run + 1;
		served->worst_run = MAX(served->worst_run, served->run);
	}

	GRand *random_ = g_rand_new_with_seed(1);
	ql_team_shares_t shares_;
};

Served total(const ServedByTeam &served, const std::string &prefix = "")
{
	Served sum;

	for (const auto &[team, one] : served) {
		if (team.compare(0, prefix.size(), prefix) != 0)
			continue;
		sum.asked += one.asked;
		sum.admitted += one.admitted;
		sum.worst_run = MAX(sum.worst_run, one.worst_run);
	}
	return sum;
}

std::vector<Load> many(const char *prefix, int n, double weight, double per_s,
		       double from_s, double until_s)
{
	std::vector<Load> loads;

	for (int i = 0; i < n; i++)
		loads.push_back({prefix + std::to_string(i), weight, per_s,
				 from_s, until_s});
	return loads;
}

std::vector<Load> operator+(std::vector<Load> a, const std::vector<Load> &b)
{
	a.insert(a.end(), b.begin(), b.end());
	return a;
}

struct Case {
	const char *name;
	std::vector<Load> loads;
	double share;
	double count_from_s;
	/* Bounds of the admitted part of the teams "small" and of "big". */
	double min_small, max_small;
	double min_big, max_big;
	/* Most requests of one team refused one after another. */
	int max_run;
};

constexpr double kEndS = 300;

const std::vector<Case> &cases()
{
	static const std::vector<Case> all = {
		/* The usual load of "big" is a fifth of all. */
		{"HotTeamAtEightTimesItsUsual",
		 many("small", 80, 0.01, 0.2, 0, kEndS) +
			 many("big", 1, 0.2, 32, 0, kEndS),
		 0.6, 20, 0.95, 1, 0.3, 0.5, 8},
		{"SmallHotTeamAtEightTimesItsUsual",
		 many("small", 80, 0.0125, 0.2, 0, kEndS) +
			 many("big", 1, 0.0125, 1.6, 0, kEndS),
		 0.6, 20, 0.58, 0.68, 0.3, 0.45, 8},
		{"HotForSixSeconds",
		 many("small", 80, 0.01, 0.2, 0, 26) +
			 many("big", 1, 0.2, 4, 0, 20) +
			 many("big", 1, 0.2, 32, 20, 26),
		 0.6, 21, 0.8, 1, 0.3, 0.6, 8},
		{"EqualTeams", many("small", 20, 0.05, 2, 0, kEndS), 0.6, 20,
		 0.58, 0.62, 0, 1, 5},
		{"OneTeamOnly", many("small", 1, 1, 20, 0, kEndS), 0.6, 20,
		 0.59, 0.61, 0, 1, 1},
		{"OneTeamWithoutRoom", many("small", 1, 1, 20, 0, kEndS), 0.02,
		 20, 0.019, 0.021, 0, 1, 50},
		{"LargeQuotaFullyUsed",
		 many("small", 20, 0.025, 0.5, 0, kEndS) +
			 many("big", 1, 0.5, 10, 0, kEndS),
		 0.6, 20, 0.55, 0.75, 0.5, 0.65, 6},
		/* It is new here, and has all its requests at this node. */
		{"TeamMovesToThisNode",
		 many("small", 40, 0.02, 0.5, 0, kEndS) +
			 many("big", 1, 0.05, 10, 100, kEndS),
		 0.6, 120, 0.58, 0.8, 0.3, 0.6, 6},
		{"TeamMovesAway",
		 many("small", 40, 0.02, 0.5, 0, kEndS) +
			 many("big", 1, 0.05, 10, 0, 100),
		 0.6, 150, 0.58, 0.63, 0, 1, 6},
		{"TeamReturnsAfterAMinute",
		 many("small", 80, 0.01, 0.2, 0, 180) +
			 many("big", 1, 0.2, 32, 0, 60) +
			 many("big", 1, 0.2, 4, 120, 180),
		 0.6, 120, 0.55, 0.75, 0.45, 0.85, 8},
		{"ThousandTeamsInABoundedTable",
		 many("small", 1000, 0.0009, 0.05, 0, kEndS) +
			 many("big", 1, 0.1, 50, 0, kEndS),
		 0.6, 20, 0.7, 0.95, 0.3, 0.5, 10},
		{"NoShortage",
		 many("small", 80, 0.01, 0.2, 0, kEndS) +
			 many("big", 1, 0.2, 32, 0, kEndS),
		 1, 0, 1, 1, 1, 1, 0},
	};

	return all;
}

class TeamShares : public testing::TestWithParam<Case>
{
};

TEST_P(TeamShares, AdmitTheShareAndTheHotTeamPaysFirst)
{
	const Case &test = GetParam();
	Node node;
	ServedByTeam served =
		node.play(test.loads, test.share, test.count_from_s);
	Served small = total(served, "small"), big = total(served, "big");

	EXPECT_NEAR(test.share, total(served).part(), 0.05);
	EXPECT_GE(small.part(), test.min_small);
	EXPECT_LE(small.part(), test.max_small);
	if (big.asked) {
		EXPECT_GE(big.part(), test.min_big);
		EXPECT_LE(big.part(), test.max_big);
	}
	EXPECT_LE(total(served).worst_run, test.max_run);
	EXPECT_LE(node.shares()->teams->len, QL_TEAM_SHARES_MAX);
}

INSTANTIATE_TEST_SUITE_P(Loads, TeamShares, testing::ValuesIn(cases()),
			 [](const auto &test) { return test.param.name; });

/* No team within its quota is served much less often than the others. */
TEST(TeamShares, NoSmallTeamIsLeftBehind)
{
	Node node;
	ServedByTeam served = node.play(many("small", 80, 0.01, 0.2, 0, 1000) +
						many("big", 1, 0.2, 4, 0, 1000),
					0.6, 20);

	for (const auto &[team, one] : served) {
		SCOPED_TRACE(team);
		EXPECT_GE(one.part(), 0.5);
		EXPECT_LE(one.part(), 0.75);
	}
}

/* A limit that refuses a chosen request leaves its team the next turn. */
TEST(TeamShares, ARefusedTeamGoesFirstNextTime)
{
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = 60 * QL_US_PER_S;
	ql_team_shares_t shares;
	int refusals = 0;

	ql_team_shares_init(&shares, random);
	for (int i = 0; i < 1000; i++, now_us += 10 * QL_US_PER_MS) {
		bool take = ql_team_shares_offer(&shares, "a", 1, 0.6,
						 now_us) == QL_THROTTLE_TAKE;
		bool admitted = take && i % 3 != 0;

		if (take && !admitted) {
			ql_team_shares_record(&shares, "a", false);
			refusals++;
			EXPECT_EQ(QL_THROTTLE_TAKE,
				  ql_team_shares_offer(&shares, "a", 1, 0.6,
						       now_us));
			admitted = true;
		}
		ql_team_shares_record(&shares, "a", admitted);
	}
	EXPECT_GT(refusals, 50);
	ql_team_shares_finish(&shares);
	g_rand_free(random);
}

/* After refusals for want of room, all are admitted once there is room. */
TEST(TeamShares, NobodyIsRefusedOnceTheThrottleIsOpen)
{
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = 60 * QL_US_PER_S;
	ql_route_admission_t admission;
	ql_team_shares_t shares;

	ql_team_shares_init(&shares, random);
	ql_route_admission_init(&admission);
	admission.limit_passed = 0.3;
	for (int i = 0; i < 200; i++, now_us += 10 * QL_US_PER_MS) {
		std::string team = std::to_string(i % 10);

		/* A probe takes more than is due to the team. */
		if (i < 10) {
			ql_team_shares_offer(&shares, team.c_str(), 0.1, 0,
					     now_us);
			ql_team_shares_record(&shares, team.c_str(), true);
		}
		const ql_admission_offer_t offer = {
			0, 1000, random, now_us,
			ql_team_shares_offer(
				&shares, team.c_str(), 0.1,
				ql_route_admission_share(&admission, 0),
				now_us)};
		bool refuse =
			ql_route_admission_offer(&admission, &offer).refuse;

		EXPECT_FALSE(refuse) << "request " << i;
		ql_team_shares_record(&shares, team.c_str(), !refuse);
	}
	ql_team_shares_finish(&shares);
	g_rand_free(random);
}

struct RecordCase {
	const char *name;
	bool admitted;
	double change;
};

TEST(TeamShares, AdmittedRequestsCountAgainstTheCredit)
{
	static const RecordCase records[] = {
		{"admitted", true, 1 - 1},
		{"refused", false, 1},
	};

	for (const RecordCase &c : records) {
		GRand *random = g_rand_new_with_seed(1);
		ql_team_shares_t shares;
		double before;

		SCOPED_TRACE(c.name);
		ql_team_shares_init(&shares, random);
		ql_team_shares_offer(&shares, "a", 1, 1, QL_US_PER_S);
		before = g_array_index(shares.teams, ql_team_share_t, 0).credit;
		ql_team_shares_record(&shares, "a", c.admitted);
		EXPECT_NEAR(
			before - 1 + c.change,
			g_array_index(shares.teams, ql_team_share_t, 0).credit,
			1e-9);
		ql_team_shares_finish(&shares);
		g_rand_free(random);
	}
}

TEST(TeamShares, TellWhoAskedForMost)
{
	static const char *const asking[] = {"b", "a", "c", "c", "a", "c"};
	GRand *random = g_rand_new_with_seed(1);
	const ql_team_share_t *largest[2];
	ql_team_shares_t shares;
	ql_team_usage_t sum;

	ql_team_shares_init(&shares, random);
	for (const char *team : asking) {
		ql_team_shares_offer(&shares, team, 0.3, 1, QL_US_PER_S);
		ql_team_shares_record(&shares, team, true);
	}
	ASSERT_EQ(2u, ql_team_shares_largest(&shares, largest, 2));
	EXPECT_STREQ("c", largest[0]->name);
	EXPECT_STREQ("a", largest[1]->name);
	sum = ql_team_shares_take_usage(&shares);
	EXPECT_EQ(6u, sum.asked);
	EXPECT_EQ(6u, sum.admitted);
	EXPECT_EQ(0u, ql_team_shares_largest(&shares, largest, 2));
	EXPECT_EQ(0u, ql_team_shares_take_usage(&shares).asked);
	ql_team_shares_finish(&shares);
	g_rand_free(random);
}

/* Usage of teams that left the table is not lost. */
TEST(TeamShares, CountTeamsThatLeft)
{
	GRand *random = g_rand_new_with_seed(1);
	ql_team_shares_t shares;

	ql_team_shares_init(&shares, random);
	for (int i = 0; i < 1000; i++) {
		std::string team = std::to_string(i);

		ql_team_shares_offer(&shares, team.c_str(), 0.001, 0.5,
				     QL_US_PER_S + (uint64_t)i);
		ql_team_shares_record(&shares, team.c_str(), true);
	}
	EXPECT_EQ(QL_TEAM_SHARES_MAX, shares.teams->len);
	EXPECT_EQ(1000u, ql_team_shares_take_usage(&shares).asked);
	ql_team_shares_finish(&shares);
	g_rand_free(random);
}

/* Counts neither overflow nor last: an hour and a year without requests. */
TEST(TeamShares, CountsStayFinite)
{
	GRand *random = g_rand_new_with_seed(1);
	uint64_t now_us = QL_US_PER_S;
	ql_team_shares_t shares;

	ql_team_shares_init(&shares, random);
	for (uint64_t pause_s : {0, 3600, 365 * 86400, 1000, 1000, 1000}) {
		now_us += pause_s * QL_US_PER_S;
		for (int i = 0; i < 100; i++)
			ql_team_shares_offer(&shares, "a", 1, 0.5, now_us);
		const ql_team_share_t *team =
			&g_array_index(shares.teams, ql_team_share_t, 0);
		EXPECT_TRUE(std::isfinite(team->asked));
		EXPECT_NEAR(100, team->asked / shares.scale, 1);
	}
	ql_team_shares_finish(&shares);
	g_rand_free(random);
}

struct GuaranteeCase {
	const char *name;
	double share;
	/* Bounds of the admitted part of all, of "small" and of "big". */
	double min_all, max_all, min_small, max_big;
};

class Guarantee : public testing::TestWithParam<GuaranteeCase>
{
};

/* A hot team cannot have the guaranteed requests that others are due. */
TEST_P(Guarantee, TheHotTeamPaysFirst)
{
	constexpr double kGuaranteed = 1.0 / 6;
	const GuaranteeCase &test = GetParam();
	GRand *random = g_rand_new_with_seed(1);
	std::map<std::string, Served> served;
	ql_route_admission_t admission;
	ql_team_shares_t shares;
	double guaranteed = 0;

	ql_team_shares_init(&shares, random);
	ql_route_admission_init(&admission);
	admission.best_effort.share = test.share;
	/* As after lost requests. */
	admission.best_effort.probe_interval_us = QL_US_PER_S;
	/* 48 requests a second, of which "big" has 32 instead of 4. */
	for (int i = 0; i < 20000; i++) {
		uint64_t now_us =
			60 * QL_US_PER_S + (uint64_t)i * QL_US_PER_S / 48;
		bool big = g_rand_double(random) < 32.0 / 48;
		std::string team =
			big ? "big"
			    : "small" + std::to_string(g_rand_int_range(random,
									0, 80));
		ql_throttle_choice_t choice = ql_team_shares_offer(
			&shares, team.c_str(), big ? 0.2 : 0.01,
			ql_route_admission_share(&admission, kGuaranteed),
			now_us);
		const ql_admission_offer_t offer = {kGuaranteed, 1000, random,
						    now_us, choice};
		ql_admission_decision_t decision =
			ql_route_admission_offer(&admission, &offer);

		ql_team_shares_record(&shares, team.c_str(), !decision.refuse);
		/* Only guaranteed requests are served. */
		if (!decision.refuse)
			ql_route_admission_finish_request(&admission,
							  decision.guaranteed,
							  decision.guaranteed);
		if (i < 1000)
			continue;
		guaranteed += decision.guaranteed;
		served[team].asked++;
		served[team].admitted += !decision.refuse;
	}
	EXPECT_GE(total(served).part(), test.min_all);
	EXPECT_LE(total(served).part(), test.max_all);
	EXPECT_GE(total(served, "small").part(), test.min_small);
	EXPECT_LE(total(served, "big").part(), test.max_big);
	/* The route has its guarantee as before. */
	EXPECT_NEAR(kGuaranteed, guaranteed / total(served).asked, 0.02);
	ql_team_shares_finish(&shares);
	g_rand_free(random);
}

INSTANTIATE_TEST_SUITE_P(Shares, Guarantee,
			 testing::Values(GuaranteeCase{"ShareBelow", 0.05, 0.15,
						       0.22, 0.28, 0.13},
					 GuaranteeCase{"ShareHalf", 0.1, 0.15,
						       0.26, 0.28, 0.13},
					 GuaranteeCase{"ShareAbove", 0.2, 0.17,
						       0.34, 0.35, 0.15}),
			 [](const auto &test) { return test.param.name; });

/*
 * A class that is shed first waits behind another, so that its best-effort
 * requests are all lost; it has its guaranteed share nevertheless.
 */
struct ClassCase {
	const char *name;
	/* Pressures of the answers to the requests of each class. */
	double high_pressure, low_pressure;
	/* Bounds of the admitted part of each class. */
	double min_high, max_high, min_low, max_low;
};

class RouteClasses : public testing::TestWithParam<ClassCase>
{
};

TEST_P(RouteClasses, EachHasItsShare)
{
	constexpr double kGuaranteed = 1.0 / 6;
	const ClassCase &test = GetParam();
	GRand *random = g_rand_new_with_seed(1);
	ql_route_admission_t admissions[2];
	double admitted[2] = {}, asked[2] = {};
	uint64_t now_us = 60 * QL_US_PER_S;

	for (auto &admission : admissions)
		ql_route_admission_init(&admission);
	/* Class 1 is shed last; each has five requests a second. */
	for (int i = 0; i < 2000; i++, now_us += 100 * QL_US_PER_MS) {
		int index = i % 2;
		ql_route_admission_t *own = &admissions[index];
		const ql_admission_peer_t peer = {&admissions[1 - index],
						  1 - (uint32_t)index};
		const ql_admission_offer_t offer = {kGuaranteed, 1000, random,
						    now_us, QL_THROTTLE_RANDOM};

		ql_route_admission_compare(own, (uint32_t)index, &peer, 1,
					   now_us);
		ql_admission_decision_t decision =
			ql_route_admission_offer(own, &offer);
		asked[index]++;
		if (decision.refuse)
			continue;
		admitted[index]++;
		/* Guaranteed requests run in the highest class. */
		double pressure = decision.guaranteed || index
					  ? test.high_pressure
					  : test.low_pressure;
		const ql_admission_answer_t answer = {decision.guaranteed,
						      pressure,
						      100 * QL_US_PER_MS, 5000,
						      now_us};

		ql_route_admission_record_answer(own, &answer);
		ql_route_admission_finish_request(own, decision.guaranteed,
						  decision.guaranteed ||
							  index ||
							  pressure < 2);
	}
	EXPECT_GE(admitted[1] / asked[1], test.min_high);
	EXPECT_LE(admitted[1] / asked[1], test.max_high);
	EXPECT_GE(admitted[0] / asked[0], test.min_low);
	EXPECT_LE(admitted[0] / asked[0], test.max_low);
	g_rand_free(random);
}

INSTANTIATE_TEST_SUITE_P(Pressures, RouteClasses,
			 testing::Values(ClassCase{"LowClassWaitsTooLong", 0.2,
						   8, 0.98, 1, 0.16, 0.45},
					 ClassCase{"BothWaitTooLong", 1.5, 8,
						   0.16, 0.5, 0.16, 0.45},
					 ClassCase{"NobodyWaits", 0.2, 0.2, 1,
						   1, 1, 1},
					 /* By mistake of a few samples, as the
					  * gate goes by class. */
					 ClassCase{"HighClassSeemsToWaitLonger",
						   1.5, 0.5, 0.98, 1, 0.98, 1}),
			 [](const auto &test) { return test.param.name; });

/* The probes of a route do not grow with the number of its classes. */
TEST(RouteClasses, ShareTheProbesOfTheRoute)
{
	constexpr int kClasses = 5;
	constexpr uint64_t kStepUs = 10 * QL_US_PER_MS;
	int admitted[] = {0, 0};

	for (int several : {0, 1}) {
		int n = several ? kClasses : 1;
		GRand *random = g_rand_new_with_seed(1);
		std::vector<ql_route_admission_t> admissions((size_t)n);
		uint64_t now_us = 60 * QL_US_PER_S;

		for (auto &admission : admissions)
			ql_route_admission_init(&admission);
		for (int i = 0; i < 5000; i++, now_us += kStepUs) {
			size_t own = (size_t)(i % n);
			std::vector<ql_admission_peer_t> peers;

			for (size_t j = 0; j < admissions.size(); j++)
				if (j != own)
					peers.push_back(
						{&admissions[j], (uint32_t)j});
			ql_route_admission_compare(&admissions[own],
						   (uint32_t)own, peers.data(),
						   peers.size(), now_us);
			admissions[own].best_effort.share = 0;
			const ql_admission_offer_t offer = {0, 1000, random,
							    now_us,
							    QL_THROTTLE_RANDOM};
			if (ql_route_admission_offer(&admissions[own], &offer)
				    .refuse)
				continue;
			admitted[several]++;
			ql_route_admission_finish_request(&admissions[own],
							  false, false);
		}
		g_rand_free(random);
	}
	EXPECT_GT(admitted[0], 100);
	EXPECT_LE(admitted[1], 1.1 * admitted[0]);
	EXPECT_GE(admitted[1], 0.7 * admitted[0]);
}

} // namespace
