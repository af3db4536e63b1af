#include "control/replica_private.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

/*
 * A leader commits entries of older terms only together with an entry of its
 * own term, so it starts its term with an empty one.
 */
static void append_empty_entry(ql_replica_t *replica)
{
	GBytes *payload = g_bytes_new(NULL, 0);

	ql_replica__append(replica, replica->state.term, QL_REPLICA_ENTRY_NONE,
			   payload);
	g_bytes_unref(payload);
}

void ql_replica__become_leader(ql_replica_t *replica)
{
	ql_replica_peer_t *peer;
	size_t i;

	ql_replica__apply_event(replica, QL_EVENT_REPLICA_VOTE_WON);
	replica->leader = replica->state.identity;
	replica->heartbeat_elapsed = 0;
	ql_replica__forget_rounds(replica);
	ql_replica__begin_round(replica);
	for (i = 0; i < replica->n_peers; i++) {
		peer = &replica->peers[i];
		peer->match = 0;
		peer->next = ql_replica_last_index(replica) + 1;
		peer->answered_since_heartbeat = true;
		peer->unanswered_ticks = 0;
		peer->answered_round = 0;
		peer->snapshot_offset = 0;
		g_clear_pointer(&peer->snapshot.data, g_bytes_unref);
	}
	/* The rounds of an older term prove nothing in this one. */
	ql_replica__drop_proofs(replica);
	append_empty_entry(replica);
	replica->term_start = ql_replica_last_index(replica);
	ql_replica__broadcast(replica);
}

static void copy_entry(ql_rpc_replica_entry *out,
		       const ql_journal_entry_t *entry)
{
	gsize length;
	const void *data = g_bytes_get_data(entry->payload, &length);

	out->term = entry->term;
	out->kind = entry->kind;
	out->payload.payload_len = (u_int)length;
	out->payload.payload_val = malloc(length + 1);
	g_assert(out->payload.payload_val);
	if (length)
		memcpy(out->payload.payload_val, data, length);
}

static void fill_entries(const ql_replica_t *replica,
			 ql_rpc_replica_message *message, uint64_t from)
{
	uint64_t last = ql_replica_last_index(replica);
	size_t n = MIN(last + 1 - from, replica->opts.message_entries);
	const ql_journal_entry_t *entry;
	size_t bytes = 0, i;

	message->entries.entries_val =
		calloc(n + 1, sizeof(*message->entries.entries_val));
	g_assert(message->entries.entries_val);
	for (i = 0; i < n; i++) {
		entry = ql_replica__entry(replica, from + i);
		bytes += g_bytes_get_size(entry->payload);
		if (i && bytes > QL_REPLICA_MESSAGE_PAYLOAD_MAX_BYTES)
			break;
		copy_entry(&message->entries.entries_val[i], entry);
		message->entries.entries_len++;
	}
}

static void send_append(ql_replica_t *replica, ql_replica_peer_t *peer)
{
	ql_rpc_replica_message *message;

	if (peer->snapshot.data || peer->next <= replica->base_index) {
		ql_replica__send_snapshot(replica, peer);
		return;
	}
	message = ql_replica__new_message(replica, QL_REPLICA_APPEND, peer->id);
	message->index = peer->next - 1;
	message->index_term = ql_replica__term_at(replica, message->index);
	message->commit = replica->state.commit;
	message->round = replica->read_round;
	ql_replica__fill_proof(replica, peer, message);
	if (peer->next <= peer->match + replica->opts.window_entries)
		fill_entries(replica, message, peer->next);
	peer->next += message->entries.entries_len;
	ql_replica__send(replica, message);
}

void ql_replica__broadcast(ql_replica_t *replica)
{
	size_t i;

	for (i = 0; i < replica->n_peers; i++)
		if (replica->peers[i].id != replica->state.identity)
			send_append(replica, &replica->peers[i]);
}

/*
 * Sends a heartbeat to all peers. Peers that have not answered since the last
 * one are sent their unacknowledged entries again.
 */
static void send_heartbeat(ql_replica_t *replica)
{
	ql_replica_peer_t *peer;
	size_t i;

	replica->heartbeat_elapsed = 0;
	ql_replica__begin_round(replica);
	for (i = 0; i < replica->n_peers; i++) {
		peer = &replica->peers[i];
		if (!peer->answered_since_heartbeat && peer->match)
			peer->next = peer->match + 1;
		peer->answered_since_heartbeat = false;
	}
	ql_replica__start_proof(replica);
	ql_replica__broadcast(replica);
}

static bool has_quorum_contact(const ql_replica_t *replica)
{
	const ql_replica_peer_t *peer;
	size_t n = 0, i;

	for (i = 0; i < replica->n_peers; i++) {
		peer = &replica->peers[i];
		if (peer->voter &&
		    (peer->id == replica->state.identity ||
		     peer->unanswered_ticks <= replica->opts.election_ticks))
			n++;
	}
	return n >= ql_replica__quorum(replica);
}

