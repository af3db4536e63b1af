#include "quetzalloft/error.h"
#include "store/fake_disk.h"
#include "store/journal.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace
{

using Log = std::vector<std::string>;

ql_journal_entry_t make_entry(uint64_t index, uint64_t term,
			      const std::string &text)
{
	return {index, term, 2, g_bytes_new(text.data(), text.size())};
}

int write_entry(ql_journal_t *journal, uint64_t index, uint64_t term,
		const std::string &text)
{
	ql_journal_entry_t entry = make_entry(index, term, text);
	ql_journal_state_t state = {7, term, 0, 0};
	int ret = ql_journal_write(journal, &state, &entry, 1, nullptr);

	g_bytes_unref(entry.payload);
	return ret;
}

int restart_at(ql_journal_t *journal, uint64_t index, const std::string &text)
{
	ql_journal_state_t state = journal->state;
	ql_journal_compaction_t base = {};
	int ret;

	base.snapshot = {index, 1, g_bytes_new(text.data(), text.size())};
	base.base_index = index;
	base.base_term = 1;
	ret = ql_journal_store_snapshot(journal, &state, &base, nullptr);
	g_bytes_unref(base.snapshot.data);
	return ret;
}

std::string bytes_to_string(GBytes *bytes)
{
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);

	return std::string((const char *)data, length);
}

/* Lists the snapshot of a journal and the entries after it. */
Log contents(const ql_journal_t *journal)
{
	Log log;

	if (journal->snapshot.data)
		log.push_back("snapshot " +
			      bytes_to_string(journal->snapshot.data));
	for (guint i = 0; i < journal->entries->len; i++) {
		const ql_journal_entry_t *entry =
			&g_array_index(journal->entries, ql_journal_entry_t, i);

		if (entry->index > journal->snapshot.index)
			log.push_back(bytes_to_string(entry->payload));
	}
	return log;
}

Log reopen_contents(FakeDisk *fake, ql_journal_state_t *state = nullptr)
{
	ql_disk_t disk = fake->disk();
	ql_journal_t journal;
	GError *error = nullptr;
	Log log;

	if (ql_journal_open(&journal, &disk, &error)) {
		log.push_back(std::string("failed: ") + error->message);
		g_error_free(error);
		return log;
	}
	log = contents(&journal);
	if (state)
		*state = journal.state;
	ql_journal_finish(&journal);
	return log;
}

TEST(Journal, LoadsWrittenEntriesAndState)
{
	FakeDisk fake;
	ql_disk_t disk = fake.disk();
	ql_journal_state_t state = {};
	ql_journal_t journal;

	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	EXPECT_EQ(0, write_entry(&journal, 1, 1, "a"));
	EXPECT_EQ(0, write_entry(&journal, 2, 1, "b"));
	EXPECT_EQ(0, write_entry(&journal, 3, 1, "c"));
	/* An entry replaces all entries of higher indices. */
	EXPECT_EQ(0, write_entry(&journal, 2, 4, "d"));
	ql_journal_finish(&journal);
	fake.crash(1);
	EXPECT_EQ((Log{"a", "d"}), reopen_contents(&fake, &state));
	EXPECT_EQ(7u, state.identity);
	EXPECT_EQ(4u, state.term);
}

TEST(Journal, KeepsOneSegmentAfterASnapshot)
{
	FakeDisk fake;
	ql_disk_t disk = fake.disk();
	ql_journal_t journal;

	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	for (uint64_t i = 1; i <= 100; i++) {
		ASSERT_EQ(0, write_entry(&journal, i, 1, "entry"));
		if (i % 10 == 0) {
			ASSERT_EQ(0, restart_at(&journal, i, "state"));
		}
	}
	ql_journal_finish(&journal);
	EXPECT_EQ(2u, fake.files.size());
	EXPECT_EQ((Log{"snapshot state"}), reopen_contents(&fake));
}

/* Expected content after each step of run_step(); a crash may undo one step. */
const std::vector<Log> CONTENTS_AFTER_STEP = {
	{},
	{"a"},
	{"a", "b"},
	{"snapshot s"},
	{"snapshot s", "c"},
	{"snapshot t"},
	{"snapshot t", "d"},
	/* A snapshot received from another replica, far ahead of the log. */
	{"snapshot u"},
	{"snapshot u", "e"},
};

