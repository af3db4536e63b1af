#ifndef QUETZALLOFT_CONFIG_STATE_H
#define QUETZALLOFT_CONFIG_STATE_H

/**
 * DOC: The replicated state of the configuration: the document in force, the
 * latest changes to it, and the answers to the latest patches. Patches change
 * it only through ql_config_state_apply(), which is deterministic, so that all
 * replicas that apply the same patches in the same order have the same state.
 */

#include "quetzalloft/document.h"

#include <stddef.h>

G_BEGIN_DECLS

/** Largest document in bytes of its JSON text, which one reply can carry. */
#define QL_CONFIG_DOCUMENT_MAX_BYTES 8388608u
/** Most recent changes that are kept, for deltas to nodes that lag. */
#define QL_CONFIG_CHANGES_KEPT 128
/** Most bytes of their texts; the most recent change is always kept. */
#define QL_CONFIG_CHANGES_KEPT_BYTES (1u << 20)
/** Most recent answers that are kept, for patches that are resent. */
#define QL_CONFIG_ANSWERS_KEPT 4096

/**
 * struct ql_patch - A patch that an operator submits.
 * @id: identifier chosen by the operator, for idempotent resending
 * @base_version: version of the document that the patch was written against
 * @version: version that the patched document gets; 0 for the next number
 * @whole: @text is a full document that replaces the current one
 * @text: an RFC 7396 merge patch, or a full document, as JSON; borrowed
 * @length: length of @text in bytes
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
 * struct ql_patch_answer - The answer to a patch.
 * @status: 0 when the patch was accepted; QL_E_STALE for another base version
 *          than the current one; QL_E_CONFLICT for an id that was used with
 *          another patch; QL_E_RANGE for a version that is not above the
 *          current one; or an error of ql_json_parse(), ql_document_compile()
 *          or ql_document_check_keepers()
 * @version: version of the patched document, or the current version when the
 *           patch was refused
 * @detail: error message for the operator; empty when accepted
 */
typedef struct ql_patch_answer {
	int status;
	uint64_t version;
	char detail[512];
} ql_patch_answer_t;

/**
 * struct ql_config_change - An accepted change of the document.
 * @base_version: version before the change
 * @version: version after the change
 * @digest: ql_document_digest() of the document after the change
 * @text: merge patch from @base_version to @version, as JSON; owned by the
 *        state when the change is one of &ql_config_state.changes
 * @length: length of @text in bytes
 */
typedef struct ql_config_change {
	uint64_t base_version;
	uint64_t version;
	uint64_t digest;
	char *text;
	size_t length;
} ql_config_change_t;

/**
 * struct ql_config_state - The state of the configuration.
 * @doc: the document in force
 * @text: @doc as JSON, or NULL until it is needed
 * @changes: queue of &struct ql_config_change, oldest first
 * @changes_bytes: length of the texts of all @changes
 * @answers: answers by patch id
 * @answer_order: patch ids in @answers, oldest first
 */
typedef struct ql_config_state {
	ql_document_t *doc;
	char *text;
	GQueue changes;
	size_t changes_bytes;
	GHashTable *answers;
	GQueue answer_order;
} ql_config_state_t;

/**
 * ql_config_state_init() - Initialize a state with an empty document, version
 * 0.
 * @state: the state
 */
void ql_config_state_init(ql_config_state_t *state);

/**
 * ql_config_state_finish() - Free what a state has allocated.
 * @state: the state
 */
void ql_config_state_finish(ql_config_state_t *state);

/**
 * ql_config_state_apply() - Accept or refuse a patch, and apply it when it is
 * accepted.
 * @state: the state
 * @patch: the patch
 * @answer: the answer; a patch that is resent gets its first answer again
 */
void ql_config_state_apply(ql_config_state_t *state, const ql_patch_t *patch,
			   ql_patch_answer_t *answer);

/**
 * ql_config_state_find_answer() - Look up the answer to an earlier patch.
 * @state: the state
 * @patch: the patch
 * @answer: set to the first answer, or to an answer of status QL_E_CONFLICT
 *          when the id was used with another patch
 *
 * Return: false when no answer is kept for this id.
 */
bool ql_config_state_find_answer(const ql_config_state_t *state,
				 const ql_patch_t *patch,
				 ql_patch_answer_t *answer);

/**
 * ql_config_state_apply_changes() - Apply changes that the replicas accepted.
 * @state: the state
 * @changes: the changes, in their order; their texts are copied. Those whose
 *           version is not above the current one are ignored
 * @n_changes: number of @changes
 * @error: detail of a failure
 *
 * Only the document of the last change is compiled. After a failure the state
 * is unchanged.
 *
 * Return: 0, QL_E_NOT_FOUND when a change before one of them is missing,
 * QL_E_CORRUPT when the digest of the result does not match, or an error of
 * ql_json_parse(), ql_document_compile() or ql_document_check_keepers().
 */
int ql_config_state_apply_changes(ql_config_state_t *state,
				  const ql_config_change_t *changes,
				  size_t n_changes, GError **error);

/**
 * ql_config_state_text() - Return the document as JSON.
 * @state: the state
 *
 * Return: the text, borrowed until the document changes.
 */
const char *ql_config_state_text(ql_config_state_t *state);

/**
 * ql_config_state_replace_document() - Replace the document by a full document
 * that the replicas accepted, and discard the kept changes.
 * @state: the state
 * @version: version of the document; ignored when it is not above the current
 *           version
 * @text: the document as JSON
 * @length: length of @text in bytes
 * @error: detail of a failure
 *
 * Return: 0 or an error of ql_json_parse() or ql_document_compile().
 */
int ql_config_state_replace_document(ql_config_state_t *state, uint64_t version,
				     const char *text, size_t length,
				     GError **error);

/**
 * ql_config_state_changes_since() - Find the changes after a version.
 * @state: the state
 * @version: version that the receiver has
 *
 * Return: the link of the first change to send, borrowed until the state
 * changes; NULL when the receiver is up to date, or when it needs the full
 * document because that change is not kept.
 */
GList *ql_config_state_changes_since(const ql_config_state_t *state,
				     uint64_t version);

/**
 * ql_config_state_save() - Serialize the state as JSON.
 * @state: the state
 *
 * Return: a new reference.
 */
json_t *ql_config_state_save(const ql_config_state_t *state);

/**
 * ql_config_state_load() - Replace the state by a saved one.
 * @state: the state
 * @saved: JSON from ql_config_state_save()
 * @error: detail of a failure
 *
 * Return: 0, QL_E_CORRUPT, or an error of ql_document_compile(); after a
 * failure the state is unchanged.
 */
int ql_config_state_load(ql_config_state_t *state, json_t *saved,
			 GError **error);

G_END_DECLS

#endif