void ql_replica__tick_leader(ql_replica_t *replica)
{
	size_t i;

	for (i = 0; i < replica->n_peers; i++)
		replica->peers[i].unanswered_ticks++;
	if (!has_quorum_contact(replica)) {
		ql_replica__become_follower(replica,
					    QL_EVENT_REPLICA_QUORUM_LOST, 0);
		return;
	}
	if (ql_replica__is_disk_stalled(replica)) {
		ql_replica__become_follower(replica,
					    QL_EVENT_REPLICA_DISK_STALLED, 0);
		return;
	}
	if (++replica->heartbeat_elapsed >= replica->opts.heartbeat_ticks)
		send_heartbeat(replica);
}

static int compare_indices(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

/* Returns the index of the last entry that a quorum has synced. */
static uint64_t quorum_index(const ql_replica_t *replica)
{
	uint64_t indices[QL_REPLICA_MEMBERS_MAX] = {0};
	const ql_replica_peer_t *peer;
	size_t n = 0, i;

	for (i = 0; i < replica->n_peers; i++) {
		peer = &replica->peers[i];
		if (!peer->voter)
			continue;
		indices[n++] = peer->id == replica->state.identity
				       ? replica->synced_index
				       : peer->match;
	}
	qsort(indices, n, sizeof(*indices), compare_indices);
	return indices[ql_replica__quorum(replica) - 1];
}

void ql_replica__advance_commit(ql_replica_t *replica)
{
	uint64_t index;

	if (replica->role != QL_REPLICA_LEADER)
		return;
	index = quorum_index(replica);
	if (index <= replica->state.commit ||
	    !replica->opts.rules->may_commit(replica, index))
		return;
	replica->state.commit = index;
	ql_replica__start_proof(replica);
	ql_replica__broadcast(replica);
	if (replica->members_index <= index &&
	    !ql_replica_find_member(replica, replica->state.identity))
		ql_replica__become_follower(replica, QL_EVENT_REPLICA_REMOVED,
					    0);
}

/* Sends entries that have not been sent yet, as far as the window allows. */
static void send_unsent(ql_replica_t *replica, ql_replica_peer_t *peer)
{
	while (!peer->snapshot.data && peer->next > replica->base_index &&
	       peer->next <= ql_replica_last_index(replica) &&
	       peer->next <= peer->match + replica->opts.window_entries)
		send_append(replica, peer);
}

void ql_replica_flush(ql_replica_t *replica)
{
	size_t i;

	if (replica->role != QL_REPLICA_LEADER)
		return;
	for (i = 0; i < replica->n_peers; i++)
		if (replica->peers[i].id != replica->state.identity)
			send_unsent(replica, &replica->peers[i]);
}

/* Moves back to the index that a peer suggested, and sends from there. */
static void handle_rejection(ql_replica_t *replica, ql_replica_peer_t *peer,
			     const ql_rpc_replica_message *message)
{
	/* Outdated: the peer has acknowledged this entry since. */
	if (message->offset <= peer->match && peer->match)
		return;
	peer->next =
		MAX(peer->match + 1, MIN(message->offset, message->index + 1));
	peer->next = MAX(peer->next, 1);
	send_append(replica, peer);
}

void ql_replica__on_append_answer(ql_replica_t *replica,
				  const ql_rpc_replica_message *message)
{
	ql_replica_peer_t *peer = ql_replica__find_peer(replica, message->from);

	if (replica->role != QL_REPLICA_LEADER || !peer ||
	    message->index > ql_replica_last_index(replica))
		return;
	peer->unanswered_ticks = 0;
	peer->answered_since_heartbeat = true;
	peer->answered_round = MAX(peer->answered_round, message->round);
	ql_replica__note_clock(replica, peer, message);
	if (!message->granted) {
		handle_rejection(replica, peer, message);
	} else {
		if (peer->snapshot.data &&
		    message->index >= peer->snapshot.index)
			g_clear_pointer(&peer->snapshot.data, g_bytes_unref);
		peer->match = MAX(peer->match, message->index);
		peer->next = MAX(peer->next, peer->match + 1);
		ql_replica__advance_commit(replica);
		if (replica->role == QL_REPLICA_LEADER)
			send_unsent(replica, peer);
	}
	ql_replica__finish_reads(replica);
}

int ql_replica_propose(ql_replica_t *replica, uint32_t kind, GBytes *payload)
{
	if (replica->role != QL_REPLICA_LEADER)
		return QL_E_NOT_LEADER;
	if (ql_replica_last_index(replica) - replica->state.commit >=
	    QL_REPLICA_UNCOMMITTED_ENTRIES_MAX)
		return QL_E_FULL;
	ql_replica__append(replica, replica->state.term, kind, payload);
	return 0;
}
