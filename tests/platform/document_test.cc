#include "platform/adapter.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

#include <cstring>

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

TEST(Document, IsConverted)
{
	ql_document_t *doc;
	const ql_route_t *route;

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

struct Case {
	const char *name;
	/* Text of the valid document to replace, and its replacement. */
	const char *from;
	const char *to;
};

class InvalidDocument : public testing::TestWithParam<Case>
{
};

TEST_P(InvalidDocument, IsRefused)
{
	std::string text = VALID_DOCUMENT;
	GError *error = nullptr;
	ql_document_t *doc;

	text.replace(text.find(GetParam().from), strlen(GetParam().from),
		     GetParam().to);
	EXPECT_NE(0, read_and_compile(text, &doc, &error));
	ASSERT_NE(nullptr, error);
	g_error_free(error);
}

INSTANTIATE_TEST_SUITE_P(
	Edits, InvalidDocument,
	testing::Values(
		Case{"UnknownService", "\"service\":\"one\",\"attempts\"",
		     "\"service\":\"three\",\"attempts\""},
		Case{"UnknownServiceInSplit",
		     "{\"service\":\"two\",\"weight\":10}",
		     "{\"service\":\"three\",\"weight\":10}"},
		Case{"WeightsOfZero",
		     "{\"service\":\"one\",\"weight\":90},{\"service\":\"two\","
		     "\"weight\":10}",
		     "{\"service\":\"one\",\"weight\":0},{\"service\":\"two\","
		     "\"weight\":0}"},
		Case{"EmptySplit",
		     "{\"service\":\"one\",\"weight\":90},{\"service\":\"two\","
		     "\"weight\":10}",
		     ""},
		Case{"NegativeWeight", "\"weight\":10", "\"weight\":-10"},
		Case{"TargetLatencyAboveTimeout",
		     "\"targetLatency\":\"1500ms\"",
		     "\"targetLatency\":\"66s\""},
		Case{"UnknownKind", "\"non_idempotent\"", "\"sometimes\""},
		Case{"NoKind", "\"kind\":\"idempotent\",", ""},
		Case{"InvalidTimeout", "\"timeout\":\"6000ms\"",
		     "\"timeout\":\"x\""},
		Case{"NoVersion", "\"version\":7,", ""},
		Case{"VersionNotANumber", "\"version\":7,",
		     "\"version\":\"7\","},
		Case{"NoResources", "\"resources\":[", "\"resource\":["},
		Case{"Truncated", "\"idleTimeout\":\"15000ms\"}}]}",
		     "\"idleTimeout\":\"150"}),
	[](const auto &test) { return test.param.name; });

} // namespace
