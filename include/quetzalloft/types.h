#ifndef QUETZALLOFT_TYPES_H
#define QUETZALLOFT_TYPES_H

/**
 * DOC: Small types and sizes that every package shares.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Bytes of a name (service, class, route, node, failure domain) with NUL. */
#define QL_NAME_MAX 64
/** Bytes of an "IP:port" address with NUL. */
#define QL_ADDRESS_MAX 64
/** Bytes of an idempotency key or patch id with NUL. */
#define QL_KEY_MAX 128
/** Bytes of an attempt identity in text with NUL: 16 + '-' + 16 hex digits. */
#define QL_ATTEMPT_TEXT_MAX 34
/** Longest chain of calls that a document may describe. */
#define QL_CALL_DEPTH_MAX 9

/**
 * typedef ql_handle_t - A row of a table: index in the lower 20 bits, the
 * generation of the row in the upper 12.
 */
typedef uint32_t ql_handle_t;

#define QL_HANDLE_NONE UINT32_MAX

/**
 * struct ql_attempt_id - The identity of one attempt.
 * @request: the client request that the attempt serves
 * @attempt: this attempt
 */
typedef struct ql_attempt_id {
	uint64_t request;
	uint64_t attempt;
} ql_attempt_id_t;

/**
 * enum ql_outcome - What is known about a call.
 * @QL_OUTCOME_ANSWERED: the endpoint gave its own whole answer
 * @QL_OUTCOME_NOT_RUN: no endpoint ran any copy of the request
 * @QL_OUTCOME_REFUSED: this copy of a keyed request did not run; of other
 *                      copies nothing is said
 * @QL_OUTCOME_UNKNOWN: the request may have run
 */
typedef enum ql_outcome {
	QL_OUTCOME_ANSWERED,
	QL_OUTCOME_NOT_RUN,
	QL_OUTCOME_REFUSED,
	QL_OUTCOME_UNKNOWN,
	QL_N_OUTCOMES,
} ql_outcome_t;

/**
 * enum ql_reason - Why a call did not end in an answer.
 */
typedef enum ql_reason {
	QL_REASON_NONE,
	QL_REASON_OVERLOAD,
	QL_REASON_DEADLINE,
	QL_REASON_DRAINING,
	QL_REASON_NOT_READY,
	QL_REASON_NO_ROUTE,
	QL_REASON_NO_ENDPOINT,
	QL_REASON_BAD_REQUEST,
	QL_REASON_TOO_LARGE,
	QL_REASON_ATTEMPTS,
	QL_REASON_RETRY_BUDGET,
	QL_REASON_CONNECT_FAILED,
	QL_REASON_CONNECTION_LOST,
	QL_REASON_BAD_ANSWER,
	QL_REASON_CANCELLED,
	QL_REASON_GAVE_WAY,
	QL_REASON_KEY_CONFLICT,
	QL_REASON_KEY_IN_PROGRESS,
	QL_REASON_NO_QUORUM,
	QL_REASON_ENDPOINT_REFUSED,
	QL_N_REASONS,
} ql_reason_t;

const char *ql_outcome_name(ql_outcome_t outcome);
const char *ql_reason_name(ql_reason_t reason);

/**
 * ql_outcome_parse() - Read an outcome from its header value.
 * @out: the outcome
 * @name: the value
 *
 * Return: 0 or QL_E_INVALID.
 */
int ql_outcome_parse(ql_outcome_t *out, const char *name);
int ql_reason_parse(ql_reason_t *out, const char *name);

G_END_DECLS

#endif
