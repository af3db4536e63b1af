#ifndef QL_CLI_COMMAND_H
#define QL_CLI_COMMAND_H

/**
 * DOC: Commands of the operator's command line.
 */

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct ql_command - A command.
 * @name: its words, such as "config patch"
 * @summary: one line for the list of commands
 * @run: runs it with the arguments after its name; returns the exit status
 */
typedef struct ql_command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
} ql_command_t;

int ql_command_config_get(int argc, char **argv);
int ql_command_config_patch(int argc, char **argv);
int ql_command_check(int argc, char **argv);
int ql_command_status(int argc, char **argv);
int ql_command_metrics(int argc, char **argv);
int ql_command_replay(int argc, char **argv);

/** Exit statuses beside those of sysexits.h. */
enum ql_exit {
	QL_EXIT_REFUSED = 3,
	QL_EXIT_STALE = 4,
	QL_EXIT_OUTCOME = 5,
};

/**
 * ql_command_exit_status() - The exit status for a failure.
 * @ret: 0 or a negative error code
 *
 * Return: a status that stays the same over versions.
 */
int ql_command_exit_status(int ret);

G_END_DECLS

#endif
