#include "quetzalloft/chart.h"
#include "quetzalloft/error.h"
#include "quetzalloft/timeline.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace
{

class Timeline : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_hlc_init(&hlc);
		ql_timeline_init(&timeline, "node1", &hlc, CAPACITY);
	}

	void TearDown() override
	{
		ql_timeline_finish(&timeline);
	}

	uint64_t record(uint64_t request, const char *service,
			const char *endpoint, uint64_t version)
	{
		ql_timeline_event_t event = {};

		event.event = QL_EVENT_GATE_REFUSED;
		event.id = {request, request + 1};
		event.service = service;
		event.endpoint = endpoint;
		event.version = version;
		event.has_outcome = true;
		event.outcome = QL_OUTCOME_NOT_RUN;
		event.reason = QL_REASON_OVERLOAD;
		return ql_timeline_record(&timeline, &event);
	}

	size_t count(const char *filter)
	{
		json_t *report = ql_timeline_report(&timeline, filter);
		size_t n = json_array_size(json_object_get(report, "events"));

		json_decref(report);
		return n;
	}

	static constexpr size_t CAPACITY = 128;
	ql_hlc_t hlc;
	ql_timeline_t timeline;
};

TEST_F(Timeline, FiltersTheReport)
{
	uint64_t second;
	char since[64];
	struct {
		const char *filter;
		size_t expected;
	} cases[] = {
		{"", 4},
		{R"({"request":"10"})", 2},
		{R"({"service":"stock"})", 3},
		{R"({"endpoint":"127.0.0.1:2"})", 1},
		{R"({"version":7})", 1},
		{R"({"version":0})", 1},
		{R"({"request":"10","service":"orders"})", 1},
		{since, 2},
	};

	record(0x10, "stock", "127.0.0.1:1", 6);
	second = record(0x10, "orders", "127.0.0.1:3", 6);
	record(0x20, "stock", "127.0.0.1:2", 7);
	record(0x30, "stock", nullptr, 0);
	snprintf(since, sizeof(since), R"({"since":"%016lx"})", second);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.filter);
		EXPECT_EQ(c.expected, count(c.filter));
	}
}

TEST_F(Timeline, RefusesAMalformedFilter)
{
	struct {
		const char *filter;
		const char *error;
	} cases[] = {
		{"{", "invalid"},
		{"[]", "type"},
		{R"({"request":"xyz"})", "invalid"},
		{R"({"request":"11112222333344445"})", "range"},
		{R"({"nod":"x"})", "unknown_key"},
		{R"({"version":-1})", "range"},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.filter);
		json_t *report = ql_timeline_report(&timeline, c.filter);

		EXPECT_STREQ(c.error,
			     json_string_value(
				     json_object_get(report, "error")));
		json_decref(report);
	}
}

TEST_F(Timeline, WritesAFilterThatItReads)
{
	ql_timeline_filter_t filter = {0xab, true, 0, 0xcd, "stock", "a:1"};
	ql_timeline_filter_t read;
	char *text = ql_timeline_filter_format(&filter);

	ASSERT_EQ(0, ql_timeline_filter_parse(&read, text, nullptr)) << text;
	EXPECT_EQ(0xabu, read.request);
	EXPECT_TRUE(read.has_version);
	EXPECT_EQ(0xcdu, read.since);
	EXPECT_STREQ("stock", read.service);
	EXPECT_STREQ("a:1", read.endpoint);
	free(text);
}

TEST_F(Timeline, KeepsTheNewestAndSaysWhatWasLost)
{
	size_t i;

	for (i = 0; i < CAPACITY + 10; i++)
		record(i + 1, "stock", nullptr, 1);
	json_t *report = ql_timeline_report(&timeline, nullptr);
	json_t *events = json_object_get(report, "events");

	EXPECT_EQ(size_t{CAPACITY}, json_array_size(events));
	EXPECT_EQ(10,
		  json_integer_value(json_object_get(report, "overwritten")));
	EXPECT_STREQ("000000000000000b",
		     json_string_value(
			     json_object_get(json_array_get(events, 0),
					     "request")));
	json_decref(report);
}

