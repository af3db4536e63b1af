#include "cli/command.h"
#include "cli/members.h"
#include "cli/peer.h"

#include <stdio.h>
#include <sysexits.h>

#define COMMAND "members"
#define SUMMARY                                                                \
	"Lists the nodes and their endpoints, merged from the reports of the " \
	"registrars among\nthe servers. A registrar reports the nodes of its " \
	"own failure domain: name one\nregistrar of each failure domain as a " \
	"server."

static void merge_report(void *data, const char *address G_GNUC_UNUSED,
			 json_t *report)
{
	ql_members_merge_report(data, report);
}

/* Prints the failure domain if its information is stale. */
static void print_stale_domain(const char *name, const json_t *domain)
{
	json_int_t age_ms =
		json_integer_value(json_object_get(domain, "age_ms"));

	if (json_is_true(json_object_get(domain, "stale")))
		printf("failure domain %s: no contact for %" JSON_INTEGER_FORMAT
		       " ms\n",
		       name, age_ms);
}

static void print_stale_domains(const ql_members_t *members)
{
	const char *name;
	json_t *domain;

	json_object_foreach (members->domains, name, domain) {
		print_stale_domain(name, domain);
	}
}

static void print(const ql_members_t *members)
{
	ql_text_table_t table;

	ql_text_table_init(&table, ql_members_endpoint_titles);
	ql_members_add_endpoint_rows(members, &table);
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
	print_stale_domains(members);
}

static int show(const ql_options_t *options)
{
	ql_members_t members;
	int status;

	ql_members_init(&members);
	status = ql_peer_fetch_reports(options, COMMAND, "members",
				       merge_report, &members);
	if (options->json)
		ql_output_json(json_pack("{s:O, s:O}", "nodes", members.nodes,
					 "domains", members.domains));
	else if (status == EX_OK || status == QL_EXIT_PARTIAL)
		print(&members);
	ql_members_finish(&members);
	return status;
}

int ql_command_members(int argc, char **argv)
{
	return ql_arguments_run(argc, argv, COMMAND, SUMMARY, show);
}
