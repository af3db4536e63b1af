#ifndef QL_HTTP_READER_H
#define QL_HTTP_READER_H

/**
 * DOC: Reads HTTP/1.1 messages from a stream of bytes. The parsing is
 * http-parser's; this module keeps the start line and headers of the message
 * and refuses framing that can be understood in two ways.
 */

#include "http/headers.h"

#include <http_parser.h>

G_BEGIN_DECLS

typedef struct ql_http_reader ql_http_reader_t;

/**
 * struct ql_http_reader_ops - What is done with a message.
 * @head: the start line and headers are complete
 * @body: a part of the body
 * @complete: the message is complete; false stops reading
 *
 * @head returns false to stop reading: the message is then not to be read on.
 */
typedef struct ql_http_reader_ops {
	bool (*head)(void *data, ql_http_reader_t *reader);
	void (*body)(void *data, const char *bytes, size_t length);
	bool (*complete)(void *data, ql_http_reader_t *reader);
} ql_http_reader_ops_t;

/**
 * struct ql_http_reader - The reader.
 * @headers: of the present message
 * @target: of a request
 * @started: bytes of the present message have come
 * @in_value: the last header has a part of its value
 * @bodiless: set by the owner when the answer is to a request that has none,
 *            such as HEAD
 * @head_bytes: size of the start line and headers so far
 */
struct ql_http_reader {
	http_parser parser;
	const ql_http_reader_ops_t *ops;
	void *data;
	ql_headers_t headers;
	GString *target;
	bool started;
	bool in_value;
	bool bodiless;
	size_t head_bytes;
};

/**
 * typedef ql_http_read_t - How reading went.
 * @QL_HTTP_READ_MORE: more bytes are needed
 * @QL_HTTP_READ_STOPPED: a callback stopped it
 * @QL_HTTP_READ_MALFORMED: the bytes are no HTTP message, or an ambiguous one
 */
typedef enum ql_http_read {
	QL_HTTP_READ_MORE,
	QL_HTTP_READ_STOPPED,
	QL_HTTP_READ_MALFORMED,
} ql_http_read_t;

void ql_http_reader_init(ql_http_reader_t *reader, bool requests,
			 const ql_http_reader_ops_t *ops, void *data);
void ql_http_reader_finish(ql_http_reader_t *reader);

/**
 * ql_http_reader_feed() - Read bytes.
 * @reader: the reader
 * @bytes: the bytes; none means that the stream has ended
 * @length: their number
 * @used: set to the bytes that were read
 *
 * Return: how it went.
 */
ql_http_read_t ql_http_reader_feed(ql_http_reader_t *reader, const char *bytes,
				   size_t length, size_t *used);

/**
 * ql_http_reader_resume() - Read on after a callback stopped it.
 */
void ql_http_reader_resume(ql_http_reader_t *reader);

const char *ql_http_reader_method(const ql_http_reader_t *reader);
unsigned int ql_http_reader_status(const ql_http_reader_t *reader);

/**
 * ql_http_reader_length() - The length of the body, as its header states it.
 *
 * Return: bytes, or -1 when the message does not state it.
 */
int64_t ql_http_reader_length(const ql_http_reader_t *reader);

/**
 * ql_http_reader_keeps_alive() - Whether the connection stays open behind the
 * present message.
 */
bool ql_http_reader_keep_alive(const ql_http_reader_t *reader);

G_END_DECLS

#endif
