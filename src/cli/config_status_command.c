#include "cli/command.h"
#include "cli/members.h"
#include "cli/peer.h"

#include <stdio.h>
#include <sysexits.h>

#define COMMAND "config status"
#define SUMMARY                                                           \
	"Shows the nodes that do not have the newest version of the "     \
	"configuration in force.\nNodes report their version to the "     \
	"registrars of their failure domain with each\nrenewal of their " \
	"lease: name one registrar of each failure domain as a server.\n" \
	"Exits with 5 when a node is behind or a server does not answer."

static void merge_report(void *data, const char *address G_GNUC_UNUSED,
			 json_t *report)
{
	ql_members_merge_report(data, report);
}

static void print_json(const ql_members_t *members, json_int_t newest,
		       size_t n_behind)
{
	ql_output_json(json_pack("{s:I, s:i, s:i, s:O}", "newest", newest,
				 "nodes_known",
				 (int)json_object_size(members->nodes),
				 "nodes_behind", (int)n_behind, "nodes",
				 members->nodes));
}

static int print(const ql_members_t *members, const ql_options_t *options,
		 bool all)
{
	json_int_t newest = ql_members_newest_version(members);
	ql_text_table_t table;
	size_t n_behind;

	ql_text_table_init(&table, ql_members_version_titles);
	n_behind = ql_members_add_version_rows(members, newest, all, &table);
	if (options->json) {
		print_json(members, newest, n_behind);
	} else {
		printf("newest version in force: %" JSON_INTEGER_FORMAT
		       "; nodes known: %zu; nodes behind: %zu\n",
		       newest, json_object_size(members->nodes), n_behind);
		if (all || n_behind)
			ql_text_table_print(&table);
	}
	ql_text_table_finish(&table);
	return n_behind ? QL_EXIT_PARTIAL : EX_OK;
}

static int show(const ql_options_t *options, bool all)
{
	ql_members_t members;
	int status, version_status;

	ql_members_init(&members);
	status = ql_peer_fetch_reports(options, COMMAND, "members",
				       merge_report, &members);
	if (status == EX_OK || status == QL_EXIT_PARTIAL) {
		version_status = print(&members, options, all);
		status = status == EX_OK ? version_status : status;
	}
	ql_members_finish(&members);
	return status;
}

int ql_command_config_status(int argc, char **argv)
{
	struct arg_lit *all =
		arg_lit0("a", "all", "list also the nodes that are not behind");
	ql_arguments_t arguments;
	ql_options_t options;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	ql_arguments_add(&arguments, all);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status))
		status = show(&options, all->count > 0);
	ql_arguments_finish(&arguments);
	return status;
}
