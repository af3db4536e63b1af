#ifndef QUETZALLOFT_REPLICA_H
#define QUETZALLOFT_REPLICA_H

/**
 * DOC: A replica of a log that a quorum of voters agrees on, as a state
 * machine without socket, thread, clock or file.
 *
 * Inputs are messages of other replicas, ticks, proposals, and the news that a
 * write has reached the disk. Outputs go through &struct ql_replica_ops and
 * ql_replica_take_write(). The protocol is that of a replicated log with
 * terms: a leader is elected by a quorum, entries are committed when a quorum
 * has synced them, and only entries of the leader's own term are committed by
 * counting. A vote is asked for only after a round of pre-votes, and replicas
 * that hear from a leader refuse both, so that a replica that was cut off does
 * not disturb when it returns.
 *
 * What a replica applies it knows to be committed after a restart as well:
 * the commit index is synced first.
 */

#include "quetzalloft/chart.h"
#include "quetzalloft/timeline.h"
#include "store/journal.h"

#include "replication.h"

G_BEGIN_DECLS

/** Payload bytes in one message, unless a single entry is larger. */
#define QL_REPLICA_MESSAGE_PAYLOAD_MAX_BYTES 262144u
/** Entries that may wait for a commit; more proposals are refused. */
#define QL_REPLICA_UNCOMMITTED_ENTRIES_MAX 8192u

/**
 * enum ql_replica_role - States of chart "replica".
 */
typedef enum ql_replica_role {
	QL_REPLICA_LEARNER,
	QL_REPLICA_FOLLOWER,
	QL_REPLICA_PRE_CANDIDATE,
	QL_REPLICA_CANDIDATE,
	QL_REPLICA_LEADER,
	QL_REPLICA_REMOVED,
	QL_N_REPLICA_ROLES,
} ql_replica_role_t;

/**
 * ql_replica_chart_load() - Read and check the chart of the role.
 * @chart: where to store it
 * @folder: where to look; NULL or empty for ql_chart_folder()
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_chart_load().
 */
int ql_replica_chart_load(ql_chart_t *chart, const char *folder,
			  GError **error);

typedef struct ql_replica ql_replica_t;

/**
 * struct ql_replica_ops - What a replica does to its surroundings.
 * @send: send a message to the replica @message->to; the message becomes the
 *        callee's, see ql_replica_message_free()
 * @apply: apply a committed entry; called once each, in order
 * @save: write the applied state for a snapshot
 * @restore: replace the applied state by a saved one
 * @read_done: a read that ql_replica_start_read() began is confirmed (0) or not
 *             (QL_E_NOT_LEADER)
 * @role_changed: an event of chart "replica" has led to another role
 * @leadership_lost: proposals in progress may or may not be committed later
 */
typedef struct ql_replica_ops {
	void (*send)(void *data, ql_rpc_replica_message *message);
	void (*apply)(void *data, const ql_journal_entry_t *entry);
	GBytes *(*save)(void *data);
	int (*restore)(void *data, GBytes *saved, GError **error);
	void (*read_done)(void *data, uint64_t token, int status);
	void (*role_changed)(void *data, ql_event_t event);
	void (*leadership_lost)(void *data);
} ql_replica_ops_t;

/**
 * struct ql_replica_rules - The rules that safety rests on.
 * @may_commit: whether an entry that a quorum has synced is committed
 * @members_settled: whether the members may be changed
 *
 * There is one right table, ql_replica_rules. Tests break a rule to show that
 * the break is found.
 */
typedef struct ql_replica_rules {
	bool (*may_commit)(const ql_replica_t *replica, uint64_t index);
	bool (*members_settled)(const ql_replica_t *replica);
} ql_replica_rules_t;

extern const ql_replica_rules_t ql_replica_rules;

/**
 * struct ql_replica_opts - How a replica behaves.
 * @rules: &ql_replica_rules
 * @chart: of the role; borrowed
 * @random: spreads election timeouts; borrowed
 * @election_ticks: least time without a leader before an election
 * @heartbeat_ticks: time between messages of a leader
 * @snapshot_entries: entries applied between two snapshots
 * @kept_entries: entries kept behind a snapshot for followers that lag
 * @message_entries: entries in one message, at most QL_REPLICA_ENTRIES_MAX
 * @window_entries: entries sent to a peer ahead of its answers
 * @piece_bytes: size of the pieces that a snapshot is sent in
 * @first_election_ticks: the same behind the start, when nobody may lead, as a
 *                        vote before the vote disturbs nobody; 0 is as later
 */
typedef struct ql_replica_opts {
	const ql_replica_rules_t *rules;
	const ql_chart_t *chart;
	GRand *random;
	uint32_t election_ticks;
	uint32_t heartbeat_ticks;
	uint32_t snapshot_entries;
	uint32_t kept_entries;
	uint32_t message_entries;
	uint32_t window_entries;
	uint32_t piece_bytes;
	uint32_t first_election_ticks;
} ql_replica_opts_t;