int run_step(ql_journal_t *journal, size_t step)
{
	switch (step) {
	case 1:
		return write_entry(journal, 1, 1, "a");
	case 2:
		return write_entry(journal, 2, 1, "b");
	case 3:
		return restart_at(journal, 2, "s");
	case 4:
		return write_entry(journal, 3, 1, "c");
	case 5:
		return restart_at(journal, 3, "t");
	case 6:
		return write_entry(journal, 4, 1, "d");
	case 7:
		return restart_at(journal, 9, "u");
	default:
		return write_entry(journal, 10, 1, "e");
	}
}

/* Runs steps until a disk operation fails. Returns the number completed. */
size_t run_until_failure(FakeDisk *fake)
{
	ql_disk_t disk = fake->disk();
	ql_journal_t journal;
	size_t step = 0;

	if (ql_journal_open(&journal, &disk, nullptr))
		return 0;
	while (step + 1 < CONTENTS_AFTER_STEP.size() &&
	       !run_step(&journal, step + 1))
		step++;
	ql_journal_finish(&journal);
	return step;
}

/* Opens a journal and appends one entry after all others. */
void append_one(FakeDisk *fake, const std::string &text)
{
	ql_disk_t disk = fake->disk();
	ql_journal_t journal;

	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	EXPECT_EQ(0, write_entry(&journal,
				 journal.base_index + journal.entries->len + 1,
				 1, text));
	ql_journal_finish(&journal);
}

/* Whether an interrupted step had its whole effect or none. */
bool is_step_atomic(const Log &log, size_t done)
{
	return log == CONTENTS_AFTER_STEP[done] ||
	       (done + 1 < CONTENTS_AFTER_STEP.size() &&
		log == CONTENTS_AFTER_STEP[done + 1]);
}

TEST(Journal, EveryCrashPreservesConfirmedWrites)
{
	for (unsigned int calls = 0; calls < 80; calls++) {
		for (unsigned int choice = 0; choice < 64; choice++) {
			SCOPED_TRACE("calls " + std::to_string(calls) +
				     " choice " + std::to_string(choice));
			FakeDisk fake;

			fake.calls_until_failure = calls;
			size_t done = run_until_failure(&fake);

			fake.crash(choice);
			Log log = reopen_contents(&fake);

			ASSERT_TRUE(is_step_atomic(log, done))
				<< done << " "
				<< (log.empty() ? "empty" : log[0]);
			/* Opening again changes nothing. */
			fake.crash(choice + 1);
			ASSERT_EQ(log, reopen_contents(&fake));
			append_one(&fake, "next");
			fake.crash(choice + 1);
			log.push_back("next");
			ASSERT_EQ(log, reopen_contents(&fake));
		}
	}
}

TEST(Journal, CrashTestDetectsAMissingSync)
{
	FakeDisk fake;

	fake.skip_sync = true;
	ASSERT_EQ(CONTENTS_AFTER_STEP.size() - 1, run_until_failure(&fake));
	fake.crash(1);
	EXPECT_FALSE(is_step_atomic(reopen_contents(&fake),
				    CONTENTS_AFTER_STEP.size() - 1));
}

FakeDisk copy_disk(const FakeDisk &fake)
{
	std::map<FakeFile *, std::shared_ptr<FakeFile>> copies;
	FakeDisk copy = fake;

	for (FakeDisk::Files *files : {&copy.files, &copy.synced_files})
		for (auto &file : *files) {
			auto &made = copies[file.second.get()];

			if (!made)
				made = std::make_shared<FakeFile>(*file.second);
			file.second = made;
		}
	return copy;
}

/* Expects all confirmed steps, and at most the next one, after any crash. */
void expect_confirmed_after_crash(const FakeDisk &fake, size_t done)
{
	for (unsigned int choice = 0; choice < 16; choice++) {
		FakeDisk crashed = copy_disk(fake);

		SCOPED_TRACE("choice " + std::to_string(choice));
		crashed.crash(choice);
		ASSERT_TRUE(is_step_atomic(reopen_contents(&crashed), done))
			<< done;
	}
}

