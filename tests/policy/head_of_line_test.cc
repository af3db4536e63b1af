#include "quetzalloft/head_of_line.h"

#include <gtest/gtest.h>

namespace
{

struct Case {
	const char *name;
	ql_head_of_line_request_t request;
	bool gives_way;
};

class GiveWay : public testing::TestWithParam<Case>
{
};

/* Guards against: answers that are ready are lost behind a long one. */
TEST_P(GiveWay, WhereTheAnswerBehindGainsMore)
{
	EXPECT_EQ(GetParam().gives_way,
		  ql_head_of_line_must_refuse(&GetParam().request));
}

INSTANTIATE_TEST_SUITE_P(
	Cases, GiveWay,
	testing::Values(
		Case{"ReadyBeforeAnyoneLeaves", {30, 0, 300, 400}, false},
		Case{"ReadyJustThen", {30, 0, 400, 400}, false},
		Case{"NotReadyBeforeOneLeaves", {30, 0, 1000, 400}, true},
		Case{"BegunLongAgo", {390, 100, 1000, 400}, true},
		Case{"OneThatHasLeft", {400, 0, 1000, 400}, false},
		Case{"NothingIsKnownOfIt", {30, 0, 0, 400}, false}),
	[](const auto &test) { return test.param.name; });

struct HoldCase {
	const char *name;
	ql_head_of_line_route_t route;
	uint64_t hold_us;
};

class GiveWayHold : public testing::TestWithParam<HoldCase>
{
};

TEST_P(GiveWayHold, WhereOthersComeBehind)
{
	EXPECT_EQ(GetParam().hold_us,
		  ql_head_of_line_hold_us(&GetParam().route));
}

INSTANTIATE_TEST_SUITE_P(
	Cases, GiveWayHold,
	testing::Values(
		HoldCase{"Never", {20000000, 0, 640000}, 0},
		HoldCase{"JustNow", {20000000, 20000000, 640000}, 20000},
		HoldCase{"Lately", {20000000, 10000000, 640000}, 20000},
		HoldCase{"LongAgo", {20000001, 10000000, 640000}, 0},
		HoldCase{"NothingIsKnownOfIt", {20000000, 20000000, 0}, 0}),
	[](const auto &test) { return test.param.name; });

} // namespace
