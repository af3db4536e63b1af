#include "store/fake_disk.h"
#include "store/frame_file.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

using Payloads = std::vector<std::string>;

class FrameFile : public testing::Test
{
      protected:
	static GPtrArray *to_array(const Payloads &payloads)
	{
		GPtrArray *array = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);

		for (const std::string &payload : payloads)
			g_ptr_array_add(array, g_bytes_new(payload.data(),
							   payload.size()));
		return array;
	}

	int append(const Payloads &payloads)
	{
		GPtrArray *array = to_array(payloads);
		int ret = ql_frame_file_append(&file, array, nullptr);

		g_ptr_array_unref(array);
		return ret;
	}

	int replace(const Payloads &payloads)
	{
		GPtrArray *array = to_array(payloads);
		int ret = ql_frame_file_replace(&file, array, nullptr);

		g_ptr_array_unref(array);
		return ret;
	}

	/* Reads the file as a process does that has just started. */
	Payloads read()
	{
		GPtrArray *array = to_array({});
		Payloads payloads;
		gsize length;
		guint i;

		file = {disk.disk(), "frames", 0};
		EXPECT_EQ(0, ql_frame_file_read(&file, array, nullptr));
		for (i = 0; i < array->len; i++) {
			const void *data =
				g_bytes_get_data((GBytes *)array->pdata[i],
						 &length);

			payloads.emplace_back((const char *)data, length);
		}
		g_ptr_array_unref(array);
		return payloads;
	}

	FakeDisk disk;
	ql_frame_file_t file = {disk.disk(), "frames", 0};
};

TEST_F(FrameFile, HasWhatWasAppendedAfterACrash)
{
	EXPECT_EQ(Payloads(), read());
	EXPECT_EQ(0, replace({"a"}));
	EXPECT_EQ(0, append({"b", ""}));
	EXPECT_EQ(0, append({"c"}));
	disk.crash(0);
	EXPECT_EQ((Payloads{"a", "b", "", "c"}), read());
	EXPECT_EQ(0, replace({"d"}));
	disk.crash(0);
	EXPECT_EQ(Payloads{"d"}, read());
}

/* What was reported as written stays, whatever ends after that. */
TEST_F(FrameFile, HasOldOrNewPayloadsAfterACrashInAWrite)
{
	const Payloads before = {"old-1", "old-2"};

	for (bool replaces : {false, true}) {
		for (unsigned int calls = 0; calls < 6; calls++) {
			for (unsigned int choice = 0; choice < 4; choice++) {
				SCOPED_TRACE(testing::Message()
					     << replaces << " " << calls << " "
					     << choice);
				disk = FakeDisk();
				file = {disk.disk(), "frames", 0};
				ASSERT_EQ(0, replace(before));
				disk.n_calls = 0;
				disk.calls_until_failure = calls;
				bool done = !(replaces ? replace({"new"})
						       : append({"new"}));
				disk.calls_until_failure = FakeDisk::NEVER;
				disk.crash(choice);

				Payloads found = read();
				Payloads after =
					replaces ? Payloads{"new"}
						 : Payloads{"old-1", "old-2",
							    "new"};

				EXPECT_TRUE(found == after ||
					    (!done && found == before));
			}
		}
	}
}

/* A replacement that was not finished is no part of the next one. */
TEST_F(FrameFile, IsReplacedAfterAFailure)
{
	ASSERT_EQ(0, replace({"a"}));
	disk.is_full = true;
	EXPECT_NE(0, append({"b"}));
	EXPECT_NE(0, replace({"a", "b"}));
	disk.is_full = false;
	EXPECT_EQ(0, replace({"a", "b"}));
	EXPECT_EQ(0, append({"c"}));
	EXPECT_EQ((Payloads{"a", "b", "c"}), read());
}

} // namespace
