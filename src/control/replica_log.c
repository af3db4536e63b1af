#include "control/replica_private.h"

uint64_t ql_replica_last_index(const ql_replica_t *replica)
{
	return replica->base_index + replica->entries->len;
}

const ql_journal_entry_t *ql_replica__entry(const ql_replica_t *replica,
					    uint64_t index)
{
	if (index <= replica->base_index ||
	    index > ql_replica_last_index(replica))
		return NULL;
	return &g_array_index(replica->entries, ql_journal_entry_t,
			      index - replica->base_index - 1);
}

uint64_t ql_replica__term_at(const ql_replica_t *replica, uint64_t index)
{
	const ql_journal_entry_t *entry = ql_replica__entry(replica, index);

	if (entry)
		return entry->term;
	return index == replica->base_index ? replica->base_term : 0;
}

void ql_replica__append(ql_replica_t *replica, uint64_t term, uint32_t kind,
			GBytes *payload)
{
	ql_journal_entry_t entry = {
		.index = ql_replica_last_index(replica) + 1,
		.term = term,
		.kind = kind,
		.payload = g_bytes_ref(payload),
	};

	g_array_append_val(replica->entries, entry);
	ql_replica__require_write(replica);
	if (kind == QL_REPLICA_ENTRY_MEMBERS)
		ql_replica__load_members(replica);
}

void ql_replica__truncate(ql_replica_t *replica, uint64_t index)
{
	g_array_set_size(replica->entries,
			 (guint)(index - replica->base_index - 1));
	replica->first_unwritten = MIN(replica->first_unwritten, index);
	replica->writing_last_index =
		MIN(replica->writing_last_index, index - 1);
	replica->synced_index = MIN(replica->synced_index, index - 1);
	if (replica->members_index >= index)
		ql_replica__load_members(replica);
	ql_replica__require_write(replica);
}

void ql_replica__compact_log(ql_replica_t *replica, uint64_t index)
{
	uint64_t term = ql_replica__term_at(replica, index);

	if (index <= replica->base_index)
		return;
	g_array_remove_range(replica->entries, 0,
			     (guint)(index - replica->base_index));
	replica->base_index = index;
	replica->base_term = term;
}
