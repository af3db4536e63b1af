#include "quetzalloft/error.h"
#include "store/fake_disk.h"
#include "store/journal.h"

#include <gtest/gtest.h>

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

std::string text_of(GBytes *bytes)
{
	gsize length;
	const void *data = g_bytes_get_data(bytes, &length);

	return std::string((const char *)data, length);
}

/* What a journal adds up to: the snapshot and the entries behind it. */
Log contents(const ql_journal_t *journal)
{
	Log log;

	if (journal->snapshot.data)
		log.push_back("snapshot " + text_of(journal->snapshot.data));
	for (guint i = 0; i < journal->entries->len; i++) {
		const ql_journal_entry_t *entry =
			&g_array_index(journal->entries, ql_journal_entry_t, i);

		if (entry->index > journal->snapshot.index)
			log.push_back(text_of(entry->payload));
	}
	return log;
}

Log reopened(FakeDisk *fake, ql_journal_state_t *state = nullptr)
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

TEST(Journal, HoldsWhatWasWritten)
{
	FakeDisk fake;
	ql_disk_t disk = fake.disk();
	ql_journal_state_t state = {};
	ql_journal_t journal;

	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	EXPECT_EQ(0, write_entry(&journal, 1, 1, "a"));
	EXPECT_EQ(0, write_entry(&journal, 2, 1, "b"));
	EXPECT_EQ(0, write_entry(&journal, 3, 1, "c"));
	/* An entry replaces those behind it. */
	EXPECT_EQ(0, write_entry(&journal, 2, 4, "d"));
	ql_journal_finish(&journal);
	fake.crash(1);
	EXPECT_EQ((Log{"a", "d"}), reopened(&fake, &state));
	EXPECT_EQ(7u, state.identity);
	EXPECT_EQ(4u, state.term);
}

TEST(Journal, KeepsOneSegmentBehindASnapshot)
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
	EXPECT_EQ((Log{"snapshot state"}), reopened(&fake));
}

/* What each step of the script below leaves; a crash may undo one step. */
const std::vector<Log> SCRIPT = {
	{},
	{"a"},
	{"a", "b"},
	{"snapshot s"},
	{"snapshot s", "c"},
	{"snapshot t"},
	{"snapshot t", "d"},
	/* A snapshot that another replica sent, far ahead of the log. */
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

/* Runs until a call of the disk fails; returns the steps that succeeded. */
size_t run_until_failure(FakeDisk *fake)
{
	ql_disk_t disk = fake->disk();
	ql_journal_t journal;
	size_t step = 0;

	if (ql_journal_open(&journal, &disk, nullptr))
		return 0;
	while (step + 1 < SCRIPT.size() && !run_step(&journal, step + 1))
		step++;
	ql_journal_finish(&journal);
	return step;
}

/* Opens a journal and appends one entry behind all others. */
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

/* The step that a crash cut short is there as a whole or not at all. */
bool is_between(const Log &log, size_t done)
{
	return log == SCRIPT[done] ||
	       (done + 1 < SCRIPT.size() && log == SCRIPT[done + 1]);
}

TEST(Journal, EveryCrashLeavesWhatWasAnswered)
{
	for (unsigned int calls = 0; calls < 80; calls++) {
		for (unsigned int choice = 0; choice < 64; choice++) {
			SCOPED_TRACE("calls " + std::to_string(calls) +
				     " choice " + std::to_string(choice));
			FakeDisk fake;

			fake.calls_until_failure = calls;
			size_t done = run_until_failure(&fake);

			fake.crash(choice);
			Log log = reopened(&fake);

			ASSERT_TRUE(is_between(log, done))
				<< done << " "
				<< (log.empty() ? "empty" : log[0]);
			/* Opening again changes nothing. */
			fake.crash(choice + 1);
			ASSERT_EQ(log, reopened(&fake));
			append_one(&fake, "next");
			fake.crash(choice + 1);
			log.push_back("next");
			ASSERT_EQ(log, reopened(&fake));
		}
	}
}

TEST(Journal, FindsThatASyncWasLeftOut)
{
	FakeDisk fake;

	fake.skip_sync = true;
	ASSERT_EQ(SCRIPT.size() - 1, run_until_failure(&fake));
	fake.crash(1);
	EXPECT_FALSE(is_between(reopened(&fake), SCRIPT.size() - 1));
}

TEST(Journal, NothingIsWrittenAfterAFailure)
{
	FakeDisk fake;
	ql_disk_t disk = fake.disk();
	ql_journal_t journal;

	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	EXPECT_EQ(0, write_entry(&journal, 1, 1, "a"));
	fake.calls_until_failure = 1;
	EXPECT_EQ(QL_E_IO, write_entry(&journal, 2, 1, "b"));
	fake.calls_until_failure = FakeDisk::NEVER;
	EXPECT_EQ(QL_E_IO, write_entry(&journal, 2, 1, "b"));
	ql_journal_finish(&journal);
}

struct Damage {
	const char *name;
	size_t frame;
	bool is_corrupt;
};

class JournalDamage : public testing::TestWithParam<Damage>
{
};

/* Any single byte of a frame is damaged in turn. */
TEST_P(JournalDamage, IsReportedOrCut)
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

	ASSERT_EQ(SCRIPT.size() - 1, run_until_failure(&fake));
	fake.files.erase("snapshot");
	EXPECT_NE(std::string::npos, reopened(&fake)[0].find("failed"));
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
	for (size_t step = 1; step < SCRIPT.size(); step++)
		EXPECT_EQ(0, run_step(&journal, step));
	ql_journal_finish(&journal);
	ASSERT_EQ(0, ql_journal_open(&journal, &disk, nullptr));
	EXPECT_EQ(SCRIPT.back(), contents(&journal));
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
