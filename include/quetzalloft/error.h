#ifndef QUETZALLOFT_ERROR_H
#define QUETZALLOFT_ERROR_H

/**
 * DOC: Error codes.
 *
 * A function that can fail returns 0 or a negative &enum ql_error_code. It
 * stores the code and a message in its GError out-parameter unless that is
 * NULL. A message is valid UTF-8, whatever its arguments are.
 */

#include <glib.h>

G_BEGIN_DECLS

/**
 * enum ql_error_code - Error codes.
 * @QL_OK: no failure
 * @QL_E_NOMEM: out of memory
 * @QL_E_INVALID: a value is malformed
 * @QL_E_RANGE: a number is outside its allowed range
 * @QL_E_TYPE: a JSON value has the wrong type
 * @QL_E_UNKNOWN_KEY: a JSON object has a key that is not defined
 * @QL_E_MISSING_KEY: a JSON object lacks a required key
 * @QL_E_NOT_FOUND: the named item does not exist
 * @QL_E_EXISTS: the item exists already
 * @QL_E_FULL: a bounded table, queue or ring is full
 * @QL_E_IO: a file or socket operation failed
 * @QL_E_CORRUPT: stored data does not match its checksum
 * @QL_E_STALE: a patch has an old base version, or a request an old sequence
 *              number
 * @QL_E_CONFLICT: an identifier was reused with different content
 * @QL_E_PENDING: the operation is in progress
 * @QL_E_NOT_LEADER: this replica is not the leader
 * @QL_E_UNAVAILABLE: no quorum or no peer can be reached
 * @QL_E_TIMEOUT: the deadline passed
 * @QL_E_PROTOCOL: a peer violated the protocol
 * @QL_E_DENIED: the peer belongs to another cluster or claims another identity
 * @QL_E_CANCELLED: the caller cancelled the operation
 * @QL_E_TOO_LARGE: a body or record exceeds its size limit
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

/** GError domain of this library. */
#define QL_ERROR (ql_error_quark())

/**
 * ql_error_quark() - Get the GError domain of this library.
 *
 * Return: the quark of the domain.
 */
GQuark ql_error_quark(void);

/**
 * ql_error_set() - Set an error.
 * @error: set to a new GError, or NULL
 * @code: the error code
 * @format: printf-style message for the operator
 * @...: arguments of @format
 *
 * Return: @code, so that a caller can write ``return ql_error_set(...)``.
 */
int ql_error_set(GError **error, ql_error_code_t code, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/**
 * ql_error_set_errno() - Set the error QL_E_IO after a failed system call. The
 * text of @errnum is appended to the message.
 * @error: set to a new GError, or NULL
 * @errnum: value of errno
 * @format: printf-style description of the operation that failed
 * @...: arguments of @format
 *
 * Return: QL_E_IO.
 */
int ql_error_set_errno(GError **error, int errnum, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

/**
 * ql_error_name() - Get the name of an error code, which never changes.
 * @code: the error code
 *
 * Return: a static string such as "stale"; "other" for an unknown code.
 */
const char *ql_error_name(int code);

G_END_DECLS

#endif