/**
 * struct ql_replica_peer - A member, and what a leader knows of it.
 * @id: its identity
 * @match: last entry that it is known to have synced
 * @next: next entry to send
 * @answered_round: the newest round that it answered
 * @snapshot_offset: bytes of @snapshot that have arrived
 * @snapshot: the snapshot that is being sent, or its data is NULL
 * @silent_ticks: time since its last answer
 * @voter: a voter or a learner
 * @vote_granted: it gave its vote or pre-vote
 * @answered_since_heartbeat: it answered since the last heartbeat
 * @address: where it listens
 */
typedef struct ql_replica_peer {
	uint64_t id;
	uint64_t match;
	uint64_t next;
	uint64_t answered_round;
	uint64_t snapshot_offset;
	ql_journal_snapshot_t snapshot;
	uint32_t silent_ticks;
	bool voter;
	bool vote_granted;
	bool answered_since_heartbeat;
	char address[QL_ADDRESS_MAX];
} ql_replica_peer_t;

/**
 * struct ql_replica_transfer - A snapshot that is being received.
 * @from: the sender
 * @index: last entry of the snapshot
 * @term: its term
 * @bytes: what has arrived, or NULL
 */
typedef struct ql_replica_transfer {
	uint64_t from;
	uint64_t index;
	uint64_t term;
	GByteArray *bytes;
} ql_replica_transfer_t;

/**
 * struct ql_replica - The replica.
 * @state: identity, term, vote and commit index, as they shall be on the disk
 * @base_index: the entry before the first one in @entries
 * @base_term: its term
 * @entries: the log, &struct ql_journal_entry by value
 * @snapshot: the newest snapshot
 * @peers: all members, this replica included when it is one
 * @n_peers: their number
 * @members_index: entry that the members come from
 * @role: state of chart "replica"
 * @was_member: a committed list of members has named this replica
 * @leader: the leader of the term, or 0
 * @leader_commit: commit index that the leader told last
 * @term_start: first entry of a leader's own term
 * @applied: last entry applied
 * @synced_index: last entry on the disk
 * @synced_commit: commit index on the disk
 * @synced_identity: the identity is on the disk
 * @first_unwritten: first entry that no write has taken
 * @writing_last_index: last entry of the write in progress
 * @writing_commit: commit index of the write in progress
 * @last_taken_write: number of the last write taken
 * @last_synced_write: number of the last write done
 * @required_write: number of the write that holds all but the commit index
 * @snapshot_unwritten: a snapshot is to be written
 * @deferred_messages: messages that wait for a write
 * @read_round: number of the last confirmation asked for
 * @pending_reads: reads that wait for a confirmation
 * @transfer: snapshot being received
 * @failed: a snapshot could not be restored; nothing is done any more
 */
struct ql_replica {
	ql_replica_opts_t opts;
	const ql_replica_ops_t *ops;
	void *data;
	ql_journal_state_t state;
	uint64_t base_index;
	uint64_t base_term;
	GArray *entries;
	ql_journal_snapshot_t snapshot;
	ql_replica_peer_t peers[QL_REPLICA_MEMBERS_MAX];
	size_t n_peers;
	uint64_t members_index;
	ql_replica_role_t role;
	bool was_member;
	uint64_t leader;
	uint64_t leader_commit;
	uint64_t term_start;
	uint32_t election_elapsed;
	uint32_t election_timeout;
	uint32_t heartbeat_elapsed;
	uint64_t applied;
	uint64_t synced_index;
	uint64_t synced_commit;
	bool synced_identity;
	uint64_t first_unwritten;
	uint64_t writing_last_index;
	uint64_t writing_commit;
	uint64_t last_taken_write;
	uint64_t last_synced_write;
	uint64_t required_write;
	bool snapshot_unwritten;
	GQueue deferred_messages;
	uint64_t read_round;
	GQueue pending_reads;
	ql_replica_transfer_t transfer;
	bool failed;
};

/**
 * ql_replica_init() - Start a replica from what its disk holds.
 * @replica: the replica
 * @opts: copied
 * @journal: opened; its entries are copied by reference
 * @identity: used when the journal holds none
 * @ops: what it does to its surroundings
 * @data: passed to @ops
 * @error: detail of a failure
 *
 * Committed entries are applied before this returns.
 *
 * Return: 0 or QL_E_CORRUPT; after a failure nothing is to finish.
 */
int ql_replica_init(ql_replica_t *replica, const ql_replica_opts_t *opts,
		    const ql_journal_t *journal, uint64_t identity,
		    const ql_replica_ops_t *ops, void *data, GError **error);
void ql_replica_finish(ql_replica_t *replica);

/**
 * ql_replica_is_empty() - Whether it has never belonged to a cluster.
 * @replica: the replica
 *
 * Return: true without any entry or snapshot.
 */
bool ql_replica_is_empty(const ql_replica_t *replica);

/**
 * ql_replica_bootstrap() - Make an empty replica the first of a cluster.
 * @replica: the replica
 * @members: the first members
 *
 * The caller makes sure that no member has belonged to a cluster.
 *
 * Return: 0 or QL_E_EXISTS.
 */
