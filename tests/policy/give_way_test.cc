#include "quetzalloft/give_way.h"

#include <gtest/gtest.h>

namespace
{

struct Case {
	const char *name;
	ql_give_way_t request;
	bool gives_way;
};

class GiveWay : public testing::TestWithParam<Case>
{
};

/* Guards against: answers that are ready are lost behind a long one. */
TEST_P(GiveWay, WhereTheAnswerBehindGainsMore)
{
	EXPECT_EQ(GetParam().gives_way, ql_gives_way(&GetParam().request));
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

} // namespace
