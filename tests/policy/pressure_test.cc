#include "quetzalloft/gate.h"
#include "quetzalloft/pressure.h"

#include <gtest/gtest.h>

namespace
{

struct Case {
	const char *name;
	double own;
	std::vector<double> calls;
	double expected;
};

class PressureTest : public testing::TestWithParam<Case>
{
};

/*
 * Guards against: requests with many calls are refused early while the service
 * with the least capacity has free slots (incident SHORT of tandfe). This
 * happens if the longest of ten queueing delays stands for all of them.
 */
TEST_P(PressureTest, AveragesThePressureOfCalls)
{
	const Case &test = GetParam();
	ql_pressure_t pressure = {};

	pressure.own = test.own;
	for (double call : test.calls)
		ql_pressure_add_call(&pressure, call);
	EXPECT_DOUBLE_EQ(test.expected, ql_pressure_get(&pressure));
}

INSTANTIATE_TEST_SUITE_P(
	Cases, PressureTest,
	testing::Values(Case{"NoCalls", 0.5, {}, 0.5},
			Case{"OneCall", 0.5, {2}, 2},
			Case{"OneLongWaitOfTen",
			     0,
			     {3, 0, 0, 0, 0, 0, 0, 0, 0, 0},
			     0.3},
			Case{"AllWaitLong", 0, {2, 2, 2, 2}, 2},
			Case{"OwnWaitIsLonger", 1.5, {1, 0}, 1.5},
			Case{"OneCallLost",
			     0,
			     {0, 0, QL_PRESSURE_MAX},
			     QL_PRESSURE_MAX}),
	[](const auto &test) { return test.param.name; });

/* A call that was served after a long queueing delay must not count as lost. */
TEST(Pressure, ServedCallsAreNotLost)
{
	ql_gate_opts_t opts = {&ql_limiter_fixed, 2, 2, 50000,
			       &ql_queue_fifo,	  1, 0};
	ql_gate_t gate;

	ql_gate_init(&gate, &opts);
	gate.times.lower_quartile_us = 10;
	EXPECT_LT(ql_service_times_pressure(&gate.times, 1000000),
		  QL_PRESSURE_MAX);
	EXPECT_GT(ql_service_times_pressure(&gate.times, 1000000), 1);
	EXPECT_LT(ql_service_times_pressure(&gate.times, 5), 1);
	ql_gate_finish(&gate);
}

/*
 * Guards against: queueing delays of 300 ms count as acceptable at an endpoint
 * whose downstream calls are slow, so that thousands of requests are answered
 * too late (incident SHORT). The acceptable delay must not follow a short rise
 * of the service time.
 */
TEST(Pressure, PersistsWhileDownstreamEndpointsAreOverloaded)
{
	ql_gate_opts_t opts = {&ql_limiter_fixed, 2, 2, 50000,
			       &ql_queue_fifo,	  1, 0};
	ql_gate_request_t request = {1, false, UINT64_MAX};
	uint64_t now_us = 1000000;
	double before;
	ql_gate_t gate;

	auto serve = [&](uint64_t service_us, int times) {
		for (int i = 0; i < times; i++) {
			ql_handle_t ticket =
				ql_gate_offer(&gate, &request, now_us).ticket;

			now_us += service_us;
			ql_gate_finish_request(&gate, ticket, QL_GATE_SERVED,
					       now_us);
		}
	};

	ql_gate_init(&gate, &opts);
	serve(100000, 50);
	before = ql_service_times_pressure(&gate.times, 300000);
	EXPECT_GT(before, 1);
	serve(500000, 4);
	EXPECT_GT(ql_service_times_pressure(&gate.times, 300000), 1);
	/* After a lasting rise the new service time is the normal one. */
	serve(500000, 200);
	EXPECT_LT(ql_service_times_pressure(&gate.times, 300000), 1);
	ql_gate_finish(&gate);
}

} // namespace
