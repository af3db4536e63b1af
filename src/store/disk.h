#ifndef QL_STORE_DISK_H
#define QL_STORE_DISK_H

/**
 * DOC: One folder of files on a disk, behind a table of functions, so that
 * tests can lose what was not synced.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_disk_ops - What a disk can do.
 * @list: append the names of all files, as strings of g_malloc(), to an array
 * @read: append the whole content of a file to an array
 * @append: write at the end of a file, which is created when missing
 * @truncate: cut a file to a length in bytes
 * @sync: make the content of a file last
 * @sync_folder: make creations, renames and removals last
 * @rename: give a file another name, replacing what had it
 * @remove: remove a file
 *
 * Each returns 0, QL_E_NOT_FOUND or QL_E_IO.
 */
typedef struct ql_disk_ops {
	int (*list)(void *data, GPtrArray *names, GError **error);
	int (*read)(void *data, const char *name, GByteArray *out,
		    GError **error);
	int (*append)(void *data, const char *name, const void *bytes,
		      size_t length, GError **error);
	int (*truncate)(void *data, const char *name, uint64_t length,
			GError **error);
	int (*sync)(void *data, const char *name, GError **error);
	int (*sync_folder)(void *data, GError **error);
	int (*rename)(void *data, const char *from, const char *to,
		      GError **error);
	int (*remove)(void *data, const char *name, GError **error);
} ql_disk_ops_t;

/**
 * struct ql_disk - A disk.
 * @ops: its functions
 * @data: passed to them
 */
typedef struct ql_disk {
	const ql_disk_ops_t *ops;
	void *data;
} ql_disk_t;

/**
 * struct ql_folder_disk - A folder of the file system.
 * @folder: its path
 * @folder_fd: the open folder, which is locked against other processes
 * @file_fd: the file that was appended to last, or -1
 * @file_name: its name
 */
typedef struct ql_folder_disk {
	char *folder;
	int folder_fd;
	int file_fd;
	char *file_name;
} ql_folder_disk_t;

/**
 * ql_folder_disk_init() - Open and lock a folder.
 * @disk: the disk
 * @folder: path of an existing folder
 * @error: detail of a failure
 *
 * Return: 0, QL_E_IO, or QL_E_EXISTS when another process uses the folder.
 */
int ql_folder_disk_init(ql_folder_disk_t *disk, const char *folder,
			GError **error);
void ql_folder_disk_finish(ql_folder_disk_t *disk);

extern const ql_disk_ops_t ql_folder_disk_ops;

G_END_DECLS

#endif
