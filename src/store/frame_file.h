#ifndef QL_STORE_FRAME_FILE_H
#define QL_STORE_FRAME_FILE_H

/**
 * DOC: A file of frames that grows at its end and is replaced as a whole from
 * time to time. Each payload is a GBytes of its own.
 */

#include "store/disk.h"

G_BEGIN_DECLS

/**
 * struct ql_frame_file - A file of frames. Not thread-safe.
 * @disk: disk of the file
 * @name: name of the file; borrowed
 * @bytes: length of the file in bytes
 */
typedef struct ql_frame_file {
	ql_disk_t disk;
	const char *name;
	uint64_t bytes;
} ql_frame_file_t;

/**
 * ql_frame_file_read() - Read all payloads. The file must be replaced before
 * anything is appended, as its end may be torn and not synced.
 * @file: the file, with @disk and @name set
 * @payloads: the payloads are appended, as GBytes; a frame that was not written
 *            as a whole, and what is behind it, is left out
 * @error: set to the detail of a failure
 *
 * Return: 0, also if the file does not exist, or QL_E_IO.
 */
int ql_frame_file_read(ql_frame_file_t *file, GPtrArray *payloads,
		       GError **error);

/**
 * ql_frame_file_append() - Append payloads, and sync the file.
 * @file: the file
 * @payloads: GBytes
 * @error: set to the detail of a failure
 *
 * Return: 0, or QL_E_IO. The file must be replaced after a failure before
 * anything else is appended.
 */
int ql_frame_file_append(ql_frame_file_t *file, const GPtrArray *payloads,
			 GError **error);

/**
 * ql_frame_file_replace() - Replace all payloads; the file is created if it
 * does not exist. After a crash it has the old or the new payloads.
 * @file: the file
 * @payloads: GBytes
 * @error: set to the detail of a failure
 *
 * Return: 0, or QL_E_IO.
 */
int ql_frame_file_replace(ql_frame_file_t *file, const GPtrArray *payloads,
			  GError **error);

G_END_DECLS

#endif
