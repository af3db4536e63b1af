#include "quetzalloft/log.h"

#include <gtest/gtest.h>

struct QuoteCase {
	const char *value;
	const char *expected;
};

class FieldAppend : public testing::TestWithParam<QuoteCase>
{
};

TEST_P(FieldAppend, CannotForgeAnotherPair)
{
	ql_field_t field = {"key", QL_FIELD_STRING, {GetParam().value}};
	GString *line = g_string_new(nullptr);

	ql_field_append(line, &field);
	EXPECT_STREQ(GetParam().expected, line->str);
	g_string_free(line, TRUE);
}

INSTANTIATE_TEST_SUITE_P(
	Values, FieldAppend,
	testing::Values(QuoteCase{"plain", " key=plain"},
			QuoteCase{"", " key=\"\""},
			QuoteCase{"two words", " key=\"two words\""},
			QuoteCase{"a=b", " key=\"a=b\""},
			QuoteCase{"x\nlevel=err", " key=\"x\\x0alevel=err\""},
			QuoteCase{"\"\\", " key=\"\\\"\\\\\""}));
