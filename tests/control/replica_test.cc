#include "control/replica_simulation.h"

#include <gtest/gtest.h>

namespace
{

const size_t SCHEDULE_BYTES = 1200;
const uint32_t N_SEEDS = 800;

class Exploration : public testing::TestWithParam<size_t>
{
};

TEST_P(Exploration, NoScheduleBreaksAPromise)
{
	size_t n_accepted = 0, n_reads = 0;

	for (uint32_t seed = 1; seed <= N_SEEDS; seed++) {
		ReplicaSimulation simulation(GetParam());

		simulation.run(random_schedule(seed, SCHEDULE_BYTES));
		ASSERT_EQ("", simulation.violation) << "seed " << seed;
		n_accepted += simulation.n_accepted;
		n_reads += simulation.n_reads;
	}
	/* The schedules reach what they are meant to reach. */
	EXPECT_LT(N_SEEDS, n_accepted);
	EXPECT_LT(N_SEEDS / 2, n_reads);
}

INSTANTIATE_TEST_SUITE_P(Replicas, Exploration, testing::Values(3, 5, 7),
			 testing::PrintToStringParamName());

/* Ticks that make a replica campaign exactly once. */
const uint8_t CAMPAIGN = 10;

/* No replica knows of a leader, and no message is under way. */
const std::vector<SimulationStep> ALL_RESTARTED = {
	{OP_CRASH, 0, 1},   {OP_CRASH, 1, 1},	{OP_CRASH, 2, 1},
	{OP_ROUNDS, 0, 0},  {OP_RESTART, 0, 0}, {OP_RESTART, 1, 0},
	{OP_RESTART, 2, 0},
};

Schedule after_restart(std::vector<SimulationStep> steps)
{
	steps.insert(steps.begin(), ALL_RESTARTED.begin(), ALL_RESTARTED.end());
	return make_schedule(steps);
}

/* Both 0 and 1 are candidates; 2 votes for 0, restarts, and is asked by 1. */
Schedule two_candidates()
{
	return after_restart({
		{OP_TICK, 0, CAMPAIGN},
		{OP_TICK, 1, CAMPAIGN},
		/* Pre-votes 0 to 1, 0 to 2, 1 to 0, 1 to 2. */
		{OP_DROP, 0, 0},
		{OP_DELIVER, 0, 0},
		{OP_DROP, 0, 0},
		{OP_DELIVER, 0, 0},
		/* Both answers of 2. */
		{OP_DELIVER, 0, 0},
		{OP_DELIVER, 0, 0},
		/* Requests for votes 0 to 1, 0 to 2, 1 to 0, 1 to 2. */
		{OP_WRITE, 0, 0},
		{OP_WRITE, 1, 0},
		{OP_DROP, 0, 0},
		{OP_DELIVER, 0, 0},
		{OP_WRITE, 2, 0},
		{OP_DROP, 0, 0},
		/* The vote of 2 for 0, which leads now. */
		{OP_DELIVER, 1, 0},
		{OP_CRASH, 2, 1},
		{OP_RESTART, 2, 0},
		/* The request of 1 to 2, and the answer. */
		{OP_DELIVER, 0, 0},
		{OP_WRITE, 2, 0},
		{OP_DELIVER, 2, 0},
	});
}

/*
 * 0 leads and has an entry alone; 1 leads and has another one alone; 0 leads
 * again, copies its old entry to 2 and is lost; 1 leads again.
 */
Schedule old_entry_on_a_majority()
{
	return after_restart({
		{OP_TICK, 0, CAMPAIGN},
		{OP_ROUNDS, 5, 0},
		{OP_ROUNDS, 5, 0},
		{OP_ISOLATE, 0, 0},
		{OP_PATCH, 0, 1},
		{OP_WRITE, 0, 0},
		{OP_CRASH, 0, 1},
		{OP_CRASH, 2, 1},
		{OP_ROUNDS, 0, 0},
		{OP_RESTART, 2, 0},
		{OP_HEAL, 0, 0},
		{OP_TICK, 1, CAMPAIGN},
		{OP_ROUNDS, 3, 0},
		{OP_WRITE, 1, 0},
		{OP_DROP, 0, 0},
		{OP_DROP, 0, 0},
		{OP_CRASH, 1, 1},
		/* 0 learns the term of 2, then campaigns again. */
		{OP_RESTART, 0, 0},
		{OP_TICK, 0, CAMPAIGN},
		{OP_ROUNDS, 1, 0},
		{OP_TICK, 0, CAMPAIGN},
		{OP_ROUNDS, 3, 0},
		/* 2 refuses what does not fit and takes the old entry. */
		{OP_DROP, 0, 0},
		{OP_DELIVER, 0, 0},
		{OP_DELIVER, 0, 0},
		{OP_DELIVER, 0, 0},
		{OP_WRITE, 2, 0},
		{OP_DELIVER, 0, 0},
		{OP_WRITE, 0, 0},
		{OP_CRASH, 0, 1},
		{OP_CRASH, 2, 1},
		{OP_ROUNDS, 0, 0},
		{OP_RESTART, 1, 0},
		{OP_RESTART, 2, 0},
		{OP_TICK, 1, CAMPAIGN},
		{OP_ROUNDS, 1, 0},
		{OP_TICK, 1, CAMPAIGN},
		{OP_ROUNDS, 5, 0},
		{OP_RUN, 15, 0},
	});
}

struct KnownFault {
	Fault fault;
	size_t n_replicas;
	Schedule schedule;
	/* Part of what is found. */
	const char *violation;
};

class KnownFaults : public testing::TestWithParam<KnownFault>
{
};

TEST_P(KnownFaults, AreFound)
{
	ReplicaSimulation simulation(GetParam().n_replicas, GetParam().fault);

	simulation.run(GetParam().schedule);
	EXPECT_NE(std::string::npos,
		  simulation.violation.find(GetParam().violation))
		<< simulation.violation << simulation.describe();
}

TEST_P(KnownFaults, AreNotSeenWithoutTheFault)
{
	ReplicaSimulation simulation(GetParam().n_replicas);

	simulation.run(GetParam().schedule);
	EXPECT_EQ("", simulation.violation);
}

INSTANTIATE_TEST_SUITE_P(
	Schedules, KnownFaults,
	testing::Values(
		KnownFault{Fault::SYNC_LEFT_OUT, 3,
			   make_schedule({{OP_PATCH, 128, 1},
					  {OP_RUN, 15, 0},
					  {OP_CRASH, 0, 1},
					  {OP_RESTART, 0, 0}}),
			   "comes back without what it had synced"},
		KnownFault{Fault::VOTE_NOT_STORED, 3, two_candidates(),
			   "two leaders in term"},
		KnownFault{Fault::COMMIT_OF_AN_OLD_TERM_BY_COUNT, 3,
			   old_entry_on_a_majority(), "applies another entry"},
		KnownFault{Fault::EMPTY_DISK_VOTES,
			   3,
			   {188, 211, 170, 167, 196, 191, 247, 139, 121, 166,
			    185, 125, 47, 221, 187, 188, 240, 107},
			   "two leaders in term"},
		KnownFault{Fault::SECOND_CHANGE_BEFORE_THE_FIRST_SETTLED,
			   3,
			   {18, 168, 247, 247, 119, 98, 221, 117, 106, 78, 182,
			    82, 231, 189, 175, 246, 63, 157},
			   "applies another entry"}),
	[](const testing::TestParamInfo<KnownFault> &test) {
		return std::string(fault_name(test.param.fault));
	});

struct FormerFailure {
	const char *name;
	size_t n_replicas;
	Schedule schedule;
};

class FormerFailures : public testing::TestWithParam<FormerFailure>
{
};

TEST_P(FormerFailures, DoNotReturn)
{
	ReplicaSimulation simulation(GetParam().n_replicas);

	simulation.run(GetParam().schedule);
	EXPECT_EQ("", simulation.violation);
}

INSTANTIATE_TEST_SUITE_P(
	Schedules, FormerFailures,
	testing::Values(
		/* A leader whose own removal was not committed did not
		 * campaign, and its log was longer than all others. */
		FormerFailure{"RemovedLeaderIsElectedOnceMore",
			      3,
			      {255, 168, 46, 191, 45,  250, 142, 233, 88,  193,
			       219, 255, 8,  247, 177, 248, 178, 243, 17,  226,
			       123, 252, 47, 143, 223, 133, 1,	 251, 174, 115,
			       148, 75,	 24, 230, 180, 62,  247, 29,  179}},
		/* A crash between a snapshot far ahead of the log and the file
		 * behind it left a log with a gap. */
		FormerFailure{"SnapshotAheadOfTheLog", 5,
			      random_schedule(934, SCHEDULE_BYTES)},
		/* After a restart the same leader took itself for a learner. */
		FormerFailure{"RemovedLeaderIsElectedAfterARestart", 3,
			      random_schedule(254, SCHEDULE_BYTES)}),
	[](const testing::TestParamInfo<FormerFailure> &test) {
		return std::string(test.param.name);
	});

} // namespace
