#include "quetzalloft/claim.h"
#include "quetzalloft/clock.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

constexpr uint64_t kRetentionUs = 600 * QL_US_PER_S;
constexpr uint64_t kNowUs = 2 * kRetentionUs;
constexpr uint32_t kLeaseMs = 1000;

/* Three keepers, each of which replies at once or is not reached. */
class ClaimTest : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_keeper_opts_t opts = {&ql_claim_rules, kRetentionUs, 4, 100};

		for (auto &keeper : keepers_)
			ql_keeper_init(&keeper, &opts, 0);
	}

	void TearDown() override
	{
		for (auto &claim : claims_)
			ql_claim_finish(claim.get());
		for (auto &keeper : keepers_)
			ql_keeper_finish(&keeper);
	}

	/* Adds a copy without sending its first message. */
	ql_claim_t *AddCopy(ql_claim_kind_t kind, uint64_t body = 1,
			    const char *key = "key")
	{
		ql_claim_opts_t opts = {};

		opts.rules = &ql_claim_rules;
		g_strlcpy(opts.key, key, sizeof(opts.key));
		opts.value = {kind,
			      {1, ++last_attempt_id_},
			      {body, 0},
			      kLeaseMs};
		opts.n_keepers = 3;
		opts.sets[0] = 7;
		opts.n_sets = 1;
		claims_.push_back(std::make_unique<ql_claim_t>());
		ql_claim_init(claims_.back().get(), &opts, now_us_);
		return claims_.back().get();
	}

	/* Exchanges messages until the claim has ended. */
	ql_claim_result_t RunToEnd(ql_claim_t *claim)
	{
		ql_claim_action_t action = QL_CLAIM_SEND;

		while (action == QL_CLAIM_SEND)
			action = RunStep(claim);
		return claim->result;
	}

	ql_claim_action_t RunStep(ql_claim_t *claim)
	{
		ql_claim_request_t request = claim->request;
		ql_claim_action_t action = QL_CLAIM_WAIT;
		uint32_t step = claim->step;
		ql_claim_reply_t reply;

		n_steps_++;
		for (uint32_t i = 0; i < 3 && action == QL_CLAIM_WAIT; i++) {
			if (reachable_[i])
				ql_keeper_handle(&keepers_[i], &request, &reply,
						 now_us_);
			action = ql_claim_handle_reply(claim, step, i,
						       reachable_[i] ? &reply
								     : nullptr,
						       now_us_);
		}
		return action;
	}

	ql_claim_result_t Claim(ql_claim_kind_t kind, uint64_t body = 1,
				const char *key = "key")
	{
		return RunToEnd(AddCopy(kind, body, key));
	}

	void SendNote(ql_claim_t *claim, ql_claim_note_t note,
		      const std::string &answer = "")
	{
		GBytes *bytes = g_bytes_new(answer.data(), answer.size());
		ql_claim_request_t request;
		ql_claim_reply_t reply;

		ql_claim_build_note(claim, &request, note, bytes);
		for (auto &keeper : keepers_)
			ql_keeper_handle(&keeper, &request, &reply, now_us_);
		g_bytes_unref(bytes);
	}

	ql_keeper_t keepers_[3];
	bool reachable_[3] = {true, true, true};
	std::vector<std::unique_ptr<ql_claim_t>> claims_;
	uint64_t now_us_ = kNowUs;
	uint64_t last_attempt_id_ = 0;
	int n_steps_ = 0;
};

TEST_F(ClaimTest, FirstCopyWinsInOneStep)
{
	EXPECT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN));
	EXPECT_EQ(1, n_steps_);
}

TEST_F(ClaimTest, WinsWithoutOneKeeper)
{
	reachable_[1] = false;
	EXPECT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN));
	EXPECT_EQ(3, n_steps_);
}

TEST_F(ClaimTest, MinorityHasNoQuorum)
{
	reachable_[0] = reachable_[1] = false;
	EXPECT_EQ(QL_CLAIM_NO_QUORUM, Claim(QL_CLAIM_RUN));
	EXPECT_EQ(QL_CLAIM_NO_QUORUM, Claim(QL_CLAIM_SEAL));
	EXPECT_EQ(QL_OUTCOME_REFUSED,
		  ql_claim_rules.outcome(QL_CLAIM_NO_QUORUM));
	EXPECT_EQ(QL_REASON_NO_QUORUM, ql_claim_reason(QL_CLAIM_NO_QUORUM));
}

