#ifndef QL_NODE_RELOAD_H
#define QL_NODE_RELOAD_H

/**
 * DOC: Reload of the settings file while the process runs. Changed settings
 * that need no restart are handed to the caller, those that need one are
 * logged, and an invalid file changes nothing.
 */

#include "node/settings.h"

G_BEGIN_DECLS

/**
 * struct ql_reload - The settings file and its content in force.
 * @path: path of the file; owned
 * @json: content of the file that is in force
 * @last_refusal: error message of the last refusal since the settings changed,
 *                which keeps the same error from being logged again; NULL for
 *                none; owned
 */
typedef struct ql_reload {
	char *path;
	json_t *json;
	char *last_refusal;
} ql_reload_t;

/**
 * enum ql_reload_result - Outcome of ql_reload_check().
 * @QL_RELOAD_UNCHANGED: the content equals the one in force
 * @QL_RELOAD_CHANGED: the content is valid and differs from the one in force
 * @QL_RELOAD_INVALID: the file is unreadable or its content invalid; nothing
 *                     changed
 */
typedef enum ql_reload_result {
	QL_RELOAD_UNCHANGED,
	QL_RELOAD_CHANGED,
	QL_RELOAD_INVALID,
} ql_reload_result_t;

/**
 * ql_reload_init() - Read the settings file for the first time.
 * @reload: uninitialised memory
 * @path: path of the file; copied
 * @error: set on failure
 *
 * Return: 0 or an error of ql_json_load_file().
 */
int ql_reload_init(ql_reload_t *reload, const char *path, GError **error);

/**
 * ql_reload_finish() - Release the content of the file.
 * @reload: the state, after a successful ql_reload_init()
 */
void ql_reload_finish(ql_reload_t *reload);

/**
 * ql_reload_check() - Read the settings file again and log which keys changed.
 * @reload: the state
 * @settings: set to the new settings when the result is QL_RELOAD_CHANGED,
 *            else not changed
 *
 * An invalid file is logged once for each error message.
 *
 * Return: the outcome.
 */
ql_reload_result_t ql_reload_check(ql_reload_t *reload,
				   ql_settings_t *settings);

G_END_DECLS

#endif
