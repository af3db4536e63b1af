#include "cli/command.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/replay.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>

#define ARGUMENT_ERRORS_MAX 8
#define SURGE_FACTOR_MIN 0.001
#define SURGE_FACTOR_MAX 1000.0

typedef struct {
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *policy;
	struct arg_str *limiter;
	struct arg_str *queue;
	struct arg_lit *no_early;
	struct arg_dbl *surge;
	struct arg_int *seed;
	struct arg_file *trace;
	struct arg_end *end;
} arguments_t;

static int print_option_error(const char *option, const char *found,
			      const char *allowed)
{
	fprintf(stderr, "quetzalloft replay: --%s: found \"%s\", allowed %s\n",
		option, found, allowed);
	return EX_USAGE;
}

/* Builds the policy from the options. Returns EX_OK or EX_USAGE. */
static int build_policy(const arguments_t *options, ql_replay_policy_t *policy)
{
	const ql_replay_policy_t *base =
		ql_replay_policy_find(options->policy->sval[0]);

	if (!base)
		return print_option_error("policy", options->policy->sval[0],
					  "none, fixed or quetzalloft");
	*policy = *base;
	if (options->limiter->count)
		policy->limiter = ql_limiter_find(options->limiter->sval[0]);
	if (options->limiter->count && !policy->limiter)
		return print_option_error("limiter", options->limiter->sval[0],
					  QL_LIMITER_NAMES);
	if (options->queue->count)
		policy->queue = ql_queue_find(options->queue->sval[0]);
	if (options->queue->count && !policy->queue)
		return print_option_error("queue", options->queue->sval[0],
					  "fifo, adaptive_lifo or codel");
	if (options->no_early->count)
		policy->early_rejection = false;
	return EX_OK;
}

static void set_surge_factor(ql_replay_trace_t *trace, double factor)
{
	ql_replay_fault_t *fault;
	guint i;

	for (i = 0; i < trace->faults->len; i++) {
		fault = &g_array_index(trace->faults, ql_replay_fault_t, i);
		if (fault->type == QL_REPLAY_SURGE)
			fault->factor = factor;
	}
}

static void show_table(const ql_replay_trace_t *trace,
		       const ql_replay_result_t *result)
{
	int i;

	printf("%-22s %s\n", "trace", trace->name);
	printf("%-22s %" G_GUINT64_FORMAT "\n", "client_requests",
	       result->client_requests);
	printf("%-22s %" G_GUINT64_FORMAT "\n", "attempts", result->attempts);
	printf("%-22s %" G_GUINT64_FORMAT "\n", "refused_early",
	       result->refused_early);
	printf("%-22s %" G_GUINT64_FORMAT "\n", "refused_at_gates",
	       result->refused_at_gates);
	for (i = 0; i < QL_REPLAY_N_MEASURES; i++)
		printf("%-22s %.4g\n", ql_replay_measure_name(i),
		       result->values[i]);
}

static void show_json(const ql_replay_result_t *result)
{
	json_t *json = ql_replay_result_json(result);
	char *text = ql_json_dump(json);

	puts(text);
	free(text);
	json_decref(json);
}

/* Checks every outcome that the trace states; prints those not met. */
static int check_outcomes(const ql_replay_trace_t *trace,
			  const ql_replay_result_t *result)
{
	const ql_replay_outcome_t *outcome;
	int status = EX_OK;
	GError *error = NULL;
	guint i;

	for (i = 0; i < trace->outcomes->len; i++) {
		outcome =
			&g_array_index(trace->outcomes, ql_replay_outcome_t, i);
		if (!ql_replay_check_outcome(outcome, result, &error))
			continue;
		fprintf(stderr, "quetzalloft replay: %s: %s\n", trace->name,
			error->message);
		g_clear_error(&error);
		status = QL_EXIT_OUTCOME_NOT_MET;
	}
	return status;
}

static int replay(const arguments_t *options)
{
	ql_replay_policy_t policy;
	ql_replay_result_t result;
	ql_replay_trace_t trace;
	GError *error = NULL;
	int status = build_policy(options, &policy);

	if (status)
		return status;
	if (ql_replay_trace_load(&trace, options->trace->filename[0], &error)) {
		fprintf(stderr, "quetzalloft replay: %s: %s\n",
			options->trace->filename[0], error->message);
		g_clear_error(&error);
		ql_replay_trace_finish(&trace);
		return EX_DATAERR;
	}
	if (options->surge->count)
		set_surge_factor(&trace,
				 CLAMP(options->surge->dval[0],
				       SURGE_FACTOR_MIN, SURGE_FACTOR_MAX));
	if (options->seed->count)
		trace.seed = (uint64_t)options->seed->ival[0];
	ql_replay_run(&result, &trace, &policy);
	if (options->json->count)
		show_json(&result);
	else
		show_table(&trace, &result);
	status = check_outcomes(&trace, &result);
	ql_replay_result_finish(&result);
	ql_replay_trace_finish(&trace);
	return status;
}

static int parse_and_run(int argc, char **argv, void **table,
			 const arguments_t *options)
{
	int n_errors = arg_parse(argc, argv, table);

	if (options->help->count) {
		fputs("Usage: quetzalloft replay", stdout);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		return EX_OK;
	}
	if (n_errors) {
		arg_print_errors(stderr, options->end, "quetzalloft replay");
		fputs("Usage: quetzalloft replay", stderr);
		arg_print_syntax(stderr, table, "\n");
		return EX_USAGE;
	}
	return replay(options);
}

int ql_command_replay(int argc, char **argv)
{
	arguments_t options = {
		arg_lit0("h", "help", "show this help"),
		arg_lit0("j", "json", "print JSON instead of a table"),
		arg_str0("p", "policy", "NAME",
			 "none, fixed or quetzalloft (default)"),
		arg_str0(NULL, "limiter", "NAME", QL_LIMITER_NAMES),
		arg_str0(NULL, "queue", "NAME", "fifo, adaptive_lifo or codel"),
		arg_lit0(NULL, "no-early",
			 "disable early rejection at the first node"),
		arg_dbl0(NULL, "surge", "FACTOR",
			 "replaces the factor of each surge in the trace"),
		arg_int0(NULL, "seed", "N", "replaces the seed of the trace"),
		arg_file1(NULL, NULL, "TRACE", "trace to replay"),
		arg_end(ARGUMENT_ERRORS_MAX),
	};
	void **table = (void **)&options;
	int status;

	options.policy->sval[0] = "quetzalloft";
	status = parse_and_run(argc, argv, table, &options);
	arg_freetable(table, sizeof(options) / sizeof(void *));
	return status;
}
