#include "http/reader.h"

#include <string.h>
#include <strings.h>

#define INITIAL_TARGET_BYTES 128u
#define PARSER_PAUSED 1
#define PARSER_SKIP_BODY 1
#define CHUNKED "chunked"

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

/* Checks for the coding "chunked" and nothing else. */
static bool is_chunked(const char *value)
{
	size_t length = strlen(CHUNKED);

	value += strspn(value, " \t");
	return !strncasecmp(value, CHUNKED, length) &&
	       !value[length + strspn(value + length, " \t")];
}

/*
 * Checks that the body has one framing that this reader knows: a length, a
 * single chunked coding, or the end of the connection. The parser has refused
 * lengths that are malformed, repeated or beside a coding.
 */
static bool has_known_framing(const ql_http_reader_t *reader)
{
	size_t n_codings = 0, i;

	for (i = 0; i < ql_headers_count(&reader->headers); i++) {
		if (strcasecmp(ql_headers_name(&reader->headers, i),
			       "transfer-encoding") != 0)
			continue;
		if (!is_chunked(ql_headers_value(&reader->headers, i)))
			return false;
		n_codings++;
	}
	if (!n_codings)
		return true;
	/* HTTP/1.0 has no codings; the parser knows not all spellings. */
	return n_codings == 1 && reader->parser.http_minor &&
	       (reader->parser.flags & F_CHUNKED);
}

static int on_head(http_parser *parser)
{
	ql_http_reader_t *reader = parser->data;

	/* Protocol upgrades are not supported. */
	parser->upgrade = 0;
	if (parser->http_major != 1 || !has_known_framing(reader)) {
		reader->is_malformed = true;
		return -1;
	}
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
	reader->is_stopped = !reader->ops->complete(reader->data, reader);
	/* The next header is checked before it is parsed. */
	reader->fields = QL_FIELD_BEFORE_START;
	http_parser_pause(parser, PARSER_PAUSED);
	return 0;
}

static int on_chunk_size(http_parser *parser)
{
	ql_http_reader_t *reader = parser->data;

	/* Behind the last chunk are the trailers. */
	if (!parser->content_length) {
		reader->fields = QL_FIELD_LINE;
		http_parser_pause(parser, PARSER_PAUSED);
	}
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
	.on_chunk_header = on_chunk_size,
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

static ql_http_read_t read_result(const ql_http_reader_t *reader)
{
	switch (HTTP_PARSER_ERRNO(&reader->parser)) {
	case HPE_OK:
		return QL_HTTP_READ_MORE;
	case HPE_PAUSED:
		return QL_HTTP_READ_STOPPED;
	case HPE_CB_headers_complete:
		return reader->is_malformed ? QL_HTTP_READ_MALFORMED
					    : QL_HTTP_READ_STOPPED;
	default:
		return QL_HTTP_READ_MALFORMED;
	}
}

/* Parses bytes up to a pause; returns whether the reader goes on behind it. */
static bool parse(ql_http_reader_t *reader, const char *bytes, size_t length,
		  size_t *used)
{
	*used = http_parser_execute(&reader->parser, &settings, bytes, length);
	if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_PAUSED ||
	    reader->is_stopped)
		return false;
	http_parser_pause(&reader->parser, 0);
	return true;
}

ql_http_read_t ql_http_reader_feed(ql_http_reader_t *reader, const char *bytes,
				   size_t length, size_t *used)
{
	bool goes_on = true;
	size_t parsed;

	*used = 0;
	if (!length)
		parse(reader, NULL, 0, used);
	while (goes_on && *used < length) {
		if (!ql_field_check(&reader->fields, bytes + *used,
				    length - *used))
			return QL_HTTP_READ_MALFORMED;
		goes_on = parse(reader, bytes + *used, length - *used, &parsed);
		*used += parsed;
	}
	return read_result(reader);
}

void ql_http_reader_resume(ql_http_reader_t *reader)
{
	reader->is_stopped = false;
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
