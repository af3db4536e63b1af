#include "membership_simulation.h"

#include <gtest/gtest-spi.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace
{

constexpr int DOMAINS = 3;
constexpr int REGISTRARS_PER_DOMAIN = 2;
constexpr int NODES = 9;
/* Guaranteed limits in virtual time. */
constexpr uint64_t OWN_DOMAIN_LIMIT_MS = 3000;
constexpr uint64_t OTHER_DOMAINS_LIMIT_MS = 6000;
constexpr uint64_t CONVERGENCE_LIMIT_MS = 15000;

void start_all(MembershipSimulation &simulation)
{
	size_t i;

	for (i = 0; i < simulation.registrars.size(); i++)
		simulation.start_registrar((int)i);
	for (i = 0; i < simulation.nodes.size(); i++)
		simulation.start_node((int)i);
	simulation.run(CONVERGENCE_LIMIT_MS);
}

std::string join(const std::set<std::string> &names)
{
	std::string out;

	for (auto &name : names)
		out += name + ", ";
	return out;
}

/*
 * Returns whether every node has exactly the endpoints that serve, and the
 * latest version.
 */
testing::AssertionResult is_converged(const MembershipSimulation &simulation)
{
	for (auto &node : simulation.nodes) {
		std::set<std::string> expected =
			simulation.expected_endpoints(*node);
		std::set<std::string> known = simulation.known_endpoints(*node);

		if (!node->is_running)
			continue;
		if (known != expected)
			return testing::AssertionFailure()
			       << "node " << node->index << " has "
			       << join(known) << "instead of "
			       << join(expected);
		if (node->version != simulation.leader_config.doc->version)
			return testing::AssertionFailure()
			       << "node " << node->index << " at version "
			       << node->version;
	}
	return testing::AssertionSuccess();
}

bool has_endpoint(const MembershipSimulation &simulation,
		  const SimulatedNode &at, int stopped)
{
	const SimulatedNode &node = *simulation.nodes[(size_t)stopped];
	auto found = at.endpoints.find(node.service + " " + node.gate);

	return found != at.endpoints.end() && found->second <= node.incarnation;
}

int count_with_endpoint(const MembershipSimulation &simulation, int stopped,
			bool own_domain)
{
	int count = 0;

	for (auto &node : simulation.nodes)
		if (node->is_running && node->index != stopped &&
		    (node->domain ==
		     simulation.nodes[(size_t)stopped]->domain) == own_domain)
			count += has_endpoint(simulation, *node, stopped);
	return count;
}

void sends_every_endpoint(MembershipSimulation &simulation)
{
	start_all(simulation);
	EXPECT_TRUE(is_converged(simulation));
	EXPECT_EQ(0, simulation.wrongly_removed);
}

void removes_leaving_endpoint_in_time(MembershipSimulation &simulation)
{
	start_all(simulation);
	simulation.drain_node(0);
	simulation.run(OWN_DOMAIN_LIMIT_MS);
	EXPECT_EQ(0, count_with_endpoint(simulation, 0, true));
	simulation.run(OTHER_DOMAINS_LIMIT_MS - OWN_DOMAIN_LIMIT_MS);
	EXPECT_EQ(0, count_with_endpoint(simulation, 0, false));
	simulation.run(CONVERGENCE_LIMIT_MS);
	EXPECT_EQ(0, count_with_endpoint(simulation, 0, true));
	EXPECT_EQ(0, simulation.wrongly_removed);
}

void removes_killed_endpoint_after_its_lease(MembershipSimulation &simulation)
{
	start_all(simulation);
	simulation.kill_node(0);
	simulation.run(LEASE_MS + OWN_DOMAIN_LIMIT_MS);
	EXPECT_EQ(0, count_with_endpoint(simulation, 0, true));
	simulation.run(OTHER_DOMAINS_LIMIT_MS - OWN_DOMAIN_LIMIT_MS);
	EXPECT_EQ(0, count_with_endpoint(simulation, 0, false));
	EXPECT_EQ(0, simulation.wrongly_removed);
}

void adds_restarted_endpoint_again(MembershipSimulation &simulation)
{
	start_all(simulation);
	simulation.kill_node(0);
	simulation.run((uint64_t)simulation.random(8000));
	simulation.start_node(0);
	simulation.run(OTHER_DOMAINS_LIMIT_MS);
	EXPECT_TRUE(is_converged(simulation));
}

void keeps_endpoints_when_all_registrars_restart(
	MembershipSimulation &simulation)
{
	size_t i;

	start_all(simulation);
	for (i = 0; i < simulation.registrars.size(); i++)
		simulation.kill_registrar((int)i);
	simulation.run((uint64_t)simulation.random(60000));
	EXPECT_TRUE(is_converged(simulation));
	for (i = 0; i < simulation.registrars.size(); i++)
		simulation.start_registrar((int)i);
	simulation.run(CONVERGENCE_LIMIT_MS);
	EXPECT_TRUE(is_converged(simulation));
	EXPECT_EQ(0, simulation.wrongly_removed);
}

void keeps_endpoints_when_one_registrar_fails(MembershipSimulation &simulation)
{
	start_all(simulation);
	simulation.kill_registrar(0);
	simulation.run(CONVERGENCE_LIMIT_MS);
	EXPECT_TRUE(is_converged(simulation));
	simulation.start_registrar(0);
	simulation.run(CONVERGENCE_LIMIT_MS);
	EXPECT_TRUE(is_converged(simulation));
	EXPECT_EQ(0, simulation.wrongly_removed);
}

void keeps_endpoints_of_partitioned_domain(MembershipSimulation &simulation)
{
	start_all(simulation);
	simulation.cut_domains.insert(2);
	simulation.run(60000);
	for (auto &node : simulation.nodes)
		EXPECT_EQ(NODES, (int)node->endpoints.size());
	simulation.drain_node(2);
	simulation.submit_patch();
	simulation.run(OWN_DOMAIN_LIMIT_MS);
	EXPECT_EQ(0, count_with_endpoint(simulation, 2, true));
	EXPECT_NE(0, count_with_endpoint(simulation, 2, false));
	simulation.cut_domains.clear();
	simulation.run(CONVERGENCE_LIMIT_MS);
	EXPECT_TRUE(is_converged(simulation));
	EXPECT_EQ(0, simulation.wrongly_removed);
}

/* All registrars of a partitioned domain restart, and one node as well. */
void finds_newest_version_when_partitioned(MembershipSimulation &simulation)
{
	uint64_t newest = 0;

	start_all(simulation);
	simulation.submit_patch();
	simulation.run((uint64_t)simulation.random(1500));
	simulation.cut_domains.insert(2);
	simulation.run((uint64_t)simulation.random(8000));
	for (auto &node : simulation.nodes)
		if (node->domain == 2)
			newest = MAX(newest, node->version);
	simulation.kill_registrar(4);
	simulation.kill_registrar(5);
	/* Restart the node only if another one has the newest version, too. */
	if (simulation.nodes[5]->version == newest)
		simulation.kill_node(2);
	simulation.start_registrar(4);
	simulation.start_registrar(5);
	simulation.start_node(2);
	simulation.run(CONVERGENCE_LIMIT_MS);
	for (auto &node : simulation.nodes)
		if (node->domain == 2) {
			EXPECT_EQ(newest, node->version);
			EXPECT_TRUE(node->member.config_confirmed);
		}
}

/* Injects a random fault, or ends one. */
void inject_fault(MembershipSimulation &simulation)
{
	int node = simulation.random(NODES);
	int registrar = simulation.random((int)simulation.registrars.size());

	switch (simulation.random(10)) {
	case 0:
		simulation.drain_node(node);
		break;
	case 1:
		simulation.kill_node(node);
		break;
	case 2:
	case 3:
		simulation.start_node(node);
		break;
	case 4:
		simulation.kill_registrar(registrar);
		break;
	case 5:
		simulation.start_registrar(registrar);
		break;
	case 6:
		simulation.cut_domains.insert(simulation.random(DOMAINS));
		break;
	case 7:
		simulation.cut_domains.clear();
		break;
	case 8:
		simulation.nodes[(size_t)node]->is_cut =
			!simulation.nodes[(size_t)node]->is_cut;
		break;
	default:
		simulation.submit_patch();
		break;
	}
}

void end_faults(MembershipSimulation &simulation)
{
	size_t i;

	simulation.faults = MessageFaults();
	simulation.cut_domains.clear();
	for (auto &node : simulation.nodes)
		node->is_cut = false;
	for (i = 0; i < simulation.registrars.size(); i++)
		simulation.start_registrar((int)i);
}

/* Injects random faults, ends them, and checks that the nodes converge. */
void converges_after_random_faults(MembershipSimulation &simulation)
{
	int i, wrongly_removed_before;

	simulation.faults = {10, 10, 10};
	start_all(simulation);
	for (i = 0; i < 25; i++) {
		inject_fault(simulation);
		simulation.run((uint64_t)simulation.random(3000));
	}
	end_faults(simulation);
	simulation.run(CONVERGENCE_LIMIT_MS);
	EXPECT_TRUE(is_converged(simulation));
	wrongly_removed_before = simulation.wrongly_removed;
	simulation.run(CONVERGENCE_LIMIT_MS);
	EXPECT_EQ(wrongly_removed_before, simulation.wrongly_removed)
		<< "endpoints were removed after convergence";
	EXPECT_TRUE(is_converged(simulation));
	for (auto &node : simulation.nodes)
		EXPECT_EQ(0, node->version_decreases);
}

/* Returns the most renewals within 100 ms since a time. */
int peak_renewals(const MembershipSimulation &simulation, uint64_t since_ms)
{
	int peak = 0;

	for (auto &entry : simulation.renewals_per_100_ms)
		if (entry.first * 100 >= since_ms)
			peak = MAX(peak, entry.second);
	return peak;
}

/* All registrars return after 60 s: the renewals of the nodes stay spread. */
TEST(MembershipStorm, SpreadsRenewalsAfterOutage)
{
	constexpr int N_NODES = 120;
	MembershipSimulation simulation(1, 1, REGISTRARS_PER_DOMAIN, N_NODES);
	uint64_t restart_ms;

	start_all(simulation);
	simulation.kill_registrar(0);
	simulation.kill_registrar(1);
	simulation.run(60000);
	restart_ms = simulation.now_ms;
	simulation.start_registrar(0);
	simulation.start_registrar(1);
	simulation.run(CONVERGENCE_LIMIT_MS);
	RecordProperty("peak_renewals", peak_renewals(simulation, restart_ms));
	/* Without jitter, all renewals would come within 100 ms. */
	EXPECT_LE(peak_renewals(simulation, restart_ms), N_NODES / 2);
	EXPECT_TRUE(is_converged(simulation));
}

/*
 * Nodes renew at two of four registrars, and at another one while one of these
 * is down. The leases at registrars that they no longer use expire, which must
 * not mark any endpoint as gone.
 */
TEST(MembershipMove, KeepsEndpointsAtNewRegistrars)
{
	constexpr int N_REGISTRARS = 4;

	for (uint32_t seed = 1; seed <= 50; seed++) {
		MembershipSimulation simulation(seed, 1, N_REGISTRARS, NODES);

		SCOPED_TRACE(seed);
		start_all(simulation);
		for (int i = 0; i < N_REGISTRARS; i++) {
			simulation.kill_registrar(i);
			simulation.run(4 * LEASE_MS);
			simulation.start_registrar(i);
			simulation.run(4 * LEASE_MS);
		}
		ASSERT_EQ(0, simulation.wrongly_removed);
		ASSERT_TRUE(is_converged(simulation));
	}
}

struct Scenario {
	const char *name;
	void (*run)(MembershipSimulation &simulation);
	uint32_t seeds;
};

const Scenario SCENARIOS[] = {
	{"SendsEveryEndpoint", sends_every_endpoint, 100},
	{"RemovesLeavingEndpointInTime", removes_leaving_endpoint_in_time, 100},
	{"RemovesKilledEndpointAfterItsLease",
	 removes_killed_endpoint_after_its_lease, 100},
	{"AddsRestartedEndpointAgain", adds_restarted_endpoint_again, 100},
	{"KeepsEndpointsWhenAllRegistrarsRestart",
	 keeps_endpoints_when_all_registrars_restart, 50},
	{"KeepsEndpointsWhenOneRegistrarFails",
	 keeps_endpoints_when_one_registrar_fails, 50},
	{"KeepsEndpointsOfPartitionedDomain",
	 keeps_endpoints_of_partitioned_domain, 100},
	{"FindsNewestVersionWhenPartitioned",
	 finds_newest_version_when_partitioned, 100},
	{"ConvergesAfterRandomFaults", converges_after_random_faults, 500},
};

class Membership : public testing::TestWithParam<Scenario>
{
};

TEST_P(Membership, Holds)
{
	uint32_t seed;

	for (seed = 1; seed <= GetParam().seeds; seed++) {
		MembershipSimulation simulation(seed, DOMAINS,
						REGISTRARS_PER_DOMAIN, NODES);

		SCOPED_TRACE(seed);
		GetParam().run(simulation);
		if (HasFailure())
			break;
	}
}

INSTANTIATE_TEST_SUITE_P(Scenarios, Membership, testing::ValuesIn(SCENARIOS),
			 [](const testing::TestParamInfo<Scenario> &test) {
				 return test.param.name;
			 });

/* Wrong rules that the checks must detect. */

int ignore_tombstones(const ql_record_version_t *a,
		      const ql_record_version_t *b)
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
	void (*run)(MembershipSimulation &simulation);
};

