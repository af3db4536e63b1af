#include "control/replica_codec.h"
#include "control/replica_private.h"
#include "quetzalloft/error.h"

#include <string.h>

static void clear_entry(void *data)
{
	ql_journal_entry_t *entry = data;

	g_bytes_unref(entry->payload);
}

static void load_journal(ql_replica_t *replica, const ql_journal_t *journal,
			 uint64_t identity)
{
	guint i;

	replica->state = journal->state;
	replica->base_index = journal->base_index;
	replica->base_term = journal->base_term;
	replica->snapshot = journal->snapshot;
	if (replica->snapshot.data)
		g_bytes_ref(replica->snapshot.data);
	g_array_append_vals(replica->entries, journal->entries->data,
			    journal->entries->len);
	for (i = 0; i < replica->entries->len; i++)
		g_bytes_ref(
			g_array_index(replica->entries, ql_journal_entry_t, i)
				.payload);
	replica->synced_index = ql_replica_last_index(replica);
	replica->first_unwritten = replica->synced_index + 1;
	replica->synced_commit = replica->state.commit;
	replica->writing_commit = replica->state.commit;
	replica->synced_identity = replica->state.identity != 0;
	if (!replica->synced_identity)
		replica->state.identity = identity;
	/*
	 * What was loaded may not be synced when the process before was killed,
	 * so nothing is answered before a write that syncs it.
	 */
	ql_replica__require_write(replica);
}

static void start_election_timer(ql_replica_t *replica, uint32_t min_ticks)
{
	replica->election_elapsed = 0;
	replica->election_timeout =
		min_ticks + (uint32_t)g_rand_int_range(replica->opts.random, 0,
						       (gint32)min_ticks);
}

int ql_replica_init(ql_replica_t *replica, const ql_replica_opts_t *opts,
		    const ql_journal_t *journal, uint64_t identity,
		    const ql_replica_ops_t *ops, void *data, GError **error)
{
	int ret = 0;

	memset(replica, 0, sizeof(*replica));
	replica->opts = *opts;
	replica->ops = ops;
	replica->data = data;
	replica->entries =
		g_array_new(FALSE, FALSE, sizeof(ql_journal_entry_t));
	g_array_set_clear_func(replica->entries, clear_entry);
	g_queue_init(&replica->deferred_messages);
	g_queue_init(&replica->pending_reads);
	replica->role = (ql_replica_role_t)opts->chart->start;
	load_journal(replica, journal, identity);
	ql_replica__load_members(replica);
	start_election_timer(replica, opts->first_election_ticks
					      ? opts->first_election_ticks
					      : opts->election_ticks);
	if (replica->snapshot.data)
		ret = ql_replica__restore_snapshot(replica, error);
	if (ret) {
		ql_replica_finish(replica);
		return ret;
	}
	ql_replica__apply(replica);
	return 0;
}

/* With an unreachable term and all writes synced, every message is dropped. */
static void drop_deferred(ql_replica_t *replica)
{
	replica->last_synced_write = UINT64_MAX;
	replica->state.term = UINT64_MAX;
	ql_replica__release_deferred(replica);
}

void ql_replica_finish(ql_replica_t *replica)
{
	size_t i;

	drop_deferred(replica);
	g_queue_clear_full(&replica->pending_reads, g_free);
	ql_replica__drop_transfer(replica);
	for (i = 0; i < replica->n_peers; i++)
		g_clear_pointer(&replica->peers[i].snapshot.data,
				g_bytes_unref);
	g_clear_pointer(&replica->snapshot.data, g_bytes_unref);
	g_array_unref(replica->entries);
}

bool ql_replica_is_empty(const ql_replica_t *replica)
{
	return !ql_replica_last_index(replica);
}

int ql_replica_bootstrap(ql_replica_t *replica,
			 const ql_rpc_replica_members *members)
{
	GBytes *payload;

	if (!ql_replica_is_empty(replica) || replica->state.term)
		return QL_E_EXISTS;
	payload = ql_replica_members_encode(members);
	replica->state.term = 1;
	ql_replica__append(replica, 1, QL_REPLICA_ENTRY_MEMBERS, payload);
	g_bytes_unref(payload);
	return 0;
}

size_t ql_replica__quorum(const ql_replica_t *replica)
{
	size_t voters = 0, i;

	for (i = 0; i < replica->n_peers; i++)
		if (replica->peers[i].voter)
			voters++;
	return voters / 2 + 1;
}

void ql_replica__reset_election_timer(ql_replica_t *replica)
{
	start_election_timer(replica, replica->opts.election_ticks);
}

