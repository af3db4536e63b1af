#include "http/reader.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

/* What becomes of a message that is read to its end. */
struct Outcome {
	bool malformed = false;
	int heads = 0;
	int completes = 0;
	std::string body;
};

const ql_http_reader_ops_t OPS = {
	[](void *data, ql_http_reader_t *) {
		static_cast<Outcome *>(data)->heads++;
		return true;
	},
	[](void *data, const char *bytes, size_t length) {
		static_cast<Outcome *>(data)->body.append(bytes, length);
	},
	[](void *data, ql_http_reader_t *) {
		static_cast<Outcome *>(data)->completes++;
		return true;
	}};

Outcome read_message(bool is_request, const std::string &message,
		     size_t piece_bytes)
{
	ql_http_reader_t reader;
	Outcome outcome;
	size_t used;

	ql_http_reader_init(&reader, is_request, &OPS, &outcome);
	for (size_t i = 0; i < message.size(); i += piece_bytes) {
		std::string piece = message.substr(i, piece_bytes);

		if (ql_http_reader_feed(&reader, piece.data(), piece.size(),
					&used) != QL_HTTP_READ_MORE) {
			outcome.malformed = true;
			break;
		}
	}
	ql_http_reader_finish(&reader);
	return outcome;
}

struct Form {
	const char *name;
	std::string lines;
	/* The body behind the head. */
	std::string body;
};

const std::string CHUNKS = "5\r\nhello\r\n0\r\n\r\n";
const std::string LENGTH = "Content-Length: 5\r\n";
const std::string CHUNKED = "Transfer-Encoding: chunked\r\n";

/* Heads that are not HTTP/1.1 by RFC 9110 and 9112, or frame their body twice.
 */
const Form MALFORMED[] = {
	{"space before the colon", LENGTH + "X : 1\r\n", "hello"},
	{"tab before the colon", LENGTH + "X\t: 1\r\n", "hello"},
	{"space in a name", LENGTH + "X Y: 1\r\n", "hello"},
	{"space before the colon of a coding",
	 "Transfer-Encoding : chunked\r\n", CHUNKS},
	{"space before the colon of a length", "Content-Length : 5\r\n",
	 "hello"},
	{"empty name", LENGTH + ": 1\r\n", "hello"},
	{"line without a colon", LENGTH + "Xyz\r\n", "hello"},
	{"byte that is in no token", LENGTH + "X(: 1\r\n", "hello"},
	{"byte above ASCII in a name", LENGTH + "X\xc3\xb5: 1\r\n", "hello"},
	{"control byte in a name", LENGTH + "X\x01: 1\r\n", "hello"},
	{"NUL in a name", LENGTH + std::string("X\0Y: 1\r\n", 8), "hello"},
	{"folded line", LENGTH + "X: 1\r\n 2\r\n", "hello"},
	{"line folded by a tab", LENGTH + "X: 1\r\n\t2\r\n", "hello"},
	{"folded line behind an empty value", LENGTH + "X:\r\n 2\r\n", "hello"},
	{"space before the first line", " X: 1\r\n" + LENGTH, "hello"},
	{"line of spaces", LENGTH + "X: 1\r\n  \r\n", "hello"},
	{"folded length", "Content-Length:\r\n 5\r\n", "hello"},
	{"folded coding", "Transfer-Encoding:\r\n chunked\r\n", CHUNKS},
	{"bare CR in a value", LENGTH + "X: a\rb\r\n", "hello"},
	{"NUL in a value", LENGTH + std::string("X: a\0b\r\n", 8), "hello"},
	{"control byte in a value", LENGTH + "X: a\x01\r\n", "hello"},
	{"DEL in a value", LENGTH + "X: a\x7f\r\n", "hello"},
	{"two lengths", LENGTH + "Content-Length: 6\r\n", "hello!"},
	{"two equal lengths", LENGTH + LENGTH, "hello"},
	{"list of lengths", "Content-Length: 5, 5\r\n", "hello"},
	{"length that is no number", "Content-Length: 5a\r\n", "hello"},
	{"length and coding", LENGTH + CHUNKED, CHUNKS},
	{"coding and length", CHUNKED + LENGTH, CHUNKS},
	{"another coding", "Transfer-Encoding: gzip\r\n", "hello"},
	{"another coding first", "Transfer-Encoding: gzip, chunked\r\n",
	 CHUNKS},
	{"another coding in a line before",
	 "Transfer-Encoding: gzip\r\n" + CHUNKED, CHUNKS},
	{"another coding last", "Transfer-Encoding: chunked, gzip\r\n", CHUNKS},
	{"chunked twice", "Transfer-Encoding: chunked, chunked\r\n", CHUNKS},
	{"chunked in two lines", CHUNKED + CHUNKED, CHUNKS},
	{"chunked with a parameter", "Transfer-Encoding: chunked;q=1\r\n",
	 CHUNKS},
	{"chunked and a tab", "Transfer-Encoding: chunked\t\r\n", CHUNKS},
	{"identity", "Transfer-Encoding: identity\r\n", "hello"},
	{"empty coding", "Transfer-Encoding:\r\n", "hello"},
};