TEST_F(ClaimTest, RetryGetsStoredAnswer)
{
	ql_claim_t *first = AddCopy(QL_CLAIM_RUN);
	ql_claim_t *retry = AddCopy(QL_CLAIM_RUN);
	gsize size;

	ASSERT_EQ(QL_CLAIM_WON, RunToEnd(first));
	SendNote(first, QL_CLAIM_NOTE_ANSWERED, "sent");
	ASSERT_EQ(QL_CLAIM_ANSWERED, RunToEnd(retry));
	auto data = (const char *)g_bytes_get_data(retry->answer, &size);
	EXPECT_EQ("sent", std::string(data, size));
	EXPECT_EQ(QL_CLAIM_ANSWERED, Claim(QL_CLAIM_SEAL));
}

TEST_F(ClaimTest, RetryOfRunningCopyIsRefused)
{
	ASSERT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN));
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Claim(QL_CLAIM_RUN));
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Claim(QL_CLAIM_SEAL));
	now_us_ += 2 * kLeaseMs * QL_US_PER_MS;
	EXPECT_EQ(QL_CLAIM_UNKNOWN, Claim(QL_CLAIM_RUN));
	EXPECT_EQ(QL_CLAIM_UNKNOWN, Claim(QL_CLAIM_SEAL));
}

TEST_F(ClaimTest, RetryRunsAfterForfeitedClaim)
{
	ql_claim_t *first = AddCopy(QL_CLAIM_RUN);

	ASSERT_EQ(QL_CLAIM_WON, RunToEnd(first));
	SendNote(first, QL_CLAIM_NOTE_FORFEITED);
	EXPECT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN));
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Claim(QL_CLAIM_RUN));
}

/* A retry is refused while an earlier copy still waits in a queue. */
TEST_F(ClaimTest, SealStopsQueuedCopy)
{
	ql_claim_t *waiting = AddCopy(QL_CLAIM_RUN);

	EXPECT_EQ(QL_CLAIM_SEALED, Claim(QL_CLAIM_SEAL));
	EXPECT_EQ(QL_CLAIM_SEALED, RunToEnd(waiting));
	EXPECT_EQ(QL_OUTCOME_NOT_RUN, ql_claim_rules.outcome(QL_CLAIM_SEALED));
}

/*
 * If the seal finds no quorum, the outcome of the refused retry does not imply
 * that the queued copy will not run.
 */
TEST_F(ClaimTest, FailedSealDoesNotReportNotRun)
{
	ql_claim_t *waiting = AddCopy(QL_CLAIM_RUN);

	reachable_[0] = reachable_[2] = false;
	EXPECT_EQ(QL_OUTCOME_REFUSED,
		  ql_claim_rules.outcome(Claim(QL_CLAIM_SEAL)));
	reachable_[0] = reachable_[2] = true;
	EXPECT_EQ(QL_CLAIM_WON, RunToEnd(waiting));
}

TEST_F(ClaimTest, SameKeyWithAnotherBodyConflicts)
{
	ql_claim_t *first = AddCopy(QL_CLAIM_RUN, 1);

	ASSERT_EQ(QL_CLAIM_WON, RunToEnd(first));
	EXPECT_EQ(QL_CLAIM_CONFLICT, Claim(QL_CLAIM_RUN, 2));
	SendNote(first, QL_CLAIM_NOTE_ANSWERED, "sent");
	EXPECT_EQ(QL_CLAIM_CONFLICT, Claim(QL_CLAIM_RUN, 2));
	EXPECT_EQ(QL_CLAIM_CONFLICT, Claim(QL_CLAIM_SEAL, 2));
	EXPECT_EQ(QL_REASON_KEY_CONFLICT, ql_claim_reason(QL_CLAIM_CONFLICT));
}

TEST_F(ClaimTest, RestartedKeepersAbstain)
{
	ql_keeper_opts_t opts = keepers_[0].opts;

	ASSERT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN));
	for (int i = 0; i < 2; i++) {
		ql_keeper_finish(&keepers_[i]);
		ql_keeper_init(&keepers_[i], &opts, now_us_);
	}
	EXPECT_EQ(QL_CLAIM_NO_QUORUM, Claim(QL_CLAIM_RUN));
	now_us_ += kRetentionUs - 1;
	EXPECT_EQ(QL_CLAIM_NO_QUORUM, Claim(QL_CLAIM_RUN));
}

