#ifndef QUETZALLOFT_METADATA_H
#define QUETZALLOFT_METADATA_H

/**
 * DOC: Metadata of the protocol between nodes, sent in the HTTP headers of a
 * call and of its answer.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/*
 * Names of the headers. &struct ql_metadata describes the values, except that
 * of Retry-After, which is a header of HTTP.
 */
#define QL_HEADER_KEY "Idempotency-Key"
#define QL_HEADER_TIMEOUT "Quetzalloft-Timeout-Ms"
#define QL_HEADER_ATTEMPTS "Quetzalloft-Attempts"
#define QL_HEADER_CLASS "Quetzalloft-Class"
#define QL_HEADER_ATTEMPT_ID "Quetzalloft-Attempt-Id"
#define QL_HEADER_VERSION "Quetzalloft-Config-Version"
#define QL_HEADER_SERVICE "Quetzalloft-Service"
#define QL_HEADER_UNDER_WAY "Quetzalloft-Under-Way"
#define QL_HEADER_REPEAT "Quetzalloft-Repeat"
#define QL_HEADER_IDEMPOTENT "Quetzalloft-Idempotent"
#define QL_HEADER_SEAL "Quetzalloft-Seal"
#define QL_HEADER_CLOCK "Quetzalloft-Clock"
#define QL_HEADER_OUTCOME "Quetzalloft-Outcome"
#define QL_HEADER_REASON "Quetzalloft-Reason"
#define QL_HEADER_ATTEMPTS_UNUSED "Quetzalloft-Attempts-Unused"
#define QL_HEADER_LOAD_LEVEL "Quetzalloft-Load-Level"
#define QL_HEADER_PRESSURE "Quetzalloft-Pressure"
#define QL_HEADER_OCCUPANCY "Quetzalloft-Occupancy"
#define QL_HEADER_RETRY_AFTER "Retry-After"

/** Largest value of the header with the timeout. */
#define QL_TIMEOUT_MAX_MS 600000ULL
/** Value of the pressure header for a pressure of 1: it is in thousandths. */
#define QL_PRESSURE_SCALE 1000.0
/** Largest value of the pressure header. */
#define QL_PRESSURE_MAX_PERMILLE 1000000ULL
/** Value of the occupancy header for an occupancy of 1. */
#define QL_OCCUPANCY_SCALE 1000.0
/** Largest value of the occupancy header. */
#define QL_OCCUPANCY_MAX_PERMILLE 100000ULL

/**
 * struct ql_metadata - Parsed metadata of a call or of its answer.
 * @has: which fields are set: bits of &enum ql_metadata_bits
 * @timeout_ms: time until the deadline of the call
 * @attempts: allowance of attempts lent to the callee, with this attempt
 * @attempts_unused: attempts of the allowance that the callee did not use
 * @version: version of the configuration document of the sender
 * @clock: hybrid logical clock of the sender
 * @load_level: load level of the gate that answers, see ql_gate_load_level()
 * @pressure: pressure of the call in thousandths, see quetzalloft/pressure.h
 * @occupancy: occupancy of the gate that answers in thousandths, see
 *             ql_gate_occupancy()
 * @attempt: identity of the attempt
 * @key: idempotency key
 * @class_name: name of the class of the client request
 * @service: name of the called service
 * @under_way: 1 if other calls of the client request have already run, else 0
 * @repeat: 1 if the call repeats one that may have reached an endpoint, or is
 *          made by a run that does, else 0
 * @idempotent: 1 if the request may be retried, and cancelled while it runs,
 *              else 0
 * @seal: 1 if the idempotency key is to be sealed when the request is refused,
 *        so that no copy will run, else 0
 * @outcome: outcome of the call
 * @reason: reason if there is no answer of the endpoint
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
	uint64_t occupancy;
	ql_attempt_id_t attempt;
	char key[QL_KEY_MAX];
	char class_name[QL_NAME_MAX];
	char service[QL_NAME_MAX];
	uint64_t under_way;
	uint64_t repeat;
	uint64_t idempotent;
	uint64_t seal;
	ql_outcome_t outcome;
	ql_reason_t reason;
} ql_metadata_t;

/**
 * enum ql_metadata_bits - Bits of &struct ql_metadata.has, one for each field.
 */
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
	QL_HAS_REPEAT = 1 << 16,
	QL_HAS_OCCUPANCY = 1 << 17,
};

/**
 * ql_metadata_init() - Initialize metadata with no field set.
 * @metadata: metadata
 */
void ql_metadata_init(ql_metadata_t *metadata);

/**
 * ql_metadata_add() - Parse one header and set its field.
 * @metadata: metadata
 * @name: name of the header; case is ignored
 * @value: value of the header
 * @error: set after a failure; may be NULL
 *
 * A header that is not part of the protocol is ignored.
 *
 * Return: 0, QL_E_INVALID for a malformed value, QL_E_RANGE for a number out of
 * range or a text that is empty or too long, QL_E_CONFLICT if the field is set
 * already.
 */
int ql_metadata_add(ql_metadata_t *metadata, const char *name,
		    const char *value, GError **error);

/**
 * ql_metadata_is_protocol_header() - Check whether a header belongs to the
 * protocol between nodes.
 * @name: name of the header; case is ignored
 *
 * Return: true for all QL_HEADER_ names except Retry-After.
 */
bool ql_metadata_is_protocol_header(const char *name);

/**
 * typedef ql_metadata_emit_t - Callback of ql_metadata_emit() for one header.
 * @data: data of the caller
 * @name: name of the header
 * @value: value of the header; valid during the call
 */
typedef void (*ql_metadata_emit_t)(void *data, const char *name,
				   const char *value);

/**
 * ql_metadata_emit() - Format the headers of all fields that are set.
 * @metadata: metadata
 * @emit: called for each header
 * @data: passed to @emit
 */
void ql_metadata_emit(const ql_metadata_t *metadata, ql_metadata_emit_t emit,
		      void *data);

/**
 * ql_remaining_ms() - Compute the value of the header with the timeout.
 * @deadline_us: deadline
 * @now_us: current time
 *
 * Return: milliseconds until the deadline, rounded up; from 1, also after the
 * deadline, to QL_TIMEOUT_MAX_MS.
 */
uint64_t ql_remaining_ms(uint64_t deadline_us, uint64_t now_us);

/**
 * ql_attempt_format() - Format the identity of an attempt.
 * @out: buffer of QL_ATTEMPT_TEXT_MAX bytes; set to the text with NUL
 * @attempt: identity
 */
void ql_attempt_format(char *out, const ql_attempt_id_t *attempt);

/**
 * ql_attempt_parse() - Parse the identity of an attempt.
 * @out: set to the identity; unchanged after a failure
 * @text: 16 hex digits, a dash, 16 hex digits
 *
 * Return: 0, or QL_E_INVALID if the text is malformed.
 */
int ql_attempt_parse(ql_attempt_id_t *out, const char *text);

G_END_DECLS

#endif
