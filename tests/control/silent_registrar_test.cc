#include "membership_simulation.h"

#include <gtest/gtest.h>

namespace
{

constexpr int NODES = 9;
constexpr int SEEDS = 10;
constexpr uint64_t START_MS = 15000;
/* A confirmed version has to be in force at every node after this time. */
constexpr uint64_t CONFIG_APPLY_MS = 2000;
constexpr uint64_t CHANGE_INTERVAL_MS = 330;
constexpr uint64_t STEP_MS = 10;
constexpr int CYCLES = 3;

/*
 * Registrars of a domain that are silent, and for how long in each cycle. As
 * the preferred registrars depend on the name of the node, each of them is the
 * first one of some nodes, the second one of others and a spare of the rest.
 */
struct Case {
	const char *name;
	int n_registrars;
	std::set<int> silent;
	uint64_t silent_ms;
	uint64_t answering_ms;
};

void PrintTo(const Case &value, std::ostream *os)
{
	*os << value.name;
}

class SilentRegistrar : public testing::TestWithParam<Case>
{
      protected:
	/* Confirms versions and checks which ones the nodes have in force. */
	void confirm_and_check(MembershipSimulation &simulation,
			       uint64_t duration_ms)
	{
		uint64_t end_ms = simulation.now_ms + duration_ms;

		for (; simulation.now_ms < end_ms; simulation.run(STEP_MS)) {
			if (simulation.now_ms >= next_change_ms) {
				simulation.submit_patch();
				next_change_ms =
					simulation.now_ms + CHANGE_INTERVAL_MS;
				confirmed_ms[simulation.leader_config.doc
						     ->version] =
					simulation.now_ms;
			}
			count_late(simulation);
		}
	}

	void count_late(const MembershipSimulation &simulation)
	{
		for (auto &node : simulation.nodes) {
			auto next = confirmed_ms.upper_bound(node->version);

			if (next != confirmed_ms.end() &&
			    next->second + CONFIG_APPLY_MS < simulation.now_ms)
				late++;
		}
	}

	std::map<uint64_t, uint64_t> confirmed_ms;
	uint64_t next_change_ms = 0;
	int late = 0;
};

/*
 * Guards against a node that waits for the answer of a silent registrar while
 * another one would send it the version.
 */
TEST_P(SilentRegistrar, DelaysNoVersion)
{
	const Case &c = GetParam();

	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		SCOPED_TRACE(seed);
		MembershipSimulation simulation(seed, 1, c.n_registrars, NODES);

		confirmed_ms.clear();
		late = 0;
		next_change_ms = 0;
		for (int i = 0; i < c.n_registrars; i++)
			simulation.start_registrar(i);
		for (int i = 0; i < NODES; i++)
			simulation.start_node(i);
		simulation.run(START_MS);
		for (int cycle = 0; cycle < CYCLES; cycle++) {
			simulation.frozen_registrars = c.silent;
			confirm_and_check(simulation, c.silent_ms);
			simulation.frozen_registrars.clear();
			confirm_and_check(simulation, c.answering_ms);
		}
		EXPECT_EQ(0, late) << "of the checks, each " << STEP_MS
				   << " ms, found a node that lags";
		for (auto &node : simulation.nodes)
			EXPECT_EQ(0, node->version_decreases);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Cases, SilentRegistrar,
	testing::Values(Case{"none", 2, {}, 4000, 4000},
			Case{"first_of_two", 2, {0}, 8000, 5000},
			Case{"second_of_two", 2, {1}, 8000, 5000},
			Case{"for_a_moment", 2, {0}, 1500, 1000},
			Case{"for_long", 2, {1}, 40000, 5000},
			Case{"one_of_three", 3, {2}, 8000, 5000},
			Case{"one_of_four", 4, {1}, 8000, 5000},
			Case{"neighbours_of_four", 4, {0, 1}, 8000, 5000},
			Case{"two_of_four", 4, {0, 2}, 8000, 5000},
			Case{"three_of_four", 4, {0, 1, 3}, 8000, 5000}),
	[](const testing::TestParamInfo<Case> &param) {
		return std::string(param.param.name);
	});

} // namespace
