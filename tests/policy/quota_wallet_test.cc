#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/quota_wallet.h"
}

namespace
{

const uint64_t MS = QL_US_PER_MS;
const uint64_t S = QL_US_PER_S;

struct Request {
	ql_quota_waiter_t waiter = {};
	ql_quota_result_t result = {};
	bool decided = false;

	Request()
	{
		waiter.decided = [](void *data,
				    const ql_quota_result_t *given) {
			auto *request = static_cast<Request *>(data);

			request->result = *given;
			request->decided = true;
		};
		waiter.data = this;
	}
};

class QuotaWallet : public testing::Test
{
      protected:
	ql_quota_wallet_t wallet;
	uint64_t now_us = 100 * S;

	void SetUp() override
	{
		ql_quota_wallet_init(&wallet);
	}

	void TearDown() override
	{
		ql_quota_wallet_finish(&wallet);
	}

	ql_quota_verdict_t take(Request &request, const char *team = "t")
	{
		request.result = ql_quota_wallet_take(&wallet, team,
						      &request.waiter, now_us);
		return request.result.verdict;
	}

	void reply(const ql_quota_grant_t &grant)
	{
		ql_quota_wallet_handle_reply(&wallet, &grant, 1,
					     QL_QUOTA_VALIDITY_US, now_us);
	}
};

TEST_F(QuotaWallet, ARequestWaitsForItsToken)
{
	Request request;

	EXPECT_EQ(UINT64_MAX, ql_quota_wallet_next_ask_us(&wallet));
	EXPECT_EQ(QL_QUOTA_WAIT, take(request));
	EXPECT_LE(ql_quota_wallet_next_ask_us(&wallet), now_us);
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	ASSERT_EQ(1u, wallet.n_asked);
	EXPECT_STREQ("t", wallet.asked[0].team);
	EXPECT_EQ(1u, wallet.asked[0].ask.least);
	EXPECT_EQ(0u, wallet.asked[0].ask.more);
	EXPECT_EQ(UINT64_MAX, ql_quota_wallet_next_ask_us(&wallet));
	now_us += 2 * MS;
	reply({1, 0, false});
	EXPECT_TRUE(request.decided);
	EXPECT_EQ(QL_QUOTA_TAKEN, request.result.verdict);
	EXPECT_EQ(UINT64_MAX, ql_quota_wallet_next_ask_us(&wallet));
}

/* Whatever the leader says, the team is refused for a while and asked for. */
TEST_F(QuotaWallet, ATimeWithoutTokensIsBounded)
{
	const uint64_t TIMES_US[] = {61 * S, UINT64_MAX / 2, UINT64_MAX - 1,
				     UINT64_MAX};

	for (uint64_t time_us : TIMES_US) {
		SCOPED_TRACE(time_us);
		Request first, second, third;

		ASSERT_EQ(QL_QUOTA_WAIT, take(first));
		ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
		reply({0, time_us, false});
		EXPECT_EQ(QL_QUOTA_NONE, first.result.verdict);
		EXPECT_EQ(60 * S, first.result.retry_us);
		now_us += 60 * S - 1;
		EXPECT_EQ(QL_QUOTA_NONE, take(second));
		EXPECT_EQ(1u, second.result.retry_us);
		now_us += 1;
		EXPECT_EQ(QL_QUOTA_WAIT, take(third));
		ql_quota_wallet_leave(&third.waiter);
	}
}

struct ReplyCase {
	const char *name;
	/* From the sending of the call until its answer. */
	uint64_t delay_us;
	ql_quota_grant_t grant;
	bool decided;
	ql_quota_verdict_t verdict;
};

const ReplyCase REPLIES[] = {
	{"a token", 2 * MS, {1, 0, false}, true, QL_QUOTA_TAKEN},
	{"no token", 2 * MS, {0, 40 * MS, false}, true, QL_QUOTA_NONE},
	{"no token and no time", 2 * MS, {0, 0, false}, true, QL_QUOTA_NONE},
	{"no quota", 2 * MS, {0, 0, true}, true, QL_QUOTA_TAKEN},
	{"a token just before it ends",
	 QL_QUOTA_VALIDITY_US - 1,
	 {1, 0, false},
	 true,
	 QL_QUOTA_TAKEN},
	{"a token that has ended",
	 QL_QUOTA_VALIDITY_US,
	 {1, 0, false},
	 false,
	 QL_QUOTA_WAIT},
	{"a token after the machine was suspended",
	 3600 * S,
	 {1, 0, false},
	 false,
	 QL_QUOTA_WAIT},
	{"no quota, told too late",
	 QL_QUOTA_VALIDITY_US,
	 {0, 0, true},
	 false,
	 QL_QUOTA_WAIT},
};

TEST_F(QuotaWallet, AnAnswerCountsFromWhenTheCallWasSent)
{
	for (const ReplyCase &c : REPLIES) {
		SCOPED_TRACE(c.name);
		Request request;

		take(request);
		ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
		now_us += c.delay_us;
		reply(c.grant);
		EXPECT_EQ(c.decided, request.decided);
		EXPECT_EQ(c.verdict, request.result.verdict);
		/* What is not decided is asked for again. */
		EXPECT_EQ(c.decided,
			  ql_quota_wallet_next_ask_us(&wallet) == UINT64_MAX);
		ql_quota_wallet_leave(&request.waiter);
		TearDown();
		SetUp();
		now_us += 10 * S;
	}
}

TEST_F(QuotaWallet, ATokenIsNotSpentAfterAPause)
{
	Request first, second, third;

	take(first);
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	reply({3, 0, false});
	now_us += QL_QUOTA_VALIDITY_US - 1;
	EXPECT_EQ(QL_QUOTA_TAKEN, take(second));
	now_us += 1;
	EXPECT_EQ(QL_QUOTA_WAIT, take(third));
	ql_quota_wallet_leave(&third.waiter);
}

TEST_F(QuotaWallet, ALostAnswerLeavesTheRequestsWaiting)
{
	Request request;

	take(request);
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	now_us += 5 * MS;
	ql_quota_wallet_handle_failure(&wallet, 50 * MS, now_us);
	EXPECT_FALSE(request.decided);
	EXPECT_EQ(now_us + 50 * MS, ql_quota_wallet_next_ask_us(&wallet));
	now_us += 50 * MS;
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	reply({1, 0, false});
	EXPECT_TRUE(request.decided);
}

TEST_F(QuotaWallet, RefusesWithoutAskingWhileThereIsNoToken)
{
	Request first, second, third;

	take(first);
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	reply({0, 400 * MS, false});
	now_us += 100 * MS;
	EXPECT_EQ(QL_QUOTA_NONE, take(second));
	EXPECT_EQ(300 * MS, second.result.retry_us);
	EXPECT_EQ(UINT64_MAX, ql_quota_wallet_next_ask_us(&wallet));
	now_us += 300 * MS;
	EXPECT_EQ(QL_QUOTA_WAIT, take(third));
	EXPECT_LE(ql_quota_wallet_next_ask_us(&wallet), now_us);
	ql_quota_wallet_leave(&third.waiter);
}

TEST_F(QuotaWallet, ServesInOrderAndRefusesTheRest)
{
	Request requests[4];

	for (Request &request : requests)
		take(request);
	ql_quota_wallet_leave(&requests[1].waiter);
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	EXPECT_EQ(3u, wallet.asked[0].ask.least);
	reply({2, 100 * MS, false});
	EXPECT_EQ(QL_QUOTA_TAKEN, requests[0].result.verdict);
	EXPECT_FALSE(requests[1].decided);
	EXPECT_EQ(QL_QUOTA_TAKEN, requests[2].result.verdict);
	EXPECT_EQ(QL_QUOTA_NONE, requests[3].result.verdict);
}

TEST_F(QuotaWallet, ATokenThatIsPutBackIsSpentOnceUntilItsEnd)
{
	Request first, second, third;

	take(first);
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	reply({1, 0, false});
	ql_quota_wallet_put_back(&wallet, "t", first.result.end_us);
	EXPECT_EQ(QL_QUOTA_TAKEN, take(second));
	ql_quota_wallet_put_back(&wallet, "t", second.result.end_us);
	now_us += QL_QUOTA_VALIDITY_US;
	EXPECT_EQ(QL_QUOTA_WAIT, take(third));
	ql_quota_wallet_leave(&third.waiter);
}

struct DemandCase {
	const char *name;
	uint64_t interval_us;
	bool fetches_ahead;
};

const DemandCase DEMANDS[] = {
	{"one request in four seconds", 4 * S, false},
	{"three requests a second", 333 * MS, false},
	{"a hot team", 5 * MS, true},
};

/* Rare teams hold no stock; a hot one does not cost a call for each request. */
TEST_F(QuotaWallet, FetchesAheadWhatItWillSpend)
{
	for (const DemandCase &c : DEMANDS) {
		SCOPED_TRACE(c.name);
		const size_t n = 1000;
		size_t n_calls = 0, n_ahead = 0;

		for (size_t i = 0; i < n; i++) {
			Request request;

			now_us += c.interval_us;
			take(request);
			if (ql_quota_wallet_next_ask_us(&wallet) <= now_us &&
			    ql_quota_wallet_begin_ask(&wallet, now_us)) {
				const ql_quota_ask_t &ask = wallet.asked[0].ask;

				n_calls++;
				n_ahead += ask.more;
				reply({ask.least + ask.more, 0, false});
			}
			ql_quota_wallet_leave(&request.waiter);
		}
		if (c.fetches_ahead)
			EXPECT_LT(n_calls, n / 4);
		else
			EXPECT_EQ(0u, n_ahead);
		TearDown();
		SetUp();
	}
}

TEST_F(QuotaWallet, CallsKeepAnInterval)
{
	Request first, second;

	take(first);
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	now_us += 1 * MS;
	take(second, "u");
	reply({1, 0, false});
	EXPECT_EQ(now_us + 19 * MS, ql_quota_wallet_next_ask_us(&wallet));
	ql_quota_wallet_leave(&second.waiter);
}

TEST_F(QuotaWallet, ForgetsTeamsThatSendNothing)
{
	Request request, other;

	take(request, "gone");
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	reply({1, 0, false});
	for (auto *a : {"gone"})
		static_cast<ql_quota_account_t *>(
			g_hash_table_lookup(wallet.accounts, a))
			->usage = {};
	now_us += 60 * S;
	take(other, "t");
	ASSERT_TRUE(ql_quota_wallet_begin_ask(&wallet, now_us));
	EXPECT_EQ(1u, g_hash_table_size(wallet.accounts));
	reply({1, 0, false});
}

/*
 * A cluster in virtual time: nodes with wallets, replicas with ledgers. A
 * replica that has lost the leadership goes on with what it was told last.
 * Calls and answers are delayed or lost, nodes and replicas are paused.
 */
class Cluster
{
	struct Event {
		uint64_t at_us;
		uint64_t order;
		std::function<void()> run;

