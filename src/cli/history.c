#include "cli/history.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdlib.h>
#include <string.h>

/* An event as it stands in a report. */
typedef struct {
	char clock[QL_HEX64_MAX];
	char request[QL_HEX64_MAX];
	char attempt[QL_HEX64_MAX];
	char parent[QL_HEX64_MAX];
	uint64_t wall_us;
	uint64_t version;
	char node[QL_NAME_MAX];
	char event[QL_WORD_MAX];
	char service[QL_NAME_MAX];
	char endpoint[QL_ADDRESS_MAX];
	char class[QL_NAME_MAX];
	char outcome[QL_WORD_MAX];
	char reason[QL_WORD_MAX];
} source_t;

#define NUMBER_MAX 9.2e18

static const ql_json_member_t members[] = {
	QL_MEMBER_STRING(source_t, clock, true, 1),
	QL_MEMBER_STRING(source_t, request, false, 1),
	QL_MEMBER_STRING(source_t, attempt, false, 1),
	QL_MEMBER_STRING(source_t, parent, false, 1),
	QL_MEMBER_UINT(source_t, wall_us, true, 0, NUMBER_MAX),
	QL_MEMBER_UINT(source_t, version, false, 0, NUMBER_MAX),
	QL_MEMBER_STRING(source_t, node, true, 1),
	QL_MEMBER_STRING(source_t, event, true, 1),
	QL_MEMBER_STRING(source_t, service, false, 1),
	QL_MEMBER_STRING(source_t, endpoint, false, 1),
	QL_MEMBER_STRING(source_t, class, false, 1),
	QL_MEMBER_STRING(source_t, outcome, false, 1),
	QL_MEMBER_STRING(source_t, reason, false, 1),
};

void ql_history_init(ql_history_t *history)
{
	history->moments = g_array_new(FALSE, TRUE, sizeof(ql_moment_t));
	history->overwritten = 0;
}

void ql_history_finish(ql_history_t *history)
{
	g_array_free(history->moments, TRUE);
}

static int read_hex(uint64_t *out, const char *text, const char *key,
		    const char *place, GError **error)
{
	if (!*text || !ql_hex64_parse(out, text))
		return 0;
	return ql_error_set(error, QL_E_INVALID,
			    "%s.%s: found \"%s\", allowed hex digits", place,
			    key, text);
}

static int fill_moment(ql_moment_t *moment, const source_t *source,
		       const char *place, GError **error)
{
	int ret =
		read_hex(&moment->clock, source->clock, "clock", place, error);

	if (!ret)
		ret = read_hex(&moment->id.request, source->request, "request",
			       place, error);
	if (!ret)
		ret = read_hex(&moment->id.attempt, source->attempt, "attempt",
			       place, error);
	if (!ret)
		ret = read_hex(&moment->parent, source->parent, "parent", place,
			       error);
	moment->wall_us = source->wall_us;
	moment->version = source->version;
	memcpy(moment->node, source->node, sizeof(moment->node));
	memcpy(moment->event, source->event, sizeof(moment->event));
	memcpy(moment->service, source->service, sizeof(moment->service));
	memcpy(moment->endpoint, source->endpoint, sizeof(moment->endpoint));
	memcpy(moment->class_name, source->class, sizeof(moment->class_name));
	memcpy(moment->outcome, source->outcome, sizeof(moment->outcome));
	memcpy(moment->reason, source->reason, sizeof(moment->reason));
	return ret;
}

int ql_history_take_event(ql_history_t *history, json_t *json,
			  const char *place, GError **error)
{
	ql_moment_t moment = {0};
	source_t source = {0};
	int ret;

	ret = ql_json_read(&source, json, place, members, G_N_ELEMENTS(members),
			   error);
	if (!ret)
		ret = fill_moment(&moment, &source, place, error);
	if (!ret)
		g_array_append_val(history->moments, moment);
	return ret;
}

int ql_history_take_report(ql_history_t *history, const json_t *report,
			   const char *place, GError **error)
{
	const json_t *refused = json_object_get(report, "detail");
	json_t *event;
	size_t i;
	int ret = 0;

	if (refused)
		return ql_error_set(error, QL_E_INVALID, "%s: %s", place,
				    json_string_value(refused));
	json_array_foreach (json_object_get(report, "events"), i, event) {
		ret = ql_history_take_event(history, event, place, error);
		if (ret)
			break;
	}
	history->overwritten += (uint64_t)json_integer_value(
		json_object_get(report, "overwritten"));
	return ret;
}

static bool passes(const ql_moment_t *moment,
		   const ql_timeline_filter_t *filter)
{
	if (moment->clock <= filter->since)
		return false;
	if (filter->request && moment->id.request != filter->request)
		return false;
	if (filter->has_version && moment->version != filter->version)
		return false;
	if (filter->service[0] && strcmp(moment->service, filter->service) != 0)
		return false;
	return !filter->endpoint[0] ||
	       !strcmp(moment->endpoint, filter->endpoint);
}

