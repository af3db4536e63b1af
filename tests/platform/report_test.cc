#include "platform/adapter.h"
#include "quetzalloft/error.h"

#include <gtest/gtest.h>

#include <cstring>

namespace
{

const char *VALID_REPORT = R"({"service":"s","address":"10.0.0.1:80","zone":"z",
	"version":"v1","slots":39,"state":"draining","coldLeft":"1.5s",
	"sequence":4,"born":1700000000123,"later":{"x":1}})";

TEST(Report, ReadsKnownMembersAndIgnoresOthers)
{
	ql_instance_report_t report = {};

	ASSERT_EQ(0, ql_platform_read_report(&report, VALID_REPORT,
					     strlen(VALID_REPORT), nullptr));
	EXPECT_STREQ("s", report.service);
	EXPECT_STREQ("10.0.0.1:80", report.address);
	EXPECT_EQ(1700000000123u, report.incarnation);
	EXPECT_EQ(4u, report.sequence);
	EXPECT_EQ(39u, report.slots);
	EXPECT_EQ(1500u, report.cold_ms);
	EXPECT_TRUE(report.draining);
}

struct Case {
	/* Text of the valid report to replace, and its replacement. */
	const char *from;
	const char *to;
};

class InvalidReport : public testing::TestWithParam<Case>
{
};

TEST_P(InvalidReport, IsRefused)
{
	std::string text = VALID_REPORT;
	ql_instance_report_t report = {};
	GError *error = nullptr;

	text.replace(text.find(GetParam().from), strlen(GetParam().from),
		     GetParam().to);
	EXPECT_NE(0, ql_platform_read_report(&report, text.data(), text.size(),
					     &error));
	ASSERT_NE(nullptr, error);
	g_error_free(error);
}

INSTANTIATE_TEST_SUITE_P(
	Edits, InvalidReport,
	testing::Values(
		Case{"\"draining\"", "\"asleep\""}, Case{"\"draining\"", "7"},
		Case{"39", "\"39\""}, Case{"39", "0"}, Case{"39", "-1"},
		Case{"39", "3.5"}, Case{"\"s\"", "[]"}, Case{"\"s\"", "\"\""},
		Case{"1700000000123", "1.7e12"}, Case{"1700000000123", "null"},
		Case{"4", "\"x\""}, Case{"\"1.5s\"", "\"soon\""},
		Case{"\"1.5s\"", "15"}, Case{"\"address\"", "\"adress\""},
		Case{"}}", "}"}, Case{"{\"service\"", "\xff\xfe{\"service\""},
		Case{"1700000000123", "-1"},
		Case{"1700000000123", "9223372036854775808"}, Case{"4", "1e3"},
		Case{"39", "65536"}, Case{"39", "18446744073709551616"},
		Case{"4,", "4,\"sequence\":5,"}, Case{"39", "1e3"},
		Case{"39", "9223372036854775808"}, Case{"4", "-1"},
		Case{"4", "9223372036854775808"}, Case{"4", "0.5"},
		Case{"1700000000123", "1e3"}, Case{"\"1.5s\"", "\"1e400s\""},
		Case{"\"10.0.0.1:80\"", "80"},
		Case{"\"10.0.0.1:80\"", "\"\""}));

/* The report is read in a thread with a small stack. */
TEST(Report, RefusesDeepNestingAndLongNumbers)
{
	std::string deep(10000, '['), objects, digits(400, '9');

	for (int i = 0; i < 2000; i++)
		objects += "{\"a\":";
	for (const std::string &value :
	     {deep, deep + std::string(10000, ']'), objects, digits,
	      "1e" + digits, std::string(1 << 20, 'x')}) {
		std::string text = VALID_REPORT;
		ql_instance_report_t report = {};

		text.replace(text.find("{\"x\":1}"), 7, value);
		EXPECT_NE(0, ql_platform_read_report(&report, text.data(),
						     text.size(), nullptr));
	}
}

/* Each member in turn is nested 10,000 deep, 10^400, or 1 MB long. */
TEST(Report, RefusesOddValuesOfEachMember)
{
	const std::string deep = std::string(10000, '[') +
				 std::string(10000, ']'),
			  huge = "1" + std::string(400, '0'),
			  text_of_1_mb =
				  "\"" + std::string(1 << 20, 'x') + "\"";

	for (const char *member :
	     {"\"s\"", "\"10.0.0.1:80\"", "39", "\"draining\"", "\"1.5s\"", "4",
	      "1700000000123"})
		for (const std::string &value :
		     {deep, huge, "-" + huge, std::string("1e400"),
		      text_of_1_mb}) {
			SCOPED_TRACE(member + (" " + value.substr(0, 9)));
			std::string text = VALID_REPORT;
			ql_instance_report_t report = {};
			GError *error = nullptr;

			text.replace(text.find(member), strlen(member), value);
			EXPECT_NE(0,
				  ql_platform_read_report(&report, text.data(),
							  text.size(), &error));
			ASSERT_NE(nullptr, error);
			EXPECT_LT(strlen(error->message), 1024u);
			g_error_free(error);
		}
}

struct Duration {
	const char *text;
	int status;
	uint64_t ms;
};

TEST(Duration, IsParsedOrRefused)
{
	const Duration cases[] = {
		{"0ms", 0, 0},
		{"1500ms", 0, 1500},
		{"2.5s", 0, 2500},
		{"3s", 0, 3000},
		{"", QL_E_INVALID, 0},
		{"5", QL_E_INVALID, 0},
		{"5m", QL_E_INVALID, 0},
		{"-1ms", QL_E_INVALID, 0},
		{"nans", QL_E_INVALID, 0},
		{"1e99s", QL_E_INVALID, 0},
	};

	for (const Duration &c : cases) {
		SCOPED_TRACE(c.text);
		json_t *value = json_string(c.text);
		uint64_t ms = 0;

		EXPECT_EQ(c.status, ql_platform_read_duration(&ms, value));
		EXPECT_EQ(c.ms, ms);
		json_decref(value);
	}
}

} // namespace
