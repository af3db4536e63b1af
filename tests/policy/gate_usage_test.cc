#include "quetzalloft/gate.h"

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t kMs = 1000;

/*
 * Guards against: the counters do not show whether requests are refused at an
 * endpoint in full use or at one with free slots.
 */
TEST(GateUsage, CountsSlotTimeAndRequestsByClass)
{
	ql_gate_opts_t opts = {&ql_limiter_fixed, 2, 2, 50 * kMs,
			       &ql_queue_fifo,	  1, 0};
	ql_gate_request_t high = {5, false, 1000 * kMs};
	ql_gate_request_t low = {1, false, 1000 * kMs};
	ql_gate_request_t late = {1, false, 5 * kMs};
	ql_gate_usage_class_t delta;
	ql_gate_usage_t from, to;
	ql_gate_decision_t first, next;
	ql_gate_t gate;

	ql_gate_init(&gate, &opts);
	ql_gate_read_usage(&gate, &from, 10 * kMs);
	first = ql_gate_offer(&gate, &high, 10 * kMs);
	ql_gate_offer(&gate, &late, 10 * kMs);
	ql_gate_offer(&gate, &low, 20 * kMs);
	EXPECT_EQ(QL_GATE_QUEUE, ql_gate_offer(&gate, &low, 20 * kMs).verdict);
	ql_gate_finish_request(&gate, first.ticket, QL_GATE_SERVED, 30 * kMs);
	ASSERT_TRUE(ql_gate_next_decision(&gate, &next, 30 * kMs));
	ql_gate_read_usage(&gate, &to, 50 * kMs);

	/* 10 ms with one slot of two in use, then 30 ms with both. */
	EXPECT_DOUBLE_EQ(70.0 / 80.0, ql_gate_usage_utilization(&from, &to, 2));
	delta = ql_gate_usage_class_delta(&from, &to, 5);
	EXPECT_EQ(1u, delta.offered);
	EXPECT_EQ(1u, delta.admitted);
	delta = ql_gate_usage_class_delta(&from, &to, 1);
	EXPECT_EQ(3u, delta.offered);
	EXPECT_EQ(2u, delta.admitted);
	EXPECT_EQ(1u, delta.late);
	EXPECT_EQ(0u, delta.refused);
	EXPECT_EQ(10 * kMs, delta.waited_us);
	ql_gate_finish(&gate);
}

TEST(GateUsage, UtilizationIsZeroIfNoTimePassed)
{
	ql_gate_usage_t from = {}, to = {};

	EXPECT_EQ(0, ql_gate_usage_utilization(&from, &to, 2));
	ql_gate_usage_advance(&from, 1, 10);
	to = from;
	EXPECT_EQ(0, ql_gate_usage_utilization(&from, &to, 2));
	ql_gate_usage_advance(&to, 1, 5);
	EXPECT_EQ(0, ql_gate_usage_utilization(&from, &to, 2));
}

} // namespace
