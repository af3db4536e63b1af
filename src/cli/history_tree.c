#include "cli/history.h"

#include <inttypes.h>
#include <string.h>

#define CLOCK_COUNTER_BITS 16
#define INDENT 2

/* The walk over the attempts of one client request. */
typedef struct {
	const ql_history_t *history;
	uint64_t request;
	uint64_t first_ms;
	GHashTable *shown;
	GString *text;
} tree_walk_t;

static bool is_of_request(const tree_walk_t *walk,
			  const ql_history_event_t *event)
{
	return event->id.request == walk->request;
}

static void append_field(GString *text, const char *label, const char *word)
{
	if (*word)
		g_string_append_printf(text, " %s%s", label, word);
}

static void append_event(const tree_walk_t *walk,
			 const ql_history_event_t *event, int depth)
{
	uint64_t ms = event->clock >> CLOCK_COUNTER_BITS;

	g_string_append_printf(walk->text, "%*s+%" PRIu64 " ms  %s  %s",
			       depth * INDENT, "", ms - walk->first_ms,
			       event->node, event->name);
	append_field(walk->text, "", event->outcome);
	append_field(walk->text, "reason=", event->reason);
	g_string_append_c(walk->text, '\n');
}

/* The caller's own description goes before that of the gate. */
static const ql_history_event_t *describe(const tree_walk_t *walk,
					  uint64_t attempt)
{
	const ql_history_event_t *found = NULL;
	guint i;

	for (i = 0; i < walk->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(walk->history, i);

		if (!is_of_request(walk, event) || event->id.attempt != attempt)
			continue;
		if (!found || (!found->endpoint[0] && event->endpoint[0]))
			found = event;
	}
	return found;
}

static uint64_t parent_of(const tree_walk_t *walk, uint64_t attempt)
{
	guint i;

	for (i = 0; i < walk->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(walk->history, i);

		if (is_of_request(walk, event) &&
		    event->id.attempt == attempt && event->parent)
			return event->parent;
	}
	return 0;
}

static bool mark_shown(const tree_walk_t *walk, const ql_history_event_t *event)
{
	return g_hash_table_add(walk->shown, (gpointer)&event->id.attempt);
}

static void show_attempt(const tree_walk_t *walk,
			 const ql_history_event_t *first, int depth);

/* Shows the events of one attempt, and in their place those it made. */
static void show_events(const tree_walk_t *walk, uint64_t attempt, int depth)
{
	guint i;

	for (i = 0; i < walk->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(walk->history, i);

		if (!is_of_request(walk, event))
			continue;
		if (event->id.attempt == attempt)
			append_event(walk, event, depth);
		else if (parent_of(walk, event->id.attempt) == attempt &&
			 event->id.attempt && mark_shown(walk, event))
			show_attempt(walk, event, depth);
	}
}

static void show_attempt(const tree_walk_t *walk,
			 const ql_history_event_t *first, int depth)
{
	const ql_history_event_t *best = describe(walk, first->id.attempt);

	g_string_append_printf(walk->text, "%*sattempt %016" PRIx64,
			       depth * INDENT, "", first->id.attempt);
	append_field(walk->text, "service=", best->service);
	append_field(walk->text, "endpoint=", best->endpoint);
	g_string_append_c(walk->text, '\n');
	show_events(walk, first->id.attempt, depth + 1);
}

/* Whether the attempt stands below another one whose events are known. */
static bool has_known_parent(const tree_walk_t *walk, uint64_t attempt)
{
	uint64_t parent = parent_of(walk, attempt);

	return parent && describe(walk, parent);
}

/*
 * Attempts whose caller's events were overwritten still have to be seen; at
 * last, damaged events too that name each other as callers.
 */
static void show_unlinked(const tree_walk_t *walk, bool with_callers)
{
	guint i;

	for (i = 0; i < walk->history->events->len; i++) {
		const ql_history_event_t *event =
			ql_history_at(walk->history, i);

		if (!is_of_request(walk, event) || !event->id.attempt)
			continue;
		if (has_known_parent(walk, event->id.attempt) != with_callers ||
		    !mark_shown(walk, event))
			continue;
		g_string_append(walk->text,
				"(the events of the caller are missing)\n");
		show_attempt(walk, event, 1);
	}
}

static const ql_history_event_t *first_of(const tree_walk_t *walk)
{
	guint i;

	for (i = 0; i < walk->history->events->len; i++)
		if (is_of_request(walk, ql_history_at(walk->history, i)))
			return ql_history_at(walk->history, i);
	return NULL;
}

char *ql_history_format_tree(const ql_history_t *history, uint64_t request)
{
	tree_walk_t walk = {
		.history = history,
		.request = request,
		.shown = g_hash_table_new(g_int64_hash, g_int64_equal),
		.text = g_string_new(NULL),
	};
	const ql_history_event_t *first = first_of(&walk);

	g_string_append_printf(walk.text, "request %016" PRIx64, request);
	if (first) {
		walk.first_ms = first->clock >> CLOCK_COUNTER_BITS;
		append_field(walk.text, "class=", first->class_name);
		g_string_append_c(walk.text, '\n');
		show_events(&walk, 0, 1);
		show_unlinked(&walk, false);
		show_unlinked(&walk, true);
	} else {
		g_string_append(walk.text, ": no event is known\n");
	}
	g_hash_table_destroy(walk.shown);
	return g_string_free(walk.text, FALSE);
}
