#include "quetzalloft/document.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

ql_document_t *CompileText(const std::string &text, int *ret,
			   std::string *detail)
{
	ql_document_t *doc = nullptr;
	GError *error = nullptr;
	json_t *json = nullptr;

	EXPECT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(), nullptr));
	*ret = ql_document_compile(&doc, json, 7, &error);
	if (error)
		*detail = error->message;
	g_clear_error(&error);
	json_decref(json);
	return doc;
}

std::string DocumentText(const std::string &services, const std::string &routes)
{
	return "{\"site\":\"s\",\"attempts\":20,\"classes\":{\"order\":{"
	       "\"shed_order\":9},\"lookup\":{\"shed_order\":1}},"
	       "\"services\":{" +
	       services + "},\"routes\":{" + routes + "}}";
}

struct RefusedCase {
	const char *services;
	const char *routes;
	int expected;
	const char *detail_part;
};

class DocumentRefusal : public testing::TestWithParam<RefusedCase>
{
};

TEST_P(DocumentRefusal, WithPathInDetail)
{
	std::string detail;
	int ret;

	EXPECT_EQ(nullptr, CompileText(DocumentText(GetParam().services,
						    GetParam().routes),
				       &ret, &detail));
	EXPECT_EQ(GetParam().expected, ret);
	EXPECT_NE(std::string::npos, detail.find(GetParam().detail_part))
		<< detail;
}

struct ShareCase {
	const char *guaranteed_share_member;
	int ret;
	double share;
};

TEST(Document, ReadsGuaranteedShare)
{
	const ShareCase cases[] = {
		{"", 0, 1.0 / 6},
		{"\"guaranteed_share\":0,", 0, 0},
		{"\"guaranteed_share\":0.5,", 0, 0.5},
		{"\"guaranteed_share\":0.6,", QL_E_RANGE, 0},
		{"\"guaranteed_share\":\"much\",", QL_E_TYPE, 0},
	};

	for (const ShareCase &test : cases) {
		SCOPED_TRACE(test.guaranteed_share_member);
		std::string text = DocumentText("", ""), detail;
		ql_document_t *doc;
		int ret;

		doc = CompileText(text.insert(1, test.guaranteed_share_member),
				  &ret, &detail);
		EXPECT_EQ(test.ret, ret) << detail;
		if (!doc)
			continue;
		EXPECT_EQ(test.share, doc->guaranteed_share);
		EXPECT_STREQ("order", ql_document_top_class(doc)->name);
		ql_document_unref(doc);
	}
}

INSTANTIATE_TEST_SUITE_P(
	Documents, DocumentRefusal,
	testing::Values(
		RefusedCase{"\"a\":{\"calls\":[\"b\"]}", "", QL_E_NOT_FOUND,
			    "services.a.calls[0]: found \"b\""},
		RefusedCase{
			"\"a\":{\"calls\":[\"b\"]},\"b\":{\"calls\":[\"a\"]}",
			"", QL_E_RANGE, "cycle or longer than 9"},
		RefusedCase{"\"a\":{\"retry_ratio\":1.5}", "", QL_E_RANGE,
			    "services.a.retry_ratio"},
		RefusedCase{"\"a b\":{}", "", QL_E_INVALID,
			    "services: found name"},
		RefusedCase{
			"\"a\":{}",
			"\"r\":{\"service\":\"a\",\"method\":\"GET\","
			"\"path\":\"/\",\"class\":\"none\",\"idempotent\":true,"
			"\"deadline_ms\":10}",
			QL_E_NOT_FOUND, "routes.r.class"},
		RefusedCase{
			"\"a\":{}",
			"\"r\":{\"service\":\"a\",\"method\":\"GET\","
			"\"path\":\"x\",\"class\":\"order\",\"idempotent\":true,"
			"\"deadline_ms\":10}",
			QL_E_INVALID, "routes.r.path"}));

TEST(Document, RefusesChainOfTenServices)
{
	std::string services = "\"s0\":{}";
	std::string detail;
	int ret;

	for (int i = 1; i < 10; i++)
		services += ",\"s" + std::to_string(i) + "\":{\"calls\":[\"s" +
			    std::to_string(i - 1) + "\"]}";
	EXPECT_EQ(nullptr,
		  CompileText(DocumentText(services, ""), &ret, &detail));
	EXPECT_EQ(QL_E_RANGE, ret);
}

TEST(Document, ComputesSubtreeAttemptsAndDepth)
{
	std::string detail;
	int ret, index;
	ql_document_t *doc = CompileText(
		DocumentText("\"a\":{\"calls\":[\"b\",\"c\"]},\"b\":{"
			     "\"calls\":[\"c\"]},\"c\":{}",
			     ""),
		&ret, &detail);

	ASSERT_NE(nullptr, doc) << detail;
	index = ql_document_find_service(doc, "a");
	ASSERT_GE(index, 0);
	EXPECT_EQ(4u, doc->services[index].subtree_attempts);
	EXPECT_EQ(3u, doc->services[index].depth);
	EXPECT_EQ(7u, doc->version);
	ql_document_unref(doc);
}

struct MatchCase {
	const char *host;
	const char *method;
	const char *path;
	const char *expected;
};

class DocumentMatch : public testing::TestWithParam<MatchCase>
{
};

TEST_P(DocumentMatch, LongestPathWins)
{
	std::string detail, common = "\"service\":\"a\",\"class\":\"order\","
				     "\"idempotent\":true,\"deadline_ms\":10,";
	int ret;
	ql_document_t *doc = CompileText(
		DocumentText(
			"\"a\":{}",
			"\"all\":{" + common +
				"\"method\":\"GET\",\"path\":\"/\"},\"parts\":"
				"{" +
				common +
				"\"method\":\"GET\",\"path\":\"/parts\"},"
				"\"host\":{" +
				common +
				"\"method\":\"GET\",\"path\":\"/parts\","
				"\"host\":\"kask.ee\"}"),
		&ret, &detail);
	const ql_route_t *route;

	ASSERT_NE(nullptr, doc) << detail;
	route = ql_document_match(doc, -1, GetParam().host, GetParam().method,
				  GetParam().path);
	EXPECT_STREQ(GetParam().expected, route ? route->name : "none");
	ql_document_unref(doc);
}

INSTANTIATE_TEST_SUITE_P(
	Requests, DocumentMatch,
	testing::Values(MatchCase{nullptr, "GET", "/parts/7", "parts"},
			MatchCase{nullptr, "GET", "/partsbin", "all"},
			MatchCase{"kask.ee", "GET", "/parts", "host"},
			MatchCase{"other.ee", "GET", "/parts", "parts"},
			MatchCase{nullptr, "POST", "/parts", "none"}));

} // namespace
