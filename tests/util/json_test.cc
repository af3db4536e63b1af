#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <gtest/gtest.h>

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

TEST_P(JsonRead, NamesWhatIsWrong)
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

} // namespace
