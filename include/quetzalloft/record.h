#ifndef QUETZALLOFT_RECORD_H
#define QUETZALLOFT_RECORD_H

/**
 * DOC: What is known of an endpoint, and which of two records of the same
 * endpoint is the newer one. Records are merged by a total order, so that
 * lost, repeated and reordered messages lead to the same knowledge.
 */

#include "quetzalloft/types.h"

#include "control.h"

G_BEGIN_DECLS

/** Bytes of the key of a record, "service gate", with NUL. */
#define QL_RECORD_KEY_MAX (QL_NAME_MAX + QL_ADDRESS_MAX)

/**
 * struct ql_record_version - Where a record stands in the order.
 * @epoch: raised by the registrar that holds the lease, whenever the endpoint
 *         returns or is described anew
 * @incarnation: start of the endpoint's process
 * @state: serving, leaving or gone; the later state wins
 */
typedef struct ql_record_version {
	uint64_t epoch;
	uint64_t incarnation;
	ql_rpc_endpoint_state state;
} ql_record_version_t;

/**
 * struct ql_membership_rules - The rules that keep membership sound; the
 * tests replace them to prove that their checks can fail.
 * @compare: above 0 when @a is newer than @b, 0 when they are alike
 * @is_warm: whether a registrar has run long enough for every node of its
 *           failure domain to have renewed
 */
typedef struct ql_membership_rules {
	int (*compare)(const ql_record_version_t *a,
		       const ql_record_version_t *b);
	bool (*is_warm)(uint64_t started_ms, uint64_t warm_up_ms,
			uint64_t now_ms);
} ql_membership_rules_t;

extern const ql_membership_rules_t ql_membership_rules;

ql_record_version_t ql_record_version_of(const ql_rpc_endpoint *endpoint);

/**
 * ql_record_key() - The identity of an endpoint: its service and gate.
 * @out: QL_RECORD_KEY_MAX bytes
 * @service: the service
 * @gate: "IP:port" of the gate
 */
void ql_record_key(char *out, const char *service, const char *gate);

/**
 * ql_record_digest() - Hash a record; digests of a set are joined by XOR.
 * @service: the service
 * @gate: "IP:port" of the gate
 * @version: the version of the record
 *
 * Return: the hash.
 */
uint64_t ql_record_digest(const char *service, const char *gate,
			  const ql_record_version_t *version);

/**
 * ql_record_check() - Whether a record may be taken in.
 * @endpoint: the record
 *
 * Return: 0 or QL_E_INVALID for a malformed name, address or state.
 */
int ql_record_check(const ql_rpc_endpoint *endpoint);

/**
 * ql_name_is_valid() - Whether a name may be used for a node or service.
 * @name: the name
 *
 * Return: whether it has 1 to QL_NAME_MAX - 1 letters, digits, '.', '_' or
 * '-'.
 */
bool ql_name_is_valid(const char *name);

G_END_DECLS

#endif
