#ifndef QL_STORE_JOURNAL_CODEC_H
#define QL_STORE_JOURNAL_CODEC_H

/**
 * DOC: Encoding of the payloads of the frames of a journal as XDR.
 */

#include "store/journal.h"

G_BEGIN_DECLS

/**
 * struct ql_journal_frame - Payload of a frame of the log: one write.
 * @restart: the frame starts a new log after @base_index; older entries are
 *           dropped
 * @base_index: index of the entry before the first one of the log
 * @base_term: term of that entry
 * @state: state of the replica
 * @entries: entries, &struct ql_journal_entry by value; may be empty
 */
typedef struct ql_journal_frame {
	bool restart;
	uint64_t base_index;
	uint64_t base_term;
	ql_journal_state_t state;
	GArray *entries;
} ql_journal_frame_t;

/**
 * ql_journal_frame_encode() - Encode the payload of a frame.
 * @frame: the payload
 *
 * Return: the encoded payload, a new array.
 */
GByteArray *ql_journal_frame_encode(const ql_journal_frame_t *frame);

/**
 * ql_journal_frame_decode() - Decode the payload of a frame.
 * @frame: set to the payload, which the caller releases with
 *         ql_journal_frame_finish(); not set after a failure
 * @bytes: the encoded payload
 * @length: length of @bytes
 *
 * Return: false if @bytes is malformed or has bytes left over.
 */
bool ql_journal_frame_decode(ql_journal_frame_t *frame, const void *bytes,
			     size_t length);

/**
 * ql_journal_frame_finish() - Release the entries of a decoded payload.
 * @frame: the payload
 */
void ql_journal_frame_finish(ql_journal_frame_t *frame);

/**
 * ql_journal_snapshot_encode() - Encode a snapshot.
 * @snapshot: the snapshot; its data is not NULL
 *
 * Return: the encoded snapshot, a new array.
 */
GByteArray *ql_journal_snapshot_encode(const ql_journal_snapshot_t *snapshot);

/**
 * ql_journal_snapshot_decode() - Decode a snapshot.
 * @snapshot: set to the snapshot, whose data the caller releases with
 *            g_bytes_unref(); not set after a failure
 * @bytes: the encoded snapshot
 * @length: length of @bytes
 *
 * Return: false if @bytes is malformed or has bytes left over.
 */
bool ql_journal_snapshot_decode(ql_journal_snapshot_t *snapshot,
				const void *bytes, size_t length);

G_END_DECLS

#endif
