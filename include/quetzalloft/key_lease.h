#ifndef QUETZALLOFT_KEY_LEASE_H
#define QUETZALLOFT_KEY_LEASE_H

/**
 * DOC: Whether a node may accept API keys. A document in force proves nothing
 * about a key that was withdrawn since, so a node accepts keys only while it
 * holds a proof that its document was the newest a short time ago. The times
 * are milliseconds of ql_clock_boot_ms(), which the caller passes.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * Part of a lease that is not used, in milliseconds: it covers the rounding of
 * the times and the difference of the rates of two clocks.
 */
#define QL_KEY_LEASE_MARGIN_MS 200u

/**
 * struct ql_key_proof - A proof that a version was the newest at some time.
 * @version: version of the document that the proof is about
 * @sent_ms: time at which the request was sent whose reply brought the proof
 * @age_ms: age of the proof at the sender of the reply, in milliseconds
 *
 * The reply was written after @sent_ms, so the proof is no older than @age_ms
 * before @sent_ms.
 */
typedef struct ql_key_proof {
	uint64_t version;
	uint64_t sent_ms;
	uint64_t age_ms;
} ql_key_proof_t;

/**
 * struct ql_key_lease - The permission of a node to accept API keys.
 * @lease_ms: duration of the permission after the time of its proof; 0 if keys
 *            are accepted without proof
 * @version: version that the newest proof is about
 * @proven_ms: time at which @version was the newest; 0 without a proof
 */
typedef struct ql_key_lease {
	uint64_t lease_ms;
	uint64_t version;
	uint64_t proven_ms;
} ql_key_lease_t;

/**
 * ql_key_lease_init() - Initialize a lease without a proof.
 * @lease: the lease
 * @lease_ms: duration, see &struct ql_key_lease
 */
void ql_key_lease_init(ql_key_lease_t *lease, uint64_t lease_ms);

/**
 * ql_key_lease_renew() - Take over a proof if it is newer than the present one.
 * @lease: the lease
 * @proof: the proof; ignored if it dates from before the start of the clock
 */
void ql_key_lease_renew(ql_key_lease_t *lease, const ql_key_proof_t *proof);

/**
 * ql_key_lease_is_valid() - Check whether API keys may be accepted.
 * @lease: the lease
 * @version: version of the document in force
 * @now_ms: current time, read after the request was received
 *
 * Return: true if a proof is newer than the lease less its margin and @version
 * is not older than that of the proof, or if no proof is needed.
 */
bool ql_key_lease_is_valid(const ql_key_lease_t *lease, uint64_t version,
			   uint64_t now_ms);

/**
 * ql_key_lease_age_ms() - Get the age of the newest proof.
 * @lease: the lease
 * @now_ms: current time
 *
 * Return: milliseconds; without a proof, the time since the start of the
 * machine.
 */
uint64_t ql_key_lease_age_ms(const ql_key_lease_t *lease, uint64_t now_ms);

G_END_DECLS

#endif
