#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"

#include <sysexits.h>

#define COMMAND "status"
#define SUMMARY "Shows the state of each process among the servers."

static const char *const titles[] = {
	"SERVER",  "NODE",  "FAILURE DOMAIN",
	"VERSION", "READY", "CALLS IN PROGRESS",
	NULL,
};

static void add_report_row(void *data, const char *address, json_t *report)
{
	ql_text_table_t *table = data;

	ql_text_table_add_cell(table, address);
	ql_text_table_add_member(table, report, "node");
	ql_text_table_add_member(table, report, "failure_domain");
	ql_text_table_add_member(table, report, "config_version");
	ql_text_table_add_member(table, report, "ready");
	ql_text_table_add_member(table, report, "calls_in_progress");
}

static void add_report_json(void *data, const char *address, json_t *report)
{
	json_object_set(data, address, report);
}

static int show_json(const ql_options_t *options)
{
	json_t *all = json_object();
	int status = ql_peer_fetch_reports(options, COMMAND, COMMAND,
					   add_report_json, all);

	ql_output_json(all);
	return status;
}

static int show_table(const ql_options_t *options)
{
	ql_text_table_t table;
	int status;

	ql_text_table_init(&table, titles);
	status = ql_peer_fetch_reports(options, COMMAND, COMMAND,
				       add_report_row, &table);
	if (status == EX_OK || status == QL_EXIT_PARTIAL)
		ql_text_table_print(&table);
	ql_text_table_finish(&table);
	return status;
}

static int show(const ql_options_t *options)
{
	return options->json ? show_json(options) : show_table(options);
}

int ql_command_status(int argc, char **argv)
{
	return ql_arguments_run(argc, argv, COMMAND, SUMMARY, show);
}
