#include "quetzalloft/metrics.h"

#include <math.h>

#define BUCKETS_PER_OCTAVE_BITS 4u

unsigned int ql_histogram__bucket_index(uint64_t value_us)
{
	unsigned int exponent;

	if (value_us >= QL_HISTOGRAM_LIMIT_US)
		return QL_HISTOGRAM_BUCKETS - 1;
	if (value_us < QL_HISTOGRAM_BUCKETS_PER_OCTAVE)
		return (unsigned int)value_us;
	exponent = 63u - (unsigned int)__builtin_clzll(value_us);
	return (exponent - BUCKETS_PER_OCTAVE_BITS + 1) *
		       QL_HISTOGRAM_BUCKETS_PER_OCTAVE +
	       (unsigned int)((value_us >>
			       (exponent - BUCKETS_PER_OCTAVE_BITS)) &
			      (QL_HISTOGRAM_BUCKETS_PER_OCTAVE - 1));
}

uint64_t ql_histogram__bucket_max_us(unsigned int bucket)
{
	unsigned int octave = bucket / QL_HISTOGRAM_BUCKETS_PER_OCTAVE;
	uint64_t step = bucket % QL_HISTOGRAM_BUCKETS_PER_OCTAVE;

	if (!octave)
		return step;
	return ((QL_HISTOGRAM_BUCKETS_PER_OCTAVE + step + 1) << (octave - 1)) -
	       1;
}

static void add(uint64_t *cell, uint64_t amount)
{
	__atomic_add_fetch(cell, amount, __ATOMIC_RELAXED);
}

static uint64_t load(const uint64_t *cell)
{
	return __atomic_load_n(cell, __ATOMIC_RELAXED);
}

void ql_histogram_add(ql_histogram_t *histogram, uint64_t value_us)
{
	unsigned int shard = ql_metrics_shard();

	add(&histogram->counts[shard][ql_histogram__bucket_index(value_us)], 1);
	add(&histogram->sums_us[shard][0], value_us);
}

uint64_t ql_histogram__bucket_count(const ql_histogram_t *histogram,
				    unsigned int bucket)
{
	uint64_t count = 0;
	unsigned int shard;

	for (shard = 0; shard < QL_METRICS_SHARDS; shard++)
		count += load(&histogram->counts[shard][bucket]);
	return count;
}

uint64_t ql_histogram_count(const ql_histogram_t *histogram)
{
	uint64_t count = 0;
	unsigned int bucket;

	for (bucket = 0; bucket < QL_HISTOGRAM_BUCKETS; bucket++)
		count += ql_histogram__bucket_count(histogram, bucket);
	return count;
}

uint64_t ql_histogram_sum_us(const ql_histogram_t *histogram)
{
	uint64_t sum_us = 0;
	unsigned int shard;

	for (shard = 0; shard < QL_METRICS_SHARDS; shard++)
		sum_us += load(&histogram->sums_us[shard][0]);
	return sum_us;
}

uint64_t ql_histogram_quantile_us(const ql_histogram_t *histogram,
				  double quantile)
{
	uint64_t count = ql_histogram_count(histogram);
	uint64_t rank = (uint64_t)ceil(quantile * (double)count);
	uint64_t cumulative = 0;
	unsigned int bucket;

	if (!count)
		return 0;
	for (bucket = 0; bucket < QL_HISTOGRAM_BUCKETS; bucket++) {
		cumulative += ql_histogram__bucket_count(histogram, bucket);
		if (cumulative && cumulative >= rank)
			return ql_histogram__bucket_max_us(bucket);
	}
	return ql_histogram__bucket_max_us(QL_HISTOGRAM_BUCKETS - 1);
}
