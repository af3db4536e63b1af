#include "quetzalloft/chart.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace
{

const char *const STATES[] = {"closed", "open", "broken"};
const char *const EVENTS[] = {"push", "smash"};
const ql_chart_names_t NAMES = {"door", STATES, 3, EVENTS, 2};
enum {
	CLOSED,
	OPEN,
	BROKEN
};
enum {
	PUSH,
	SMASH
};

/* A chart whose parts a case replaces. */
std::string door(const std::string &events, const std::string &states,
		 const std::string &rest)
{
	return "{\"chart\":\"door\",\"events\":[" + events + "],\"states\":{" +
	       states + "}," + rest + "}";
}

const char *const ALL_EVENTS = R"("smash","push")";
const char *const ALL_STATES = R"("open":{"on":{"push":"closed",
	"smash":"broken"}},"closed":{"on":{"push":"open"},
	"ignore":["smash"]},"broken":{})";
const char *const REST = R"("start":"closed","finals":["broken"])";

int parse(ql_chart_t *chart, const std::string &text,
	  const ql_chart_names_t *names, std::string *detail)
{
	GError *error = nullptr;
	json_t *json;
	int ret = ql_json_parse(&json, text.c_str(), text.size(), &error);

	if (!ret) {
		ret = ql_chart_parse(chart, json, "door.json", names, &error);
		json_decref(json);
	}
	*detail = error ? error->message : "";
	g_clear_error(&error);
	return ret;
}

TEST(Chart, StepsByTheProgramsNumbers)
{
	struct {
		int state, event, result, next;
	} cases[] = {
		{CLOSED, PUSH, QL_CHART_MOVED, OPEN},
		{CLOSED, SMASH, QL_CHART_IGNORED, CLOSED},
		{OPEN, PUSH, QL_CHART_MOVED, CLOSED},
		{OPEN, SMASH, QL_CHART_MOVED, BROKEN},
		{BROKEN, PUSH, QL_E_INVALID, BROKEN},
		{OPEN, 2, QL_E_INVALID, OPEN},
		{OPEN, -1, QL_E_INVALID, OPEN},
		{3, PUSH, QL_E_INVALID, 3},
	};
	auto chart = std::make_unique<ql_chart_t>();
	std::string detail;
	int next;

	ASSERT_EQ(0, parse(chart.get(), door(ALL_EVENTS, ALL_STATES, REST),
			   &NAMES, &detail))
		<< detail;
	EXPECT_EQ(CLOSED, chart->start);
	for (const auto &c : cases) {
		SCOPED_TRACE(std::to_string(c.state) + " " +
			     std::to_string(c.event));
		EXPECT_EQ(c.result,
			  ql_chart_step(chart.get(), c.state, c.event, &next));
		EXPECT_EQ(c.next, next);
	}
}

