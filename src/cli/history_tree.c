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
} walk_t;

static bool is_of_request(const walk_t *walk, const ql_moment_t *moment)
{
	return moment->id.request == walk->request;
}

static void append_word(GString *text, const char *label, const char *word)
{
	if (*word)
		g_string_append_printf(text, " %s%s", label, word);
}

static void append_moment(const walk_t *walk, const ql_moment_t *moment,
			  int depth)
{
	uint64_t ms = moment->clock >> CLOCK_COUNTER_BITS;

	g_string_append_printf(walk->text, "%*s+%" PRIu64 " ms  %s  %s",
			       depth * INDENT, "", ms - walk->first_ms,
			       moment->node, moment->event);
	append_word(walk->text, "", moment->outcome);
	append_word(walk->text, "reason=", moment->reason);
	g_string_append_c(walk->text, '\n');
}

/* The caller's own description goes before that of the gate. */
static const ql_moment_t *describe(const walk_t *walk, uint64_t attempt)
{
	const ql_moment_t *found = NULL;
	guint i;

	for (i = 0; i < walk->history->moments->len; i++) {
		const ql_moment_t *moment = ql_history_at(walk->history, i);

		if (!is_of_request(walk, moment) ||
		    moment->id.attempt != attempt)
			continue;
		if (!found || (!found->endpoint[0] && moment->endpoint[0]))
			found = moment;
	}
	return found;
}

static uint64_t parent_of(const walk_t *walk, uint64_t attempt)
{
	guint i;

	for (i = 0; i < walk->history->moments->len; i++) {
		const ql_moment_t *moment = ql_history_at(walk->history, i);

		if (is_of_request(walk, moment) &&
		    moment->id.attempt == attempt && moment->parent)
			return moment->parent;
	}
	return 0;
}

static bool mark_shown(const walk_t *walk, const ql_moment_t *moment)
{
	return g_hash_table_add(walk->shown, (gpointer)&moment->id.attempt);
}

static void show_attempt(const walk_t *walk, const ql_moment_t *first,
			 int depth);

/* Shows the events of one attempt, and in their place those it made. */
static void show_events(const walk_t *walk, uint64_t attempt, int depth)
{
	guint i;

	for (i = 0; i < walk->history->moments->len; i++) {
		const ql_moment_t *moment = ql_history_at(walk->history, i);

		if (!is_of_request(walk, moment))
			continue;
		if (moment->id.attempt == attempt)
			append_moment(walk, moment, depth);
		else if (parent_of(walk, moment->id.attempt) == attempt &&
			 moment->id.attempt && mark_shown(walk, moment))
			show_attempt(walk, moment, depth);
	}
}

static void show_attempt(const walk_t *walk, const ql_moment_t *first,
			 int depth)
{
	const ql_moment_t *best = describe(walk, first->id.attempt);

	g_string_append_printf(walk->text, "%*sattempt %016" PRIx64,
			       depth * INDENT, "", first->id.attempt);
	append_word(walk->text, "service=", best->service);
	append_word(walk->text, "endpoint=", best->endpoint);
	g_string_append_c(walk->text, '\n');
	show_events(walk, first->id.attempt, depth + 1);
}

/* Whether the attempt stands below another one whose events are known. */
static bool has_caller(const walk_t *walk, uint64_t attempt)
{
	uint64_t parent = parent_of(walk, attempt);

	return parent && describe(walk, parent);
}

/*
 * Attempts whose caller's events were overwritten still have to be seen; at
 * last, damaged events too that name each other as callers.
 */
static void show_rest(const walk_t *walk, bool with_callers)
{
	guint i;

	for (i = 0; i < walk->history->moments->len; i++) {
		const ql_moment_t *moment = ql_history_at(walk->history, i);

		if (!is_of_request(walk, moment) || !moment->id.attempt)
			continue;
		if (has_caller(walk, moment->id.attempt) != with_callers ||
		    !mark_shown(walk, moment))
			continue;
		g_string_append(walk->text,
				"(the events of the caller are missing)\n");
		show_attempt(walk, moment, 1);
	}
}

static const ql_moment_t *first_of(const walk_t *walk)
{
	guint i;

	for (i = 0; i < walk->history->moments->len; i++)
		if (is_of_request(walk, ql_history_at(walk->history, i)))
			return ql_history_at(walk->history, i);
	return NULL;
}

char *ql_history_tree(const ql_history_t *history, uint64_t request)
{
	walk_t walk = {
		.history = history,
		.request = request,
		.shown = g_hash_table_new(g_int64_hash, g_int64_equal),
		.text = g_string_new(NULL),
	};
	const ql_moment_t *first = first_of(&walk);

	g_string_append_printf(walk.text, "request %016" PRIx64, request);
	if (first) {
		walk.first_ms = first->clock >> CLOCK_COUNTER_BITS;
		append_word(walk.text, "class=", first->class_name);
		g_string_append_c(walk.text, '\n');
		show_events(&walk, 0, 1);
		show_rest(&walk, false);
		show_rest(&walk, true);
	} else {
		g_string_append(walk.text, ": no event is known\n");
	}
	g_hash_table_destroy(walk.shown);
	return g_string_free(walk.text, FALSE);
}
