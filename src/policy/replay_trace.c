#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/replay.h"

#include <string.h>

#define TRACE_SECONDS_MAX 3600.0
#define ARRIVAL_RATE_MAX_PER_S 1e6
#define FACTOR_MAX 1000.0
#define TRACE_COUNT_MAX 10000
#define OUTCOME_VALUE_MAX 1e12
#define TRACE_FORMAT_VERSION 1

/*
 * struct trace_reader - Reader of a trace.
 * @trace: trace that the lines are added to
 * @folder: folder of the trace file, which the path of the site is relative to
 * @location: position in the file for messages, such as "line 3"
 */
typedef struct trace_reader {
	ql_replay_trace_t *trace;
	const char *folder;
	char location[QL_NAME_MAX];
} trace_reader_t;

typedef struct {
	char type[QL_NAME_MAX];
	uint64_t version;
	char site[QL_PATH_MAX];
	ql_replay_trace_t trace;
} header_t;

static const ql_json_member_t header_members[] = {
	QL_MEMBER_STRING(header_t, type, true, 1),
	QL_MEMBER_UINT(header_t, version, true, TRACE_FORMAT_VERSION,
		       TRACE_FORMAT_VERSION),
	QL_MEMBER_STRING(header_t, site, true, 1),
	{"name", QL_JSON_STRING, true, offsetof(header_t, trace.name),
	 QL_NAME_MAX, 1, 0},
	{"failure_domains", QL_JSON_UINT, true,
	 offsetof(header_t, trace.failure_domains), 0, 1, TRACE_COUNT_MAX},
	{"seed", QL_JSON_UINT, true, offsetof(header_t, trace.seed), 0, 0,
	 UINT32_MAX},
	{"duration_s", QL_JSON_REAL, true, offsetof(header_t, trace.duration_s),
	 0, 0.1, TRACE_SECONDS_MAX},
	{"trigger_from_s", QL_JSON_REAL, true,
	 offsetof(header_t, trace.trigger_from_s), 0, 0, TRACE_SECONDS_MAX},
	{"trigger_until_s", QL_JSON_REAL, true,
	 offsetof(header_t, trace.trigger_until_s), 0, 0, TRACE_SECONDS_MAX},
	{"bottleneck", QL_JSON_STRING, true,
	 offsetof(header_t, trace.bottleneck), QL_NAME_MAX, 1, 0},
	{"tries", QL_JSON_UINT, true, offsetof(header_t, trace.tries), 0, 1,
	 100},
	{"backoff_ms", QL_JSON_UINT, true, offsetof(header_t, trace.backoff_ms),
	 0, 0, 60000},
	{"patience_ms", QL_JSON_UINT, true,
	 offsetof(header_t, trace.patience_ms), 0, 1, 600000},
	{"membership_lag_ms", QL_JSON_UINT, false,
	 offsetof(header_t, trace.membership_lag_ms), 0, 0, 60000},
};

/* Reads the first line, which has the settings of the whole trace. */
static int read_header(trace_reader_t *reader, json_t *json, GError **error)
{
	header_t header = {0};
	ql_replay_trace_t *trace = reader->trace;
	ql_replay_trace_t arrays = *trace;
	json_t *document = NULL;
	char *path;
	int ret;

	ret = ql_json_read(&header, json, reader->location, header_members,
			   G_N_ELEMENTS(header_members), error);
	if (ret)
		return ret;
	*trace = header.trace;
	trace->endpoints = arrays.endpoints;
	trace->arrivals = arrays.arrivals;
	trace->faults = arrays.faults;
	trace->outcomes = arrays.outcomes;
	path = g_path_is_absolute(header.site)
		       ? g_strdup(header.site)
		       : g_build_filename(reader->folder, header.site, NULL);
	ret = ql_json_load_file(&document, path, error);
	if (!ret)
		ret = ql_document_compile(&trace->doc, document, 1, error);
	json_decref(document);
	g_free(path);
	return ret;
}

static int check_service(const trace_reader_t *reader, const char *name,
			 GError **error)
{
	if (ql_document_find_service(reader->trace->doc, name) >= 0)
		return 0;
	return ql_error_set(error, QL_E_NOT_FOUND,
			    "%s.service: the site has no service \"%s\"",
			    reader->location, name);
}

typedef struct {
	char type[QL_NAME_MAX];
	ql_replay_endpoints_t value;
} endpoints_t;

static const ql_json_member_t endpoints_members[] = {
	QL_MEMBER_STRING(endpoints_t, type, true, 1),
	{"service", QL_JSON_STRING, true, offsetof(endpoints_t, value.service),
	 QL_NAME_MAX, 1, 0},
	{"count", QL_JSON_UINT, true, offsetof(endpoints_t, value.count), 0, 1,
	 TRACE_COUNT_MAX},
	{"slots", QL_JSON_UINT, true, offsetof(endpoints_t, value.slots), 0, 1,
	 TRACE_COUNT_MAX},
	{"reported_slots", QL_JSON_UINT, false,
	 offsetof(endpoints_t, value.reported_slots), 0, 1, TRACE_COUNT_MAX},
	{"connections", QL_JSON_UINT, true,
	 offsetof(endpoints_t, value.connections), 0, 1, TRACE_COUNT_MAX},
	{"service_ms", QL_JSON_REAL, true,
	 offsetof(endpoints_t, value.service_ms), 0, 0.01, 60000},
	{"spread", QL_JSON_REAL, false, offsetof(endpoints_t, value.spread), 0,
	 0, 1},
	{"cold_start_ms", QL_JSON_UINT, false,
	 offsetof(endpoints_t, value.cold_start_ms), 0, 0, 600000},
	{"cold_factor", QL_JSON_REAL, false,
	 offsetof(endpoints_t, value.cold_factor), 0, 1, FACTOR_MAX},
};

