#ifndef QUETZALLOFT_REPLICA_H
#define QUETZALLOFT_REPLICA_H

/**
 * DOC: One replica of a log that is replicated by consensus, as in Raft. It is
 * a state machine without sockets, threads, clocks or files.
 *
 * Its inputs are messages from other replicas, ticks, proposals, and the
 * completion of writes to the disk. Its outputs are the callbacks in &struct
 * ql_replica_ops and the writes of ql_replica_take_write(). A quorum of voters
 * elects a leader for a term. An entry is committed when a quorum has synced
 * it, but the leader counts replicas only for entries of its own term. A
 * candidate requests votes only after it has won a pre-vote. Replicas that are
 * in contact with a leader ignore both requests, so that a replica that returns
 * from a network partition does not disrupt the cluster.
 *
 * A replica syncs the commit index before it applies an entry, so that after a
 * restart the stored commit index covers every entry that was applied.
 */

#include "quetzalloft/chart.h"
#include "quetzalloft/timeline.h"
#include "store/journal.h"

#include "replication.h"

G_BEGIN_DECLS

/** Most payload bytes in one message, unless a single entry is larger. */
#define QL_REPLICA_MESSAGE_PAYLOAD_MAX_BYTES 262144u
/** Most entries not yet committed; further proposals are refused. */
#define QL_REPLICA_UNCOMMITTED_ENTRIES_MAX 8192u
/** Latest rounds of a leader whose time is kept. */
#define QL_REPLICA_TIMED_ROUNDS 16u

/**
 * enum ql_replica_role - Role of a replica, the states of chart "replica".
 * @QL_REPLICA_LEARNER: receives the log; has no vote and starts no election
 * @QL_REPLICA_FOLLOWER: a voter that follows a leader or waits for one
 * @QL_REPLICA_PRE_CANDIDATE: requests pre-votes; its term is not raised yet
 * @QL_REPLICA_CANDIDATE: requests votes for its new term
 * @QL_REPLICA_LEADER: leader of the term
 * @QL_REPLICA_REMOVED: the committed members no longer include it
 * @QL_N_REPLICA_ROLES: number of roles
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
 * ql_replica_chart_load() - Read and check the state chart of the role.
 * @chart: the chart to fill
 * @folder: folder of the charts; NULL or empty for ql_chart_folder()
 * @error: detail of a failure
 *
 * Return: 0 or an error of ql_chart_load().
 */
int ql_replica_chart_load(ql_chart_t *chart, const char *folder,
			  GError **error);

typedef struct ql_replica ql_replica_t;

/**
 * struct ql_replica_ops - Callbacks of a replica.
 * @send: send a message to the replica @message->to; takes ownership of the
 *        message, see ql_replica_message_free()
 * @apply: apply a committed entry; called once for each entry, in log order
 * @save: serialize the applied state for a snapshot; returns a new reference
 * @restore: replace the applied state by a state that @save has written;
 *           @saved is borrowed and valid only during the call; returns 0 or an
 *           error
 * @read_done: a read that ql_replica_start_read() started has ended: 0 when it
 *             is confirmed, QL_E_NOT_LEADER when it is not
 * @role_changed: an event of chart "replica" has changed the role
 * @leadership_lost: the replica is no longer the leader; its uncommitted
 *                   proposals may still be committed by another leader
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
 * struct ql_replica_rules - The rules that the safety of the log depends on.
 * @may_commit: returns whether the leader may commit an entry that a quorum has
 *              synced
 * @members_settled: returns whether the leader may change the members
 *
 * Production code always uses ql_replica_rules. Tests replace a rule to show
 * that their checks detect the violation.
 */
typedef struct ql_replica_rules {
	bool (*may_commit)(const ql_replica_t *replica, uint64_t index);
	bool (*members_settled)(const ql_replica_t *replica);
} ql_replica_rules_t;

/** The rules of production code. */
extern const ql_replica_rules_t ql_replica_rules;

