#include "quetzalloft/replay.h"

#include <stdio.h>
#include <stdlib.h>

/**
 * DOC: Replays traces under every policy variant with several surge factors.
 * Writes JSON to standard output and a Markdown table to standard error.
 */

/* Factors for the surges of each trace. */
static const double surges[] = {1, 2, 4, 10};

/* A policy to compare; NULL keeps the limiter or the queue of the base. */
typedef struct {
	const char *label;
	const char *base;
	const char *limiter;
	const char *queue;
	bool no_early;
} variant_t;

static const variant_t variants[] = {
	{"no guard", "none", NULL, NULL, false},
	{"fixed limit, three tries a layer", "fixed", NULL, NULL, false},
	{"gradient, fifo", "quetzalloft", "gradient", "fifo", false},
	{"gradient, adaptive_lifo", "quetzalloft", "gradient", "adaptive_lifo",
	 false},
	{"gradient, codel", "quetzalloft", "gradient", "codel", false},
	{"gradient, fifo, no early refusal", "quetzalloft", "gradient", "fifo",
	 true},
	{"gradient_drift, fifo", "quetzalloft", "gradient_drift", "fifo",
	 false},
	{"aimd, fifo", "quetzalloft", "aimd", "fifo", false},
	{"fixed, fifo", "quetzalloft", "fixed", "fifo", false},
};

static void build_policy(const variant_t *variant, ql_replay_policy_t *policy)
{
	*policy = *ql_replay_policy_find(variant->base);
	if (variant->limiter)
		policy->limiter = ql_limiter_find(variant->limiter);
	if (variant->queue)
		policy->queue = ql_queue_find(variant->queue);
	if (variant->no_early)
		policy->early_rejection = false;
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

static void print_row(const ql_replay_trace_t *trace, const variant_t *variant,
		      double surge, const ql_replay_result_t *result)
{
	const double *values = result->values;

	fprintf(stderr,
		"| %s | %s | %g | %.0f | %.2f | %.1f | %.2f | %.0f | %.0f | "
		"%.0f |\n",
		trace->name, variant->label, surge,
		values[QL_REPLAY_GOODPUT_PER_S],
		values[QL_REPLAY_GOODPUT_SHARE], values[QL_REPLAY_RECOVERY_S],
		values[QL_REPLAY_TOP_CLASS_SHARE],
		values[QL_REPLAY_ORDER_VIOLATIONS],
		values[QL_REPLAY_DUPLICATES], values[QL_REPLAY_ATTEMPTS_MAX]);
}

static json_t *run(ql_replay_trace_t *trace, const variant_t *variant,
		   double surge)
{
	ql_replay_policy_t policy;
	ql_replay_result_t result;
	json_t *json;

	build_policy(variant, &policy);
	set_surge_factor(trace, surge);
	ql_replay_run(&result, trace, &policy);
	print_row(trace, variant, surge, &result);
	json = ql_replay_result_json(&result);
	json_object_set_new(json, "trace", json_string(trace->name));
	json_object_set_new(json, "policy", json_string(variant->label));
	json_object_set_new(json, "surge", json_real(surge));
	ql_replay_result_finish(&result);
	return json;
}

static int replay_trace(const char *path, json_t *results)
{
	ql_replay_trace_t trace;
	GError *error = NULL;
	size_t i, k;
	int ret = ql_replay_trace_load(&trace, path, &error);

	if (ret)
		fprintf(stderr, "%s: %s\n", path, error->message);
	for (i = 0; !ret && i < G_N_ELEMENTS(variants); i++)
		for (k = 0; k < G_N_ELEMENTS(surges); k++)
			json_array_append_new(results, run(&trace, &variants[i],
							   surges[k]));
	g_clear_error(&error);
	ql_replay_trace_finish(&trace);
	return ret;
}

int main(int argc, char **argv)
{
	json_t *results = json_array();
	int i, ret = 0;

	fputs("| trace | policy | demand | whole/s | share of what the "
	      "bottleneck carries | recovery s | top class whole | order "
	      "violations | duplicates | most attempts |\n"
	      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
	      "|\n",
	      stderr);
	for (i = 1; i < argc && !ret; i++)
		ret = replay_trace(argv[i], results);
	json_dumpf(results, stdout, JSON_COMPACT);
	json_decref(results);
	return ret ? EXIT_FAILURE : EXIT_SUCCESS;
}