		bool operator<(const Event &other) const
		{
			return at_us != other.at_us ? at_us > other.at_us
						    : order > other.order;
		}
	};

	struct Node {
		ql_quota_wallet_t wallet;
		uint64_t paused_until_us = 0;
		bool timer = false;
	};

	struct Replica {
		ql_quota_ledger_t ledger;
		ql_quota_permit_t permit = {};
		uint64_t paused_until_us = 0;
	};

	struct Visit {
		Cluster *cluster;
		size_t team;
		ql_quota_waiter_t waiter;
	};

	std::mt19937 random;
	std::priority_queue<Event> events;
	uint64_t n_events = 0;
	uint64_t now_us = 1000 * S;
	uint64_t end_us;
	/* The first term begins with empty buckets, which fill by then. */
	uint64_t late_us;
	std::vector<Node> nodes;
	std::vector<Replica> replicas;
	std::vector<std::unique_ptr<Visit>> visits;
	size_t leader = 0;
	uint64_t term = 0;

      public:
	std::vector<ql_team_t> teams;
	std::vector<std::vector<uint64_t>> spent;
	std::vector<uint64_t> offered_late;
	uint64_t n_calls = 0;
	static constexpr uint64_t WINDOW_US = 5 * S;
	static constexpr double OVERSHOOT = 0.1;
	bool has_faults;
	double slack;
	/* All teams send to one node, and to the next one a second later. */
	bool teams_move = false;
	uint64_t changed_us = 0;
	/* The only fault is that the leader changes. */
	bool elections_only = false;

