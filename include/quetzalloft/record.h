#ifndef QUETZALLOFT_RECORD_H
#define QUETZALLOFT_RECORD_H

/**
 * DOC: Versions of endpoint records. The records of one endpoint are totally
 * ordered by their versions and the newest one wins, so that registrars and
 * nodes converge although messages are lost, repeated or reordered.
 */

#include "quetzalloft/types.h"

#include "control.h"

G_BEGIN_DECLS

/** Size of the key of a record, "service gate", in bytes with the NUL. */
#define QL_RECORD_KEY_MAX (QL_NAME_MAX + QL_ADDRESS_MAX)
/** Most slots of an endpoint. */
#define QL_SLOTS_MAX 65536u

/**
 * struct ql_record_version - Version of a record; the fields are compared in
 * this order.
 * @epoch: raised by the registrar that granted the lease whenever the endpoint
 *         returns or its description changes; from 1
 * @incarnation: identifies the start of the endpoint's process; later starts
 *               have higher numbers
 * @state: serving, leaving or gone; the later state is the newer one
 */
typedef struct ql_record_version {
	uint64_t epoch;
	uint64_t incarnation;
	ql_rpc_endpoint_state state;
} ql_record_version_t;

/**
 * struct ql_membership_rules - The rules that correct membership depends on.
 * @compare: returns above 0 when @a is newer than @b, 0 when they are equal,
 *           and below 0 when @a is older
 * @is_warm: returns whether a registrar that started at @started_ms has run for
 *           @warm_up_ms at @now_ms, so that every node of its failure domain
 *           has had time to renew its lease
 *
 * Production code always uses ql_membership_rules. Tests replace a rule to show
 * that their checks detect the violation.
 */
typedef struct ql_membership_rules {
	int (*compare)(const ql_record_version_t *a,
		       const ql_record_version_t *b);
	bool (*is_warm)(uint64_t started_ms, uint64_t warm_up_ms,
			uint64_t now_ms);
} ql_membership_rules_t;

/** The rules of production code. */
extern const ql_membership_rules_t ql_membership_rules;

/**
 * ql_record_version_of() - Return the version of a record.
 * @endpoint: the record as it is sent
 *
 * Return: epoch, incarnation and state of @endpoint.
 */
ql_record_version_t ql_record_version_of(const ql_rpc_endpoint *endpoint);

/**
 * ql_record_key() - Format the key of an endpoint from its service and gate.
 * @out: buffer of QL_RECORD_KEY_MAX bytes
 * @service: name of the service
 * @gate: "IP:port" of the gate
 */
void ql_record_key(char *out, const char *service, const char *gate);

/**
 * ql_record_digest() - Hash the key and the version of a record.
 * @service: name of the service
 * @gate: "IP:port" of the gate
 * @version: version of the record
 *
 * The digest of a set of records is the XOR of their digests.
 *
 * Return: the hash.
 */
uint64_t ql_record_digest(const char *service, const char *gate,
			  const ql_record_version_t *version);

/**
 * ql_record_check() - Validate a received record.
 * @endpoint: the record
 *
 * Return: 0 or QL_E_INVALID for a malformed name, gate address or state, or
 * more than QL_SLOTS_MAX slots.
 */
int ql_record_check(const ql_rpc_endpoint *endpoint);

/**
 * ql_name_is_valid() - Validate the name of a node, service or failure domain.
 * @name: the name
 *
 * Return: whether @name consists of 1 to QL_NAME_MAX - 1 ASCII letters, digits,
 * '.', '_' or '-'.
 */
bool ql_name_is_valid(const char *name);

G_END_DECLS

#endif
