#include "cli/history.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace
{

/* A node whose wall clock is offset by a number of minutes. */
struct Node {
	Node(const char *name, int64_t offset_minutes)
	    : wall_ms(1800000000000ULL + (uint64_t)(offset_minutes * 60000))
	{
		ql_hlc_init(&hlc);
		ql_timeline_init(&timeline, name, &hlc, 64);
	}

	~Node()
	{
		ql_timeline_finish(&timeline);
	}

	/* Advances the wall clock by 1 ms and issues a stamp. */
	uint64_t tick()
	{
		return ql_hlc_tick(&hlc, wall_ms++);
	}

	void observe(uint64_t clock)
	{
		ql_hlc_observe(&hlc, clock, wall_ms++);
	}

	ql_hlc_t hlc;
	ql_timeline_t timeline;
	uint64_t wall_ms;
};

class History : public testing::Test
{
      protected:
	void SetUp() override
	{
		ql_history_init(&history);
	}

	void TearDown() override
	{
		ql_history_finish(&history);
	}

	void add(Node &node, const char *event, uint64_t attempt,
		 uint64_t parent, const char *extra)
	{
		char text[512];

		snprintf(text, sizeof(text),
			 R"({"clock":"%016lx","wall_us":%lu,"node":"%s",)"
			 R"("event":"%s","request":"5"%s%s%s%s})",
			 node.tick(), node.wall_ms * 1000, node.timeline.node,
			 event, hex(",\"attempt\":", attempt).c_str(),
			 hex(",\"parent\":", parent).c_str(), *extra ? "," : "",
			 extra);
		json_t *json = json_loads(text, 0, nullptr);

		ASSERT_NE(nullptr, json) << text;
		ASSERT_EQ(0, ql_history_add_event(&history, json, "test",
						  nullptr));
		json_decref(json);
	}

	static std::string hex(const char *key, uint64_t value)
	{
		char text[64];

		snprintf(text, sizeof(text), "%s\"%lx\"", key, value);
		return value ? text : "";
	}

	/* Node a calls orders on b, which calls stock on c; b and c have
	 * offsets. */
	void add_two_calls(int64_t minutes_b, int64_t minutes_c)
	{
		Node a("a", 0), b("b", minutes_b), c("c", minutes_c);

		add(a, "request_received", 0, 0, R"("class":"order")");
		add(a, "attempt_sent", 0x10, 0,
		    R"("service":"orders","endpoint":"b:1")");
		b.observe(a.tick());
		add(b, "gate_admitted", 0x10, 0, "");
		add(b, "attempt_sent", 0x20, 0x10,
		    R"("service":"stock","endpoint":"c:1")");
		c.observe(b.tick());
		add(c, "gate_refused", 0x20, 0, R"("reason":"overload")");
		b.observe(c.tick());
		add(b, "attempt_refused", 0x20, 0x10,
		    R"("outcome":"not-run","reason":"overload")");
		add(b, "gate_done", 0x10, 0, "");
		a.observe(b.tick());
		add(a, "attempt_answered", 0x10, 0, R"("outcome":"answered")");
		add(a, "request_done", 0, 0, R"("outcome":"answered")");
	}

	/* Reverses the events, as reports of processes arrive in any order. */
	void reverse_order()
	{
		auto *events = reinterpret_cast<ql_history_event_t *>(
			history.events->data);

		std::reverse(events, events + history.events->len);
	}

	ql_history_t history;
};

const char *const TWO_CALLS[] = {
	"request_received", "attempt_sent",	"gate_admitted",
	"attempt_sent",	    "gate_refused",	"attempt_refused",
	"gate_done",	    "attempt_answered", "request_done",
};

TEST_F(History, OrdersCauseBeforeEffectUnderAnyClockOffset)
{
	const int64_t offsets[][2] = {
		{0, 0}, {3, -3}, {-10, 45}, {240, -90}, {-60, -120}};

	for (const auto &minutes : offsets) {
		SCOPED_TRACE(minutes[0]);
		g_array_set_size(history.events, 0);
		add_two_calls(minutes[0], minutes[1]);
		reverse_order();
		ql_history_sort(&history);
		ASSERT_EQ(G_N_ELEMENTS(TWO_CALLS), history.events->len);
		for (guint i = 0; i < history.events->len; i++)
			EXPECT_STREQ(TWO_CALLS[i],
				     ql_history_at(&history, i)->name);
		EXPECT_EQ(0u, ql_history_count_misordered(&history));
	}
}

TEST_F(History, CountsAttemptsMisorderedByALostClock)
{
	Node a("a", 0), b("b", -30);

	add(a, "attempt_sent", 0x10, 0, "");
	add(b, "gate_admitted", 0x10, 0, "");
	ql_history_sort(&history);
	EXPECT_EQ(1u, ql_history_count_misordered(&history));
}

TEST_F(History, ShowsOneRequestAsATree)
{
	add_two_calls(5, -5);
	reverse_order();
	ql_history_sort(&history);
	char *text = ql_history_format_tree(&history, 5);
	std::string tree = text;
	const char *const in_order[] = {
		"request 0000000000000005 class=order\n",
		"  a  request_received\n",
		"  attempt 0000000000000010 service=orders endpoint=b:1\n",
		"a  attempt_sent\n",
		"b  gate_admitted\n",
		"    attempt 0000000000000020 service=stock endpoint=c:1\n",
		"c  gate_refused reason=overload\n",
		"b  attempt_refused not-run reason=overload\n",
		"b  gate_done\n",
		"a  attempt_answered answered\n",
		"a  request_done answered\n",
	};
	size_t at = 0;

	g_free(text);
	for (const char *line : in_order) {
		at = tree.find(line, at);
		ASSERT_NE(std::string::npos, at) << line << " in\n" << tree;
	}
}

TEST_F(History, ShowsAttemptsOfUnknownCallersAndCyclesOnce)
{
	Node a("a", 0);

	add(a, "gate_admitted", 0x30, 0x99, "");
	add(a, "gate_admitted", 0x41, 0x42, "");
	add(a, "gate_admitted", 0x42, 0x41, "");
	ql_history_sort(&history);
	char *tree = ql_history_format_tree(&history, 5);

	EXPECT_NE(nullptr, strstr(tree, "events of the caller are missing"));
	EXPECT_NE(nullptr, strstr(tree, "attempt 0000000000000030"));
	EXPECT_NE(nullptr, strstr(tree, "attempt 0000000000000041"));
	g_free(tree);
	tree = ql_history_format_tree(&history, 6);
	EXPECT_NE(nullptr, strstr(tree, "no events found"));
	g_free(tree);
}

TEST_F(History, SavesAndLoadsWithoutDuplicates)
{
	char *folder = g_dir_make_tmp(nullptr, nullptr);
	std::string path = std::string(folder) + "/events";
	ql_timeline_filter_t filter = {};
	FILE *out = fopen(path.c_str(), "w");

	add_two_calls(1, 2);
	ql_history_save(&history, out);
	fclose(out);
	ASSERT_EQ(0, ql_history_load(&history, path.c_str(), &filter, nullptr));
	EXPECT_EQ(2 * G_N_ELEMENTS(TWO_CALLS), history.events->len);
	ql_history_sort(&history);
	EXPECT_EQ(G_N_ELEMENTS(TWO_CALLS), history.events->len);
	g_array_set_size(history.events, 0);
	g_strlcpy(filter.service, "stock", sizeof(filter.service));
	ASSERT_EQ(0, ql_history_load(&history, path.c_str(), &filter, nullptr));
	EXPECT_EQ(1u, history.events->len);
	unlink(path.c_str());
	rmdir(folder);
	g_free(folder);
}

TEST_F(History, ReportsFileAndLineOfAnInvalidEvent)
{
	struct {
		const char *text;
		int expected;
		const char *detail;
	} cases[] = {
		{"{}\n", QL_E_MISSING_KEY, ":1.clock"},
		{"\n\n{\n", QL_E_INVALID, ":3: "},
		{R"({"clock":"zz","wall_us":1,"node":"a","event":"b"})",
		 QL_E_INVALID, ":1.clock"},
		{R"({"clock":"1","wall_us":-1,"node":"a","event":"b"})",
		 QL_E_RANGE, ":1.wall_us"},
		{R"({"clock":"1","wall_us":1,"node":"a","event":"b","x":1})",
		 QL_E_UNKNOWN_KEY, ":1"},
	};
	char *folder = g_dir_make_tmp(nullptr, nullptr);
	std::string path = std::string(folder) + "/events";
	ql_timeline_filter_t filter = {};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.text);
		GError *error = nullptr;

		g_file_set_contents(path.c_str(), c.text, -1, nullptr);
		EXPECT_EQ(c.expected, ql_history_load(&history, path.c_str(),
						      &filter, &error));
		ASSERT_NE(nullptr, error);
		EXPECT_NE(nullptr, strstr(error->message, c.detail))
			<< error->message;
		g_error_free(error);
	}
	unlink(path.c_str());
	rmdir(folder);
	g_free(folder);
}

TEST_F(History, DrawsEveryEventAndEscapesNames)
{
	Node a("<a&b>", 0);

	add_two_calls(1, 2);
	add(a, "endpoint_gone", 0, 0, R"("service":"\"><script>")");
	ql_history_sort(&history);
	char *picture = ql_history_format_svg(&history);
	std::string svg = picture;
	size_t circles = 0;

	g_free(picture);
	for (size_t at = 0; (at = svg.find("<circle", at)) != std::string::npos;
	     at++)
		circles++;
	EXPECT_EQ(G_N_ELEMENTS(TWO_CALLS) + 1, circles);
	EXPECT_EQ(std::string::npos, svg.find("<script"));
	EXPECT_NE(std::string::npos, svg.find("&lt;a&amp;b&gt;"));
}

} // namespace
