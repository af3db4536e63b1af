#include "control/replica_private.h"

#include <string.h>

void ql_replica__require_write(ql_replica_t *replica)
{
	replica->required_write = replica->last_taken_write + 1;
}

/*
 * A leader whose write takes longer than this many election timeouts steps
 * down.
 */
#define STALLED_WRITE_ELECTION_TIMEOUTS 2u

static bool is_writing(const ql_replica_t *replica)
{
	return replica->last_taken_write > replica->last_synced_write;
}

void ql_replica__tick_write(ql_replica_t *replica)
{
	if (is_writing(replica))
		replica->write_ticks++;
}

bool ql_replica__is_disk_stalled(const ql_replica_t *replica)
{
	return replica->write_failing ||
	       (is_writing(replica) &&
		replica->write_ticks > replica->opts.election_ticks *
					       STALLED_WRITE_ELECTION_TIMEOUTS);
}

static bool has_unwritten_changes(const ql_replica_t *replica)
{
	return replica->required_write > replica->last_taken_write ||
	       replica->snapshot_unwritten ||
	       replica->state.commit > replica->writing_commit;
}

static void fill_write_entries(ql_replica_t *replica, ql_replica_write_t *write,
			       uint64_t from)
{
	size_t i;

	write->n_entries = ql_replica_last_index(replica) + 1 - from;
	write->entries = g_new0(ql_journal_entry_t, write->n_entries);
	for (i = 0; i < write->n_entries; i++) {
		write->entries[i] = *ql_replica__entry(replica, from + i);
		g_bytes_ref(write->entries[i].payload);
	}
}

static void fill_write_base(ql_replica_t *replica, ql_replica_write_t *write)
{
	write->restart = true;
	write->base.snapshot = replica->snapshot;
	g_bytes_ref(write->base.snapshot.data);
	write->base.base_index = replica->base_index;
	write->base.base_term = replica->base_term;
	write->base.entries = write->entries;
	write->base.n_entries = write->n_entries;
	replica->snapshot_unwritten = false;
}

bool ql_replica_take_write(ql_replica_t *replica, ql_replica_write_t *write)
{
	if (replica->failed || is_writing(replica) ||
	    !has_unwritten_changes(replica))
		return false;
	memset(write, 0, sizeof(*write));
	write->sequence = ++replica->last_taken_write;
	replica->write_ticks = 0;
	write->state = replica->state;
	fill_write_entries(replica, write,
			   replica->snapshot_unwritten
				   ? replica->base_index + 1
				   : replica->first_unwritten);
	if (replica->snapshot_unwritten)
		fill_write_base(replica, write);
	replica->first_unwritten = ql_replica_last_index(replica) + 1;
	replica->writing_last_index = ql_replica_last_index(replica);
	replica->writing_commit = replica->state.commit;
	return true;
}

int ql_replica_write_run(const ql_replica_write_t *write, ql_journal_t *journal,
			 GError **error)
{
	if (write->restart)
		return ql_journal_store_snapshot(journal, &write->state,
						 &write->base, error);
	return ql_journal_write(journal, &write->state, write->entries,
				write->n_entries, error);
}

void ql_replica_write_finish(ql_replica_write_t *write)
{
	size_t i;

	for (i = 0; i < write->n_entries; i++)
		g_bytes_unref(write->entries[i].payload);
	g_free(write->entries);
	g_clear_pointer(&write->base.snapshot.data, g_bytes_unref);
}

static bool is_snapshot_due(const ql_replica_t *replica)
{
	uint64_t limit_bytes = replica->opts.snapshot_bytes;

	if (replica->applied >=
	    replica->snapshot.index + replica->opts.snapshot_entries)
		return true;
	/* A snapshot that was received is newer than what is applied. */
	if (!limit_bytes || replica->applied <= replica->snapshot.index)
		return false;
	if (replica->snapshot.data)
		limit_bytes = MAX(limit_bytes,
				  g_bytes_get_size(replica->snapshot.data));
	return replica->applied_bytes >= limit_bytes;
}

void ql_replica__apply(ql_replica_t *replica)
{
	uint64_t last = MIN(replica->synced_commit, replica->synced_index);
	const ql_journal_entry_t *entry;

	if (replica->snapshot.index > replica->applied &&
	    replica->snapshot.index <= last &&
	    ql_replica__restore_snapshot(replica, NULL)) {
		replica->failed = true;
		return;
	}
	while (replica->applied < last) {
		entry = ql_replica__entry(replica, ++replica->applied);
		replica->applied_bytes += g_bytes_get_size(entry->payload);
		replica->ops->apply(replica->data, entry);
	}
	ql_replica__check_removal(replica);
	if (is_snapshot_due(replica))
		ql_replica__take_snapshot(replica);
}

void ql_replica_write_done(ql_replica_t *replica, uint64_t sequence)
{
	if (replica->failed || sequence != replica->last_taken_write)
		return;
	replica->last_synced_write = sequence;
	replica->write_failing = false;
	replica->synced_index = replica->writing_last_index;
	replica->synced_commit = replica->writing_commit;
	replica->synced_identity = true;
	ql_replica__release_deferred(replica);
	if (replica->role == QL_REPLICA_CANDIDATE &&
	    replica->required_write <= replica->last_synced_write)
		ql_replica__vote_for_self(replica);
	ql_replica__advance_commit(replica);
	ql_replica__apply(replica);
	ql_replica__finish_reads(replica);
}

void ql_replica_write_failed(ql_replica_t *replica)
{
	replica->write_failing = true;
	if (replica->role == QL_REPLICA_LEADER)
		ql_replica__become_follower(replica,
					    QL_EVENT_REPLICA_DISK_STALLED, 0);
}
