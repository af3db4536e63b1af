#include "control/replica_private.h"

void ql_replica__answer_append(ql_replica_t *replica, uint64_t to,
			       uint64_t index, uint64_t round)
{
	ql_rpc_replica_message *answer =
		ql_replica__new_message(replica, QL_REPLICA_APPEND_ANSWER, to);

	answer->granted = TRUE;
	answer->index = index;
	answer->round = round;
	ql_replica__fill_clock(replica, answer);
	ql_replica__send_after_sync(replica, answer);
}

/*
 * Rejects an append whose previous entry is missing here. The answer suggests
 * an index at which the logs may match: the end of a shorter log, or the entry
 * before all entries of the conflicting term.
 */
static void reject_append(ql_replica_t *replica,
			  const ql_rpc_replica_message *message)
{
	ql_rpc_replica_message *answer =
		ql_replica__new_message(replica, QL_REPLICA_APPEND_ANSWER,
					message->from);
	uint64_t index = MIN(message->index, ql_replica_last_index(replica));
	uint64_t term = ql_replica__term_at(replica, index);

	if (index == message->index)
		while (index > replica->state.commit &&
		       ql_replica__term_at(replica, index) == term)
			index--;
	answer->index = index;
	answer->offset = message->index;
	answer->round = message->round;
	ql_replica__fill_clock(replica, answer);
	ql_replica__send_after_sync(replica, answer);
}

static bool has_entry(const ql_replica_t *replica, uint64_t index,
		      uint64_t term)
{
	/* Committed entries are the same on all replicas. */
	if (index <= replica->state.commit)
		return true;
	return index <= ql_replica_last_index(replica) &&
	       ql_replica__term_at(replica, index) == term;
}

/* Appends an entry of the leader and removes entries that conflict with it. */
static void store_entry(ql_replica_t *replica, uint64_t index,
			const ql_rpc_replica_entry *entry)
{
	GBytes *payload;

	if (has_entry(replica, index, entry->term))
		return;
	if (index <= ql_replica_last_index(replica))
		ql_replica__truncate(replica, index);
	payload = g_bytes_new(entry->payload.payload_val,
			      entry->payload.payload_len);
	ql_replica__append(replica, entry->term, entry->kind, payload);
	g_bytes_unref(payload);
}

void ql_replica__on_append(ql_replica_t *replica,
			   const ql_rpc_replica_message *message)
{
	uint64_t match = message->index + message->entries.entries_len;
	u_int i;

	ql_replica__take_proof(replica, message);
	if (!has_entry(replica, message->index, message->index_term)) {
		reject_append(replica, message);
		return;
	}
	for (i = 0; i < message->entries.entries_len; i++)
		store_entry(replica, message->index + 1 + i,
			    &message->entries.entries_val[i]);
	replica->state.commit =
		MAX(replica->state.commit, MIN(message->commit, match));
	replica->leader_commit = message->commit;
	ql_replica__answer_append(replica, message->from, match,
				  message->round);
}
