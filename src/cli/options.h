#ifndef QL_CLI_OPTIONS_H
#define QL_CLI_OPTIONS_H

/**
 * DOC: The options that the commands share, and where their defaults come
 * from: the command line first, then the environment, then a file.
 */

#include "quetzalloft/types.h"

#include <argtable2.h>

G_BEGIN_DECLS

#define QL_SERVERS_MAX 64
#define QL_ARGUMENTS_MAX 24

/**
 * struct ql_options - The shared options.
 * @cluster: name of the cluster
 * @servers: "IP:port" of the control ports to ask
 * @n_servers: their number
 * @timeout_ms: time that the command has
 * @json: print JSON in place of tables
 */
typedef struct ql_options {
	char cluster[QL_NAME_MAX];
	char servers[QL_SERVERS_MAX][QL_ADDRESS_MAX];
	size_t n_servers;
	uint64_t timeout_ms;
	bool json;
} ql_options_t;

/**
 * struct ql_arguments - The arguments of one command.
 * @command: its name
 * @summary: what it does
 * @needs_servers: whether it takes --server, --cluster and --timeout-ms
 * @offline: when this one is given, no server is needed; may be NULL
 * @table: every argument, for argtable
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
 * ql_arguments_init() - Begin the arguments of a command.
 * @arguments: the arguments
 * @command: its name
 * @summary: what it does, in one or more lines
 * @needs_servers: whether it asks processes of a cluster
 */
void ql_arguments_init(ql_arguments_t *arguments, const char *command,
		       const char *summary, bool needs_servers);

/**
 * ql_arguments_add() - Add an argument of the command's own.
 * @arguments: the arguments
 * @entry: made by argtable, which frees it
 */
void ql_arguments_add(ql_arguments_t *arguments, void *entry);

/**
 * ql_arguments_parse() - Parse the command line and find the defaults.
 * @arguments: the arguments
 * @argc: number of words, the command's last one first
 * @argv: the words
 * @options: the shared options
 * @status: exit status when the command ends here
 *
 * Return: true when the command goes on; false after --help or an error,
 * which was printed.
 */
bool ql_arguments_parse(ql_arguments_t *arguments, int argc, char **argv,
			ql_options_t *options, int *status);

void ql_arguments_finish(ql_arguments_t *arguments);

/**
 * ql_options_load_defaults() - Find the defaults of the shared options.
 * @options: where to store them
 * @error: detail of a failure
 *
 * Reads $QUETZALLOFT_CONFIG, or quetzalloft.json in the user's folder of
 * settings if it is there, then $QUETZALLOFT_SERVERS, $QUETZALLOFT_CLUSTER and
 * $QUETZALLOFT_TIMEOUT_MS, which go before it.
 *
 * Return: 0, a failure of ql_json_load_file() or ql_json_read(), QL_E_INVALID
 * or QL_E_RANGE.
 */
int ql_options_load_defaults(ql_options_t *options, GError **error);

G_END_DECLS

#endif
