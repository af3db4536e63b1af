#ifndef QL_HTTP_HEADERS_H
#define QL_HTTP_HEADERS_H

/**
 * DOC: Header fields of one HTTP message, in the order of receipt.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_header_offsets - Position of one header in &ql_headers.text.
 * @name: byte offset of the name
 * @value: byte offset of the value; UINT32_MAX while there is no value
 */
typedef struct ql_header_offsets {
	uint32_t name;
	uint32_t value;
} ql_header_offsets_t;

/**
 * struct ql_headers - A list of headers.
 * @text: names and values, each terminated by NUL
 * @offsets: one &struct ql_header_offsets for each header
 */
typedef struct ql_headers {
	GString *text;
	GArray *offsets;
} ql_headers_t;

/**
 * ql_headers_init() - Initialize an empty list.
 * @headers: the list; release with ql_headers_finish()
 */
void ql_headers_init(ql_headers_t *headers);

/**
 * ql_headers_finish() - Free the names and values of a list.
 * @headers: the list
 */
void ql_headers_finish(ql_headers_t *headers);

/**
 * ql_headers_clear() - Remove all headers, but keep the memory for reuse.
 * @headers: the list
 */
void ql_headers_clear(ql_headers_t *headers);

/**
 * ql_headers_swap() - Swap the contents of two header lists.
 * @a: a list
 * @b: another list
 */
void ql_headers_swap(ql_headers_t *a, ql_headers_t *b);

/**
 * ql_headers_add() - Append a header.
 * @headers: the list
 * @name: name of the header; copied
 * @value: its value; copied
 */
void ql_headers_add(ql_headers_t *headers, const char *name, const char *value);

/**
 * ql_headers_add_name() - Append a fragment of a header name, as a parser
 * delivers it.
 * @headers: the list
 * @bytes: the fragment
 * @length: bytes of the fragment
 * @is_first: the fragment starts a new header
 */
void ql_headers_add_name(ql_headers_t *headers, const char *bytes,
			 size_t length, bool is_first);

/**
 * ql_headers_add_value() - Append a fragment of the value of the last header.
 * @headers: the list
 * @bytes: the fragment
 * @length: bytes of the fragment
 * @is_first: the fragment starts the value
 */
void ql_headers_add_value(ql_headers_t *headers, const char *bytes,
			  size_t length, bool is_first);

/**
 * ql_headers_count() - Count the headers of a list.
 * @headers: the list
 *
 * Return: number of headers.
 */
size_t ql_headers_count(const ql_headers_t *headers);

/**
 * ql_headers_name() - Read the name of a header.
 * @headers: the list
 * @index: index of the header, below ql_headers_count()
 *
 * Return: the name, valid until the list changes.
 */
const char *ql_headers_name(const ql_headers_t *headers, size_t index);

/**
 * ql_headers_value() - Read the value of a header.
 * @headers: the list
 * @index: index of the header, below ql_headers_count()
 *
 * Return: the value, valid until the list changes; "" if there is none.
 */
const char *ql_headers_value(const ql_headers_t *headers, size_t index);

/**
 * ql_headers_get() - Look up a header by name.
 * @headers: the list
 * @name: name of the header; case is ignored
 *
 * Return: the value of the first match, valid until the list changes; NULL if
 * there is no such header.
 */
const char *ql_headers_get(const ql_headers_t *headers, const char *name);

/**
 * ql_header_is_hop_by_hop() - Check whether a header is always hop-by-hop.
 * @name: name of the header; case is ignored
 *
 * Return: true for the headers of RFC 9110, section 7.6.1, and for those that
 * frame the body.
 */
bool ql_header_is_hop_by_hop(const char *name);

/**
 * ql_headers_connection_lists() - Check whether the sender of a message has
 * made a header hop-by-hop by listing it in a Connection header.
 * @headers: the headers of the message
 * @name: name of the header; case is ignored
 */
bool ql_headers_connection_lists(const ql_headers_t *headers, const char *name);

/**
 * ql_headers_write() - Append one header line.
 * @out: buffer to append to
 * @name: name of the header
 * @value: its value; bytes below a space are replaced by spaces
 */
void ql_headers_write(GByteArray *out, const char *name, const char *value);

/**
 * ql_headers_write_uint() - Append one header line with a decimal number.
 * @out: buffer to append to
 * @name: name of the header
 * @value: the number
 */
void ql_headers_write_uint(GByteArray *out, const char *name, uint64_t value);

G_END_DECLS

#endif
