#include "control/replica_cluster.h"
#include "store/fake_disk.h"

#include <gtest/gtest.h>

namespace
{

const uint32_t SNAPSHOT_ENTRIES = 16;
const uint64_t TICK_US = 50000;
const size_t HEARTBEAT_TICKS = 4;

/* How long ago the leader was confirmed by a quorum. */
class Confirmed : public testing::Test
{
      protected:
	FakeDisk disks[3];
	ReplicaCluster cluster;
	uint64_t now_us = 0;

	Confirmed()
	    : cluster({disks[0].disk(), disks[1].disk(), disks[2].disk()},
		      SNAPSHOT_ENTRIES)
	{
		cluster.sets_time = false;
		for (size_t i = 0; i < 3; i++) {
			cluster.kill(i);
			cluster.start(i);
		}
		cluster.run_until_elected();
		cluster.sets_time = true;
	}

	void run(size_t n_ticks)
	{
		for (size_t i = 0; i < n_ticks; i++) {
			cluster.tick();
			now_us = cluster.now_ms * 1000;
		}
	}

	uint64_t confirmed_us(size_t index)
	{
		return ql_replica_confirmed_us(
			&cluster.replicas[index]->config.replica);
	}

	size_t leader_index()
	{
		for (size_t i = 0; i < 3; i++)
			if (cluster.replicas[i].get() == cluster.leader())
				return i;
		return 0;
	}
};

TEST_F(Confirmed, FollowsTheHeartbeatsOfTheLeaderOnly)
{
	size_t leader = leader_index();

	EXPECT_EQ(0u, confirmed_us(leader));
	run(HEARTBEAT_TICKS);
	for (size_t i = 0; i < 40; i++) {
		run(1);
		EXPECT_GT(confirmed_us(leader) + HEARTBEAT_TICKS * TICK_US,
			  now_us);
		EXPECT_LE(confirmed_us(leader), now_us);
	}
	EXPECT_EQ(0u, confirmed_us((leader + 1) % 3));
	EXPECT_EQ(0u, confirmed_us((leader + 2) % 3));
}

TEST_F(Confirmed, StandsStillWithoutAQuorum)
{
	size_t leader = leader_index();
	uint64_t last_us;

	run(20);
	cluster.kill((leader + 1) % 3);
	run(10);
	EXPECT_GT(confirmed_us(leader) + HEARTBEAT_TICKS * TICK_US, now_us);
	cluster.kill((leader + 2) % 3);
	last_us = now_us;
	run(10);
	EXPECT_LE(confirmed_us(leader), last_us);
	/* It steps down in the end. */
	run(30);
	EXPECT_EQ(0u, confirmed_us(leader));
}

TEST_F(Confirmed, ALeaderOfAnotherTermBeginsAnew)
{
	size_t first = leader_index(), second;
	uint64_t killed_us;

	run(20);
	cluster.kill(first);
	killed_us = now_us;
	for (size_t i = 0; i < 200 && !cluster.leader(); i++)
		run(1);
	ASSERT_NE(nullptr, cluster.leader());
	second = leader_index();
	ASSERT_NE(first, second);
	run(HEARTBEAT_TICKS);
	EXPECT_GT(confirmed_us(second), killed_us);
}

/* Reads take numbers between those of the rounds of two heartbeats. */
TEST_F(Confirmed, IsKeptOverAHeartbeatWhateverTheNumberOfReads)
{
	const size_t leader = leader_index();
	ql_replica_t *replica = &cluster.replicas[leader]->config.replica;

	for (uint64_t n_reads = 0; n_reads < 2 * QL_REPLICA_TIMED_ROUNDS;
	     n_reads++) {
		SCOPED_TRACE(n_reads);
		uint64_t round = replica->read_round;

		run(HEARTBEAT_TICKS);
		for (uint64_t i = 0; i < n_reads; i++)
			ASSERT_EQ(0, ql_replica_start_read(replica, i + 1));
		run(HEARTBEAT_TICKS);
		ASSERT_GT(replica->read_round, round + n_reads);
		/* The heartbeat that is sent now is not answered yet. */
		uint64_t before_us = confirmed_us(leader);

		ASSERT_NE(0u, before_us);
		for (uint64_t i = 0; i < n_reads; i++)
			ASSERT_EQ(0, ql_replica_start_read(replica, i + 1));
		ql_replica_set_time(replica, now_us + TICK_US);
		for (size_t i = 0; i < HEARTBEAT_TICKS; i++)
			ql_replica_tick(replica);
		EXPECT_EQ(before_us, confirmed_us(leader));
	}
}

} // namespace
