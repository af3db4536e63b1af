#include "policy/document_internal.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <string.h>

#define TEAM_RATE_MAX_PER_S 1e9
#define TEAM_BURST_MAX 1e9

typedef struct {
	json_t *keys;
	char class[QL_NAME_MAX];
	double rate_per_s;
	double burst;
} team_source_t;

static const ql_json_member_t team_members[] = {
	QL_MEMBER_ARRAY(team_source_t, keys, true),
	QL_MEMBER_STRING(team_source_t, class, false, 1),
	QL_MEMBER_REAL(team_source_t, rate_per_s, false, 0,
		       TEAM_RATE_MAX_PER_S),
	QL_MEMBER_REAL(team_source_t, burst, false, 0, TEAM_BURST_MAX),
};

/* A key is the value of a header, so it has no spaces. */
static bool is_key(const json_t *value)
{
	const char *key = json_string_value(value);
	const char *p;

	for (p = key; p && g_ascii_isgraph(*p); p++)
		;
	return key && !*p && p != key && p - key < QL_KEY_MAX;
}

/* A message about a key gives its position, as keys are secrets. */
static int compile_key(ql_teams_t *teams, ql_team_t *team, json_t *value,
		       const char *path, size_t index, GError **error)
{
	const ql_team_t *holder;

	if (!is_key(value))
		return ql_error_set(error, QL_E_INVALID,
				    "%s.keys[%zu]: allowed 1 to %d printable "
				    "ASCII characters without spaces",
				    path, index, QL_KEY_MAX - 1);
	holder = ql_teams_find_key(teams, json_string_value(value));
	if (holder)
		return ql_error_set(error, QL_E_EXISTS,
				    "%s.keys[%zu]: team \"%s\" holds the same "
				    "key, allowed once",
				    path, index, holder->name);
	g_hash_table_insert(teams->by_key, g_strdup(json_string_value(value)),
			    team);
	return 0;
}

static int compile_keys(ql_teams_t *teams, ql_team_t *team, json_t *keys,
			const char *path, GError **error)
{
	json_t *value;
	size_t i;
	int ret = ql_document__check_count(path, json_array_size(keys),
					   QL_TEAM_KEYS_MAX, error);

	json_array_foreach (keys, i, value) {
		if (!ret)
			ret = compile_key(teams, team, value, path, i, error);
	}
	return ret;
}

static int compile_team_class(const ql_document_t *doc, ql_team_t *team,
			      const char *name, const char *path,
			      GError **error)
{
	team->class_index = QL_TEAM_NO_CLASS;
	if (!name[0])
		return 0;
	team->class_index = ql_document__find_class(doc, name);
	if (team->class_index >= 0)
		return 0;
	return ql_error_set(error, QL_E_NOT_FOUND,
			    "%s.class: found \"%s\", which is not a class",
			    path, name);
}

static int compile_team(ql_document_t *doc, ql_team_t *team, const char *name,
			json_t *value, GError **error)
{
	char path[JSON_PATH_MAX_BYTES];
	team_source_t source = {0};
	int ret = ql_document__check_name("teams", name, error);

	if (ret)
		return ret;
	g_strlcpy(team->name, name, sizeof(team->name));
	snprintf(path, sizeof(path), "teams.%s", name);
	ret = ql_json_read(&source, value, path, team_members,
			   G_N_ELEMENTS(team_members), error);
	if (ret)
		return ret;
	team->rate_per_s = source.rate_per_s;
	team->burst = source.burst;
	ret = compile_team_class(doc, team, source.class, path, error);
	if (ret)
		return ret;
	g_hash_table_insert(doc->teams.by_name, team->name, team);
	return compile_keys(&doc->teams, team, source.keys, path, error);
}

/* Sets the weights of all teams, which compare them under overload. */
static void compute_weights(ql_teams_t *teams)
{
	size_t i, n_quotas = 0;
	double sum = 0, mean, rate;

	for (i = 0; i < teams->n_entries; i++) {
		sum += teams->entries[i].rate_per_s;
		n_quotas += teams->entries[i].rate_per_s > 0;
	}
	mean = n_quotas ? sum / (double)n_quotas : 1;
	sum += mean * (double)(teams->n_entries - n_quotas);
	for (i = 0; i < teams->n_entries; i++) {
		rate = teams->entries[i].rate_per_s;
		teams->entries[i].weight = (rate > 0 ? rate : mean) / sum;
	}
}

int ql_teams__compile(ql_document_t *doc, json_t *source, GError **error)
{
	ql_teams_t *teams = &doc->teams;
	const char *name;
	json_t *value;
	int ret = ql_document__check_count("teams", json_object_size(source),
					   QL_TEAMS_MAX, error);

	if (ret)
		return ret;
	teams->entries = g_new0(ql_team_t, json_object_size(source));
	teams->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	teams->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	json_object_foreach (source, name, value) {
		ret = compile_team(doc, &teams->entries[teams->n_entries++],
				   name, value, error);
		if (ret)
			return ret;
	}
	compute_weights(teams);
	return 0;
}

void ql_teams__finish(ql_teams_t *teams)
{
	g_clear_pointer(&teams->by_key, g_hash_table_destroy);
	g_clear_pointer(&teams->by_name, g_hash_table_destroy);
	g_free(teams->entries);
}

const ql_team_t *ql_teams_find_key(const ql_teams_t *teams, const char *key)
{
	return teams->by_key ? g_hash_table_lookup(teams->by_key, key) : NULL;
}

const ql_team_t *ql_teams_find_name(const ql_teams_t *teams, const char *name)
{
	return teams->by_name ? g_hash_table_lookup(teams->by_name, name)
			      : NULL;
}