/*
 * Guards against a replica that takes no part any more, or that loses confirmed
 * writes, after its disk was full: at every operation of every write, for one
 * attempt and for several.
 */
TEST(Journal, WritesGoOnAfterAFullDisk)
{
	for (unsigned int calls = 0; calls < 60; calls++) {
		for (unsigned int attempts = 1; attempts <= 3; attempts++) {
			SCOPED_TRACE("calls " + std::to_string(calls) +
				     " attempts " + std::to_string(attempts));
			FakeDisk fake;
			ql_disk_t disk = fake.disk();
			unsigned int failures = 0;
			ql_journal_t journal;

			ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
			fake.calls_until_failure = calls;
			for (size_t step = 1;
			     step < CONTENTS_AFTER_STEP.size();) {
				if (!run_step(&journal, step)) {
					step++;
					continue;
				}
				expect_confirmed_after_crash(fake, step - 1);
				ASSERT_LE(++failures, attempts);
				if (failures == attempts)
					fake.calls_until_failure =
						FakeDisk::NEVER;
			}
			ql_journal_finish(&journal);
			fake.calls_until_failure = FakeDisk::NEVER;
			EXPECT_EQ(CONTENTS_AFTER_STEP.back(),
				  reopen_contents(&fake));
			expect_confirmed_after_crash(
				fake, CONTENTS_AFTER_STEP.size() - 1);
		}
	}
}

/* How a process is killed: in a write, or in the repair of a failed write. */
struct Kill {
	unsigned int calls;
	unsigned int repair_calls;
	bool repairs;
};

/*
 * Runs a script of steps up to a kill, which leaves the files as they are;
 * returns the number of steps done.
 */
size_t run_until_kill(FakeDisk *fake, const Kill &kill)
{
	ql_disk_t disk = fake->disk();
	ql_journal_t journal;
	size_t step = 0;

	if (ql_journal_open(&journal, &disk, nullptr))
		return 0;
	fake->calls_until_failure = kill.calls;
	while (step + 1 < CONTENTS_AFTER_STEP.size() &&
	       !run_step(&journal, step + 1))
		step++;
	fake->calls_until_failure = kill.repair_calls;
	if (kill.repairs && step + 1 < CONTENTS_AFTER_STEP.size() &&
	    !run_step(&journal, step + 1))
		step++;
	ql_journal_finish(&journal);
	fake->calls_until_failure = FakeDisk::NEVER;
	return step;
}

void expect_kept_after_kill(FakeDisk *fake, const Kill &kill,
			    unsigned int choice)
{
	size_t done = run_until_kill(fake, kill);
	Log log = reopen_contents(fake);

	ASSERT_TRUE(is_step_atomic(log, done)) << done;
	append_one(fake, "next");
	log.push_back("next");
	fake->crash(choice);
	ASSERT_EQ(log, reopen_contents(fake));
}

/*
 * Guards against a confirmed write that is lost, or a journal that can't be
 * opened, when a process is killed in a write or its repair, writes again after
 * its restart, and then loses power.
 */
TEST(Journal, KeepsConfirmedWritesAfterAKillAndALossOfPower)
{
	for (unsigned int at = 0; at < 60 * 8 * 2; at++) {
		const Kill kill = {at % 60, at / 60 % 8, at / 480 == 1};

		for (unsigned int choice = 0; choice < 64; choice++) {
			SCOPED_TRACE("calls " + std::to_string(kill.calls) +
				     " repair " +
				     std::to_string(kill.repair_calls) +
				     (kill.repairs ? " repairs" : "") +
				     " choice " + std::to_string(choice));
			for (bool covers : {false, true}) {
				FakeDisk fake;

				fake.sync_covers_creation = covers;
				expect_kept_after_kill(&fake, kill, choice);
				if (HasFatalFailure())
					return;
			}
		}
	}
}

