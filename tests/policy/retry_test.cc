#include "quetzalloft/clock.h"
#include "quetzalloft/retry.h"

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t kLongRemainingUs = 10 * QL_US_PER_S;

struct Case {
	const char *name;
	ql_outcome_t outcome;
	ql_reason_t reason;
	bool idempotent;
	uint64_t remaining_us;
	uint64_t retry_after_us;
	bool all_tried;
	bool retry;
	ql_reason_t expected_reason;
};

class Retry : public testing::TestWithParam<Case>
{
};

TEST_P(Retry, Decides)
{
	const Case &test = GetParam();
	GRand *random = g_rand_new_with_seed(1);
	ql_retry_budget_t budget;
	ql_retry_failure_t failure = {};
	ql_retry_decision_t decision;

	ql_retry_budget_init(&budget, 0.1, 1);
	failure.outcome = test.outcome;
	failure.reason = test.reason;
	failure.idempotent = test.idempotent;
	failure.attempts_made = 1;
	failure.remaining_us = test.remaining_us;
	failure.retry_after_us = test.retry_after_us;
	failure.all_tried = test.all_tried;
	decision = ql_retry_decide(&budget, &failure, random);
	EXPECT_EQ(test.retry, decision.retry);
	EXPECT_EQ(test.retry ? 0.0 : 1.0, budget.tokens);
	if (!test.retry)
		EXPECT_EQ(test.expected_reason, decision.reason);
	else if (test.all_tried)
		EXPECT_GE(decision.backoff_us, test.retry_after_us);
	else
		EXPECT_LT(decision.backoff_us, QL_US_PER_S);
	g_rand_free(random);
}

const Case cases[] = {
	{"overload", QL_OUTCOME_NOT_RUN, QL_REASON_OVERLOAD, false,
	 kLongRemainingUs, 0, false, true, QL_REASON_NONE},
	{"draining", QL_OUTCOME_NOT_RUN, QL_REASON_DRAINING, false,
	 kLongRemainingUs, 0, false, true, QL_REASON_NONE},
	{"lost_idempotent", QL_OUTCOME_UNKNOWN, QL_REASON_CONNECTION_LOST, true,
	 kLongRemainingUs, 0, false, true, QL_REASON_NONE},
	{"lost_not_idempotent", QL_OUTCOME_UNKNOWN, QL_REASON_CONNECTION_LOST,
	 false, kLongRemainingUs, 0, false, false, QL_REASON_CONNECTION_LOST},
	{"refused_copy", QL_OUTCOME_REFUSED, QL_REASON_NO_QUORUM, true,
	 kLongRemainingUs, 0, false, false, QL_REASON_NO_QUORUM},
	{"endpoint_answered", QL_OUTCOME_ANSWERED, QL_REASON_NONE, true,
	 kLongRemainingUs, 0, false, false, QL_REASON_NONE},
	{"bad_request", QL_OUTCOME_NOT_RUN, QL_REASON_BAD_REQUEST, true,
	 kLongRemainingUs, 0, false, false, QL_REASON_BAD_REQUEST},
	{"callee_out_of_retry_budget", QL_OUTCOME_NOT_RUN,
	 QL_REASON_RETRY_BUDGET, true, kLongRemainingUs, 0, false, false,
	 QL_REASON_RETRY_BUDGET},
	{"callee_out_of_attempts", QL_OUTCOME_NOT_RUN, QL_REASON_ATTEMPTS, true,
	 kLongRemainingUs, 0, false, false, QL_REASON_ATTEMPTS},
	{"no_time_left", QL_OUTCOME_NOT_RUN, QL_REASON_OVERLOAD, true, 0, 0,
	 false, false, QL_REASON_DEADLINE},
	{"retry_after", QL_OUTCOME_NOT_RUN, QL_REASON_OVERLOAD, true,
	 kLongRemainingUs, 2 * QL_US_PER_S, true, true, QL_REASON_NONE},
	{"retry_after_beyond_deadline", QL_OUTCOME_NOT_RUN, QL_REASON_OVERLOAD,
	 true, QL_US_PER_S, 2 * QL_US_PER_S, true, false, QL_REASON_DEADLINE},
	{"retry_after_other_endpoint_left", QL_OUTCOME_NOT_RUN,
	 QL_REASON_OVERLOAD, true, QL_US_PER_S, 2 * QL_US_PER_S, false, true,
	 QL_REASON_NONE},
};

INSTANTIATE_TEST_SUITE_P(Failures, Retry, testing::ValuesIn(cases),
			 [](const auto &test) { return test.param.name; });

/*
 * Guards against: retries multiply the load on a callee that always fails. With
 * a ratio of 0.1, 1000 first attempts allow 100 retries, and the burst 5 more.
 */
TEST(RetryBudget, BoundsRetriesByFirstAttempts)
{
	ql_retry_budget_t budget;
	int retries = 0;

	ql_retry_budget_init(&budget, 0.1, 5);
	for (int i = 0; i < 1000; i++) {
		ql_retry_budget_earn(&budget);
		for (int j = 0; j < 3; j++)
			retries += ql_retry_budget_spend(&budget);
	}
	EXPECT_LE(retries, 105);
	EXPECT_GE(retries, 99);
}

/* Guards against: callers that fail at the same time retry at the same time. */
TEST(RetryBackoff, SpreadsAndGrows)
{
	GRand *random = g_rand_new_with_seed(7);
	uint64_t min_us = UINT64_MAX, max_us[2] = {0, 0};
	const uint32_t attempts[2] = {1, 4};

	for (int i = 0; i < 2; i++)
		for (int j = 0; j < 1000; j++) {
			ql_retry_budget_t budget;
			ql_retry_failure_t failure = {};
			ql_retry_decision_t decision;

			ql_retry_budget_init(&budget, 0, 1);
			failure.outcome = QL_OUTCOME_NOT_RUN;
			failure.reason = QL_REASON_OVERLOAD;
			failure.attempts_made = attempts[i];
			failure.remaining_us = kLongRemainingUs;
			decision = ql_retry_decide(&budget, &failure, random);
			min_us = MIN(min_us, decision.backoff_us);
			max_us[i] = MAX(max_us[i], decision.backoff_us);
		}
	EXPECT_LT(min_us, max_us[0] / 10);
	EXPECT_GT(max_us[1], 4 * max_us[0]);
	g_rand_free(random);
}

} // namespace