const Form WELL_FORMED[] = {
	{"length", LENGTH, "hello"},
	{"chunks", CHUNKED, CHUNKS},
	{"chunks in other letters", "TRANSFER-encoding:  Chunked \r\n", CHUNKS},
	{"empty value", LENGTH + "X:\r\n", "hello"},
	{"no space behind the colon", LENGTH + "X:1\r\n", "hello"},
	{"all kinds of token bytes", LENGTH + "!#$%&'*+-.^_`|~09Az: 1\r\n",
	 "hello"},
	{"tab and letters above ASCII in a value",
	 LENGTH + "X: a\tb\xc3\xb5\xff\r\n", "hello"},
	{"spaces around a value", LENGTH + "X: \t 1 \t\r\n", "hello"},
	{"trailers", CHUNKED, "5\r\nhello\r\n0\r\nX: 1\r\n\r\n"},
	{"extension of a chunk", CHUNKED, "5;a=b\r\nhello\r\n0\r\n\r\n"},
};

const char *const START_LINES[] = {"HTTP/1.1 200 OK\r\n", "PUT / HTTP/1.1\r\n"};

/* Pieces of this many bytes, and the message as a whole. */
const size_t PIECES[] = {1, 2, 3, 7, 4096};

/* Guards against bytes that are no answer and are handed on as one. */
TEST(Grammar, MalformedHeadsAreNotHandedOn)
{
	for (bool is_request : {false, true}) {
		for (const Form &form : MALFORMED) {
			for (size_t piece_bytes : PIECES) {
				std::string message = START_LINES[is_request] +
						      form.lines + "\r\n" +
						      form.body;
				Outcome outcome =
					read_message(is_request, message,
						     piece_bytes);

				SCOPED_TRACE(testing::Message()
					     << form.name << ", "
					     << START_LINES[is_request] << ", "
					     << piece_bytes << " bytes");
				EXPECT_TRUE(outcome.malformed);
				EXPECT_EQ(0, outcome.heads);
				EXPECT_EQ(0, outcome.completes);
			}
		}
	}
}

TEST(Grammar, WellFormedMessagesAreRead)
{
	for (bool is_request : {false, true}) {
		for (const Form &form : WELL_FORMED) {
			for (size_t piece_bytes : PIECES) {
				std::string message = START_LINES[is_request] +
						      form.lines + "\r\n" +
						      form.body;
				/* Two messages, one behind the other. */
				Outcome outcome =
					read_message(is_request,
						     message + message,
						     piece_bytes);

				SCOPED_TRACE(testing::Message()
					     << form.name << ", "
					     << START_LINES[is_request] << ", "
					     << piece_bytes << " bytes");
				EXPECT_FALSE(outcome.malformed);
				EXPECT_EQ(2, outcome.heads);
				EXPECT_EQ(2, outcome.completes);
				EXPECT_EQ("hellohello", outcome.body);
			}
		}
	}
}

/* The head of a second message is checked like that of the first one. */
TEST(Grammar, MalformedHeadBehindAMessageIsNotHandedOn)
{
	for (bool is_request : {false, true}) {
		for (const Form &first : WELL_FORMED) {
			for (size_t piece_bytes : PIECES) {
				std::string start = START_LINES[is_request];
				Outcome outcome = read_message(
					is_request,
					start + first.lines + "\r\n" +
						first.body + start + LENGTH +
						"X: 1\r\n 2\r\n\r\nhello",
					piece_bytes);

				SCOPED_TRACE(testing::Message()
					     << first.name << ", " << start
					     << ", " << piece_bytes);
				EXPECT_TRUE(outcome.malformed);
				EXPECT_EQ(1, outcome.heads);
				EXPECT_EQ(1, outcome.completes);
			}
		}
	}
}

/* What follows the last chunk is not handed on, but has to be HTTP as well. */
TEST(Grammar, MalformedTrailersEndTheMessage)
{
	for (const char *trailer :
	     {"X : 1\r\n", ": 1\r\n", "X Y: 1\r\n", "X: a\x01\r\n",
	      "X: a\rb\r\n", "Xyz\r\n", "X: 1\r\n 2\r\n"}) {
		for (size_t piece_bytes : PIECES) {
			Outcome outcome =
				read_message(false,
					     START_LINES[0] + CHUNKED +
						     "\r\n5\r\nhello\r\n0\r\n" +
						     trailer + "\r\n",
					     piece_bytes);

			SCOPED_TRACE(testing::Message()
				     << trailer << ", " << piece_bytes);
			EXPECT_TRUE(outcome.malformed);
			EXPECT_EQ(0, outcome.completes);
		}
	}
}

TEST(Grammar, OtherStartLinesAreNotHandedOn)
{
	for (const char *line :
	     {"HTTP/0.9 200 OK\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/3 200 OK\r\n",
	      "HTTPS/1.1 200 OK\r\n", "ICY 200 OK\r\n", "HTTP/1.1 2x0 OK\r\n",
	      "HTTP/1.1 200 OK\rX: 1\r\n"}) {
		Outcome outcome =
			read_message(false, line + LENGTH + "\r\nhello", 4096);

		SCOPED_TRACE(line);
		EXPECT_TRUE(outcome.malformed);
		EXPECT_EQ(0, outcome.heads);
	}
}

} // namespace
