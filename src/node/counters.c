#include "node/counters.h"

#include <inttypes.h>

static const char *const names[QL_N_COUNTERS] = {
	[QL_COUNT_CLIENT_REQUESTS] = "client_requests",
	[QL_COUNT_CLIENT_ANSWERED] = "client_answered",
	[QL_COUNT_CLIENT_NOT_RUN] = "client_not_run",
	[QL_COUNT_CLIENT_REFUSED] = "client_refused",
	[QL_COUNT_CLIENT_UNKNOWN] = "client_unknown",
	[QL_COUNT_LOCAL_CALLS] = "local_calls",
	[QL_COUNT_ATTEMPTS] = "attempts",
	[QL_COUNT_RETRIES] = "retries",
	[QL_COUNT_EARLY_REFUSALS] = "early_refusals",
	[QL_COUNT_GATE_ADMITTED] = "gate_admitted",
	[QL_COUNT_GATE_REFUSED] = "gate_refused",
	[QL_COUNT_BAD_METADATA] = "bad_metadata",
	[QL_COUNT_BAD_ANSWERS] = "bad_answers",
	[QL_COUNT_TOO_LARGE] = "too_large",
	[QL_COUNT_LEASES_SENT] = "leases_sent",
	[QL_COUNT_LEASES_FAILED] = "leases_failed",
	[QL_COUNT_CONFIG_CHANGES] = "config_changes",
};

const char *ql_counter_name(ql_counter_t counter)
{
	g_assert(counter < QL_N_COUNTERS);
	return names[counter];
}

char *ql_counters_text(const ql_counters_t *counters)
{
	GString *text = g_string_new(NULL);
	int i;

	for (i = 0; i < QL_N_COUNTERS; i++)
		g_string_append_printf(text,
				       "# TYPE quetzalloft_%s_total counter\n"
				       "quetzalloft_%s_total %" PRIu64 "\n",
				       names[i], names[i],
				       __atomic_load_n(&counters->values[i],
						       __ATOMIC_RELAXED));
	return g_string_free(text, FALSE);
}
