#ifndef QL_STORE_JOURNAL_H
#define QL_STORE_JOURNAL_H

/**
 * DOC: The durable state of a replica: identity, term, vote and commit index,
 * the log of entries, and one snapshot.
 *
 * The log is appended to in frames of one checksum each. A frame is written
 * only after the one before it was synced, so a damaged frame with a whole one
 * behind it is damage, and a damaged frame at the very end is a torn write.
 * An entry replaces those of the same and of higher indices.
 */

#include "store/disk.h"

#include <stdbool.h>

G_BEGIN_DECLS

/**
 * struct ql_journal_state - What a replica must not forget.
 * @identity: the replica's own; 0 before it was chosen
 * @term: the newest term seen
 * @vote: whom it voted for in @term, or 0
 * @commit: index of an entry known to be committed
 */
typedef struct ql_journal_state {
	uint64_t identity;
	uint64_t term;
	uint64_t vote;
	uint64_t commit;
} ql_journal_state_t;

/**
 * struct ql_journal_entry - An entry of the log.
 * @index: its position, from 1
 * @term: the term in which a leader appended it
 * @kind: for the owner of the log
 * @payload: content, counted by reference
 */
typedef struct ql_journal_entry {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	GBytes *payload;
} ql_journal_entry_t;

/**
 * struct ql_journal_snapshot - What stands for all entries up to an index.
 * @index: that index; 0 without a snapshot
 * @term: the term of that entry
 * @data: content, or NULL
 */
typedef struct ql_journal_snapshot {
	uint64_t index;
	uint64_t term;
	GBytes *data;
} ql_journal_snapshot_t;

/**
 * struct ql_journal - The journal.
 * @disk: where it is kept
 * @state: as loaded or written last
 * @base_index: the entry before the first one in @entries
 * @base_term: its term
 * @entries: what was loaded, &struct ql_journal_entry by value
 * @snapshot: what was loaded
 * @segment: number of the file that is appended to; 0 without one
 * @first_segment: number of the oldest file
 * @segment_bytes: length of that file
 * @bytes_read: read by ql_journal_open()
 * @bytes_cut: length of the torn tail that ql_journal_open() cut
 * @needs_new_segment: the last file ends before the snapshot, so that the next
 * write has to begin a new one
 * @failed: a write failed, so that only a restart can tell what is on the disk
 */
typedef struct ql_journal {
	ql_disk_t disk;
	ql_journal_state_t state;
	uint64_t base_index;
	uint64_t base_term;
	GArray *entries;
	ql_journal_snapshot_t snapshot;
	uint64_t segment;
	uint64_t first_segment;
	uint64_t segment_bytes;
	uint64_t bytes_read;
	uint64_t bytes_cut;
	bool needs_new_segment;
	bool failed;
} ql_journal_t;

/**
 * ql_journal_open() - Load a journal, cutting a torn tail.
 * @journal: the journal
 * @disk: where it is kept
 * @error: detail of a failure, with file and offset
 *
 * Return: 0, QL_E_IO or QL_E_CORRUPT; after a failure nothing is to finish.
 */
int ql_journal_open(ql_journal_t *journal, const ql_disk_t *disk,
		    GError **error);
void ql_journal_finish(ql_journal_t *journal);

/**
 * ql_journal_write() - Append entries and the state in one synced frame.
 * @journal: the journal
 * @state: the state
 * @entries: the entries, of rising indices
 * @n_entries: their number; may be 0
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_IO; after a failure every further write fails.
 */
int ql_journal_write(ql_journal_t *journal, const ql_journal_state_t *state,
		     const ql_journal_entry_t *entries, size_t n_entries,
		     GError **error);

/**
 * struct ql_journal_compaction - What a log begins anew with.
 * @snapshot: the snapshot; its index is not below @base_index
 * @base_index: the entry before the first of @entries
 * @base_term: its term
 * @entries: entries to keep
 * @n_entries: their number
 */
typedef struct ql_journal_compaction {
	ql_journal_snapshot_t snapshot;
	uint64_t base_index;
	uint64_t base_term;
	const ql_journal_entry_t *entries;
	size_t n_entries;
} ql_journal_compaction_t;

/**
 * ql_journal_store_snapshot() - Store a snapshot and drop the log before it.
 * @journal: the journal
 * @state: the state
 * @base: the snapshot and what of the log to keep
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_IO; after a failure every further write fails.
 */
int ql_journal_store_snapshot(ql_journal_t *journal,
			      const ql_journal_state_t *state,
			      const ql_journal_compaction_t *base,
			      GError **error);

G_END_DECLS

#endif
