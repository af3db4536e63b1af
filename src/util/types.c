#include "quetzalloft/types.h"
#include "quetzalloft/error.h"

#include <string.h>

static const char *const outcome_names[QL_N_OUTCOMES] = {
	[QL_OUTCOME_ANSWERED] = "answered",
	[QL_OUTCOME_NOT_RUN] = "not-run",
	[QL_OUTCOME_REFUSED] = "refused",
	[QL_OUTCOME_UNKNOWN] = "unknown",
};

static const char *const reason_names[QL_N_REASONS] = {
	[QL_REASON_NONE] = "none",
	[QL_REASON_OVERLOAD] = "overload",
	[QL_REASON_DEADLINE] = "deadline",
	[QL_REASON_DRAINING] = "draining",
	[QL_REASON_NOT_READY] = "not-ready",
	[QL_REASON_NO_ROUTE] = "no-route",
	[QL_REASON_NO_ENDPOINT] = "no-endpoint",
	[QL_REASON_BAD_REQUEST] = "bad-request",
	[QL_REASON_TOO_LARGE] = "too-large",
	[QL_REASON_ATTEMPTS] = "attempts",
	[QL_REASON_RETRY_BUDGET] = "retry-budget",
	[QL_REASON_CONNECT_FAILED] = "connect-failed",
	[QL_REASON_CONNECTION_LOST] = "connection-lost",
	[QL_REASON_BAD_ANSWER] = "bad-answer",
	[QL_REASON_CANCELLED] = "cancelled",
	[QL_REASON_GAVE_WAY] = "gave-way",
	[QL_REASON_KEY_CONFLICT] = "key-conflict",
	[QL_REASON_KEY_IN_PROGRESS] = "key-in-progress",
	[QL_REASON_NO_QUORUM] = "no-quorum",
	[QL_REASON_ENDPOINT_REFUSED] = "endpoint-refused",
	[QL_REASON_UNKNOWN_KEY] = "unknown-key",
	[QL_REASON_UNKNOWN_CALLER] = "unknown-caller",
	[QL_REASON_NOT_CURRENT] = "not-current",
	[QL_REASON_QUOTA] = "quota",
	[QL_REASON_QUOTA_UNKNOWN] = "quota-unknown",
};

const char *ql_outcome_name(ql_outcome_t outcome)
{
	g_assert(outcome < QL_N_OUTCOMES);
	return outcome_names[outcome];
}

const char *ql_reason_name(ql_reason_t reason)
{
	g_assert(reason < QL_N_REASONS);
	return reason_names[reason];
}

static int find_name(const char *const *names, int n_names, const char *name)
{
	int i;

	for (i = 0; i < n_names; i++)
		if (!strcmp(names[i], name))
			return i;
	return QL_E_INVALID;
}

int ql_outcome_parse(ql_outcome_t *out, const char *name)
{
	int index = find_name(outcome_names, QL_N_OUTCOMES, name);

	if (index < 0)
		return index;
	*out = (ql_outcome_t)index;
	return 0;
}

int ql_reason_parse(ql_reason_t *out, const char *name)
{
	int index = find_name(reason_names, QL_N_REASONS, name);

	if (index < 0)
		return index;
	*out = (ql_reason_t)index;
	return 0;
}
