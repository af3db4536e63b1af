#include "quetzalloft/error.h"
#include "quetzalloft/text.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

const size_t SIZE = 8;

struct CopyCase {
	const char *description;
	const char *text;
	const char *copy;
};

TEST(Text, IsCutBetweenCharacters)
{
	const CopyCase cases[] = {
		{"empty", "", ""},
		{"as long as fits", "1234567", "1234567"},
		{"a byte too long", "12345678", "1234567"},
		{"two bytes fit", "12345\u00f5", "12345\u00f5"},
		{"one of two bytes fits", "123456\u00f5", "123456"},
		{"one of three bytes fits", "123456\u20ac", "123456"},
		{"two of three bytes fit", "12345\u20ac", "12345"},
		{"three bytes fit", "1234\u20ac", "1234\u20ac"},
		{"three of four bytes fit", "1234\U0001f989", "1234"},
		{"a byte that is no UTF-8", "1\xf5", "1\ufffd"},
		{"a character that ends early", "12\xc3", "12\ufffd"},
	};

	for (const CopyCase &test : cases) {
		char copy[SIZE];

		SCOPED_TRACE(test.description);
		ql_text_copy(copy, sizeof(copy), test.text);
		EXPECT_STREQ(test.copy, copy);
	}
}

/* A message is sent as JSON, which takes nothing but UTF-8. */
TEST(Error, HasMessageInUtf8)
{
	GError *error = nullptr;

	EXPECT_EQ(QL_E_INVALID,
		  ql_error_set(&error, QL_E_INVALID, "found \"%s\"", "\xf5"));
	EXPECT_STREQ("found \"\ufffd\"", error->message);
	g_clear_error(&error);
	ql_error_set(&error, QL_E_INVALID, "found \"%.1s\"", "\u00f5");
	EXPECT_STREQ("found \"\ufffd\"", error->message);
	g_clear_error(&error);
	EXPECT_EQ(QL_E_IO, ql_error_set_errno(&error, EIO, "\xf5"));
	EXPECT_TRUE(g_utf8_validate(error->message, -1, nullptr));
	g_clear_error(&error);
}

} // namespace
