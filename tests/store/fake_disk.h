#ifndef QL_TESTS_STORE_FAKE_DISK_H
#define QL_TESTS_STORE_FAKE_DISK_H

/*
 * A disk in memory. A crash loses what was not synced: the content of files,
 * of which a part may have been written, and creations, renames and removals.
 */

#include "store/disk.h"

#include <map>
#include <memory>
#include <string>

struct FakeFile {
	std::string content;
	std::string synced;
};

class FakeDisk
{
      public:
	using Files = std::map<std::string, std::shared_ptr<FakeFile>>;

	static const unsigned int NEVER = ~0u;

	ql_disk_t disk();

	/*
	 * Loses what was not synced. @choice decides how much of it had reached
	 * the disk by itself.
	 */
	void crash(unsigned int choice);

	/* Loses everything. */
	void wipe();

	Files files;
	Files synced_files;
	/* This many calls succeed, the next one and all later ones fail. */
	unsigned int calls_until_failure = NEVER;
	/* A sync says that it was done and does nothing. */
	bool skip_sync = false;
	unsigned int n_calls = 0;
	uint64_t bytes_read = 0;
};

#endif
