#include "quetzalloft/gate.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace
{

const uint64_t MS = 1000;

class Gate : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_gate_opts_t opts = {&ql_limiter_fixed, 2, 2, 50 * MS,
				       &ql_queue_fifo,	  1, 0};

		ql_gate_init(&gate, &opts);
	}

	void TearDown() override
	{
		ql_gate_finish(&gate);
	}

	ql_gate_decision_t offer(uint32_t shed_order, uint64_t now_us,
				 bool under_way = false,
				 uint64_t deadline_us = 1000 * MS)
	{
		ql_gate_request_t request = {shed_order, under_way,
					     deadline_us};

		return ql_gate_offer(&gate, &request, now_us);
	}

	void fill_slots()
	{
		admitted[0] = offer(1, 0).ticket;
		admitted[1] = offer(1, 0).ticket;
	}

	ql_gate_t gate;
	ql_handle_t admitted[2];
};

TEST_F(Gate, AdmitsWithinItsSlots)
{
	fill_slots();
	EXPECT_EQ(2u, gate.in_progress);
	EXPECT_EQ(QL_GATE_QUEUE, offer(1, 0).verdict);
}

TEST_F(Gate, AdmitsTheHighestClassFirst)
{
	ql_gate_decision_t low, high, next;

	fill_slots();
	low = offer(1, 0);
	high = offer(9, 0);
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, MS);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, MS));
	EXPECT_EQ(QL_GATE_ADMIT, next.verdict);
	EXPECT_EQ(high.ticket, next.ticket);
	EXPECT_NE(low.ticket, next.ticket);
	EXPECT_FALSE(ql_gate_next_decision(&gate, &next, MS));
}

TEST_F(Gate, AdmitsWorkUnderWayFirst)
{
	ql_gate_decision_t new_work, under_way, next;

	fill_slots();
	new_work = offer(1, 0);
	under_way = offer(1, 0, true);
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, MS);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, MS));
	EXPECT_EQ(under_way.ticket, next.ticket);
	EXPECT_NE(new_work.ticket, next.ticket);
}

TEST_F(Gate, ShedsTheLowestClassFromAFullQueue)
{
	ql_gate_decision_t low, next;

	fill_slots();
	low = offer(1, 0);
	offer(5, 0);
	EXPECT_EQ(QL_GATE_QUEUE, offer(9, 0).verdict);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, 0));
	EXPECT_EQ(QL_GATE_REFUSE, next.verdict);
	EXPECT_EQ(low.ticket, next.ticket);
	EXPECT_EQ(QL_REASON_OVERLOAD, next.reason);
	EXPECT_EQ(QL_GATE_REFUSE, offer(1, 0).verdict);
	EXPECT_EQ(2u, ql_gate_load_level(&gate, 0));
}

/* What runs and what waits, as parts of the limit. */
TEST_F(Gate, OccupancyCountsTheQueue)
{
	double limit;

	EXPECT_EQ(0, ql_gate_occupancy(&gate));
	fill_slots();
	limit = ql_limiter_get(&gate.limiter);
	EXPECT_EQ(1, ql_gate_occupancy(&gate));
	offer(5, 0);
	EXPECT_EQ((limit + 1) / limit, ql_gate_occupancy(&gate));
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, MS);
	EXPECT_EQ(1, ql_gate_occupancy(&gate));
}

TEST_F(Gate, RefusesARequestQueuedTooLong)
{
	ql_gate_decision_t waiting, next;

	fill_slots();
	waiting = offer(1, 0);
	EXPECT_EQ(50 * MS, ql_gate_next_wakeup_us(&gate));
	EXPECT_FALSE(ql_gate_next_decision(&gate, &next, 49 * MS));
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, 50 * MS));
	EXPECT_EQ(waiting.ticket, next.ticket);
	EXPECT_EQ(QL_GATE_REFUSE, next.verdict);
}

TEST_F(Gate, RefusesAPassedDeadline)
{
	ql_gate_decision_t decision = offer(1, 10 * MS, false, 10 * MS);

	EXPECT_EQ(QL_GATE_REFUSE, decision.verdict);
	EXPECT_EQ(QL_REASON_DEADLINE, decision.reason);
}

