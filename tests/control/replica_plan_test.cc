#include "control/replica_plan.h"

#include <gtest/gtest.h>

#include <cstring>

namespace
{

const uint32_t dead_ticks = 60, forget_ticks = 1200;

struct Member {
	uint64_t id;
	const char *address;
	bool voter;
	uint64_t match;
	uint32_t silent;
};

struct Case {
	const char *name;
	std::vector<Member> members;
	bool any;
	ql_replica_change_kind kind;
	uint64_t id;
};

class PlanCase : public testing::TestWithParam<Case>
{
};

TEST_P(PlanCase, Next)
{
	const Case &c = GetParam();
	std::vector<ql_replica_peer_t> members(c.members.size());
	ql_replica_change_t change = {};
	ql_replica_plan_t plan = {};

	for (size_t i = 0; i < members.size(); i++) {
		members[i].id = c.members[i].id;
		members[i].voter = c.members[i].voter;
		members[i].match = c.members[i].match;
		members[i].silent_ticks = c.members[i].silent;
		strcpy(members[i].address, c.members[i].address);
	}
	plan.target_voters = 3;
	plan.dead_after_ticks = dead_ticks;
	plan.remove_learner_after_ticks = forget_ticks;
	plan.self = 1;
	plan.commit = 10;
	plan.members = members.data();
	plan.n_members = members.size();
	ASSERT_EQ(ql_replica_plan_next(&plan, &change), c.any);
	if (!c.any)
		return;
	EXPECT_EQ(change.kind, c.kind);
	EXPECT_EQ(change.id, c.id);
}

const Member a = {1, "a", true, 10, 0}, b = {2, "b", true, 10, 0},
	     c = {3, "c", true, 10, 0}, dead_c = {3, "c", true, 10, 60},
	     d = {4, "d", false, 10, 0}, new_c = {5, "c", false, 10, 0};

INSTANTIATE_TEST_SUITE_P(
	Members, PlanCase,
	testing::Values(
		Case{"Settled", {a, b, c}, false, QL_REPLICA_REMOVE, 0},
		Case{"SpareLearnerStays",
		     {a, b, c, d},
		     false,
		     QL_REPLICA_REMOVE,
		     0},
		Case{"TooFewVoters", {a, b, d}, true, QL_REPLICA_PROMOTE, 4},
		Case{"LearnerLags",
		     {a, b, {4, "d", false, 9, 0}},
		     false,
		     QL_REPLICA_PROMOTE,
		     0},
		Case{"LearnerSilent",
		     {a, b, {4, "d", false, 10, 60}},
		     false,
		     QL_REPLICA_PROMOTE,
		     0},
		Case{"LearnerForgotten",
		     {a, b, c, {4, "d", false, 10, 1200}},
		     true,
		     QL_REPLICA_REMOVE,
		     4},
		Case{"DeadVoterIsOutvotedFirst",
		     {a, b, dead_c, d},
		     true,
		     QL_REPLICA_PROMOTE,
		     4},
		Case{"ThenRemoved",
		     {a, b, dead_c, {4, "d", true, 10, 0}},
		     true,
		     QL_REPLICA_REMOVE,
		     3},
		Case{"DeadVoterWithoutSuccessorStays",
		     {a, b, dead_c},
		     false,
		     QL_REPLICA_REMOVE,
		     0},
		Case{"LostDiskIsSuperseded",
		     {a, b, c, new_c},
		     true,
		     QL_REPLICA_REMOVE,
		     3},
		Case{"FourLiveVotersStay",
		     {a, b, c, {4, "d", true, 10, 0}},
		     false,
		     QL_REPLICA_REMOVE,
		     0}),
	[](const auto &member) { return member.param.name; });

} // namespace
