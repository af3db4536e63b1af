#ifndef QL_UTIL_CHART_CHECK_H
#define QL_UTIL_CHART_CHECK_H

/**
 * DOC: Checks of the paths through a chart.
 */

#include "quetzalloft/chart.h"

G_BEGIN_DECLS

/**
 * ql_chart__check_paths() - Check what can be reached.
 * @chart: the chart
 * @source: name of the file, for errors
 * @error: detail of a failure
 *
 * Return: 0, or QL_E_INVALID for a state that the start does not lead to, or
 * that leads to no final state although the chart has some.
 */
int ql_chart__check_paths(const ql_chart_t *chart, const char *source,
			  GError **error);

G_END_DECLS

#endif
