#include "quetzalloft/gate_usage.h"

void ql_gate_usage_advance(ql_gate_usage_t *usage, uint32_t in_progress,
			   uint64_t now_us)
{
	if (usage->counted_us && now_us > usage->counted_us)
		usage->busy_us += in_progress * (now_us - usage->counted_us);
	usage->counted_us = MAX(now_us, usage->counted_us);
}

double ql_gate_usage_utilization(const ql_gate_usage_t *from,
				 const ql_gate_usage_t *to, uint32_t slots)
{
	uint64_t span_us = to->counted_us - from->counted_us;

	if (!from->counted_us || !span_us || !slots)
		return 0;
	return (double)(to->busy_us - from->busy_us) /
	       ((double)span_us * slots);
}

ql_gate_usage_class_t ql_gate_usage_class_delta(const ql_gate_usage_t *from,
						const ql_gate_usage_t *to,
						uint32_t order)
{
	const ql_gate_usage_class_t *a = &from->classes[order];
	const ql_gate_usage_class_t *b = &to->classes[order];

	return (ql_gate_usage_class_t){
		.offered = b->offered - a->offered,
		.admitted = b->admitted - a->admitted,
		.refused = b->refused - a->refused,
		.late = b->late - a->late,
		.waited_us = b->waited_us - a->waited_us,
	};
}
