#include "node/config_store.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "store/file.h"

#include <stdlib.h>
#include <string.h>

#define FILE_NAME "config.json"

int ql_config_store_init(ql_config_store_t *store, const char *folder,
			 GError **error)
{
	json_t *saved = NULL;
	size_t length;
	char *text;
	int ret;

	store->folder = folder;
	ql_config_state_init(&store->state);
	ret = ql_file_read(&text, &length, folder, FILE_NAME, NULL);
	if (ret == QL_E_NOT_FOUND)
		return 0;
	if (ret)
		return ql_error_set(error, QL_E_IO, "reading %s in %s",
				    FILE_NAME, folder);
	ret = ql_json_parse(&saved, text, length, error);
	if (!ret)
		ret = ql_config_state_load(&store->state, saved, error);
	json_decref(saved);
	g_free(text);
	return ret;
}

void ql_config_store_finish(ql_config_store_t *store)
{
	ql_config_state_finish(&store->state);
}

static int save(const ql_config_store_t *store)
{
	json_t *json = ql_config_state_save(&store->state);
	char *text = ql_json_text(json);
	int ret = ql_file_replace(store->folder, FILE_NAME, text, strlen(text),
				  NULL);

	free(text);
	json_decref(json);
	return ret;
}

void ql_config_store_submit(ql_config_store_t *store, const ql_patch_t *patch,
			    ql_patch_answer_t *answer)
{
	if (ql_config_state_find(&store->state, patch, answer))
		return;
	ql_config_state_apply(&store->state, patch, answer);
	if (save(store))
		/* What was applied must not be served before it is synced. */
		g_error("the data folder %s cannot be written", store->folder);
}
