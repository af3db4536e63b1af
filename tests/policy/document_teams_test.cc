#include "quetzalloft/document.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <cstring>
#include <set>
#include <string>

namespace
{

ql_document_t *compile(const std::string &teams, int *ret, std::string *detail)
{
	std::string text = "{\"site\":\"s\",\"attempts\":20,\"classes\":{"
			   "\"high\":{\"shed_order\":9},\"low\":{"
			   "\"shed_order\":1}},\"services\":{},\"routes\":{},"
			   "\"teams\":" +
			   teams + "}";
	ql_document_t *doc = nullptr;
	GError *error = nullptr;
	json_t *json = nullptr;

	EXPECT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(), nullptr));
	*ret = ql_document_compile(&doc, json, 1, &error);
	*detail = error ? error->message : "";
	g_clear_error(&error);
	json_decref(json);
	return doc;
}

TEST(Teams, AreFoundByKeyAndByName)
{
	std::string detail;
	const ql_team_t *team;
	int ret;
	ql_document_t *doc =
		compile("{\"red\":{\"keys\":[\"k1\",\"k2\"],\"class\":\"high\","
			"\"rate_per_s\":12.5,\"burst\":3},"
			"\"blue\":{\"keys\":[\"k3\"]},\"none\":{\"keys\":[]}}",
			&ret, &detail);

	ASSERT_NE(nullptr, doc) << detail;
	EXPECT_EQ(3u, doc->teams.n_entries);
	team = ql_teams_find_key(&doc->teams, "k2");
	ASSERT_NE(nullptr, team);
	EXPECT_STREQ("red", team->name);
	EXPECT_STREQ("high", doc->classes[team->class_index].name);
	EXPECT_DOUBLE_EQ(12.5, team->rate_per_s);
	EXPECT_DOUBLE_EQ(3, team->burst);
	team = ql_teams_find_key(&doc->teams, "k3");
	ASSERT_NE(nullptr, team);
	EXPECT_EQ(team, ql_teams_find_name(&doc->teams, "blue"));
	EXPECT_EQ(QL_TEAM_NO_CLASS, team->class_index);
	EXPECT_DOUBLE_EQ(0, team->rate_per_s);
	for (const char *key : {"", "k", "k11", "red", "K1"})
		EXPECT_EQ(nullptr, ql_teams_find_key(&doc->teams, key)) << key;
	EXPECT_EQ(nullptr, ql_teams_find_name(&doc->teams, "k1"));
	ql_document_unref(doc);
}

/* Requests of one class of teams keep the order of their routes. */
TEST(Teams, TheirClassGoesBeforeThatOfTheRoute)
{
	const char *text =
		"{\"site\":\"s\",\"attempts\":20,\"classes\":{\"low\":{"
		"\"shed_order\":1},\"mid\":{\"shed_order\":5},\"high\":{"
		"\"shed_order\":9}},\"services\":{\"a\":{}},\"routes\":{"
		"\"order\":{\"path\":\"/o\",\"service\":\"a\",\"class\":"
		"\"high\",\"idempotent\":false,\"deadline_ms\":1000},"
		"\"read\":{\"path\":\"/r\",\"service\":\"a\",\"class\":"
		"\"low\",\"idempotent\":true,\"deadline_ms\":1000}},"
		"\"teams\":{\"gold\":{\"keys\":[],\"class\":\"high\"},"
		"\"tin\":{\"keys\":[],\"class\":\"low\"},"
		"\"plain\":{\"keys\":[]}}}";
	/* Shed last first. */
	const struct {
		const char *team;
		const char *route;
	} order[] = {
		{"gold", "order"},
		{"gold", "read"},
		{"tin", "order"},
		{"tin", "read"},
	};
	uint64_t last = UINT64_MAX, found;
	json_t *json = nullptr;
	ql_document_t *doc;

	ASSERT_EQ(0, ql_json_parse(&json, text, strlen(text), nullptr));
	ASSERT_EQ(0, ql_document_compile(&doc, json, 1, nullptr));
	auto shed_order = [&](const char *team, const char *route) {
		const ql_route_t *r =
			ql_document_match(doc, -1, nullptr, "GET",
					  strcmp(route, "order") ? "/r" : "/o");
		const ql_team_t *t =
			team ? ql_teams_find_name(&doc->teams, team) : nullptr;

		return doc->classes[ql_document_find_class(doc, r, t)]
			.shed_order;
	};
	for (const auto &entry : order) {
		SCOPED_TRACE(std::string(entry.team) + " " + entry.route);
		found = shed_order(entry.team, entry.route);
		EXPECT_LT(found, last);
		last = found;
	}
	EXPECT_EQ(shed_order(nullptr, "order"), shed_order("plain", "order"));
	EXPECT_EQ(shed_order(nullptr, "order"), shed_order("gold", "order"));
	EXPECT_EQ(shed_order(nullptr, "read"), shed_order("tin", "read"));
	EXPECT_EQ(3u, doc->n_base_classes);
	ql_document_unref(doc);
	json_decref(json);
}