static int read_endpoints(trace_reader_t *reader, json_t *json, GError **error)
{
	endpoints_t line = {.value = {.cold_factor = 1}};
	int ret;

	ret = ql_json_read(&line, json, reader->location, endpoints_members,
			   G_N_ELEMENTS(endpoints_members), error);
	if (!ret)
		ret = check_service(reader, line.value.service, error);
	if (!line.value.reported_slots)
		line.value.reported_slots = line.value.slots;
	g_array_append_val(reader->trace->endpoints, line.value);
	return ret;
}

typedef struct {
	char type[QL_NAME_MAX];
	ql_replay_arrivals_t value;
} arrivals_t;

static const ql_json_member_t arrivals_members[] = {
	QL_MEMBER_STRING(arrivals_t, type, true, 1),
	{"route", QL_JSON_STRING, true, offsetof(arrivals_t, value.route),
	 QL_NAME_MAX, 1, 0},
	{"rate_per_s", QL_JSON_REAL, true,
	 offsetof(arrivals_t, value.rate_per_s), 0, 0.001,
	 ARRIVAL_RATE_MAX_PER_S},
	{"from_s", QL_JSON_REAL, false, offsetof(arrivals_t, value.from_s), 0,
	 0, TRACE_SECONDS_MAX},
	{"until_s", QL_JSON_REAL, false, offsetof(arrivals_t, value.until_s), 0,
	 0, TRACE_SECONDS_MAX},
	{"calls", QL_JSON_BOOL, false, offsetof(arrivals_t, value.calls), 0, 0,
	 0},
};

static int read_arrivals(trace_reader_t *reader, json_t *json, GError **error)
{
	const ql_document_t *doc = reader->trace->doc;
	arrivals_t line = {
		.value = {.until_s = reader->trace->duration_s, .calls = true}};
	size_t i;
	int ret;

	ret = ql_json_read(&line, json, reader->location, arrivals_members,
			   G_N_ELEMENTS(arrivals_members), error);
	if (ret)
		return ret;
	g_array_append_val(reader->trace->arrivals, line.value);
	for (i = 0; i < doc->n_routes; i++)
		if (!strcmp(doc->routes[i].name, line.value.route))
			return 0;
	return ql_error_set(error, QL_E_NOT_FOUND,
			    "%s.route: the site has no route \"%s\"",
			    reader->location, line.value.route);
}

typedef struct {
	char type[QL_NAME_MAX];
	ql_replay_fault_t value;
} fault_t;

static const ql_json_member_t fault_members[] = {
	QL_MEMBER_STRING(fault_t, type, true, 1),
	{"service", QL_JSON_STRING, false, offsetof(fault_t, value.service),
	 QL_NAME_MAX, 1, 0},
	{"index", QL_JSON_UINT, false, offsetof(fault_t, value.index), 0, 0,
	 TRACE_COUNT_MAX},
	{"factor", QL_JSON_REAL, false, offsetof(fault_t, value.factor), 0, 0,
	 FACTOR_MAX},
	{"from_s", QL_JSON_REAL, true, offsetof(fault_t, value.from_s), 0, 0,
	 TRACE_SECONDS_MAX},
	{"until_s", QL_JSON_REAL, true, offsetof(fault_t, value.until_s), 0, 0,
	 TRACE_SECONDS_MAX},
};

static int read_fault(trace_reader_t *reader, json_t *json,
		      ql_replay_fault_type_t type, GError **error)
{
	fault_t line = {.value = {.type = type, .factor = 1}};
	int ret;

	ret = ql_json_read(&line, json, reader->location, fault_members,
			   G_N_ELEMENTS(fault_members), error);
	if (!ret && type != QL_REPLAY_SURGE)
		ret = check_service(reader, line.value.service, error);
	g_array_append_val(reader->trace->faults, line.value);
	return ret;
}

static int read_slowdown(trace_reader_t *reader, json_t *json, GError **error)
{
	return read_fault(reader, json, QL_REPLAY_SLOWDOWN, error);
}

static int read_surge(trace_reader_t *reader, json_t *json, GError **error)
{
	return read_fault(reader, json, QL_REPLAY_SURGE, error);
}

static int read_kill(trace_reader_t *reader, json_t *json, GError **error)
{
	return read_fault(reader, json, QL_REPLAY_KILL, error);
}

