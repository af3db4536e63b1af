#include "quetzalloft/chart.h"
#include "quetzalloft/json.h"
#include "util/chart_check.h"

#include <string.h>
#include <unistd.h>

#define EXECUTABLE_LINK "/proc/self/exe"
#define FOLDER_VARIABLE "QUETZALLOFT_CHARTS"
#define FOLDER_RELATIVE_TO_PROGRAM "../share/quetzalloft/charts"

/* The members of a file. */
typedef struct {
	char chart[QL_NAME_MAX];
	char about[1024];
	char start[QL_NAME_MAX];
	json_t *events;
	json_t *states;
	json_t *finals;
} source_t;

/* The members of one state. */
typedef struct {
	json_t *on;
	json_t *ignore;
} state_source_t;

static const ql_json_member_t chart_members[] = {
	QL_MEMBER_STRING(source_t, chart, true, 1),
	QL_MEMBER_STRING(source_t, about, false, 0),
	QL_MEMBER_STRING(source_t, start, true, 1),
	QL_MEMBER_ARRAY(source_t, events, true),
	QL_MEMBER_OBJECT(source_t, states, true),
	QL_MEMBER_ARRAY(source_t, finals, false),
};

static const ql_json_member_t state_members[] = {
	QL_MEMBER_OBJECT(state_source_t, on, false),
	QL_MEMBER_ARRAY(state_source_t, ignore, false),
};

static int find_name(const char (*list)[QL_NAME_MAX], size_t n,
		     const char *name)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(list[i], name))
			return (int)i;
	return -1;
}

static int find_state(const ql_chart_t *chart, const char *name)
{
	return find_name(chart->states, chart->n_states, name);
}

static int find_event(const ql_chart_t *chart, const char *name)
{
	return find_name(chart->events, chart->n_events, name);
}

static int add_name(char (*list)[QL_NAME_MAX], size_t *n, size_t max,
		    const char *name, const char *location, GError **error)
{
	if (*n == max)
		return ql_error_set(error, QL_E_RANGE, "%s: at most %zu",
				    location, max);
	if (!*name || strlen(name) >= QL_NAME_MAX)
		return ql_error_set(error, QL_E_RANGE,
				    "%s: a name has 1 to %d bytes", location,
				    QL_NAME_MAX - 1);
	if (find_name(list, *n, name) >= 0)
		return ql_error_set(error, QL_E_EXISTS,
				    "%s: \"%s\" stands twice", location, name);
	g_strlcpy(list[(*n)++], name, QL_NAME_MAX);
	return 0;
}

/* The string at an index of a list of names, or NULL with an error. */
static const char *name_at(const json_t *list, size_t index,
			   const char *location, GError **error)
{
	const json_t *value = json_array_get(list, index);

	if (!json_is_string(value))
		ql_error_set(error, QL_E_TYPE, "%s[%zu]: allowed a string",
			     location, index);
	return json_string_value(value);
}

/* Numbers the names as the program does. */
static int add_program_names(ql_chart_t *chart, const ql_chart_names_t *names,
			     const char *source, GError **error)
{
	size_t i;
	int ret = 0;

	for (i = 0; i < names->n_states && !ret; i++)
		ret = add_name(chart->states, &chart->n_states,
			       QL_CHART_STATES_MAX, names->states[i], source,
			       error);
	for (i = 0; i < names->n_events && !ret; i++)
		ret = add_name(chart->events, &chart->n_events,
			       QL_CHART_EVENTS_MAX, names->events[i], source,
			       error);
	return ret;
}

static int read_events(ql_chart_t *chart, const json_t *list,
		       const char *source, GError **error)
{
	char *location = g_strdup_printf("%s: events", source);
	const char *name;
	size_t i;
	int ret = 0;

	for (i = 0; i < json_array_size(list) && !ret; i++) {
		name = name_at(list, i, location, error);
		ret = name ? add_name(chart->events, &chart->n_events,
				      QL_CHART_EVENTS_MAX, name, location,
				      error)
			   : QL_E_TYPE;
	}
	g_free(location);
	return ret;
}

static int read_state_names(ql_chart_t *chart, json_t *states,
			    const char *source, GError **error)
{
	char *location = g_strdup_printf("%s: states", source);
	const char *name;
	json_t *value;
	int ret = 0;

	json_object_foreach (states, name, value) {
		ret = add_name(chart->states, &chart->n_states,
			       QL_CHART_STATES_MAX, name, location, error);
		if (ret)
			break;
	}
	g_free(location);
	return ret;
}