/* A dot in the name of a class does not make two classes one. */
TEST(Teams, CombinedClassesHaveNamesOfTheirOwn)
{
	static const char *const names[] = {"a", "b", "a.b", "b.c", "c"};
	std::string classes, routes, teams;
	std::set<std::string> found;
	int order = 0;
	json_t *json = nullptr;
	ql_document_t *doc;

	for (const char *name : names) {
		std::string quoted = std::string("\"") + name + "\"";
		std::string comma = classes.empty() ? "" : ",";

		classes += comma + quoted +
			   ":{\"shed_order\":" + std::to_string(order++) + "}";
		routes += comma + quoted + ":{\"path\":\"/" + name +
			  "\",\"service\":\"a\",\"class\":" + quoted +
			  ",\"idempotent\":true,\"deadline_ms\":1000}";
		teams += comma + quoted + ":{\"keys\":[],\"class\":" + quoted +
			 "}";
	}
	std::string text = "{\"site\":\"s\",\"attempts\":20,\"classes\":{" +
			   classes + "},\"services\":{\"a\":{}},\"routes\":{" +
			   routes + "},\"teams\":{" + teams + "}}";
	ASSERT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(), nullptr));
	ASSERT_EQ(0, ql_document_compile(&doc, json, 1, nullptr));
	EXPECT_EQ(5u + 5 * 5, doc->n_classes);
	for (size_t i = 0; i < doc->n_classes; i++)
		EXPECT_TRUE(found.insert(doc->classes[i].name).second)
			<< doc->classes[i].name;
	ql_document_unref(doc);
	json_decref(json);
}

/* Names that are too long together, and more pairs than shed orders. */
TEST(Teams, ManyCombinedClassesHaveNamesAndOrdersInBounds)
{
	std::string classes, routes, teams;
	std::set<std::string> names;
	std::string detail;
	json_t *json = nullptr;
	ql_document_t *doc;

	for (int i = 0; i < 64; i++) {
		std::string number = std::to_string(100 + i);
		std::string name = std::string(50, 'c') + number;

		classes += (i ? ",\"" : "\"") + name +
			   "\":{\"shed_order\":" + std::to_string(i) + "}";
		routes += (i ? ",\"r" : "\"r") + number + "\":{\"path\":\"/" +
			  number + "\",\"service\":\"a\",\"class\":\"" + name +
			  "\",\"idempotent\":true,\"deadline_ms\":1000}";
		teams += (i ? ",\"t" : "\"t") + number +
			 "\":{\"keys\":[],\"class\":\"" + name + "\"}";
	}
	std::string text = "{\"site\":\"s\",\"attempts\":20,\"classes\":{" +
			   classes + "},\"services\":{\"a\":{}},\"routes\":{" +
			   routes + "},\"teams\":{" + teams + "}}";
	ASSERT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(), nullptr));
	ASSERT_EQ(0, ql_document_compile(&doc, json, 1, nullptr));
	EXPECT_EQ(64u + 64 * 64, doc->n_classes);
	for (size_t i = 0; i < doc->n_classes; i++) {
		EXPECT_LE(doc->classes[i].shed_order, (uint64_t)QL_CLASSES_MAX);
		names.insert(doc->classes[i].name);
	}
	EXPECT_EQ(doc->n_classes, names.size());
	EXPECT_EQ((uint64_t)QL_CLASSES_MAX,
		  ql_document_top_class(doc)->shed_order);
	ql_document_unref(doc);
	json_decref(json);
}

TEST(Teams, ADocumentWithoutThemHasNoKeys)
{
	std::string detail;
	int ret;
	ql_document_t *doc = compile("{}", &ret, &detail);

	ASSERT_NE(nullptr, doc) << detail;
	EXPECT_EQ(0u, doc->teams.n_entries);
	EXPECT_EQ(nullptr, ql_teams_find_key(&doc->teams, "k1"));
	ql_document_unref(doc);
}

struct RefusedTeams {
	const char *name;
	const char *teams;
	int expected;
	const char *detail_part;
};

const std::string LONG_KEY(200, 'k');
const std::string LONG_KEY_TEAM = "{\"a\":{\"keys\":[\"" + LONG_KEY + "\"]}}";

