#ifndef QL_STORE_DISK_H
#define QL_STORE_DISK_H

/**
 * DOC: Interface to a folder of files. Tests implement it with a fake that
 * loses unsynced data in a crash.
 */

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_disk_ops - Operations of a disk.
 * @list: append the names of all files to @names; the caller owns the strings
 *        and frees them with g_free()
 * @read: append the whole content of a file to @out
 * @append: write @length bytes at the end of a file, which is created if it is
 *          missing; a failure may leave a part of them written
 * @truncate: truncate a file to @length bytes
 * @sync: write the content of a file to stable storage
 * @sync_folder: write creations, renames and removals to stable storage
 * @rename: rename a file, replacing a file of that name
 * @remove: remove a file
 *
 * The first parameter of each is the @data of &struct ql_disk. Each returns 0,
 * QL_E_NOT_FOUND if the file does not exist, or QL_E_IO.
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
 * struct ql_disk - A disk: an implementation of &struct ql_disk_ops.
 * @ops: the operations
 * @data: passed to each of @ops
 */
typedef struct ql_disk {
	const ql_disk_ops_t *ops;
	void *data;
} ql_disk_t;

/**
 * struct ql_folder_disk - A disk in a folder of the file system. Not
 * thread-safe.
 * @folder: path of the folder
 * @folder_fd: descriptor of the folder, locked against other processes unless
 *             another disk of this process has locked it
 * @file_fd: descriptor of the file written last, or -1
 * @file_name: name of the file of @file_fd, or NULL
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
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0; QL_E_EXISTS if the folder is locked already, by this or another
 * process; or QL_E_IO.
 */
int ql_folder_disk_init(ql_folder_disk_t *disk, const char *folder,
			GError **error);

/**
 * ql_folder_disk_init_second() - Open a folder that this process has locked
 * with ql_folder_disk_init(), for another thread and for other files.
 * @disk: the disk; to be finished before the one that has the lock
 * @folder: path of the folder
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0 or QL_E_IO.
 */
int ql_folder_disk_init_second(ql_folder_disk_t *disk, const char *folder,
			       GError **error);

/**
 * ql_folder_disk_finish() - Unlock and close the folder.
 * @disk: the disk
 */
void ql_folder_disk_finish(ql_folder_disk_t *disk);

/** Operations of a &struct ql_folder_disk, which is their @data. */
extern const ql_disk_ops_t ql_folder_disk_ops;

G_END_DECLS

#endif
