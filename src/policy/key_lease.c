#include "quetzalloft/key_lease.h"

void ql_key_lease_init(ql_key_lease_t *lease, uint64_t lease_ms)
{
	*lease = (ql_key_lease_t){.lease_ms = lease_ms};
}

void ql_key_lease_renew(ql_key_lease_t *lease, const ql_key_proof_t *proof)
{
	uint64_t proven_ms;

	if (proof->age_ms >= proof->sent_ms)
		return;
	proven_ms = proof->sent_ms - proof->age_ms;
	if (proven_ms <= lease->proven_ms)
		return;
	lease->proven_ms = proven_ms;
	lease->version = proof->version;
}

bool ql_key_lease_is_valid(const ql_key_lease_t *lease, uint64_t version,
			   uint64_t now_ms)
{
	if (!lease->lease_ms)
		return true;
	/* A proof from the future shows that the clock cannot be relied on. */
	if (!lease->proven_ms || lease->proven_ms > now_ms ||
	    version < lease->version)
		return false;
	return now_ms - lease->proven_ms + QL_KEY_LEASE_MARGIN_MS <
	       lease->lease_ms;
}

uint64_t ql_key_lease_age_ms(const ql_key_lease_t *lease, uint64_t now_ms)
{
	return now_ms - MIN(lease->proven_ms, now_ms);
}
