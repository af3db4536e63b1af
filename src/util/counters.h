#ifndef QL_UTIL_COUNTERS_H
#define QL_UTIL_COUNTERS_H

/**
 * DOC: Counters, gauges and latency histograms of a node, cheap enough to
 * update for every call. A new set is all zeros. No metric has labels whose
 * values a caller can choose, so the number of time series is fixed.
 */

#include "quetzalloft/metrics.h"

#include <jansson.h>

G_BEGIN_DECLS

/**
 * enum ql_counter - Counters of events since the start of the process.
 * @QL_COUNT_CLIENT_REQUESTS: client requests received
 * @QL_COUNT_CLIENT_ANSWERED: client requests with the outcome answered
 * @QL_COUNT_CLIENT_NOT_RUN: client requests with the outcome not-run
 * @QL_COUNT_CLIENT_REFUSED: client requests with the outcome refused
 * @QL_COUNT_CLIENT_UNKNOWN: client requests with the outcome unknown
 * @QL_COUNT_LOCAL_CALLS: calls made by the endpoints of this VM
 * @QL_COUNT_ATTEMPTS: attempts sent by the router
 * @QL_COUNT_RETRIES: attempts after the first one of a call
 * @QL_COUNT_EARLY_REFUSALS: calls refused before any attempt, by early
 *                           rejection
 * @QL_COUNT_TEAM_REFUSALS: of these, those refused as their team has had its
 *                          part
 * @QL_COUNT_GAVE_WAY: requests refused because of head-of-line blocking
 * @QL_COUNT_GATE_ADMITTED: calls admitted by a gate of this node
 * @QL_COUNT_GATE_REFUSED: calls refused by a gate of this node
 * @QL_COUNT_BAD_METADATA: requests with malformed metadata, and responses with
 *                         a malformed occupancy
 * @QL_COUNT_BAD_ANSWERS: responses that are malformed or to another attempt
 * @QL_COUNT_TOO_LARGE: bodies over the size limit
 * @QL_COUNT_LEASES_SENT: lease renewals sent
 * @QL_COUNT_LEASES_FAILED: lease renewals without an answer
 * @QL_COUNT_LEASES_TIMED_OUT: of these, those whose registrar took the
 *                             connection and did not answer in time
 * @QL_COUNT_CONFIG_CHANGES: configuration versions put in force
 * @QL_COUNT_CLIENT_CANCELLED: requests whose client disconnected
 * @QL_COUNT_REROUTES: attempts after a refusal of the previous attempt by a
 *                     gate
 * @QL_COUNT_ENDPOINT_REFUSED: requests that the endpoint refused to run
 * @QL_COUNT_ENDPOINT_LOST: requests whose connection to the endpoint was lost
 * @QL_COUNT_ABANDONED: requests cancelled at the endpoint, as no caller waits
 *                      for the answer
 * @QL_COUNT_PATCHES_ACCEPTED: patches of the configuration accepted
 * @QL_COUNT_PATCHES_REFUSED: patches of the configuration refused
 * @QL_COUNT_REPORTS_REFUSED: reports that name no endpoint of this VM, or
 *                            whose values are malformed or out of range
 * @QL_COUNT_REPORTS_WITHDRAWN: reports that were sent before their endpoint
 *                              withdrew
 * @QL_COUNT_DISK_WRITES_FAILED: failed attempts to write to the disk of a
 * replica
 * @QL_COUNT_KEYS_NOT_CURRENT: requests with an API key refused, as the node
 *                             could not prove that its keys are current
 * @QL_COUNT_QUOTA_REFUSED: requests over the quota of their team
 * @QL_COUNT_QUOTA_UNKNOWN: requests refused as the quota was not learned in
 * time
 * @QL_COUNT_QUOTA_GRANTED: calls of nodes for tokens that this leader answered,
 *                          also with none
 * @QL_N_COUNTERS: number of counters
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
	QL_COUNT_TEAM_REFUSALS,
	QL_COUNT_GAVE_WAY,
	QL_COUNT_GATE_ADMITTED,
	QL_COUNT_GATE_REFUSED,
	QL_COUNT_BAD_METADATA,
	QL_COUNT_BAD_ANSWERS,
	QL_COUNT_TOO_LARGE,
	QL_COUNT_LEASES_SENT,
	QL_COUNT_LEASES_FAILED,
	QL_COUNT_LEASES_TIMED_OUT,
	QL_COUNT_CONFIG_CHANGES,
	QL_COUNT_CLIENT_CANCELLED,
	QL_COUNT_REROUTES,
	QL_COUNT_ENDPOINT_REFUSED,
	QL_COUNT_ENDPOINT_LOST,
	QL_COUNT_ABANDONED,
	QL_COUNT_PATCHES_ACCEPTED,
	QL_COUNT_PATCHES_REFUSED,
	QL_COUNT_REPORTS_REFUSED,
	QL_COUNT_REPORTS_WITHDRAWN,
	QL_COUNT_DISK_WRITES_FAILED,
	QL_COUNT_KEYS_NOT_CURRENT,
	QL_COUNT_QUOTA_REFUSED,
	QL_COUNT_QUOTA_UNKNOWN,
	QL_COUNT_QUOTA_GRANTED,
	QL_N_COUNTERS,
} ql_counter_t;

/**
 * enum ql_latency - Latencies that are recorded.
 * @QL_LATENCY_CLIENT: latency of a client request at its first node
 * @QL_LATENCY_ATTEMPT: latency of an attempt at the calling node
 * @QL_LATENCY_GATE_WAIT: time until the gate decided on a request
 * @QL_LATENCY_ENDPOINT: latency of an admitted request at the endpoint
 * @QL_N_LATENCIES: number of latencies
 */
