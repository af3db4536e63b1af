#ifndef QL_CLI_COMMAND_H
#define QL_CLI_COMMAND_H

/**
 * DOC: The commands of the operator's command line and their exit statuses.
 */

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct ql_command - One command of the command line.
 * @name: words that select the command, separated by spaces, such as "config
 *        patch"
 * @summary: one line for the list of commands
 * @run: runs the command and returns its exit status; @argv starts with the
 *       last word of @name, followed by the arguments of the command
 */
typedef struct ql_command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
} ql_command_t;

/* The &ql_command.run functions. */
int ql_command_config_get(int argc, char **argv);
int ql_command_config_patch(int argc, char **argv);
int ql_command_config_status(int argc, char **argv);
int ql_command_members(int argc, char **argv);
int ql_command_status(int argc, char **argv);
int ql_command_drain(int argc, char **argv);
int ql_command_explain(int argc, char **argv);
int ql_command_timeline(int argc, char **argv);
int ql_command_metrics(int argc, char **argv);
int ql_command_replicas_status(int argc, char **argv);
int ql_command_replicas_add(int argc, char **argv);
int ql_command_replicas_promote(int argc, char **argv);
int ql_command_replicas_remove(int argc, char **argv);
int ql_command_check(int argc, char **argv);
int ql_command_replay(int argc, char **argv);

/**
 * enum ql_exit - Exit statuses in addition to those of sysexits.h. Their
 * values are the same in all versions of the program.
 * @QL_EXIT_REFUSED: the cluster refused the request
 * @QL_EXIT_STALE: the base version of the patch is not the current version
 * @QL_EXIT_PARTIAL: some processes did not answer, or some nodes do not have
 *                   the newest version in force
 * @QL_EXIT_OUTCOME_NOT_MET: the replay did not meet an outcome that its trace
 *                           states
 */
enum ql_exit {
	QL_EXIT_REFUSED = 3,
	QL_EXIT_STALE = 4,
	QL_EXIT_PARTIAL = 5,
	QL_EXIT_OUTCOME_NOT_MET = 6,
};

/**
 * ql_command_exit_status() - Map an error code to an exit status.
 * @ret: 0 or a negative error code
 *
 * Return: EX_OK for 0; otherwise a status of sysexits.h or of &enum ql_exit,
 * which is QL_EXIT_REFUSED for codes without a status of their own.
 */
int ql_command_exit_status(int ret);

/**
 * ql_command_report_error() - Print an error, and a hint how to resolve it, to
 * standard error.
 * @command: name of the command that failed
 * @error: the error; must not be NULL; freed
 *
 * Return: the exit status for the error, as of ql_command_exit_status().
 */
int ql_command_report_error(const char *command, GError *error);

G_END_DECLS

#endif
