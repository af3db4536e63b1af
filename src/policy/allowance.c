#include "quetzalloft/allowance.h"

void ql_allowance_init(ql_allowance_t *allowance, uint32_t attempts)
{
	allowance->remaining = attempts;
}

/*
 * Returns how many of the spare attempts to lend to the callee for its own
 * retries. The attempts of one complete retry stay with the caller if there are
 * enough.
 */
static uint32_t lendable_spare(uint32_t need, uint32_t spare)
{
	return spare > need ? spare - need : spare;
}

uint32_t ql_allowance_lend(ql_allowance_t *allowance, uint32_t need,
			   uint32_t reserve)
{
	uint32_t spare, lent;

	if (!need || allowance->remaining < need)
		return 0;
	spare = allowance->remaining - need;
	spare = spare > reserve ? spare - reserve : 0;
	lent = need > 1 ? need + lendable_spare(need, spare) : need;
	allowance->remaining -= lent;
	return lent;
}

void ql_allowance_return(ql_allowance_t *allowance, uint32_t lent,
			 uint32_t unused)
{
	if (!lent)
		return;
	allowance->remaining += MIN(unused, lent - 1);
}

void ql_allowance_cancel(ql_allowance_t *allowance, uint32_t lent)
{
	allowance->remaining += lent;
}

uint32_t ql_allowance_compute_reserve(const ql_document_t *doc,
				      uint16_t service, uint64_t started,
				      uint16_t callee)
{
	const ql_service_t *caller = &doc->services[service];
	uint32_t reserve = 0;
	uint16_t i;

	for (i = 0; i < caller->n_calls; i++)
		if (!(started >> i & 1) && caller->calls[i] != callee)
			reserve += doc->services[caller->calls[i]]
					   .subtree_attempts;
	return reserve;
}