typedef enum ql_latency {
	QL_LATENCY_CLIENT,
	QL_LATENCY_ATTEMPT,
	QL_LATENCY_GATE_WAIT,
	QL_LATENCY_ENDPOINT,
	QL_N_LATENCIES,
} ql_latency_t;

/**
 * enum ql_gauge - Current values.
 * @QL_GAUGE_CONFIG_VERSION: version of the configuration in force
 * @QL_GAUGE_LEADING: 1 if this replica is the leader, else 0
 * @QL_GAUGE_DISK_FAILING: 1 while the disk of this replica takes no writes
 * @QL_GAUGE_GATE_RUNNING: requests in flight at the endpoint
 * @QL_GAUGE_GATE_QUEUED: requests queued at the gate
 * @QL_GAUGE_GATE_LIMIT: concurrency limit of the gate, in requests
 * @QL_GAUGE_KEY_PROOF_AGE_MS: age of the newest proof that the API keys are
 *                             current, in milliseconds; without one, the time
 *                             since the start of the machine; 0 if keys are
 *                             accepted without proof
 * @QL_N_GAUGES: number of gauges
 */
typedef enum ql_gauge {
	QL_GAUGE_CONFIG_VERSION,
	QL_GAUGE_LEADING,
	QL_GAUGE_DISK_FAILING,
	QL_GAUGE_GATE_RUNNING,
	QL_GAUGE_GATE_QUEUED,
	QL_GAUGE_GATE_LIMIT,
	QL_GAUGE_KEY_PROOF_AGE_MS,
	QL_N_GAUGES,
} ql_gauge_t;

/**
 * struct ql_counters - Counters, latencies and gauges of a node. Thread-safe.
 * @values: counters, by shard and &enum ql_counter
 * @latencies: histograms, by &enum ql_latency
 * @gauges: current values, by &enum ql_gauge
 */
typedef struct ql_counters {
	uint64_t values[QL_METRICS_SHARDS][QL_N_COUNTERS + QL_METRICS_PADDING];
	ql_histogram_t latencies[QL_N_LATENCIES];
	uint64_t gauges[QL_N_GAUGES];
} ql_counters_t;

/**
 * ql_counter_increment() - Increment a counter by 1.
 * @counters: the counters
 * @counter: which counter
 */
static inline void ql_counter_increment(ql_counters_t *counters,
					ql_counter_t counter)
{
	__atomic_add_fetch(&counters->values[ql_metrics_shard()][counter], 1,
			   __ATOMIC_RELAXED);
}

/**
 * ql_latency_record() - Add a value to the histogram of a latency.
 * @counters: the counters
 * @latency: which latency
 * @value_us: the latency in microseconds
 */
static inline void ql_latency_record(ql_counters_t *counters,
				     ql_latency_t latency, uint64_t value_us)
{
	ql_histogram_add(&counters->latencies[latency], value_us);
}

/**
 * ql_gauge_set() - Set the current value of a gauge.
 * @counters: the counters
 * @gauge: which gauge
 * @value: the value
 */
static inline void ql_gauge_set(ql_counters_t *counters, ql_gauge_t gauge,
				uint64_t value)
{
	__atomic_store_n(&counters->gauges[gauge], value, __ATOMIC_RELAXED);
}

/**
 * ql_counter_value() - Get the value of a counter.
 * @counters: the counters
 * @counter: which counter
 *
 * Return: number of events since the start.
 */
uint64_t ql_counter_value(const ql_counters_t *counters, ql_counter_t counter);

/**
 * ql_counter_name() - Get the name of a counter in reports.
 * @counter: the counter; values from QL_N_COUNTERS on abort the process
 *
 * Return: a static string such as "client_requests".
 */
const char *ql_counter_name(ql_counter_t counter);

/**
 * ql_counters_format_prometheus() - Format counters, gauges and latencies in
 * the Prometheus text format.
 * @counters: the counters
 *
 * Return: the text, which the caller frees with g_free().
 */
char *ql_counters_format_prometheus(const ql_counters_t *counters);

/**
 * ql_counters_report() - Report counters and latencies as JSON: "counters" by
 * name, and "latencies" by name with "count", "mean_us", "p50_us", "p99_us" and
 * "p999_us".
 * @counters: the counters
 *
 * Return: the report, a new reference.
 */
json_t *ql_counters_report(const ql_counters_t *counters);

G_END_DECLS

#endif
