#include "quetzalloft/gate.h"

#include <gtest/gtest.h>

namespace
{

const uint64_t MS = 1000;

class Gate : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_gate_opts_t opts = {&ql_limiter_fixed, 2, 2, 50 * MS};

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

	void fill()
	{
		admitted[0] = offer(1, 0).ticket;
		admitted[1] = offer(1, 0).ticket;
	}

	ql_gate_t gate;
	ql_handle_t admitted[2];
};

TEST_F(Gate, AdmitsWithinItsSlots)
{
	fill();
	EXPECT_EQ(2u, gate.in_progress);
	EXPECT_EQ(QL_GATE_QUEUE, offer(1, 0).verdict);
}

TEST_F(Gate, AdmitsTheHighestClassFirst)
{
	ql_gate_decision_t low, high, next;

	fill();
	low = offer(1, 0);
	high = offer(9, 0);
	ql_gate_finish_request(&gate, admitted[0], false, MS);
	ASSERT_TRUE(ql_gate_next(&gate, &next, MS));
	EXPECT_EQ(QL_GATE_ADMIT, next.verdict);
	EXPECT_EQ(high.ticket, next.ticket);
	EXPECT_NE(low.ticket, next.ticket);
	EXPECT_FALSE(ql_gate_next(&gate, &next, MS));
}

TEST_F(Gate, AdmitsWorkUnderWayFirst)
{
	ql_gate_decision_t fresh, under_way, next;

	fill();
	fresh = offer(1, 0);
	under_way = offer(1, 0, true);
	ql_gate_finish_request(&gate, admitted[0], false, MS);
	ASSERT_TRUE(ql_gate_next(&gate, &next, MS));
	EXPECT_EQ(under_way.ticket, next.ticket);
	EXPECT_NE(fresh.ticket, next.ticket);
}

TEST_F(Gate, ShedsTheLowestClassFromAFullQueue)
{
	ql_gate_decision_t low, next;

	fill();
	low = offer(1, 0);
	offer(5, 0);
	EXPECT_EQ(QL_GATE_QUEUE, offer(9, 0).verdict);
	ASSERT_TRUE(ql_gate_next(&gate, &next, 0));
	EXPECT_EQ(QL_GATE_REFUSE, next.verdict);
	EXPECT_EQ(low.ticket, next.ticket);
	EXPECT_EQ(QL_REASON_OVERLOAD, next.reason);
	EXPECT_EQ(QL_GATE_REFUSE, offer(1, 0).verdict);
	EXPECT_EQ(2u, ql_gate_level(&gate, 0));
}

TEST_F(Gate, RefusesWhatWaitedTooLong)
{
	ql_gate_decision_t waiting, next;

	fill();
	waiting = offer(1, 0);
	EXPECT_EQ(50 * MS, ql_gate_next_us(&gate));
	EXPECT_FALSE(ql_gate_next(&gate, &next, 49 * MS));
	ASSERT_TRUE(ql_gate_next(&gate, &next, 50 * MS));
	EXPECT_EQ(waiting.ticket, next.ticket);
	EXPECT_EQ(QL_GATE_REFUSE, next.verdict);
}

TEST_F(Gate, RefusesAPassedDeadline)
{
	ql_gate_decision_t decision = offer(1, 10 * MS, false, 10 * MS);

	EXPECT_EQ(QL_GATE_REFUSE, decision.verdict);
	EXPECT_EQ(QL_REASON_DEADLINE, decision.reason);
}

TEST_F(Gate, DrainRefusesTheQueueAndKeepsTheRest)
{
	ql_gate_decision_t next;

	fill();
	offer(1, 0);
	ql_gate_drain(&gate);
	ASSERT_TRUE(ql_gate_next(&gate, &next, 0));
	EXPECT_EQ(QL_REASON_DRAINING, next.reason);
	EXPECT_EQ(QL_REASON_DRAINING, offer(9, 0).reason);
	EXPECT_EQ(2u, gate.in_progress);
	ql_gate_finish_request(&gate, admitted[0], false, MS);
	ql_gate_finish_request(&gate, admitted[1], false, MS);
	EXPECT_EQ(0u, gate.in_progress);
}

} // namespace