TEST_F(Timeline, TakesEventsFromManyThreadsWithUniqueStamps)
{
	constexpr size_t each = CAPACITY / 8;
	std::vector<std::thread> threads;
	std::set<std::string> stamps;

	for (size_t t = 0; t < 8; t++)
		threads.emplace_back([this, t] {
			for (size_t i = 0; i < each; i++)
				record(t * each + i + 1, "stock", "e", 1);
		});
	for (auto &thread : threads)
		thread.join();
	json_t *report = ql_timeline_report(&timeline, "");
	json_t *events = json_object_get(report, "events");
	size_t i;
	json_t *event;
	std::string last;

	json_array_foreach (events, i, event) {
		std::string stamp =
			json_string_value(json_object_get(event, "clock"));
		EXPECT_LT(last, stamp);
		last = stamp;
		stamps.insert(stamp);
	}
	EXPECT_EQ(size_t{CAPACITY}, stamps.size());
	json_decref(report);
}

TEST_F(Timeline, CutsALongReportAndSaysSo)
{
	ql_timeline_t large;
	ql_timeline_event_t event = {};

	ql_timeline_init(&large, "node1", &hlc,
			 QL_TIMELINE_REPORT_EVENTS_MAX + 64);
	for (size_t i = 0; i < QL_TIMELINE_REPORT_EVENTS_MAX + 5; i++)
		ql_timeline_record(&large, &event);
	json_t *report = ql_timeline_report(&large, "");
	json_t *events = json_object_get(report, "events");

	EXPECT_TRUE(json_is_true(json_object_get(report, "more")));
	ASSERT_EQ(QL_TIMELINE_REPORT_EVENTS_MAX, json_array_size(events));
	std::string filter =
		std::string(R"({"since":")") +
		json_string_value(json_object_get(
			json_array_get(events,
				       QL_TIMELINE_REPORT_EVENTS_MAX - 1),
			"clock")) +
		"\"}";
	json_decref(report);
	report = ql_timeline_report(&large, filter.c_str());
	EXPECT_EQ(5u, json_array_size(json_object_get(report, "events")));
	EXPECT_FALSE(json_is_true(json_object_get(report, "more")));
	json_decref(report);
	ql_timeline_finish(&large);
}

TEST(TimelineNames, HoldEveryEventOfTheCharts)
{
	const char *const charts[] = {"endpoint", "attempt", "replica", "patch",
				      "shutdown"};
	auto chart = std::make_unique<ql_chart_t>();
	ql_event_t event;

	for (const char *name : charts) {
		std::string path =
			QL_SOURCE_DIR "/charts/" + std::string(name) + ".json";

		ASSERT_EQ(0, ql_chart_load_file(chart.get(), path.c_str(),
						nullptr, nullptr));
		for (size_t i = 0; i < chart->n_events; i++)
			EXPECT_EQ(0, ql_event_parse(&event, chart->events[i]))
				<< chart->events[i];
	}
	for (int i = 0; i < QL_N_EVENTS; i++) {
		ASSERT_EQ(0,
			  ql_event_parse(&event, ql_event_name((ql_event_t)i)));
		EXPECT_EQ(i, event);
	}
	EXPECT_EQ(QL_E_NOT_FOUND, ql_event_parse(&event, "nothing"));
}

/* A message between two nodes whose wall clocks differ. */
TEST(TimelineClock, PutsCauseBeforeEffectHoweverFarClocksAreApart)
{
	const int64_t minutes[] = {0,	1,  2,	5,    30,	59,
				   600, -1, -5, -600, -29000000};
	const uint64_t now_ms = 1800000000000ULL;

	for (int64_t apart : minutes) {
		SCOPED_TRACE(apart);
		ql_hlc_t caller, callee;
		uint64_t other_ms = now_ms + (uint64_t)(apart * 60000);
		uint64_t sent, admitted, done, answered;

		ql_hlc_init(&caller);
		ql_hlc_init(&callee);
		sent = ql_hlc_tick(&caller, now_ms);
		ql_hlc_observe(&callee, sent, other_ms);
		admitted = ql_hlc_tick(&callee, other_ms);
		done = ql_hlc_tick(&callee, other_ms);
		ql_hlc_observe(&caller, done, now_ms);
		answered = ql_hlc_tick(&caller, now_ms);
		EXPECT_LT(sent, admitted);
		EXPECT_LT(admitted, done);
		EXPECT_LT(done, answered);
	}
}

TEST(TimelineClock, IgnoresAStampThatNoClockGives)
{
	const uint64_t now_ms = 1800000000000ULL;
	ql_hlc_t hlc;

	ql_hlc_init(&hlc);
	ql_hlc_observe(&hlc, UINT64_MAX, now_ms);
	EXPECT_EQ(now_ms << 16, ql_hlc_tick(&hlc, now_ms));
}

} // namespace
