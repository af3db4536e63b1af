#include "cli/submit.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace
{

/* One answer of a replica. */
struct ReplicaAnswer {
	int status;
	const char *leader;
};

/* Scripted answers, of which the last one repeats, and a manual clock. */
struct Script {
	std::vector<ReplicaAnswer> answers;
	size_t next = 0;
	uint64_t now_us = 0;
	std::string addresses;
};

void send(void *data, const char *address, uint64_t, ql_submit_result_t *result,
	  char *leader)
{
	auto *script = static_cast<Script *>(data);
	const ReplicaAnswer &answer =
		script->answers[std::min(script->next++,
					 script->answers.size() - 1)];

	script->addresses += std::string(address) + " ";
	result->status = answer.status;
	result->version = 7;
	result->detail = g_strdup("detail");
	g_strlcpy(leader, answer.leader, QL_ADDRESS_MAX);
}

uint64_t now(void *data)
{
	return static_cast<Script *>(data)->now_us;
}

void pause_for(void *data, uint64_t pause_us)
{
	static_cast<Script *>(data)->now_us += pause_us;
}

struct SubmitCase {
	std::vector<ReplicaAnswer> answers;
	int status;
	unsigned int sent;
	const char *addresses;
};

class Submit : public testing::TestWithParam<SubmitCase>
{
};

TEST_P(Submit, ResendsUntilTheStatusIsFinal)
{
	Script script;
	ql_submit_transport_t transport = {send, now, pause_for, &script};
	ql_options_t options = {"town", {"a", "b"}, 2, 350, false};
	ql_submit_result_t result;

	script.answers = GetParam().answers;
	ql_submit(&result, &transport, &options);
	EXPECT_EQ(GetParam().status, result.status);
	EXPECT_EQ(GetParam().sent, result.n_sent);
	EXPECT_EQ(GetParam().addresses, script.addresses);
	EXPECT_EQ(7u, result.version);
	EXPECT_STREQ("detail", result.detail);
	g_free(result.detail);
}

INSTANTIATE_TEST_SUITE_P(
	Answers, Submit,
	testing::Values(
		SubmitCase{{{0, ""}}, 0, 1, "a "},
		SubmitCase{{{QL_E_STALE, ""}}, QL_E_STALE, 1, "a "},
		SubmitCase{{{QL_E_CONFLICT, ""}}, QL_E_CONFLICT, 1, "a "},
		SubmitCase{{{QL_E_DENIED, ""}}, QL_E_DENIED, 1, "a "},
		SubmitCase{{{QL_E_NOT_LEADER, "c"}, {0, ""}}, 0, 2, "a c "},
		SubmitCase{{{QL_E_NOT_LEADER, ""}, {0, ""}}, 0, 2, "a b "},
		SubmitCase{{{QL_E_PENDING, ""}, {QL_E_STALE, ""}},
			   QL_E_STALE,
			   2,
			   "a b "},
		SubmitCase{{{QL_E_NOT_LEADER, "c"},
			    {QL_E_UNAVAILABLE, ""},
			    {0, ""}},
			   0,
			   3,
			   "a c b "},
		SubmitCase{{{QL_E_TIMEOUT, ""}}, QL_E_TIMEOUT, 4, "a b a b "}));

} // namespace
