#include "http/headers.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

TEST(Headers, KeepsOrderAndDuplicates)
{
	ql_headers_t headers;

	ql_headers_init(&headers);
	ql_headers_add(&headers, "A", "1");
	ql_headers_add(&headers, "b", "");
	ql_headers_add(&headers, "a", "2");
	EXPECT_EQ(3u, ql_headers_count(&headers));
	EXPECT_STREQ("1", ql_headers_get(&headers, "a"));
	EXPECT_STREQ("", ql_headers_get(&headers, "B"));
	EXPECT_STREQ("2", ql_headers_value(&headers, 2));
	EXPECT_EQ(nullptr, ql_headers_get(&headers, "c"));
	ql_headers_finish(&headers);
}

TEST(Headers, JoinsFragmentsOfAParser)
{
	ql_headers_t headers;

	ql_headers_init(&headers);
	ql_headers_add_name(&headers, "Ho", 2, true);
	ql_headers_add_name(&headers, "st", 2, false);
	ql_headers_add_value(&headers, "x", 1, true);
	ql_headers_add_value(&headers, ".example", 8, false);
	ql_headers_add_name(&headers, "Empty", 5, true);
	EXPECT_STREQ("x.example", ql_headers_get(&headers, "host"));
	EXPECT_STREQ("", ql_headers_get(&headers, "empty"));
	ql_headers_finish(&headers);
}

TEST(Headers, RecognizesHopByHopHeaders)
{
	ql_headers_t headers;

	ql_headers_init(&headers);
	ql_headers_add(&headers, "Connection", "close, X-Own");
	for (const char *name : {"Keep-Alive", "transfer-encoding",
				 "Content-Length", "TE", "Upgrade"})
		EXPECT_TRUE(ql_header_is_hop_by_hop(name)) << name;
	EXPECT_TRUE(ql_headers_connection_lists(&headers, "x-own"));
	for (const char *name : {"X-Owner", "X-Ow", "Host", "Accept"}) {
		EXPECT_FALSE(ql_header_is_hop_by_hop(name)) << name;
		EXPECT_FALSE(ql_headers_connection_lists(&headers, name))
			<< name;
	}
	ql_headers_finish(&headers);
}

TEST(Headers, LineBreaksInValuesAreReplaced)
{
	GByteArray *out = g_byte_array_new();

	ql_headers_write(out, "A", "x\r\nB: y");
	EXPECT_EQ("A: x  B: y\r\n", std::string((char *)out->data, out->len));
	g_byte_array_free(out, TRUE);
}

} // namespace
