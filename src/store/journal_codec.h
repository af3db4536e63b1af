#ifndef QL_STORE_JOURNAL_CODEC_H
#define QL_STORE_JOURNAL_CODEC_H

/**
 * DOC: What stands inside the frames of a journal, encoded as XDR.
 */

#include "store/journal.h"

G_BEGIN_DECLS

/**
 * struct ql_journal_frame - One write.
 * @restart: the log begins anew behind @base_index
 * @base_index: the entry before the first
 * @base_term: its term
 * @state: the state
 * @entries: &struct ql_journal_entry by value
 */
typedef struct ql_journal_frame {
	bool restart;
	uint64_t base_index;
	uint64_t base_term;
	ql_journal_state_t state;
	GArray *entries;
} ql_journal_frame_t;

/**
 * ql_journal_frame_encode() - Write a frame as bytes.
 * @frame: the frame
 *
 * Return: a new array.
 */
GByteArray *ql_journal_frame_encode(const ql_journal_frame_t *frame);

/**
 * ql_journal_frame_decode() - Read a frame.
 * @frame: the frame, to be finished after success
 * @bytes: its bytes
 * @length: their number
 *
 * Return: whether it could be read.
 */
bool ql_journal_frame_decode(ql_journal_frame_t *frame, const void *bytes,
			     size_t length);
void ql_journal_frame_finish(ql_journal_frame_t *frame);

/**
 * ql_journal_snapshot_encode() - Write a snapshot as bytes.
 * @snapshot: the snapshot
 *
 * Return: a new array.
 */
GByteArray *ql_journal_snapshot_encode(const ql_journal_snapshot_t *snapshot);

/**
 * ql_journal_snapshot_decode() - Read a snapshot.
 * @snapshot: the snapshot; its data belongs to the caller
 * @bytes: its bytes
 * @length: their number
 *
 * Return: whether it could be read.
 */
bool ql_journal_snapshot_decode(ql_journal_snapshot_t *snapshot,
				const void *bytes, size_t length);

G_END_DECLS

#endif
