#ifndef QUETZALLOFT_METRICS_H
#define QUETZALLOFT_METRICS_H

/**
 * DOC: Latency histograms, sharding of counters by thread, and the Prometheus
 * text format. Histograms have a fixed size; an empty one is all zeros.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** Shards over which the threads of a process distribute their counts. */
#define QL_METRICS_SHARDS 8u
/** Unused values after a shard, so that shards do not share cache lines. */
#define QL_METRICS_PADDING 8u

/** Buckets of a histogram for each power of two. */
#define QL_HISTOGRAM_BUCKETS_PER_OCTAVE 16u
/** Values from this one on, about 18 minutes, go to the last bucket. */
#define QL_HISTOGRAM_LIMIT_US (1ULL << 30)
/** Buckets of a histogram. */
#define QL_HISTOGRAM_BUCKETS 432u

/**
 * ql_metrics_shard() - Get the shard in which the calling thread counts.
 *
 * Return: an index below QL_METRICS_SHARDS, the same for each call of a thread.
 */
unsigned int ql_metrics_shard(void);

/**
 * struct ql_histogram - Log-linear histogram of latencies with
 * QL_HISTOGRAM_BUCKETS_PER_OCTAVE buckets for each power of two, so that a
 * quantile is overestimated by at most 1/16.
 * @counts: number of values, by shard and bucket
 * @sums_us: sum of the values in microseconds, by shard; only the first element
 *           of a row is used
 */
typedef struct ql_histogram {
	uint64_t counts[QL_METRICS_SHARDS]
		       [QL_HISTOGRAM_BUCKETS + QL_METRICS_PADDING];
	uint64_t sums_us[QL_METRICS_SHARDS][QL_METRICS_PADDING];
} ql_histogram_t;

/**
 * ql_histogram_add() - Add one value. Thread-safe and lock-free.
 * @histogram: the histogram
 * @value_us: the value in microseconds
 */
void ql_histogram_add(ql_histogram_t *histogram, uint64_t value_us);

/**
 * ql_histogram_count() - Get the number of values that were added.
 * @histogram: the histogram
 *
 * Return: number of values.
 */
uint64_t ql_histogram_count(const ql_histogram_t *histogram);

/**
 * ql_histogram_sum_us() - Get the sum of the values that were added.
 * @histogram: the histogram
 *
 * Return: the exact sum in microseconds.
 */
uint64_t ql_histogram_sum_us(const ql_histogram_t *histogram);

/**
 * ql_histogram_quantile_us() - Estimate a quantile of the values.
 * @histogram: the histogram
 * @quantile: the quantile, 0 to 1
 *
 * Return: highest value, in microseconds, of the bucket that contains the
 * quantile; 0 if the histogram is empty.
 */
uint64_t ql_histogram_quantile_us(const ql_histogram_t *histogram,
				  double quantile);

/**
 * ql_histogram__bucket_index() - Find the bucket of a value.
 * @value_us: the value in microseconds
 *
 * Return: index of the bucket, below QL_HISTOGRAM_BUCKETS.
 */
unsigned int ql_histogram__bucket_index(uint64_t value_us);

/**
 * ql_histogram__bucket_max_us() - Get the highest value of a bucket.
 * @bucket: index of the bucket
 *
 * Return: the value in microseconds.
 */
uint64_t ql_histogram__bucket_max_us(unsigned int bucket);

/**
 * ql_histogram__bucket_count() - Get the number of values in a bucket.
 * @histogram: the histogram
 * @bucket: index of the bucket
 *
 * Return: number of values.
 */
uint64_t ql_histogram__bucket_count(const ql_histogram_t *histogram,
				    unsigned int bucket);

/**
 * struct ql_metric - Name and description of a metric.
 * @name: name without the prefix "quetzalloft_" and without a suffix
 * @help: description in one line
 */
typedef struct ql_metric {
	const char *name;
	const char *help;
} ql_metric_t;

/**
 * ql_metrics_put_counter() - Append a counter in the Prometheus text format.
 * @text: text to append to
 * @metric: the metric; "_total" is added to its name
 * @value: value of the counter
 */
void ql_metrics_put_counter(GString *text, const ql_metric_t *metric,
			    uint64_t value);

/**
 * ql_metrics_put_gauge() - Append a gauge in the Prometheus text format.
 * @text: text to append to
 * @metric: the metric
 * @value: value of the gauge
 */
void ql_metrics_put_gauge(GString *text, const ql_metric_t *metric,
			  uint64_t value);

/**
 * ql_metrics_put_histogram() - Append a histogram in the Prometheus text
 * format, with one upper bound for each power of two from 64 us to 67 s.
 * @text: text to append to
 * @metric: the metric; "_seconds" is added to its name
 * @histogram: the histogram
 */
void ql_metrics_put_histogram(GString *text, const ql_metric_t *metric,
			      const ql_histogram_t *histogram);

G_END_DECLS

#endif
