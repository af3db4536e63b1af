#ifndef QL_CLI_HISTORY_H
#define QL_CLI_HISTORY_H

/**
 * DOC: Timeline events of several processes, merged into one order.
 */

#include "quetzalloft/timeline.h"

#include <stdio.h>

G_BEGIN_DECLS

/**
 * Bytes of the name of an event, of an outcome or of a reason, including the
 * terminating NUL.
 */
#define QL_EVENT_TEXT_MAX 32

/**
 * struct ql_history_event - One event of one process. Event names, outcomes
 * and reasons are kept as text, because a process of another version may
 * report values that this version does not define.
 * @clock: stamp of the hybrid logical clock: milliseconds in the upper 48 bits,
 *         a counter in the lower 16
 * @wall_us: wall clock of the process, in microseconds
 * @id: client request and attempt; each is 0 if the event has none
 * @parent: attempt that made this attempt; 0 if there is none
 * @version: version of the configuration; 0 if the event has none
 * @node: name of the node that recorded the event
 * @name: name of the event
 * @service: name of the service; "" if the event has none
 * @endpoint: "IP:port" of the gate of the endpoint; "" if the event has none
 * @class_name: name of the request class; "" if the event has none
 * @outcome: outcome of the request or attempt; "" if the event has none
 * @reason: reason of the outcome; "" if the event has none
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
 * struct ql_history - Events of several processes.
 * @events: array of &struct ql_history_event
 * @overwritten: number of events that the processes had already overwritten
 */
typedef struct ql_history {
	GArray *events;
	uint64_t overwritten;
} ql_history_t;

/**
 * ql_history_init() - Initialize a history without events.
 * @history: the history; freed by ql_history_finish()
 */
void ql_history_init(ql_history_t *history);

/**
 * ql_history_finish() - Free the events of a history.
 * @history: the history
 */
void ql_history_finish(ql_history_t *history);

/**
 * ql_history_add_event() - Append one event.
 * @history: the history
 * @json: an event of a report of ql_timeline_report()
 * @location: where the event was read from, for error messages
 * @error: receives the details of a failure; may be NULL
 *
 * Return: 0, a failure of ql_json_read(), or QL_E_INVALID for an identifier
 * that is not hexadecimal.
 */
int ql_history_add_event(ql_history_t *history, json_t *json,
			 const char *location, GError **error);

/**
 * ql_history_add_report() - Append the events of one report.
 * @history: the history
 * @report: a report of ql_timeline_report()
 * @location: where the report comes from, for error messages
 * @error: receives the details of a failure; may be NULL
 *
 * Events before the one that failed stay in the history.
 *
 * Return: 0, a failure of ql_history_add_event(), or QL_E_INVALID when the
 * process refused the filter.
 */
int ql_history_add_report(ql_history_t *history, const json_t *report,
			  const char *location, GError **error);

/**
 * ql_history_load() - Append the events of a saved file that match a filter.
 * @history: the history
 * @path: a file that ql_history_save() wrote
 * @filter: selects the events
 * @error: receives the details of a failure, with file and line; may be NULL
 *
 * Return: 0, QL_E_IO, QL_E_INVALID for a line that is not JSON, or a failure
 * of ql_history_add_event().
 */
int ql_history_load(ql_history_t *history, const char *path,
		    const ql_timeline_filter_t *filter, GError **error);

/**
 * ql_history_sort() - Sort the events by clock and node, and remove
 * duplicates.
 * @history: the history
 *
 * A cause is sorted before its effects, because each process advances its
 * hybrid logical clock past every stamp that it receives.
 */
void ql_history_sort(ql_history_t *history);

/**
 * ql_history_count_misordered() - Count attempts whose events are in an
 * impossible order.
 * @history: a sorted history
 *
 * Return: the number of attempts with an event of the gate before the caller
 * sent the attempt, or after the caller received the answer. It is 0 unless a
 * process lost the state of its clock.
 */
size_t ql_history_count_misordered(const ql_history_t *history);

/**
 * ql_history_save() - Write the events as JSON lines.
 * @history: the history
 * @out: stream to write to; the caller checks it for errors
 */
void ql_history_save(const ql_history_t *history, FILE *out);

/**
 * ql_history_event_to_json() - Convert one event to JSON.
 * @event: the event
 *
 * Return: a new reference to an object without members for empty fields.
 */
json_t *ql_history_event_to_json(const ql_history_event_t *event);

/**
 * ql_history_at() - Get one event.
 * @history: the history
 * @index: index of the event, less than the length of &ql_history.events
 *
 * Return: the event, valid until the history changes.
 */
static inline const ql_history_event_t *
ql_history_at(const ql_history_t *history, size_t index)
{
	return &g_array_index(history->events, ql_history_event_t, index);
}

/**
 * ql_history_format_tree() - Format one client request as a tree of attempts.
 * @history: a sorted history
 * @request: identifier of the client request
 *
 * Return: the text, of one or more lines; the caller frees it with g_free().
 */
char *ql_history_format_tree(const ql_history_t *history, uint64_t request);

/**
 * ql_history_format_svg() - Draw the events as an SVG picture with one lane
 * for each process, events from left to right in their order, and lines that
 * connect the events of each attempt.
 * @history: a sorted history
 *
 * Return: the SVG document; the caller frees it with g_free().
 */
char *ql_history_format_svg(const ql_history_t *history);

G_END_DECLS

#endif