static int read_drain(trace_reader_t *reader, json_t *json, GError **error)
{
	return read_fault(reader, json, QL_REPLAY_DRAIN, error);
}

typedef struct {
	char type[QL_NAME_MAX];
	ql_replay_outcome_t value;
} outcome_t;

static const ql_json_member_t outcome_members[] = {
	QL_MEMBER_STRING(outcome_t, type, true, 1),
	{"name", QL_JSON_STRING, true, offsetof(outcome_t, value.name),
	 QL_NAME_MAX, 1, 0},
	{"min", QL_JSON_REAL, false, offsetof(outcome_t, value.min), 0, 0,
	 OUTCOME_VALUE_MAX},
	{"max", QL_JSON_REAL, false, offsetof(outcome_t, value.max), 0, 0,
	 OUTCOME_VALUE_MAX},
};

static int read_outcome(trace_reader_t *reader, json_t *json, GError **error)
{
	outcome_t line = {.value = {.max = OUTCOME_VALUE_MAX}};
	int measure, ret;

	ret = ql_json_read(&line, json, reader->location, outcome_members,
			   G_N_ELEMENTS(outcome_members), error);
	if (ret)
		return ret;
	g_array_append_val(reader->trace->outcomes, line.value);
	for (measure = 0; measure < QL_REPLAY_N_MEASURES; measure++)
		if (!strcmp(ql_replay_measure_name(measure), line.value.name))
			return 0;
	return ql_error_set(error, QL_E_NOT_FOUND,
			    "%s.name: unknown measure \"%s\"", reader->location,
			    line.value.name);
}

static const struct {
	const char *type;
	int (*read)(trace_reader_t *reader, json_t *json, GError **error);
} line_types[] = {
	{"trace", read_header},	     {"endpoints", read_endpoints},
	{"arrivals", read_arrivals}, {"slowdown", read_slowdown},
	{"surge", read_surge},	     {"kill", read_kill},
	{"drain", read_drain},	     {"outcome", read_outcome},
};

/* Reads a line; only the first line is of type "trace". */
static int read_line(trace_reader_t *reader, const char *text, GError **error)
{
	json_t *json = NULL;
	const char *type;
	size_t i;
	int ret;

	ret = ql_json_parse(&json, text, strlen(text), error);
	if (ret) {
		g_prefix_error(error, "%s: ", reader->location);
		return ret;
	}
	type = json_string_value(json_object_get(json, "type"));
	ret = QL_E_INVALID;
	for (i = 0; i < G_N_ELEMENTS(line_types); i++)
		if (type && !strcmp(type, line_types[i].type) &&
		    (i == 0) == !reader->trace->doc)
			ret = line_types[i].read(reader, json, error);
	if (ret == QL_E_INVALID && error && !*error)
		ql_error_set(error, QL_E_INVALID,
			     "%s.type: found %s, allowed \"trace\" in the "
			     "first line and a documented type after it",
			     reader->location, type ? type : "no string");
	json_decref(json);
	return ret;
}

static int read_lines(trace_reader_t *reader, char **lines, GError **error)
{
	size_t i;
	int ret;

	for (i = 0; lines[i]; i++) {
		if (!lines[i][0])
			continue;
		g_snprintf(reader->location, sizeof(reader->location),
			   "line %zu", i + 1);
		ret = read_line(reader, lines[i], error);
		if (ret)
			return ret;
	}
	if (!reader->trace->doc)
		return ql_error_set(error, QL_E_INVALID, "the trace is empty");
	g_strlcpy(reader->location, "line 1.bottleneck",
		  sizeof(reader->location));
	return check_service(reader, reader->trace->bottleneck, error);
}

int ql_replay_trace_load(ql_replay_trace_t *trace, const char *path,
			 GError **error)
{
	trace_reader_t reader = {.trace = trace};
	GError *cause = NULL;
	gchar *text, *folder;
	char **lines;
	int ret;

	memset(trace, 0, sizeof(*trace));
	trace->endpoints =
		g_array_new(FALSE, FALSE, sizeof(ql_replay_endpoints_t));
	trace->arrivals =
		g_array_new(FALSE, FALSE, sizeof(ql_replay_arrivals_t));
	trace->faults = g_array_new(FALSE, FALSE, sizeof(ql_replay_fault_t));
	trace->outcomes =
		g_array_new(FALSE, FALSE, sizeof(ql_replay_outcome_t));
	if (!g_file_get_contents(path, &text, NULL, &cause)) {
		ql_error_set(error, QL_E_IO, "%s", cause->message);
		g_error_free(cause);
		return QL_E_IO;
	}
	folder = g_path_get_dirname(path);
	reader.folder = folder;
	lines = g_strsplit(text, "\n", -1);
	ret = read_lines(&reader, lines, error);
	g_strfreev(lines);
	g_free(folder);
	g_free(text);
	return ret;
}

void ql_replay_trace_finish(ql_replay_trace_t *trace)
{
	ql_document_unref(trace->doc);
	g_array_free(trace->endpoints, TRUE);
	g_array_free(trace->arrivals, TRUE);
	g_array_free(trace->faults, TRUE);
	g_array_free(trace->outcomes, TRUE);
}
