#ifndef QL_HTTP_READER_H
#define QL_HTTP_READER_H

/**
 * DOC: Incremental reader of HTTP/1.1 messages. http-parser does the parsing;
 * this module stores the start line and headers of the current message and
 * rejects malformed header lines and ambiguous framing. Neither reaches the
 * owner.
 */

#include "http/field_check.h"
#include "http/headers.h"

#include <http_parser.h>

G_BEGIN_DECLS

typedef struct ql_http_reader ql_http_reader_t;

/**
 * struct ql_http_reader_ops - Callbacks for one message.
 * @head: the start line and headers are complete; returns false to stop reading
 *        for good, as the rest of the message cannot be read afterwards
 * @body: a fragment of the body was read
 * @complete: the message is complete; returns false to stop reading until
 *            ql_http_reader_resume()
 */
typedef struct ql_http_reader_ops {
	bool (*head)(void *data, ql_http_reader_t *reader);
	void (*body)(void *data, const char *bytes, size_t length);
	bool (*complete)(void *data, ql_http_reader_t *reader);
} ql_http_reader_ops_t;

/**
 * struct ql_http_reader - State of a reader.
 * @parser: http-parser state
 * @ops: callbacks of the owner
 * @data: passed to @ops
 * @headers: headers of the current message
 * @target: request target of the current message
 * @started: the current message has begun and is not complete
 * @in_value: the last callback delivered a fragment of a header value
 * @bodiless: set by the owner when the response has no body whatever its
 *            headers say, as the response to HEAD
 * @head_bytes: bytes of the target and headers, including trailers, so far
 * @fields: check of the header lines, and of the trailers after it
 * @is_malformed: the framing of the current message is ambiguous or unknown
 * @is_stopped: the complete callback has stopped the reader
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
	ql_field_state_t fields;
	bool is_malformed;
	bool is_stopped;
};

/**
 * typedef ql_http_read_t - Result of reading bytes.
 * @QL_HTTP_READ_MORE: all bytes were used; more are needed
 * @QL_HTTP_READ_STOPPED: a callback stopped the reader
 * @QL_HTTP_READ_MALFORMED: the bytes are not an HTTP message, or one with
 *                          ambiguous framing
 */
typedef enum ql_http_read {
	QL_HTTP_READ_MORE,
	QL_HTTP_READ_STOPPED,
	QL_HTTP_READ_MALFORMED,
} ql_http_read_t;

/**
 * ql_http_reader_init() - Initialize a reader.
 * @reader: the reader; it must not move in memory
 * @requests: true to read requests, false to read responses
 * @ops: callbacks
 * @data: passed to @ops
 */
void ql_http_reader_init(ql_http_reader_t *reader, bool requests,
			 const ql_http_reader_ops_t *ops, void *data);

/**
 * ql_http_reader_finish() - Free the headers and the target.
 * @reader: the reader
 */
void ql_http_reader_finish(ql_http_reader_t *reader);

/**
 * ql_http_reader_feed() - Parse bytes and call the callbacks.
 * @reader: the reader
 * @bytes: the bytes
 * @length: number of bytes; 0 means end of stream
 * @used: set to the number of bytes parsed
 *
 * Return: see &enum ql_http_read.
 */
ql_http_read_t ql_http_reader_feed(ql_http_reader_t *reader, const char *bytes,
				   size_t length, size_t *used);

/**
 * ql_http_reader_resume() - Continue after the complete callback has stopped
 * the reader.
 * @reader: the reader
 */
void ql_http_reader_resume(ql_http_reader_t *reader);

/**
 * ql_http_reader_method() - Read the method of the current request.
 * @reader: the reader
 *
 * Return: a static string.
 */
const char *ql_http_reader_method(const ql_http_reader_t *reader);

/**
 * ql_http_reader_status() - Read the status of the current response.
 * @reader: the reader
 *
 * Return: the HTTP status code.
 */
unsigned int ql_http_reader_status(const ql_http_reader_t *reader);

/**
 * ql_http_reader_length() - Read the Content-Length of the current message.
 * @reader: the reader
 *
 * Return: bytes, or -1 if the message has no Content-Length.
 */
int64_t ql_http_reader_length(const ql_http_reader_t *reader);

/**
 * ql_http_reader_keep_alive() - Check whether the connection is persistent
 * after the current message.
 * @reader: the reader, after the headers are complete
 *
 * Return: false if the connection must be closed after the message.
 */
bool ql_http_reader_keep_alive(const ql_http_reader_t *reader);

G_END_DECLS

#endif
