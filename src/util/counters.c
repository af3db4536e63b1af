#include "util/counters.h"

static const ql_metric_t metrics[QL_N_COUNTERS] = {
	[QL_COUNT_CLIENT_REQUESTS] = {"client_requests",
				      "Client requests received."},
	[QL_COUNT_CLIENT_ANSWERED] = {"client_answered",
				      "Client requests answered in whole."},
	[QL_COUNT_CLIENT_NOT_RUN] = {"client_not_run",
				     "Client requests told not-run."},
	[QL_COUNT_CLIENT_REFUSED] = {"client_refused",
				     "Client requests told refused."},
	[QL_COUNT_CLIENT_UNKNOWN] = {"client_unknown",
				     "Client requests told unknown."},
	[QL_COUNT_LOCAL_CALLS] = {"local_calls",
				  "Calls of the endpoints of this VM."},
	[QL_COUNT_ATTEMPTS] = {"attempts", "Attempts made by the router."},
	[QL_COUNT_RETRIES] = {"retries", "Attempts after the first of a call."},
	[QL_COUNT_EARLY_REFUSALS] = {"early_refusals",
				     "Calls refused before any attempt, from "
				     "the levels that gates reported."},
	[QL_COUNT_TEAM_REFUSALS] = {"team_refusals",
				    "Calls refused before any attempt as their "
				    "team has had its part."},
	[QL_COUNT_GAVE_WAY] = {"gave_way",
			       "Requests refused for one behind them."},
	[QL_COUNT_GATE_ADMITTED] = {"gate_admitted",
				    "Calls that the gates admitted."},
	[QL_COUNT_GATE_REFUSED] = {"gate_refused",
				   "Calls that the gates refused."},
	[QL_COUNT_BAD_METADATA] = {"bad_metadata",
				   "Requests with malformed headers, and "
				   "answers with a malformed occupancy."},
	[QL_COUNT_BAD_ANSWERS] = {"bad_answers",
				  "Answers dropped: late, of another attempt "
				  "or malformed."},
	[QL_COUNT_TOO_LARGE] = {"too_large", "Bodies over the limit."},
	[QL_COUNT_LEASES_SENT] = {"leases_sent", "Lease renewals sent."},
	[QL_COUNT_LEASES_FAILED] = {"leases_failed",
				    "Lease renewals without an answer."},
	[QL_COUNT_LEASES_TIMED_OUT] = {"leases_timed_out",
				       "Lease renewals that ran into their "
				       "timeout."},
	[QL_COUNT_CONFIG_CHANGES] = {"config_changes",
				     "Configuration versions put in force."},
	[QL_COUNT_CLIENT_CANCELLED] = {"client_cancelled",
				       "Requests whose client left."},
	[QL_COUNT_REROUTES] = {"reroutes",
			       "Attempts after a gate refused the one before."},
	[QL_COUNT_ENDPOINT_REFUSED] = {"endpoint_refused",
				       "Requests that the endpoint did not "
				       "run."},
	[QL_COUNT_ENDPOINT_LOST] = {"endpoint_lost",
				    "Requests whose connection to the endpoint "
				    "was lost."},
	[QL_COUNT_ABANDONED] = {"abandoned",
				"Requests given up at the endpoint, as nobody "
				"waits for the answer."},
	[QL_COUNT_PATCHES_ACCEPTED] = {"patches_accepted",
				       "Changes of the configuration decided "
				       "on and taken."},
	[QL_COUNT_PATCHES_REFUSED] = {"patches_refused",
				      "Changes of the configuration refused."},
	[QL_COUNT_REPORTS_REFUSED] = {"reports_refused",
				      "Reports of endpoints refused."},
	[QL_COUNT_REPORTS_WITHDRAWN] =
		{"reports_withdrawn",
		 "Reports sent before their endpoint withdrew."},
	[QL_COUNT_DISK_WRITES_FAILED] =
		{"disk_writes_failed",
		 "Failed attempts of a replica to write to its disk."},
	[QL_COUNT_KEYS_NOT_CURRENT] =
		{"keys_not_current",
		 "Requests refused, as API keys could not be proven current."},
	[QL_COUNT_QUOTA_REFUSED] = {"quota_refused",
				    "Requests over the quota of their team."},
	[QL_COUNT_QUOTA_UNKNOWN] = {"quota_unknown",
				    "Requests refused because no replica told "
				    "in time what is left of the quota."},
	[QL_COUNT_QUOTA_GRANTED] = {"quota_granted",
				    "Calls of nodes that this leader has "
				    "granted tokens of quotas."},
};

