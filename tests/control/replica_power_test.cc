#include "control/replica_simulation.h"

#include <gtest/gtest.h>

namespace
{

struct Case {
	const char *name;
	size_t n_replicas;
	size_t n_disks_lost;
	/* The replicas that lost their disks restart before the others. */
	bool restart_empty_first;
};

class PowerLoss : public testing::TestWithParam<Case>
{
};

/*
 * Returns a random schedule that ends with a patch, a loss of power at all
 * replicas, and the loss of some disks.
 */
Schedule make_power_loss(const Case &test, uint32_t seed)
{
	const size_t kRandomBytes = 300;
	Schedule schedule = random_schedule(seed, kRandomBytes);
	std::vector<SimulationStep> steps = {{OP_HEAL, 0, 0}};
	size_t first_lost = seed % test.n_replicas;
	Schedule power_loss;

	auto add_steps = [&](bool lost, SimulationOp op, uint8_t second) {
		for (size_t i = 0; i < test.n_replicas; i++) {
			size_t from_lost = (i + test.n_replicas - first_lost) %
					   test.n_replicas;

			if ((from_lost < test.n_disks_lost) == lost)
				steps.push_back({op, (uint8_t)i, second});
		}
	};

	add_steps(true, OP_RESTART, 0);
	add_steps(false, OP_RESTART, 0);
	steps.push_back({OP_RUN, 15, 0});
	steps.push_back({OP_RUN, 15, 0});
	for (size_t i = 0; i < test.n_replicas; i++)
		steps.push_back({OP_PATCH, (uint8_t)i, 1});
	/* The loss comes shortly before or after the patch is confirmed. */
	for (uint32_t i = 0; i < seed % 8; i++)
		steps.push_back({OP_ROUNDS, 0, 0});
	add_steps(false, OP_CRASH, (uint8_t)(seed * 37));
	if (test.restart_empty_first) {
		add_steps(true, OP_LOSE_DISK, 0);
		steps.push_back({OP_RUN, 3, 0});
		add_steps(false, OP_RESTART, 0);
	} else {
		add_steps(true, OP_CRASH, (uint8_t)seed);
		add_steps(false, OP_RESTART, 0);
		add_steps(true, OP_LOSE_DISK, 0);
	}
	power_loss = make_schedule(steps);
	schedule.resize(schedule.size() / 3 * 3);
	schedule.insert(schedule.end(), power_loss.begin(), power_loss.end());
	return schedule;
}

/*
 * Guards against the loss of a confirmed change when, right after it, as many
 * disks are lost as the cluster tolerates, and all other VMs, including those
 * of learners, lose power at the same time.
 */
TEST_P(PowerLoss, KeepsConfirmedChanges)
{
	const uint32_t kSeeds = 300;
	size_t n_accepted = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		ReplicaSimulation simulation(GetParam().n_replicas);

		simulation.run(make_power_loss(GetParam(), seed));
		ASSERT_EQ("", simulation.violation) << "seed " << seed;
		n_accepted += simulation.n_accepted;
	}
	EXPECT_LT(kSeeds / 2, n_accepted);
}

INSTANTIATE_TEST_SUITE_P(
	Cases, PowerLoss,
	testing::Values(Case{"OneOfThree", 3, 1, false},
			Case{"OneOfThreeEmptyFirst", 3, 1, true},
			Case{"OneOfFour", 4, 1, false},
			Case{"TwoOfFive", 5, 2, false},
			Case{"TwoOfFiveEmptyFirst", 5, 2, true}),
	[](const auto &test) { return test.param.name; });

} // namespace
