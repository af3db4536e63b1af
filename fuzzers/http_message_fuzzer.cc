#include "http/reader.h"

#include <cstdlib>
#include <cstring>
#include <initializer_list>
#include <string>
#include <strings.h>

/* Bytes of the pieces in which a message arrives. */
constexpr size_t kPieceBytes = 7;

/* Aborts for a header line that is not a line of HTTP/1.1. */
static void check_line(const std::string &name, const std::string &value)
{
	if (name.empty())
		abort();
	for (char c : name)
		if (c <= ' ' || c == 0x7f || strchr("\"(),/:;<=>?@[\\]{}", c))
			abort();
	for (char c : value)
		if ((c >= 0 && c < ' ' && c != '\t') || c == 0x7f)
			abort();
}

/* Aborts for a body that has two framings, or one that is not known. */
static void check_framing(const ql_http_reader_t *reader)
{
	size_t n_lengths = 0, n_codings = 0;

	for (size_t i = 0; i < ql_headers_count(&reader->headers); i++) {
		const char *name = ql_headers_name(&reader->headers, i);

		n_lengths += !strcasecmp(name, "content-length");
		n_codings += !strcasecmp(name, "transfer-encoding");
	}
	if (n_lengths + n_codings > 1)
		abort();
	if (n_codings && !(reader->parser.flags & F_CHUNKED))
		abort();
}

static bool on_head(void *data, ql_http_reader_t *reader)
{
	ql_http_reader_length(reader);
	ql_http_reader_keep_alive(reader);
	for (size_t i = 0; i < ql_headers_count(&reader->headers); i++)
		check_line(ql_headers_name(&reader->headers, i),
			   ql_headers_value(&reader->headers, i));
	check_framing(reader);
	*(std::string *)data += "head;";
	return true;
}

static void on_body(void *data, const char *bytes, size_t length)
{
	((std::string *)data)->append(bytes, length);
}

static bool on_complete(void *data, ql_http_reader_t *)
{
	*(std::string *)data += "end;";
	return true;
}

static const ql_http_reader_ops_t ops = {on_head, on_body, on_complete};

/* Returns what the owner of the reader gets. */
static std::string feed(const char *bytes, size_t size, bool requests,
			size_t piece_bytes)
{
	ql_http_reader_t reader;
	std::string received;
	size_t used;

	ql_http_reader_init(&reader, requests, &ops, &received);
	while (size) {
		size_t length = size < piece_bytes ? size : piece_bytes;

		if (ql_http_reader_feed(&reader, bytes, length, &used) !=
		    QL_HTTP_READ_MORE)
			break;
		bytes += length;
		size -= length;
	}
	if (!size)
		ql_http_reader_feed(&reader, nullptr, 0, &used);
	ql_http_reader_finish(&reader);
	return received;
}

/*
 * Reads messages byte by byte and in pieces, as requests and as responses. What
 * a malformed message gives may differ in its length only, as a piece is
 * checked before it is parsed.
 */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *bytes = (const char *)data;

	for (bool requests : {true, false}) {
		std::string most = feed(bytes, size, requests, 1);

		for (size_t piece_bytes : {size + 1, kPieceBytes}) {
			std::string part =
				feed(bytes, size, requests, piece_bytes);

			if (most.compare(0, part.size(), part) != 0)
				abort();
		}
	}
	return 0;
}
