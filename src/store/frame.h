#ifndef QL_STORE_FRAME_H
#define QL_STORE_FRAME_H

/**
 * DOC: Checksummed frames inside a file.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Bytes before the payload. */
#define QL_FRAME_HEADER_BYTES 24

/**
 * struct ql_frame_position - Where a frame stands; part of its checksum.
 * @file_number: number of the file
 * @offset: bytes before the frame
 */
typedef struct ql_frame_position {
	uint64_t file_number;
	uint64_t offset;
} ql_frame_position_t;

/**
 * ql_frame_append() - Write a frame.
 * @out: where to append it
 * @position: where it will stand
 * @payload: its content
 * @length: bytes of @payload
 */
void ql_frame_append(GByteArray *out, const ql_frame_position_t *position,
		     const void *payload, size_t length);

/**
 * ql_frame_read() - Check the frame at a position.
 * @payload: its content, inside @file
 * @length: bytes of @payload
 * @file: the whole file
 * @position: where the frame stands
 *
 * Return: false when there is no whole frame with a matching checksum.
 */
bool ql_frame_read(const guint8 **payload, size_t *length,
		   const GByteArray *file, const ql_frame_position_t *position);

/**
 * ql_frame_exists_after() - Whether a whole frame stands behind a position.
 * @file: the whole file
 * @position: the position
 *
 * Return: true when one begins at a higher offset.
 */
bool ql_frame_exists_after(const GByteArray *file,
			   const ql_frame_position_t *position);

G_END_DECLS

#endif
