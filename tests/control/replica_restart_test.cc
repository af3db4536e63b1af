#include "control/replica_cluster.h"
#include "quetzalloft/error.h"
#include "store/fake_disk.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace
{

const uint64_t N_PATCHES = 500;
const uint32_t SNAPSHOT_ENTRIES = 128;

std::string document_text(uint64_t number)
{
	return "{\"site\":\"s" + std::to_string(number) +
	       "\",\"attempts\":3,\"classes\":{},\"services\":{},"
	       "\"routes\":{}}";
}

TEST(LargePatch, IsAppliedByAllReplicasAndRestored)
{
	FakeDisk disks[3];
	ReplicaCluster cluster({disks[0].disk(), disks[1].disk(),
				disks[2].disk()},
			       SNAPSHOT_ENTRIES);
	std::string text = document_text(0);

	text.pop_back();
	text += ",\"origin\":{\"fill\":\"\"}}";
	text.insert(text.size() - 3, QL_CONFIG_DOCUMENT_MAX_BYTES - text.size(),
		    'f');
	cluster.submit_patch("large", 0, text);
	ql_replica_flush(&cluster.leader()->config.replica);
	cluster.run_until_idle();
	cluster.kill(0);
	cluster.start(0);
	cluster.run_until_elected();
	for (size_t i = 0; i < 3; i++)
		EXPECT_EQ(1u, cluster.replicas[i]->state.doc->version);
}

class Restart : public testing::TestWithParam<std::vector<size_t>>
{
};

/*
 * Restarted replicas have the latest version and answer a resent patch as they
 * did the first time.
 */
TEST_P(Restart, RestoresLatestVersionAndAnswers)
{
	FakeDisk disks[3];
	ReplicaCluster cluster({disks[0].disk(), disks[1].disk(),
				disks[2].disk()},
			       SNAPSHOT_ENTRIES);

	for (uint64_t i = 0; i < N_PATCHES; i++) {
		cluster.submit_patch("p" + std::to_string(i), i,
				     document_text(i));
		ql_replica_flush(&cluster.leader()->config.replica);
		cluster.run_until_idle();
	}
	for (size_t index : GetParam()) {
		cluster.kill(index);
		disks[index].crash(1);
	}
	for (size_t index : GetParam()) {
		uint64_t on_disk = 0;

		cluster.start(index);
		for (const auto &file : disks[index].files)
			on_disk += file.second->content.size();
		/* The version is restored before any message arrives. */
		EXPECT_EQ(N_PATCHES,
			  cluster.replicas[index]->state.doc->version);
		/* Each byte is read at most once, and the log is bounded. */
		EXPECT_GE(on_disk, cluster.replicas[index]->bytes_read);
		EXPECT_GE(2u, disks[index].files.size());
		EXPECT_GT(2 * SNAPSHOT_ENTRIES,
			  cluster.replicas[index]->journal.entries->len);
		/* The others may have committed more patches since. */
		EXPECT_FALSE(ql_replica_is_current(
			&cluster.replicas[index]->config.replica));
	}
	cluster.run_until_elected();
	for (size_t i = 0; i < 3; i++) {
		EXPECT_EQ(N_PATCHES, cluster.replicas[i]->state.doc->version);
		ql_patch_answer_t first =
			cluster.query_answer(i, "p7", 7, document_text(7));

		EXPECT_EQ(0, first.status);
		EXPECT_EQ(8u, first.version);
	}
	cluster.submit_patch("next", N_PATCHES, document_text(N_PATCHES));
	ql_replica_flush(&cluster.leader()->config.replica);
	cluster.run_until_idle();
	EXPECT_EQ(N_PATCHES + 1, cluster.leader()->state.doc->version);
	cluster.run_until_elected();
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(ql_replica_is_current(
			&cluster.replicas[i]->config.replica))
			<< i;
}

INSTANTIATE_TEST_SUITE_P(
	After500Patches, Restart,
	testing::Values(std::vector<size_t>{1}, std::vector<size_t>{0, 1},
			std::vector<size_t>{0, 1, 2}),
	[](const testing::TestParamInfo<std::vector<size_t>> &test) {
		return "Of" + std::to_string(test.param.size());
	});

/*
 * Guards against replicas that run out of disk and memory when large documents
 * change often: the log holds each of them.
 */
TEST(ReplicaLog, IsBoundedInBytes)
{
	const uint64_t kSnapshotBytes = 256 << 10;
	const size_t kDocumentBytes = 20 << 10;
	const uint64_t kChanges = 100;
	FakeDisk disks[3];
	ReplicaCluster cluster({disks[0].disk(), disks[1].disk(),
				disks[2].disk()},
			       2048, kSnapshotBytes);
	uint64_t most_on_disk = 0, most_in_log = 0;

	for (uint64_t i = 0; i < kChanges; i++) {
		std::string text = document_text(i);

		text.insert(1, "\"origin\":{\"fill\":\"" +
				       std::string(kDocumentBytes,
						   (char)('a' + i % 26)) +
				       "\"},");
		cluster.submit_patch("p" + std::to_string(i), i, text);
		ql_replica_flush(&cluster.leader()->config.replica);
		cluster.run_until_idle();
		for (size_t node = 0; node < 3; node++) {
			const GArray *entries =
				cluster.replicas[node]->config.replica.entries;
			uint64_t on_disk = 0, in_log = 0;

			for (const auto &file : disks[node].files)
				on_disk += file.second->content.size();
			for (guint at = 0; at < entries->len; at++)
				in_log += g_bytes_get_size(
					g_array_index(entries,
						      ql_journal_entry_t, at)
						.payload);
			most_on_disk = std::max(most_on_disk, on_disk);
			most_in_log = std::max(most_in_log, in_log);
		}
	}
	EXPECT_EQ(kChanges, cluster.leader()->state.doc->version);
	/*
	 * The snapshot has the kept changes and the document; a new one is
	 * written before the old one and its log are removed.
	 */
	EXPECT_GT(3 * (QL_CONFIG_CHANGES_KEPT_BYTES + kSnapshotBytes),
		  most_on_disk);
	EXPECT_GT(QL_CONFIG_CHANGES_KEPT_BYTES + 2 * kSnapshotBytes,
		  most_in_log);
}

} // namespace
