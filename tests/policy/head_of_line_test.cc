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

/* Guards against: responses that are ready are lost because the client times
 * out while they are blocked behind the response to a long request. */
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

struct HoldCase {
	const char *name;
	ql_head_of_line_route_t route;
	uint64_t hold_us;
};

class HeadOfLineHold : public testing::TestWithParam<HoldCase>
{
};

TEST_P(HeadOfLineHold, FollowsRecentBlocking)
{
	EXPECT_EQ(GetParam().hold_us,
		  ql_head_of_line_hold_us(&GetParam().route));
}

INSTANTIATE_TEST_SUITE_P(
	Cases, HeadOfLineHold,
	testing::Values(
		HoldCase{"Never", {20000000, 0, 640000}, 0},
		HoldCase{"JustNow", {20000000, 20000000, 640000}, 20000},
		HoldCase{"Lately", {20000000, 10000000, 640000}, 20000},
		HoldCase{"LongAgo", {20000001, 10000000, 640000}, 0},
		HoldCase{"UnknownLatency", {20000000, 20000000, 0}, 0}),
	[](const auto &test) { return test.param.name; });

} // namespace