/* A longer retention also makes keepers abstain for longer after a start. */
TEST_F(ClaimTest, LongerRetentionExtendsAbstention)
{
	for (auto &keeper : keepers_)
		ql_keeper_set_retention(&keeper, now_us_ + 1);
	EXPECT_EQ(QL_CLAIM_NO_QUORUM, Claim(QL_CLAIM_RUN));
	now_us_++;
	EXPECT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN));
}

TEST_F(ClaimTest, NumberOfKeysIsLimited)
{
	const char *const names[] = {"a", "b", "c", "d"};

	for (const char *name : names)
		EXPECT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN, 1, name));
	EXPECT_EQ(QL_CLAIM_KEEPERS_FULL, Claim(QL_CLAIM_RUN, 1, "e"));
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Claim(QL_CLAIM_RUN, 1, "a"));
	now_us_ += kRetentionUs;
	EXPECT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN, 1, "e"));
	EXPECT_EQ(1u, g_hash_table_size(keepers_[0].records));
}

TEST_F(ClaimTest, BytesOfAnswersAreLimited)
{
	ql_claim_t *small = AddCopy(QL_CLAIM_RUN, 1, "small");
	ql_claim_t *large = AddCopy(QL_CLAIM_RUN, 1, "large");

	ASSERT_EQ(QL_CLAIM_WON, RunToEnd(small));
	SendNote(small, QL_CLAIM_NOTE_ANSWERED, std::string(60, 'x'));
	ASSERT_EQ(QL_CLAIM_WON, RunToEnd(large));
	SendNote(large, QL_CLAIM_NOTE_ANSWERED, std::string(60, 'x'));
	EXPECT_EQ(QL_CLAIM_ANSWERED, Claim(QL_CLAIM_RUN, 1, "small"));
	EXPECT_EQ(QL_CLAIM_UNKNOWN, Claim(QL_CLAIM_RUN, 1, "large"));
	EXPECT_EQ(60u, keepers_[0].answers_bytes);
	now_us_ += kRetentionUs;
	Claim(QL_CLAIM_RUN, 1, "other");
	EXPECT_EQ(0u, keepers_[0].answers_bytes);
}

/*
 * Guards against: a late note moves a key, which the keeper has expired since,
 * to a generation above that of a live claim. Found by seed 1132.
 */
TEST_F(ClaimTest, LateNoteKeepsGeneration)
{
	ql_claim_t *stale = AddCopy(QL_CLAIM_RUN);

	stale->request.generation = 3;
	ASSERT_EQ(QL_CLAIM_WON, Claim(QL_CLAIM_RUN));
	SendNote(stale, QL_CLAIM_NOTE_FORFEITED);
	EXPECT_EQ(QL_CLAIM_IN_PROGRESS, Claim(QL_CLAIM_RUN));
}

TEST_F(ClaimTest, LateWinnerTimesOut)
{
	ql_claim_t *claim = AddCopy(QL_CLAIM_RUN);

	now_us_ += QL_CLAIM_START_MAX_US;
	EXPECT_EQ(QL_CLAIM_TIMED_OUT, RunToEnd(claim));
}

/* While keepers change, a majority of one set alone decides nothing. */
TEST_F(ClaimTest, BothSetsMustAgree)
{
	ql_claim_t *claim = AddCopy(QL_CLAIM_RUN);
	ql_claim_reply_t granted = {};

	claim->opts.n_keepers = 6;
	claim->opts.sets[0] = 7;
	claim->opts.sets[1] = 56;
	claim->opts.n_sets = 2;
	for (uint32_t i = 0; i < 3; i++)
		EXPECT_EQ(QL_CLAIM_WAIT,
			  ql_claim_handle_reply(claim, 1, i, &granted,
						now_us_));
	EXPECT_EQ(QL_CLAIM_WAIT, ql_claim_stop_waiting(claim, now_us_));
	ql_claim_give_up(claim);
	EXPECT_EQ(QL_CLAIM_NO_QUORUM, claim->result);
}

} // namespace
