#include "platform/adapter.h"
#include "quetzalloft/config_state.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

const char *VALID_DOCUMENT = R"({"version":7,"resources":[
{"resourceType":"routes","metadata":{"name":"r-a"},"spec":{"host":"h.example",
 "pathPrefix":"/a/","kind":"idempotent","timeout":"6000ms",
 "targetLatency":"1500ms","priority":2,"attempts":2,
 "trafficSplit":[{"service":"one","weight":90},{"service":"two","weight":10}]}},
{"resourceType":"routes","metadata":{"name":"r-b"},"spec":{"host":"h.example",
 "pathPrefix":"/b/","kind":"non_idempotent","timeout":"2.5s",
 "targetLatency":"1s","priority":0,"service":"one","attempts":1,"new":true}},
{"resourceType":"services","metadata":{"name":"one"},"spec":{"healthPath":
 "/health","maxConnections":1684,"protocol":"h1","tls":false}},
{"resourceType":"services","metadata":{"name":"two"},"spec":{"healthPath":
 "/health","maxConnections":346,"protocol":"h1","tls":false}},
{"resourceType":"tenants","metadata":{"name":"t-a"},"spec":{"apiKeys":
 ["key-a","key-b"],"priority":1,"ratePerS":683,"burst":68.5}},
{"resourceType":"tenants","metadata":{"name":"t-b"},"spec":{"apiKeys":[]}},
{"resourceType":"unknown","metadata":{},"spec":{"a":null}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,
 "maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";

/* Converts and compiles a platform document. */
int read_and_compile(const std::string &text, ql_document_t **doc,
		     GError **error)
{
	json_t *json = nullptr;
	uint64_t version = 0;
	int ret = ql_platform_read_document(&json, &version, text.data(),
					    text.size(), error);

	*doc = nullptr;
	if (ret)
		return ret;
	ret = ql_document_compile(doc, json, version, error);
	json_decref(json);
	return ret;
}

/* Submits a platform document as the operators' interface does. */
int submit(ql_config_state_t *state, const std::string &text)
{
	static int submitted;
	ql_patch_t patch = {};
	ql_patch_answer_t answer = {};
	json_t *json = nullptr;
	GError *error = nullptr;
	char *converted;
	int ret = ql_platform_read_document(&json, &patch.version, text.data(),
					    text.size(), &error);

	EXPECT_EQ(ret != 0, error != nullptr);
	g_clear_error(&error);
	if (ret)
		return ret;
	converted = ql_json_dump(json);
	json_decref(json);
	/* Each document has an id of its own, or it is refused for its id. */
	snprintf(patch.id, sizeof(patch.id), "id-%d", submitted++);
	patch.base_version = state->doc->version;
	patch.whole = true;
	patch.text = converted;
	patch.length = strlen(converted);
	ql_config_state_apply(state, &patch, &answer);
	free(converted);
	EXPECT_EQ(answer.status != 0, answer.detail[0] != 0);
	return answer.status;
}

/* A state whose document has version 6. */
class SubmittedDocument : public testing::Test
{
      protected:
	void SetUp() override
	{
		const char *first = "{\"version\":6,\"resources\":[]}";

		ql_config_state_init(&state);
		ASSERT_EQ(0, submit(&state, first));
	}

	void TearDown() override
	{
		ql_config_state_finish(&state);
	}

	ql_config_state_t state;
};

TEST(Document, IsConverted)
{
	ql_document_t *doc;
	const ql_route_t *route;
	const ql_team_t *team;

	ASSERT_EQ(0, read_and_compile(VALID_DOCUMENT, &doc, nullptr));
	EXPECT_EQ(7u, doc->version);
	EXPECT_EQ(2u, doc->n_services);
	EXPECT_EQ(15000u, doc->limits.idle_ms);
	EXPECT_EQ(16384u, doc->limits.head_bytes);
	route = ql_document_match(doc, -1, "h.example", "GET", "/a/x");
	ASSERT_NE(nullptr, route);
	EXPECT_TRUE(route->idempotent);
	EXPECT_EQ(2u, route->n_split);
	EXPECT_EQ(6000u, route->deadline_ms);
	EXPECT_EQ(1500u, route->target_ms);
	EXPECT_EQ(2u, route->attempts);
	route = ql_document_match(doc, -1, "h.example", "POST", "/b/");
	ASSERT_NE(nullptr, route);
	EXPECT_FALSE(route->idempotent);
	EXPECT_EQ(2500u, route->deadline_ms);
	EXPECT_GT(doc->classes[route->class_index].shed_order,
		  doc->classes[doc->routes[0].class_index].shed_order -
			  (route == &doc->routes[0]));
	EXPECT_FALSE(route->anonymous);
	EXPECT_EQ(2u, doc->teams.n_entries);
	team = ql_teams_find_key(&doc->teams, "key-b");
	ASSERT_NE(nullptr, team);
	EXPECT_STREQ("t-a", team->name);
	EXPECT_STREQ("rank-1", doc->classes[team->class_index].name);
	EXPECT_DOUBLE_EQ(683, team->rate_per_s);
	EXPECT_DOUBLE_EQ(68.5, team->burst);
	team = ql_teams_find_name(&doc->teams, "t-b");
	ASSERT_NE(nullptr, team);
	EXPECT_EQ(QL_TEAM_NO_CLASS, team->class_index);
	EXPECT_EQ(nullptr,
		  ql_document_match(doc, -1, "other.example", "GET", "/a/"));
	EXPECT_EQ(nullptr,
		  ql_document_match(doc, -1, "h.example", "GET", "/c/"));
	ql_document_unref(doc);
}

TEST(Document, OriginEqualsTheInput)
{
	json_t *input = json_loads(VALID_DOCUMENT, 0, nullptr), *origin;
	ql_document_t *doc;

	ASSERT_EQ(0, read_and_compile(VALID_DOCUMENT, &doc, nullptr));
	origin = ql_platform_write_document(doc);
	EXPECT_TRUE(json_equal(input, origin));
	json_decref(origin);
	json_decref(input);
	ql_document_unref(doc);
}

struct Edit {
	const char *name;
	/* Text of the valid document to replace, and its replacement. */
	const char *from;
	const char *to;
};

std::string edited(const Edit &edit)
{
	std::string text = VALID_DOCUMENT;
	size_t at = text.find(edit.from);

	EXPECT_NE(std::string::npos, at);
	return text.replace(at, strlen(edit.from), edit.to);
}

#define PARTS                                  \
	"{\"service\":\"one\",\"weight\":90}," \
	"{\"service\":\"two\",\"weight\":10}"
#define LIMITS "{\"resourceType\":\"limits\",\"metadata\":{},\"spec\":"
#define SERVICE(name)                                                   \
	"{\"resourceType\":\"services\",\"metadata\":{\"name\":\"" name \
	"\"},\"spec\":"
#define ROUTE(name)                                                   \
	"{\"resourceType\":\"routes\",\"metadata\":{\"name\":\"" name \
	"\"},\"spec\":"
#define ROUTE_FIELDS                                                  \
	"\"host\":\"h.example\",\"kind\":\"idempotent\",\"timeout\":" \
	"\"1s\",\"priority\":1"

const Edit INVALID_EDITS[] = {
	{"unknown service", "\"service\":\"one\",\"attempts\"",
	 "\"service\":\"three\",\"attempts\""},
	{"empty service", "\"service\":\"one\",\"attempts\"",
	 "\"service\":\"\",\"attempts\""},
	{"service of another type", "\"service\":\"one\",\"attempts\"",
	 "\"service\":1,\"attempts\""},
	{"no service", "\"service\":\"one\",\"attempts\"", "\"attempts\""},
	{"service and split", "\"trafficSplit\":[",
	 "\"service\":\"one\",\"trafficSplit\":["},
	{"unknown service in split", "\"two\",\"weight\":10",
	 "\"three\",\"weight\":10"},
	{"unknown service of weight 0", "\"two\",\"weight\":10",
	 "\"three\",\"weight\":0"},
	{"weights of 0", PARTS,
	 "{\"service\":\"one\",\"weight\":0},"
	 "{\"service\":\"two\",\"weight\":0}"},
	{"weights that add up to 0", PARTS,
	 "{\"service\":\"one\",\"weight\":10},"
	 "{\"service\":\"two\",\"weight\":-10}"},
	{"weights that wrap", PARTS,
	 "{\"service\":\"one\",\"weight\":9223372036854775807},"
	 "{\"service\":\"two\",\"weight\":9223372036854775807}"},
	{"weights that wrap 32 bits", PARTS,
	 "{\"service\":\"one\",\"weight\":2147483648},"
	 "{\"service\":\"two\",\"weight\":2147483648}"},
	{"empty split", PARTS, ""},
	{"split names a service twice", "\"two\",\"weight\":10",
	 "\"one\",\"weight\":10"},
	{"split is no list", "\"trafficSplit\":[" PARTS "]",
	 "\"trafficSplit\":{\"one\":90}"},
	{"split is null", "\"trafficSplit\":[" PARTS "]",
	 "\"trafficSplit\":null"},
	{"part is no object", PARTS, "\"one\""},
	{"no weight", ",\"weight\":10", ""},
	{"negative weight", "\"weight\":10", "\"weight\":-10"},
	{"negative real weight", "\"weight\":10", "\"weight\":-0.5"},
	{"weight is a text", "\"weight\":10", "\"weight\":\"10\""},
	{"weight is null", "\"weight\":10", "\"weight\":null"},
	{"weight is a boolean", "\"weight\":10", "\"weight\":true"},
	{"weight beyond 2^63", "\"weight\":10",
	 "\"weight\":9223372036854775808"},
	{"target a minute above timeout", "\"targetLatency\":\"1500ms\"",
	 "\"targetLatency\":\"66000ms\""},
	{"target over a minute above timeout", "\"targetLatency\":\"1500ms\"",
	 "\"targetLatency\":\"66001ms\""},
	{"target is a number", "\"targetLatency\":\"1500ms\"",
	 "\"targetLatency\":1500"},
	{"target below 0", "\"targetLatency\":\"1500ms\"",
	 "\"targetLatency\":\"-1ms\""},
	{"no timeout", "\"timeout\":\"6000ms\",", ""},
	{"timeout without unit", "\"timeout\":\"6000ms\"",
	 "\"timeout\":\"6000\""},
	{"timeout is no time", "\"timeout\":\"6000ms\"", "\"timeout\":\"x\""},
	{"unknown kind", "\"non_idempotent\"", "\"sometimes\""},
	{"kind in capitals", "\"non_idempotent\"", "\"Non_Idempotent\""},
	{"empty kind", "\"non_idempotent\"", "\"\""},
	{"kind is a boolean", "\"kind\":\"idempotent\"", "\"kind\":true"},
	{"no kind", "\"kind\":\"idempotent\",", ""},
	{"priority is a text", "\"priority\":2", "\"priority\":\"2\""},
	{"priority below 0", "\"priority\":2", "\"priority\":-1"},
	{"attempts is a text", "\"attempts\":2", "\"attempts\":\"2\""},
	{"no version", "\"version\":7,", ""},
	{"current version", "\"version\":7,", "\"version\":6,"},
	{"older version", "\"version\":7,", "\"version\":5,"},
	{"version 0", "\"version\":7,", "\"version\":0,"},
	{"negative version", "\"version\":7,", "\"version\":-7,"},
	{"version with a fraction", "\"version\":7,", "\"version\":7.5,"},
	{"version is a text", "\"version\":7,", "\"version\":\"7\","},
	{"version is null", "\"version\":7,", "\"version\":null,"},
	{"version of 2^63", "\"version\":7,",
	 "\"version\":9223372036854775808,"},
	{"version beyond 2^64", "\"version\":7,", "\"version\":1e30,"},
	{"version twice", "\"version\":7,", "\"version\":7,\"version\":8,"},
	{"kind twice", "\"kind\":\"idempotent\",",
	 "\"kind\":\"idempotent\",\"kind\":\"download\","},
	{"no resources", "\"resources\":[", "\"resource\":["},
	{"entry is a text", "{\"resourceType\":\"unknown\"",
	 "\"text\",{\"resourceType\":\"unknown\""},
	{"entry without spec", "\"metadata\":{\"name\":\"two\"},\"spec\"",
	 "\"metadata\":{\"name\":\"two\"},\"other\""},
	{"entry without type", "\"resourceType\":\"services\"",
	 "\"type\":\"services\""},
	{"type is a number", "\"resourceType\":\"services\"",
	 "\"resourceType\":1"},
	{"spec is a list", SERVICE("two"), SERVICE("two") "[],\"x\":"},
	{"route without name", "\"metadata\":{\"name\":\"r-a\"}",
	 "\"metadata\":{}"},
	{"name is a number", "\"metadata\":{\"name\":\"r-a\"}",
	 "\"metadata\":{\"name\":1}"},
	{"empty name", "\"name\":\"r-a\"", "\"name\":\"\""},
	{"route without host", "\"host\":\"h.example\",", ""},
	{"host is a number", "\"host\":\"h.example\"", "\"host\":1"},
	{"empty host", "\"host\":\"h.example\"", "\"host\":\"\""},
	{"route without path", "\"pathPrefix\":\"/a/\",", ""},
	{"path without slash", "\"pathPrefix\":\"/a/\"",
	 "\"pathPrefix\":\"a/\""},
	{"two routes of one name", "\"name\":\"r-b\"", "\"name\":\"r-a\""},
	{"two services of one name", SERVICE("two"),
	 SERVICE("two") "{}}," SERVICE("two")},
	{"service is invalid", "\"maxConnections\":346",
	 "\"maxConnections\":\"346\""},
	{"team without keys", "\"apiKeys\":[]", "\"keys\":[]"},
	{"keys are a text", "\"apiKeys\":[]", "\"apiKeys\":\"x\""},
	{"key of two teams", "\"apiKeys\":[]", "\"apiKeys\":[\"key-a\"]"},
	{"key twice", "\"apiKeys\":[]", "\"apiKeys\":[\"x\",\"x\"]"},
	{"key is a number", "\"apiKeys\":[]", "\"apiKeys\":[1]"},
	{"two teams of one name", "\"name\":\"t-b\"", "\"name\":\"t-a\""},
	{"team without name", "{\"name\":\"t-b\"}", "{}"},
	{"empty name of a team", "\"name\":\"t-b\"", "\"name\":\"\""},
	{"rate below 0", "\"ratePerS\":683", "\"ratePerS\":-683"},
	{"rate is a text", "\"ratePerS\":683", "\"ratePerS\":\"683\""},
	{"rate is null", "\"ratePerS\":683", "\"ratePerS\":null"},
	{"far too large rate", "\"ratePerS\":683", "\"ratePerS\":1e30"},
	{"burst below 0", "\"burst\":68.5", "\"burst\":-1"},
	{"priority of a team below 0", "\"priority\":1,\"ratePerS\"",
	 "\"priority\":-1,\"ratePerS\""},
	{"anonymous is a text", "\"attempts\":2",
	 "\"attempts\":2,\"anonymous\":\"no\""},
	{"limits twice", LIMITS, LIMITS "{}}," LIMITS},
	{"limit is a text", "\"maxHeaderBytes\":16384",
	 "\"maxHeaderBytes\":\"16384\""},
	{"limit is null", "\"maxBodyBytes\":67108864", "\"maxBodyBytes\":null"},
	{"limit below 0", "\"maxBodyBytes\":67108864", "\"maxBodyBytes\":-1"},
	{"time limit is a number", "\"idleTimeout\":\"15000ms\"",
	 "\"idleTimeout\":15000"},
};

TEST_F(SubmittedDocument, IsRefusedIfInvalid)
{
	for (const Edit &edit : INVALID_EDITS) {
		SCOPED_TRACE(edit.name);
		TearDown();
		SetUp();
		EXPECT_NE(0, submit(&state, edited(edit)));
		EXPECT_EQ(6u, state.doc->version);
	}
}

TEST_F(SubmittedDocument, IsRefusedIfCutShortOrFollowedByMore)
{
	std::string text = VALID_DOCUMENT;

	for (size_t length = 0; length < text.size(); length++) {
		SCOPED_TRACE(length);
		EXPECT_NE(0, submit(&state, text.substr(0, length)));
		ASSERT_EQ(6u, state.doc->version);
	}
	for (const char *more : {"}", "{}", "x", ",", "\"\""}) {
		SCOPED_TRACE(more);
		EXPECT_NE(0, submit(&state, text + more));
		ASSERT_EQ(6u, state.doc->version);
	}
}

TEST_F(SubmittedDocument, RefusalNamesTheRouteThatIsThereTwice)
{
	std::string text = edited({"", "\"name\":\"r-b\"", "\"name\":\"r-a\""});
	GError *error = nullptr;
	ql_document_t *doc;

	ASSERT_EQ(QL_E_EXISTS, read_and_compile(text, &doc, &error));
	EXPECT_STREQ("routes.r-a: found twice, allowed once", error->message);
	g_error_free(error);
}

const Edit VALID_EDITS[] = {
	{"unchanged", "", ""},
	{"unknown type", "\"resourceType\":\"unknown\"",
	 "\"resourceType\":\"other\""},
	{"unknown type with names", "{\"resourceType\":\"unknown\"",
	 "{\"resourceType\":\"x\",\"metadata\":{\"name\":\"one\"},"
	 "\"spec\":{}},{\"resourceType\":\"unknown\""},
	{"unknown fields", "\"version\":7,",
	 "\"version\":7,\"comment\":{\"a\":[null,1.5]},"},
	{"unknown field of null", "\"tls\":false", "\"tls\":null"},
	{"weight 0 beside another", "\"weight\":10", "\"weight\":0"},
	{"one part", PARTS, "{\"service\":\"one\",\"weight\":1}"},
	{"whole real weight", "\"weight\":90", "\"weight\":90.0"},
	{"weight with an exponent", "\"weight\":90", "\"weight\":9e1"},
	{"whole real version", "\"version\":7,", "\"version\":7.0,"},
	{"whole real priority", "\"priority\":2", "\"priority\":2.0"},
	{"whole real attempts", "\"attempts\":2", "\"attempts\":2.0"},
	{"whole real connections", "\"maxConnections\":346",
	 "\"maxConnections\":346.0"},
	{"whole real limit", "\"maxHeaderBytes\":16384",
	 "\"maxHeaderBytes\":16384.0"},
	{"largest version", "\"version\":7,",
	 "\"version\":9223372036854775807,"},
	{"high priority number", "\"priority\":2", "\"priority\":1000000"},
	{"no attempts", ",\"attempts\":2", ""},
	{"no target", "\"targetLatency\":\"1500ms\",", ""},
	{"target above timeout", "\"targetLatency\":\"1500ms\"",
	 "\"targetLatency\":\"65999ms\""},
	{"route and service of one name", "\"name\":\"r-a\"",
	 "\"name\":\"one\""},
	{"two routes of one path", ROUTE("r-b"),
	 ROUTE("r-c") "{" ROUTE_FIELDS
		      ",\"pathPrefix\":\"/a/\",\"service\":\"one\"}}," ROUTE(
			      "r-b")},
	{"uploads", "\"non_idempotent\"", "\"upload\""},
	{"anonymous route", "\"attempts\":2",
	 "\"attempts\":2,\"anonymous\":true"},
	{"whole real rate", "\"ratePerS\":683", "\"ratePerS\":683.0"},
	{"no rate", "\"ratePerS\":683,\"burst\":68.5", "\"new\":1"},
	{"no limits", "\"resourceType\":\"limits\"", "\"resourceType\":\"x\""},
	{"bytes outside ASCII", "\"new\":true", "\"new\":\"\xc3\xa5\""},
	{"white space", "{\"version\"", " \n{ \"version\""},
};

TEST_F(SubmittedDocument, IsTakenIfValid)
{
	for (const Edit &edit : VALID_EDITS) {
		SCOPED_TRACE(edit.name);
		TearDown();
		SetUp();
		EXPECT_EQ(0, submit(&state, edited(edit)));
		EXPECT_LT(6u, state.doc->version);
	}
}

TEST_F(SubmittedDocument, IsTakenWithTwoThousandRoutes)
{
	std::string routes;

	for (int i = 0; i < 2000; i++) {
		std::string number = std::to_string(i);

		routes += "{\"resourceType\":\"routes\",\"metadata\":{\"name\":"
			  "\"s-" +
			  number +
			  "\"},\"spec\":{" ROUTE_FIELDS
			  ",\"service\":\"two\",\"pathPrefix\":"
			  "\"/many/" +
			  number + "/\"}},";
	}
	ASSERT_EQ(0, submit(&state,
			    edited({"", "{\"resourceType\"",
				    (routes + "{\"resourceType\"").c_str()})));
	EXPECT_EQ(2002u, state.doc->n_routes);
	for (int i = 0; i < 2000; i++) {
		std::string path = "/many/" + std::to_string(i) + "/x";

		EXPECT_NE(nullptr, ql_document_match(state.doc, -1, "h.example",
						     "GET", path.c_str()));
	}
}

} // namespace
