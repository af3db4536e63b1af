#ifndef QUETZALLOFT_DURATION_H
#define QUETZALLOFT_DURATION_H

/**
 * DOC: Durations in text, a number with its unit.
 */

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * ql_duration_parse() - Parse a duration such as "1500ms" or "2.5s".
 * @out_ms: set to the duration in milliseconds, rounded; unchanged after a
 *          failure
 * @text: the duration: a number that is not negative, and the unit ms or s
 *
 * Return: 0 or QL_E_INVALID.
 */
int ql_duration_parse(uint64_t *out_ms, const char *text);

G_END_DECLS

#endif
