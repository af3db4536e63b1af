#ifndef QL_CLI_COMMAND_H
#define QL_CLI_COMMAND_H

/**
 * DOC: Commands of the operator's command line, and how they end.
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
int ql_command_config_status(int argc, char **argv);
int ql_command_members(int argc, char **argv);
int ql_command_status(int argc, char **argv);
int ql_command_drain(int argc, char **argv);
int ql_command_timeline(int argc, char **argv);
int ql_command_metrics(int argc, char **argv);
int ql_command_replicas_status(int argc, char **argv);
int ql_command_replicas_add(int argc, char **argv);
int ql_command_replicas_promote(int argc, char **argv);
int ql_command_replicas_remove(int argc, char **argv);
int ql_command_check(int argc, char **argv);
int ql_command_replay(int argc, char **argv);

/**
 * enum ql_exit - Exit statuses beside those of sysexits.h. They stay the same
 * over versions.
 * @QL_EXIT_REFUSED: the cluster refused the request
 * @QL_EXIT_STALE: the patch was written against an old version
 * @QL_EXIT_PARTIAL: some processes did not answer, or lag behind
 * @QL_EXIT_OUTCOME_NOT_MET: a stated outcome of a trace was not met
 */
enum ql_exit {
	QL_EXIT_REFUSED = 3,
	QL_EXIT_STALE = 4,
	QL_EXIT_PARTIAL = 5,
	QL_EXIT_OUTCOME_NOT_MET = 6,
};

/**
 * ql_command_exit_status() - The exit status for a failure.
 * @ret: 0 or a negative error code
 *
 * Return: a status of sysexits.h or of &enum ql_exit.
 */
int ql_command_exit_status(int ret);

/**
 * ql_command_report_error() - Write a failure, and what to do next, to standard
 * error.
 * @command: the command that failed
 * @error: the failure; freed
 *
 * Return: the exit status.
 */
int ql_command_report_error(const char *command, GError *error);

G_END_DECLS

#endif