int ql_replica_bootstrap(ql_replica_t *replica,
			 const ql_rpc_replica_members *members);

/**
 * ql_replica_tick() - Let time pass.
 * @replica: the replica
 */
void ql_replica_tick(ql_replica_t *replica);

/**
 * ql_replica_deliver() - Take a message of another replica.
 * @replica: the replica
 * @message: the message; one that is meant for another identity is ignored
 */
void ql_replica_deliver(ql_replica_t *replica,
			const ql_rpc_replica_message *message);

/**
 * ql_replica_propose() - Append an entry.
 * @replica: the replica
 * @kind: of the entry
 * @payload: its content; a reference is taken
 *
 * Return: 0 when the entry is on its way, QL_E_NOT_LEADER, or QL_E_FULL when
 * too many entries wait for a commit.
 */
int ql_replica_propose(ql_replica_t *replica, uint32_t kind, GBytes *payload);

/**
 * ql_replica_flush() - Send the proposals made since the last flush.
 * @replica: the replica
 */
void ql_replica_flush(ql_replica_t *replica);

/**
 * struct ql_replica_change - A change of the members.
 * @kind: what to do
 * @id: whom with
 * @address: where a new learner listens
 */
typedef struct ql_replica_change {
	ql_replica_change_kind kind;
	uint64_t id;
	const char *address;
} ql_replica_change_t;

/**
 * ql_replica_change_members() - Add a learner, promote it, or remove a member.
 * @replica: the replica
 * @change: the change
 * @error: detail of a refusal
 *
 * Return: 0 when the members are as wished and this is committed; QL_E_PENDING
 * while this or an earlier change is not committed, or a learner has not
 * caught up; QL_E_NOT_LEADER, QL_E_NOT_FOUND, QL_E_INVALID, QL_E_FULL, or
 * QL_E_UNAVAILABLE when too few of the voters that would remain answer.
 */
int ql_replica_change_members(ql_replica_t *replica,
			      const ql_replica_change_t *change,
			      GError **error);

/**
 * ql_replica_is_current() - Whether all is applied here that was committed
 * before the present leader was heard last.
 * @replica: the replica
 *
 * Return: false without a leader, and until an entry of the leader's own term
 * is applied: only that shows that older ones are.
 */
bool ql_replica_is_current(const ql_replica_t *replica);

/**
 * ql_replica_start_read() - Have a quorum confirm that this replica leads.
 * @replica: the replica
 * @token: passed to the operation @read_done
 *
 * When the read is confirmed the applied state holds all that was accepted
 * before this call.
 *
 * Return: 0 when @read_done will be or was called, QL_E_NOT_LEADER, or
 * QL_E_PENDING when a new leader has not committed anything yet.
 */
int ql_replica_start_read(ql_replica_t *replica, uint64_t token);

/**
 * ql_replica_leader_address() - Where the leader listens.
 * @replica: the replica
 *
 * Return: its address, or "" when it is not known.
 */
const char *ql_replica_leader_address(const ql_replica_t *replica);

/**
 * ql_replica_find_member() - Find a member.
 * @replica: the replica
 * @id: its identity
 *
 * Return: the member or NULL.
 */
const ql_replica_peer_t *ql_replica_find_member(const ql_replica_t *replica,
						uint64_t id);

uint64_t ql_replica_last_index(const ql_replica_t *replica);
const char *ql_replica_role_name(const ql_replica_t *replica);

/**
 * struct ql_replica_write - What is to be written and synced.
 * @sequence: number of the write
 * @state: the state
 * @restart: whether a snapshot starts the log anew
 * @base: the snapshot and what follows it, with @restart
 * @entries: the entries
 * @n_entries: their number
 */
typedef struct ql_replica_write {
	uint64_t sequence;
	ql_journal_state_t state;
	bool restart;
	ql_journal_base_t base;
	ql_journal_entry_t *entries;
	size_t n_entries;
} ql_replica_write_t;

/**
 * ql_replica_take_write() - Take all that is not yet on the disk.
 * @replica: the replica
 * @write: the write; ql_replica_write_finish() frees it
 *
 * Return: false when there is nothing to write or a write is in progress.
 */
bool ql_replica_take_write(ql_replica_t *replica, ql_replica_write_t *write);

/**
 * ql_replica_write_run() - Carry out a write.
 * @write: the write
 * @journal: where
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_IO; then the replica must not go on.
 */
int ql_replica_write_run(const ql_replica_write_t *write, ql_journal_t *journal,
			 GError **error);
void ql_replica_write_finish(ql_replica_write_t *write);

/**
 * ql_replica_write_done() - A write has been synced.
 * @replica: the replica
 * @sequence: number of the write
 */
void ql_replica_write_done(ql_replica_t *replica, uint64_t sequence);

void ql_replica_message_free(ql_rpc_replica_message *message);

G_END_DECLS

#endif
