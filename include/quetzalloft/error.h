#ifndef QUETZALLOFT_ERROR_H
#define QUETZALLOFT_ERROR_H

/**
 * DOC: Failure types.
 *
 * A function that can fail returns 0 or a negative &enum ql_error_code, and
 * stores the detail in its GError out-parameter when the caller gave one.
 */

#include <glib.h>

G_BEGIN_DECLS

/**
 * enum ql_error_code - The type of a failure.
 * @QL_OK: no failure
 * @QL_E_NOMEM: memory is exhausted
 * @QL_E_INVALID: a value is malformed
 * @QL_E_RANGE: a number is outside its allowed range
 * @QL_E_TYPE: a JSON value has the wrong type
 * @QL_E_UNKNOWN_KEY: a JSON object has a key that is not defined
 * @QL_E_MISSING_KEY: a JSON object lacks a required key
 * @QL_E_NOT_FOUND: the named item does not exist
 * @QL_E_EXISTS: the item exists already
 * @QL_E_FULL: a bounded table, queue or ring has no room
 * @QL_E_IO: a file or socket operation failed
 * @QL_E_CORRUPT: stored data does not match its checksum
 * @QL_E_STALE: a patch was written against an old version
 * @QL_E_CONFLICT: an identifier was reused with other content
 * @QL_E_PENDING: the operation is in progress
 * @QL_E_NOT_LEADER: this replica does not lead
 * @QL_E_UNAVAILABLE: no quorum or no peer can be reached
 * @QL_E_TIMEOUT: the deadline passed
 * @QL_E_PROTOCOL: a peer sent something that the protocol does not allow
 * @QL_E_DENIED: the peer belongs to another cluster or claims another identity
 * @QL_E_CANCELLED: the caller gave up
 * @QL_E_TOO_LARGE: a body or record is over its limit
 */
typedef enum ql_error_code {
	QL_OK = 0,
	QL_E_NOMEM = -1,
	QL_E_INVALID = -2,
	QL_E_RANGE = -3,
	QL_E_TYPE = -4,
	QL_E_UNKNOWN_KEY = -5,
	QL_E_MISSING_KEY = -6,
	QL_E_NOT_FOUND = -7,
	QL_E_EXISTS = -8,
	QL_E_FULL = -9,
	QL_E_IO = -10,
	QL_E_CORRUPT = -11,
	QL_E_STALE = -12,
	QL_E_CONFLICT = -13,
	QL_E_PENDING = -14,
	QL_E_NOT_LEADER = -15,
	QL_E_UNAVAILABLE = -16,
	QL_E_TIMEOUT = -17,
	QL_E_PROTOCOL = -18,
	QL_E_DENIED = -19,
	QL_E_CANCELLED = -20,
	QL_E_TOO_LARGE = -21,
} ql_error_code_t;

#define QL_ERROR (ql_error_quark())

/**
 * ql_error_quark() - The GError domain of this library.
 *
 * Return: the quark of the domain.
 */
GQuark ql_error_quark(void);

/**
 * ql_error_set() - Store a typed failure.
 * @error: where to store it, or NULL
 * @code: the type
 * @format: printf-style detail for the operator
 *
 * Return: @code, so that a caller can write ``return ql_error_set(...)``.
 */
int ql_error_set(GError **error, ql_error_code_t code, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/**
 * ql_error_set_errno() - Store a failed system call as QL_E_IO.
 * @error: where to store it, or NULL
 * @errnum: the value of errno
 * @format: printf-style description of what was tried
 *
 * Return: QL_E_IO.
 */
int ql_error_set_errno(GError **error, int errnum, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/**
 * ql_error_name() - The stable name of a failure type.
 * @code: the type
 *
 * Return: a static string such as "stale", or "other".
 */
const char *ql_error_name(int code);

G_END_DECLS

#endif
