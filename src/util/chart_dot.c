#include "quetzalloft/chart.h"

static void append_edges(GString *text, const ql_chart_t *chart, size_t state)
{
	size_t event;
	uint8_t target;

	for (event = 0; event < chart->n_events; event++) {
		target = chart->next[state][event];
		if (target == QL_CHART_STATES_MAX)
			continue;
		g_string_append_printf(text,
				       "\t\"%s\" -> \"%s\" [label=\"%s\"];\n",
				       chart->states[state],
				       chart->states[target],
				       chart->events[event]);
	}
}

char *ql_chart_format_dot(const ql_chart_t *chart)
{
	GString *text = g_string_new(NULL);
	size_t i;

	g_string_append_printf(text,
			       "digraph \"%s\" {\n\trankdir=LR;\n"
			       "\tstart [shape=point];\n"
			       "\tstart -> \"%s\";\n",
			       chart->name, chart->states[chart->start]);
	for (i = 0; i < chart->n_states; i++)
		g_string_append_printf(text, "\t\"%s\" [shape=%s];\n",
				       chart->states[i],
				       chart->is_final[i] ? "doublecircle"
							  : "box");
	for (i = 0; i < chart->n_states; i++)
		append_edges(text, chart, i);
	g_string_append(text, "}\n");
	return g_string_free(text, FALSE);
}
