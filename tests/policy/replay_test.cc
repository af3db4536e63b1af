#include "quetzalloft/error.h"
#include "quetzalloft/replay.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>

namespace
{

std::string trace_header(const std::string &bottleneck = "stock")
{
	return "{\"type\": \"trace\", \"version\": 1, \"name\": \"test\", "
	       "\"site\": \"" QL_SOURCE_DIR "/examples/kask-pojad.json\", "
	       "\"failure_domains\": 2, \"seed\": 1, \"duration_s\": 6, "
	       "\"trigger_from_s\": 1, \"trigger_until_s\": 3, "
	       "\"bottleneck\": \"" +
	       bottleneck +
	       "\", \"tries\": 3, \"backoff_ms\": 50, "
	       "\"patience_ms\": 1000, \"membership_lag_ms\": 200}\n";
}

/* The stock service can serve 100 calls/s; catalogue and orders far more. */
std::string trace_text(double lookups_per_s)
{
	return trace_header() +
	       "{\"type\": \"endpoints\", \"service\": \"catalogue\", "
	       "\"count\": 2, \"slots\": 20, \"connections\": 100, "
	       "\"service_ms\": 10}\n"
	       "{\"type\": \"endpoints\", \"service\": \"orders\", "
	       "\"count\": 2, \"slots\": 20, \"connections\": 100, "
	       "\"service_ms\": 10}\n"
	       "{\"type\": \"endpoints\", \"service\": \"stock\", "
	       "\"count\": 2, \"slots\": 2, \"connections\": 20, "
	       "\"service_ms\": 40, \"spread\": 0.5}\n"
	       "{\"type\": \"arrivals\", \"route\": \"place-order\", "
	       "\"rate_per_s\": 10}\n"
	       "{\"type\": \"arrivals\", \"route\": \"look-up-part\", "
	       "\"rate_per_s\": " +
	       std::to_string(lookups_per_s) + "}\n";
}

class Replay : public testing::Test
{
      protected:
	int load(const std::string &text)
	{
		std::string path = testing::TempDir() + "trace-XXXXXX";
		GError *error = NULL;
		int ret, fd = mkstemp(&path[0]);

		EXPECT_EQ((ssize_t)text.size(),
			  write(fd, text.data(), text.size()));
		close(fd);
		ret = ql_replay_trace_load(&trace, path.c_str(), &error);
		detail = error ? error->message : "";
		g_clear_error(&error);
		unlink(path.c_str());
		return ret;
	}

	void run(const std::string &text, const char *policy)
	{
		ASSERT_EQ(0, load(text)) << detail;
		ql_replay_run(&result, &trace, ql_replay_policy_find(policy));
	}

	void finish()
	{
		ql_replay_result_finish(&result);
		ql_replay_trace_finish(&trace);
	}

	double value(ql_replay_measure_t measure)
	{
		return result.values[measure];
	}

	ql_replay_trace_t trace;
	ql_replay_result_t result;
	std::string detail;
};

TEST_F(Replay, AllRequestsSucceedBelowCapacity)
{
	struct {
		const char *policy;
		double attempts_max;
	} cases[] = {{"none", 4}, {"fixed", 4}, {"quetzalloft", 12}};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.policy);
		run(trace_text(20), c.policy);
		EXPECT_EQ(1.0, value(QL_REPLAY_WHOLE_SHARE));
		EXPECT_EQ(0.0, value(QL_REPLAY_RECOVERY_S));
		EXPECT_EQ(0.0, value(QL_REPLAY_DUPLICATES));
		EXPECT_GE(value(QL_REPLAY_ATTEMPTS_MAX), 4);
		EXPECT_LE(value(QL_REPLAY_ATTEMPTS_MAX), c.attempts_max);
		finish();
	}
}

/* A trace shorter than the window of recovery, or a trigger at its start. */
TEST_F(Replay, MeasuresShortTraces)
{
	const char *duration = "\"duration_s\": 6";
	const char *trigger = "\"trigger_from_s\": 1, \"trigger_until_s\": 3";
	struct {
		const char *duration_s;
		const char *until_s;
	} cases[] = {{"0.1", "0"},    {"0.1", "0.1"},	{"0.3", "0"},
		     {"0.3", "0.2"},  {"0.45", "0.45"}, {"0.5", "0"},
		     {"0.5", "0.5"},  {"0.6", "0"},	{"0.6", "0.1"},
		     {"0.7", "0.65"}, {"6", "0"},	{"6", "6"}};

	for (const auto &c : cases) {
		SCOPED_TRACE(std::string(c.duration_s) + " " + c.until_s);
		std::string text = trace_text(20);

		text.replace(text.find(duration), strlen(duration),
			     std::string("\"duration_s\": ") + c.duration_s);
		text.replace(text.find(trigger), strlen(trigger),
			     std::string("\"trigger_from_s\": 0, "
					 "\"trigger_until_s\": ") +
				     c.until_s);
		run(text, "quetzalloft");
		EXPECT_GE(value(QL_REPLAY_RECOVERY_S), 0.0);
		EXPECT_LE(value(QL_REPLAY_RECOVERY_S), 6.1);
		finish();
	}
}

