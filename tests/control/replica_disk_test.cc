#include "control/replica_cluster.h"
#include "store/fake_disk.h"

#include <gtest/gtest.h>

namespace
{

const uint32_t SNAPSHOT_ENTRIES = 16;
/* Ticks are of 50 ms: the disk is full for 4.5 s and has room for 2 s. */
const size_t FULL_TICKS = 90, ROOM_TICKS = 40;
/* A change has to be accepted within 4 s, and applied 2 s later. */
const size_t ACCEPT_TICKS_MAX = 80, APPLY_TICKS_MAX = 40;
const size_t N_ROUNDS = 8;

/* How the disk of a replica does not take writes. */
enum class Disk {
	FULL,
	STALLED
};

struct Case {
	const char *name;
	Disk disk;
	bool of_leader;
};

class DisksInTurn : public testing::TestWithParam<Case>
{
      public:
	DisksInTurn()
	    : cluster({disks[0].disk(), disks[1].disk(), disks[2].disk()},
		      SNAPSHOT_ENTRIES)
	{
	}

	/* One tick; a change that is not accepted yet is submitted again. */
	void tick()
	{
		if (cluster.leader() && waiting_ticks)
			submit();
		cluster.tick();
		if (version() > accepted) {
			accepted = version();
			waiting_ticks = 0;
		}
		if (waiting_ticks)
			waiting_ticks++;
		EXPECT_LE(waiting_ticks, ACCEPT_TICKS_MAX);
	}

	void run(size_t n_ticks)
	{
		for (size_t i = 0; i < n_ticks; i++) {
			if (!waiting_ticks && i % 10 == 0)
				waiting_ticks = 1;
			tick();
		}
	}

	void set_disk(size_t index, bool takes_writes)
	{
		if (GetParam().disk == Disk::FULL)
			disks[index].is_full = !takes_writes;
		else
			cluster.replicas[index]->disk_is_stalled =
				!takes_writes;
	}

	size_t choose(size_t round)
	{
		for (size_t i = 0; i < 3; i++) {
			size_t index = (round + i) % 3;
			bool leads = cluster.replicas[index].get() ==
				     cluster.leader();

			if (leads == GetParam().of_leader)
				return index;
		}
		return 0;
	}

	uint64_t version()
	{
		return cluster.leader() ? cluster.leader()->state.doc->version
					: accepted;
	}

	FakeDisk disks[3];
	ReplicaCluster cluster;
	uint64_t accepted = 0;
	size_t waiting_ticks = 0;

      private:
	void submit()
	{
		std::string number = std::to_string(accepted);

		cluster.submit_patch("p" + number, accepted,
				     "{\"site\":\"s" + number +
					     "\",\"attempts\":3,"
					     "\"classes\":{},"
					     "\"services\":{},"
					     "\"routes\":{}}");
		ql_replica_flush(&cluster.leader()->config.replica);
	}
};

/*
 * Guards against changes that are refused or stay unanswered while, or after,
 * the disks of the replicas take no writes for some seconds, one after the
 * other.
 */
TEST_P(DisksInTurn, ChangesAreAcceptedAndApplied)
{
	for (size_t round = 0; round < N_ROUNDS; round++) {
		size_t index = choose(round);

		SCOPED_TRACE("round " + std::to_string(round));
		set_disk(index, false);
		run(FULL_TICKS);
		set_disk(index, true);
		run(ROOM_TICKS);
		/* The change under way is the last one. */
		for (size_t i = 0; i < ACCEPT_TICKS_MAX && waiting_ticks; i++)
			tick();
		for (size_t i = 0; i < APPLY_TICKS_MAX; i++)
			cluster.tick();
		for (const auto &replica : cluster.replicas)
			EXPECT_EQ(accepted, replica->state.doc->version);
	}
	EXPECT_LT(N_ROUNDS * 2, accepted);
	for (size_t i = 0; i < 3; i++) {
		cluster.kill(i);
		disks[i].crash(1);
		cluster.start(i);
		EXPECT_EQ(accepted, cluster.replicas[i]->state.doc->version);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Cases, DisksInTurn,
	testing::Values(Case{"FullOfLeaders", Disk::FULL, true},
			Case{"FullOfFollowers", Disk::FULL, false},
			Case{"StalledOfLeaders", Disk::STALLED, true},
			Case{"StalledOfFollowers", Disk::STALLED, false}),
	[](const auto &test) { return std::string(test.param.name); });

} // namespace
