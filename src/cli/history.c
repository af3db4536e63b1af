#include "cli/history.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdlib.h>
#include <string.h>

/* An event as read from JSON; the fields have the names of the JSON keys. */
typedef struct {
	char clock[QL_HEX64_MAX];
	char request[QL_HEX64_MAX];
	char attempt[QL_HEX64_MAX];
	char parent[QL_HEX64_MAX];
	uint64_t wall_us;
	uint64_t version;
	char node[QL_NAME_MAX];
	char event[QL_EVENT_TEXT_MAX];
	char service[QL_NAME_MAX];
	char endpoint[QL_ADDRESS_MAX];
	char class[QL_NAME_MAX];
	char outcome[QL_EVENT_TEXT_MAX];
	char reason[QL_EVENT_TEXT_MAX];
} raw_event_t;

/* Just below the largest integer of Jansson, INT64_MAX. */
#define JSON_UINT_MAX 9.2e18

static const ql_json_member_t event_members[] = {
	QL_MEMBER_STRING(raw_event_t, clock, true, 1),
	QL_MEMBER_STRING(raw_event_t, request, false, 1),
	QL_MEMBER_STRING(raw_event_t, attempt, false, 1),
	QL_MEMBER_STRING(raw_event_t, parent, false, 1),
	QL_MEMBER_UINT(raw_event_t, wall_us, true, 0, JSON_UINT_MAX),
	QL_MEMBER_UINT(raw_event_t, version, false, 0, JSON_UINT_MAX),
	QL_MEMBER_STRING(raw_event_t, node, true, 1),
	QL_MEMBER_STRING(raw_event_t, event, true, 1),
	QL_MEMBER_STRING(raw_event_t, service, false, 1),
	QL_MEMBER_STRING(raw_event_t, endpoint, false, 1),
	QL_MEMBER_STRING(raw_event_t, class, false, 1),
	QL_MEMBER_STRING(raw_event_t, outcome, false, 1),
	QL_MEMBER_STRING(raw_event_t, reason, false, 1),
};

void ql_history_init(ql_history_t *history)
{
	history->events = g_array_new(FALSE, TRUE, sizeof(ql_history_event_t));
	history->overwritten = 0;
}

void ql_history_finish(ql_history_t *history)
{
	g_array_free(history->events, TRUE);
}

/* Leaves *out unchanged if the text is empty. */
static int read_hex(uint64_t *out, const char *text, const char *key,
		    const char *location, GError **error)
{
	if (!*text || !ql_hex64_parse(out, text))
		return 0;
	return ql_error_set(error, QL_E_INVALID,
			    "%s.%s: found \"%s\", allowed hex digits", location,
			    key, text);
}

static int convert_event(ql_history_event_t *event, const raw_event_t *raw,
			 const char *location, GError **error)
{
	int ret = read_hex(&event->clock, raw->clock, "clock", location, error);

	if (!ret)
		ret = read_hex(&event->id.request, raw->request, "request",
			       location, error);
	if (!ret)
		ret = read_hex(&event->id.attempt, raw->attempt, "attempt",
			       location, error);
	if (!ret)
		ret = read_hex(&event->parent, raw->parent, "parent", location,
			       error);
	event->wall_us = raw->wall_us;
	event->version = raw->version;
	memcpy(event->node, raw->node, sizeof(event->node));
	memcpy(event->name, raw->event, sizeof(event->name));
	memcpy(event->service, raw->service, sizeof(event->service));
	memcpy(event->endpoint, raw->endpoint, sizeof(event->endpoint));
	memcpy(event->class_name, raw->class, sizeof(event->class_name));
	memcpy(event->outcome, raw->outcome, sizeof(event->outcome));
	memcpy(event->reason, raw->reason, sizeof(event->reason));
	return ret;
}

int ql_history_add_event(ql_history_t *history, json_t *json,
			 const char *location, GError **error)
{
	ql_history_event_t event = {0};
	raw_event_t raw = {0};
	int ret;

	ret = ql_json_read(&raw, json, location, event_members,
			   G_N_ELEMENTS(event_members), error);
	if (!ret)
		ret = convert_event(&event, &raw, location, error);
	if (!ret)
		g_array_append_val(history->events, event);
	return ret;
}

int ql_history_add_report(ql_history_t *history, const json_t *report,
			  const char *location, GError **error)
{
	const json_t *refused = json_object_get(report, "detail");
	json_t *event;
	size_t i;
	int ret = 0;

	if (refused)
		return ql_error_set(error, QL_E_INVALID, "%s: %s", location,
				    json_string_value(refused));
	json_array_foreach (json_object_get(report, "events"), i, event) {
		ret = ql_history_add_event(history, event, location, error);
		if (ret)
			break;
	}
	history->overwritten += (uint64_t)json_integer_value(
		json_object_get(report, "overwritten"));
	return ret;
}

static bool matches_filter(const ql_history_event_t *event,
			   const ql_timeline_filter_t *filter)
{
	if (event->clock <= filter->since)
		return false;
	if (filter->request && event->id.request != filter->request)
		return false;
	if (filter->has_version && event->version != filter->version)
		return false;
	if (filter->service[0] && strcmp(event->service, filter->service) != 0)
		return false;
	return !filter->endpoint[0] ||
	       !strcmp(event->endpoint, filter->endpoint);
}