TEST_F(Gate, DrainRefusesTheQueueAndKeepsAdmittedRequests)
{
	ql_gate_decision_t next;

	fill_slots();
	offer(1, 0);
	ql_gate_drain(&gate);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, 0));
	EXPECT_EQ(QL_REASON_DRAINING, next.reason);
	EXPECT_EQ(QL_REASON_DRAINING, offer(9, 0).reason);
	EXPECT_EQ(2u, gate.in_progress);
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, MS);
	ql_gate_finish_request(&gate, admitted[1], QL_GATE_SERVED, MS);
	EXPECT_EQ(0u, gate.in_progress);
}

TEST_F(Gate, RefusesARequestThatCannotFinishInTime)
{
	offer(1, 0);
	admitted[0] = offer(1, 0).ticket;
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, 100 * MS);
	EXPECT_EQ(QL_REASON_DEADLINE,
		  offer(1, 100 * MS, false, 140 * MS).reason);
	EXPECT_EQ(QL_GATE_ADMIT, offer(1, 100 * MS, false, 300 * MS).verdict);
}

/*
 * Guards against: all requests are refused for ever. One slow request sets the
 * estimated service time above the remaining time of all others, and as none is
 * admitted, no new sample corrects the estimate. So it must expire.
 */
TEST_F(Gate, AdmitsAgainAfterTheServiceTimeExpired)
{
	admitted[0] = offer(1, 0).ticket;
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, 100 * MS);
	EXPECT_EQ(QL_GATE_ADMIT, offer(1, 1200 * MS, false, 1240 * MS).verdict);
}

/*
 * Guards against: a service of 200 ms frees no slot within the queueing delay
 * limit of 50 ms, so that queued requests are refused although the next free
 * slot could serve them. The limit must not be shorter than the service time.
 */
TEST_F(Gate, QueuesForAsLongAsTheServiceTime)
{
	ql_gate_decision_t waiting, next;

	admitted[0] = offer(9, 0).ticket;
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, 200 * MS);
	offer(9, 200 * MS);
	offer(9, 200 * MS);
	waiting = offer(9, 200 * MS);
	EXPECT_EQ(QL_GATE_QUEUE, waiting.verdict);
	EXPECT_FALSE(ql_gate_next_decision(&gate, &next, 399 * MS));
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, 500 * MS));
	EXPECT_EQ(QL_GATE_REFUSE, next.verdict);
}

/*
 * Guards against: the latency of a failed request counts as a service time, so
 * that quick failures look like a fast service.
 */
TEST_F(Gate, IgnoresTheLatencyOfFailures)
{
	ql_limiter_t before = gate.limiter;

	admitted[0] = offer(1, 0).ticket;
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_FAILED, 400 * MS);
	EXPECT_EQ(before.samples, gate.limiter.samples);
	EXPECT_EQ(QL_GATE_ADMIT, offer(1, 400 * MS, false, 410 * MS).verdict);
}

TEST_F(Gate, KeepsAHigherClassQueuedWhileALowerOneIsInProgress)
{
	ql_gate_decision_t high, next;

	fill_slots();
	high = offer(9, 0);
	EXPECT_FALSE(ql_gate_next_decision(&gate, &next, 60 * MS));
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, 500 * MS);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, 500 * MS));
	EXPECT_EQ(QL_GATE_ADMIT, next.verdict);
	EXPECT_EQ(high.ticket, next.ticket);
}

TEST_F(Gate, RefusesLowerClassesAfterRefusingAHigherOne)
{
	ql_gate_decision_t next;

	admitted[0] = offer(9, 0).ticket;
	admitted[1] = offer(9, 0).ticket;
	offer(9, 0);
	offer(9, 0);
	EXPECT_EQ(QL_GATE_REFUSE, offer(9, 0).verdict);
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, MS);
	EXPECT_TRUE(ql_gate_next_decision(&gate, &next, MS));
	EXPECT_EQ(QL_GATE_REFUSE, offer(1, MS).verdict);
}

TEST_F(Gate, SpreadsRetryAfter)
{
	std::set<uint32_t> seen;

	fill_slots();
	offer(1, 0);
	offer(1, 0);
	for (int i = 0; i < 100; i++)
		seen.insert(offer(1, 0).retry_after_ms);
	EXPECT_GT(seen.size(), 20u);
	EXPECT_GE(*seen.begin(), 50u);
}

TEST_F(Gate, CancelsOnlyQueuedRequests)
{
	ql_gate_decision_t waiting, next;

	fill_slots();
	waiting = offer(1, 0);
	EXPECT_FALSE(ql_gate_cancel(&gate, admitted[0]));
	EXPECT_TRUE(ql_gate_cancel(&gate, waiting.ticket));
	EXPECT_FALSE(ql_gate_cancel(&gate, waiting.ticket));
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, MS);
	EXPECT_FALSE(ql_gate_next_decision(&gate, &next, MS));
}

