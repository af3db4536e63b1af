#ifndef QUETZALLOFT_GATE_USAGE_H
#define QUETZALLOFT_GATE_USAGE_H

/**
 * DOC: What a gate did with its slots, and with each class, since its start.
 * The difference of two readings tells whether an endpoint was busy all the
 * time between them, and who had its slots.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** Shed orders are 0 to 64; a larger one is treated as the largest. */
#define QL_SHED_ORDERS 65u

/**
 * struct ql_gate_usage_class - Requests of one class.
 * @offered: those that asked for admission
 * @admitted: those that were admitted
 * @refused: those refused for overload
 * @late: those that had too little time left
 * @waited_us: waits of the admitted ones, added up
 */
typedef struct ql_gate_usage_class {
	uint64_t offered;
	uint64_t admitted;
	uint64_t refused;
	uint64_t late;
	uint64_t waited_us;
} ql_gate_usage_class_t;

/**
 * struct ql_gate_usage - The account of one gate.
 * @busy_us: microseconds in use, added up over the slots
 * @counted_us: the time up to which @busy_us counts
 * @classes: by shed order
 */
typedef struct ql_gate_usage {
	uint64_t busy_us;
	uint64_t counted_us;
	ql_gate_usage_class_t classes[QL_SHED_ORDERS];
} ql_gate_usage_t;

/**
 * ql_gate_usage_advance() - Add the time that has passed.
 * @usage: the account
 * @in_progress: slots that were in use since the last call
 * @now_us: the time
 */
void ql_gate_usage_advance(ql_gate_usage_t *usage, uint32_t in_progress,
			   uint64_t now_us);

/**
 * ql_gate_usage_utilization() - The part of the slots that was in use between
 * two readings.
 * @from: the earlier reading
 * @to: the later one
 * @slots: of the endpoint
 *
 * Return: 1 when all of them were in use all the time; 0 when no time passed.
 */
double ql_gate_usage_utilization(const ql_gate_usage_t *from,
				 const ql_gate_usage_t *to, uint32_t slots);

/**
 * ql_gate_usage_class_delta() - What a class did between two readings.
 * @from: the earlier reading
 * @to: the later one
 * @order: shed order of the class
 */
ql_gate_usage_class_t ql_gate_usage_class_delta(const ql_gate_usage_t *from,
						const ql_gate_usage_t *to,
						uint32_t order);

G_END_DECLS

#endif
