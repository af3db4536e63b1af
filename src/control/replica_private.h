#ifndef QL_CONTROL_REPLICA_PRIVATE_H
#define QL_CONTROL_REPLICA_PRIVATE_H

/**
 * DOC: What the files of the replica share.
 */

#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/* replica_role.c */
/* Takes an event of the chart; the role may change. */
void ql_replica__apply_event(ql_replica_t *replica, ql_event_t event);
/* Steps when this replica is a voter until another list is committed. */
void ql_replica__check_promotion(ql_replica_t *replica);
/* Steps when the committed members name this replica no more. */
void ql_replica__check_removal(ql_replica_t *replica);

/* replica.c */
/* Takes over a term that is higher. */
void ql_replica__adopt_term(ql_replica_t *replica, uint64_t term);
/* Follows a leader, or nobody yet, after an event of the chart. */
void ql_replica__become_follower(ql_replica_t *replica, ql_event_t event,
				 uint64_t leader);
void ql_replica__reset_election_timer(ql_replica_t *replica);
size_t ql_replica__quorum(const ql_replica_t *replica);

/* replica_log.c */
const ql_journal_entry_t *ql_replica__entry(const ql_replica_t *replica,
					    uint64_t index);
/* The term of an entry, or 0 when it is not in the log. */
uint64_t ql_replica__term_at(const ql_replica_t *replica, uint64_t index);
void ql_replica__append(ql_replica_t *replica, uint64_t term, uint32_t kind,
			GBytes *payload);
/* Drops an entry and all behind it. */
void ql_replica__truncate(ql_replica_t *replica, uint64_t index);
/* Drops all entries up to an index. */
void ql_replica__compact_log(ql_replica_t *replica, uint64_t index);

/* replica_members.c */
/* Finds the newest members in the log or the snapshot. */
void ql_replica__load_members(ql_replica_t *replica);
/* The members as of an entry, as XDR text of &ql_rpc_replica_members. */
bool ql_replica__members_at(const ql_replica_t *replica, uint64_t index,
			    ql_rpc_replica_members *members);
ql_replica_peer_t *ql_replica__find_peer(ql_replica_t *replica, uint64_t id);
bool ql_replica__is_voter(const ql_replica_t *replica);
bool ql_replica__may_campaign(const ql_replica_t *replica);

/* replica_message.c */
ql_rpc_replica_message *ql_replica__new_message(const ql_replica_t *replica,
						ql_replica_message_type type,
						uint64_t to);
/* Sends at once. */
void ql_replica__send(ql_replica_t *replica, ql_rpc_replica_message *message);
/* Sends once all but the commit index is on the disk. */
void ql_replica__send_after_sync(ql_replica_t *replica,
				 ql_rpc_replica_message *message);
void ql_replica__release_deferred(ql_replica_t *replica);

/* replica_election.c */
void ql_replica__campaign(ql_replica_t *replica);
/* Takes this replica's own vote, when it is a member. */
void ql_replica__vote_for_self(ql_replica_t *replica);
void ql_replica__count_votes(ql_replica_t *replica);
void ql_replica__on_pre_vote(ql_replica_t *replica,
			     const ql_rpc_replica_message *message);
void ql_replica__on_pre_vote_answer(ql_replica_t *replica,
				    const ql_rpc_replica_message *message);
void ql_replica__on_vote(ql_replica_t *replica,
			 const ql_rpc_replica_message *message);
void ql_replica__on_vote_answer(ql_replica_t *replica,
				const ql_rpc_replica_message *message);
/* Whether this replica hears from a leader or is one. */
bool ql_replica__has_leader(const ql_replica_t *replica);

/* replica_leader.c */
void ql_replica__become_leader(ql_replica_t *replica);
void ql_replica__tick_leader(ql_replica_t *replica);
void ql_replica__broadcast(ql_replica_t *replica);
void ql_replica__advance_commit(ql_replica_t *replica);
void ql_replica__on_append_answer(ql_replica_t *replica,
				  const ql_rpc_replica_message *message);

/* replica_follower.c */
void ql_replica__on_append(ql_replica_t *replica,
			   const ql_rpc_replica_message *message);
void ql_replica__answer_append(ql_replica_t *replica, uint64_t to,
			       uint64_t index, uint64_t round);

/* replica_read.c */
void ql_replica__finish_reads(ql_replica_t *replica);
void ql_replica__fail_reads(ql_replica_t *replica);

/* replica_snapshot.c */
void ql_replica__take_snapshot(ql_replica_t *replica);
int ql_replica__restore_snapshot(ql_replica_t *replica, GError **error);
void ql_replica__send_snapshot(ql_replica_t *replica, ql_replica_peer_t *peer);
void ql_replica__on_snapshot(ql_replica_t *replica,
			     const ql_rpc_replica_message *message);
void ql_replica__on_snapshot_answer(ql_replica_t *replica,
				    const ql_rpc_replica_message *message);
void ql_replica__drop_transfer(ql_replica_t *replica);

/* replica_disk.c */
/* Notes that the state or the log has changed. */
void ql_replica__require_write(ql_replica_t *replica);
void ql_replica__apply(ql_replica_t *replica);

G_END_DECLS

#endif