void ql_replica__become_follower(ql_replica_t *replica, ql_event_t event,
				 uint64_t leader)
{
	bool was_leader = replica->role == QL_REPLICA_LEADER;

	ql_replica__apply_event(replica, event);
	replica->leader = leader;
	ql_replica__reset_election_timer(replica);
	if (!was_leader)
		return;
	ql_replica__fail_reads(replica);
	ql_replica__drop_proofs(replica);
	replica->ops->leadership_lost(replica->data);
}

void ql_replica__adopt_term(ql_replica_t *replica, uint64_t term)
{
	if (term <= replica->state.term)
		return;
	replica->state.term = term;
	replica->state.vote = 0;
	ql_replica__require_write(replica);
	ql_replica__become_follower(replica, QL_EVENT_REPLICA_HIGHER_TERM, 0);
}

/* The only voter starts an election at once, as no other member can lead. */
static bool is_only_voter(const ql_replica_t *replica)
{
	return ql_replica__is_voter(replica) &&
	       ql_replica__quorum(replica) == 1 &&
	       replica->role == QL_REPLICA_FOLLOWER;
}

void ql_replica_tick(ql_replica_t *replica)
{
	if (replica->failed)
		return;
	ql_replica__tick_write(replica);
	if (replica->role == QL_REPLICA_LEADER) {
		ql_replica__tick_leader(replica);
		return;
	}
	if (++replica->election_elapsed < replica->election_timeout &&
	    !is_only_voter(replica))
		return;
	if (ql_replica__may_campaign(replica) &&
	    !ql_replica__is_disk_stalled(replica)) {
		ql_replica__campaign(replica);
	} else {
		replica->leader = 0;
		ql_replica__reset_election_timer(replica);
	}
}

/* Answers the leader of an older term with the newer term; it then steps down.
 */
static void reject_stale_leader(ql_replica_t *replica,
				const ql_rpc_replica_message *message)
{
	if (message->type == QL_REPLICA_APPEND ||
	    message->type == QL_REPLICA_SNAPSHOT)
		ql_replica__send_after_sync(
			replica,
			ql_replica__new_message(replica,
						QL_REPLICA_APPEND_ANSWER,
						message->from));
}

static bool is_from_leader(const ql_rpc_replica_message *message)
{
	return message->type == QL_REPLICA_APPEND ||
	       message->type == QL_REPLICA_SNAPSHOT;
}

/*
 * Adopts the term of a message, and its sender as the leader when only a leader
 * sends such messages. Returns false when the message must be ignored.
 */
static bool adopt_message_term(ql_replica_t *replica,
			       const ql_rpc_replica_message *message)
{
	bool from_leader = is_from_leader(message);

	if (message->term < replica->state.term) {
		reject_stale_leader(replica, message);
		return false;
	}
	if (from_leader && replica->role == QL_REPLICA_LEADER &&
	    message->term == replica->state.term)
		return false;
	ql_replica__adopt_term(replica, message->term);
	if (from_leader)
		ql_replica__become_follower(replica,
					    QL_EVENT_REPLICA_LEADER_HEARD,
					    message->from);
	return true;
}

static void dispatch_message(ql_replica_t *replica,
			     const ql_rpc_replica_message *message)
{
	switch (message->type) {
	case QL_REPLICA_VOTE:
		ql_replica__on_vote(replica, message);
		break;
	case QL_REPLICA_VOTE_ANSWER:
		ql_replica__on_vote_answer(replica, message);
		break;
	case QL_REPLICA_APPEND:
		ql_replica__on_append(replica, message);
		break;
	case QL_REPLICA_APPEND_ANSWER:
		ql_replica__on_append_answer(replica, message);
		break;
	case QL_REPLICA_SNAPSHOT:
		ql_replica__on_snapshot(replica, message);
		break;
	case QL_REPLICA_SNAPSHOT_ANSWER:
		ql_replica__on_snapshot_answer(replica, message);
		break;
	default:
		break;
	}
}

void ql_replica_deliver(ql_replica_t *replica,
			const ql_rpc_replica_message *message)
{
	if (replica->failed || message->to != replica->state.identity)
		return;
	if (message->type == QL_REPLICA_PRE_VOTE) {
		ql_replica__on_pre_vote(replica, message);
		return;
	}
	if (message->type == QL_REPLICA_PRE_VOTE_ANSWER) {
		ql_replica__on_pre_vote_answer(replica, message);
		return;
	}
	if (message->type == QL_REPLICA_VOTE && ql_replica__has_leader(replica))
		return;
	if (adopt_message_term(replica, message))
		dispatch_message(replica, message);
}
