#include "membership_world.h"

#include <gtest/gtest-spi.h>
#include <gtest/gtest.h>

namespace
{

constexpr int DOMAINS = 3;
constexpr int PER_DOMAIN = 2;
constexpr int NODES = 9;
/* Promises, in virtual time. */
constexpr uint64_t OWN_DOMAIN_MS = 3000;
constexpr uint64_t ELSEWHERE_MS = 6000;
constexpr uint64_t HEALED_MS = 15000;

void start_all(World &world)
{
	size_t i;

	for (i = 0; i < world.registrars.size(); i++)
		world.start_registrar((int)i);
	for (i = 0; i < world.nodes.size(); i++)
		world.start_node((int)i);
	world.run(HEALED_MS);
}

std::string describe(const std::set<std::string> &names)
{
	std::string out;

	for (auto &name : names)
		out += name + ", ";
	return out;
}

/* Whether every node knows exactly what serves, at the latest version. */
testing::AssertionResult is_settled(const World &world)
{
	for (auto &node : world.nodes) {
		std::set<std::string> truth = world.serving_at(*node);
		std::set<std::string> seen = world.seen_by(*node);

		if (!node->alive)
			continue;
		if (seen != truth)
			return testing::AssertionFailure()
			       << "node " << node->index << " knows "
			       << describe(seen) << "not " << describe(truth);
		if (node->version != world.source.doc->version)
			return testing::AssertionFailure()
			       << "node " << node->index << " at version "
			       << node->version;
	}
	return testing::AssertionSuccess();
}

bool knows(const World &world, const Node &at, int leaver)
{
	const Node &node = *world.nodes[(size_t)leaver];
	auto found = at.view.find(node.service + " " + node.gate);

	return found != at.view.end() && found->second <= node.incarnation;
}

int count_knowing(const World &world, int leaver, bool own_domain)
{
	int count = 0;

	for (auto &node : world.nodes)
		if (node->alive && node->index != leaver &&
		    (node->domain == world.nodes[(size_t)leaver]->domain) ==
			    own_domain)
			count += knows(world, *node, leaver);
	return count;
}

void finds_every_endpoint(World &world)
{
	start_all(world);
	EXPECT_TRUE(is_settled(world));
	EXPECT_EQ(0, world.wrongly_gone);
}

void forgets_a_leaving_endpoint_in_time(World &world)
{
	start_all(world);
	world.leave_node(0);
	world.run(OWN_DOMAIN_MS);
	EXPECT_EQ(0, count_knowing(world, 0, true));
	world.run(ELSEWHERE_MS - OWN_DOMAIN_MS);
	EXPECT_EQ(0, count_knowing(world, 0, false));
	world.run(HEALED_MS);
	EXPECT_EQ(0, count_knowing(world, 0, true));
	EXPECT_EQ(0, world.wrongly_gone);
}

void forgets_a_vanished_endpoint_after_its_lease(World &world)
{
	start_all(world);
	world.kill_node(0);
	world.run(LEASE_MS + OWN_DOMAIN_MS);
	EXPECT_EQ(0, count_knowing(world, 0, true));
	world.run(ELSEWHERE_MS - OWN_DOMAIN_MS);
	EXPECT_EQ(0, count_knowing(world, 0, false));
	EXPECT_EQ(0, world.wrongly_gone);
}

void takes_a_restarted_endpoint_back(World &world)
{
	start_all(world);
	world.kill_node(0);
	world.run((uint64_t)world.random(8000));
	world.start_node(0);
	world.run(ELSEWHERE_MS);
	EXPECT_TRUE(is_settled(world));
}

void forgets_nothing_when_all_registrars_restart(World &world)
{
	size_t i;

	start_all(world);
	for (i = 0; i < world.registrars.size(); i++)
		world.kill_registrar((int)i);
	world.run((uint64_t)world.random(60000));
	EXPECT_TRUE(is_settled(world));
	for (i = 0; i < world.registrars.size(); i++)
		world.start_registrar((int)i);
	world.run(HEALED_MS);
	EXPECT_TRUE(is_settled(world));
	EXPECT_EQ(0, world.wrongly_gone);
}

void forgets_nothing_when_one_registrar_is_lost(World &world)
{
	start_all(world);
	world.kill_registrar(0);
	world.run(HEALED_MS);
	EXPECT_TRUE(is_settled(world));
	world.start_registrar(0);
	world.run(HEALED_MS);
	EXPECT_TRUE(is_settled(world));
	EXPECT_EQ(0, world.wrongly_gone);
}

void keeps_a_cut_off_domain(World &world)
{
	start_all(world);
	world.cut_domains.insert(2);
	world.run(60000);
	for (auto &node : world.nodes)
		EXPECT_EQ(NODES, (int)node->view.size());
	world.leave_node(2);
	world.patch();
	world.run(OWN_DOMAIN_MS);
	EXPECT_EQ(0, count_knowing(world, 2, true));
	EXPECT_NE(0, count_knowing(world, 2, false));
	world.cut_domains.clear();
	world.run(HEALED_MS);
	EXPECT_TRUE(is_settled(world));
	EXPECT_EQ(0, world.wrongly_gone);
}

/* All registrars of a cut-off domain restart, and a node too. */
void finds_the_newest_version_when_cut_off(World &world)
{
	uint64_t newest = 0;

	start_all(world);
	world.patch();
	world.run((uint64_t)world.random(1500));
	world.cut_domains.insert(2);
	world.run((uint64_t)world.random(8000));
	for (auto &node : world.nodes)
		if (node->domain == 2)
			newest = MAX(newest, node->version);
	world.kill_registrar(4);
	world.kill_registrar(5);
	/* The node that restarts is not the only one that has it. */
	if (world.nodes[5]->version == newest)
		world.kill_node(2);
	world.start_registrar(4);
	world.start_registrar(5);
	world.start_node(2);
	world.run(HEALED_MS);
	for (auto &node : world.nodes)
		if (node->domain == 2) {
			EXPECT_EQ(newest, node->version);
			EXPECT_TRUE(node->member.config_confirmed);
		}
}

/* A random event of those that may come at any moment. */
void disturb(World &world)
{
	int node = world.random(NODES);
	int registrar = world.random((int)world.registrars.size());

	switch (world.random(10)) {
	case 0:
		world.leave_node(node);
		break;
	case 1:
		world.kill_node(node);
		break;
	case 2:
	case 3:
		world.start_node(node);
		break;
	case 4:
		world.kill_registrar(registrar);
		break;
	case 5:
		world.start_registrar(registrar);
		break;
	case 6:
		world.cut_domains.insert(world.random(DOMAINS));
		break;
	case 7:
		world.cut_domains.clear();
		break;
	case 8:
		world.nodes[(size_t)node]->cut =
			!world.nodes[(size_t)node]->cut;
		break;
	default:
		world.patch();
		break;
	}
}

void heal(World &world)
{
	size_t i;

	world.faults = Faults();
	world.cut_domains.clear();
	for (auto &node : world.nodes)
		node->cut = false;
	for (i = 0; i < world.registrars.size(); i++)
		world.start_registrar((int)i);
}

/* Disturbs the world and lets it heal; checks what must hold then. */
void explore(World &world)
{
	int i, gone;

	world.faults = {10, 10, 10};
	start_all(world);
	for (i = 0; i < 25; i++) {
		disturb(world);
		world.run((uint64_t)world.random(3000));
	}
	heal(world);
	world.run(HEALED_MS);
	EXPECT_TRUE(is_settled(world));
	gone = world.wrongly_gone;
	world.run(HEALED_MS);
	EXPECT_EQ(gone, world.wrongly_gone) << "flapping after healing";
	EXPECT_TRUE(is_settled(world));
	for (auto &node : world.nodes)
		EXPECT_EQ(0, node->fallen);
}

/* Renewals in the fullest tenth of a second since a time. */
int peak_renewals(const World &world, uint64_t since_ms)
{
	int peak = 0;

	for (auto &entry : world.renewals_at)
		if (entry.first * 100 >= since_ms)
			peak = MAX(peak, entry.second);
	return peak;
}

/* All registrars return after a long time: the nodes come one by one. */
TEST(MembershipStorm, RenewalsStaySpread)
{
	constexpr int MANY = 120;
	World world(1, 1, PER_DOMAIN, MANY);
	uint64_t healed_ms;

	start_all(world);
	world.kill_registrar(0);
	world.kill_registrar(1);
	world.run(60000);
	healed_ms = world.now;
	world.start_registrar(0);
	world.start_registrar(1);
	world.run(HEALED_MS);
	RecordProperty("peak_renewals", peak_renewals(world, healed_ms));
	/* Without jitter, all of them would come in one tenth of a second. */
	EXPECT_LE(peak_renewals(world, healed_ms), MANY / 2);
	EXPECT_TRUE(is_settled(world));
}

/*
 * Nodes lease at two of four registrars, and at others while one of those is
 * away. The leases that they leave behind run out and must end nothing.
 */
TEST(MembershipMove, LeavesNoEndpointGone)
{
	constexpr int FOUR = 4;

	for (uint32_t seed = 1; seed <= 50; seed++) {
		World world(seed, 1, FOUR, NODES);

		SCOPED_TRACE(seed);
		start_all(world);
		for (int i = 0; i < FOUR; i++) {
			world.kill_registrar(i);
			world.run(4 * LEASE_MS);
			world.start_registrar(i);
			world.run(4 * LEASE_MS);
		}
		ASSERT_EQ(0, world.wrongly_gone);
		ASSERT_TRUE(is_settled(world));
	}
}

struct Scenario {
	const char *name;
	void (*run)(World &world);
	uint32_t seeds;
};

const Scenario SCENARIOS[] = {
	{"FindsEveryEndpoint", finds_every_endpoint, 100},
	{"ForgetsALeavingEndpointInTime", forgets_a_leaving_endpoint_in_time,
	 100},
	{"ForgetsAVanishedEndpointAfterItsLease",
	 forgets_a_vanished_endpoint_after_its_lease, 100},
	{"TakesARestartedEndpointBack", takes_a_restarted_endpoint_back, 100},
	{"ForgetsNothingWhenAllRegistrarsRestart",
	 forgets_nothing_when_all_registrars_restart, 50},
	{"ForgetsNothingWhenOneRegistrarIsLost",
	 forgets_nothing_when_one_registrar_is_lost, 50},
	{"KeepsACutOffDomain", keeps_a_cut_off_domain, 100},
	{"FindsTheNewestVersionWhenCutOff",
	 finds_the_newest_version_when_cut_off, 100},
	{"ConvergesAfterAnything", explore, 500},
};

class Membership : public testing::TestWithParam<Scenario>
{
};

TEST_P(Membership, Holds)
{
	uint32_t seed;

	for (seed = 1; seed <= GetParam().seeds; seed++) {
		World world(seed, DOMAINS, PER_DOMAIN, NODES);

		SCOPED_TRACE(seed);
		GetParam().run(world);
		if (HasFailure())
			break;
	}
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Membership, testing::ValuesIn(SCENARIOS),
			 [](const testing::TestParamInfo<Scenario> &test) {
				 return test.param.name;
			 });

/* Faults that a check must find. */

int ignore_gone(const ql_record_version_t *a, const ql_record_version_t *b)
{
	if (a->state == QL_RPC_ENDPOINT_GONE)
		return -1;
	return ql_membership_rules.compare(a, b);
}

int prefer_old_incarnation(const ql_record_version_t *a,
			   const ql_record_version_t *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? 1 : -1;
	return ql_membership_rules.compare(a, b);
}

bool always_warm(uint64_t started_ms, uint64_t warm_up_ms, uint64_t now_ms)
{
	(void)started_ms;
	(void)warm_up_ms;
	(void)now_ms;
	return true;
}

struct Fault {
	const char *name;
	ql_membership_rules_t rules;
	void (*run)(World &world);
};

const Fault FAULTS[] = {
	{"TombstoneIgnored",
	 {ignore_gone, ql_membership_rules.is_warm},
	 explore},
	{"OldIncarnationWins",
	 {prefer_old_incarnation, ql_membership_rules.is_warm},
	 explore},
	{"ColdRegistrarTrusted",
	 {ql_membership_rules.compare, always_warm},
	 forgets_nothing_when_all_registrars_restart},
};

class MembershipFault : public testing::TestWithParam<Fault>
{
};

/* The seed that finds the fault, or 0. */
uint32_t find_fault(const Fault &fault)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		testing::TestPartResultArray failures;
		{
			testing::ScopedFakeTestPartResultReporter reporter(
				testing::ScopedFakeTestPartResultReporter::
					INTERCEPT_ONLY_CURRENT_THREAD,
				&failures);
			World world(seed, DOMAINS, PER_DOMAIN, NODES,
				    &fault.rules);

			fault.run(world);
		}
		if (failures.size())
			return seed;
	}
	return 0;
}

TEST_P(MembershipFault, IsFound)
{
	uint32_t seed = find_fault(GetParam());

	EXPECT_NE(0u, seed);
	RecordProperty("seed", (int)seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, MembershipFault, testing::ValuesIn(FAULTS),
			 [](const testing::TestParamInfo<Fault> &test) {
				 return test.param.name;
			 });

} // namespace
