#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"

#include <stdio.h>
#include <sysexits.h>

#define COMMAND "metrics"
#define SUMMARY                                                               \
	"Shows the counters and latencies of each server. The local port of " \
	"a node exports the\nsame values at /quetzalloft/metrics in the "     \
	"Prometheus text format."
#define TOPIC "counters"

static const char *const counter_titles[] = {"COUNTER", "VALUE", NULL};
static const char *const latency_titles[] = {
	"LATENCY (US)", "COUNT", "MEAN", "P50", "P99", "P99.9", NULL,
};

static void print_counters(const json_t *counters)
{
	const char *name;
	json_t *value;
	ql_text_table_t table;

	ql_text_table_init(&table, counter_titles);
	json_object_foreach ((json_t *)counters, name, value) {
		ql_text_table_add_cell(&table, name);
		ql_text_table_add_number(&table, json_integer_value(value));
	}
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
}

static void print_latencies(const json_t *latencies)
{
	const char *name;
	json_t *value;
	ql_text_table_t table;

	ql_text_table_init(&table, latency_titles);
	json_object_foreach ((json_t *)latencies, name, value) {
		ql_text_table_add_cell(&table, name);
		ql_text_table_add_member(&table, value, "count");
		ql_text_table_add_member(&table, value, "mean_us");
		ql_text_table_add_member(&table, value, "p50_us");
		ql_text_table_add_member(&table, value, "p99_us");
		ql_text_table_add_member(&table, value, "p999_us");
	}
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
}

static void print_report(void *data G_GNUC_UNUSED, const char *address,
			 json_t *report)
{
	printf("%s\n", address);
	print_counters(json_object_get(report, "counters"));
	print_latencies(json_object_get(report, "latencies"));
}

static void add_report_json(void *data, const char *address, json_t *report)
{
	json_object_set(data, address, report);
}

static int show(const ql_options_t *options)
{
	json_t *all;
	int status;

	if (!options->json)
		return ql_peer_fetch_reports(options, COMMAND, TOPIC,
					     print_report, NULL);
	all = json_object();
	status = ql_peer_fetch_reports(options, COMMAND, TOPIC, add_report_json,
				       all);
	ql_output_json(all);
	return status;
}

int ql_command_metrics(int argc, char **argv)
{
	return ql_arguments_run(argc, argv, COMMAND, SUMMARY, show);
}
