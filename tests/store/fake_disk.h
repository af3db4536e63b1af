#ifndef QL_TESTS_STORE_FAKE_DISK_H
#define QL_TESTS_STORE_FAKE_DISK_H

/*
 * A disk in memory that simulates crashes. A crash loses unsynced changes: the
 * content of files, of which a part may have reached the disk, and creations,
 * renames and removals.
 */

#include "store/disk.h"

#include <map>
#include <memory>
#include <string>

/* @content is what a read returns, @synced what a crash preserves. */
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
	 * Loses unsynced changes. @choice selects how much of them reached the
	 * disk nevertheless.
	 */
	void crash(unsigned int choice);

	/* Removes all files, synced ones too. */
	void wipe();

	Files files;
	Files synced_files;
	/* Number of operations that succeed before all later ones fail. */
	unsigned int calls_until_failure = NEVER;
	/* Whether all operations that write fail, while reads succeed. */
	bool is_full = false;
	/* Whether sync operations succeed without any effect. */
	bool skip_sync = false;
	/* Whether the sync of a file covers its creation too. */
	bool sync_covers_creation = false;
	unsigned int n_calls = 0;
	uint64_t bytes_read = 0;
};

#endif
