#include "quetzalloft/log.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

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

TEST(LogMeter, BoundsLinesInABurstAndASecond)
{
	ql_log_rate_limit_t meter = {10, 20, 20, 0};
	uint64_t now_us = 1000000;
	int taken = 0;

	for (int i = 0; i < 100; i++)
		taken += ql_log_rate_limit_take(&meter, now_us);
	EXPECT_EQ(20, taken);
	for (int i = 0; i < 1000; i++)
		taken += ql_log_rate_limit_take(&meter, now_us += 1000);
	EXPECT_GE(taken, 29);
	EXPECT_LE(taken, 30);
}

void log_number(uint64_t number)
{
	ql_field_t field = {"number", QL_FIELD_UINT, {}};

	field.value.uint = number;
	ql_log_fields(LOG_NOTICE, "test", &field, 1);
}

/* The thread of the calls stood still when nobody read its lines. */
TEST(Log, AReaderThatHasStoppedCostsLinesOnly)
{
	char bytes[65536];
	std::string text;
	int ends[2];
	ssize_t n;

	ASSERT_EQ(0, pipe(ends));
	ql_log_set_output(ends[1]);
	for (int i = 0; i < 5000; i++)
		log_number(i);
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	while ((n = read(ends[0], bytes, sizeof(bytes))) > 0)
		text.append(bytes, (size_t)n);
	EXPECT_EQ(std::string::npos, text.find("number=4999"));
	log_number(5000);
	ASSERT_GT(n = read(ends[0], bytes, sizeof(bytes)), 0);
	text.assign(bytes, (size_t)n);
	EXPECT_NE(std::string::npos, text.find("number=5000"));
	EXPECT_NE(std::string::npos, text.find("left_out="));
	ql_log_set_output(STDERR_FILENO);
	close(ends[0]);
	close(ends[1]);
}
