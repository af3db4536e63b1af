#ifndef QUETZALLOFT_METRICS_H
#define QUETZALLOFT_METRICS_H

/**
 * DOC: Latency histograms, spreading of counters over threads, and the
 * Prometheus text format. Memory is fixed; zeros are an empty histogram.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** Rows over which the counters of one process are spread. */
#define QL_METRICS_SHARDS 8u
/** Unused values after a row, which keep rows off each other's cache line. */
#define QL_METRICS_PADDING 8u

/** Buckets for each power of two. */
#define QL_HISTOGRAM_BUCKETS_PER_OCTAVE 16u
/** Values from this on count as the last bucket: about 18 minutes. */
#define QL_HISTOGRAM_LIMIT_US (1ULL << 30)
#define QL_HISTOGRAM_BUCKETS 432u

/**
 * ql_metrics_shard() - The row that the calling thread counts in.
 *
 * Return: a number below QL_METRICS_SHARDS, the same in each call of a thread.
 */
unsigned int ql_metrics_shard(void);

/**
 * struct ql_histogram - Counts of latencies, log-linear:
 * QL_HISTOGRAM_BUCKETS_PER_OCTAVE buckets for each power of two, so that a
 * quantile is at most 1/16 too high.
 * @counts: values by bucket, spread over threads
 * @sums_us: sum of the values, spread over threads
 */
typedef struct ql_histogram {
	uint64_t counts[QL_METRICS_SHARDS]
		       [QL_HISTOGRAM_BUCKETS + QL_METRICS_PADDING];
	uint64_t sums_us[QL_METRICS_SHARDS][QL_METRICS_PADDING];
} ql_histogram_t;

/**
 * ql_histogram_add() - Count one value; any thread may call this.
 * @histogram: the histogram
 * @value_us: the value in microseconds
 */
void ql_histogram_add(ql_histogram_t *histogram, uint64_t value_us);

/**
 * ql_histogram_count() - Values counted.
 * @histogram: the histogram
 *
 * Return: their number.
 */
uint64_t ql_histogram_count(const ql_histogram_t *histogram);

/**
 * ql_histogram_sum_us() - Sum of the values counted.
 * @histogram: the histogram
 *
 * Return: microseconds.
 */
uint64_t ql_histogram_sum_us(const ql_histogram_t *histogram);

/**
 * ql_histogram_quantile_us() - A bound that a share of the values keeps.
 * @histogram: the histogram
 * @quantile: the share, 0 to 1
 *
 * Return: the highest value of the bucket in which the quantile lies; 0 when
 * nothing was counted.
 */
uint64_t ql_histogram_quantile_us(const ql_histogram_t *histogram,
				  double quantile);

/**
 * ql_histogram__bucket_index() - The bucket of a value.
 * @value_us: the value
 *
 * Return: its index.
 */
unsigned int ql_histogram__bucket_index(uint64_t value_us);

/**
 * ql_histogram__bucket_max_us() - The highest value of a bucket.
 * @bucket: its index
 *
 * Return: microseconds.
 */
uint64_t ql_histogram__bucket_max_us(unsigned int bucket);

/**
 * ql_histogram__bucket_count() - Values of a bucket.
 * @histogram: the histogram
 * @bucket: its index
 *
 * Return: their number.
 */
uint64_t ql_histogram__bucket_count(const ql_histogram_t *histogram,
				    unsigned int bucket);

/**
 * struct ql_metric - What a metric is called.
 * @name: its name, without the "quetzalloft_" that goes before it
 * @help: one line for people
 */
typedef struct ql_metric {
	const char *name;
	const char *help;
} ql_metric_t;

/**
 * ql_metrics_put_counter() - Write a counter as Prometheus text.
 * @text: where to append
 * @metric: its name; "_total" is added
 * @value: its value
 */
void ql_metrics_put_counter(GString *text, const ql_metric_t *metric,
			    uint64_t value);

/**
 * ql_metrics_put_gauge() - Write a gauge as Prometheus text.
 * @text: where to append
 * @metric: its name
 * @value: its value
 */
void ql_metrics_put_gauge(GString *text, const ql_metric_t *metric,
			  uint64_t value);

/**
 * ql_metrics_put_histogram() - Write a histogram as Prometheus text, with one
 * bound for each power of two from 64 us to 67 s.
 * @text: where to append
 * @metric: its name; "_seconds" is added
 * @histogram: the histogram
 */
void ql_metrics_put_histogram(GString *text, const ql_metric_t *metric,
			      const ql_histogram_t *histogram);

G_END_DECLS

#endif
