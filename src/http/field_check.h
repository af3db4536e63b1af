#ifndef QL_HTTP_FIELD_CHECK_H
#define QL_HTTP_FIELD_CHECK_H

/**
 * DOC: Check of header and trailer lines by the grammar of RFC 9110, section
 * 5.5, and RFC 9112, section 5. http-parser takes lines that other
 * implementations read differently or refuse: names with a space, and lines
 * that continue the one before.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/**
 * typedef ql_field_state_t - Where the check is.
 * @QL_FIELD_BEFORE_START: before the start line, where empty lines may be
 * @QL_FIELD_START_LINE: in the start line; only its end is checked
 * @QL_FIELD_START_CR: behind the CR of the start line
 * @QL_FIELD_LINE: at the begin of a header line, or of the empty line at the
 *                 end
 * @QL_FIELD_NAME: in a name
 * @QL_FIELD_VALUE: in a value
 * @QL_FIELD_VALUE_CR: behind the CR of a header line
 * @QL_FIELD_END_CR: behind the CR of the empty line
 * @QL_FIELD_END: behind the empty line; further bytes are not checked
 */
typedef enum ql_field_state {
	QL_FIELD_BEFORE_START,
	QL_FIELD_START_LINE,
	QL_FIELD_START_CR,
	QL_FIELD_LINE,
	QL_FIELD_NAME,
	QL_FIELD_VALUE,
	QL_FIELD_VALUE_CR,
	QL_FIELD_END_CR,
	QL_FIELD_END,
} ql_field_state_t;

/**
 * ql_field_check() - Check bytes up to the end of the header or the trailers.
 * @state: QL_FIELD_BEFORE_START for a message, QL_FIELD_LINE for its trailers;
 *         updated
 * @bytes: the next bytes
 * @length: number of bytes; those behind QL_FIELD_END are ignored
 *
 * Return: false if a line is malformed.
 */
bool ql_field_check(ql_field_state_t *state, const char *bytes, size_t length);

G_END_DECLS

#endif