TEST(Chart, NamesFileAndPlaceOfWhatIsWrong)
{
	const std::string good = door(ALL_EVENTS, ALL_STATES, REST);
	struct {
		std::string text;
		int expected;
		const char *detail;
	} cases[] = {
		{door(R"("push")", ALL_STATES, REST), QL_E_NOT_FOUND,
		 "door.json: events: the program uses \"smash\""},
		{door(R"("smash","push","kick")", ALL_STATES, REST),
		 QL_E_NOT_FOUND,
		 "door.json: events: the program does not know \"kick\""},
		{door(R"("push","push")", ALL_STATES, REST), QL_E_EXISTS,
		 "door.json: events: \"push\" stands twice"},
		{door(ALL_EVENTS, R"("open":{},"open":{})", REST), QL_E_INVALID,
		 "duplicate"},
		{door(ALL_EVENTS, R"("open":{},"closed":{})", REST),
		 QL_E_NOT_FOUND, "door.json: states: the program uses"},
		{door(ALL_EVENTS,
		      R"("open":{"on":{"kick":"closed"}},"closed":{},
			 "broken":{})",
		      REST),
		 QL_E_NOT_FOUND,
		 "door.json: states.open: there is no event \"kick\""},
		{door(ALL_EVENTS,
		      R"("open":{"on":{"push":"ajar"}},"closed":{},
			 "broken":{})",
		      REST),
		 QL_E_NOT_FOUND,
		 "door.json: states.open: there is no state \"ajar\""},
		{door(ALL_EVENTS,
		      R"("open":{"on":{"push":"closed"}},"closed":{},
			 "broken":{})",
		      REST),
		 QL_E_MISSING_KEY,
		 "states.open: event \"smash\" is neither handled nor"},
		{door(ALL_EVENTS,
		      R"("open":{"on":{"push":"closed"},"ignore":["push"]},
			 "closed":{},"broken":{})",
		      REST),
		 QL_E_EXISTS, "states.open: event \"push\" stands twice"},
		{door(ALL_EVENTS,
		      R"("open":{"ignore":["push","smash"]},
			 "closed":{"ignore":["push","smash"]},"broken":{})",
		      REST),
		 QL_E_INVALID, "states.open: cannot be reached"},
		{door(ALL_EVENTS,
		      R"("closed":{"on":{"push":"open","smash":"broken"}},
			 "open":{"ignore":["push","smash"]},"broken":{})",
		      REST),
		 QL_E_INVALID, "states.open: leads to no final state"},
		{door(ALL_EVENTS,
		      R"("closed":{"on":{"push":"open","smash":"broken"}},
			 "open":{"on":{"push":"closed","smash":"broken"}},
			 "broken":{"ignore":["push"]})",
		      REST),
		 QL_E_INVALID, "states.broken: a final state takes no event"},
		{door(ALL_EVENTS, ALL_STATES,
		      R"("start":"ajar","finals":["broken"])"),
		 QL_E_NOT_FOUND, "start: there is no state \"ajar\""},
		{door(ALL_EVENTS, ALL_STATES, R"("start":"open","finals":[])"),
		 QL_E_INVALID, "finals: allowed at least one"},
		{door(ALL_EVENTS, ALL_STATES,
		      R"("start":"open","finals":["broken","broken"])"),
		 QL_E_EXISTS, "finals: \"broken\" stands twice"},
		{door(ALL_EVENTS, ALL_STATES, R"("finals":["broken"])"),
		 QL_E_MISSING_KEY, "door.json.start"},
		{door("1", ALL_STATES, REST), QL_E_TYPE, "events[0]"},
		{good.substr(0, good.size() / 2), QL_E_INVALID, ""},
	};
	auto chart = std::make_unique<ql_chart_t>();
	std::string detail;

	for (const auto &c : cases) {
		SCOPED_TRACE(c.text);
		EXPECT_EQ(c.expected,
			  parse(chart.get(), c.text, &NAMES, &detail));
		EXPECT_NE(std::string::npos, detail.find(c.detail)) << detail;
	}
}

TEST(Chart, EveryChartThatShipsIsSound)
{
	const char *const files[] = {"endpoint", "attempt", "replica", "patch",
				     "shutdown"};
	auto chart = std::make_unique<ql_chart_t>();
	GError *error = nullptr;

	for (const char *name : files) {
		SCOPED_TRACE(name);
		std::string path =
			QL_SOURCE_DIR "/charts/" + std::string(name) + ".json";

		ASSERT_EQ(0, ql_chart_load_file(chart.get(), path.c_str(),
						nullptr, &error))
			<< error->message;
		EXPECT_STREQ(name, chart->name);
		char *dot = ql_chart_format_dot(chart.get());
		EXPECT_NE(std::string::npos,
			  std::string(dot).find(chart->states[chart->start]));
		g_free(dot);
	}
}

TEST(Chart, IsFoundBesideTheProgram)
{
	const char *const wrong[] = {"none"};
	const ql_chart_names_t names = {"patch", wrong, 1, wrong, 1};
	auto chart = std::make_unique<ql_chart_t>();
	GError *error = nullptr;

	EXPECT_EQ(QL_E_NOT_FOUND,
		  ql_chart_load(chart.get(), nullptr, &names, &error));
	EXPECT_NE(nullptr, strstr(error->message, "patch.json"));
	g_clear_error(&error);
	EXPECT_EQ(QL_E_IO,
		  ql_chart_load(chart.get(), "/nowhere", &names, &error));
	g_clear_error(&error);
}

} // namespace
