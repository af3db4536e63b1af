#include "call_tree_simulation.h"

#include <gtest/gtest.h>

namespace
{

constexpr double kGuaranteedShare = 0.125;

struct Case {
	const char *name;
	int gates;
	/* Requests per second of the higher and of the lower class. */
	double higher_per_s;
	double lower_per_s;
	/* Least fraction of them that must succeed within the target. */
	double higher_served_min;
	double lower_served_min;
};

class CallTree : public testing::TestWithParam<Case>
{
      protected:
	static constexpr double kWarmUpS = 8;
	static constexpr double kMeasuredS = 20;
};

/*
 * Guards against starvation: almost no request of the lowest class succeeded
 * while the higher class alone exceeded the capacity (incident SHORT of
 * tandfe).
 */
TEST_P(CallTree, ServesHigherClassFirstWithoutStarvingTheLower)
{
	const Case &test = GetParam();
	CallTreeSimulation simulation(test.gates,
				      {{60, test.higher_per_s},
				       {58, test.lower_per_s}},
				      kGuaranteedShare);

	simulation.RunFor(kWarmUpS);
	simulation.StartMeasurement();
	simulation.RunFor(kMeasuredS);
	EXPECT_GE(simulation.ServedRatio(0), test.higher_served_min);
	EXPECT_GE(simulation.ServedRatio(1), test.lower_served_min);
	EXPECT_GE(simulation.Utilization(), 0.85);
	/* At most 2% of the offered requests fail after their start. */
	EXPECT_LE(simulation.GetClass(1).failed,
		  0.02 * (double)simulation.GetClass(1).offered);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, CallTree,
	testing::Values(
		Case{"SpareCapacityAboveTheHigherClass", 3, 430, 1500, 0.95,
		     0.15},
		Case{"LittleSpareCapacity", 2, 230, 1000, 0.95, 0.2},
		Case{"HigherClassAloneOverloads", 1, 267, 486, 0.5, 0.1},
		Case{"EachClassAloneOverloads", 1, 500, 900, 0.15, 0.1}),
	[](const auto &test) { return test.param.name; });

} // namespace
