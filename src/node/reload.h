#ifndef QL_NODE_RELOAD_H
#define QL_NODE_RELOAD_H

/**
 * DOC: Settings that change while the process runs: what can be put in force is
 * handed out, what needs a restart is said, and a wrong file changes nothing.
 */

#include "node/settings.h"

G_BEGIN_DECLS

/**
 * struct ql_reload - The settings file and what of it is in force.
 * @path: of the file
 * @json: its content that is in force
 * @last_refusal: why it was refused last, so that this is said once; or NULL
 */
typedef struct ql_reload {
	char *path;
	json_t *json;
	char *last_refusal;
} ql_reload_t;

/**
 * enum ql_reload_result - What the file says now.
 * @QL_RELOAD_UNCHANGED: what is in force already
 * @QL_RELOAD_CHANGED: something else
 * @QL_RELOAD_INVALID: it cannot be read or is refused, and changes nothing
 */
typedef enum ql_reload_result {
	QL_RELOAD_UNCHANGED,
	QL_RELOAD_CHANGED,
	QL_RELOAD_INVALID,
} ql_reload_result_t;

/**
 * ql_reload_init() - Read the file for the first time.
 * @reload: the state
 * @path: of the file
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_json_load_file().
 */
int ql_reload_init(ql_reload_t *reload, const char *path, GError **error);
void ql_reload_finish(ql_reload_t *reload);

/**
 * ql_reload_check() - Read the file again.
 * @reload: the state
 * @settings: what is to be in force; set when something changed
 *
 * Keys that need a restart are logged.
 *
 * Return: what the file says.
 */
ql_reload_result_t ql_reload_check(ql_reload_t *reload,
				   ql_settings_t *settings);

G_END_DECLS

#endif
