#ifndef QL_CLI_OPTIONS_H
#define QL_CLI_OPTIONS_H

/**
 * DOC: The options that commands have in common. The command line takes
 * precedence over the environment, and the environment over the file of
 * defaults.
 */

#include "quetzalloft/types.h"

#include <argtable2.h>

G_BEGIN_DECLS

/** Highest number of servers of one command. */
#define QL_SERVERS_MAX 64

/** Highest number of entries of a command's argument table. */
#define QL_ARGUMENTS_MAX 24

/**
 * struct ql_options - Values of the common options.
 * @cluster: name of the cluster; empty if none was given
 * @servers: "IP:port" of the control port of each server
 * @n_servers: number of entries of @servers, 0 to QL_SERVERS_MAX
 * @timeout_ms: time limit, in milliseconds: of the whole command or of each
 *              call, depending on the command
 * @json: print JSON instead of tables
 */
typedef struct ql_options {
	char cluster[QL_NAME_MAX];
	char servers[QL_SERVERS_MAX][QL_ADDRESS_MAX];
	size_t n_servers;
	uint64_t timeout_ms;
	bool json;
} ql_options_t;

/**
 * struct ql_arguments - The arguments that one command accepts.
 * @command: name of the command; borrowed
 * @summary: description of the command for --help; borrowed
 * @needs_servers: whether the command accepts --server, --cluster and
 *                 --timeout-ms, and requires a server and a cluster
 * @offline: argument that makes servers unnecessary when it is given; NULL if
 *           the command has none
 * @server: --server; NULL unless @needs_servers
 * @cluster: --cluster; NULL unless @needs_servers
 * @timeout_ms: --timeout-ms, in milliseconds; NULL unless @needs_servers
 * @json: --json
 * @help: --help
 * @end: receives the errors that argtable finds
 * @table: all arguments in the form that argtable expects; freed by
 *         ql_arguments_finish()
 * @n_entries: number of entries of @table
 */
typedef struct ql_arguments {
	const char *command;
	const char *summary;
	bool needs_servers;
	const struct arg_file *offline;
	struct arg_str *server;
	struct arg_str *cluster;
	struct arg_int *timeout_ms;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
	void *table[QL_ARGUMENTS_MAX];
	size_t n_entries;
} ql_arguments_t;

/**
 * ql_arguments_init() - Initialize the arguments of a command.
 * @arguments: the arguments; freed by ql_arguments_finish()
 * @command: name of the command; borrowed
 * @summary: description of the command, of one or more lines; borrowed
 * @needs_servers: whether the command sends requests to servers
 */
void ql_arguments_init(ql_arguments_t *arguments, const char *command,
		       const char *summary, bool needs_servers);

/**
 * ql_arguments_add() - Add an argument that is specific to the command.
 * @arguments: the arguments, which hold less than QL_ARGUMENTS_MAX entries
 * @entry: an argument that argtable allocated; ownership passes to @arguments
 */
void ql_arguments_add(ql_arguments_t *arguments, void *entry);

/**
 * ql_arguments_parse() - Add the common options, parse the command line and
 * fill in the defaults.
 * @arguments: the arguments; may be parsed once
 * @argc: number of entries of @argv
 * @argv: last word of the command's name, followed by its arguments
 * @options: receives the values of the common options
 * @status: receives the exit status if the result is false
 *
 * Return: true if the command can run; false after --help, or after an error,
 * which is printed to standard error.
 */
bool ql_arguments_parse(ql_arguments_t *arguments, int argc, char **argv,
			ql_options_t *options, int *status);

/**
 * ql_arguments_finish() - Free the arguments.
 * @arguments: the arguments
 */
void ql_arguments_finish(ql_arguments_t *arguments);

/**
 * ql_arguments_run() - Run a command that sends requests to servers and has no
 * arguments of its own.
 * @argc: number of entries of @argv
 * @argv: last word of the command's name, followed by its arguments
 * @command: name of the command
 * @summary: description of the command, of one or more lines
 * @run: called with the values of the common options if they are valid;
 *       returns the exit status
 *
 * Return: the exit status.
 */
int ql_arguments_run(int argc, char **argv, const char *command,
		     const char *summary, int (*run)(const ql_options_t *));

/**
 * ql_options_load_defaults() - Load the defaults of the common options.
 * @options: receives the defaults; zeroed by the caller
 * @error: receives the details of a failure; may be NULL
 *
 * Reads the file that $QUETZALLOFT_CONFIG names or, if the variable is unset
 * or empty, quetzalloft.json in the user's configuration folder if that file
 * exists. $QUETZALLOFT_SERVERS, $QUETZALLOFT_CLUSTER and
 * $QUETZALLOFT_TIMEOUT_MS override the values of the file unless they are
 * empty.
 *
 * Return: 0, a failure of ql_json_load_file() or ql_json_read(), QL_E_TYPE
 * for a server that is not a string, QL_E_INVALID for an address that does
 * not parse, or QL_E_RANGE for more than QL_SERVERS_MAX servers or a time-out
 * outside of 1 to 600000 ms.
 */
int ql_options_load_defaults(ql_options_t *options, GError **error);

G_END_DECLS

#endif
