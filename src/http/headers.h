#ifndef QL_HTTP_HEADERS_H
#define QL_HTTP_HEADERS_H

/**
 * DOC: The headers of one HTTP message, in the order in which they came.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_header_offsets - Where one header stands in the text.
 * @name: offset of its name
 * @value: offset of its value
 */
typedef struct ql_header_offsets {
	uint32_t name;
	uint32_t value;
} ql_header_offsets_t;

/**
 * struct ql_headers - The headers.
 * @text: names and values, each ended by NUL
 * @offsets: one &struct ql_header_offsets for each header
 */
typedef struct ql_headers {
	GString *text;
	GArray *offsets;
} ql_headers_t;

void ql_headers_init(ql_headers_t *headers);
void ql_headers_finish(ql_headers_t *headers);
void ql_headers_clear(ql_headers_t *headers);

/**
 * ql_headers_swap() - Exchange the content of two lists.
 */
void ql_headers_swap(ql_headers_t *a, ql_headers_t *b);

void ql_headers_add(ql_headers_t *headers, const char *name, const char *value);

/**
 * ql_headers_add_name() - Append a part of a name, as a parser finds it.
 * @headers: the list
 * @bytes: the part
 * @length: its bytes
 * @is_first: whether a new header begins with it
 */
void ql_headers_add_name(ql_headers_t *headers, const char *bytes,
			 size_t length, bool is_first);

/**
 * ql_headers_add_value() - Append a part of the value of the last header.
 * @headers: the list
 * @bytes: the part
 * @length: its bytes
 * @is_first: whether the value begins with it
 */
void ql_headers_add_value(ql_headers_t *headers, const char *bytes,
			  size_t length, bool is_first);

size_t ql_headers_count(const ql_headers_t *headers);
const char *ql_headers_name(const ql_headers_t *headers, size_t index);
const char *ql_headers_value(const ql_headers_t *headers, size_t index);

/**
 * ql_headers_get() - Find a header.
 * @headers: the list
 * @name: its name; case is ignored
 *
 * Return: the value of the first one, or NULL.
 */
const char *ql_headers_get(const ql_headers_t *headers, const char *name);

/**
 * ql_headers_is_hop_by_hop() - Whether a header concerns one connection only.
 * @headers: the list, whose Connection header may name further ones
 * @name: the name
 *
 * Return: true for the headers of RFC 9110, section 7.6.1, for those that
 * frame the body, and for those that the Connection header names.
 */
bool ql_headers_is_hop_by_hop(const ql_headers_t *headers, const char *name);

/**
 * ql_headers_write() - Append one header line.
 * @out: where to append
 * @name: the name
 * @value: the value; bytes below a space become spaces
 */
void ql_headers_write(GByteArray *out, const char *name, const char *value);

/**
 * ql_headers_write_uint() - Append one header line with a number.
 */
void ql_headers_write_uint(GByteArray *out, const char *name, uint64_t value);

G_END_DECLS

#endif
