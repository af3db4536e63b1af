#ifndef QUETZALLOFT_TYPES_H
#define QUETZALLOFT_TYPES_H

/**
 * DOC: Basic types and size limits that all packages share.
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
/** Maximum length of a chain of calls that a document may describe. */
#define QL_CALL_DEPTH_MAX 9

/**
 * typedef ql_handle_t - Handle of a row of a &struct ql_table: the index of the
 * row in the lower 20 bits, its generation in the upper 12.
 */
typedef uint32_t ql_handle_t;

/** The handle of no row. */
#define QL_HANDLE_NONE UINT32_MAX

/**
 * struct ql_attempt_id - Identity of an attempt.
 * @request: identity of the client request that the attempt belongs to
 * @attempt: identity of the attempt
 */
typedef struct ql_attempt_id {
	uint64_t request;
	uint64_t attempt;
} ql_attempt_id_t;

/**
 * enum ql_outcome - Outcome of a call.
 * @QL_OUTCOME_ANSWERED: an endpoint sent a complete answer
 * @QL_OUTCOME_NOT_RUN: no endpoint ran any copy of the request
 * @QL_OUTCOME_REFUSED: this copy of a request with an idempotency key did not
 *                      run; other copies may have run
 * @QL_OUTCOME_UNKNOWN: the request may have run
 * @QL_N_OUTCOMES: number of outcomes
 */
typedef enum ql_outcome {
	QL_OUTCOME_ANSWERED,
	QL_OUTCOME_NOT_RUN,
	QL_OUTCOME_REFUSED,
	QL_OUTCOME_UNKNOWN,
	QL_N_OUTCOMES,
} ql_outcome_t;

/**
 * enum ql_reason - Reason why a call was not answered.
 * @QL_REASON_NONE: no reason given
 * @QL_REASON_OVERLOAD: refused by overload control
 * @QL_REASON_DEADLINE: the deadline passed
 * @QL_REASON_DRAINING: the node or the endpoint is draining
 * @QL_REASON_NOT_READY: the node is not ready
 * @QL_REASON_NO_ROUTE: no route matches the request
 * @QL_REASON_NO_ENDPOINT: the service has no available endpoint
 * @QL_REASON_BAD_REQUEST: the request or its metadata is malformed
 * @QL_REASON_TOO_LARGE: the body exceeds its size limit
 * @QL_REASON_ATTEMPTS: the allowance of attempts is used up
 * @QL_REASON_RETRY_BUDGET: the retry budget is used up
 * @QL_REASON_CONNECT_FAILED: the request could not be sent
 * @QL_REASON_CONNECTION_LOST: the connection was lost after the request was
 *                             sent
 * @QL_REASON_BAD_ANSWER: the response was malformed
 * @QL_REASON_CANCELLED: the caller cancelled the call
 * @QL_REASON_GAVE_WAY: refused because it blocked a later request on a
 *                      pipelined connection
 * @QL_REASON_KEY_CONFLICT: the idempotency key was used for another request
 * @QL_REASON_KEY_IN_PROGRESS: a request with this idempotency key is in
 *                             progress
 * @QL_REASON_NO_QUORUM: no quorum of the keepers of the idempotency key could
 *                       be reached
 * @QL_REASON_ENDPOINT_REFUSED: the endpoint refused to run the request
 * @QL_REASON_UNKNOWN_KEY: no team holds the API key of the request, or it has
 *                         none and is no call of another request
 * @QL_REASON_UNKNOWN_CALLER: the request has no API key, and the request that
 *                            made it does not run at the local endpoint
 * @QL_REASON_NOT_CURRENT: this node cannot prove that its API keys are current
 * @QL_REASON_QUOTA: the quota of the team is used up
 * @QL_REASON_QUOTA_UNKNOWN: what is left of the quota of the team could not be
 *                           learned in time
 * @QL_N_REASONS: number of reasons
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
	QL_REASON_UNKNOWN_KEY,
	QL_REASON_UNKNOWN_CALLER,
	QL_REASON_NOT_CURRENT,
	QL_REASON_QUOTA,
	QL_REASON_QUOTA_UNKNOWN,
	QL_N_REASONS,
} ql_reason_t;

/**
 * ql_outcome_name() - Get the name of an outcome, as in headers and logs.
 * @outcome: the outcome; values from QL_N_OUTCOMES on abort the process
 *
 * Return: a static string such as "not-run".
 */
const char *ql_outcome_name(ql_outcome_t outcome);

/**
 * ql_reason_name() - Get the name of a reason, as in headers and logs.
 * @reason: the reason; values from QL_N_REASONS on abort the process
 *
 * Return: a static string such as "retry-budget".
 */
const char *ql_reason_name(ql_reason_t reason);

/**
 * ql_outcome_parse() - Find an outcome by its name.
 * @out: set to the outcome on success
 * @name: the name, as in a header
 *
 * Return: 0, or QL_E_INVALID if no outcome has this name.
 */
int ql_outcome_parse(ql_outcome_t *out, const char *name);

/**
 * ql_reason_parse() - Find a reason by its name.
 * @out: set to the reason on success
 * @name: the name, as in a header
 *
 * Return: 0, or QL_E_INVALID if no reason has this name.
 */
int ql_reason_parse(ql_reason_t *out, const char *name);

G_END_DECLS

#endif
