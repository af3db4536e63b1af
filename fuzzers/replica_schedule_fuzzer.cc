/* Searches for a schedule of replicas that breaks a promise. */
#include "control/replica_world.h"

#include <cstdio>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const size_t SIZES[] = {3, 5, 7};

	if (!size)
		return 0;
	World world(SIZES[data[0] % 3]);

	world.run(Schedule(data + 1, data + size));
	if (!world.violation.empty()) {
		fprintf(stderr, "%s\n", world.violation.c_str());
		abort();
	}
	return 0;
}
