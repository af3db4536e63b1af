#include "quetzalloft/allowance.h"

void ql_allowance_init(ql_allowance_t *allowance, uint32_t attempts)
{
	allowance->remaining = attempts;
}

uint32_t ql_allowance_lend(ql_allowance_t *allowance, uint32_t need,
			   uint32_t reserve)
{
	uint32_t spare, lent;

	if (!need || allowance->remaining < need)
		return 0;
	spare = allowance->remaining - need;
	spare = spare > reserve ? spare - reserve : 0;
	lent = need > 1 ? need + spare / 2 : need;
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