const RefusedTeams REFUSED[] = {
	{"one key at two teams",
	 "{\"a\":{\"keys\":[\"secret\"]},\"b\":{\"keys\":[\"secret\"]}}",
	 QL_E_EXISTS, "teams.b.keys[0]: team \"a\""},
	{"one key twice at a team", "{\"a\":{\"keys\":[\"x\",\"x\"]}}",
	 QL_E_EXISTS, "teams.a.keys[1]"},
	{"team without a name", "{\"\":{\"keys\":[]}}", QL_E_INVALID, "teams"},
	{"name with a line break", "{\"a\\nb\":{\"keys\":[]}}", QL_E_INVALID,
	 "teams"},
	{"no keys", "{\"a\":{}}", QL_E_MISSING_KEY, "teams.a"},
	{"keys are a text", "{\"a\":{\"keys\":\"x\"}}", QL_E_TYPE,
	 "teams.a.keys"},
	{"key is a number", "{\"a\":{\"keys\":[1]}}", QL_E_INVALID,
	 "teams.a.keys[0]"},
	{"empty key", "{\"a\":{\"keys\":[\"\"]}}", QL_E_INVALID,
	 "teams.a.keys[0]"},
	{"key with a space", "{\"a\":{\"keys\":[\"x y\"]}}", QL_E_INVALID,
	 "teams.a.keys[0]"},
	{"key with a line break", "{\"a\":{\"keys\":[\"x\\r\\ny\"]}}",
	 QL_E_INVALID, "teams.a.keys[0]"},
	{"long key", LONG_KEY_TEAM.c_str(), QL_E_INVALID, "teams.a.keys[0]"},
	{"unknown class", "{\"a\":{\"keys\":[],\"class\":\"mid\"}}",
	 QL_E_NOT_FOUND, "teams.a.class"},
	{"negative rate", "{\"a\":{\"keys\":[],\"rate_per_s\":-1}}", QL_E_RANGE,
	 "rate_per_s"},
	{"rate is a text", "{\"a\":{\"keys\":[],\"rate_per_s\":\"1\"}}",
	 QL_E_TYPE, "rate_per_s"},
	{"rate is null", "{\"a\":{\"keys\":[],\"rate_per_s\":null}}", QL_E_TYPE,
	 "rate_per_s"},
	{"far too large rate", "{\"a\":{\"keys\":[],\"rate_per_s\":1e300}}",
	 QL_E_RANGE, "rate_per_s"},
	{"negative burst", "{\"a\":{\"keys\":[],\"burst\":-0.5}}", QL_E_RANGE,
	 "burst"},
	{"unknown member", "{\"a\":{\"keys\":[],\"quota\":1}}",
	 QL_E_UNKNOWN_KEY, "quota"},
	{"team is a list", "{\"a\":[]}", QL_E_TYPE, "teams.a"},
};

TEST(Teams, AreRefusedIfInvalidAndNoKeyIsShown)
{
	for (const RefusedTeams &refused : REFUSED) {
		std::string detail;
		int ret;

		SCOPED_TRACE(refused.name);
		EXPECT_EQ(nullptr, compile(refused.teams, &ret, &detail));
		EXPECT_EQ(refused.expected, ret);
		EXPECT_NE(std::string::npos, detail.find(refused.detail_part))
			<< detail;
		EXPECT_EQ(std::string::npos, detail.find("secret")) << detail;
	}
}

struct WeightCase {
	const char *name;
	const char *teams;
	double a, b;
};

const WeightCase WEIGHTS[] = {
	{"no quotas", "{\"a\":{\"keys\":[]},\"b\":{\"keys\":[]}}", 0.5, 0.5},
	{"two quotas",
	 "{\"a\":{\"keys\":[],\"rate_per_s\":30},"
	 "\"b\":{\"keys\":[],\"rate_per_s\":10}}",
	 0.75, 0.25},
	{"one without a quota counts as the mean",
	 "{\"a\":{\"keys\":[],\"rate_per_s\":30},\"b\":{\"keys\":[]},"
	 "\"c\":{\"keys\":[],\"rate_per_s\":10}}",
	 0.5, 20.0 / 60},
	{"one team",
	 "{\"b\":{\"keys\":[],\"rate_per_s\":0},"
	 "\"a\":{\"keys\":[],\"rate_per_s\":1e-9}}",
	 0.5, 0.5},
};

TEST(Teams, WeighAsMuchAsTheirQuotas)
{
	for (const WeightCase &weight : WEIGHTS) {
		std::string detail;
		int ret;
		ql_document_t *doc = compile(weight.teams, &ret, &detail);

		SCOPED_TRACE(weight.name);
		ASSERT_NE(nullptr, doc) << detail;
		EXPECT_DOUBLE_EQ(weight.a,
				 ql_teams_find_name(&doc->teams, "a")->weight);
		EXPECT_DOUBLE_EQ(weight.b,
				 ql_teams_find_name(&doc->teams, "b")->weight);
		ql_document_unref(doc);
	}
}

} // namespace