static int load_line(ql_history_t *history, const char *line,
		     const char *location, const ql_timeline_filter_t *filter,
		     GError **error)
{
	GError *cause = NULL;
	json_t *json;
	guint last;
	int ret;

	if (ql_json_parse(&json, line, strlen(line), &cause)) {
		ql_error_set(error, QL_E_INVALID, "%s: %s", location,
			     cause->message);
		g_error_free(cause);
		return QL_E_INVALID;
	}
	ret = ql_history_add_event(history, json, location, error);
	json_decref(json);
	last = history->events->len - 1;
	if (!ret && !matches_filter(ql_history_at(history, last), filter))
		g_array_set_size(history->events, last);
	return ret;
}

int ql_history_load(ql_history_t *history, const char *path,
		    const ql_timeline_filter_t *filter, GError **error)
{
	GError *cause = NULL;
	char **lines, *location;
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
		location = g_strdup_printf("%s:%zu", path, i + 1);
		if (*lines[i])
			ret = load_line(history, lines[i], location, filter,
					error);
		g_free(location);
	}
	g_strfreev(lines);
	return ret;
}

static gint compare_clock_and_node(gconstpointer a, gconstpointer b)
{
	const ql_history_event_t *x = a;
	const ql_history_event_t *y = b;

	if (x->clock != y->clock)
		return x->clock < y->clock ? -1 : 1;
	return strcmp(x->node, y->node);
}

void ql_history_sort(ql_history_t *history)
{
	GArray *events = history->events;
	guint i, kept = 0;

	g_array_sort(events, compare_clock_and_node);
	for (i = 0; i < events->len; i++) {
		/* The clock of a node issues each stamp once. */
		if (kept &&
		    !compare_clock_and_node(ql_history_at(history, i),
					    ql_history_at(history, kept - 1)))
			continue;
		g_array_index(events, ql_history_event_t, kept++) =
			*ql_history_at(history, i);
	}
	g_array_set_size(events, kept);
}

/* Which events of an attempt precede the current one. */
typedef struct {
	bool sent;
	bool reached_gate;
	bool answered;
	bool misordered;
} attempt_progress_t;

static bool is_at_gate(const ql_history_event_t *event)
{
	return g_str_has_prefix(event->name, "gate_");
}

static void update_progress(attempt_progress_t *progress,
			    const ql_history_event_t *event)
{
	if (!strcmp(event->name, "attempt_sent")) {
		progress->misordered |= progress->reached_gate;
		progress->sent = true;
	} else if (is_at_gate(event)) {
		progress->misordered |= progress->answered;
		progress->reached_gate = true;
	} else if (!strcmp(event->name, "attempt_answered")) {
		progress->answered = true;
	}
}

size_t ql_history_count_misordered(const ql_history_t *history)
{
	GHashTable *attempts =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      g_free);
	const ql_history_event_t *event;
	GHashTableIter iter;
	attempt_progress_t *progress;
	gpointer value;
	size_t misordered = 0;
	guint i;

	for (i = 0; i < history->events->len; i++) {
		event = ql_history_at(history, i);
		if (!event->id.attempt)
			continue;
		progress = g_hash_table_lookup(attempts, &event->id.attempt);
		if (!progress) {
			progress = g_new0(attempt_progress_t, 1);
			g_hash_table_insert(attempts,
					    (gpointer)&event->id.attempt,
					    progress);
		}
		update_progress(progress, event);
	}
	g_hash_table_iter_init(&iter, attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		misordered += ((const attempt_progress_t *)value)->misordered;
	g_hash_table_destroy(attempts);
	return misordered;
}

json_t *ql_history_event_to_json(const ql_history_event_t *event)
{
	json_t *json = json_object();

	ql_timeline_set_hex64(json, "clock", event->clock);
	json_object_set_new(json, "wall_us",
			    json_integer((json_int_t)event->wall_us));
	ql_timeline_set_name(json, "node", event->node);
	ql_timeline_set_name(json, "event", event->name);
	ql_timeline_set_hex64(json, "request", event->id.request);
	ql_timeline_set_hex64(json, "attempt", event->id.attempt);
	ql_timeline_set_hex64(json, "parent", event->parent);
	ql_timeline_set_name(json, "service", event->service);
	ql_timeline_set_name(json, "endpoint", event->endpoint);
	ql_timeline_set_name(json, "class", event->class_name);
	ql_timeline_set_name(json, "outcome", event->outcome);
	ql_timeline_set_name(json, "reason", event->reason);
	if (event->version)
		json_object_set_new(json, "version",
				    json_integer((json_int_t)event->version));
	return json;
}

void ql_history_save(const ql_history_t *history, FILE *out)
{
	json_t *json;
	char *text;
	guint i;

	for (i = 0; i < history->events->len; i++) {
		json = ql_history_event_to_json(ql_history_at(history, i));
		text = ql_json_dump(json);
		fprintf(out, "%s\n", text);
		free(text);
		json_decref(json);
	}
}
