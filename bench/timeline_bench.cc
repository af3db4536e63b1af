#include "quetzalloft/timeline.h"

#include <benchmark/benchmark.h>

namespace
{

ql_timeline_t timeline;
ql_hlc_t hlc;

void Setup(const benchmark::State &)
{
	ql_hlc_init(&hlc);
	ql_timeline_init(&timeline, "node1", &hlc, 0);
}

void Teardown(const benchmark::State &)
{
	ql_timeline_finish(&timeline);
}

/* Records an event with all of its names, as the gate does. */
void BM_Record(benchmark::State &state)
{
	ql_timeline_event_t event = {};

	event.event = QL_EVENT_GATE_ADMITTED;
	event.id = {1, 2};
	event.service = "catalogue";
	event.endpoint = "127.0.0.1:20001";
	event.class_name = "lookup";
	for (auto _ : state)
		benchmark::DoNotOptimize(ql_timeline_record(&timeline, &event));
}

void BM_Report(benchmark::State &state)
{
	ql_timeline_event_t event = {};

	event.service = "catalogue";
	for (size_t i = 0; i < timeline.capacity; i++)
		ql_timeline_record(&timeline, &event);
	for (auto _ : state)
		json_decref(ql_timeline_report(&timeline, ""));
}

} // namespace

BENCHMARK(BM_Record)->Setup(Setup)->Teardown(Teardown)->ThreadRange(1, 8);
BENCHMARK(BM_Report)->Setup(Setup)->Teardown(Teardown);
BENCHMARK_MAIN();
