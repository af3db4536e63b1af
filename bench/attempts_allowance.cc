/*
 * Attempts for one client request, by layers that retry on their own and by
 * a conserved allowance, and how many requests end well.
 */

#include "policy/call_graph.h"

#include <cstdio>

using call_graph::Options;
using call_graph::Request;

namespace
{

constexpr uint32_t kSeeds = 20000;

/* Each layer makes up to three attempts of the layer below. */
long Layers(int layer, long *bottom)
{
	long total = 0;

	if (!layer) {
		++*bottom;
		return 0;
	}
	for (int i = 0; i < 3; i++)
		total += 1 + Layers(layer - 1, bottom);
	return total;
}

void Share(double loss, bool parallel, bool reserve)
{
	uint32_t ok = 0, starved = 0;
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
			ok++;
		else if (request.allowance_exhausted)
			starved++;
		attempts += request.attempts;
	}
	printf("loss %.2f %s reserve %d: whole %.2f%% short of allowance "
	       "%.2f%% attempts %.1f\n",
	       loss, parallel ? "parallel  " : "sequential", reserve,
	       100.0 * ok / kSeeds, 100.0 * starved / kSeeds,
	       attempts / kSeeds);
}

} // namespace

int main()
{
	long bottom = 0;
	long total = Layers(4, &bottom);

	printf("four layers, three tries each: %ld attempts, %ld at the "
	       "bottom\n",
	       total, bottom);
	for (double loss : {0.02, 0.1, 0.3})
		for (bool parallel : {false, true})
			for (bool reserve : {false, true})
				Share(loss, parallel, reserve);
	return 0;
}
