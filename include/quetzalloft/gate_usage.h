#ifndef QUETZALLOFT_GATE_USAGE_H
#define QUETZALLOFT_GATE_USAGE_H

/**
 * DOC: Cumulative counters of a gate: the slot time in use and the requests of
 * each class. The difference between two snapshots gives the utilization of the
 * endpoint in the interval and the share of each class.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** Number of shed orders: 0 to 64. A larger value is treated as 64. */
#define QL_SHED_ORDERS 65u

/**
 * struct ql_gate_usage_class - Request counters of one class.
 * @offered: requests offered to the gate
 * @admitted: requests admitted
 * @refused: requests refused because of overload
 * @late: requests refused because too little time was left until their deadline
 * @waited_us: sum of the queueing delays of the admitted requests
 */
typedef struct ql_gate_usage_class {
	uint64_t offered;
	uint64_t admitted;
	uint64_t refused;
	uint64_t late;
	uint64_t waited_us;
} ql_gate_usage_class_t;

/**
 * struct ql_gate_usage - Counters of one gate since its start.
 * @busy_us: slot time in use, summed over the slots
 * @counted_us: time up to which @busy_us is counted; 0 before the first update
 * @classes: request counters, indexed by shed order
 */
typedef struct ql_gate_usage {
	uint64_t busy_us;
	uint64_t counted_us;
	ql_gate_usage_class_t classes[QL_SHED_ORDERS];
} ql_gate_usage_t;

/**
 * ql_gate_usage_advance() - Add the slot time used since the last update.
 * @usage: counters
 * @in_progress: slots in use since the last update
 * @now_us: current time
 *
 * The first update only sets the start time. An @now_us before the last update
 * adds nothing.
 */
void ql_gate_usage_advance(ql_gate_usage_t *usage, uint32_t in_progress,
			   uint64_t now_us);

/**
 * ql_gate_usage_utilization() - Compute the slot utilization between two
 * snapshots.
 * @from: earlier snapshot of a gate
 * @to: later snapshot of the same gate
 * @slots: slots of the endpoint
 *
 * Return: mean fraction of the slots in use: 1 if all of them were in use all
 * the time; 0 if no time passed, @slots is 0 or @from was never updated.
 */
double ql_gate_usage_utilization(const ql_gate_usage_t *from,
				 const ql_gate_usage_t *to, uint32_t slots);

/**
 * ql_gate_usage_class_delta() - Compute the counters of one class between two
 * snapshots.
 * @from: earlier snapshot
 * @to: later snapshot
 * @order: shed order of the class; at most QL_SHED_ORDERS - 1
 *
 * Return: the differences.
 */
ql_gate_usage_class_t ql_gate_usage_class_delta(const ql_gate_usage_t *from,
						const ql_gate_usage_t *to,
						uint32_t order);

G_END_DECLS

#endif
