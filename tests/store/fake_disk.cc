#include "store/fake_disk.h"
#include "quetzalloft/error.h"

#include <cstring>

namespace
{

FakeDisk *self(void *data)
{
	return static_cast<FakeDisk *>(data);
}

int fail(GError **error)
{
	return ql_error_set(error, QL_E_IO, "the fake disk fails");
}

/* Counts an operation. Returns whether it has to fail. */
bool must_fail(FakeDisk *disk)
{
	disk->n_calls++;
	if (disk->calls_until_failure == FakeDisk::NEVER)
		return false;
	if (!disk->calls_until_failure)
		return true;
	disk->calls_until_failure--;
	return false;
}

/* Counts an operation that writes. Returns whether it has to fail. */
bool must_fail_write(FakeDisk *disk)
{
	return must_fail(disk) || disk->is_full;
}

FakeFile *find(FakeDisk *disk, const char *name)
{
	auto found = disk->files.find(name);

	return found == disk->files.end() ? nullptr : found->second.get();
}

int missing(const char *name, GError **error)
{
	return ql_error_set(error, QL_E_NOT_FOUND, "%s", name);
}

int fake_list(void *data, GPtrArray *names, GError **error)
{
	if (must_fail(self(data)))
		return fail(error);
	for (const auto &file : self(data)->files)
		g_ptr_array_add(names, g_strdup(file.first.c_str()));
	return 0;
}

int fake_read(void *data, const char *name, GByteArray *out, GError **error)
{
	FakeFile *file = find(self(data), name);

	if (must_fail(self(data)))
		return fail(error);
	if (!file)
		return missing(name, error);
	g_byte_array_append(out, (const guint8 *)file->content.data(),
			    (guint)file->content.size());
	self(data)->bytes_read += file->content.size();
	return 0;
}

int fake_append(void *data, const char *name, const void *bytes, size_t length,
		GError **error)
{
	bool failed = must_fail_write(self(data));
	auto &file = self(data)->files[name];

	if (!file)
		file = std::make_shared<FakeFile>();
	/* A write that fails may have written a part of the bytes. */
	file->content.append((const char *)bytes, failed ? length / 2 : length);
	return failed ? fail(error) : 0;
}

int fake_truncate(void *data, const char *name, uint64_t length, GError **error)
{
	FakeFile *file = find(self(data), name);

	if (must_fail_write(self(data)))
		return fail(error);
	if (!file)
		return missing(name, error);
	file->content.resize(length);
	return 0;
}

int fake_sync(void *data, const char *name, GError **error)
{
	FakeFile *file = find(self(data), name);

	if (must_fail_write(self(data)))
		return fail(error);
	if (!file)
		return missing(name, error);
	if (!self(data)->skip_sync)
		file->synced = file->content;
	if (!self(data)->skip_sync && self(data)->sync_covers_creation)
		self(data)->synced_files[name] = self(data)->files[name];
	return 0;
}

int fake_sync_folder(void *data, GError **error)
{
	if (must_fail_write(self(data)))
		return fail(error);
	if (!self(data)->skip_sync)
		self(data)->synced_files = self(data)->files;
	return 0;
}

int fake_rename(void *data, const char *from, const char *to, GError **error)
{
	auto &files = self(data)->files;

	if (must_fail_write(self(data)))
		return fail(error);
	if (!find(self(data), from))
		return missing(from, error);
	files[to] = files[from];
	files.erase(from);
	return 0;
}

int fake_remove(void *data, const char *name, GError **error)
{
	if (must_fail_write(self(data)))
		return fail(error);
	if (!self(data)->files.erase(name))
		return missing(name, error);
	return 0;
}

const ql_disk_ops_t fake_ops = {
	fake_list, fake_read,	     fake_append, fake_truncate,
	fake_sync, fake_sync_folder, fake_rename, fake_remove,
};

/*
 * Replaces the content of a file by its synced content. By @choice, appended
 * bytes are kept as a whole or in part, and the last of them may be damaged.
 */
void lose_unsynced(FakeFile &file, unsigned int choice)
{
	size_t kept = std::min(file.synced.size(), file.content.size());
	bool appended =
		file.content.compare(0, file.synced.size(), file.synced) == 0;
	size_t extra = appended ? file.content.size() - kept : 0;

	if (!appended || choice % 4 == 0) {
		file.content = file.synced;
		return;
	}
	if (choice % 4 == 1 || !extra)
		return;
	file.content.resize(kept + (choice / 4) % (extra + 1));
	if (choice % 4 == 3 && file.content.size() > kept)
		file.content.back() ^= 0x55;
}

} // namespace

ql_disk_t FakeDisk::disk()
{
	return {&fake_ops, this};
}

void FakeDisk::crash(unsigned int choice)
{
	/* Unsynced changes of the folder may have reached the disk or not. */
	if (choice % 2)
		files = synced_files;
	for (auto &file : files) {
		/* After an unsynced rename a file may occur under two names. */
		lose_unsynced(*file.second, choice / 2);
		file.second->synced = file.second->content;
	}
	synced_files = files;
	calls_until_failure = NEVER;
	is_full = false;
}

void FakeDisk::wipe()
{
	files.clear();
	synced_files.clear();
	calls_until_failure = NEVER;
	is_full = false;
}
