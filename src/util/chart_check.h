#ifndef QL_UTIL_CHART_CHECK_H
#define QL_UTIL_CHART_CHECK_H

/**
 * DOC: Reachability checks of a chart.
 */

#include "quetzalloft/chart.h"

G_BEGIN_DECLS

/**
 * ql_chart__check_paths() - Check that all states are reachable from the start
 * state and, if the chart has final states, that one of them is reachable from
 * every state.
 * @chart: the chart
 * @source: name of the file, for error messages
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0, or QL_E_INVALID for the first state that violates a rule.
 */
int ql_chart__check_paths(const ql_chart_t *chart, const char *source,
			  GError **error);

G_END_DECLS

#endif
