#include "store/file.h"
#include "quetzalloft/error.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#define FILE_MODE 0640

static int write_all(int fd, const char *data, size_t length)
{
	ssize_t n;

	while (length) {
		n = write(fd, data, length);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return -1;
		data += n;
		length -= (size_t)n;
	}
	return 0;
}

static int write_synced(const char *path, const void *data, size_t length)
{
	int fd =
		open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	int failed, saved;

	if (fd < 0)
		return -1;
	failed = write_all(fd, data, length) || fsync(fd);
	saved = errno;
	if (close(fd) && !failed)
		return -1;
	errno = saved;
	return failed ? -1 : 0;
}

static int sync_folder(const char *folder)
{
	int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	int failed, saved;

	if (fd < 0)
		return -1;
	failed = fsync(fd);
	saved = errno;
	close(fd);
	errno = saved;
	return failed;
}

int ql_file_replace(const char *folder, const char *name, const void *data,
		    size_t length, GError **error)
{
	char *path = g_build_filename(folder, name, NULL);
	char *temporary = g_strconcat(path, ".new", NULL);
	int ret = 0;

	if (write_synced(temporary, data, length) || rename(temporary, path) ||
	    sync_folder(folder))
		ret = ql_error_set_errno(error, errno, "replacing %s", path);
	g_free(temporary);
	g_free(path);
	return ret;
}

int ql_file_read(char **out, size_t *length, const char *folder,
		 const char *name, GError **error)
{
	char *path = g_build_filename(folder, name, NULL);
	GError *cause = NULL;
	gsize bytes = 0;
	int ret = 0;

	*out = NULL;
	if (!g_file_get_contents(path, out, &bytes, &cause)) {
		ret = g_error_matches(cause, G_FILE_ERROR, G_FILE_ERROR_NOENT)
			      ? QL_E_NOT_FOUND
			      : QL_E_IO;
		ql_error_set(error, ret, "%s", cause->message);
		g_error_free(cause);
	}
	*length = bytes;
	g_free(path);
	return ret;
}
