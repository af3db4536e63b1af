#include "quetzalloft/metrics.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace
{

TEST(Histogram, PutsEveryValueIntoTheBucketThatEndsAboveIt)
{
	const uint64_t values[] = {
		0,    1,   15,	       16,
		17,   31,  32,	       33,
		63,   64,  1000,       4095,
		4096, 460, 1ULL << 20, QL_HISTOGRAM_LIMIT_US - 1};

	for (uint64_t value : values) {
		SCOPED_TRACE(value);
		unsigned int bucket = ql_histogram__bucket_index(value);

		ASSERT_LT(bucket, QL_HISTOGRAM_BUCKETS);
		EXPECT_GE(ql_histogram__bucket_max_us(bucket), value);
		EXPECT_LE(ql_histogram__bucket_max_us(bucket),
			  value + value / QL_HISTOGRAM_BUCKETS_PER_OCTAVE);
		if (bucket) {
			EXPECT_LT(ql_histogram__bucket_max_us(bucket - 1),
				  value);
		}
	}
	EXPECT_EQ(QL_HISTOGRAM_BUCKETS - 1,
		  ql_histogram__bucket_index(QL_HISTOGRAM_LIMIT_US));
	EXPECT_EQ(QL_HISTOGRAM_BUCKETS - 1,
		  ql_histogram__bucket_index(UINT64_MAX));
}

TEST(Histogram, GivesQuantilesWithinOneStep)
{
	auto histogram = std::make_unique<ql_histogram_t>();
	std::mt19937_64 random(7);
	std::lognormal_distribution<double> latency(6, 1.5);
	std::vector<uint64_t> values;

	for (int i = 0; i < 20000; i++) {
		values.push_back((uint64_t)latency(random));
		ql_histogram_add(histogram.get(), values.back());
	}
	std::sort(values.begin(), values.end());
	for (double quantile : {0.0, 0.5, 0.9, 0.99, 0.999, 1.0}) {
		SCOPED_TRACE(quantile);
		size_t rank = (size_t)std::ceil(quantile * 20000);
		uint64_t exact = values[rank ? rank - 1 : 0];
		uint64_t found =
			ql_histogram_quantile_us(histogram.get(), quantile);

		EXPECT_GE(found, exact);
		EXPECT_LE(found,
			  exact + exact / QL_HISTOGRAM_BUCKETS_PER_OCTAVE);
	}
	EXPECT_EQ(20000u, ql_histogram_count(histogram.get()));
}

TEST(Histogram, IsEmptyAtFirst)
{
	auto histogram = std::make_unique<ql_histogram_t>();

	EXPECT_EQ(0u, ql_histogram_quantile_us(histogram.get(), 0.99));
	EXPECT_EQ(0u, ql_histogram_sum_us(histogram.get()));
}

TEST(Histogram, LosesNoValueOfManyThreads)
{
	auto histogram = std::make_unique<ql_histogram_t>();
	std::vector<std::thread> threads;

	for (int t = 0; t < 12; t++)
		threads.emplace_back([&histogram] {
			for (uint64_t i = 0; i < 1000; i++)
				ql_histogram_add(histogram.get(), i);
		});
	for (auto &thread : threads)
		thread.join();
	EXPECT_EQ(12000u, ql_histogram_count(histogram.get()));
	EXPECT_EQ(12u * 499500u, ql_histogram_sum_us(histogram.get()));
}

TEST(Metrics, WritesPrometheusText)
{
	auto histogram = std::make_unique<ql_histogram_t>();
	ql_metric_t metric = {"wait", "Waits."};
	GString *text = g_string_new(nullptr);
	const char *const expected[] = {
		"# HELP quetzalloft_wait_total Waits.\n"
		"# TYPE quetzalloft_wait_total counter\n"
		"quetzalloft_wait_total 3\n",
		"# TYPE quetzalloft_wait gauge\nquetzalloft_wait 4\n",
		"# TYPE quetzalloft_wait_seconds histogram\n"
		"quetzalloft_wait_seconds_bucket{le=\"0.000063\"} 1\n"
		"quetzalloft_wait_seconds_bucket{le=\"0.000127\"} 2\n",
		"quetzalloft_wait_seconds_bucket{le=\"67.108863\"} 2\n"
		"quetzalloft_wait_seconds_bucket{le=\"+Inf\"} 3\n"
		"quetzalloft_wait_seconds_sum 2000.000127\n"
		"quetzalloft_wait_seconds_count 3\n",
	};

	ql_histogram_add(histogram.get(), 63);
	ql_histogram_add(histogram.get(), 64);
	ql_histogram_add(histogram.get(), 2000000000);
	ql_metrics_put_counter(text, &metric, 3);
	ql_metrics_put_gauge(text, &metric, 4);
	ql_metrics_put_histogram(text, &metric, histogram.get());
	for (const char *part : expected)
		EXPECT_NE(std::string::npos, std::string(text->str).find(part))
			<< part << "in\n"
			<< text->str;
	g_string_free(text, TRUE);
}

} // namespace
