#ifndef QL_NODE_COUNTERS_H
#define QL_NODE_COUNTERS_H

/**
 * DOC: Counters of a node, cheap enough for the path of every call.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/**
 * enum ql_counter - What is counted.
 */
typedef enum ql_counter {
	QL_COUNT_CLIENT_REQUESTS,
	QL_COUNT_CLIENT_ANSWERED,
	QL_COUNT_CLIENT_NOT_RUN,
	QL_COUNT_CLIENT_REFUSED,
	QL_COUNT_CLIENT_UNKNOWN,
	QL_COUNT_LOCAL_CALLS,
	QL_COUNT_ATTEMPTS,
	QL_COUNT_RETRIES,
	QL_COUNT_EARLY_REFUSALS,
	QL_COUNT_GATE_ADMITTED,
	QL_COUNT_GATE_REFUSED,
	QL_COUNT_BAD_METADATA,
	QL_COUNT_BAD_ANSWERS,
	QL_COUNT_TOO_LARGE,
	QL_COUNT_LEASES_SENT,
	QL_COUNT_LEASES_FAILED,
	QL_COUNT_CONFIG_CHANGES,
	QL_N_COUNTERS,
} ql_counter_t;

typedef struct ql_counters {
	uint64_t values[QL_N_COUNTERS];
} ql_counters_t;

static inline void ql_count(ql_counters_t *counters, ql_counter_t counter)
{
	__atomic_add_fetch(&counters->values[counter], 1, __ATOMIC_RELAXED);
}

/**
 * ql_counter_name() - The name of a counter in reports.
 * @counter: the counter
 *
 * Return: a static string.
 */
const char *ql_counter_name(ql_counter_t counter);

/**
 * ql_counters_text() - All counters in the Prometheus text format.
 * @counters: the counters
 *
 * Return: a string to free with g_free().
 */
char *ql_counters_text(const ql_counters_t *counters);

G_END_DECLS

#endif