/**
 * struct ql_replica_opts - Options of a replica.
 * @rules: usually &ql_replica_rules; borrowed
 * @chart: state chart of the role; borrowed
 * @random: source of the randomized election timeouts; borrowed
 * @election_ticks: least election timeout in ticks; each timeout is drawn from
 *                  one to two times this value. A leader steps down when no
 *                  quorum has answered it within this time.
 * @heartbeat_ticks: ticks between two heartbeats of a leader
 * @snapshot_entries: entries applied between two snapshots
 * @kept_entries: entries up to a snapshot that stay in the log for followers
 *                that lag
 * @message_entries: entries in one message, at most QL_REPLICA_ENTRIES_MAX
 * @window_entries: entries sent to a peer beyond the last one that it has
 *                  acknowledged
 * @piece_bytes: size of the pieces that a snapshot is sent in
 * @first_election_ticks: least timeout of the first election after the start;
 *                        it may be shorter than @election_ticks, as there may
 *                        be no leader and a pre-vote does not disrupt one;
 *                        0 for @election_ticks
 * @snapshot_bytes: payload bytes applied between two snapshots, or the size of
 *                  the last snapshot if that is more; 0 for no limit
 * @kept_bytes: payload bytes of the entries up to a snapshot that stay in the
 *              log; 0 for no limit
 * @clock_id: identifies this start of the process, whose times no other start
 *            may take for its own; 0 if ql_replica_set_time() is not used
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
	uint64_t snapshot_bytes;
	uint64_t kept_bytes;
	uint64_t clock_id;
} ql_replica_opts_t;

/**
 * struct ql_replica_peer - A member, and the state that a leader or candidate
 * keeps about it.
 * @id: identity of the member
 * @match: index of the last entry that it is known to have synced
 * @next: index of the next entry to send
 * @answered_round: newest read round that it has answered
 * @snapshot_offset: bytes of @snapshot that it has received
 * @snapshot: the snapshot that is being sent to it; without data when none is
 * @unanswered_ticks: ticks since its last answer
 * @voter: true for a voter, false for a learner
 * @vote_granted: it has granted its vote or pre-vote
 * @answered_since_heartbeat: it has answered since the last heartbeat
 * @clock_id: its &ql_replica_opts.clock_id in its last answer, or 0
 * @clock_ms: time of its clock at which it wrote that answer
 * @heard_ms: time of the own clock after that answer was received
 * @address: address that it listens on
 */
typedef struct ql_replica_peer {
	uint64_t id;
	uint64_t match;
	uint64_t next;
	uint64_t answered_round;
	uint64_t snapshot_offset;
	ql_journal_snapshot_t snapshot;
	uint32_t unanswered_ticks;
	bool voter;
	bool vote_granted;
	bool answered_since_heartbeat;
	uint64_t clock_id;
	uint64_t clock_ms;
	uint64_t heard_ms;
	char address[QL_ADDRESS_MAX];
} ql_replica_peer_t;

/**
 * struct ql_replica_transfer - A snapshot that is being received.
 * @from: identity of the sender
 * @index: index of the last entry in the snapshot
 * @term: term of that entry
 * @bytes: bytes received so far; NULL without a transfer
 */
typedef struct ql_replica_transfer {
	uint64_t from;
	uint64_t index;
	uint64_t term;
	GByteArray *bytes;
} ql_replica_transfer_t;

/** Proofs that wait for a quorum, or for their entry to be applied. */
#define QL_REPLICA_PROOFS_MAX 64u

/**
 * struct ql_replica_proof - A time at which no entry after some index had been
 * committed.
 * @round: read round that a quorum has to answer before this is proven; 0 if
 *         the leader has proven it
 * @index: index of the last entry that was committed at @at_ms
 * @at_ms: time in milliseconds of the clock of this replica
 */
typedef struct ql_replica_proof {
	uint64_t round;
	uint64_t index;
	uint64_t at_ms;
} ql_replica_proof_t;

/**
 * struct ql_replica_timed_round - A read round and its time.
 * @round: number of the round
 * @sent_us: a time at or before it was sent
 */
typedef struct ql_replica_timed_round {
	uint64_t round;
	uint64_t sent_us;
} ql_replica_timed_round_t;

