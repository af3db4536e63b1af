#ifndef QL_STORE_FRAME_H
#define QL_STORE_FRAME_H

/**
 * DOC: Frames with a checksum, of which a file consists.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Bytes of the header of a frame, before the payload. */
#define QL_FRAME_HEADER_BYTES 24

/**
 * struct ql_frame_position - Position of a frame. The checksum covers it, so a
 * frame is invalid at any other position.
 * @file_number: number of the file
 * @offset: offset of the frame in the file, in bytes
 */
typedef struct ql_frame_position {
	uint64_t file_number;
	uint64_t offset;
} ql_frame_position_t;

/**
 * ql_frame_append() - Append a frame to a buffer.
 * @out: buffer to append to
 * @position: position that the frame will have in its file
 * @payload: payload of the frame
 * @length: length of @payload in bytes
 */
void ql_frame_append(GByteArray *out, const ql_frame_position_t *position,
		     const void *payload, size_t length);

/**
 * ql_frame_read() - Read and verify the frame at a position.
 * @payload: set to the payload, which points into @file
 * @length: set to the length of @payload in bytes
 * @file: content of the whole file
 * @position: position of the frame, not beyond the end of @file
 *
 * Return: false if there is no complete frame with a matching checksum.
 */
bool ql_frame_read(const guint8 **payload, size_t *length,
		   const GByteArray *file, const ql_frame_position_t *position);

/**
 * ql_frame_exists_after() - Search for a valid frame behind a position.
 * @file: content of the whole file
 * @position: the position
 *
 * Return: whether a complete frame with a matching checksum begins at a higher
 * offset.
 */
bool ql_frame_exists_after(const GByteArray *file,
			   const ql_frame_position_t *position);

G_END_DECLS

#endif
