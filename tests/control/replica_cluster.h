#ifndef QL_TESTS_CONTROL_REPLICA_CLUSTER_H
#define QL_TESTS_CONTROL_REPLICA_CLUSTER_H

/*
 * Replicas in one thread, each over a disk of the caller, without lost
 * messages: for what is counted or measured, not for failures.
 */

#include "control/replicated_config.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

/* The chart of the role, as it is shipped. */
const ql_chart_t *replica_chart();

class Cluster;

struct ClusterNode {
	Cluster *cluster;
	ql_disk_t disk;
	ql_journal_t journal;
	ql_config_state_t state;
	ql_replicated_config_t config;
	GRand *random = nullptr;
	bool up = false;
	uint64_t bytes_read = 0;
	uint64_t n_writes = 0;
};

class Cluster
{
      public:
	Cluster(const std::vector<ql_disk_t> &disks, uint32_t snapshot_entries);
	~Cluster();

	void start(size_t index);
	/* Ends a replica without any farewell. */
	void kill(size_t index);
	/* Lets time pass until one leads and has committed something. */
	void elect();
	/* Writes and delivers until nothing is left to do. */
	void settle();
	/* Submits to the leader; settle() decides. */
	void submit(const std::string &id, uint64_t base,
		    const std::string &text);
	ql_patch_answer_t answer(size_t index, const std::string &id,
				 uint64_t base, const std::string &text);
	ClusterNode *leader();

	std::vector<std::unique_ptr<ClusterNode>> nodes;
	std::deque<ql_rpc_replica_message *> messages;

      private:
	bool write(ClusterNode &node);
	bool deliver();

	ql_replica_opts_t opts;
};

#endif
