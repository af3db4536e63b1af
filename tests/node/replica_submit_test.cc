#include "node/replica_submit.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

namespace
{

const size_t LARGEST = QL_CONFIG_DOCUMENT_MAX_BYTES;

struct SubmitCase {
	const char *description;
	bool is_leader;
	size_t length;
	int status;
	size_t n_passed_on;
};

/* The replica thread can't answer, so what it gets must not be too large. */
TEST(ReplicaSubmit, RefusesWhatIsTooLargeAtOnce)
{
	const SubmitCase cases[] = {
		{"small, to the leader", true, 100, QL_E_PENDING, 1},
		{"largest, to the leader", true, LARGEST, QL_E_PENDING, 1},
		{"too large, to the leader", true, LARGEST + 1, QL_E_TOO_LARGE,
		 0},
		{"largest, to another", false, LARGEST, QL_E_NOT_LEADER, 0},
		{"too large, to another", false, LARGEST + 1, QL_E_TOO_LARGE,
		 0},
	};

	for (const SubmitCase &test : cases) {
		SCOPED_TRACE(test.description);
		test_submission_t submission = {};

		submission.id = "p";
		submission.is_leader = test.is_leader;
		submission.length = test.length;
		test_submit_patch(&submission);
		EXPECT_EQ(test.status, submission.answer.status);
		EXPECT_NE('\0', submission.answer.detail[0]);
		EXPECT_EQ(test.n_passed_on, submission.n_passed_on);
	}
}

/*
 * Guards against an accepted patch that a restart forgets: its answer can't be
 * kept in a snapshot, which is JSON, so that a repetition would be refused.
 */
TEST(ReplicaSubmit, RefusesAnIdThatIsNoUtf8)
{
	test_submission_t submission = {};

	submission.is_leader = true;
	submission.length = 100;
	submission.id = "p\xf5";
	test_submit_patch(&submission);
	EXPECT_EQ(QL_E_INVALID, submission.answer.status);
	EXPECT_NE('\0', submission.answer.detail[0]);
	EXPECT_EQ(0u, submission.n_passed_on);
	submission.id = "p\u00f5";
	test_submit_patch(&submission);
	EXPECT_EQ(QL_E_PENDING, submission.answer.status);
	EXPECT_EQ(1u, submission.n_passed_on);
}

} // namespace