/* Both sides must know the same names, in whatever order. */
static int compare_names(const char (*file)[QL_NAME_MAX], size_t n_file,
			 const char (*program)[QL_NAME_MAX], size_t n_program,
			 const char *location, GError **error)
{
	size_t i;

	for (i = 0; i < n_file; i++)
		if (find_name(program, n_program, file[i]) < 0)
			return ql_error_set(error, QL_E_NOT_FOUND,
					    "%s: the program does not know "
					    "\"%s\"",
					    location, file[i]);
	for (i = 0; i < n_program; i++)
		if (find_name(file, n_file, program[i]) < 0)
			return ql_error_set(error, QL_E_NOT_FOUND,
					    "%s: the program uses \"%s\", "
					    "which is missing here",
					    location, program[i]);
	return 0;
}

static int bind_names(ql_chart_t *chart, const ql_chart_names_t *names,
		      const char *source, GError **error)
{
	ql_chart_t *program = g_new0(ql_chart_t, 1);
	char *states = g_strdup_printf("%s: states", source);
	char *events = g_strdup_printf("%s: events", source);
	int ret = add_program_names(program, names, source, error);

	if (!ret && strcmp(names->chart, chart->name) != 0)
		ret = ql_error_set(error, QL_E_NOT_FOUND,
				   "%s: chart: found \"%s\", allowed \"%s\"",
				   source, chart->name, names->chart);
	if (!ret)
		ret = compare_names(chart->states, chart->n_states,
				    program->states, program->n_states, states,
				    error);
	if (!ret)
		ret = compare_names(chart->events, chart->n_events,
				    program->events, program->n_events, events,
				    error);
	memcpy(chart->states, program->states, sizeof(chart->states));
	memcpy(chart->events, program->events, sizeof(chart->events));
	g_free(events);
	g_free(states);
	g_free(program);
	return ret;
}

static int unknown_name(GError **error, const char *location, const char *kind,
			const char *name)
{
	return ql_error_set(error, QL_E_NOT_FOUND, "%s: there is no %s \"%s\"",
			    location, kind, name);
}

static int read_transitions(ql_chart_t *chart, int state, bool *covered,
			    json_t *on, const char *location, GError **error)
{
	const char *name;
	json_t *value;
	int event, target;

	json_object_foreach (on, name, value) {
		event = find_event(chart, name);
		if (event < 0)
			return unknown_name(error, location, "event", name);
		if (!json_is_string(value))
			return ql_error_set(error, QL_E_TYPE,
					    "%s.on.%s: allowed the name of a "
					    "state",
					    location, name);
		target = find_state(chart, json_string_value(value));
		if (target < 0)
			return unknown_name(error, location, "state",
					    json_string_value(value));
		chart->next[state][event] = (uint8_t)target;
		covered[event] = true;
	}
	return 0;
}

static int read_ignored(const ql_chart_t *chart, bool *covered,
			const json_t *ignore, const char *location,
			GError **error)
{
	const char *name;
	size_t i;
	int event;

	for (i = 0; i < json_array_size(ignore); i++) {
		name = name_at(ignore, i, location, error);
		if (!name)
			return QL_E_TYPE;
		event = find_event(chart, name);
		if (event < 0)
			return unknown_name(error, location, "event", name);
		if (covered[event])
			return ql_error_set(error, QL_E_EXISTS,
					    "%s: event \"%s\" stands twice",
					    location, name);
		covered[event] = true;
	}
	return 0;
}

static int check_covered(const ql_chart_t *chart, int state,
			 const bool *covered, const char *location,
			 GError **error)
{
	size_t event;

	for (event = 0; event < chart->n_events; event++) {
		if (covered[event] && chart->is_final[state])
			return ql_error_set(error, QL_E_INVALID,
					    "%s: a final state takes no event, "
					    "found \"%s\"",
					    location, chart->events[event]);
		if (!covered[event] && !chart->is_final[state])
			return ql_error_set(error, QL_E_MISSING_KEY,
					    "%s: event \"%s\" is neither "
					    "handled nor ignored",
					    location, chart->events[event]);
	}
	return 0;
}

static int read_state(ql_chart_t *chart, const char *name, json_t *json,
		      const char *source, GError **error)
{
	char *location = g_strdup_printf("%s: states.%s", source, name);
	bool covered[QL_CHART_EVENTS_MAX] = {false};
	state_source_t state = {0};
	int id = find_state(chart, name);
	int ret;

	ret = ql_json_read(&state, json, location, state_members,
			   G_N_ELEMENTS(state_members), error);
	if (!ret && state.on)
		ret = read_transitions(chart, id, covered, state.on, location,
				       error);
	if (!ret && state.ignore)
		ret = read_ignored(chart, covered, state.ignore, location,
				   error);
	if (!ret)
		ret = check_covered(chart, id, covered, location, error);
	g_free(location);
	return ret;
}

