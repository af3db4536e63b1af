#ifndef QL_TESTS_CONTROL_REPLICA_SIMULATION_H
#define QL_TESTS_CONTROL_REPLICA_SIMULATION_H

/*
 * Simulates replicas with fake disks and messages in flight, driven by a
 * schedule of bytes. The invariants are checked after each step.
 */

#include "control/replicated_config.h"
#include "store/fake_disk.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/* Faults that are injected to show that the checks detect them. */
enum class Fault {
	NONE,
	SYNC_SKIPPED,
	VOTE_NOT_STORED,
	OLD_TERM_COMMITTED_BY_COUNT,
	EMPTY_DISK_VOTES,
	SECOND_MEMBERSHIP_CHANGE_IN_PROGRESS,
	/* A proof ages from its receipt, as if messages took no time. */
	TRANSIT_TIME_IGNORED,
	/* The clock is read before an input is received. */
	CLOCK_READ_EARLY,
	/* A leader counts the rounds of an earlier term of its own. */
	OLD_PROOFS_KEPT,
};

const char *fault_name(Fault fault);

/* What a replica does when its disk fails. */
enum class DiskFailure {
	STOPS,
	/* The write is repeated until the disk has recovered. */
	RETRIES,
};

using Schedule = std::vector<uint8_t>;

/* Operations of a schedule; each is followed by two argument bytes. */
enum SimulationOp : uint8_t {
	OP_TICK,
	OP_TICK_ALL,
	OP_DELIVER,
	OP_DROP,
	OP_REPEAT,
	OP_WRITE,
	OP_ROUNDS,
	OP_ISOLATE,
	OP_CUT,
	OP_HEAL,
	OP_CRASH,
	OP_RESTART,
	OP_DISK_FAILS,
	OP_LOSE_DISK,
	OP_PATCH,
	OP_RESEND,
	OP_CHANGE,
	OP_READ,
	OP_RUN,
};

struct SimulationStep {
	SimulationOp op;
	uint8_t first;
	uint8_t second;
};

/* Encodes steps as a schedule. */
Schedule make_schedule(const std::vector<SimulationStep> &steps);

/* Returns a schedule of random bytes. */
Schedule random_schedule(uint32_t seed, size_t length);

class ReplicaSimulation;

struct SimulatedReplica {
	ReplicaSimulation *simulation;
	size_t slot;
	uint64_t id = 0;
	std::string address;
	FakeDisk disk;
	bool is_running = false;
	bool is_broken = false;
	/* A write that was taken from the replica and is not synced yet. */
	bool has_write = false;
	ql_replica_write_t write;
	/* A write to this disk was synced. */
	bool has_synced = false;
	ql_journal_t journal;
	ql_config_state_t state;
	ql_replicated_config_t config;
	GRand *random = nullptr;
	/* Time of the simulation at which its clock was 0. */
	uint64_t clock_start_ms = 0;
	/* For Fault::OLD_PROOFS_KEPT. */
	uint64_t n_proofs = 0;
};

struct SimulatedPatch {
	std::string id;
	uint64_t base;
	std::string text;
	bool answered = false;
	int status = 0;
	uint64_t version = 0;
};

class ReplicaSimulation
{
      public:
	ReplicaSimulation(size_t n_replicas, Fault fault = Fault::NONE,
			  DiskFailure disk_failure = DiskFailure::STOPS);
	~ReplicaSimulation();

	/* Runs a schedule, then ends all faults and checks for progress. */
	void run(const Schedule &schedule);

	/* The first violation of an invariant, or "". */
	std::string violation;
	size_t n_steps = 0;
	size_t n_accepted = 0;
	size_t n_reads = 0;
	/* Steps after which a replica knew a time of its newest state. */
	size_t n_proven = 0;

	/* Describes the state of all replicas for an error message. */
	std::string describe() const;

	/* Called by the replicas. */
	void on_send(SimulatedReplica *node, ql_rpc_replica_message *message);
	void on_read_done(SimulatedReplica *node, uint64_t token, int status);
	void on_apply(SimulatedReplica *node, const ql_journal_entry_t *entry);

      private:
	struct Read {
		size_t slot;
		uint64_t least_version;
	};

	using VoterSet = std::set<uint64_t>;

	void step(uint8_t op, uint8_t first, uint8_t second);
	void step_message(uint8_t op, uint8_t first);
	void step_failure(uint8_t op, uint8_t first, uint8_t second);
	void step_operator(uint8_t op, uint8_t first, uint8_t second);
	void finish();
	bool converge();
	bool commit_last_patch();
	bool voters_have_newest();

	void start(SimulatedReplica &node);
	void stop(SimulatedReplica &node, unsigned int choice);
	void lose_disk(SimulatedReplica &node);
	bool may_lose_disk(const SimulatedReplica &node) const;
	bool majority_is_intact(const SimulatedReplica *without) const;
	void write(SimulatedReplica &node);
	void fail_disk(SimulatedReplica &node, uint8_t calls);
	void tick(SimulatedReplica &node);
	void deliver(size_t position, bool keep);
	void drop(size_t position);
	void rounds(size_t n);
	void set_partition(size_t a, size_t b, bool is_cut);
	void heal();
	void submit(SimulatedReplica &node, SimulatedPatch &patch);
	void submit_new_patch(SimulatedReplica &node, uint8_t choice);
	void change_members(SimulatedReplica &node, uint8_t choice);
	SimulatedReplica &choose_replica(uint8_t choice);
	void run_for(size_t n_ticks);
	void read(SimulatedReplica &node);
	void check_answer(SimulatedPatch &patch,
			  const ql_patch_answer_t &answer);

	void check();
	void check_leader(const SimulatedReplica &node);
	void check_proof(SimulatedReplica &node);
	void set_time(SimulatedReplica &node);
	void check_versions(const SimulatedReplica &node);
	void record_voters(const SimulatedReplica &node);
	void report_violation(const std::string &what);
	SimulatedReplica *leader();

	Fault fault;
	DiskFailure disk_failure;
	ql_replica_opts_t opts;
	ql_replica_rules_t rules;
	uint64_t next_id = 1;
	std::vector<std::unique_ptr<SimulatedReplica>> nodes;
	std::vector<ql_rpc_replica_message *> in_flight;
	std::set<std::pair<size_t, size_t>> partitions;
	std::vector<std::unique_ptr<SimulatedPatch>> patches;
	SimulatedPatch *last_patch = nullptr;
	std::map<uint64_t, Read> reads;
	uint64_t next_read = 1;

	/*
	 * Observed so far: leader by term, entry (term and content) by index,
	 * document digest by version, newest version by replica, id of the
	 * accepted patch by base version, and voters by index and term of the
	 * entry with the members.
	 */
	std::map<uint64_t, uint64_t> leaders;
	std::map<uint64_t, std::pair<uint64_t, std::string>> log;
	std::map<uint64_t, uint64_t> digests;
	std::map<uint64_t, uint64_t> newest_seen;
	std::map<uint64_t, std::string> accepted_bases;
	std::map<std::pair<uint64_t, uint64_t>, VoterSet> voters;
	uint64_t newest_accepted = 0;

	uint64_t now_ms = 10000;
	uint64_t next_clock_id = 0;
	/* Highest index that any replica had applied, by time. */
	std::map<uint64_t, uint64_t> applied_by_time;
};

#endif
