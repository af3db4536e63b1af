#include "quetzalloft/error.h"
#include "quetzalloft/replay.h"

#include <string.h>

static const char *const measure_names[QL_REPLAY_N_MEASURES] = {
	[QL_REPLAY_GOODPUT_SHARE] = "goodput_share",
	[QL_REPLAY_RECOVERY_S] = "recovery_s",
	[QL_REPLAY_ORDER_VIOLATIONS] = "order_violations",
	[QL_REPLAY_ATTEMPTS_MAX] = "attempts_max",
	[QL_REPLAY_ATTEMPTS_OVER_BOUND] = "attempts_over_bound",
	[QL_REPLAY_DUPLICATES] = "duplicates",
	[QL_REPLAY_FALSE_NOT_RUN] = "false_not_run",
	[QL_REPLAY_WHOLE_SHARE] = "whole_share",
	[QL_REPLAY_TOP_CLASS_SHARE] = "top_class_share",
	[QL_REPLAY_GOODPUT_PER_S] = "goodput_per_s",
};

const char *ql_replay_measure_name(ql_replay_measure_t measure)
{
	return measure_names[measure];
}

void ql_replay_result_finish(ql_replay_result_t *result)
{
	g_free(result->whole_per_s);
	g_free(result->offered_per_s);
}

int ql_replay_check_outcome(const ql_replay_outcome_t *outcome,
			    const ql_replay_result_t *result, GError **error)
{
	const char *event;
	double value;
	int i;

	for (i = 0; i < QL_REPLAY_N_MEASURES; i++)
		if (!strcmp(measure_names[i], outcome->name))
			break;
	if (i == QL_REPLAY_N_MEASURES)
		return ql_error_set(error, QL_E_NOT_FOUND,
				    "unknown measure \"%s\"", outcome->name);
	value = result->values[i];
	if (value >= outcome->min && value <= outcome->max)
		return 0;
	event = result->events[i];
	return ql_error_set(error, QL_E_RANGE,
			    "%s: found %.4g, allowed %.4g to %.4g%s%s",
			    outcome->name, value, outcome->min, outcome->max,
			    event[0] ? "; " : "", event);
}

static json_t *series(const double *values, size_t n)
{
	json_t *array = json_array();
	size_t i;

	for (i = 0; i < n; i++)
		json_array_append_new(array, json_real(values[i]));
	return array;
}

json_t *ql_replay_result_json(const ql_replay_result_t *result)
{
	json_t *json = json_object();
	json_t *events = json_object();
	int i;

	for (i = 0; i < QL_REPLAY_N_MEASURES; i++) {
		json_object_set_new(json, measure_names[i],
				    json_real(result->values[i]));
		if (result->events[i][0])
			json_object_set_new(events, measure_names[i],
					    json_string(result->events[i]));
	}
	json_object_set_new(json, "events", events);
	json_object_set_new(json, "client_requests",
			    json_integer((json_int_t)result->client_requests));
	json_object_set_new(json, "attempts",
			    json_integer((json_int_t)result->attempts));
	json_object_set_new(json, "refused_early",
			    json_integer((json_int_t)result->refused_early));
	json_object_set_new(json, "refused_at_gates",
			    json_integer((json_int_t)result->refused_at_gates));
	json_object_set_new(json, "bucket_us",
			    json_integer(QL_REPLAY_BUCKET_US));
	json_object_set_new(json, "whole_per_s",
			    series(result->whole_per_s, result->n_buckets));
	json_object_set_new(json, "offered_per_s",
			    series(result->offered_per_s, result->n_buckets));
	return json;
}
