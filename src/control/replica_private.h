#ifndef QL_CONTROL_REPLICA_PRIVATE_H
#define QL_CONTROL_REPLICA_PRIVATE_H

/**
 * DOC: Functions shared by the files that implement &struct ql_replica.
 */

#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/* replica_role.c */
/* Applies an event to the state chart, which may change the role. */
void ql_replica__apply_event(ql_replica_t *replica, ql_event_t event);
/* Leaves the role "learner" when this replica may campaign. */
void ql_replica__check_promotion(ql_replica_t *replica);
/* Enters the role "removed" when the committed members lack this replica. */
void ql_replica__check_removal(ql_replica_t *replica);

/* replica.c */
/* Adopts a higher term and becomes a follower; other terms are ignored. */
void ql_replica__adopt_term(ql_replica_t *replica, uint64_t term);
/*
 * Applies an event to the state chart, sets the leader (0 for an unknown one)
 * and resets the election timer. A former leader also fails its pending reads.
 */
void ql_replica__become_follower(ql_replica_t *replica, ql_event_t event,
				 uint64_t leader);
/* Restarts the election timer with a new random timeout. */
void ql_replica__reset_election_timer(ql_replica_t *replica);
/* Returns the number of voters that make a majority. */
size_t ql_replica__quorum(const ql_replica_t *replica);

/* replica_log.c */
/* Returns the entry at an index, or NULL when it is not in the log. */
const ql_journal_entry_t *ql_replica__entry(const ql_replica_t *replica,
					    uint64_t index);
/* Returns the term of the entry at an index, or 0 when it is not known. */
uint64_t ql_replica__term_at(const ql_replica_t *replica, uint64_t index);
/* Appends an entry to the log and takes a reference to its payload. */
void ql_replica__append(ql_replica_t *replica, uint64_t term, uint32_t kind,
			GBytes *payload);
/* Removes the entry at an index and all later entries. */
void ql_replica__truncate(ql_replica_t *replica, uint64_t index);
/* Discards all entries up to and including an index. */
void ql_replica__compact_log(ql_replica_t *replica, uint64_t index);

/* replica_members.c */
/* Loads the newest members from the log or the snapshot. */
void ql_replica__load_members(ql_replica_t *replica);
/*
 * Reads the members as of the entry at an index; false when they are not known.
 * The caller frees the members with xdr_free().
 */
bool ql_replica__members_at(const ql_replica_t *replica, uint64_t index,
			    ql_rpc_replica_members *members);
/* Returns the member with an identity, to be modified, or NULL. */
ql_replica_peer_t *ql_replica__find_peer(ql_replica_t *replica, uint64_t id);
/* Returns whether this replica is a voter, committed or not. */
bool ql_replica__is_voter(const ql_replica_t *replica);
/* Returns whether this replica may start an election. */
bool ql_replica__may_campaign(const ql_replica_t *replica);

/* replica_message.c */
/* Allocates a message from this replica with its present term. */
ql_rpc_replica_message *ql_replica__new_message(const ql_replica_t *replica,
						ql_replica_message_type type,
						uint64_t to);
/* Sends a message immediately and passes on its ownership. */
void ql_replica__send(ql_replica_t *replica, ql_rpc_replica_message *message);
/*
 * Sends a message once the present identity, term, vote and log are on the
 * disk. The commit index need not be.
 */
void ql_replica__send_after_sync(ql_replica_t *replica,
				 ql_rpc_replica_message *message);
/* Sends deferred messages whose write is synced; drops those of old terms. */
void ql_replica__release_deferred(ql_replica_t *replica);

/* replica_election.c */
/* Starts a pre-vote. */
void ql_replica__campaign(ql_replica_t *replica);
/* Counts this replica's own vote when it is a member. */
void ql_replica__vote_for_self(ql_replica_t *replica);
/*
 * Starts the election when a quorum has granted its pre-votes, or becomes the
 * leader when a quorum has granted its votes.
 */
void ql_replica__count_votes(ql_replica_t *replica);
/* The following four functions handle a message of the type in their name. */
void ql_replica__on_pre_vote(ql_replica_t *replica,
			     const ql_rpc_replica_message *message);
void ql_replica__on_pre_vote_answer(ql_replica_t *replica,
				    const ql_rpc_replica_message *message);
void ql_replica__on_vote(ql_replica_t *replica,
			 const ql_rpc_replica_message *message);
