#ifndef QL_NODE_CONFIG_STORE_H
#define QL_NODE_CONFIG_STORE_H

/**
 * DOC: The configuration of a single replica, kept in one synced file.
 */

#include "quetzalloft/config_state.h"

G_BEGIN_DECLS

/**
 * struct ql_config_store - The state and where it is kept.
 */
typedef struct ql_config_store {
	const char *folder;
	ql_config_state_t state;
} ql_config_store_t;

/**
 * ql_config_store_init() - Load what was kept.
 * @store: the store
 * @folder: the data folder; borrowed
 * @error: detail of a failure
 *
 * Return: 0, QL_E_IO, QL_E_INVALID or QL_E_CORRUPT.
 */
int ql_config_store_init(ql_config_store_t *store, const char *folder,
			 GError **error);
void ql_config_store_finish(ql_config_store_t *store);

/**
 * ql_config_store_submit() - Decide on a patch; an accepted one is synced
 * before the answer.
 * @store: the store
 * @patch: the patch
 * @answer: the answer
 */
void ql_config_store_submit(ql_config_store_t *store, const ql_patch_t *patch,
			    ql_patch_answer_t *answer);

G_END_DECLS

#endif
