#ifndef QL_UTIL_COUNTERS_H
#define QL_UTIL_COUNTERS_H

/**
 * DOC: Counters and latencies of a node, cheap enough for the path of every
 * call. Zeros are a fresh set. No metric has a label that a caller chooses.
 */

#include "quetzalloft/metrics.h"

#include <jansson.h>

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
	QL_COUNT_GAVE_WAY,
	QL_COUNT_GATE_ADMITTED,
	QL_COUNT_GATE_REFUSED,
	QL_COUNT_BAD_METADATA,
	QL_COUNT_BAD_ANSWERS,
	QL_COUNT_TOO_LARGE,
	QL_COUNT_LEASES_SENT,
	QL_COUNT_LEASES_FAILED,
	QL_COUNT_CONFIG_CHANGES,
	QL_COUNT_CLIENT_CANCELLED,
	QL_COUNT_REROUTES,
	QL_COUNT_ENDPOINT_REFUSED,
	QL_COUNT_ENDPOINT_LOST,
	QL_COUNT_ABANDONED,
	QL_COUNT_PATCHES_ACCEPTED,
	QL_COUNT_PATCHES_REFUSED,
	QL_N_COUNTERS,
} ql_counter_t;

/**
 * enum ql_latency - What is timed.
 * @QL_LATENCY_CLIENT: a client request at its first node
 * @QL_LATENCY_ATTEMPT: an attempt at the calling node
 * @QL_LATENCY_GATE_WAIT: a request's wait for the gate's decision
 * @QL_LATENCY_ENDPOINT: an admitted request at the endpoint
 */
typedef enum ql_latency {
	QL_LATENCY_CLIENT,
	QL_LATENCY_ATTEMPT,
	QL_LATENCY_GATE_WAIT,
	QL_LATENCY_ENDPOINT,
	QL_N_LATENCIES,
} ql_latency_t;

/**
 * enum ql_gauge - What is known of the present.
 * @QL_GAUGE_CONFIG_VERSION: version of the configuration in force
 * @QL_GAUGE_LEADING: 1 while this replica leads
 * @QL_GAUGE_GATE_RUNNING: requests that the gate has admitted and that run
 * @QL_GAUGE_GATE_QUEUED: requests that wait at the gate
 * @QL_GAUGE_GATE_LIMIT: requests that the gate lets run at a time
 */
typedef enum ql_gauge {
	QL_GAUGE_CONFIG_VERSION,
	QL_GAUGE_LEADING,
	QL_GAUGE_GATE_RUNNING,
	QL_GAUGE_GATE_QUEUED,
	QL_GAUGE_GATE_LIMIT,
	QL_N_GAUGES,
} ql_gauge_t;

/**
 * struct ql_counters - The counters and latencies.
 * @values: counters, spread over threads
 * @latencies: one histogram each
 * @gauges: the value set last
 */
typedef struct ql_counters {
	uint64_t values[QL_METRICS_SHARDS][QL_N_COUNTERS + QL_METRICS_PADDING];
	ql_histogram_t latencies[QL_N_LATENCIES];
	uint64_t gauges[QL_N_GAUGES];
} ql_counters_t;

/**
 * ql_counter_increment() - Count one event.
 * @counters: the counters
 * @counter: what is counted
 */
static inline void ql_counter_increment(ql_counters_t *counters,
					ql_counter_t counter)
{
	__atomic_add_fetch(&counters->values[ql_metrics_shard()][counter], 1,
			   __ATOMIC_RELAXED);
}

/**
 * ql_latency_record() - Count one duration.
 * @counters: the counters
 * @latency: what was timed
 * @value_us: microseconds
 */
static inline void ql_latency_record(ql_counters_t *counters,
				     ql_latency_t latency, uint64_t value_us)
{
	ql_histogram_add(&counters->latencies[latency], value_us);
}

/**
 * ql_gauge_set() - Set what is known of the present.
 * @counters: the counters
 * @gauge: which one
 * @value: its value
 */
static inline void ql_gauge_set(ql_counters_t *counters, ql_gauge_t gauge,
				uint64_t value)
{
	__atomic_store_n(&counters->gauges[gauge], value, __ATOMIC_RELAXED);
}

/**
 * ql_counter_value() - The present value of a counter.
 * @counters: the counters
 * @counter: which one
 *
 * Return: events since the start.
 */
uint64_t ql_counter_value(const ql_counters_t *counters, ql_counter_t counter);

/**
 * ql_counter_name() - The name of a counter in reports.
 * @counter: the counter
 *
 * Return: a static string.
 */
const char *ql_counter_name(ql_counter_t counter);

/**
 * ql_counters_format_prometheus() - Counters and latencies in the Prometheus
 * text format.
 * @counters: the counters
 *
 * Return: a string to free with g_free().
 */
char *ql_counters_format_prometheus(const ql_counters_t *counters);

/**
 * ql_counters_report() - Counters and latencies as JSON: "counters" by name,
 * and "latencies" by name with "count", "mean_us", "p50_us", "p99_us" and
 * "p999_us".
 * @counters: the counters
 *
 * Return: the report.
 */
json_t *ql_counters_report(const ql_counters_t *counters);

G_END_DECLS

#endif
