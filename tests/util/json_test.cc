#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

#include <pthread.h>

#include <cstring>
#include <string>

namespace
{

struct sample_t {
	char name[8];
	uint64_t count;
	bool flag;
};

const ql_json_member_t members[] = {
	QL_MEMBER_STRING(sample_t, name, true, 1),
	QL_MEMBER_UINT(sample_t, count, false, 1, 10),
	QL_MEMBER_BOOL(sample_t, flag, false),
};

struct ReadCase {
	const char *text;
	int expected;
	const char *detail;
};

class JsonRead : public testing::TestWithParam<ReadCase>
{
};

TEST_P(JsonRead, ReportsInvalidMembers)
{
	sample_t sample = {};
	GError *error = nullptr;
	json_t *json;
	std::string text = GetParam().text;

	ASSERT_EQ(0, ql_json_parse(&json, text.c_str(), text.size(), nullptr));
	EXPECT_EQ(GetParam().expected,
		  ql_json_read(&sample, json, "sample", members,
			       G_N_ELEMENTS(members), &error));
	if (GetParam().detail) {
		ASSERT_NE(nullptr, error);
		EXPECT_STREQ(GetParam().detail, error->message);
	}
	g_clear_error(&error);
	json_decref(json);
}

INSTANTIATE_TEST_SUITE_P(
	Objects, JsonRead,
	testing::Values(
		ReadCase{"{\"name\":\"a\",\"count\":10}", 0, nullptr},
		ReadCase{"{}", QL_E_MISSING_KEY,
			 "sample.name: required key is missing"},
		ReadCase{"{\"name\":\"a\",\"x\":1}", QL_E_UNKNOWN_KEY,
			 "sample: found unknown key \"x\", allowed name, "
			 "count, flag"},
		ReadCase{"{\"name\":3}", QL_E_TYPE,
			 "sample.name: found integer, allowed a string"},
		ReadCase{"{\"name\":\"a\",\"count\":11}", QL_E_RANGE,
			 "sample.count: found 11, allowed 1 to 10"},
		ReadCase{"{\"name\":\"a\",\"count\":-1}", QL_E_RANGE,
			 "sample.count: found -1, allowed 1 to 10"},
		ReadCase{"{\"name\":\"12345678\"}", QL_E_RANGE, nullptr},
		ReadCase{"[]", QL_E_TYPE,
			 "sample: found array, allowed an object"}));

struct MergeCase {
	const char *target;
	const char *patch;
	const char *expected;
};

class JsonMergePatch : public testing::TestWithParam<MergeCase>
{
};

TEST_P(JsonMergePatch, FollowsRfc7396)
{
	json_t *target =
		json_loads(GetParam().target, JSON_DECODE_ANY, nullptr);
	json_t *patch = json_loads(GetParam().patch, JSON_DECODE_ANY, nullptr);
	json_t *expected =
		json_loads(GetParam().expected, JSON_DECODE_ANY, nullptr);
	json_t *result = ql_json_apply_merge_patch(target, patch);

	EXPECT_TRUE(json_equal(expected, result));
	json_decref(target);
	json_decref(patch);
	json_decref(expected);
	json_decref(result);
}

INSTANTIATE_TEST_SUITE_P(
	Patches, JsonMergePatch,
	testing::Values(MergeCase{"{\"a\":1}", "{\"a\":2}", "{\"a\":2}"},
			MergeCase{"{\"a\":1}", "{\"a\":null}", "{}"},
			MergeCase{"{\"a\":{\"b\":1,\"c\":2}}",
				  "{\"a\":{\"b\":null}}", "{\"a\":{\"c\":2}}"},
			MergeCase{"{\"a\":[1,2]}", "{\"a\":[3]}",
				  "{\"a\":[3]}"},
			MergeCase{"{}", "{\"a\":{\"b\":{\"c\":null}}}",
				  "{\"a\":{\"b\":{}}}"},
			MergeCase{"[1]", "{\"a\":1}", "{\"a\":1}"}));

/* As in the threads of the HTTP servers. */
constexpr size_t SMALL_STACK_BYTES = 256 << 10;

void run_with_small_stack(void *(*function)(void *), void *data)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, SMALL_STACK_BYTES);
	ASSERT_EQ(0, pthread_create(&thread, &attributes, function, data));
	pthread_join(thread, nullptr);
	pthread_attr_destroy(&attributes);
}

struct NestedCase {
	const char *open;
	const char *close;
	int depth;
	int expected;
};

/* The parser recurses: a deeply nested text must not exhaust the stack. */
TEST(JsonParse, RefusesDeepNesting)
{
	const NestedCase cases[] = {
		{"[", "]", 64, 0},
		{"{\"a\":", "}", 63, 0},
		{"[", "]", 65, QL_E_RANGE},
		{"[", "]", 2000, QL_E_RANGE},
		{"{\"a\":", "}", 2000, QL_E_RANGE},
		{"[", "", 1000000, QL_E_RANGE},
	};

	for (const NestedCase &test : cases) {
		struct Parse {
			std::string text;
			int ret;
		} parse;

		for (int i = 0; i < test.depth; i++)
			parse.text += test.open;
		parse.text += "[]";
		for (int i = 0; i < test.depth; i++)
			parse.text += test.close;
		if (!strcmp(test.open, "["))
			parse.text.erase(parse.text.find("[]"), 2);
		run_with_small_stack(
			[](void *data) -> void * {
				auto *in = static_cast<Parse *>(data);
				json_t *json = nullptr;

				in->ret =
					ql_json_parse(&json, in->text.data(),
						      in->text.size(), nullptr);
				json_decref(json);
				return nullptr;
			},
			&parse);
		EXPECT_EQ(test.expected, parse.ret)
			<< test.open << " x " << test.depth;
	}
}

TEST(JsonParse, IgnoresBracketsInStrings)
{
	std::string text = "[\"" + std::string(200, '[') + "\\\"" +
			   std::string(200, '{') + "\"]";
	json_t *json;

	EXPECT_EQ(0, ql_json_parse(&json, text.data(), text.size(), nullptr));
	json_decref(json);
}

} // namespace