static const ql_metric_t gauge_metrics[QL_N_GAUGES] = {
	[QL_GAUGE_CONFIG_VERSION] = {"config_version",
				     "Version of the configuration in force."},
	[QL_GAUGE_LEADING] = {"leading", "1 while this replica leads."},
	[QL_GAUGE_DISK_FAILING] = {"disk_failing",
				   "1 while the disk of this replica takes no "
				   "writes."},
	[QL_GAUGE_GATE_RUNNING] = {"gate_running", "Requests at the endpoint."},
	[QL_GAUGE_GATE_QUEUED] = {"gate_queued",
				  "Requests that wait at the gate."},
	[QL_GAUGE_GATE_LIMIT] = {"gate_limit",
				 "Requests that the gate lets run at a time."},
	[QL_GAUGE_KEY_PROOF_AGE_MS] =
		{"key_proof_age_ms",
		 "Age of the proof that API keys are current."},
};

static const ql_metric_t latency_metrics[QL_N_LATENCIES] = {
	[QL_LATENCY_CLIENT] = {"client_request",
			       "Client requests at their first node."},
	[QL_LATENCY_ATTEMPT] = {"attempt", "Attempts at the calling node."},
	[QL_LATENCY_GATE_WAIT] = {"gate_wait",
				  "Waits for the decision of a gate."},
	[QL_LATENCY_ENDPOINT] = {"endpoint",
				 "Admitted requests at the endpoint."},
};

const char *ql_counter_name(ql_counter_t counter)
{
	g_assert(counter < QL_N_COUNTERS);
	return metrics[counter].name;
}

uint64_t ql_counter_value(const ql_counters_t *counters, ql_counter_t counter)
{
	uint64_t value = 0;
	unsigned int shard;

	for (shard = 0; shard < QL_METRICS_SHARDS; shard++)
		value += __atomic_load_n(&counters->values[shard][counter],
					 __ATOMIC_RELAXED);
	return value;
}

char *ql_counters_format_prometheus(const ql_counters_t *counters)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < QL_N_COUNTERS; i++)
		ql_metrics_put_counter(text, &metrics[i],
				       ql_counter_value(counters,
							(ql_counter_t)i));
	for (i = 0; i < QL_N_GAUGES; i++)
		ql_metrics_put_gauge(text, &gauge_metrics[i],
				     __atomic_load_n(&counters->gauges[i],
						     __ATOMIC_RELAXED));
	for (i = 0; i < QL_N_LATENCIES; i++)
		ql_metrics_put_histogram(text, &latency_metrics[i],
					 &counters->latencies[i]);
	return g_string_free(text, FALSE);
}

static json_t *quantile_json(const ql_histogram_t *histogram, double share)
{
	return json_integer(
		(json_int_t)ql_histogram_quantile_us(histogram, share));
}

static json_t *latency_json(const ql_histogram_t *histogram)
{
	uint64_t count = ql_histogram_count(histogram);
	uint64_t mean_us = count ? ql_histogram_sum_us(histogram) / count : 0;

	return json_pack("{s:I, s:I, s:o, s:o, s:o}", "count",
			 (json_int_t)count, "mean_us", (json_int_t)mean_us,
			 "p50_us", quantile_json(histogram, 0.5), "p99_us",
			 quantile_json(histogram, 0.99), "p999_us",
			 quantile_json(histogram, 0.999));
}

json_t *ql_counters_report(const ql_counters_t *counters)
{
	json_t *values = json_object();
	json_t *latencies = json_object();
	int i;

	for (i = 0; i < QL_N_COUNTERS; i++)
		json_object_set_new(values, metrics[i].name,
				    json_integer((json_int_t)ql_counter_value(
					    counters, (ql_counter_t)i)));
	for (i = 0; i < QL_N_LATENCIES; i++)
		json_object_set_new(latencies, latency_metrics[i].name,
				    latency_json(&counters->latencies[i]));
	return json_pack("{s:o, s:o}", "counters", values, "latencies",
			 latencies);
}