	Cluster(unsigned int seed, size_t n_nodes, uint64_t duration_us,
		bool faults, double slack_requests)
	    : random(seed), nodes(n_nodes), replicas(3), has_faults(faults),
	      slack(slack_requests)
	{
		const ql_quota_ledger_opts_t opts = {WINDOW_US, OVERSHOOT,
						     slack};

		end_us = now_us + duration_us;
		late_us = now_us + 4 * WINDOW_US;
		for (Node &node : nodes)
			ql_quota_wallet_init(&node.wallet);
		for (Replica &replica : replicas)
			ql_quota_ledger_init(&replica.ledger, &opts);
	}

	~Cluster()
	{
		for (auto &visit : visits)
			ql_quota_wallet_leave(&visit->waiter);
		for (Node &node : nodes)
			ql_quota_wallet_finish(&node.wallet);
		for (Replica &replica : replicas)
			ql_quota_ledger_finish(&replica.ledger);
	}

	void add_team(double rate_per_s, double burst, double sent_per_s)
	{
		ql_team_t team = {};
		size_t index = teams.size();

		g_snprintf(team.name, sizeof(team.name), "t%zu", index);
		team.rate_per_s = rate_per_s;
		team.burst = burst;
		teams.push_back(team);
		spent.emplace_back();
		offered_late.push_back(0);
		schedule_arrival(index, sent_per_s);
	}

