#include "node/core_node.h"
#include "node/node.h"
#include "node/path_node.h"
#include "node/reload.h"
#include "node/signals.h"
#include "platform/adapter.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <argtable2.h>
#include <stdio.h>
#include <sysexits.h>
#include <unistd.h>

typedef struct {
	struct arg_file *config;
	struct arg_lit *check;
	struct arg_lit *verbose;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
} arguments_t;

#define ARGUMENT_ERRORS_MAX 8
/* Interval at which the settings file is checked for changes. */
#define RELOAD_INTERVAL_US (1 * QL_US_PER_S)

static void arguments_init(arguments_t *args)
{
	args->config = arg_file0("c", "config", "FILE", "settings of the node");
	args->check = arg_lit0(NULL, "check", "check the settings and exit");
	args->verbose = arg_lit0("v", "verbose", "log debug events too");
	args->help = arg_lit0("h", "help", "show this help and exit");
	args->version = arg_lit0(NULL, "version", "show the version and exit");
	args->end = arg_end(ARGUMENT_ERRORS_MAX);
}

static void show_help(void **table)
{
	printf("Usage: quetzalloftd");
	arg_print_syntax(stdout, table, "\n");
	printf("Runs one node: gate, router and, by its settings, registrar "
	       "and replica.\n\n");
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

/*
 * The running process. @apply passes changed settings to the node in @data;
 * NULL when none of them can change without a restart.
 */
typedef struct {
	ql_reload_t *reload;
	ql_signals_t *signals;
	void (*apply)(void *data, const ql_settings_t *settings);
	void *data;
} process_t;

static void reload_settings(const process_t *process)
{
	ql_settings_t settings;

	if (ql_reload_check(process->reload, &settings) != QL_RELOAD_CHANGED)
		return;
	ql_signals_set_grace(process->signals, settings.grace_ms);
	if (process->apply)
		process->apply(process->data, &settings);
}

/*
 * Waits for a request to stop. The settings are reloaded on request and, as the
 * file may change without a signal, at each interval too.
 */
static void wait_for_stop(const process_t *process)
{
	while (ql_signals_wait(process->signals, RELOAD_INTERVAL_US) !=
	       QL_SIGNAL_STOP)
		reload_settings(process);
}

static int fail_start(GError *error)
{
	ql_log_error(LOG_ERR, "start_failed", error);
	g_error_free(error);
	return EX_UNAVAILABLE;
}

static void apply_to_path_node(void *node, const ql_settings_t *settings)
{
	ql_path_node_reload(node, settings);
}

static int run_path_node(const ql_settings_t *settings, process_t *process)
{
	ql_path_node_t *node = g_new0(ql_path_node_t, 1);
	GError *error = NULL;

	process->apply = apply_to_path_node;
	process->data = node;
	if (ql_path_node_start(node, settings, &ql_platform_dialect, &error))
		return fail_start(error);
	wait_for_stop(process);
	ql_path_node_drain(node);
	ql_path_node_stop(node);
	g_free(node);
	return EX_OK;
}

static void apply_to_core_node(void *node, const ql_settings_t *settings)
{
	ql_core_node_reload(node, settings);
}

static int run_core_node(const ql_settings_t *settings, process_t *process)
{
	ql_core_node_t *node = g_new0(ql_core_node_t, 1);
	GError *error = NULL;

	process->apply = apply_to_core_node;
	process->data = node;
	if (ql_core_node_start(node, settings, &ql_platform_dialect, &error))
		return fail_start(error);
	wait_for_stop(process);
	ql_core_node_stop(node);
	g_free(node);
	return EX_OK;
}

static int run_all(const ql_settings_t *settings, process_t *process)
{
	ql_node_t *node = g_new0(ql_node_t, 1);
	GError *error = NULL;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (ql_node_start(node, settings, &error)) {
		g_free(node);
		return fail_start(error);
	}
	wait_for_stop(process);
	ql_node_drain(node);
	ql_node_stop(node);
	g_free(node);
	curl_global_cleanup();
	return EX_OK;
}

static int run(const ql_settings_t *settings, ql_reload_t *settings_file)
{
	static ql_signals_t signals;
	process_t process = {.reload = settings_file, .signals = &signals};

	ql_log_set_process(settings->node);
	if (settings->role != QL_ROLE_ALL)
		ql_log_set_output(STDOUT_FILENO);
	ql_signals_start(&signals, settings->grace_ms);
	switch (settings->role) {
	case QL_ROLE_NODE:
		return run_path_node(settings, &process);
	case QL_ROLE_REPLICA:
		return run_core_node(settings, &process);
	case QL_ROLE_ALL:
	default:
		return run_all(settings, &process);
	}
}

static int load_and_run(const arguments_t *args)
{
	ql_settings_t settings;
	GError *error = NULL;
	ql_reload_t settings_file;
	int status = EX_OK;

	if (ql_reload_init(&settings_file, args->config->filename[0], &error) ||
	    ql_settings_parse(&settings, settings_file.json, &error)) {
		ql_log_error(LOG_ERR, "settings_invalid", error);
		g_error_free(error);
		return EX_CONFIG;
	}
	if (!args->check->count)
		status = run(&settings, &settings_file);
	ql_reload_finish(&settings_file);
	return status;
}

int main(int argc, char **argv)
{
	arguments_t args;
	void **table = (void **)&args;
	int n_errors, status = EX_OK;

	arguments_init(&args);
	n_errors = arg_parse(argc, argv, table);
	if (args.verbose->count)
		ql_log_set_threshold(LOG_DEBUG);
	if (args.help->count) {
		show_help(table);
	} else if (args.version->count) {
		puts("quetzalloftd " QL_VERSION);
	} else if (n_errors || !args.config->count) {
		arg_print_errors(stderr, args.end, "quetzalloftd");
		fputs("quetzalloftd: --config FILE is needed; see --help\n",
		      stderr);
		status = EX_USAGE;
	} else {
		status = load_and_run(&args);
	}
	arg_freetable(table, sizeof(args) / sizeof(void *));
	return status;
}
