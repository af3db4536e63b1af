#include "tree_world.h"

#include <gtest/gtest.h>

namespace
{

constexpr double kGuaranteed = 0.125;

struct Case {
	const char *name;
	int gates;
	/* Requests a second of the higher class, and of the lower one. */
	double high;
	double low;
	/* Least part of them that is answered in time. */
	double high_served;
	double low_served;
};

class TreeTest : public testing::TestWithParam<Case>
{
      protected:
	static constexpr double kWarmUpS = 8;
	static constexpr double kCountedS = 20;
};

/*
 * Guards against: the lowest class got next to nothing where the higher one
 * alone asked for more than there was (incident SHORT of tandfe).
 */
TEST_P(TreeTest, ServesTheHigherClassFirstAndStarvesNone)
{
	const Case &test = GetParam();
	TreeWorld world(test.gates, {{60, test.high}, {58, test.low}},
			kGuaranteed);

	world.Run(kWarmUpS);
	world.Count();
	world.Run(kCountedS);
	EXPECT_GE(world.Served(0), test.high_served);
	EXPECT_GE(world.Served(1), test.low_served);
	EXPECT_GE(world.Busy(), 0.85);
	/* What is begun is finished. */
	EXPECT_LE(world.Get(1).failed, 0.02 * (double)world.Get(1).offered);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, TreeTest,
	testing::Values(Case{"RoomForTheHigherClass", 3, 430, 1500, 0.95, 0.15},
			Case{"LittleRoomBeside", 2, 230, 1000, 0.95, 0.2},
			Case{"HigherClassAloneIsTooMuch", 1, 267, 486, 0.5,
			     0.1},
			Case{"BothAreFarTooMuch", 1, 500, 900, 0.15, 0.1}),
	[](const auto &test) { return test.param.name; });

} // namespace
