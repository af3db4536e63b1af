/*
 * Compares the number of attempts for one client request with independent
 * retries in each layer and with an allowance that all layers share, and
 * measures the share of requests that are answered.
 */

#include "policy/call_graph.h"

#include <cstdio>

using call_graph::Options;
using call_graph::Request;

namespace
{

constexpr uint32_t kSeeds = 20000;

/*
 * Returns the number of attempts when every layer makes three attempts to call
 * the next one; adds those that arrive at the last layer to @bottom_attempts.
 */
long CountLayeredRetries(int layer, long *bottom_attempts)
{
	long total_attempts = 0;

	if (!layer) {
		++*bottom_attempts;
		return 0;
	}
	for (int i = 0; i < 3; i++)
		total_attempts +=
			1 + CountLayeredRetries(layer - 1, bottom_attempts);
	return total_attempts;
}

/* Runs requests over seeded call graphs and prints their outcomes. */
void MeasureAllowance(double loss, bool parallel, bool reserve)
{
	uint32_t answered = 0, exhausted = 0;
	double attempts = 0;

	for (uint32_t seed = 1; seed <= kSeeds; seed++) {
		Options options;

		options.seed = seed;
		options.depth = 4;
		options.loss = loss;
		options.parallel = parallel;
		options.keep_reserve = reserve;
		options.extra_attempts = 6;

		Request request(options);

		if (request.Run())
			answered++;
		else if (request.allowance_exhausted)
			exhausted++;
		attempts += request.attempts;
	}
	printf("loss %.2f %s reserve %d: whole %.2f%% short of allowance "
	       "%.2f%% attempts %.1f\n",
	       loss, parallel ? "parallel  " : "sequential", reserve,
	       100.0 * answered / kSeeds, 100.0 * exhausted / kSeeds,
	       attempts / kSeeds);
}

} // namespace

int main()
{
	long bottom_attempts = 0;
	long total_attempts = CountLayeredRetries(4, &bottom_attempts);

	printf("four layers, three tries each: %ld attempts, %ld at the "
	       "bottom\n",
	       total_attempts, bottom_attempts);
	for (double loss : {0.02, 0.1, 0.3})
		for (bool parallel : {false, true})
			for (bool reserve : {false, true})
				MeasureAllowance(loss, parallel, reserve);
	return 0;
}
