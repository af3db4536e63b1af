#include "cli/options.h"
#include "cli/command.h"

#include <stdio.h>
#include <sysexits.h>

#define ARGUMENT_ERRORS_MAX 8
#define TIMEOUT_MIN_MS 1
#define TIMEOUT_MAX_MS 600000

void ql_arguments_init(ql_arguments_t *arguments, const char *command,
		       const char *summary, bool needs_servers)
{
	*arguments = (ql_arguments_t){
		.command = command,
		.summary = summary,
		.needs_servers = needs_servers,
	};
}

void ql_arguments_add(ql_arguments_t *arguments, void *entry)
{
	g_assert(arguments->n_entries < QL_ARGUMENTS_MAX);
	arguments->table[arguments->n_entries++] = entry;
}

static void add_shared(ql_arguments_t *arguments)
{
	if (arguments->needs_servers) {
		arguments->server =
			arg_strn("s", "server", "IP:PORT", 0, QL_SERVERS_MAX,
				 "control port of a process; may be repeated");
		arguments->cluster =
			arg_str0("c", "cluster", "NAME", "name of the cluster");
		arguments->timeout_ms =
			arg_int0("t", "timeout-ms", "N",
				 "time limit of the command, in milliseconds");
		ql_arguments_add(arguments, arguments->server);
		ql_arguments_add(arguments, arguments->cluster);
		ql_arguments_add(arguments, arguments->timeout_ms);
	}
	arguments->json = arg_lit0("j", "json", "print JSON");
	arguments->help = arg_lit0("h", "help", "show this help and exit");
	arguments->end = arg_end(ARGUMENT_ERRORS_MAX);
	ql_arguments_add(arguments, arguments->json);
	ql_arguments_add(arguments, arguments->help);
	ql_arguments_add(arguments, arguments->end);
}

static void show_help(ql_arguments_t *arguments)
{
	printf("Usage: quetzalloft %s", arguments->command);
	arg_print_syntax(stdout, arguments->table, "\n");
	printf("%s\n\n", arguments->summary);
	arg_print_glossary(stdout, arguments->table, "  %-26s %s\n");
	puts("\nExit statuses and defaults are described in quetzalloft(1).");
}

/* Prints the message or, if it is NULL, the errors that argtable found. */
static bool print_usage_error(const ql_arguments_t *arguments, int *status,
			      const char *message)
{
	if (message)
		fprintf(stderr, "quetzalloft %s: %s\n", arguments->command,
			message);
	else
		arg_print_errors(stderr, arguments->end, arguments->command);
	fprintf(stderr, "Try \"quetzalloft %s --help\".\n", arguments->command);
	*status = EX_USAGE;
	return false;
}

/* Overrides the defaults with the options of the command line. */
static void apply_arguments(const ql_arguments_t *arguments,
			    ql_options_t *options)
{
	int i;

	options->json = arguments->json->count > 0;
	if (!arguments->needs_servers)
		return;
	if (arguments->server->count)
		options->n_servers = (size_t)arguments->server->count;
	for (i = 0; i < arguments->server->count; i++)
		g_strlcpy(options->servers[i], arguments->server->sval[i],
			  QL_ADDRESS_MAX);
	if (arguments->cluster->count)
		g_strlcpy(options->cluster, arguments->cluster->sval[0],
			  sizeof(options->cluster));
	if (arguments->timeout_ms->count)
		options->timeout_ms = (uint64_t)arguments->timeout_ms->ival[0];
}

static bool check_options(const ql_arguments_t *arguments,
			  const ql_options_t *options, int *status)
{
	if (!arguments->needs_servers ||
	    (arguments->offline && arguments->offline->count))
		return true;
	if (!options->n_servers)
		return print_usage_error(arguments, status,
					 "no server: give --server IP:PORT "
					 "or set QUETZALLOFT_SERVERS");
	if (!options->cluster[0])
		return print_usage_error(
			arguments, status,
			"no cluster: give --cluster NAME or set "
			"QUETZALLOFT_CLUSTER");
	if (options->timeout_ms < TIMEOUT_MIN_MS ||
	    options->timeout_ms > TIMEOUT_MAX_MS)
		return print_usage_error(arguments, status,
					 "--timeout-ms: allowed 1 to 600000");
	return true;
}

bool ql_arguments_parse(ql_arguments_t *arguments, int argc, char **argv,
			ql_options_t *options, int *status)
{
	GError *error = NULL;
	int n_errors;

	add_shared(arguments);
	n_errors = arg_parse(argc, argv, arguments->table);
	*options = (ql_options_t){0};
	*status = EX_OK;
	if (arguments->help->count) {
		show_help(arguments);
		return false;
	}
	if (n_errors)
		return print_usage_error(arguments, status, NULL);
	if (arguments->needs_servers &&
	    ql_options_load_defaults(options, &error)) {
		ql_command_report_error(arguments->command, error);
		*status = EX_CONFIG;
		return false;
	}
	apply_arguments(arguments, options);
	return check_options(arguments, options, status);
}

void ql_arguments_finish(ql_arguments_t *arguments)
{
	arg_freetable(arguments->table, arguments->n_entries);
}

int ql_arguments_run(int argc, char **argv, const char *command,
		     const char *summary, int (*run)(const ql_options_t *))
{
	ql_arguments_t arguments;
	ql_options_t options;
	int status;

	ql_arguments_init(&arguments, command, summary, true);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status))
		status = run(&options);
	ql_arguments_finish(&arguments);
	return status;
}