const Fault FAULTS[] = {
	{"TombstoneIgnored",
	 {ignore_tombstones, ql_membership_rules.is_warm},
	 converges_after_random_faults},
	{"OldIncarnationWins",
	 {prefer_old_incarnation, ql_membership_rules.is_warm},
	 converges_after_random_faults},
	{"ColdRegistrarTrusted",
	 {ql_membership_rules.compare, always_warm},
	 keeps_endpoints_when_all_registrars_restart},
};

class MembershipFault : public testing::TestWithParam<Fault>
{
};

/* Returns the first seed whose checks detect the fault, or 0. */
uint32_t find_detecting_seed(const Fault &fault)
{
	uint32_t seed;

	for (seed = 1; seed <= 100; seed++) {
		testing::TestPartResultArray failures;
		{
			testing::ScopedFakeTestPartResultReporter reporter(
				testing::ScopedFakeTestPartResultReporter::
					INTERCEPT_ONLY_CURRENT_THREAD,
				&failures);
			MembershipSimulation simulation(seed, DOMAINS,
							REGISTRARS_PER_DOMAIN,
							NODES, &fault.rules);

			fault.run(simulation);
		}
		if (failures.size())
			return seed;
	}
	return 0;
}

TEST_P(MembershipFault, IsDetected)
{
	uint32_t seed = find_detecting_seed(GetParam());

	EXPECT_NE(0u, seed);
	RecordProperty("seed", (int)seed);
}

