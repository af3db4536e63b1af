#include "util/chart_check.h"

#include <string.h>

/* Marks what one more step reaches; false when nothing was added. */
static bool mark_successors(const ql_chart_t *chart, bool *marked)
{
	bool added = false;
	size_t state, event;
	uint8_t target;

	for (state = 0; state < chart->n_states; state++) {
		for (event = 0; event < chart->n_events; event++) {
			target = chart->next[state][event];
			if (!marked[state] || target == QL_CHART_STATES_MAX ||
			    marked[target])
				continue;
			marked[target] = true;
			added = true;
		}
	}
	return added;
}

/* Marks what reaches a marked state in one step. */
static bool mark_predecessors(const ql_chart_t *chart, bool *marked)
{
	bool added = false;
	size_t state, event;
	uint8_t target;

	for (state = 0; state < chart->n_states; state++) {
		for (event = 0; event < chart->n_events; event++) {
			target = chart->next[state][event];
			if (marked[state] || target == QL_CHART_STATES_MAX ||
			    !marked[target])
				continue;
			marked[state] = true;
			added = true;
		}
	}
	return added;
}

static int first_unmarked(const ql_chart_t *chart, const bool *marked)
{
	size_t i;

	for (i = 0; i < chart->n_states; i++)
		if (!marked[i])
			return (int)i;
	return -1;
}

static bool has_final(const ql_chart_t *chart)
{
	size_t i;

	for (i = 0; i < chart->n_states; i++)
		if (chart->is_final[i])
			return true;
	return false;
}

int ql_chart__check_paths(const ql_chart_t *chart, const char *source,
			  GError **error)
{
	bool marked[QL_CHART_STATES_MAX] = {false};
	int unmarked;

	marked[chart->start] = true;
	while (mark_successors(chart, marked))
		;
	unmarked = first_unmarked(chart, marked);
	if (unmarked >= 0)
		return ql_error_set(error, QL_E_INVALID,
				    "%s: states.%s: cannot be reached from "
				    "\"%s\"",
				    source, chart->states[unmarked],
				    chart->states[chart->start]);
	if (!has_final(chart))
		return 0;
	memcpy(marked, chart->is_final, sizeof(marked));
	while (mark_predecessors(chart, marked))
		;
	unmarked = first_unmarked(chart, marked);
	if (unmarked >= 0)
		return ql_error_set(error, QL_E_INVALID,
				    "%s: states.%s: leads to no final state",
				    source, chart->states[unmarked]);
	return 0;
}
