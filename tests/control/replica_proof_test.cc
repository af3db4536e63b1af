#include "control/replica_cluster.h"
#include "store/fake_disk.h"

#include <gtest/gtest.h>

namespace
{

const uint32_t SNAPSHOT_ENTRIES = 64;
const uint64_t TICK_MS = 50, HEARTBEAT_MS = 4 * TICK_MS;
/* Longer than the timeouts of an election that is repeated once. */
const size_t FAULT_TICKS = 120;
const char *DOCUMENT = "{\"site\":\"s\",\"attempts\":3,\"classes\":{},"
		       "\"services\":{},\"routes\":{}}";

class Proof : public testing::Test
{
      protected:
	FakeDisk disks[3];
	ReplicaCluster cluster{{disks[0].disk(), disks[1].disk(),
				disks[2].disk()},
			       SNAPSHOT_ENTRIES};

	void run(size_t n_ticks)
	{
		for (size_t i = 0; i < n_ticks; i++)
			cluster.tick();
	}

	/* Index of the n-th replica, with the leader first. */
	size_t nth(size_t n)
	{
		size_t leader = 0;

		while (cluster.replicas[leader].get() != cluster.leader())
			leader++;
		return (leader + n) % cluster.replicas.size();
	}

	uint64_t proven_ms(size_t index)
	{
		return ql_replica_proven_ms(
			&cluster.replicas[index]->config.replica);
	}

