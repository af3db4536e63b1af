#include "http/reader.h"

#include <cstdlib>
#include <initializer_list>

/* Bytes of the pieces in which a message arrives. */
constexpr size_t kPieceBytes = 7;

static bool on_head(void *, ql_http_reader_t *reader)
{
	ql_http_reader_length(reader);
	ql_http_reader_keep_alive(reader);
	for (size_t i = 0; i < ql_headers_count(&reader->headers); i++)
		if (!ql_headers_name(&reader->headers, i) ||
		    !ql_headers_value(&reader->headers, i))
			abort();
	return true;
}

static void on_body(void *, const char *, size_t)
{
}

static bool on_complete(void *, ql_http_reader_t *)
{
	return true;
}

static const ql_http_reader_ops_t ops = {on_head, on_body, on_complete};

static void feed(const char *bytes, size_t size, bool requests,
		 size_t piece_bytes)
{
	ql_http_reader_t reader;
	size_t used;

	ql_http_reader_init(&reader, requests, &ops, nullptr);
	while (size) {
		size_t length = size < piece_bytes ? size : piece_bytes;

		if (ql_http_reader_feed(&reader, bytes, length, &used) !=
		    QL_HTTP_READ_MORE)
			break;
		bytes += length;
		size -= length;
	}
	ql_http_reader_feed(&reader, nullptr, 0, &used);
	ql_http_reader_finish(&reader);
}

/* Reads a message at once and in pieces, as a request and as a response. */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	for (bool requests : {true, false})
		for (size_t piece_bytes : {size + 1, kPieceBytes})
			feed((const char *)data, size, requests, piece_bytes);
	return 0;
}
