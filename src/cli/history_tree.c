#include "cli/history.h"

#include <inttypes.h>
#include <string.h>

#define CLOCK_COUNTER_BITS 16
#define INDENT_CHARS 2

/* State of formatting the attempts of one client request. */
typedef struct {
	const ql_history_t *history;
	uint64_t request;
	uint64_t first_ms;
	GHashTable *shown_attempts;
	GString *text;
} tree_formatter_t;

static bool is_of_request(const tree_formatter_t *formatter,
			  const ql_history_event_t *event)
{
	return event->id.request == formatter->request;
}

static void append_field(GString *text, const char *label, const char *word)
{
	if (*word)
		g_string_append_printf(text, " %s%s", label, word);
}

static void append_event_line(const tree_formatter_t *formatter,
			      const ql_history_event_t *event, int depth)
{
	uint64_t ms = event->clock >> CLOCK_COUNTER_BITS;

	g_string_append_printf(formatter->text, "%*s+%" PRIu64 " ms  %s  %s",
			       depth * INDENT_CHARS, "",
			       ms - formatter->first_ms, event->node,
			       event->name);
	append_field(formatter->text, "", event->outcome);
	append_field(formatter->text, "reason=", event->reason);
	g_string_append_c(formatter->text, '\n');
}

/*
 * Finds an event that describes the attempt, preferably one of the caller,
 * which names the endpoint. Returns NULL if the attempt has no events.
 */
static const ql_history_event_t *
find_description(const tree_formatter_t *formatter, uint64_t attempt)
{
	const ql_history_event_t *found = NULL;
	guint i;

	for (i = 0; i < formatter->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(formatter->history, i);

		if (!is_of_request(formatter, event) ||
		    event->id.attempt != attempt)
			continue;
		if (!found || (!found->endpoint[0] && event->endpoint[0]))
			found = event;
	}
	return found;
}

static uint64_t find_parent(const tree_formatter_t *formatter, uint64_t attempt)
{
	guint i;

	for (i = 0; i < formatter->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(formatter->history, i);

		if (is_of_request(formatter, event) &&
		    event->id.attempt == attempt && event->parent)
			return event->parent;
	}
	return 0;
}

static bool mark_shown(const tree_formatter_t *formatter,
		       const ql_history_event_t *event)
{
	return g_hash_table_add(formatter->shown_attempts,
				(gpointer)&event->id.attempt);
}

static void show_attempt(const tree_formatter_t *formatter,
			 const ql_history_event_t *first, int depth);

/*
 * Appends the events of one attempt and, at the position of its first event,
 * each attempt that it made.
 */
static void show_events(const tree_formatter_t *formatter, uint64_t attempt,
			int depth)
{
	guint i;

	for (i = 0; i < formatter->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(formatter->history, i);

		if (!is_of_request(formatter, event))
			continue;
		if (event->id.attempt == attempt)
			append_event_line(formatter, event, depth);
		else if (find_parent(formatter, event->id.attempt) == attempt &&
			 event->id.attempt && mark_shown(formatter, event))
			show_attempt(formatter, event, depth);
	}
}

static void show_attempt(const tree_formatter_t *formatter,
			 const ql_history_event_t *first, int depth)
{
	const ql_history_event_t *description =
		find_description(formatter, first->id.attempt);

	g_string_append_printf(formatter->text, "%*sattempt %016" PRIx64,
			       depth * INDENT_CHARS, "", first->id.attempt);
	append_field(formatter->text, "service=", description->service);
	append_field(formatter->text, "endpoint=", description->endpoint);
	g_string_append_c(formatter->text, '\n');
	show_events(formatter, first->id.attempt, depth + 1);
}

/* Whether the attempt was made by an attempt that has events. */
static bool has_known_parent(const tree_formatter_t *formatter,
			     uint64_t attempt)
{
	uint64_t parent = find_parent(formatter, attempt);

	return parent && find_description(formatter, parent);
}

/*
 * Appends the attempts that are not shown yet. Without known parents, these
 * are attempts whose caller's events were overwritten; with known parents,
 * they come from damaged events that name each other as callers.
 */
static void show_unlinked(const tree_formatter_t *formatter,
			  bool with_known_parents)
{
	guint i;

	for (i = 0; i < formatter->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(formatter->history, i);

		if (!is_of_request(formatter, event) || !event->id.attempt)
			continue;
		if (has_known_parent(formatter, event->id.attempt) !=
			    with_known_parents ||
		    !mark_shown(formatter, event))
			continue;
		g_string_append(formatter->text,
				"(the events of the caller are missing)\n");
		show_attempt(formatter, event, 1);
	}
}

static const ql_history_event_t *
find_first_event(const tree_formatter_t *formatter)
{
	guint i;

	for (i = 0; i < formatter->history->events->len; i++)
		if (is_of_request(formatter,
				  ql_history_at(formatter->history, i)))
			return ql_history_at(formatter->history, i);
	return NULL;
}

char *ql_history_format_tree(const ql_history_t *history, uint64_t request)
{
	tree_formatter_t formatter = {
		.history = history,
		.request = request,
		.shown_attempts = g_hash_table_new(g_int64_hash, g_int64_equal),
		.text = g_string_new(NULL),
	};
	const ql_history_event_t *first = find_first_event(&formatter);

	g_string_append_printf(formatter.text, "request %016" PRIx64, request);
	if (first) {
		formatter.first_ms = first->clock >> CLOCK_COUNTER_BITS;
		append_field(formatter.text, "class=", first->class_name);
		g_string_append_c(formatter.text, '\n');
		show_events(&formatter, 0, 1);
		show_unlinked(&formatter, false);
		show_unlinked(&formatter, true);
	} else {
		g_string_append(formatter.text, ": no events found\n");
	}
	g_hash_table_destroy(formatter.shown_attempts);
	return g_string_free(formatter.text, FALSE);
}
