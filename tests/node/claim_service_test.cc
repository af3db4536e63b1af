#include "quetzalloft/error.h"
#include "support/keepers.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>
#include <vector>

namespace
{

class ClaimService : public testing::Test
{
      protected:
	ql_claim_result_t Run(const std::string &key, const std::string &body)
	{
		ql_claim_verdict_t verdict = {};
		ql_claim_session_t *session =
			keepers_.Begin(QL_CLAIM_RUN, key, body, &verdict);

		if (session)
			ql_claim_service_end(&keepers_.service, session,
					     QL_CLAIM_NOTE_NONE, nullptr);
		if (verdict.answer)
			g_bytes_unref(verdict.answer);
		return verdict.result;
	}

	/*
	 * Repeats the request until it has the expected result, for up to a
	 * second: ql_claim_service_end() does not wait until the keepers have
	 * stored the note.
	 */
	ql_claim_result_t RunUntil(const std::string &key,
				   const std::string &body,
				   ql_claim_result_t expected)
	{
		ql_claim_result_t result = QL_CLAIM_PENDING;

		for (int i = 0; i < 200 && result != expected; i++) {
			g_usleep(i ? 5000 : 0);
			result = Run(key, body);
		}
		return result;
	}

	keepers_test::Keepers keepers_;
};

TEST_F(ClaimService, RepeatReceivesTheStoredResponse)
{
	ql_claim_verdict_t verdict = {};
	ql_http_response_t response, stored;
	ql_http_header_t header = {g_strdup("Content-Type"),
				   g_strdup("text/plain")};
	ql_claim_session_t *session =
		keepers_.Begin(QL_CLAIM_RUN, "k", "body", &verdict);
	GBytes *packed;

	ASSERT_EQ(QL_CLAIM_WON, verdict.result);
	EXPECT_TRUE(ql_claim_service_may_run(session));
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Run("k", "body"));
	ql_http_response_init(&response);
	response.status = 201;
	g_array_append_val(response.headers, header);
	g_byte_array_append(response.body, (const guint8 *)"letter\0sent", 11);
	packed = ql_claim_pack_answer(&response);
	ql_claim_service_end(&keepers_.service, session, QL_CLAIM_NOTE_ANSWERED,
			     packed);
	ASSERT_EQ(QL_CLAIM_ANSWERED, RunUntil("k", "body", QL_CLAIM_ANSWERED));
	EXPECT_EQ(nullptr,
		  keepers_.Begin(QL_CLAIM_SEAL, "k", "body", &verdict));
	ASSERT_EQ(QL_CLAIM_ANSWERED, verdict.result);
	ql_http_response_init(&stored);
	EXPECT_EQ(0, ql_claim_unpack_answer(&stored, verdict.answer));
	EXPECT_EQ(201, stored.status);
	EXPECT_STREQ("text/plain",
		     ql_http_response_find_header(&stored, "content-type"));
	ASSERT_EQ(11u, stored.body->len);
	EXPECT_EQ(0, memcmp(stored.body->data, "letter\0sent", 11));
	ql_http_response_finish(&stored);
	ql_http_response_finish(&response);
	g_bytes_unref(verdict.answer);
	EXPECT_EQ(QL_CLAIM_CONFLICT, Run("k", "other body"));
}

TEST_F(ClaimService, ForfeitAllowsARepeatToRun)
{
	ql_claim_verdict_t verdict = {};
	ql_claim_session_t *session =
		keepers_.Begin(QL_CLAIM_RUN, "k", "body", &verdict);

	ASSERT_EQ(QL_CLAIM_WON, verdict.result);
	ql_claim_service_end(&keepers_.service, session,
			     QL_CLAIM_NOTE_FORFEITED, nullptr);
	EXPECT_EQ(QL_CLAIM_WON, RunUntil("k", "body", QL_CLAIM_WON));
}

TEST_F(ClaimService, SealCoversAllCopies)
{
	ql_claim_verdict_t verdict = {};

	EXPECT_EQ(nullptr, keepers_.Begin(QL_CLAIM_SEAL, "k", "b", &verdict));
	EXPECT_EQ(QL_OUTCOME_NOT_RUN, verdict.outcome);
	EXPECT_EQ(QL_CLAIM_SEALED, Run("k", "b"));
}

