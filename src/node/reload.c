#include "node/reload.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/log.h"

#include <string.h>

/* Keys whose change takes effect without a restart. */
static const char *const reloadable_keys[] = {
	"seeds",
	"drain_ms",
	"grace_ms",
	"repeat_ratio",
};

int ql_reload_init(ql_reload_t *reload, const char *path, GError **error)
{
	int ret = ql_json_load_file(&reload->json, path, error);

	reload->path = ret ? NULL : g_strdup(path);
	reload->last_refusal = NULL;
	return ret;
}

void ql_reload_finish(ql_reload_t *reload)
{
	json_decref(reload->json);
	g_free(reload->last_refusal);
	g_free(reload->path);
}

static bool is_reloadable(const char *key)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(reloadable_keys); i++)
		if (!strcmp(reloadable_keys[i], key))
			return true;
	return false;
}

static void append_key(GString *in_force, GString *needs_restart,
		       const char *key)
{
	GString *list = is_reloadable(key) ? in_force : needs_restart;

	g_string_append_printf(list, "%s%s", list->len ? "," : "", key);
}

/* Logs the keys that differ and which of them need a restart. */
static void log_changes(json_t *old, json_t *new)
{
	GString *in_force = g_string_new(NULL);
	GString *needs_restart = g_string_new(NULL);
	const char *key;
	json_t *value;

	json_object_foreach (new, key, value)
		if (!json_equal(value, json_object_get(old, key)))
			append_key(in_force, needs_restart, key);
	json_object_foreach (old, key, value)
		if (!json_object_get(new, key))
			append_key(in_force, needs_restart, key);
	ql_log(LOG_NOTICE, "settings_reloaded",
	       QL_STR("in_force", in_force->str),
	       QL_STR("needs_restart", needs_restart->str));
	g_string_free(in_force, TRUE);
	g_string_free(needs_restart, TRUE);
}

static ql_reload_result_t reject_file(ql_reload_t *reload, GError *error)
{
	if (g_strcmp0(reload->last_refusal, error->message) != 0) {
		ql_log_error(LOG_ERR, "settings_refused", error);
		g_free(reload->last_refusal);
		reload->last_refusal = g_strdup(error->message);
	}
	g_error_free(error);
	return QL_RELOAD_INVALID;
}

ql_reload_result_t ql_reload_check(ql_reload_t *reload, ql_settings_t *settings)
{
	ql_settings_t next;
	GError *error = NULL;
	json_t *json = NULL;
	int ret = ql_json_load_file(&json, reload->path, &error);

	if (!ret && json_equal(json, reload->json)) {
		json_decref(json);
		return QL_RELOAD_UNCHANGED;
	}
	if (!ret)
		ret = ql_settings_parse(&next, json, &error);
	if (ret) {
		json_decref(json);
		return reject_file(reload, error);
	}
	g_clear_pointer(&reload->last_refusal, g_free);
	log_changes(reload->json, json);
	json_decref(reload->json);
	reload->json = json;
	*settings = next;
	return QL_RELOAD_CHANGED;
}