/**
 * struct ql_replica - A replica.
 * @opts: options
 * @ops: callbacks
 * @data: passed to @ops
 * @state: identity, term, vote and commit index; the disk may lag behind
 * @base_index: index of the entry before the first one in @entries
 * @base_term: term of the entry at @base_index
 * @entries: the log, &struct ql_journal_entry by value
 * @snapshot: the newest snapshot
 * @peers: all members, including this replica when it is a member
 * @n_peers: number of @peers
 * @members_index: index of the entry that @peers comes from
 * @role: state of chart "replica"
 * @was_member: a committed list of members has included this replica
 * @leader: identity of the leader of the term, or 0 when it is not known
 * @leader_commit: commit index in the leader's last message
 * @term_start: index of the first entry of a leader's own term
 * @election_elapsed: ticks since the election timer was reset
 * @election_timeout: ticks after which the election timer expires
 * @heartbeat_elapsed: ticks since a leader's last heartbeat
 * @applied: index of the last entry applied
 * @applied_bytes: payload bytes applied since the last snapshot
 * @synced_index: index of the last entry on the disk
 * @synced_commit: commit index on the disk
 * @synced_identity: the identity is on the disk
 * @first_unwritten: index of the first entry that no write has taken
 * @writing_last_index: index of the last entry in the last write taken
 * @writing_commit: commit index in the last write taken
 * @last_taken_write: number of the last write taken
 * @last_synced_write: number of the last write synced
 * @write_ticks: ticks since the write in progress was taken
 * @write_failing: the last attempt of the write in progress has failed
 * @required_write: number of the write that makes the present identity, term,
 *                  vote and log durable; it need not hold the commit index
 * @snapshot_unwritten: the next write replaces the stored log by @snapshot and
 *                      @entries
 * @deferred_messages: messages to send once a write is synced
 * @read_round: number of the last round in which a quorum confirms the leader
 * @pending_reads: reads that wait for such a round
 * @now_us: time that ql_replica_set_time() has set; 0 for none
 * @proofs: the last proofs, as a ring
 * @n_proofs: number of proofs added to @proofs
 * @timed_rounds: the latest rounds of this term that began with a heartbeat,
 *                as a ring
 * @n_timed_rounds: number of rounds added to @timed_rounds
 * @transfer: snapshot being received
 * @failed: a snapshot could not be restored; all further input is ignored
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
	uint64_t applied_bytes;
	uint64_t synced_index;
	uint64_t synced_commit;
	bool synced_identity;
	uint64_t first_unwritten;
	uint64_t writing_last_index;
	uint64_t writing_commit;
	uint64_t last_taken_write;
	uint64_t last_synced_write;
	uint32_t write_ticks;
	bool write_failing;
	uint64_t required_write;
	bool snapshot_unwritten;
	GQueue deferred_messages;
	uint64_t read_round;
	GQueue pending_reads;
	uint64_t now_us;
	ql_replica_proof_t proofs[QL_REPLICA_PROOFS_MAX];
	uint64_t n_proofs;
	ql_replica_timed_round_t timed_rounds[QL_REPLICA_TIMED_ROUNDS];
	uint64_t n_timed_rounds;
	ql_replica_transfer_t transfer;
	bool failed;
};

/**
 * ql_replica_init() - Start a replica from its journal.
 * @replica: the replica
 * @opts: options; copied
 * @journal: opened journal; references to the payloads are taken
 * @identity: identity to use when the journal holds none
 * @ops: callbacks; borrowed
 * @data: passed to @ops
 * @error: detail of a failure
 *
 * Committed entries are applied before this returns.
 *
 * Return: 0, or an error such as QL_E_CORRUPT when the snapshot cannot be
 * restored; after an error @replica must not be finished.
 */
int ql_replica_init(ql_replica_t *replica, const ql_replica_opts_t *opts,
		    const ql_journal_t *journal, uint64_t identity,
		    const ql_replica_ops_t *ops, void *data, GError **error);

/**
 * ql_replica_finish() - Free what a replica has allocated. Messages that are
 * not sent yet and pending reads are discarded without a callback.
 * @replica: the replica
 */
void ql_replica_finish(ql_replica_t *replica);

/**
 * ql_replica_is_empty() - Check whether a replica has never been a member of a
 * cluster.
 * @replica: the replica
 *
 * Return: true when it has neither an entry nor a snapshot.
 */
bool ql_replica_is_empty(const ql_replica_t *replica);