void ql_replica__on_vote_answer(ql_replica_t *replica,
				const ql_rpc_replica_message *message);
/*
 * Returns whether this replica is the leader, or has received a message of the
 * leader within the election timeout.
 */
bool ql_replica__has_leader(const ql_replica_t *replica);

/* replica_leader.c */
/* Becomes the leader and appends an empty entry of its term. */
void ql_replica__become_leader(ql_replica_t *replica);
/* Sends a due heartbeat; steps down when contact with a quorum is lost. */
void ql_replica__tick_leader(ql_replica_t *replica);
/* Sends an append, or a piece of a snapshot, to every other member. */
void ql_replica__broadcast(ql_replica_t *replica);
/* Commits the entries that a quorum has synced, as far as the rules allow. */
void ql_replica__advance_commit(ql_replica_t *replica);
void ql_replica__on_append_answer(ql_replica_t *replica,
				  const ql_rpc_replica_message *message);

/* replica_follower.c */
void ql_replica__on_append(ql_replica_t *replica,
			   const ql_rpc_replica_message *message);
/* Acknowledges all entries up to an index, once they are synced. */
void ql_replica__answer_append(ql_replica_t *replica, uint64_t to,
			       uint64_t index, uint64_t round);

/* replica_proof.c */
/*
 * Starts a read round whose confirmation proves the present commit index; the
 * caller broadcasts it. Does nothing when the last one is recent.
 */
void ql_replica__start_proof(ql_replica_t *replica);
/* Forgets all proofs, with those that wait for a quorum. */
void ql_replica__drop_proofs(ql_replica_t *replica);
/* Adds the newest proof to an append, by the clock of its receiver. */
void ql_replica__fill_proof(const ql_replica_t *replica,
			    const ql_replica_peer_t *peer,
			    ql_rpc_replica_message *message);
/* Takes over the proof in an append of the leader. */
void ql_replica__take_proof(ql_replica_t *replica,
			    const ql_rpc_replica_message *message);
/* Adds the time of this replica to an answer, for the next proof. */
void ql_replica__fill_clock(const ql_replica_t *replica,
			    ql_rpc_replica_message *answer);
/* Notes the time of a peer from its answer. */
void ql_replica__note_clock(const ql_replica_t *replica,
			    ql_replica_peer_t *peer,
			    const ql_rpc_replica_message *answer);

/* replica_read.c */
/* Returns the newest round that a quorum has answered. */
uint64_t ql_replica__confirmed_round(const ql_replica_t *replica);
/* Completes reads that a quorum has confirmed and whose entry is applied. */
void ql_replica__finish_reads(ql_replica_t *replica);
/* Fails all pending reads with QL_E_NOT_LEADER. */
void ql_replica__fail_reads(ql_replica_t *replica);
/* Begins a round and keeps its time; the caller sends it afterwards. */
void ql_replica__begin_round(ql_replica_t *replica);
/* Forgets the times of the rounds of an earlier term. */
void ql_replica__forget_rounds(ql_replica_t *replica);

/* replica_snapshot.c */
/* Takes a snapshot of the applied state and compacts the log. */
void ql_replica__take_snapshot(ql_replica_t *replica);
/* Replaces the applied state by the snapshot; returns 0 or an error. */
int ql_replica__restore_snapshot(ql_replica_t *replica, GError **error);
/* Sends the next piece of a snapshot. */
void ql_replica__send_snapshot(ql_replica_t *replica, ql_replica_peer_t *peer);
void ql_replica__on_snapshot(ql_replica_t *replica,
			     const ql_rpc_replica_message *message);
void ql_replica__on_snapshot_answer(ql_replica_t *replica,
				    const ql_rpc_replica_message *message);
/* Discards a partly received snapshot. */
void ql_replica__drop_transfer(ql_replica_t *replica);

/* replica_disk.c */
/* Records that the identity, term, vote or log has changed. */
void ql_replica__require_write(ql_replica_t *replica);
/* Counts a tick of the write in progress. */
void ql_replica__tick_write(ql_replica_t *replica);
/* Returns whether the disk fails, or takes too long, to complete a write. */
bool ql_replica__is_disk_stalled(const ql_replica_t *replica);
/* Applies all committed entries whose commit is on the disk. */
void ql_replica__apply(ql_replica_t *replica);

G_END_DECLS

#endif
