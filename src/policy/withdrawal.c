#include "quetzalloft/withdrawal.h"

#include <string.h>

void ql_withdrawal_init(ql_withdrawal_t *withdrawal, const char *instance,
			uint64_t started_ms, uint64_t sequence)
{
	memset(withdrawal, 0, sizeof(*withdrawal));
	g_strlcpy(withdrawal->instance, instance, sizeof(withdrawal->instance));
	withdrawal->started_ms = started_ms;
	withdrawal->sequence = sequence;
}

static bool is_later(const ql_withdrawal_t *a, const ql_withdrawal_t *b)
{
	if (a->started_ms != b->started_ms)
		return a->started_ms > b->started_ms;
	if (a->sequence != b->sequence)
		return a->sequence > b->sequence;
	return strcmp(a->instance, b->instance) > 0;
}

bool ql_withdrawal_merge(ql_withdrawal_t *withdrawal,
			 const ql_withdrawal_t *other)
{
	if (!is_later(other, withdrawal))
		return false;
	*withdrawal = *other;
	return true;
}

bool ql_withdrawal_covers(const ql_withdrawal_t *withdrawal,
			  const ql_instance_report_t *report)
{
	if (strcmp(withdrawal->instance, report->instance) != 0)
		return false;
	if (report->incarnation != withdrawal->started_ms)
		return report->incarnation < withdrawal->started_ms;
	return report->sequence <= withdrawal->sequence;
}
