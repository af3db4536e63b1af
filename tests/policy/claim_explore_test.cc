#include "claim_simulation.h"

#include <gtest/gtest.h>

using claim_test::ClaimSimulation;
using claim_test::Options;

namespace
{

constexpr uint32_t kSeeds = 6000;
constexpr int kScheduleBytes = 600;

std::string RandomSchedule(uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	std::string schedule;

	for (int i = 0; i < kScheduleBytes; i++)
		schedule += (char)g_rand_int_range(random, 0, 256);
	g_rand_free(random);
	return schedule;
}

struct KeeperLayout {
	const char *name;
	Options options;
};

class ClaimExplore : public testing::TestWithParam<KeeperLayout>
{
};

/*
 * No random schedule violates a guarantee, and together they reach every result
 * except that keepers are full.
 */
TEST_P(ClaimExplore, FindsNoViolation)
{
	int runs = 0, reported_not_run = 0;
	int results[QL_CLAIM_TIMED_OUT + 1] = {};

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		ClaimSimulation simulation(GetParam().options);

		simulation.RunSchedule(RandomSchedule(seed));
		ASSERT_EQ("", simulation.FindViolation()) << "seed " << seed;
		runs += simulation.total.runs;
		reported_not_run += simulation.total.reported_not_run;
		for (int i = 0; i <= QL_CLAIM_TIMED_OUT; i++)
			results[i] += simulation.total.results[i];
	}
	EXPECT_GT(runs, 0);
	EXPECT_GT(reported_not_run, 0);
	for (int i = QL_CLAIM_WON; i <= QL_CLAIM_TIMED_OUT; i++)
		EXPECT_TRUE(results[i] > 0 || i == QL_CLAIM_KEEPERS_FULL)
			<< "result " << i;
}

const KeeperLayout keeper_layouts[] = {
	{"three", {}},
	{"five", {&ql_claim_rules, 5, {31}}},
	{"changing", {&ql_claim_rules, 5, {7, 28}}},
};

INSTANTIATE_TEST_SUITE_P(Keepers, ClaimExplore,
			 testing::ValuesIn(keeper_layouts),
			 [](const auto &test) { return test.param.name; });

/* Faulty rules; the simulation must find each fault. */
bool VoteAfterRestart(const ql_keeper_t *, uint64_t)
{
	return true;
}

uint32_t MajorityOfVoted(uint32_t, uint32_t n_voted)
{
	return n_voted / 2 + 1;
}

uint32_t FastQuorumOfMajority(uint32_t n_members)
{
	return n_members / 2 + 1;
}

bool ForfeitedByTimeout(const ql_claim_reply_t *reply)
{
	return reply->note == QL_CLAIM_NOTE_FORFEITED ||
	       reply->age_ms > reply->value.lease_ms;
}

ql_outcome_t NotRunWithoutSeal(ql_claim_result_t result)
{
	if (result == QL_CLAIM_IN_PROGRESS || result == QL_CLAIM_NO_QUORUM)
		return QL_OUTCOME_NOT_RUN;
	return ql_claim_rules.outcome(result);
}

struct Fault {
	const char *name;
	void (*inject)(ql_claim_rules_t *rules);
	const char *violation;
};

class ClaimFault : public testing::TestWithParam<Fault>
{
};

TEST_P(ClaimFault, IsDetected)
{
	ql_claim_rules_t rules = ql_claim_rules;
	Options options;
	uint32_t detecting_seed = 0;

	GetParam().inject(&rules);
	options.rules = &rules;
	for (uint32_t seed = 1; seed <= kSeeds && !detecting_seed; seed++) {
		ClaimSimulation simulation(options);

		simulation.RunSchedule(RandomSchedule(seed));
		if (simulation.FindViolation() == GetParam().violation)
			detecting_seed = seed;
	}
	EXPECT_NE(0u, detecting_seed);
	RecordProperty("seed", (int)detecting_seed);
	if (detecting_seed)
		printf("fault %s: found by seed %u\n", GetParam().name,
		       detecting_seed);
}

const Fault faults[] = {
	{"vote_after_restart",
	 [](ql_claim_rules_t *rules) { rules->may_vote = VoteAfterRestart; },
	 "ran twice"},
	{"majority_of_voted",
	 [](ql_claim_rules_t *rules) { rules->majority = MajorityOfVoted; },
	 "ran twice"},
	{"fast_quorum_of_majority",
	 [](ql_claim_rules_t *rules) {
		 rules->fast_quorum = FastQuorumOfMajority;
	 },
	 "ran twice"},
	{"forfeited_by_timeout",
	 [](ql_claim_rules_t *rules) {
		 rules->is_forfeited = ForfeitedByTimeout;
	 },
	 "ran twice"},
	{"not_run_without_seal",
	 [](ql_claim_rules_t *rules) { rules->outcome = NotRunWithoutSeal; },
	 "ran although reported not run"},
};

INSTANTIATE_TEST_SUITE_P(Known, ClaimFault, testing::ValuesIn(faults),
			 [](const auto &test) { return test.param.name; });

} // namespace
