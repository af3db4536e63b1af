#ifndef QL_STORE_JOURNAL_H
#define QL_STORE_JOURNAL_H

/**
 * DOC: The durable state of a replica: identity, term, vote and commit index,
 * the log of entries, and one snapshot.
 *
 * Each write appends one frame with a checksum to the log. A frame is written
 * only after the previous one was synced. So an invalid frame that is followed
 * by a valid one is corruption, and an invalid frame at the end of the log is a
 * torn write. An entry replaces all entries of the same and of higher indices.
 */

#include "store/disk.h"

#include <stdbool.h>

G_BEGIN_DECLS

/**
 * struct ql_journal_state - Persistent state of a replica besides its log.
 * @identity: identity of the replica; 0 before it was chosen
 * @term: highest term that the replica has seen
 * @vote: identity of the replica that it voted for in @term, or 0
 * @commit: commit index: entries up to it are known to be committed
 */
typedef struct ql_journal_state {
	uint64_t identity;
	uint64_t term;
	uint64_t vote;
	uint64_t commit;
} ql_journal_state_t;

/**
 * struct ql_journal_entry - An entry of the log.
 * @index: index in the log, from 1
 * @term: term in which a leader appended the entry
 * @kind: type of the payload; not interpreted by the journal
 * @payload: content; reference-counted, not NULL
 */
typedef struct ql_journal_entry {
	uint64_t index;
	uint64_t term;
	uint32_t kind;
	GBytes *payload;
} ql_journal_entry_t;

/**
 * struct ql_journal_snapshot - A snapshot, which replaces all entries up to an
 * index.
 * @index: index of the last entry that it replaces; 0 if there is no snapshot
 * @term: term of that entry
 * @data: content; NULL if there is no snapshot
 */
typedef struct ql_journal_snapshot {
	uint64_t index;
	uint64_t term;
	GBytes *data;
} ql_journal_snapshot_t;

/**
 * struct ql_journal - An open journal. Not thread-safe. The log is stored in
 * segments: files with consecutive numbers from 1.
 * @disk: disk that contains the journal
 * @state: state as loaded or as written last
 * @base_index: index of the entry before the first of @entries
 * @base_term: term of that entry
 * @entries: entries that ql_journal_open() loaded, &struct ql_journal_entry by
 *           value; not updated by writes
 * @snapshot: snapshot that ql_journal_open() loaded; not updated by writes
 * @segment: number of the segment to which frames are appended; 0 if there is
 *           none
 * @first_segment: number of the oldest segment; 0 if there is none
 * @segment_bytes: length of the file of @segment in bytes
 * @bytes_read: number of bytes that ql_journal_open() read
 * @bytes_cut: length in bytes of the torn write that ql_journal_open() skipped
 * @needs_new_segment: the log does not reach the entry of the snapshot, so the
 *                     next write has to start a new segment
 * @needs_repair: the disk may hold a part of a write that did not end, or
 *                changes that are not synced; the next write first removes the
 *                one and syncs the other
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
	bool needs_repair;
} ql_journal_t;

/**
 * ql_journal_open() - Load a journal without a torn write at its end. Nothing
 * is written, so that a full disk can be opened.
 * @journal: the journal; needs no ql_journal_finish() after a failure
 * @disk: disk that contains the journal, copied; an empty one gives an empty
 *        journal
 * @error: set to the detail of a failure with file and offset, or NULL
 *
 * Return: 0; QL_E_CORRUPT if a file is damaged or missing; or an error of the
 * operations of @disk.
 */
int ql_journal_open(ql_journal_t *journal, const ql_disk_t *disk,
		    GError **error);

/**
 * ql_journal_finish() - Release the memory of a journal.
 * @journal: the journal
 */
void ql_journal_finish(ql_journal_t *journal);

/**
 * ql_journal_write() - Append entries and the state in one frame and sync it.
 * @journal: the journal
 * @state: the new state
 * @entries: entries with ascending indices
 * @n_entries: number of @entries; may be 0
 * @error: set to the detail of a failure, or NULL
 *
 * After a failure the write may be repeated or replaced by another one. Until
 * one of them succeeds, a crash may leave the effect of the failed write.
 *
 * Return: 0, or an error of the operations of the disk.
 */
int ql_journal_write(ql_journal_t *journal, const ql_journal_state_t *state,
		     const ql_journal_entry_t *entries, size_t n_entries,
		     GError **error);

/**
 * struct ql_journal_compaction - A snapshot and the entries that remain in the
 * log after its compaction.
 * @snapshot: the snapshot; its index is not below @base_index
 * @base_index: index of the entry before the first of @entries
 * @base_term: term of that entry
 * @entries: entries that remain, with ascending indices
 * @n_entries: number of @entries
 */
typedef struct ql_journal_compaction {
	ql_journal_snapshot_t snapshot;
	uint64_t base_index;
	uint64_t base_term;
	const ql_journal_entry_t *entries;
	size_t n_entries;
} ql_journal_compaction_t;

/**
 * ql_journal_store_snapshot() - Store a snapshot and compact the log: start a
 * new segment with the remaining entries and remove all older segments.
 * @journal: the journal
 * @state: the new state
 * @base: the snapshot and the entries that remain in the log
 * @error: set to the detail of a failure, or NULL
 *
 * After a failure the same holds as for ql_journal_write().
 *
 * Return: 0, or an error of the operations of the disk.
 */
int ql_journal_store_snapshot(ql_journal_t *journal,
			      const ql_journal_state_t *state,
			      const ql_journal_compaction_t *base,
			      GError **error);

G_END_DECLS

#endif