/**
 * ql_replica_bootstrap() - Bootstrap a cluster from an empty replica.
 * @replica: the replica
 * @members: the initial members
 *
 * The caller ensures that none of the members has ever belonged to a cluster.
 *
 * Return: 0, or QL_E_EXISTS when the replica has a log or a term.
 */
int ql_replica_bootstrap(ql_replica_t *replica,
			 const ql_rpc_replica_members *members);

/**
 * ql_replica_tick() - Advance the time by one tick.
 * @replica: the replica
 *
 * The caller chooses the length of a tick. A leader sends a heartbeat when one
 * is due, and steps down when it has lost contact with a quorum or when its
 * disk does not complete a write; any other voter starts a pre-vote when its
 * election timer has expired and its disk completes writes.
 */
void ql_replica_tick(ql_replica_t *replica);

/**
 * ql_replica_deliver() - Handle a message from another replica.
 * @replica: the replica
 * @message: the message; ignored when it is addressed to another identity
 */
void ql_replica_deliver(ql_replica_t *replica,
			const ql_rpc_replica_message *message);

/**
 * ql_replica_propose() - Append an entry to the leader's log.
 * @replica: the replica
 * @kind: kind of the entry, see enum ql_replica_entry_kind
 * @payload: content of the entry; a reference is taken
 *
 * Return: 0 when the entry is appended but not yet committed,
 * QL_E_NOT_LEADER, or QL_E_FULL when QL_REPLICA_UNCOMMITTED_ENTRIES_MAX entries
 * are uncommitted.
 */
int ql_replica_propose(ql_replica_t *replica, uint32_t kind, GBytes *payload);

/**
 * ql_replica_flush() - Send proposals that have not been sent to the peers, as
 * far as &ql_replica_opts.window_entries allows.
 * @replica: the replica; nothing is sent when it is not the leader
 */
void ql_replica_flush(ql_replica_t *replica);

/**
 * struct ql_replica_change - A membership change.
 * @kind: whether to add, promote or remove the member
 * @id: identity of the member
 * @address: address that a new learner listens on; borrowed; used only to add
 *           a learner
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
 * @error: detail of an error
 *
 * One change is made at a time. The caller repeats the call while it returns
 * QL_E_PENDING.
 *
 * Return: 0 when the change is committed; QL_E_PENDING while this or an earlier
 * change is not committed, a new leader has not committed an entry, or a
 * learner has not caught up; QL_E_NOT_LEADER; QL_E_NOT_FOUND when there is no
 * member to promote; QL_E_INVALID for an unknown kind, a learner without
 * identity or address, a learner that is a member at another address, and the
 * removal of the last voter; QL_E_FULL when there are QL_REPLICA_MEMBERS_MAX
 * members; or QL_E_UNAVAILABLE when no quorum of the remaining voters is
 * answering.
 */
int ql_replica_change_members(ql_replica_t *replica,
			      const ql_replica_change_t *change,
			      GError **error);

/**
 * ql_replica_is_current() - Check whether a replica has applied every entry
 * that was committed according to the last message of the leader.
 * @replica: the replica
 *
 * Return: false without a leader, and until an entry of the leader's own term
 * is applied, as only that shows that all older committed entries are applied.
 */
bool ql_replica_is_current(const ql_replica_t *replica);

/**
 * ql_replica_start_read() - Start a linearizable read.
 * @replica: the replica
 * @token: passed to the callback @read_done
 *
 * A quorum confirms that this replica is still the leader. Once the read is
 * confirmed, the applied state includes every entry that was committed before
 * this call.
 *
 * Return: 0 when @read_done will be or has been called, QL_E_NOT_LEADER, or
 * QL_E_PENDING when a new leader has not committed an entry yet.
 */
int ql_replica_start_read(ql_replica_t *replica, uint64_t token);

/**
 * ql_replica_set_time() - Set the current time.
 * @replica: the replica
 * @now_us: microseconds of a clock that counts suspensions, see
 *          ql_clock_boot_us()
 *
 * The clock is to be read after an input was received and before it is passed
 * to the replica: an earlier reading would make the messages in it appear newer
 * than they are. What the replica then sends is sent after the reading.
 */