static int read_states(ql_chart_t *chart, json_t *states, const char *source,
		       GError **error)
{
	const char *name;
	json_t *value;
	int ret;

	memset(chart->next, QL_CHART_STATES_MAX, sizeof(chart->next));
	json_object_foreach (states, name, value) {
		ret = read_state(chart, name, value, source, error);
		if (ret)
			return ret;
	}
	return 0;
}

static int read_finals(ql_chart_t *chart, const json_t *finals,
		       const char *source, GError **error)
{
	char *location = g_strdup_printf("%s: finals", source);
	const char *name;
	int id, ret = 0;
	size_t i;

	if (finals && !json_array_size(finals))
		ret = ql_error_set(error, QL_E_INVALID,
				   "%s: allowed at least one state", location);
	for (i = 0; i < json_array_size(finals) && !ret; i++) {
		name = name_at(finals, i, location, error);
		id = name ? find_state(chart, name) : -1;
		if (!name)
			ret = QL_E_TYPE;
		else if (id < 0)
			ret = unknown_name(error, location, "state", name);
		else if (chart->is_final[id])
			ret = ql_error_set(error, QL_E_EXISTS,
					   "%s: \"%s\" stands twice", location,
					   name);
		else
			chart->is_final[id] = true;
	}
	g_free(location);
	return ret;
}

static int read_start(ql_chart_t *chart, const char *name, const char *source,
		      GError **error)
{
	int id = find_state(chart, name);

	if (id < 0)
		return ql_error_set(error, QL_E_NOT_FOUND,
				    "%s: start: there is no state \"%s\"",
				    source, name);
	chart->start = (uint8_t)id;
	return 0;
}

int ql_chart_parse(ql_chart_t *chart, json_t *json, const char *source,
		   const ql_chart_names_t *names, GError **error)
{
	source_t in = {0};
	int ret;

	memset(chart, 0, sizeof(*chart));
	ret = ql_json_read(&in, json, source, chart_members,
			   G_N_ELEMENTS(chart_members), error);
	if (ret)
		return ret;
	memcpy(chart->name, in.chart, sizeof(chart->name));
	ret = read_events(chart, in.events, source, error);
	if (!ret)
		ret = read_state_names(chart, in.states, source, error);
	if (!ret && names)
		ret = bind_names(chart, names, source, error);
	if (!ret)
		ret = read_finals(chart, in.finals, source, error);
	if (!ret)
		ret = read_start(chart, in.start, source, error);
	if (!ret)
		ret = read_states(chart, in.states, source, error);
	return ret ? ret : ql_chart__check_paths(chart, source, error);
}

int ql_chart_load_file(ql_chart_t *chart, const char *path,
		       const ql_chart_names_t *names, GError **error)
{
	json_t *json;
	int ret = ql_json_load_file(&json, path, error);

	if (ret)
		return ret;
	ret = ql_chart_parse(chart, json, path, names, error);
	json_decref(json);
	return ret;
}

int ql_chart_load(ql_chart_t *chart, const char *folder,
		  const ql_chart_names_t *names, GError **error)
{
	char *base = folder && *folder ? g_strdup(folder) : ql_chart_folder();
	char *path = g_strdup_printf("%s/%s.json", base, names->chart);
	int ret = ql_chart_load_file(chart, path, names, error);

	g_free(path);
	g_free(base);
	return ret;
}

static char *find_folder_near_program(void)
{
	char *program = g_file_read_link(EXECUTABLE_LINK, NULL);
	char *parent = program ? g_path_get_dirname(program) : NULL;
	char *folder =
		parent ? g_build_filename(parent, FOLDER_RELATIVE_TO_PROGRAM,
					  NULL)
		       : NULL;

	g_free(parent);
	g_free(program);
	if (folder && g_file_test(folder, G_FILE_TEST_IS_DIR))
		return folder;
	g_free(folder);
	return NULL;
}

char *ql_chart_folder(void)
{
	const char *chosen = g_getenv(FOLDER_VARIABLE);
	char *folder;

	if (chosen && *chosen)
		return g_strdup(chosen);
	folder = find_folder_near_program();
	return folder ? folder : g_strdup(QL_CHARTS_FOLDER);
}
