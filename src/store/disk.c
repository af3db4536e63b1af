#include "store/disk.h"
#include "quetzalloft/error.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MODE 0640
#define READ_BYTES 65536

static void close_file(ql_folder_disk_t *disk)
{
	if (disk->file_fd >= 0)
		close(disk->file_fd);
	disk->file_fd = -1;
	g_clear_pointer(&disk->file_name, g_free);
}

void ql_folder_disk_finish(ql_folder_disk_t *disk)
{
	close_file(disk);
	close(disk->folder_fd);
	g_free(disk->folder);
}

int ql_folder_disk_init_second(ql_folder_disk_t *disk, const char *folder,
			       GError **error)
{
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);

	if (fd < 0)
		return ql_error_set_errno(error, errno, "opening %s", folder);
	disk->folder = g_strdup(folder);
	disk->folder_fd = fd;
	disk->file_fd = -1;
	disk->file_name = NULL;
	return 0;
}

int ql_folder_disk_init(ql_folder_disk_t *disk, const char *folder,
			GError **error)
{
	int ret = ql_folder_disk_init_second(disk, folder, error);

	if (ret)
		return ret;
	if (!flock(disk->folder_fd, LOCK_EX | LOCK_NB))
		return 0;
	ret = errno == EWOULDBLOCK
		      ? ql_error_set(error, QL_E_EXISTS,
				     "%s is in use by another process", folder)
		      : ql_error_set_errno(error, errno, "locking %s", folder);
	ql_folder_disk_finish(disk);
	return ret;
}

static int set_error(const ql_folder_disk_t *disk, const char *operation,
		     const char *name, GError **error)
{
	int errnum = errno;

	if (errnum == ENOENT)
		return ql_error_set(error, QL_E_NOT_FOUND, "%s %s/%s: %s",
				    operation, disk->folder, name,
				    g_strerror(errnum));
	return ql_error_set_errno(error, errnum, "%s %s/%s", operation,
				  disk->folder, name);
}

static int folder_list(void *data, GPtrArray *names, GError **error)
{
	ql_folder_disk_t *disk = data;
	DIR *folder = opendir(disk->folder);
	struct dirent *entry;

	if (!folder)
		return set_error(disk, "listing", "", error);
	while ((entry = readdir(folder)))
		if (entry->d_name[0] != '.')
			g_ptr_array_add(names, g_strdup(entry->d_name));
	closedir(folder);
	return 0;
}

/* Opens by path, as the thread sanitizer of clang does not track openat(). */
static int open_in(const ql_folder_disk_t *disk, const char *name, int flags)
{
	char *path = g_build_filename(disk->folder, name, NULL);
	int fd = open(path, flags | O_CLOEXEC, FILE_MODE);
	int errnum = errno;

	g_free(path);
	errno = errnum;
	return fd;
}

static int folder_read(void *data, const char *name, GByteArray *out,
		       GError **error)
{
	ql_folder_disk_t *disk = data;
	int fd = open_in(disk, name, O_RDONLY);
	guint8 buffer[READ_BYTES];
	ssize_t n;
	int ret = 0;

	if (fd < 0)
		return set_error(disk, "reading", name, error);
	while ((n = read(fd, buffer, sizeof(buffer)))) {
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0) {
			ret = set_error(disk, "reading", name, error);
			break;
		}
		g_byte_array_append(out, buffer, (guint)n);
	}
	close(fd);
	return ret;
}

static int open_file(ql_folder_disk_t *disk, const char *name)
{
	if (disk->file_fd >= 0 && !strcmp(disk->file_name, name))
		return 0;
	close_file(disk);
	disk->file_fd = open_in(disk, name, O_WRONLY | O_CREAT | O_APPEND);
	if (disk->file_fd < 0)
		return -1;
	disk->file_name = g_strdup(name);
	return 0;
}

static int folder_append(void *data, const char *name, const void *bytes,
			 size_t length, GError **error)
{
	ql_folder_disk_t *disk = data;
	const char *next = bytes;
	ssize_t n;

	if (open_file(disk, name))
		return set_error(disk, "opening", name, error);
	while (length) {
		n = write(disk->file_fd, next, length);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return set_error(disk, "writing", name, error);
		next += n;
		length -= (size_t)n;
	}
	return 0;
}

static int folder_truncate(void *data, const char *name, uint64_t length,
			   GError **error)
{
	ql_folder_disk_t *disk = data;

	if (open_file(disk, name) || ftruncate(disk->file_fd, (off_t)length))
		return set_error(disk, "truncating", name, error);
	return 0;
}

static int folder_sync(void *data, const char *name, GError **error)
{
	ql_folder_disk_t *disk = data;

	if (open_file(disk, name) || fdatasync(disk->file_fd))
		return set_error(disk, "syncing", name, error);
	return 0;
}

static int folder_sync_folder(void *data, GError **error)
{
	ql_folder_disk_t *disk = data;

	if (fsync(disk->folder_fd))
		return set_error(disk, "syncing", "", error);
	return 0;
}

static int folder_rename(void *data, const char *from, const char *to,
			 GError **error)
{
	ql_folder_disk_t *disk = data;

	close_file(disk);
	if (renameat(disk->folder_fd, from, disk->folder_fd, to))
		return set_error(disk, "renaming", from, error);
	return 0;
}

static int folder_remove(void *data, const char *name, GError **error)
{
	ql_folder_disk_t *disk = data;

	if (disk->file_name && !strcmp(disk->file_name, name))
		close_file(disk);
	if (unlinkat(disk->folder_fd, name, 0))
		return set_error(disk, "removing", name, error);
	return 0;
}

const ql_disk_ops_t ql_folder_disk_ops = {
	.list = folder_list,
	.read = folder_read,
	.append = folder_append,
	.truncate = folder_truncate,
	.sync = folder_sync,
	.sync_folder = folder_sync_folder,
	.rename = folder_rename,
	.remove = folder_remove,
};