TEST_F(Gate, IsConfiguredWithoutLosingTickets)
{
	ql_gate_opts_t opts = {&ql_limiter_gradient, 1, 1, 20 * MS,
			       &ql_queue_codel,	     1, 0};
	ql_gate_decision_t low, high, next;

	fill_slots();
	low = offer(1, 0);
	high = offer(9, 0);
	ql_gate_configure(&gate, &opts, MS);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, MS));
	EXPECT_EQ(low.ticket, next.ticket);
	EXPECT_EQ(QL_GATE_REFUSE, next.verdict);
	ql_gate_finish_request(&gate, admitted[0], QL_GATE_SERVED, 2 * MS);
	EXPECT_FALSE(ql_gate_next_decision(&gate, &next, 2 * MS));
	ql_gate_finish_request(&gate, admitted[1], QL_GATE_SERVED, 3 * MS);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, 3 * MS));
	EXPECT_EQ(high.ticket, next.ticket);
	EXPECT_EQ(QL_GATE_ADMIT, next.verdict);
}

struct ShareCase {
	const char *name;
	uint32_t lower_class_interval;
	/* Request rate of the highest class, as a fraction of the capacity. */
	double load;
	/* Fraction of the capacity that each class gets, highest first. */
	double share_min[3];
	double share_max[3];
};

class GateShare : public testing::TestWithParam<ShareCase>
{
};

/*
 * Guards against: lower classes starve while the highest class offers more than
 * the capacity of a service, or take more of it than the rotation gives them.
 * Checks the share of the capacity that each class gets; the two lower classes
 * offer 5% and 50% of it.
 */
TEST_P(GateShare, OfTheCapacityByClass)
{
	constexpr uint32_t kSlots = 10;
	constexpr uint64_t kServiceUs = 15 * MS;
	constexpr double kCapacityPerUs = (double)kSlots / kServiceUs;
	constexpr uint64_t kEndUs = 20 * 1000 * MS;
	const uint32_t orders[] = {9, 5, 1};
	const double loads[] = {GetParam().load, 0.05, 0.5};
	ql_gate_opts_t opts = {&ql_limiter_fixed,
			       kSlots,
			       1024,
			       300 * MS,
			       nullptr,
			       1,
			       GetParam().lower_class_interval};
	std::multimap<uint64_t, ql_handle_t> running;
	std::map<ql_handle_t, int> classes;
	std::mt19937 random(1);
	double served[3] = {};
	ql_gate_decision_t decision;
	ql_gate_t gate;

	ql_gate_init(&gate, &opts);
	for (uint64_t now_us = MS; now_us < kEndUs; now_us += 100) {
		while (!running.empty() && running.begin()->first <= now_us) {
			ql_gate_finish_request(&gate, running.begin()->second,
					       QL_GATE_SERVED, now_us);
			served[classes[running.begin()->second]]++;
			running.erase(running.begin());
		}
		for (int i = 0; i < 3; i++) {
			ql_gate_request_t request = {orders[i], true,
						     now_us + 700 * MS};

			if (std::uniform_real_distribution<>()(random) >=
			    100 * loads[i] * kCapacityPerUs)
				continue;
			decision = ql_gate_offer(&gate, &request, now_us);
			if (decision.verdict == QL_GATE_REFUSE)
				continue;
			classes[decision.ticket] = i;
			if (decision.verdict == QL_GATE_ADMIT)
				running.emplace(now_us + kServiceUs,
						decision.ticket);
		}
		while (ql_gate_next_decision(&gate, &decision, now_us))
			if (decision.verdict == QL_GATE_ADMIT)
				running.emplace(now_us + kServiceUs,
						decision.ticket);
	}
	for (int i = 0; i < 3; i++) {
		double share = served[i] / (kCapacityPerUs * kEndUs);

		EXPECT_GE(share, GetParam().share_min[i]) << i;
		EXPECT_LE(share, GetParam().share_max[i]) << i;
	}
	ql_gate_finish(&gate);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, GateShare,
	testing::Values(
		ShareCase{"ByClassAlone", 0, 2, {0.95, 0, 0}, {1, 0.01, 0.01}},
		ShareCase{"Overloaded",
			  8,
			  2,
			  {0.84, 0.04, 0.05},
			  {1, 0.07, 0.09}},
		ShareCase{"BelowTheCapacity",
			  8,
			  0.5,
			  {0.45, 0.04, 0.3},
			  {1, 1, 1}}),
	[](const auto &test) { return std::string(test.param.name); });