	void run()
	{
		elect(0);
		confirm();
		if (has_faults)
			schedule_fault();
		while (!events.empty() && events.top().at_us < end_us) {
			Event event = events.top();

			events.pop();
			now_us = event.at_us;
			event.run();
		}
	}

	size_t served_late(size_t team) const
	{
		const std::vector<uint64_t> &times = spent[team];

		return times.end() -
		       std::lower_bound(times.begin(), times.end(), late_us);
	}

	/* Changes the quota of a team at all replicas that lead. */
	void change_limit(size_t team, uint64_t after_us, double rate_per_s,
			  double burst)
	{
		changed_us = now_us + after_us;
		at(changed_us, [this, team, rate_per_s, burst] {
			teams[team].rate_per_s = rate_per_s;
			teams[team].burst = burst;
		});
	}

	/* Most requests of a team in any window that begins after a time. */
	size_t most_in_a_window(size_t team, uint64_t from_us = 0) const
	{
		const std::vector<uint64_t> &times = spent[team];
		size_t most = 0;
		size_t first =
			std::lower_bound(times.begin(), times.end(), from_us) -
			times.begin();

		for (size_t i = first; i < times.size(); i++) {
			while (times[first] + WINDOW_US < times[i])
				first++;
			most = std::max(most, i - first + 1);
		}
		return most;
	}

      private:
	uint64_t between(uint64_t low, uint64_t high)
	{
		return std::uniform_int_distribution<uint64_t>(low,
							       high)(random);
	}

	void at(uint64_t at_us, std::function<void()> run)
	{
		events.push({at_us, n_events++, std::move(run)});
	}

	bool is_lost()
	{
		return has_faults && !elections_only && between(0, 99) < 3;
	}

	uint64_t latency_us()
	{
		if (has_faults && !elections_only && between(0, 9) == 0)
			return between(50 * MS, 2 * S);
		return between(200, 3 * MS);
	}

	void schedule_arrival(size_t team, double per_s)
	{
		std::exponential_distribution<double> gap(per_s);

		at(now_us + (uint64_t)(gap(random) * S) + 1, [this, team,
							      per_s] {
			arrive(team, teams_move ? now_us / S % nodes.size()
						: between(0, nodes.size() - 1));
			schedule_arrival(team, per_s);
		});
	}

	void arrive(size_t team, size_t index)
	{
		Node &node = nodes[index];
		ql_quota_result_t result;

		if (now_us < node.paused_until_us) {
			at(node.paused_until_us,
			   [this, team, index] { arrive(team, index); });
			return;
		}
		if (now_us >= late_us)
			offered_late[team]++;
		visits.push_back(std::make_unique<Visit>());
		Visit *visit = visits.back().get();
		visit->cluster = this;
		visit->team = team;
		visit->waiter.data = visit;
		visit->waiter.decided = [](void *data,
					   const ql_quota_result_t *decided) {
			static_cast<Visit *>(data)->cluster->spend(
				static_cast<Visit *>(data)->team, *decided);
		};
		result = ql_quota_wallet_take(&node.wallet, teams[team].name,
					      &visit->waiter, now_us);
		if (result.verdict == QL_QUOTA_WAIT)
			at(now_us + 250 * MS,
			   [visit] { ql_quota_wallet_leave(&visit->waiter); });
		else
			spend(team, result);
		ask(index);
	}

