#ifndef QUETZALLOFT_CONFIG_STATE_H
#define QUETZALLOFT_CONFIG_STATE_H

/**
 * DOC: The replicated state of the configuration: the document, the changes
 * that led to it, and the answers given to patches. It changes only by
 * ql_config_state_apply(), which is deterministic, so that every replica that
 * applies the same patches in the same order holds the same state.
 */

#include "quetzalloft/document.h"

#include <stddef.h>

G_BEGIN_DECLS

/** Changes kept, so that a node that lags can take deltas. */
#define QL_CONFIG_CHANGES_KEPT 128
/** Answers to patches kept, so that a resent one gets its first answer. */
#define QL_CONFIG_ANSWERS_KEPT 4096

/**
 * struct ql_patch - What an operator submits.
 * @id: the operator's own identifier
 * @base_version: version that it was written against
 * @version: the number that it shall become; 0 for the next one
 * @whole: @text is a document that replaces the one before
 * @text: an RFC 7396 merge patch as JSON text
 * @length: bytes of @text
 */
typedef struct ql_patch {
	char id[QL_KEY_MAX];
	uint64_t base_version;
	uint64_t version;
	bool whole;
	const char *text;
	size_t length;
} ql_patch_t;

/**
 * struct ql_patch_answer - What the operator is told.
 * @status: 0 for accepted; QL_E_STALE, QL_E_CONFLICT for an id that was used
 *          with another patch, or what ql_document_compile() found
 * @version: the version that it became, or the current one when refused
 * @detail: for the operator
 */
typedef struct ql_patch_answer {
	int status;
	uint64_t version;
	char detail[512];
} ql_patch_answer_t;

/**
 * struct ql_config_change - An accepted patch.
 * @base_version: the version before it
 * @version: the version that it became
 * @digest: ql_document_digest() of that version
 * @text: the merge patch
 * @length: bytes of @text
 */
typedef struct ql_config_change {
	uint64_t base_version;
	uint64_t version;
	uint64_t digest;
	char *text;
	size_t length;
} ql_config_change_t;

/**
 * struct ql_config_state - The state.
 * @doc: the document in force
 * @changes: queue of &struct ql_config_change, oldest first
 * @answers: table of answers by patch id
 * @answer_order: ids, oldest first
 */
typedef struct ql_config_state {
	ql_document_t *doc;
	GQueue changes;
	GHashTable *answers;
	GQueue answer_order;
} ql_config_state_t;

void ql_config_state_init(ql_config_state_t *state);
void ql_config_state_finish(ql_config_state_t *state);

/**
 * ql_config_state_apply() - Decide on a patch and apply it when accepted.
 * @state: the state
 * @patch: the patch
 * @answer: the answer; for a resent patch the first answer again
 */
void ql_config_state_apply(ql_config_state_t *state, const ql_patch_t *patch,
			   ql_patch_answer_t *answer);

/**
 * ql_config_state_find_answer() - Look up the answer to an earlier patch.
 * @state: the state
 * @patch: the patch
 * @answer: the answer
 *
 * Return: false when no patch with this id was answered lately.
 */
bool ql_config_state_find_answer(const ql_config_state_t *state,
				 const ql_patch_t *patch,
				 ql_patch_answer_t *answer);

/**
 * ql_config_state_apply_change() - Apply a change that replicas accepted.
 * @state: the state
 * @change: the change; one that is not above the present version is ignored
 * @error: detail of a failure
 *
 * Return: 0, QL_E_NOT_FOUND when changes before it are missing, or
 * QL_E_CORRUPT when the result differs from its digest.
 */
int ql_config_state_apply_change(ql_config_state_t *state,
				 const ql_config_change_t *change,
				 GError **error);

/**
 * ql_config_state_replace_document() - Take a whole document that replicas
 * accepted.
 * @state: the state
 * @version: its version; one that is not above the present version is ignored
 * @text: the document
 * @length: bytes of @text
 * @error: detail of a failure
 *
 * Return: 0 or what ql_document_compile() found.
 */
int ql_config_state_replace_document(ql_config_state_t *state, uint64_t version,
				     const char *text, size_t length,
				     GError **error);

/**
 * ql_config_state_changes_since() - Find the changes above a version.
 * @state: the state
 * @version: what the asker has
 *
 * Return: the link of the first change to send, or NULL when the asker needs
 * the whole document or nothing at all.
 */
GList *ql_config_state_changes_since(const ql_config_state_t *state,
				     uint64_t version);

/**
 * ql_config_state_save() - Write the state as JSON.
 * @state: the state
 *
 * Return: a new reference.
 */
json_t *ql_config_state_save(const ql_config_state_t *state);

/**
 * ql_config_state_load() - Replace the state by a saved one.
 * @state: the state
 * @saved: what ql_config_state_save() wrote
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_CORRUPT; after a failure the state is as before.
 */
int ql_config_state_load(ql_config_state_t *state, json_t *saved,
			 GError **error);

G_END_DECLS

#endif