static int load_line(ql_history_t *history, const char *line, const char *place,
		     const ql_timeline_filter_t *filter, GError **error)
{
	GError *cause = NULL;
	json_t *json;
	guint last;
	int ret;

	if (ql_json_parse(&json, line, strlen(line), &cause)) {
		ql_error_set(error, QL_E_INVALID, "%s: %s", place,
			     cause->message);
		g_error_free(cause);
		return QL_E_INVALID;
	}
	ret = ql_history_take_event(history, json, place, error);
	json_decref(json);
	last = history->moments->len - 1;
	if (!ret && !passes(ql_history_at(history, last), filter))
		g_array_set_size(history->moments, last);
	return ret;
}

int ql_history_load(ql_history_t *history, const char *path,
		    const ql_timeline_filter_t *filter, GError **error)
{
	GError *cause = NULL;
	char **lines, *place;
	gchar *text;
	size_t i;
	int ret = 0;

	if (!g_file_get_contents(path, &text, NULL, &cause)) {
		ql_error_set(error, QL_E_IO, "%s", cause->message);
		g_error_free(cause);
		return QL_E_IO;
	}
	lines = g_strsplit(text, "\n", -1);
	g_free(text);
	for (i = 0; lines[i] && !ret; i++) {
		place = g_strdup_printf("%s:%zu", path, i + 1);
		if (*lines[i])
			ret = load_line(history, lines[i], place, filter,
					error);
		g_free(place);
	}
	g_strfreev(lines);
	return ret;
}

static gint by_clock_and_node(gconstpointer a, gconstpointer b)
{
	const ql_moment_t *x = a;
	const ql_moment_t *y = b;

	if (x->clock != y->clock)
		return x->clock < y->clock ? -1 : 1;
	return strcmp(x->node, y->node);
}

void ql_history_sort(ql_history_t *history)
{
	GArray *moments = history->moments;
	guint i, kept = 0;

	g_array_sort(moments, by_clock_and_node);
	for (i = 0; i < moments->len; i++) {
		/* A process gives each stamp once. */
		if (kept &&
		    !by_clock_and_node(ql_history_at(history, i),
				       ql_history_at(history, kept - 1)))
			continue;
		g_array_index(moments, ql_moment_t, kept++) =
			*ql_history_at(history, i);
	}
	g_array_set_size(moments, kept);
}

/* How far an attempt has come in the order of events. */
typedef struct {
	bool sent;
	bool seen_at_gate;
	bool ended;
	bool unsound;
} progress_t;

static bool is_at_gate(const ql_moment_t *moment)
{
	return g_str_has_prefix(moment->event, "gate_");
}

static void advance(progress_t *progress, const ql_moment_t *moment)
{
	if (!strcmp(moment->event, "attempt_sent")) {
		progress->unsound |= progress->seen_at_gate;
		progress->sent = true;
	} else if (is_at_gate(moment)) {
		progress->unsound |= progress->ended;
		progress->seen_at_gate = true;
	} else if (!strcmp(moment->event, "attempt_answered")) {
		progress->ended = true;
	}
}

size_t ql_history_count_unsound(const ql_history_t *history)
{
	GHashTable *attempts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      g_free);
	const ql_moment_t *moment;
	GHashTableIter iter;
	progress_t *progress;
	gpointer value;
	size_t unsound = 0;
	guint i;

	for (i = 0; i < history->moments->len; i++) {
		moment = ql_history_at(history, i);
		if (!moment->id.attempt)
			continue;
		progress = g_hash_table_lookup(attempts, &moment->id.attempt);
		if (!progress) {
			progress = g_new0(progress_t, 1);
			g_hash_table_insert(attempts,
					    (gpointer)&moment->id.attempt,
					    progress);
		}
		advance(progress, moment);
	}
	g_hash_table_iter_init(&iter, attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		unsound += ((const progress_t *)value)->unsound;
	g_hash_table_destroy(attempts);
	return unsound;
}

static void set_hex(json_t *object, const char *key, uint64_t value)
{
	char text[QL_HEX64_MAX];

	if (!value)
		return;
	ql_hex64_format(text, value);
	json_object_set_new(object, key, json_string(text));
}

static void set_word(json_t *object, const char *key, const char *value)
{
	if (*value)
		json_object_set_new(object, key, json_string(value));
}

json_t *ql_moment_json(const ql_moment_t *moment)
{
	json_t *json = json_object();

	set_hex(json, "clock", moment->clock);
	json_object_set_new(json, "wall_us",
			    json_integer((json_int_t)moment->wall_us));
	set_word(json, "node", moment->node);
	set_word(json, "event", moment->event);
	set_hex(json, "request", moment->id.request);
	set_hex(json, "attempt", moment->id.attempt);
	set_hex(json, "parent", moment->parent);
	set_word(json, "service", moment->service);
	set_word(json, "endpoint", moment->endpoint);
	set_word(json, "class", moment->class_name);
	set_word(json, "outcome", moment->outcome);
	set_word(json, "reason", moment->reason);
	if (moment->version)
		json_object_set_new(json, "version",
				    json_integer((json_int_t)moment->version));
	return json;
}

void ql_history_save(const ql_history_t *history, FILE *out)
{
	json_t *json;
	char *text;
	guint i;

	for (i = 0; i < history->moments->len; i++) {
		json = ql_moment_json(ql_history_at(history, i));
		text = ql_json_dump(json);
		fprintf(out, "%s\n", text);
		free(text);
		json_decref(json);
	}
}
