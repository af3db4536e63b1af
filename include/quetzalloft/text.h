#ifndef QUETZALLOFT_TEXT_H
#define QUETZALLOFT_TEXT_H

/**
 * DOC: Texts in UTF-8 in buffers of a fixed size.
 */

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/**
 * ql_text_copy() - Copy a text to a buffer; the copy is valid UTF-8.
 * @out: the buffer; always terminated by NUL
 * @size: size of @out in bytes, at least 1
 * @text: the text; bytes of it that are not UTF-8 are replaced by U+FFFD
 *
 * A text that is too long is cut before the first character that does not fit
 * as a whole.
 */
void ql_text_copy(char *out, size_t size, const char *text);

G_END_DECLS

#endif
