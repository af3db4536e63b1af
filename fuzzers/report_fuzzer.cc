#include "json_input.h"
#include "path/local_gate.h"
#include "platform/adapter.h"

#include <cstring>

constexpr uint64_t kWallMs = 1700000000000;

/* Parses an announcement of an endpoint and checks it as a node does. */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	ql_instance_report_t report = {};
	ql_local_gate_t gate = {};
	GError *error = nullptr;
	int ret;

	strcpy(gate.opts.service, "s");
	strcpy(report.instance, "i-1");
	ret = ql_platform_read_report(&report, (const char *)data, size,
				      &error);
	check_error_detail(ret, error);
	if (ret)
		return 0;
	error = nullptr;
	ret = ql_local_gate_check_report(&gate, &report, kWallMs, &error);
	check_error_detail(ret, error);
	return 0;
}