	void spend(size_t team, const ql_quota_result_t &result)
	{
		if (result.verdict == QL_QUOTA_TAKEN)
			spent[team].push_back(now_us);
	}

	void ask(size_t index)
	{
		Node &node = nodes[index];
		uint64_t due_us = ql_quota_wallet_next_ask_us(&node.wallet);

		if (due_us == UINT64_MAX)
			return;
		if (due_us > now_us || now_us < node.paused_until_us) {
			if (node.timer)
				return;
			node.timer = true;
			at(std::max(due_us, node.paused_until_us),
			   [this, index] {
				   nodes[index].timer = false;
				   ask(index);
			   });
			return;
		}
		if (ql_quota_wallet_begin_ask(&node.wallet, now_us))
			call(index);
	}

	void call(size_t index)
	{
		const ql_quota_wallet_t &wallet = nodes[index].wallet;
		std::vector<ql_quota_team_ask_t> asked(wallet.asked,
						       wallet.asked +
							       wallet.n_asked);
		/* Some nodes still ask a leader of the past. */
		size_t to = has_faults && between(0, 2) == 0
				    ? between(0, replicas.size() - 1)
				    : leader;

		n_calls++;
		if (is_lost()) {
			fail(index, now_us + 300 * MS);
			return;
		}
		at(now_us + latency_us(),
		   [this, index, to, asked] { serve(index, to, asked); });
	}

	void serve(size_t index, size_t to,
		   const std::vector<ql_quota_team_ask_t> &asked)
	{
		Replica &replica = replicas[to];
		const ql_quota_permit_t permit = replica.permit;
		uint64_t until_us = replica.paused_until_us;

		if (now_us < until_us) {
			/* Half of them have read the permission before. */
			bool had_read = between(0, 1);

			at(until_us, [this, index, to, asked, permit,
				      had_read] {
				grant(index, to, asked,
				      had_read ? permit : replicas[to].permit);
			});
			return;
		}
		grant(index, to, asked, permit);
	}

	void grant(size_t index, size_t to,
		   const std::vector<ql_quota_team_ask_t> &asked,
		   const ql_quota_permit_t &permit)
	{
		Replica &replica = replicas[to];
		std::vector<ql_quota_grant_t> grants;
		uint64_t retry_us;

		if (permit.term < replica.ledger.term ||
		    ql_quota_ledger_open(&replica.ledger, &permit, now_us,
					 &retry_us)) {
			fail(index, now_us + latency_us());
			return;
		}
		for (const ql_quota_team_ask_t &ask : asked)
			grants.push_back(ql_quota_ledger_grant(
				&replica.ledger, &teams[atoi(ask.team + 1)],
				&ask.ask, now_us));
		if (is_lost()) {
			fail(index, now_us + 300 * MS);
			return;
		}
		at(now_us + latency_us(),
		   [this, index, grants] { answer(index, grants); });
	}

	void answer(size_t index, const std::vector<ql_quota_grant_t> &grants)
	{
		Node &node = nodes[index];

		if (now_us < node.paused_until_us) {
			at(node.paused_until_us,
			   [this, index, grants] { answer(index, grants); });
			return;
		}
		ql_quota_wallet_handle_reply(&node.wallet, grants.data(),
					     grants.size(),
					     QL_QUOTA_VALIDITY_US, now_us);
		ask(index);
	}

	void fail(size_t index, uint64_t at_us)
	{
		at(at_us, [this, index] {
			ql_quota_wallet_handle_failure(&nodes[index].wallet,
						       50 * MS, now_us);
			ask(index);
		});
	}

	void elect(size_t index)
	{
		leader = index;
		replicas[index].permit = {++term, now_us + between(0, 20 * MS),
					  0};
	}

	/* The leader alone has its rounds answered; it may learn it late. */
	void confirm()
	{
		uint64_t sent_us = now_us, of_term = term;
		size_t index = leader;

		at(now_us + between(1 * MS, 30 * MS),
		   [this, index, sent_us, of_term] {
			   ql_quota_permit_t &permit = replicas[index].permit;

			   if (of_term == term && permit.term == of_term)
				   permit.confirmed_us = sent_us;
		   });
		at(now_us + 200 * MS, [this] { confirm(); });
	}

