#include "quetzalloft/head_of_line.h"

#include <gtest/gtest.h>

namespace
{

struct Case {
	const char *name;
	ql_head_of_line_request_t request;
	bool must_refuse;
};

class HeadOfLine : public testing::TestWithParam<Case>
{
};

/*
 * Guards against: responses that are ready are lost, because the client times
 * out while they are blocked behind the response to a slow request, and closes
 * the connection.
 */
TEST_P(HeadOfLine, RefusesWhenTheNextRequestWouldTimeOut)
{
	EXPECT_EQ(GetParam().must_refuse,
		  ql_head_of_line_must_refuse(&GetParam().request));
}

INSTANTIATE_TEST_SUITE_P(
	Cases, HeadOfLine,
	testing::Values(Case{"ReadyBeforeTheTimeout", {30, 0, 300, 400}, false},
			Case{"ReadyAtTheTimeout", {30, 0, 400, 400}, false},
			Case{"ReadyAfterTheTimeout", {30, 0, 1000, 400}, true},
			Case{"ReceivedLongAgo", {390, 100, 1000, 400}, true},
			Case{"NextHasTimedOut", {400, 0, 1000, 400}, false},
			Case{"UnknownLatency", {30, 0, 0, 400}, false}),
	[](const auto &test) { return test.param.name; });

struct ForwardDelayCase {
	const char *name;
	ql_head_of_line_route_t route;
	uint64_t forward_delay_us;
};

class HeadOfLineForwardDelay : public testing::TestWithParam<ForwardDelayCase>
{
};

TEST_P(HeadOfLineForwardDelay, FollowsRecentBlocking)
{
	EXPECT_EQ(GetParam().forward_delay_us,
		  ql_head_of_line_forward_delay_us(&GetParam().route));
}

INSTANTIATE_TEST_SUITE_P(
	Cases, HeadOfLineForwardDelay,
	testing::Values(
		ForwardDelayCase{"Never", {20000000, 0, 640000}, 0},
		ForwardDelayCase{"JustNow",
				 {20000000, 20000000, 640000},
				 20000},
		ForwardDelayCase{"Lately", {20000000, 10000000, 640000}, 20000},
		ForwardDelayCase{"LongAgo", {20000001, 10000000, 640000}, 0},
		ForwardDelayCase{"UnknownLatency", {20000000, 20000000, 0}, 0}),
	[](const auto &test) { return test.param.name; });

} // namespace
