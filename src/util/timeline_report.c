#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/timeline.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEX64_DIGITS 16
#define HEX_BASE 16

void ql_hex64_format(char *out, uint64_t value)
{
	snprintf(out, QL_HEX64_MAX, "%016" PRIx64, value);
}

int ql_hex64_parse(uint64_t *out, const char *text)
{
	size_t length = strspn(text, "0123456789abcdefABCDEF");

	if (!length || length > HEX64_DIGITS || text[length])
		return QL_E_INVALID;
	*out = strtoull(text, NULL, HEX_BASE);
	return 0;
}

/* Members of the JSON object that defines a filter. */
typedef struct {
	char request[QL_HEX64_MAX];
	char since[QL_HEX64_MAX];
	uint64_t version;
	char service[QL_NAME_MAX];
	char endpoint[QL_ADDRESS_MAX];
} filter_source_t;

static const ql_json_member_t filter_members[] = {
	QL_MEMBER_STRING(filter_source_t, request, false, 1),
	QL_MEMBER_STRING(filter_source_t, since, false, 1),
	QL_MEMBER_UINT(filter_source_t, version, false, 0, 9e15),
	QL_MEMBER_STRING(filter_source_t, service, false, 1),
	QL_MEMBER_STRING(filter_source_t, endpoint, false, 1),
};

static int parse_hex_member(uint64_t *out, const char *text, const char *key,
			    GError **error)
{
	if (!*text || !ql_hex64_parse(out, text))
		return 0;
	return ql_error_set(error, QL_E_INVALID,
			    "filter.%s: found \"%s\", allowed 1 to 16 hex "
			    "digits",
			    key, text);
}

static int read_filter(ql_timeline_filter_t *filter, json_t *json,
		       GError **error)
{
	filter_source_t source = {0};
	int ret = ql_json_read(&source, json, "filter", filter_members,
			       G_N_ELEMENTS(filter_members), error);

	if (!ret)
		ret = parse_hex_member(&filter->request, source.request,
				       "request", error);
	if (!ret)
		ret = parse_hex_member(&filter->since, source.since, "since",
				       error);
	filter->has_version = json_object_get(json, "version");
	filter->version = source.version;
	memcpy(filter->service, source.service, sizeof(filter->service));
	memcpy(filter->endpoint, source.endpoint, sizeof(filter->endpoint));
	return ret;
}

int ql_timeline_filter_parse(ql_timeline_filter_t *filter, const char *text,
			     GError **error)
{
	json_t *json;
	int ret;

	memset(filter, 0, sizeof(*filter));
	if (!text || !*text)
		return 0;
	ret = ql_json_parse(&json, text, strlen(text), error);
	if (ret)
		return ret;
	ret = read_filter(filter, json, error);
	json_decref(json);
	return ret;
}

void ql_timeline_set_hex64(json_t *object, const char *key, uint64_t value)
{
	char text[QL_HEX64_MAX];

	if (!value)
		return;
	ql_hex64_format(text, value);
	json_object_set_new(object, key, json_string(text));
}

void ql_timeline_set_name(json_t *object, const char *key, const char *value)
{
	json_t *string;

	if (!*value)
		return;
	/* Names come from requests and may not be valid UTF-8. */
	string = json_string(value);
	json_object_set_new(object, key,
			    string ? string : json_string("(not UTF-8)"));
}

char *ql_timeline_filter_format(const ql_timeline_filter_t *filter)
{
	json_t *json = json_object();
	char *text;

	ql_timeline_set_hex64(json, "request", filter->request);
	ql_timeline_set_hex64(json, "since", filter->since);
	ql_timeline_set_name(json, "service", filter->service);
	ql_timeline_set_name(json, "endpoint", filter->endpoint);
	if (filter->has_version)
		json_object_set_new(json, "version",
				    json_integer((json_int_t)filter->version));
	text = ql_json_dump(json);
	json_decref(json);
	return text;
}

