#ifndef QL_CLI_HISTORY_H
#define QL_CLI_HISTORY_H

/**
 * DOC: The events of many processes, merged into one order.
 */

#include "quetzalloft/timeline.h"

#include <stdio.h>

G_BEGIN_DECLS

/** Bytes of the name of an event, of an outcome or of a reason, with NUL. */
#define QL_EVENT_TEXT_MAX 32

/**
 * struct ql_history_event - One event of one process. Names are kept as text,
 * since another version may have further ones.
 */
typedef struct ql_history_event {
	uint64_t clock;
	uint64_t wall_us;
	ql_attempt_id_t id;
	uint64_t parent;
	uint64_t version;
	char node[QL_NAME_MAX];
	char name[QL_EVENT_TEXT_MAX];
	char service[QL_NAME_MAX];
	char endpoint[QL_ADDRESS_MAX];
	char class_name[QL_NAME_MAX];
	char outcome[QL_EVENT_TEXT_MAX];
	char reason[QL_EVENT_TEXT_MAX];
} ql_history_event_t;

/**
 * struct ql_history - The events.
 * @events: of &struct ql_history_event
 * @overwritten: events that the processes no longer had
 */
typedef struct ql_history {
	GArray *events;
	uint64_t overwritten;
} ql_history_t;

void ql_history_init(ql_history_t *history);
void ql_history_finish(ql_history_t *history);

/**
 * ql_history_add_event() - Add one event.
 * @history: the history
 * @json: an event of a report of ql_timeline_report()
 * @location: where it stands, for errors
 * @error: detail of a failure
 *
 * Return: 0, or a failure of ql_json_read() or QL_E_INVALID.
 */
int ql_history_add_event(ql_history_t *history, json_t *json,
			 const char *location, GError **error);

/**
 * ql_history_add_report() - Add the events of one report.
 * @history: the history
 * @report: a report of ql_timeline_report()
 * @location: where it comes from, for errors
 * @error: detail of a failure
 *
 * Return: 0, a failure of ql_history_add_event(), or QL_E_INVALID when the
 * process refused the filter.
 */
int ql_history_add_report(ql_history_t *history, const json_t *report,
			  const char *location, GError **error);

/**
 * ql_history_load() - Add the events that pass a filter of a saved file.
 * @history: the history
 * @path: a file of ql_history_save()
 * @filter: which events are wanted
 * @error: detail of a failure: file and line
 *
 * Return: 0, QL_E_IO, or a failure of ql_history_add_event().
 */
int ql_history_load(ql_history_t *history, const char *path,
		    const ql_timeline_filter_t *filter, GError **error);

/**
 * ql_history_sort() - Order the events and drop those that stand twice.
 * @history: the history
 *
 * A cause comes before its effects, since each process moves its hybrid
 * logical clock past every stamp that it receives.
 */
void ql_history_sort(ql_history_t *history);

/**
 * ql_history_count_misordered() - Count attempts that end before they begin.
 * @history: a sorted history
 *
 * Return: attempts with an event of the gate before the caller sent them, or
 * after the caller had the answer; 0 unless a process lost its clock.
 */
size_t ql_history_count_misordered(const ql_history_t *history);

/**
 * ql_history_save() - Write the events as JSON lines.
 * @history: the history
 * @out: where to write
 */
void ql_history_save(const ql_history_t *history, FILE *out);

/**
 * ql_history_event_to_json() - One event as JSON.
 * @event: the event
 *
 * Return: a new reference.
 */
json_t *ql_history_event_to_json(const ql_history_event_t *event);

/**
 * ql_history_at() - One of the events.
 * @history: the history
 * @index: its index
 *
 * Return: the event.
 */
static inline const ql_history_event_t *
ql_history_at(const ql_history_t *history, size_t index)
{
	return &g_array_index(history->events, ql_history_event_t, index);
}

/**
 * ql_history_format_tree() - Show one client request as a tree of attempts.
 * @history: a sorted history
 * @request: the client request
 *
 * Return: a text to free with g_free().
 */
char *ql_history_format_tree(const ql_history_t *history, uint64_t request);

/**
 * ql_history_format_svg() - Draw the events as an SVG picture: a lane for each
 * process, the order of events from left to right, a line along each attempt.
 * @history: a sorted history
 *
 * Return: a text to free with g_free().
 */
char *ql_history_format_svg(const ql_history_t *history);

G_END_DECLS

#endif
