#include "quetzalloft/metrics.h"

#include <inttypes.h>

#define METRIC_PREFIX "quetzalloft_"
/** Powers of two of microseconds that a Prometheus histogram shows. */
#define LOWEST_BOUND_LOG2_US 6u
#define HIGHEST_BOUND_LOG2_US 26u
#define US_PER_S 1e6

unsigned int ql_metrics_shard(void)
{
	static unsigned int n_threads;
	static __thread unsigned int
		shard_plus_one; /* 0 before the first call */

	if (!shard_plus_one)
		shard_plus_one =
			__atomic_add_fetch(&n_threads, 1, __ATOMIC_RELAXED) %
				QL_METRICS_SHARDS +
			1;
	return shard_plus_one - 1;
}

static void put_head(GString *text, const ql_metric_t *metric,
		     const char *suffix, const char *type)
{
	g_string_append_printf(text,
			       "# HELP " METRIC_PREFIX "%s%s %s\n"
			       "# TYPE " METRIC_PREFIX "%s%s %s\n",
			       metric->name, suffix, metric->help, metric->name,
			       suffix, type);
}

void ql_metrics_put_counter(GString *text, const ql_metric_t *metric,
			    uint64_t value)
{
	put_head(text, metric, "_total", "counter");
	g_string_append_printf(text, METRIC_PREFIX "%s_total %" PRIu64 "\n",
			       metric->name, value);
}

void ql_metrics_put_gauge(GString *text, const ql_metric_t *metric,
			  uint64_t value)
{
	put_head(text, metric, "", "gauge");
	g_string_append_printf(text, METRIC_PREFIX "%s %" PRIu64 "\n",
			       metric->name, value);
}

void ql_metrics_put_histogram(GString *text, const ql_metric_t *metric,
			      const ql_histogram_t *histogram)
{
	uint64_t cumulative = 0, bound_us;
	unsigned int power, bucket = 0;

	put_head(text, metric, "_seconds", "histogram");
	for (power = LOWEST_BOUND_LOG2_US; power <= HIGHEST_BOUND_LOG2_US;
	     power++) {
		bound_us = (1ULL << power) - 1;
		while (ql_histogram__bucket_max_us(bucket) <= bound_us)
			cumulative +=
				ql_histogram__bucket_count(histogram, bucket++);
		g_string_append_printf(text,
				       METRIC_PREFIX
				       "%s_seconds_bucket{le=\"%.6f\"} %" PRIu64
				       "\n",
				       metric->name,
				       (double)bound_us / US_PER_S, cumulative);
	}
	while (bucket < QL_HISTOGRAM_BUCKETS)
		cumulative += ql_histogram__bucket_count(histogram, bucket++);
	g_string_append_printf(text,
			       METRIC_PREFIX
			       "%s_seconds_bucket{le=\"+Inf\"} %" PRIu64
			       "\n" METRIC_PREFIX
			       "%s_seconds_sum %.6f\n" METRIC_PREFIX
			       "%s_seconds_count %" PRIu64 "\n",
			       metric->name, cumulative, metric->name,
			       (double)ql_histogram_sum_us(histogram) /
				       US_PER_S,
			       metric->name, cumulative);
}
