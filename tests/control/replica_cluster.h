#ifndef QL_TESTS_CONTROL_REPLICA_CLUSTER_H
#define QL_TESTS_CONTROL_REPLICA_CLUSTER_H

/*
 * A cluster of replicas in one thread. Each replica uses a disk of the caller;
 * a write that fails is repeated with each run_until_idle().
 * Only the messages of a replica that is cut off are lost: the cluster serves
 * to count and to measure, while ReplicaSimulation serves to test failures.
 */

#include "control/replicated_config.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

/* Returns the state chart of the role, as it is shipped. */
const ql_chart_t *replica_chart();

class ReplicaCluster;

struct ClusterReplica {
	ReplicaCluster *cluster;
	ql_disk_t disk;
	ql_journal_t journal;
	ql_config_state_t state;
	ql_replicated_config_t config;
	GRand *random = nullptr;
	bool is_running = false;
	/* A write that was taken from the replica and is not synced yet. */
	bool has_write = false;
	ql_replica_write_t write;
	/* Writes are taken and do not end. */
	bool disk_is_stalled = false;
	bool is_cut_off = false;
	uint64_t bytes_read = 0;
	uint64_t n_writes = 0;
};

class ReplicaCluster
{
      public:
	ReplicaCluster(const std::vector<ql_disk_t> &disks,
		       uint32_t snapshot_entries, uint64_t snapshot_bytes = 0);
	~ReplicaCluster();

	void start(size_t index);
	/* Stops a replica without a message to the others. */
	void kill(size_t index);
	/* Runs one tick at all replicas, and run_until_idle(). */
	void tick();
	/* Runs ticks until a leader has committed an entry of its term. */
	void run_until_elected();
	/* Completes writes and delivers messages until there are none left. */
	void run_until_idle();
	/* Submits a patch to the leader; run_until_idle() commits it. */
	void submit_patch(const std::string &id, uint64_t base,
			  const std::string &text);
	/* Submits a patch to a replica again; returns the saved answer. */
	ql_patch_answer_t query_answer(size_t index, const std::string &id,
				       uint64_t base, const std::string &text);
	ClusterReplica *leader();

	std::vector<std::unique_ptr<ClusterReplica>> replicas;
	std::deque<ql_rpc_replica_message *> messages;
	/* Time of the clock of all replicas, advanced by tick(). */
	uint64_t now_ms = 1000000;
	/* Whether the replicas are told the time. */
	bool sets_time = true;

      private:
	bool write_once(ClusterReplica &node);
	bool deliver_messages();
	void deliver(ql_rpc_replica_message *message);

	ql_replica_opts_t opts;
};

#endif
