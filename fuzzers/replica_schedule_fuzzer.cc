/*
 * Searches for a schedule of events that makes the replicas violate an
 * invariant. The first byte selects the number of replicas.
 */
#include "control/replica_simulation.h"

#include <cstdio>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const size_t SIZES[] = {3, 5, 7};

	if (!size)
		return 0;
	ReplicaSimulation simulation(SIZES[data[0] % 3]);

	simulation.run(Schedule(data + 1, data + size));
	if (!simulation.violation.empty()) {
		fprintf(stderr, "%s\n", simulation.violation.c_str());
		abort();
	}
	return 0;
}
