#include "control/replica_simulation.h"

#include <gtest/gtest.h>

namespace
{

struct Case {
	const char *name;
	size_t n_replicas;
	size_t n_disks_lost;
	/* The empty replicas are back before the others have power. */
	bool empty_first;
};

class PowerTest : public testing::TestWithParam<Case>
{
};

/* A random past, then a change, and no power anywhere as disks are lost. */
Schedule lose_power(const Case &test, uint32_t seed)
{
	const size_t kPastBytes = 300;
	Schedule past = random_schedule(seed, kPastBytes);
	std::vector<SimulationStep> steps = {{OP_HEAL, 0, 0}};
	size_t first_lost = seed % test.n_replicas;
	Schedule end;

	auto each = [&](bool lost, SimulationOp op, uint8_t second) {
		for (size_t i = 0; i < test.n_replicas; i++) {
			size_t from_lost = (i + test.n_replicas - first_lost) %
					   test.n_replicas;

			if ((from_lost < test.n_disks_lost) == lost)
				steps.push_back({op, (uint8_t)i, second});
		}
	};

	each(true, OP_RESTART, 0);
	each(false, OP_RESTART, 0);
	steps.push_back({OP_RUN, 15, 0});
	steps.push_back({OP_RUN, 15, 0});
	for (size_t i = 0; i < test.n_replicas; i++)
		steps.push_back({OP_PATCH, (uint8_t)i, 1});
	/* The answer is on its way, or just out. */
	for (uint32_t i = 0; i < seed % 8; i++)
		steps.push_back({OP_ROUNDS, 0, 0});
	each(false, OP_CRASH, (uint8_t)(seed * 37));
	if (test.empty_first) {
		each(true, OP_LOSE_DISK, 0);
		steps.push_back({OP_RUN, 3, 0});
		each(false, OP_RESTART, 0);
	} else {
		each(true, OP_CRASH, (uint8_t)seed);
		each(false, OP_RESTART, 0);
		each(true, OP_LOSE_DISK, 0);
	}
	end = make_schedule(steps);
	past.resize(past.size() / 3 * 3);
	past.insert(past.end(), end.begin(), end.end());
	return past;
}

/*
 * Guards against: as many disks as may be lost are lost right behind a
 * confirmed change, and all other VMs, learners too, lose power at the same
 * moment.
 */
TEST_P(PowerTest, NothingConfirmedIsLost)
{
	const uint32_t kSeeds = 300;
	size_t n_accepted = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		ReplicaSimulation simulation(GetParam().n_replicas);

		simulation.run(lose_power(GetParam(), seed));
		ASSERT_EQ("", simulation.violation) << "seed " << seed;
		n_accepted += simulation.n_accepted;
	}
	EXPECT_LT(kSeeds / 2, n_accepted);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, PowerTest,
	testing::Values(Case{"OneOfThree", 3, 1, false},
			Case{"OneOfThreeEmptyFirst", 3, 1, true},
			Case{"OneOfFour", 4, 1, false},
			Case{"TwoOfFive", 5, 2, false},
			Case{"TwoOfFiveEmptyFirst", 5, 2, true}),
	[](const auto &test) { return test.param.name; });

} // namespace