/* A queued or admitted request. */
struct Pending {
	uint32_t shed_order;
	uint64_t offered_us;
	bool admitted;
};

struct RandomCase {
	uint32_t seed;
	const ql_queue_ops_t *queue;
	const ql_limiter_ops_t *limiter;
	uint32_t queue_max;
};

class RandomGate : public testing::TestWithParam<RandomCase>
{
      protected:
	void SetUp() override
	{
		ql_gate_opts_t opts = {GetParam().limiter,
				       8,
				       GetParam().queue_max,
				       30 * MS,
				       GetParam().queue,
				       1,
				       0};

		random.seed(GetParam().seed);
		ql_gate_init(&gate, &opts);
	}

	void TearDown() override
	{
		ql_gate_finish(&gate);
	}

	/*
	 * Checks that no lower class is queued, and that none was admitted
	 * after the refused request was offered.
	 */
	void check_refusal(uint32_t order, uint64_t offered_us)
	{
		for (const auto &other : pending)
			EXPECT_TRUE(other.second.shed_order >= order ||
				    other.second.admitted);
		for (uint32_t lower = 0; lower < order; lower++)
			EXPECT_LE(admitted_us[lower], offered_us);
	}

	void apply_decision(const ql_gate_decision_t &decision)
	{
		auto found = pending.find(decision.ticket);

		ASSERT_NE(pending.end(), found);
		if (decision.verdict == QL_GATE_ADMIT) {
			found->second.admitted = true;
			admitted_us[found->second.shed_order] = now_us;
			return;
		}
		Pending refused = found->second;
		pending.erase(found);
		if (decision.reason == QL_REASON_OVERLOAD)
			check_refusal(refused.shed_order, refused.offered_us);
	}

	void take_decisions()
	{
		ql_gate_decision_t decision;

		while (ql_gate_next_decision(&gate, &decision, now_us))
			apply_decision(decision);
	}

	void offer_request()
	{
		uint32_t order = (uint32_t)(random() % 4);
		ql_gate_request_t request = {order, random() % 2 == 0,
					     now_us + 1 + random() % 200000};
		ql_gate_decision_t decision =
			ql_gate_offer(&gate, &request, now_us);

		if (decision.verdict == QL_GATE_REFUSE) {
			take_decisions();
			if (decision.reason == QL_REASON_OVERLOAD)
				check_refusal(order, now_us);
			return;
		}
		pending[decision.ticket] = {order, now_us, false};
		if (decision.verdict == QL_GATE_ADMIT)
			apply_decision(decision);
	}

	void finish_request()
	{
		for (auto it = pending.begin(); it != pending.end(); ++it) {
			if (!it->second.admitted || random() % 3)
				continue;
			ql_gate_finish_request(&gate, it->first,
					       (ql_gate_outcome_t)(random() %
								   3),
					       now_us);
			pending.erase(it);
			return;
		}
	}

	std::mt19937 random;
	ql_gate_t gate;
	uint64_t now_us = 1000;
	std::map<ql_handle_t, Pending> pending;
	uint64_t admitted_us[4] = {};
};

TEST_P(RandomGate, NeverRefusesAClassWhileALowerOneIsAdmitted)
{
	size_t admitted;

	for (int i = 0; i < 20000 && !HasFailure(); i++) {
		now_us += random() % 3000;
		random() % 5 < 3 ? offer_request() : finish_request();
		take_decisions();
		admitted = 0;
		for (const auto &it : pending)
			admitted += it.second.admitted;
		ASSERT_EQ(admitted, gate.in_progress);
		ASSERT_EQ(pending.size() - admitted,
			  ql_gate_queue_length(&gate.queue));
		ASSERT_LE(admitted, 8u);
		ASSERT_GT(ql_gate_next_wakeup_us(&gate), now_us);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Cases, RandomGate,
	testing::Values(RandomCase{1, &ql_queue_fifo, &ql_limiter_fixed, 8},
			RandomCase{2, &ql_queue_fifo, &ql_limiter_fixed, 0},
			RandomCase{3, &ql_queue_fifo, &ql_limiter_gradient, 64},
			RandomCase{4, &ql_queue_adaptive_lifo, &ql_limiter_aimd,
				   8},
			RandomCase{5, &ql_queue_codel, &ql_limiter_gradient, 8},
			RandomCase{6, &ql_queue_codel, &ql_limiter_aimd, 1}));

} // namespace