TEST_F(Replay, EqualSeedsGiveEqualResults)
{
	double first[QL_REPLAY_N_MEASURES];
	uint64_t attempts;

	run(trace_text(300), "quetzalloft");
	memcpy(first, result.values, sizeof(first));
	attempts = result.attempts;
	finish();
	run(trace_text(300), "quetzalloft");
	EXPECT_EQ(0, memcmp(first, result.values, sizeof(first)));
	EXPECT_EQ(attempts, result.attempts);
	finish();
}

/*
 * Guards against checks of outcomes that never fail: without overload control,
 * each of these outcomes is missed.
 */
TEST_F(Replay, DetectsMissedOutcomesWithoutOverloadControl)
{
	struct {
		const char *policy;
		ql_replay_outcome_t outcome;
	} cases[] = {
		{"none", {"attempts_over_bound", 0, 0}},
		{"none", {"duplicates", 0, 0}},
		{"none", {"goodput_share", 0.9, 2}},
		{"none", {"recovery_s", 0, 1}},
		{"fixed", {"order_violations", 0, 0}},
		{"fixed", {"false_not_run", 0, 0}},
	};
	std::string text = trace_text(60) +
			   "{\"type\": \"slowdown\", \"service\": \"stock\", "
			   "\"factor\": 5, \"from_s\": 1, \"until_s\": 3}\n"
			   "{\"type\": \"surge\", \"factor\": 5, "
			   "\"from_s\": 1, \"until_s\": 3}\n";
	GError *error = NULL;

	for (const auto &c : cases) {
		SCOPED_TRACE(std::string(c.policy) + " " + c.outcome.name);
		run(text, c.policy);
		EXPECT_EQ(QL_E_RANGE,
			  ql_replay_check_outcome(&c.outcome, &result, &error));
		ASSERT_NE(nullptr, error);
		EXPECT_NE(nullptr, strstr(error->message, c.outcome.name));
		g_clear_error(&error);
		finish();
	}
}

TEST_F(Replay, KilledAndDrainedEndpointsCauseNoFalseOutcomes)
{
	std::string killed = trace_text(20) +
			     "{\"type\": \"kill\", \"service\": \"stock\", "
			     "\"index\": 0, \"from_s\": 1, \"until_s\": 3}\n";
	std::string drained = trace_text(20) +
			      "{\"type\": \"drain\", \"service\": \"stock\", "
			      "\"index\": 0, \"from_s\": 1, \"until_s\": 3}\n";

	run(killed, "quetzalloft");
	EXPECT_EQ(0.0, value(QL_REPLAY_FALSE_NOT_RUN));
	EXPECT_EQ(0.0, value(QL_REPLAY_DUPLICATES));
	EXPECT_GE(value(QL_REPLAY_WHOLE_SHARE), 0.95);
	finish();
	run(drained, "quetzalloft");
	EXPECT_EQ(1.0, value(QL_REPLAY_WHOLE_SHARE));
	finish();
}

TEST_F(Replay, RejectsInvalidTraces)
{
	struct {
		std::string text;
		int code;
		const char *detail;
	} cases[] = {
		{"", QL_E_INVALID, "empty"},
		{"nonsense\n", QL_E_INVALID, "line 1"},
		{trace_header() + "{\"type\": \"magic\"}\n", QL_E_INVALID,
		 "line 2"},
		{trace_header() + trace_header(), QL_E_INVALID, "line 2"},
		{trace_header("nowhere"), QL_E_NOT_FOUND, "nowhere"},
		{trace_header() + "{\"type\": \"surge\", \"from_s\": 1}\n",
		 QL_E_MISSING_KEY, "until_s"},
		{trace_header() + "{\"type\": \"kill\", \"service\": \"till\", "
				  "\"from_s\": 1, \"until_s\": 2}\n",
		 QL_E_NOT_FOUND, "till"},
		{trace_header() + "{\"type\": \"arrivals\", \"route\": \"x\", "
				  "\"rate_per_s\": 1}\n",
		 QL_E_NOT_FOUND, "\"x\""},
		{trace_header() + "{\"type\": \"arrivals\", \"route\": \"x\", "
				  "\"rate_per_s\": -1}\n",
		 QL_E_RANGE, "rate_per_s"},
		{trace_header() +
			 "{\"type\": \"outcome\", \"name\": \"luck\"}\n",
		 QL_E_NOT_FOUND, "luck"},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.text);
		EXPECT_EQ(c.code, load(c.text)) << detail;
		EXPECT_NE(std::string::npos, detail.find(c.detail)) << detail;
		ql_replay_trace_finish(&trace);
	}
}

} // namespace