static bool matches_filter(const ql_timeline_filter_t *filter,
			   const ql_timeline_slot_t *slot)
{
	if (!slot->index || slot->clock <= filter->since)
		return false;
	if (filter->request && slot->id.request != filter->request)
		return false;
	if (filter->has_version && slot->version != filter->version)
		return false;
	if (filter->service[0] && strcmp(filter->service, slot->service) != 0)
		return false;
	return !filter->endpoint[0] ||
	       !strcmp(filter->endpoint, slot->endpoint);
}

/* Copies the matching slots, so that no lock is held during formatting. */
static GArray *copy_matching(ql_timeline_t *timeline,
			     const ql_timeline_filter_t *filter)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(ql_timeline_slot_t));
	pthread_mutex_t *lock;
	size_t i;

	for (i = 0; i < timeline->capacity; i++) {
		lock = &timeline->locks[i % QL_TIMELINE_LOCKS];
		pthread_mutex_lock(lock);
		if (matches_filter(filter, &timeline->slots[i]))
			g_array_append_val(found, timeline->slots[i]);
		pthread_mutex_unlock(lock);
	}
	return found;
}

static gint compare_clocks(gconstpointer a, gconstpointer b)
{
	const ql_timeline_slot_t *x = a;
	const ql_timeline_slot_t *y = b;

	return (x->clock > y->clock) - (x->clock < y->clock);
}

static json_t *slot_json(const ql_timeline_slot_t *slot, const char *node)
{
	json_t *json = json_object();

	ql_timeline_set_hex64(json, "clock", slot->clock);
	json_object_set_new(json, "wall_us",
			    json_integer((json_int_t)slot->wall_us));
	ql_timeline_set_name(json, "node", node);
	ql_timeline_set_name(json, "event",
			     ql_event_name((ql_event_t)slot->event));
	ql_timeline_set_hex64(json, "request", slot->id.request);
	ql_timeline_set_hex64(json, "attempt", slot->id.attempt);
	ql_timeline_set_hex64(json, "parent", slot->parent);
	ql_timeline_set_name(json, "service", slot->service);
	ql_timeline_set_name(json, "endpoint", slot->endpoint);
	ql_timeline_set_name(json, "class", slot->class_name);
	if (slot->version)
		json_object_set_new(json, "version",
				    json_integer((json_int_t)slot->version));
	if (slot->has_outcome)
		ql_timeline_set_name(json, "outcome",
				     ql_outcome_name(
					     (ql_outcome_t)slot->outcome));
	if (slot->reason != QL_REASON_NONE)
		ql_timeline_set_name(json, "reason",
				     ql_reason_name((ql_reason_t)slot->reason));
	return json;
}

static json_t *events_json(const GArray *found, const char *node)
{
	json_t *events = json_array();
	guint i;

	for (i = 0; i < found->len && i < QL_TIMELINE_REPORT_EVENTS_MAX; i++)
		json_array_append_new(
			events,
			slot_json(&g_array_index(found, ql_timeline_slot_t, i),
				  node));
	return events;
}

static json_t *filter_error_report(GError *error)
{
	json_t *json =
		json_pack("{s:s, s:s}", "error", ql_error_name(error->code),
			  "detail", error->message);

	g_error_free(error);
	return json;
}

json_t *ql_timeline_report(ql_timeline_t *timeline, const char *filter)
{
	ql_timeline_filter_t parsed;
	GError *error = NULL;
	uint64_t recorded, overwritten;
	GArray *found;
	json_t *json;

	if (ql_timeline_filter_parse(&parsed, filter, &error))
		return filter_error_report(error);
	found = copy_matching(timeline, &parsed);
	recorded = __atomic_load_n(&timeline->recorded, __ATOMIC_RELAXED);
	overwritten = recorded > timeline->capacity
			      ? recorded - timeline->capacity
			      : 0;
	g_array_sort(found, compare_clocks);
	json = json_pack("{s:s, s:I, s:I, s:b, s:o}", "node", timeline->node,
			 "recorded", (json_int_t)recorded, "overwritten",
			 (json_int_t)overwritten, "more",
			 found->len > QL_TIMELINE_REPORT_EVENTS_MAX, "events",
			 events_json(found, timeline->node));
	g_array_free(found, TRUE);
	return json;
}
