#include "control/replica_simulation.h"

#include <gtest/gtest.h>

namespace
{

const size_t SCHEDULE_BYTES = 1200;
const uint32_t N_SEEDS = 800;

struct ExplorationCase {
	const char *name;
	size_t n_replicas;
	DiskFailure disk_failure;
};

class Exploration : public testing::TestWithParam<ExplorationCase>
{
};

TEST_P(Exploration, NoScheduleViolatesAnInvariant)
{
	size_t n_accepted = 0, n_reads = 0, n_proven = 0;

	for (uint32_t seed = 1; seed <= N_SEEDS; seed++) {
		ReplicaSimulation simulation(GetParam().n_replicas, Fault::NONE,
					     GetParam().disk_failure);

		simulation.run(random_schedule(seed, SCHEDULE_BYTES));
		ASSERT_EQ("", simulation.violation) << "seed " << seed;
		n_accepted += simulation.n_accepted;
		n_reads += simulation.n_reads;
		n_proven += simulation.n_proven;
	}
	/* The schedules lead to accepted patches and confirmed reads. */
	EXPECT_LT(N_SEEDS, n_accepted);
	EXPECT_LT(N_SEEDS / 2, n_reads);
	EXPECT_LT(N_SEEDS * 10, n_proven);
}

/* Faults of the proof that a state was the newest, found by random steps. */
class FaultsOfProofs : public testing::TestWithParam<Fault>
{
};

TEST_P(FaultsOfProofs, AreDetected)
{
	size_t n_detected = 0;

	for (uint32_t seed = 1; seed <= N_SEEDS; seed++) {
		ReplicaSimulation simulation(3, GetParam());

		simulation.run(random_schedule(seed, SCHEDULE_BYTES));
		if (simulation.violation.find(
			    "proves that it was the newest") !=
		    std::string::npos)
			n_detected++;
	}
	RecordProperty("detected", (int)n_detected);
	EXPECT_LT(0u, n_detected);
}

INSTANTIATE_TEST_SUITE_P(Replicas, FaultsOfProofs,
			 testing::Values(Fault::TRANSIT_TIME_IGNORED,
					 Fault::CLOCK_READ_EARLY),
			 [](const testing::TestParamInfo<Fault> &test) {
				 return std::string(fault_name(test.param));
			 });

INSTANTIATE_TEST_SUITE_P(
	Replicas, Exploration,
	testing::Values(
		ExplorationCase{"3", 3, DiskFailure::STOPS},
		ExplorationCase{"5", 5, DiskFailure::STOPS},
		ExplorationCase{"7", 7, DiskFailure::STOPS},
		ExplorationCase{"3WithFullDisks", 3, DiskFailure::RETRIES},
		ExplorationCase{"5WithFullDisks", 5, DiskFailure::RETRIES}),
	[](const auto &test) { return std::string(test.param.name); });

/* Ticks after which a replica has campaigned exactly once. */
const uint8_t CAMPAIGN = 10;

/* After these steps no replica has a leader and no message is in flight. */
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

/*
 * Replicas 0 and 1 are candidates. Replica 2 votes for 0, restarts, and gets
 * the vote request of 1.
 */
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
		/* The vote of 2 for 0, which becomes the leader. */
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
 * Replica 0 leads and is the only one with some entry. Replica 1 leads and is
 * the only one with another entry. Replica 0 leads again, replicates its old
 * entry to 2 and crashes. Replica 1 leads again.
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
		/* Replica 0 adopts the term of 2, then campaigns again. */
		{OP_RESTART, 0, 0},
		{OP_TICK, 0, CAMPAIGN},
		{OP_ROUNDS, 1, 0},
		{OP_TICK, 0, CAMPAIGN},
		{OP_ROUNDS, 3, 0},
		/* Replica 2 rejects an append, then stores the old entry. */
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
	/* Text that the detected violation contains. */
	const char *violation;
};

class KnownFaults : public testing::TestWithParam<KnownFault>
{
};

TEST_P(KnownFaults, AreDetected)
{
	ReplicaSimulation simulation(GetParam().n_replicas, GetParam().fault);

	simulation.run(GetParam().schedule);
	EXPECT_NE(std::string::npos,
		  simulation.violation.find(GetParam().violation))
		<< simulation.violation << simulation.describe();
}

TEST_P(KnownFaults, AreNotReportedWithoutTheFault)
{
	ReplicaSimulation simulation(GetParam().n_replicas);

	simulation.run(GetParam().schedule);
	EXPECT_EQ("", simulation.violation);
}

INSTANTIATE_TEST_SUITE_P(
	Schedules, KnownFaults,
	testing::Values(
		KnownFault{Fault::SYNC_SKIPPED, 3,
			   make_schedule({{OP_PATCH, 128, 1},
					  {OP_RUN, 15, 0},
					  {OP_CRASH, 0, 1},
					  {OP_RESTART, 0, 0}}),
			   "returns without the data that it had synced"},
		KnownFault{Fault::VOTE_NOT_STORED, 3, two_candidates(),
			   "two leaders in term"},
		KnownFault{Fault::OLD_TERM_COMMITTED_BY_COUNT, 3,
			   old_entry_on_a_majority(), "applies another entry"},
		KnownFault{Fault::EMPTY_DISK_VOTES,
			   3,
			   {188, 211, 170, 167, 196, 191, 247, 139, 121, 166,
			    185, 125, 47, 221, 187, 188, 240, 107},
			   "two leaders in term"},
		KnownFault{Fault::SECOND_MEMBERSHIP_CHANGE_IN_PROGRESS,
			   3,
			   {18, 168, 247, 247, 119, 98, 221, 117, 106, 78, 182,
			    82, 231, 189, 175, 246, 63, 157},
			   "applies another entry"},
		KnownFault{Fault::OLD_PROOFS_KEPT, 5,
			   random_schedule(8902, SCHEDULE_BYTES),
			   "proves that it was the newest"}),
	[](const testing::TestParamInfo<KnownFault> &test) {
		return std::string(fault_name(test.param.fault));
	});

struct FixedFailure {
	const char *name;
	size_t n_replicas;
	Schedule schedule;
};

class FixedFailures : public testing::TestWithParam<FixedFailure>
{
};

TEST_P(FixedFailures, DoNotRecur)
{
	ReplicaSimulation simulation(GetParam().n_replicas);

	simulation.run(GetParam().schedule);
	EXPECT_EQ("", simulation.violation);
}

INSTANTIATE_TEST_SUITE_P(
	Schedules, FixedFailures,
	testing::Values(
		/*
		 * A leader whose own removal was not committed did not
		 * campaign, although its log was longer than all others.
		 */
		FixedFailure{"RemovedLeaderIsElectedAgain",
			     3,
			     {255, 168, 46, 191, 45,  250, 142, 233, 88,  193,
			      219, 255, 8,  247, 177, 248, 178, 243, 17,  226,
			      123, 252, 47, 143, 223, 133, 1,	251, 174, 115,
			      148, 75,	24, 230, 180, 62,  247, 29,  179}},
		/*
		 * A crash after a snapshot far ahead of the log was written,
		 * and before the file that follows it, left a gap in the log.
		 */
		FixedFailure{"SnapshotAheadOfTheLog", 5,
			     random_schedule(934, SCHEDULE_BYTES)},
		/* After a restart the same leader became a learner. */
		FixedFailure{"RemovedLeaderIsElectedAfterARestart", 3,
			     random_schedule(254, SCHEDULE_BYTES)}),
	[](const testing::TestParamInfo<FixedFailure> &test) {
		return std::string(test.param.name);
	});

} // namespace