void ql_replica_set_time(ql_replica_t *replica, uint64_t now_us);

/**
 * ql_replica_proven_ms() - Get the newest time at which the applied state is
 * known to have been the newest.
 * @replica: the replica
 *
 * Every entry that any leader had committed by then is applied here.
 *
 * Return: milliseconds of the clock of ql_replica_set_time(), or 0 if no time
 * is known. A later call may return less: the largest value holds.
 */
uint64_t ql_replica_proven_ms(const ql_replica_t *replica);

/**
 * ql_replica_confirmed_us() - Tell until when no other replica can have been
 * elected.
 * @replica: the replica
 *
 * Return: a time at or before this leader sent the newest heartbeat of its term
 * that a quorum has answered; 0 if there is none or it is not the leader.
 */
uint64_t ql_replica_confirmed_us(const ql_replica_t *replica);

/**
 * ql_replica_leader_address() - Get the address of the leader.
 * @replica: the replica
 *
 * Return: the address that the leader listens on, or "" when it is not known;
 * borrowed until the members change.
 */
const char *ql_replica_leader_address(const ql_replica_t *replica);

/**
 * ql_replica_find_member() - Find a member by its identity.
 * @replica: the replica
 * @id: identity of the member
 *
 * Return: the member, borrowed until the members change, or NULL.
 */
const ql_replica_peer_t *ql_replica_find_member(const ql_replica_t *replica,
						uint64_t id);

/**
 * ql_replica_last_index() - Get the index of the last entry in the log.
 * @replica: the replica
 *
 * Return: the index, or 0 for an empty replica.
 */
uint64_t ql_replica_last_index(const ql_replica_t *replica);

/**
 * ql_replica_role_name() - Get the name of the role in chart "replica".
 * @replica: the replica
 *
 * Return: a static string.
 */
const char *ql_replica_role_name(const ql_replica_t *replica);

/**
 * struct ql_replica_write - Data to write to the journal and to sync.
 * @sequence: number of the write
 * @state: identity, term, vote and commit index
 * @restart: replace the stored log by @base instead of appending @entries
 * @base: snapshot and log that replace the stored ones, with @restart
 * @entries: entries to write
 * @n_entries: number of @entries
 */
typedef struct ql_replica_write {
	uint64_t sequence;
	ql_journal_state_t state;
	bool restart;
	ql_journal_compaction_t base;
	ql_journal_entry_t *entries;
	size_t n_entries;
} ql_replica_write_t;

/**
 * ql_replica_take_write() - Collect all changes that are not yet on the disk.
 * @replica: the replica
 * @write: the write to fill; free it with ql_replica_write_finish()
 *
 * Return: false when there is nothing to write or a write is in progress.
 */
bool ql_replica_take_write(ql_replica_t *replica, ql_replica_write_t *write);

/**
 * ql_replica_write_run() - Write to the journal and sync.
 * @write: the write
 * @journal: the journal
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_IO; after QL_E_IO the same write is to be run again, see
 * ql_replica_write_failed().
 */
int ql_replica_write_run(const ql_replica_write_t *write, ql_journal_t *journal,
			 GError **error);

/**
 * ql_replica_write_finish() - Free the entries and the snapshot of a write.
 * @write: the write
 */
void ql_replica_write_finish(ql_replica_write_t *write);

/**
 * ql_replica_write_done() - Handle the completion of a write.
 * @replica: the replica
 * @sequence: number of the write, which is now synced; ignored unless it is
 *            that of the last write taken
 *
 * Sends the messages that waited for the write, and applies the entries whose
 * commit it has made durable.
 */
void ql_replica_write_done(ql_replica_t *replica, uint64_t sequence);

/**
 * ql_replica_write_failed() - Handle a failure of the write in progress.
 * @replica: the replica
 *
 * The caller runs the write again until it succeeds. Until then nothing that
 * depends on it is sent or applied. A leader steps down, so that another
 * replica can lead, and this one starts no election.
 */
void ql_replica_write_failed(ql_replica_t *replica);

/**
 * ql_replica_message_free() - Free a message that was passed to
 * &ql_replica_ops.send.
 * @message: the message
 */
void ql_replica_message_free(ql_rpc_replica_message *message);

G_END_DECLS

#endif