INSTANTIATE_TEST_SUITE_P(Faults, MembershipFault, testing::ValuesIn(FAULTS),
			 [](const testing::TestParamInfo<Fault> &test) {
				 return test.param.name;
			 });

/* What happens between a confirmed withdrawal and the restart of its node. */
struct WithdrawalCase {
	const char *description;
	bool kill_first_registrar;
	bool restart_registrars_in_turn;
	uint64_t down_ms;
	bool domain_cut;
	bool kill_all = false;
	/* The registrars start again with this time between two of them. */
	uint64_t between_starts_ms = 0;
};

class MembershipWithdrawal : public testing::TestWithParam<WithdrawalCase>
{
};

/*
 * An endpoint has left with the confirmation of its node, and the node
 * restarts. Before its gate opens, the node knows again that the endpoint left,
 * so that a late report does not bring it back.
 */
TEST_P(MembershipWithdrawal, IsKnownAgainAfterARestartOfTheNode)
{
	const WithdrawalCase &test = GetParam();

	for (uint32_t seed = 1; seed <= 20; seed++) {
		SCOPED_TRACE(seed);
		MembershipSimulation simulation(seed, DOMAINS,
						REGISTRARS_PER_DOMAIN, NODES);
		SimulatedNode &node = *simulation.nodes[0];
		ql_withdrawal_t left;

		start_all(simulation);
		ASSERT_EQ(1, node.agreements);
		if (test.domain_cut)
			simulation.cut_domains.insert(node.domain);
		ql_withdrawal_init(&left, "i-1", 100, QL_WITHDRAWAL_FINAL);
		ql_member_withdraw(&node.member, &left);
		while (!ql_member_is_withdrawal_saved(&node.member))
			simulation.run(1);
		if (test.restart_registrars_in_turn)
			for (int i = 0; i < REGISTRARS_PER_DOMAIN; i++) {
				simulation.kill_registrar(i);
				simulation.run(RENEW_MS);
				simulation.start_registrar(i);
				simulation.run(2 * LEASE_MS);
			}
		simulation.kill_node(0);
		if (test.kill_first_registrar)
			simulation.kill_registrar(0);
		if (test.kill_all)
			for (int i = 0; i < REGISTRARS_PER_DOMAIN; i++)
				simulation.kill_registrar(i);
		simulation.run(test.down_ms);
		simulation.start_node(0);
		ASSERT_STREQ("", node.withdrawal.instance);
		if (test.kill_all)
			for (int i = 0; i < REGISTRARS_PER_DOMAIN; i++) {
				simulation.start_registrar(i);
				simulation.run(test.between_starts_ms);
			}
		while (!node.agreements)
			simulation.run(1);
		EXPECT_STREQ("i-1", node.withdrawal.instance);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Restarts, MembershipWithdrawal,
	testing::Values(
		WithdrawalCase{"at once", false, false, 1, false},
		WithdrawalCase{"half a second later", false, false, 500, false},
		WithdrawalCase{"lost registrar", true, false, 500, false},
		WithdrawalCase{"restarted registrars", false, true, 500, false},
		WithdrawalCase{"cut domain", false, false, 500, true},
		WithdrawalCase{"all killed", false, false, 800, false, true},
		WithdrawalCase{"all killed and back in turn", false, false, 800,
			       false, true, 300},
		WithdrawalCase{"cut domain killed", false, false, 800, true,
			       true}),
	[](const testing::TestParamInfo<WithdrawalCase> &param_info) {
		std::string name = param_info.param.description;

		std::replace(name.begin(), name.end(), ' ', '_');
		return name;
	});

} // namespace
