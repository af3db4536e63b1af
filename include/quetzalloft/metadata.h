#ifndef QUETZALLOFT_METADATA_H
#define QUETZALLOFT_METADATA_H

/**
 * DOC: What travels in the headers of a call and of its answer.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

#define QL_HEADER_KEY "Idempotency-Key"
#define QL_HEADER_TIMEOUT "Quetzalloft-Timeout-Ms"
#define QL_HEADER_ATTEMPTS "Quetzalloft-Attempts"
#define QL_HEADER_CLASS "Quetzalloft-Class"
#define QL_HEADER_ATTEMPT_ID "Quetzalloft-Attempt-Id"
#define QL_HEADER_VERSION "Quetzalloft-Config-Version"
#define QL_HEADER_SERVICE "Quetzalloft-Service"
#define QL_HEADER_UNDER_WAY "Quetzalloft-Under-Way"
#define QL_HEADER_IDEMPOTENT "Quetzalloft-Idempotent"
#define QL_HEADER_SEAL "Quetzalloft-Seal"
#define QL_HEADER_CLOCK "Quetzalloft-Clock"
#define QL_HEADER_OUTCOME "Quetzalloft-Outcome"
#define QL_HEADER_REASON "Quetzalloft-Reason"
#define QL_HEADER_ATTEMPTS_UNUSED "Quetzalloft-Attempts-Unused"
#define QL_HEADER_LOAD_LEVEL "Quetzalloft-Load-Level"
#define QL_HEADER_PRESSURE "Quetzalloft-Pressure"
#define QL_HEADER_RETRY_AFTER "Retry-After"

#define QL_TIMEOUT_MAX_MS 600000ULL
/** What a pressure of 1 is in its header. */
#define QL_PRESSURE_SCALE 1000.0
#define QL_PRESSURE_MAX_PERMILLE 1000000ULL

/**
 * struct ql_metadata - The headers of a call, parsed.
 * @has: which members were present, bits of &enum ql_metadata_bits
 * @timeout_ms: time that remains
 * @attempts: attempts that the callee may use, its own included
 * @attempts_unused: attempts that the callee gives back
 * @version: configuration version of the sender
 * @clock: hybrid logical clock of the sender
 * @load_level: load level of the answering gate
 * @pressure: how long the call, or one made for it, waited, in thousandths of
 *            what is bearable
 * @attempt: identity of the attempt
 * @key: idempotency key
 * @class_name: class of the client request
 * @service: the service that is called
 * @under_way: whether other calls of the client request have run already
 * @idempotent: whether the request may be repeated, and cancelled while it runs
 * @seal: whether a refused keyed request is to be sealed: it never runs then
 * @outcome: what is known about the call
 * @reason: why it was not answered
 */
typedef struct ql_metadata {
	uint32_t has;
	uint64_t timeout_ms;
	uint64_t attempts;
	uint64_t attempts_unused;
	uint64_t version;
	uint64_t clock;
	uint64_t load_level;
	uint64_t pressure;
	ql_attempt_id_t attempt;
	char key[QL_KEY_MAX];
	char class_name[QL_NAME_MAX];
	char service[QL_NAME_MAX];
	uint64_t under_way;
	uint64_t idempotent;
	uint64_t seal;
	ql_outcome_t outcome;
	ql_reason_t reason;
} ql_metadata_t;

enum ql_metadata_bits {
	QL_HAS_TIMEOUT = 1 << 0,
	QL_HAS_ATTEMPTS = 1 << 1,
	QL_HAS_ATTEMPTS_UNUSED = 1 << 2,
	QL_HAS_VERSION = 1 << 3,
	QL_HAS_CLOCK = 1 << 4,
	QL_HAS_LOAD_LEVEL = 1 << 5,
	QL_HAS_ATTEMPT = 1 << 6,
	QL_HAS_KEY = 1 << 7,
	QL_HAS_CLASS = 1 << 8,
	QL_HAS_SERVICE = 1 << 9,
	QL_HAS_UNDER_WAY = 1 << 10,
	QL_HAS_OUTCOME = 1 << 11,
	QL_HAS_REASON = 1 << 12,
	QL_HAS_IDEMPOTENT = 1 << 13,
	QL_HAS_SEAL = 1 << 14,
	QL_HAS_PRESSURE = 1 << 15,
};

void ql_metadata_init(ql_metadata_t *metadata);

/**
 * ql_metadata_add() - Take over one header.
 * @metadata: where to store it
 * @name: name of the header; case is ignored
 * @value: its value
 * @error: detail of a failure
 *
 * A header that is not one of ours is ignored.
 *
 * Return: 0, QL_E_INVALID for a malformed value, QL_E_RANGE for a number out
 * of range, QL_E_CONFLICT for a repeated header.
 */
int ql_metadata_add(ql_metadata_t *metadata, const char *name,
		    const char *value, GError **error);

/**
 * ql_metadata_is_protocol_header() - Whether a header is one of this protocol.
 * @name: name of the header; case is ignored
 *
 * Return: true for every QL_HEADER name but Retry-After.
 */
bool ql_metadata_is_protocol_header(const char *name);

/**
 * typedef ql_metadata_emit_t - Receives one header.
 */
typedef void (*ql_metadata_emit_t)(void *data, const char *name,
				   const char *value);

/**
 * ql_metadata_emit() - Hand out the headers whose bits are set.
 * @metadata: the headers
 * @emit: receives each
 * @data: passed to @emit
 */
void ql_metadata_emit(const ql_metadata_t *metadata, ql_metadata_emit_t emit,
		      void *data);

/**
 * ql_remaining_ms() - The time that is left, as it travels in a header.
 * @deadline_us: when the time is over
 * @now_us: the time
 *
 * Return: milliseconds, rounded up; from 1 to QL_TIMEOUT_MAX_MS.
 */
uint64_t ql_remaining_ms(uint64_t deadline_us, uint64_t now_us);

/**
 * ql_attempt_format() - Write an attempt identity as text.
 * @out: QL_ATTEMPT_TEXT_MAX bytes
 * @attempt: the identity
 */
void ql_attempt_format(char *out, const ql_attempt_id_t *attempt);

/**
 * ql_attempt_parse() - Read an attempt identity.
 * @out: the identity
 * @text: 16 hex digits, a dash, 16 hex digits
 *
 * Return: 0 or QL_E_INVALID.
 */
int ql_attempt_parse(ql_attempt_id_t *out, const char *text);

G_END_DECLS

#endif