/* Guards against a replica that cannot start while its disk is full. */
TEST(Journal, OpensAFullDisk)
{
	for (unsigned int calls = 0; calls < 60; calls++) {
		for (unsigned int choice = 0; choice < 16; choice++) {
			SCOPED_TRACE("calls " + std::to_string(calls) +
				     " choice " + std::to_string(choice));
			FakeDisk fake;

			fake.calls_until_failure = calls;
			size_t done = run_until_failure(&fake);

			fake.crash(choice);
			fake.is_full = true;
			Log log = reopen_contents(&fake);

			ASSERT_TRUE(is_step_atomic(log, done)) << done;
			fake.is_full = false;
			append_one(&fake, "next");
			log.push_back("next");
			ASSERT_EQ(log, reopen_contents(&fake));
		}
	}
}

struct Damage {
	const char *name;
	size_t frame;
	bool is_corrupt;
};

class JournalDamage : public testing::TestWithParam<Damage>
{
};

/* Damages each byte of a frame in turn. */
TEST_P(JournalDamage, IsReportedOrRemoved)
{
	FakeDisk fake;
	ql_disk_t disk = fake.disk();
	std::vector<size_t> ends = {0};
	ql_journal_t journal;
	const std::string file = "log-0000000000000001";

	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	for (uint64_t i = 1; i <= 3; i++) {
		ASSERT_EQ(0, write_entry(&journal, i, 1, "entry"));
		ends.push_back(fake.files[file]->content.size());
	}
	ql_journal_finish(&journal);
	for (size_t at = ends[GetParam().frame];
	     at < ends[GetParam().frame + 1]; at++) {
		FakeDisk damaged;
		ql_disk_t damaged_disk = damaged.disk();
		GError *error = nullptr;
		int ret;

		SCOPED_TRACE(at);
		damaged.files[file] =
			std::make_shared<FakeFile>(*fake.files[file]);
		damaged.files[file]->content[at] ^= 0x40;
		ret = ql_journal_open(&journal, &damaged_disk, &error);
		if (GetParam().is_corrupt) {
			ASSERT_EQ(QL_E_CORRUPT, ret);
			EXPECT_TRUE(strstr(error->message, file.c_str()));
			EXPECT_TRUE(strstr(error->message, "offset"));
			g_error_free(error);
		} else {
			ASSERT_EQ(0, ret);
			EXPECT_EQ((Log{"entry", "entry"}), contents(&journal));
			ql_journal_finish(&journal);
		}
	}
}

INSTANTIATE_TEST_SUITE_P(Frames, JournalDamage,
			 testing::Values(Damage{"First", 0, true},
					 Damage{"Middle", 1, true},
					 Damage{"Last", 2, false}),
			 [](const testing::TestParamInfo<Damage> &test) {
				 return std::string(test.param.name);
			 });

TEST(Journal, ReportsMissingFiles)
{
	FakeDisk fake;

	ASSERT_EQ(CONTENTS_AFTER_STEP.size() - 1, run_until_failure(&fake));
	fake.files.erase("snapshot");
	EXPECT_NE(std::string::npos, reopen_contents(&fake)[0].find("failed"));
}

TEST(Journal, WorksInAFolder)
{
	char folder[] = "/tmp/ql_journal_XXXXXX";
	ql_folder_disk_t folder_disk, second;
	ql_disk_t disk = {&ql_folder_disk_ops, &folder_disk};
	ql_journal_t journal;

	ASSERT_TRUE(mkdtemp(folder));
	ASSERT_EQ(0, ql_folder_disk_init(&folder_disk, folder, nullptr));
	EXPECT_EQ(QL_E_EXISTS, ql_folder_disk_init(&second, folder, nullptr));
	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	for (size_t step = 1; step < CONTENTS_AFTER_STEP.size(); step++)
		EXPECT_EQ(0, run_step(&journal, step));
	ql_journal_finish(&journal);
	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	EXPECT_EQ(CONTENTS_AFTER_STEP.back(), contents(&journal));
	ql_journal_finish(&journal);
	EXPECT_EQ(0,
		  ql_folder_disk_ops.remove(&folder_disk, "snapshot", nullptr));
	EXPECT_EQ(0,
		  ql_folder_disk_ops.remove(&folder_disk,
					    "log-0000000000000004", nullptr));
	ql_folder_disk_finish(&folder_disk);
	EXPECT_EQ(0, rmdir(folder));
}

} // namespace
