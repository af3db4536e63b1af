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

static void take_row(void *data, const char *address, json_t *report)
{
	ql_sheet_t *sheet = data;

	ql_sheet_add(sheet, address);
	ql_sheet_add_member(sheet, report, "node");
	ql_sheet_add_member(sheet, report, "failure_domain");
	ql_sheet_add_member(sheet, report, "config_version");
	ql_sheet_add_member(sheet, report, "ready");
	ql_sheet_add_member(sheet, report, "calls_in_progress");
}

static void take_json(void *data, const char *address, json_t *report)
{
	json_object_set(data, address, report);
}

static int show_json(const ql_options_t *options)
{
	json_t *all = json_object();
	int status =
		ql_peer_report_all(options, COMMAND, COMMAND, take_json, all);

	ql_output_json(all);
	return status;
}

static int show_table(const ql_options_t *options)
{
	ql_sheet_t sheet;
	int status;

	ql_sheet_init(&sheet, titles);
	status =
		ql_peer_report_all(options, COMMAND, COMMAND, take_row, &sheet);
	if (status == EX_OK || status == QL_EXIT_PARTIAL)
		ql_sheet_print(&sheet);
	ql_sheet_finish(&sheet);
	return status;
}

int ql_command_status(int argc, char **argv)
{
	ql_arguments_t arguments;
	ql_options_t options;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status))
		status = options.json ? show_json(&options)
				      : show_table(&options);
	ql_arguments_finish(&arguments);
	return status;
}