	void schedule_fault()
	{
		at(now_us + between(100 * MS, 6 * S), [this] {
			switch (elections_only ? 0 : between(0, 3)) {
			case 0:
				elect(between(0, replicas.size() - 1));
				break;
			case 1:
				/* Paused, and another one is elected. */
				replicas[leader].paused_until_us =
					now_us + between(100 * MS, 6 * S);
				elect((leader + 1) % replicas.size());
				break;
			case 2:
				replicas[leader].paused_until_us =
					now_us + between(10 * MS, 900 * MS);
				break;
			default:
				nodes[between(0, nodes.size() - 1)]
					.paused_until_us =
					now_us + between(10 * MS, 6 * S);
				break;
			}
			schedule_fault();
		});
	}
};

class QuotaCluster : public testing::TestWithParam<unsigned int>
{
};

TEST_P(QuotaCluster, NoWindowHoldsMoreThanTheQuota)
{
	Cluster cluster(GetParam(), 20, 60 * S, true, GetParam() % 2 ? 20 : 0);

	cluster.add_team(400, 400, 3000);
	cluster.add_team(400, 10, 250);
	cluster.add_team(100, 1, 800);
	cluster.add_team(16, 16, 10);
	cluster.add_team(3, 6, 24);
	cluster.add_team(0.5, 1, 2);
	cluster.run();
	for (size_t i = 0; i < cluster.teams.size(); i++) {
		const ql_team_t &team = cluster.teams[i];
		double limit = (team.rate_per_s * 5 + team.burst) *
				       (1 + Cluster::OVERSHOOT *
						    QL_QUOTA_OVERSHOOT_PART) +
			       cluster.slack * QL_QUOTA_OVERSHOOT_PART;

		SCOPED_TRACE(team.name);
		EXPECT_GT(cluster.spent[i].size(),
			  (size_t)(team.rate_per_s * 5));
		EXPECT_LE((double)cluster.most_in_a_window(i), limit + 1e-6);
	}
}

/* Each of two leaders alone is within the quota of a team that sends more. */
TEST_P(QuotaCluster, TwoLeadersDoNotGrantAtATime)
{
	Cluster cluster(GetParam(), 20, 120 * S, true, 0);
	double limit = (200 * 5 + 1) *
		       (1 + Cluster::OVERSHOOT * QL_QUOTA_OVERSHOOT_PART);

	cluster.elections_only = true;
	cluster.add_team(200, 1, 4000);
	cluster.run();
	EXPECT_LE(cluster.most_in_a_window(0), limit);
}

TEST_P(QuotaCluster, ALowerLimitBindsOnceTheTokensHeldHaveEnded)
{
	Cluster cluster(GetParam(), 20, 40 * S, true, 0);
	double limit = (50 * 5 + 20) *
		       (1 + Cluster::OVERSHOOT * QL_QUOTA_OVERSHOOT_PART);

	cluster.add_team(400, 800, 3000);
	cluster.change_limit(0, 20 * S, 50, 20);
	cluster.run();
	EXPECT_GT(cluster.most_in_a_window(0), limit);
	EXPECT_LE(cluster.most_in_a_window(0, cluster.changed_us +
						      QL_QUOTA_VALIDITY_US),
		  limit + 1e-6);
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaCluster, testing::Range(1u, 13u));

/* Teams that stay inside their quota are not held, wherever they send to. */
class QuotaClusterWithoutFaults : public testing::TestWithParam<bool>
{
};

TEST_P(QuotaClusterWithoutFaults, ServesWhatLiesInsideTheQuota)
{
	Cluster cluster(7, 80, 60 * S, false, 20);
	double rates[] = {575, 40, 10, 3, 1};

	cluster.teams_move = GetParam();
	for (double rate : rates)
		cluster.add_team(rate * 1.6, rate * 1.6, rate);
	cluster.run();
	for (size_t i = 0; i < cluster.teams.size(); i++) {
		SCOPED_TRACE(cluster.teams[i].name);
		EXPECT_GE((double)cluster.served_late(i),
			  (double)cluster.offered_late[i] * 0.99);
	}
}

INSTANTIATE_TEST_SUITE_P(Teams, QuotaClusterWithoutFaults, testing::Bool());

} // namespace
