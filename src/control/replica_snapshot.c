#include "control/replica_codec.h"
#include "control/replica_private.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

static void set_snapshot(ql_replica_t *replica, uint64_t index, uint64_t term,
			 GBytes *data)
{
	g_clear_pointer(&replica->snapshot.data, g_bytes_unref);
	replica->snapshot.index = index;
	replica->snapshot.term = term;
	replica->snapshot.data = data;
	replica->snapshot_unwritten = true;
}

/* Returns the index up to which a snapshot of an entry replaces the log. */
static uint64_t compacted_index(const ql_replica_t *replica, uint64_t index)
{
	uint64_t limit_bytes = replica->opts.kept_bytes;
	uint64_t last = index;
	uint64_t bytes = 0;

	while (last > replica->base_index &&
	       index - last < replica->opts.kept_entries) {
		bytes += g_bytes_get_size(
			ql_replica__entry(replica, last)->payload);
		if (limit_bytes && bytes > limit_bytes)
			break;
		last--;
	}
	return last;
}

void ql_replica__take_snapshot(ql_replica_t *replica)
{
	ql_rpc_replica_snapshot content = {0};
	GBytes *state = replica->ops->save(replica->data);
	uint64_t index = replica->applied;
	gsize length;

	content.state.state_val = (char *)g_bytes_get_data(state, &length);
	content.state.state_len = (u_int)length;
	if (!ql_replica__members_at(replica, index, &content.members)) {
		g_bytes_unref(state);
		return;
	}
	set_snapshot(replica, index, ql_replica__term_at(replica, index),
		     ql_replica_encode((xdrproc_t)xdr_ql_rpc_replica_snapshot,
				       &content));
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_members, &content.members);
	g_bytes_unref(state);
	replica->applied_bytes = 0;
	ql_replica__compact_log(replica, compacted_index(replica, index));
}

int ql_replica__restore_snapshot(ql_replica_t *replica, GError **error)
{
	ql_rpc_replica_snapshot content = {0};
	GBytes *state;
	int ret;

	if (!ql_replica_snapshot_decode(&content, replica->snapshot.data))
		return ql_error_set(error, QL_E_CORRUPT,
				    "the snapshot is not valid XDR");
	state = g_bytes_new_static(content.state.state_val,
				   content.state.state_len);
	ret = replica->ops->restore(replica->data, state, error);
	g_bytes_unref(state);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_snapshot, &content);
	if (!ret) {
		replica->applied = replica->snapshot.index;
		replica->applied_bytes = 0;
	}
	return ret;
}

static void copy_piece(ql_rpc_replica_message *message, GBytes *data,
		       uint64_t offset, uint32_t piece_bytes)
{
	gsize length;
	const char *bytes = g_bytes_get_data(data, &length);
	size_t n = MIN(length - offset, piece_bytes);

	message->offset = offset;
	message->total = length;
	message->piece.piece_len = (u_int)n;
	message->piece.piece_val = malloc(n + 1);
	g_assert(message->piece.piece_val);
	memcpy(message->piece.piece_val, bytes + offset, n);
}

void ql_replica__send_snapshot(ql_replica_t *replica, ql_replica_peer_t *peer)
{
	ql_rpc_replica_message *message;

	if (!peer->snapshot.data) {
		peer->snapshot = replica->snapshot;
		g_bytes_ref(peer->snapshot.data);
		peer->snapshot_offset = 0;
	}
	message =
		ql_replica__new_message(replica, QL_REPLICA_SNAPSHOT, peer->id);
	message->index = peer->snapshot.index;
	message->index_term = peer->snapshot.term;
	message->round = replica->read_round;
	copy_piece(message, peer->snapshot.data, peer->snapshot_offset,
		   replica->opts.piece_bytes);
	ql_replica__send(replica, message);
}

void ql_replica__drop_transfer(ql_replica_t *replica)
{
	g_clear_pointer(&replica->transfer.bytes, g_byte_array_unref);
}

/* Appends a piece to the transfer; a piece at another offset is ignored. */
static void store_piece(ql_replica_t *replica,
			const ql_rpc_replica_message *message)
{
	ql_replica_transfer_t *transfer = &replica->transfer;

	if (transfer->bytes && (transfer->from != message->from ||
				transfer->index != message->index ||
				transfer->term != message->index_term))
		ql_replica__drop_transfer(replica);
	if (!transfer->bytes) {
		transfer->bytes = g_byte_array_new();
		transfer->from = message->from;
		transfer->index = message->index;
		transfer->term = message->index_term;
	}
	if (message->offset == transfer->bytes->len)
		g_byte_array_append(transfer->bytes,
				    (guint8 *)message->piece.piece_val,
				    message->piece.piece_len);
}

/* Sends the offset of the next missing piece to the leader. */
static void answer_piece(ql_replica_t *replica,
			 const ql_rpc_replica_message *message)
{
	ql_rpc_replica_message *answer =
		ql_replica__new_message(replica, QL_REPLICA_SNAPSHOT_ANSWER,
					message->from);

	answer->index = message->index;
	answer->round = message->round;
	answer->offset =
		replica->transfer.bytes ? replica->transfer.bytes->len : 0;
	ql_replica__send_after_sync(replica, answer);
}

/* Replaces the whole log by a received snapshot. */
static void install_snapshot(ql_replica_t *replica, GBytes *data)
{
	g_array_set_size(replica->entries, 0);
	replica->base_index = replica->transfer.index;
	replica->base_term = replica->transfer.term;
	replica->state.commit = replica->base_index;
	replica->first_unwritten = replica->base_index + 1;
	replica->writing_last_index = 0;
	replica->synced_index = 0;
	set_snapshot(replica, replica->base_index, replica->base_term, data);
	ql_replica__load_members(replica);
	ql_replica__require_write(replica);
}

static bool is_valid_snapshot(GBytes *data)
{
	ql_rpc_replica_snapshot content = {0};

	if (!ql_replica_snapshot_decode(&content, data))
		return false;
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_snapshot, &content);
	return true;
}

void ql_replica__on_snapshot(ql_replica_t *replica,
			     const ql_rpc_replica_message *message)
{
	GBytes *data;

	if (message->index <= replica->state.commit) {
		ql_replica__drop_transfer(replica);
		ql_replica__answer_append(replica, message->from,
					  replica->state.commit,
					  message->round);
		return;
	}
	store_piece(replica, message);
	if (replica->transfer.bytes->len < message->total) {
		answer_piece(replica, message);
		return;
	}
	data = g_byte_array_free_to_bytes(replica->transfer.bytes);
	replica->transfer.bytes = NULL;
	if (!is_valid_snapshot(data)) {
		g_bytes_unref(data);
		answer_piece(replica, message);
		return;
	}
	install_snapshot(replica, data);
	ql_replica__answer_append(replica, message->from, replica->base_index,
				  message->round);
}

void ql_replica__on_snapshot_answer(ql_replica_t *replica,
				    const ql_rpc_replica_message *message)
{
	ql_replica_peer_t *peer = ql_replica__find_peer(replica, message->from);

	if (replica->role != QL_REPLICA_LEADER || !peer)
		return;
	peer->unanswered_ticks = 0;
	peer->answered_since_heartbeat = true;
	peer->answered_round = MAX(peer->answered_round, message->round);
	if (peer->snapshot.data && message->index == peer->snapshot.index &&
	    message->offset != peer->snapshot_offset &&
	    message->offset <= g_bytes_get_size(peer->snapshot.data)) {
		peer->snapshot_offset = message->offset;
		ql_replica__send_snapshot(replica, peer);
	}
	ql_replica__finish_reads(replica);
}
