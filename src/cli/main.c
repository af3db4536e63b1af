#include "cli/command.h"

#include <stdio.h>
#include <string.h>
#include <sysexits.h>

static const ql_command_t commands[] = {
	{"config get", "print the configuration and its version",
	 ql_command_config_get},
	{"config patch", "submit a patch to the configuration",
	 ql_command_config_patch},
	{"config status", "show the version that each node has in force",
	 ql_command_config_status},
	{"members", "list nodes and endpoints", ql_command_members},
	{"status", "show the state of processes", ql_command_status},
	{"drain", "stop a node gracefully", ql_command_drain},
	{"explain", "show where a request would go now, and why",
	 ql_command_explain},
	{"replicas status", "show the replicas of the configuration",
	 ql_command_replicas_status},
	{"replicas add", "add a new replica as a learner",
	 ql_command_replicas_add},
	{"replicas promote", "make a learner a voter",
	 ql_command_replicas_promote},
	{"replicas remove", "remove a replica permanently",
	 ql_command_replicas_remove},
	{"timeline", "show the events of all processes in order",
	 ql_command_timeline},
	{"metrics", "show counters and latencies", ql_command_metrics},
	{"check", "check configuration documents and state charts",
	 ql_command_check},
	{"replay", "replay a trace and check its stated outcomes",
	 ql_command_replay},
};

static void show_help(FILE *out)
{
	size_t i;

	fputs("Usage: quetzalloft COMMAND [OPTIONS]\n\nCommands:\n", out);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-16s %s\n", commands[i].name,
			commands[i].summary);
	fputs("\nRun \"quetzalloft COMMAND --help\" for details.\n", out);
}

/*
 * Returns the number of words in the name of a command if the arguments start
 * with them, else 0.
 */
static int match_command(const char *name, int argc, char **argv)
{
	char **words = g_strsplit(name, " ", -1);
	int n = (int)g_strv_length(words);
	int i;

	for (i = 0; i < n && i < argc; i++)
		if (strcmp(words[i], argv[i]) != 0)
			break;
	g_strfreev(words);
	return i == n ? n : 0;
}

int main(int argc, char **argv)
{
	size_t i;
	int n;

	if (argc < 2) {
		show_help(stderr);
		return EX_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		show_help(stdout);
		return EX_OK;
	}
	if (!strcmp(argv[1], "--version")) {
		puts("quetzalloft " QL_VERSION);
		return EX_OK;
	}
	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		n = match_command(commands[i].name, argc - 1, argv + 1);
		if (n)
			return commands[i].run(argc - n, argv + n);
	}
	fprintf(stderr, "quetzalloft: unknown command \"%s\"\n", argv[1]);
	show_help(stderr);
	return EX_USAGE;
}