TEST_F(ClaimService, WinsWithOneKeeperKilled)
{
	keepers_.Kill(1);
	EXPECT_EQ(QL_CLAIM_WON, Run("a", "b"));
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Run("a", "b"));
}

TEST_F(ClaimService, WinsWithOneKeeperSuspended)
{
	keepers_.Suspend(2);
	EXPECT_EQ(QL_CLAIM_WON, Run("a", "b"));
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Run("a", "b"));
}

TEST_F(ClaimService, RefusesWithoutQuorum)
{
	ql_claim_verdict_t verdict = {};

	keepers_.Kill(0);
	keepers_.Kill(1);
	EXPECT_EQ(nullptr, keepers_.Begin(QL_CLAIM_SEAL, "a", "b", &verdict));
	EXPECT_EQ(QL_OUTCOME_REFUSED, verdict.outcome);
	EXPECT_EQ(QL_REASON_NO_QUORUM, verdict.reason);
}

TEST_F(ClaimService, ConcurrentCopiesRunOnce)
{
	constexpr int kThreads = 8, kKeys = 40;
	std::atomic<int> wins[kKeys] = {};
	std::vector<std::thread> threads;
	int total = 0;

	for (int t = 0; t < kThreads; t++)
		threads.emplace_back([&]() {
			for (int i = 0; i < kKeys; i++)
				if (Run("key" + std::to_string(i), "b") ==
				    QL_CLAIM_WON)
					wins[i]++;
		});
	for (auto &thread : threads)
		thread.join();
	for (int i = 0; i < kKeys; i++) {
		EXPECT_LE(wins[i].load(), 1) << "key " << i;
		total += wins[i].load();
	}
	EXPECT_GT(total, 0);
}

TEST(ClaimCodec, RejectsMalformedRequests)
{
	char key[] = "k", empty[] = "";
	const struct {
		u_int op, kind, note;
		char *key;
		int expected;
	} cases[] = {
		{0, 0, 0, key, 0},
		{1, 1, 0, key, 0},
		{1, 0, 0, key, QL_E_PROTOCOL},
		{3, 1, 0, key, QL_E_PROTOCOL},
		{1, 3, 0, key, QL_E_PROTOCOL},
		{2, 1, 4, key, QL_E_PROTOCOL},
		{0, 0, 0, empty, QL_E_PROTOCOL},
	};

	for (const auto &test : cases) {
		ql_rpc_claim_request wire = {};
		ql_claim_request_t request;

		SCOPED_TRACE(&test - cases);
		wire.op = test.op;
		wire.value.kind = test.kind;
		wire.note = test.note;
		wire.key = test.key;
		EXPECT_EQ(test.expected,
			  ql_claim_decode_request(&request, &wire));
	}
}

TEST(ClaimCodec, FingerprintSeparatesFields)
{
	const ql_claim_fingerprint_input_t ids[] = {
		{"POST", "/a", "c", "b", 1},   {"PUT", "/a", "c", "b", 1},
		{"POST", "/ac", "", "b", 1},   {"POST", "/a", "cb", "", 0},
		{"POST", "/a", "c", "b\0", 2}, {"POST", "/a", "", "cb", 2},
	};
	std::vector<std::pair<uint64_t, uint64_t>> seen;

	for (const auto &id : ids) {
		uint64_t fingerprint[2];

		ql_claim_fingerprint(fingerprint, &id);
		for (const auto &other : seen)
			EXPECT_NE(other, std::make_pair(fingerprint[0],
							fingerprint[1]));
		seen.emplace_back(fingerprint[0], fingerprint[1]);
	}
}

TEST(ClaimCodec, RejectsCorruptAndOversizedAnswers)
{
	ql_http_response_t response;
	GBytes *bytes = g_bytes_new("\0\0\0\1\xff\xff\xff\xff", 8);

	ql_http_response_init(&response);
	EXPECT_EQ(QL_E_CORRUPT, ql_claim_unpack_answer(&response, bytes));
	g_byte_array_set_size(response.body, QL_CLAIM_ANSWER_MAX_BYTES);
	EXPECT_EQ(nullptr, ql_claim_pack_answer(&response));
	ql_http_response_finish(&response);
	g_bytes_unref(bytes);
}

} // namespace
