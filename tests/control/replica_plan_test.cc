#include "control/replica_plan.h"

#include <gtest/gtest.h>

#include <cstring>

namespace
{

const uint32_t DEAD_AFTER_TICKS = 60, REMOVE_LEARNER_AFTER_TICKS = 1200;

struct Member {
	uint64_t id;
	const char *address;
	bool voter;
	uint64_t match;
	uint32_t unanswered_ticks;
};

/* Members at commit index 10, and the change that is expected. */
struct Case {
	const char *name;
	std::vector<Member> members;
	bool has_change;
	ql_replica_change_kind kind;
	uint64_t id;
	size_t target_voters = 3;
};

class ReplicaPlanTest : public testing::TestWithParam<Case>
{
};

TEST_P(ReplicaPlanTest, ChoosesNextChange)
{
	const Case &test = GetParam();
	std::vector<ql_replica_peer_t> members(test.members.size());
	ql_replica_change_t change = {};
	ql_replica_plan_t plan = {};

	for (size_t i = 0; i < members.size(); i++) {
		members[i].id = test.members[i].id;
		members[i].voter = test.members[i].voter;
		members[i].match = test.members[i].match;
		members[i].unanswered_ticks = test.members[i].unanswered_ticks;
		strcpy(members[i].address, test.members[i].address);
	}
	plan.target_voters = test.target_voters;
	plan.dead_after_ticks = DEAD_AFTER_TICKS;
	plan.remove_learner_after_ticks = REMOVE_LEARNER_AFTER_TICKS;
	plan.self = 1;
	plan.commit = 10;
	plan.members = members.data();
	plan.n_members = members.size();
	ASSERT_EQ(ql_replica_plan_next(&plan, &change), test.has_change);
	if (!test.has_change)
		return;
	EXPECT_EQ(change.kind, test.kind);
	EXPECT_EQ(change.id, test.id);
}

const Member a = {1, "a", true, 10, 0}, b = {2, "b", true, 10, 0},
	     c = {3, "c", true, 10, 0}, dead_c = {3, "c", true, 10, 60},
	     d = {4, "d", false, 10, 0}, new_c = {5, "c", false, 10, 0},
	     voting_d = {4, "d", true, 10, 0}, e = {6, "e", true, 10, 0},
	     dead_e = {6, "e", true, 10, 60}, f = {7, "f", false, 10, 0};

INSTANTIATE_TEST_SUITE_P(
	Members, ReplicaPlanTest,
	testing::Values(
		Case{"KeepsEnoughLiveVoters",
		     {a, b, c},
		     false,
		     QL_REPLICA_REMOVE,
		     0},
		Case{"KeepsSpareLearner",
		     {a, b, c, d},
		     false,
		     QL_REPLICA_REMOVE,
		     0},
		Case{"PromotesLearnerWhenVotersAreMissing",
		     {a, b, d},
		     true,
		     QL_REPLICA_PROMOTE,
		     4},
		Case{"DoesNotPromoteLaggingLearner",
		     {a, b, {4, "d", false, 9, 0}},
		     false,
		     QL_REPLICA_PROMOTE,
		     0},
		Case{"DoesNotPromoteSilentLearner",
		     {a, b, {4, "d", false, 10, 60}},
		     false,
		     QL_REPLICA_PROMOTE,
		     0},
		Case{"RemovesSilentLearner",
		     {a, b, c, {4, "d", false, 10, 1200}},
		     true,
		     QL_REPLICA_REMOVE,
		     4},
		Case{"PromotesBeforeRemovingDeadVoter",
		     {a, b, dead_c, d},
		     true,
		     QL_REPLICA_PROMOTE,
		     4},
		Case{"RemovesDeadVoterAfterPromotion",
		     {a, b, dead_c, {4, "d", true, 10, 0}},
		     true,
		     QL_REPLICA_REMOVE,
		     3},
		Case{"KeepsDeadVoterWithoutReplacement",
		     {a, b, dead_c},
		     false,
		     QL_REPLICA_REMOVE,
		     0},
		Case{"RemovesMemberReplacedAtItsAddress",
		     {a, b, c, new_c},
		     true,
		     QL_REPLICA_REMOVE,
		     3},
		/* A voter lost for good, and a machine at a new address. */
		Case{"PromotesSuccessorAtAnotherAddress",
		     {b, a, dead_c, f},
		     true,
		     QL_REPLICA_PROMOTE,
		     7},
		Case{"RemovesLostVoterAfterItsSuccessorVotes",
		     {b, a, dead_c, {7, "f", true, 10, 0}},
		     true,
		     QL_REPLICA_REMOVE,
		     3},
		Case{"KeepsLostVoterThatReturnsBeforeThePromotion",
		     {b, a, c, f},
		     false,
		     QL_REPLICA_REMOVE,
		     0},
		Case{"PromotesUpToFiveVoters",
		     {a, b, c, d, f},
		     true,
		     QL_REPLICA_PROMOTE,
		     4,
		     5},
		Case{"ReplacesOneOfTwoLostVotersAtATime",
		     {a, b, dead_c, voting_d, dead_e, f},
		     true,
		     QL_REPLICA_PROMOTE,
		     7,
		     5},
		Case{"RemovesOneOfTwoLostVotersAtATime",
		     {a, b, dead_c, voting_d, dead_e, {7, "f", true, 10, 0}},
		     true,
		     QL_REPLICA_REMOVE,
		     3,
		     5},
		Case{"KeepsFiveLiveVoters",
		     {a, b, c, voting_d, e, f},
		     false,
		     QL_REPLICA_REMOVE,
		     0,
		     5},
		Case{"KeepsFourLiveVoters",
		     {a, b, c, {4, "d", true, 10, 0}},
		     false,
		     QL_REPLICA_REMOVE,
		     0}),
	[](const auto &test) { return test.param.name; });

} // namespace
