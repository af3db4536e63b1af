#include "http/reader.h"

#include <string.h>
#include <strings.h>

#define INITIAL_TARGET_BYTES 128u
#define PARSER_PAUSED 1
#define PARSER_SKIP_BODY 1

static int on_begin(http_parser *parser)
{
	ql_http_reader_t *reader = parser->data;

	ql_headers_clear(&reader->headers);
	g_string_truncate(reader->target, 0);
	reader->started = true;
	reader->in_value = true;
	reader->head_bytes = 0;
	return 0;
}

static int on_target(http_parser *parser, const char *bytes, size_t length)
{
	ql_http_reader_t *reader = parser->data;

	g_string_append_len(reader->target, bytes, (gssize)length);
	reader->head_bytes += length;
	return 0;
}

static int on_name(http_parser *parser, const char *bytes, size_t length)
{
	ql_http_reader_t *reader = parser->data;

	ql_headers_add_name(&reader->headers, bytes, length, reader->in_value);
	reader->in_value = false;
	reader->head_bytes += length;
	return 0;
}

static int on_value(http_parser *parser, const char *bytes, size_t length)
{
	ql_http_reader_t *reader = parser->data;

	/* Trailers are added too, but after the owner has read the headers. */
	ql_headers_add_value(&reader->headers, bytes, length,
			     !reader->in_value);
	reader->in_value = true;
	reader->head_bytes += length;
	return 0;
}

static int on_head(http_parser *parser)
{
	ql_http_reader_t *reader = parser->data;

	/* Protocol upgrades are not supported. */
	parser->upgrade = 0;
	if (!reader->ops->head(reader->data, reader))
		return -1;
	return reader->bodiless ? PARSER_SKIP_BODY : 0;
}

static int on_body(http_parser *parser, const char *bytes, size_t length)
{
	ql_http_reader_t *reader = parser->data;

	reader->ops->body(reader->data, bytes, length);
	return 0;
}

static int on_complete(http_parser *parser)
{
	ql_http_reader_t *reader = parser->data;

	reader->started = false;
	if (!reader->ops->complete(reader->data, reader))
		http_parser_pause(parser, PARSER_PAUSED);
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void ql_http_reader_init(ql_http_reader_t *reader, bool requests,
			 const ql_http_reader_ops_t *ops, void *data)
{
	memset(reader, 0, sizeof(*reader));
	http_parser_init(&reader->parser,
			 requests ? HTTP_REQUEST : HTTP_RESPONSE);
	reader->parser.data = reader;
	reader->ops = ops;
	reader->data = data;
	ql_headers_init(&reader->headers);
	reader->target = g_string_sized_new(INITIAL_TARGET_BYTES);
}

void ql_http_reader_finish(ql_http_reader_t *reader)
{
	ql_headers_finish(&reader->headers);
	g_string_free(reader->target, TRUE);
}

ql_http_read_t ql_http_reader_feed(ql_http_reader_t *reader, const char *bytes,
				   size_t length, size_t *used)
{
	enum http_errno failure;

	*used = http_parser_execute(&reader->parser, &settings, bytes, length);
	failure = HTTP_PARSER_ERRNO(&reader->parser);
	if (failure == HPE_PAUSED || failure == HPE_CB_headers_complete)
		return QL_HTTP_READ_STOPPED;
	return failure == HPE_OK ? QL_HTTP_READ_MORE : QL_HTTP_READ_MALFORMED;
}

void ql_http_reader_resume(ql_http_reader_t *reader)
{
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED)
		http_parser_pause(&reader->parser, 0);
}

const char *ql_http_reader_method(const ql_http_reader_t *reader)
{
	return http_method_str((enum http_method)reader->parser.method);
}

unsigned int ql_http_reader_status(const ql_http_reader_t *reader)
{
	return reader->parser.status_code;
}

int64_t ql_http_reader_length(const ql_http_reader_t *reader)
{
	const char *value = ql_headers_get(&reader->headers, "content-length");

	return value ? g_ascii_strtoll(value, NULL, 10) : -1;
}

bool ql_http_reader_keep_alive(const ql_http_reader_t *reader)
{
	return http_should_keep_alive(&reader->parser);
}
