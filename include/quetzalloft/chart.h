#ifndef QUETZALLOFT_CHART_H
#define QUETZALLOFT_CHART_H

/**
 * DOC: State charts, loaded from JSON files and interpreted.
 *
 * A file defines the states, the events, the start state and the final states
 * of one life cycle. Every state that is not final has to list every event,
 * either with the state that follows or as ignored, so that no combination is
 * undefined. A step is one lookup in a transition table.
 */

#include "quetzalloft/error.h"
#include "quetzalloft/types.h"

#include <jansson.h>
#include <stddef.h>

G_BEGIN_DECLS

/** Maximum number of states of a chart. */
#define QL_CHART_STATES_MAX 32
/** Maximum number of events of a chart. */
#define QL_CHART_EVENTS_MAX 64

/**
 * struct ql_chart_names - Names by which a program refers to the states and
 * events of a chart.
 * @chart: name of the chart and, without ".json", of its file
 * @states: names of the states; the index is the program's enum value
 * @n_states: number of @states
 * @events: names of the events; the index is the program's enum value
 * @n_events: number of @events
 */
typedef struct ql_chart_names {
	const char *chart;
	const char *const *states;
	size_t n_states;
	const char *const *events;
	size_t n_events;
} ql_chart_names_t;

/**
 * struct ql_chart - A validated chart. States and events are identified by
 * their index in the lists of names.
 * @name: name of the chart
 * @states: names of the states
 * @n_states: number of @states
 * @events: names of the events
 * @n_events: number of @events
 * @start: start state
 * @is_final: whether a state is final, by state
 * @next: transition table: the state that follows, by state and event;
 *        QL_CHART_STATES_MAX if the state ignores the event
 */
typedef struct ql_chart {
	char name[QL_NAME_MAX];
	char states[QL_CHART_STATES_MAX][QL_NAME_MAX];
	size_t n_states;
	char events[QL_CHART_EVENTS_MAX][QL_NAME_MAX];
	size_t n_events;
	uint8_t start;
	bool is_final[QL_CHART_STATES_MAX];
	uint8_t next[QL_CHART_STATES_MAX][QL_CHART_EVENTS_MAX];
} ql_chart_t;

/**
 * enum ql_chart_result - Result of a step.
 * @QL_CHART_MOVED: a transition was taken, possibly to the same state
 * @QL_CHART_IGNORED: the state ignores the event
 */
typedef enum ql_chart_result {
	QL_CHART_MOVED = 0,
	QL_CHART_IGNORED = 1,
} ql_chart_result_t;

/**
 * ql_chart_parse() - Parse and validate a chart.
 * @chart: set to the chart; undefined after a failure
 * @json: the JSON object that defines the chart
 * @source: name of the file, for error messages
 * @names: names that the program uses, in the order of its enums; NULL to
 *         number states and events in the order of the file
 * @error: set to the detail of a failure, or NULL: the file, the location in it
 *         and the unexpected value
 *
 * Return: 0; an error of ql_json_read(); QL_E_TYPE for a name that is not a
 * string; QL_E_NOT_FOUND for a state or event that is not declared, or that is
 * in the file or in @names only; QL_E_EXISTS for a duplicate; QL_E_MISSING_KEY
 * for an event that a state neither handles nor ignores; QL_E_INVALID for an
 * unreachable state, a final state that lists events, an empty list of final
 * states, or a state from which no final state can be reached although the
 * chart has some; QL_E_RANGE for too many states or events, or for the length
 * of a name.
 */
int ql_chart_parse(ql_chart_t *chart, json_t *json, const char *source,
		   const ql_chart_names_t *names, GError **error);

/**
 * ql_chart_load_file() - Load and validate the chart in a file.
 * @chart: set to the chart; undefined after a failure
 * @path: path of the file
 * @names: see ql_chart_parse(); may be NULL
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0, or an error of ql_json_load_file() or ql_chart_parse().
 */
int ql_chart_load_file(ql_chart_t *chart, const char *path,
		       const ql_chart_names_t *names, GError **error);

/**
 * ql_chart_load() - Load and validate a chart from the folder of charts.
 * @chart: set to the chart; undefined after a failure
 * @folder: folder that contains the file; NULL or empty for ql_chart_folder()
 * @names: names that the program uses; not NULL, as it names the file
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0, or an error of ql_chart_load_file().
 */
int ql_chart_load(ql_chart_t *chart, const char *folder,
		  const ql_chart_names_t *names, GError **error);

/**
 * ql_chart_folder() - Get the folder that contains the charts.
 *
 * This is $QUETZALLOFT_CHARTS if that is set and not empty; else
 * "../share/quetzalloft/charts", relative to the folder of the running program,
 * if it exists; else the installation folder that the build was configured
 * with.
 *
 * Return: path of the folder; the caller frees it with g_free().
 */
char *ql_chart_folder(void);

/**
 * ql_chart_step() - Look up the state that follows an event.
 * @chart: the chart
 * @state: current state
 * @event: the event
 * @next: set to the state that follows; to @state if the event is ignored or
 *        the step fails
 *
 * Return: an &enum ql_chart_result, or QL_E_INVALID if @state is final, or
 * @state or @event is out of range.
 */
static inline int ql_chart_step(const ql_chart_t *chart, int state, int event,
				int *next)
{
	uint8_t target;

	*next = state;
	if (state < 0 || (size_t)state >= chart->n_states || event < 0 ||
	    (size_t)event >= chart->n_events || chart->is_final[state])
		return QL_E_INVALID;
	target = chart->next[state][event];
	if (target == QL_CHART_STATES_MAX)
		return QL_CHART_IGNORED;
	*next = target;
	return QL_CHART_MOVED;
}

/**
 * ql_chart_format_dot() - Format a chart in the DOT language of Graphviz.
 * @chart: the chart
 *
 * Return: the graph in text; the caller frees it with g_free().
 */
char *ql_chart_format_dot(const ql_chart_t *chart);

G_END_DECLS

#endif