	uint64_t age_ms(size_t index)
	{
		return cluster.now_ms - proven_ms(index);
	}
};

TEST_F(Proof, IsFreshAtEveryReplicaThatIsInTouch)
{
	for (size_t i = 0; i < 40; i++) {
		cluster.tick();
		EXPECT_LE(age_ms(nth(0)), HEARTBEAT_MS);
		EXPECT_LE(age_ms(nth(1)), 2 * HEARTBEAT_MS);
		EXPECT_LE(age_ms(nth(2)), 2 * HEARTBEAT_MS);
	}
}

enum class Loss {
	CUT_OFF,
	KILLED,
	DISK_STALLED
};

struct LossCase {
	const char *name;
	Loss loss;
	/* By position, with the leader before the fault first. */
	bool hit[3];
	/* Whether a later state is proven there during the fault. */
	bool proven[3];
};

class LossOf : public Proof, public testing::WithParamInterface<LossCase>
{
};

/* What is lost proves nothing that happened since, and what is left does. */
TEST_P(LossOf, LeavesNoProofBehind)
{
	const LossCase &test = GetParam();
	size_t index[3] = {nth(0), nth(1), nth(2)};
	uint64_t lost_ms = cluster.now_ms;
	size_t i;

	for (i = 0; i < 3; i++) {
		ClusterReplica &node = *cluster.replicas[index[i]];

		node.is_cut_off = test.hit[i] && test.loss == Loss::CUT_OFF;
		node.disk_is_stalled =
			test.hit[i] && test.loss == Loss::DISK_STALLED;
		if (test.hit[i] && test.loss == Loss::KILLED)
			cluster.kill(index[i]);
	}
	for (size_t n = 0; n < FAULT_TICKS; n++) {
		cluster.tick();
		if (n == FAULT_TICKS / 2 && cluster.leader())
			cluster.submit_patch("p", 0, DOCUMENT);
		for (i = 0; i < 3; i++) {
			if (test.proven[i] ||
			    !cluster.replicas[index[i]]->is_running)
				continue;
			ASSERT_LE(proven_ms(index[i]), lost_ms)
				<< "position " << i << " tick " << n;
		}
	}
	for (i = 0; i < 3; i++) {
		if (!test.proven[i])
			continue;
		EXPECT_LE(age_ms(index[i]), 2 * HEARTBEAT_MS)
			<< "position " << i;
	}
	for (i = 0; i < 3; i++) {
		ClusterReplica &node = *cluster.replicas[index[i]];

		node.is_cut_off = node.disk_is_stalled = false;
		if (!node.is_running) {
			cluster.start(index[i]);
			/* Nothing is left of the time before the restart. */
			EXPECT_EQ(0u, proven_ms(index[i]));
		}
	}
	run(FAULT_TICKS);
	for (i = 0; i < 3; i++)
		EXPECT_LE(age_ms(i), 2 * HEARTBEAT_MS) << "replica " << i;
}

INSTANTIATE_TEST_SUITE_P(Replicas, LossOf,
			 testing::Values(LossCase{"LinksOfTheLeader",
						  Loss::CUT_OFF,
						  {true, false, false},
						  {false, true, true}},
					 LossCase{"LinksOfAFollower",
						  Loss::CUT_OFF,
						  {false, true, false},
						  {true, false, true}},
					 LossCase{"LinksOfBothFollowers",
						  Loss::CUT_OFF,
						  {false, true, true},
						  {false, false, false}},
					 LossCase{"Leader",
						  Loss::KILLED,
						  {true, false, false},
						  {false, true, true}},
					 LossCase{"Quorum",
						  Loss::KILLED,
						  {true, true, false},
						  {false, false, false}},
					 LossCase{"All",
						  Loss::KILLED,
						  {true, true, true},
						  {false, false, false}}),
			 [](const testing::TestParamInfo<LossCase> &test) {
				 return std::string(test.param.name);
			 });

/* A state that a replica knows of and has not applied is not proven there. */
TEST_F(Proof, WaitsForTheEntryToBeApplied)
{
	size_t leader = nth(0), follower = nth(1);
	uint64_t submitted_ms, committed_ms;

	cluster.replicas[follower]->disk_is_stalled = true;
	run(10);
	submitted_ms = cluster.now_ms;
	cluster.submit_patch("p", 0, DOCUMENT);
	while (!cluster.replicas[leader]->state.doc->version &&
	       cluster.now_ms < submitted_ms + 10 * HEARTBEAT_MS)
		cluster.tick();
	committed_ms = cluster.now_ms;
	ASSERT_EQ(1u, cluster.replicas[leader]->state.doc->version);
	run(FAULT_TICKS);
	ASSERT_EQ(0u, cluster.replicas[follower]->state.doc->version);
	EXPECT_LE(proven_ms(follower), committed_ms);
	EXPECT_LE(age_ms(leader), HEARTBEAT_MS);
	cluster.replicas[follower]->disk_is_stalled = false;
	run(10);
	EXPECT_EQ(1u, cluster.replicas[follower]->state.doc->version);
	EXPECT_LE(age_ms(follower), 2 * HEARTBEAT_MS);
}

struct MessageCase {
	const char *description;
	uint64_t clock_id;
	uint64_t clock_ms;
	uint64_t index_ahead;
	uint64_t proven_ms;
};

/* A follower whose clock is at 5000 ms gets an append of the leader. */
TEST_F(Proof, OfAnAppendIsCheckedByTheFollower)
{
	const uint64_t now_ms = 5000;
	const MessageCase cases[] = {
		{"fresh", 1, 4900, 0, 4900},
		{"after seconds on its way", 1, 900, 0, 900},
		{"none", 0, 0, 0, 0},
		{"none, with a time", 0, 4900, 0, 0},
		{"for another start of this process", 2, 4900, 0, 0},
		{"of the future", 1, 5001, 0, 0},
		{"of an entry that is not applied", 1, 4900, 1, 0},
		{"before the start of the clock", 1, 0, 0, 0},
	};
	size_t leader = nth(0), follower = nth(1);
	ql_replica_t &replica = cluster.replicas[follower]->config.replica;

	for (const MessageCase &test : cases) {
		SCOPED_TRACE(test.description);
		ql_rpc_replica_message message = {};

		message.type = QL_REPLICA_APPEND;
		message.from =
			cluster.replicas[leader]->config.replica.state.identity;
		message.to = replica.state.identity;
		message.term = replica.state.term;
		message.index = ql_replica_last_index(&replica);
		message.index_term = replica.state.term;
		message.commit = replica.state.commit;
		message.clock_id = test.clock_id == 1 ? replica.opts.clock_id
				   : test.clock_id ? replica.opts.clock_id + 100
						   : 0;
		message.clock_ms = test.clock_ms;
		message.proof_index = replica.applied + test.index_ahead;
		replica.n_proofs = 0;
		ql_replica_set_time(&replica, now_ms * 1000);
		ql_replica_deliver(&replica, &message);
		EXPECT_EQ(test.proven_ms, ql_replica_proven_ms(&replica));
	}
}

} // namespace
