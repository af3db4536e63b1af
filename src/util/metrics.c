#include "quetzalloft/metrics.h"

#include <inttypes.h>

#define PREFIX "quetzalloft_"
/** Powers of two of microseconds that a Prometheus histogram shows. */
#define LOWEST_BOUND 6u
#define HIGHEST_BOUND 26u
#define US_PER_S 1e6

unsigned int ql_metrics_shard(void)
{
	static unsigned int threads;
	static __thread unsigned int own; /* 0 before the first call */

	if (!own)
		own = __atomic_add_fetch(&threads, 1, __ATOMIC_RELAXED) %
			      QL_METRICS_SHARDS +
		      1;
	return own - 1;
}

static void put_head(GString *text, const ql_metric_t *metric,
		     const char *suffix, const char *type)
{
	g_string_append_printf(text,
			       "# HELP " PREFIX "%s%s %s\n"
			       "# TYPE " PREFIX "%s%s %s\n",
			       metric->name, suffix, metric->help, metric->name,
			       suffix, type);
}

void ql_metrics_put_counter(GString *text, const ql_metric_t *metric,
			    uint64_t value)
{
	put_head(text, metric, "_total", "counter");
	g_string_append_printf(text, PREFIX "%s_total %" PRIu64 "\n",
			       metric->name, value);
}

void ql_metrics_put_gauge(GString *text, const ql_metric_t *metric,
			  uint64_t value)
{
	put_head(text, metric, "", "gauge");
	g_string_append_printf(text, PREFIX "%s %" PRIu64 "\n", metric->name,
			       value);
}

void ql_metrics_put_histogram(GString *text, const ql_metric_t *metric,
			      const ql_histogram_t *histogram)
{
	uint64_t below = 0, bound_us;
	unsigned int power, bucket = 0;

	put_head(text, metric, "_seconds", "histogram");
	for (power = LOWEST_BOUND; power <= HIGHEST_BOUND; power++) {
		bound_us = (1ULL << power) - 1;
		while (ql_histogram__highest_us(bucket) <= bound_us)
			below += ql_histogram__count(histogram, bucket++);
		g_string_append_printf(text,
				       PREFIX
				       "%s_seconds_bucket{le=\"%.6f\"} %" PRIu64
				       "\n",
				       metric->name,
				       (double)bound_us / US_PER_S, below);
	}
	while (bucket < QL_HISTOGRAM_BUCKETS)
		below += ql_histogram__count(histogram, bucket++);
	g_string_append_printf(text,
			       PREFIX "%s_seconds_bucket{le=\"+Inf\"} %" PRIu64
				      "\n" PREFIX "%s_seconds_sum %.6f\n" PREFIX
				      "%s_seconds_count %" PRIu64 "\n",
			       metric->name, below, metric->name,
			       (double)ql_histogram_sum_us(histogram) /
				       US_PER_S,
			       metric->name, below);
}
