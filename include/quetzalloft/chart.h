#ifndef QUETZALLOFT_CHART_H
#define QUETZALLOFT_CHART_H

/**
 * DOC: State charts, read from JSON files and interpreted.
 *
 * A file names the states, the events, the start and the final states of one
 * life cycle. Every state that is not final says of every event either which
 * state follows or that the event is ignored, so that nothing is left open.
 * A step is one lookup in a table of small integers.
 */

#include "quetzalloft/error.h"
#include "quetzalloft/types.h"

#include <jansson.h>
#include <stddef.h>

G_BEGIN_DECLS

#define QL_CHART_STATES_MAX 32
#define QL_CHART_EVENTS_MAX 64

/**
 * struct ql_chart_names - The names that a program uses for a chart.
 * @chart: name of the chart, which is also that of its file without ".json"
 * @states: names of the states; the index is the program's enum value
 * @n_states: their number
 * @events: names of the events; the index is the program's enum value
 * @n_events: their number
 */
typedef struct ql_chart_names {
	const char *chart;
	const char *const *states;
	size_t n_states;
	const char *const *events;
	size_t n_events;
} ql_chart_names_t;

/**
 * struct ql_chart - A checked chart.
 * @name: its name
 * @states: names of the states by id
 * @n_states: their number
 * @events: names of the events by id
 * @n_events: their number
 * @start: id of the first state
 * @is_final: whether a state is final, by id
 * @next: the state that follows, by state and event; QL_CHART_STATES_MAX
 *        where the event is ignored
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
 * enum ql_chart_result - What a step did.
 * @QL_CHART_MOVED: a transition was taken, maybe back to the same state
 * @QL_CHART_IGNORED: the state ignores the event
 */
typedef enum ql_chart_result {
	QL_CHART_MOVED = 0,
	QL_CHART_IGNORED = 1,
} ql_chart_result_t;

/**
 * ql_chart_parse() - Check a chart.
 * @chart: where to store it
 * @json: the source
 * @source: name of the file, for errors
 * @names: the names that the program uses, or NULL to number them as the file
 *         does
 * @error: detail of a failure: file, place, what was found
 *
 * Return: 0; a failure of ql_json_read(); QL_E_NOT_FOUND for a state or event
 * that is not declared, or that only the file or only the program knows;
 * QL_E_EXISTS for a duplicate; QL_E_MISSING_KEY for an event that a state
 * neither handles nor ignores; QL_E_INVALID for a state that cannot be
 * reached, a final state with transitions, or a state that cannot reach a
 * final one although there are some; QL_E_RANGE for too many.
 */
int ql_chart_parse(ql_chart_t *chart, json_t *json, const char *source,
		   const ql_chart_names_t *names, GError **error);

/**
 * ql_chart_load_file() - Read and check a file.
 * @chart: where to store it
 * @path: the file
 * @names: see ql_chart_parse()
 * @error: detail of a failure
 *
 * Return: 0, a failure of ql_json_load_file() or of ql_chart_parse().
 */
int ql_chart_load_file(ql_chart_t *chart, const char *path,
		       const ql_chart_names_t *names, GError **error);

/**
 * ql_chart_load() - Find the file of a chart, read and check it.
 * @chart: where to store it
 * @folder: where to look; NULL or empty for ql_chart_folder()
 * @names: the names that the program uses
 * @error: detail of a failure
 *
 * Return: as ql_chart_load_file().
 */
int ql_chart_load(ql_chart_t *chart, const char *folder,
		  const ql_chart_names_t *names, GError **error);

/**
 * ql_chart_folder() - The folder that holds the charts.
 *
 * That is $QUETZALLOFT_CHARTS if it is set, else "../share/quetzalloft/charts"
 * beside the folder of the running program if it exists, else the folder that
 * the build was configured to install to.
 *
 * Return: a string to free with g_free().
 */
char *ql_chart_folder(void);

/**
 * ql_chart_step() - Take one event.
 * @chart: the chart
 * @state: id of the present state
 * @event: id of the event
 * @next: id of the state that follows; @state when the event is ignored
 *
 * Return: a &enum ql_chart_result, or QL_E_INVALID when @state is final or an
 * id is out of range; then @next is @state.
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
 * ql_chart_format_dot() - Draw a chart in Graphviz's language.
 * @chart: the chart
 *
 * Return: a string to free with g_free().
 */
char *ql_chart_format_dot(const ql_chart_t *chart);

G_END_DECLS

#endif
