#include "quetzalloft/config_state.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/text.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The answer to a patch, with the digest that identifies the patch. */
typedef struct {
	uint64_t patch_digest;
	ql_patch_answer_t answer;
} kept_answer_t;

static ql_document_t *empty_document(void)
{
	json_t *json = json_object();
	ql_document_t *doc;

	if (ql_document_compile(&doc, json, 0, NULL))
		g_assert_not_reached();
	json_decref(json);
	return doc;
}

void ql_config_state_init(ql_config_state_t *state)
{
	state->doc = empty_document();
	state->text = NULL;
	state->changes_bytes = 0;
	g_queue_init(&state->changes);
	g_queue_init(&state->answer_order);
	state->answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void free_change(void *data)
{
	ql_config_change_t *change = data;

	g_free(change->text);
	g_free(change);
}

void ql_config_state_finish(ql_config_state_t *state)
{
	ql_document_unref(state->doc);
	free(state->text);
	g_queue_clear_full(&state->changes, free_change);
	g_queue_clear(&state->answer_order);
	g_hash_table_destroy(state->answers);
}

static uint64_t patch_digest(const ql_patch_t *patch)
{
	return XXH3_64bits_withSeed(patch->text, patch->length,
				    patch->base_version) +
	       patch->version;
}

/* Appends a change and drops the oldest ones beyond the limits. */
static void push_change(ql_config_state_t *state, ql_config_change_t *change)
{
	ql_config_change_t *oldest;

	g_queue_push_tail(&state->changes, change);
	state->changes_bytes += change->length;
	while (state->changes.length > QL_CONFIG_CHANGES_KEPT ||
	       (state->changes.length > 1 &&
		state->changes_bytes > QL_CONFIG_CHANGES_KEPT_BYTES)) {
		oldest = g_queue_pop_head(&state->changes);
		state->changes_bytes -= oldest->length;
		free_change(oldest);
	}
}

/* Keeps a copy of a change. */
static void keep_change(ql_config_state_t *state,
			const ql_config_change_t *change)
{
	ql_config_change_t *kept = g_memdup2(change, sizeof(*change));

	kept->text = g_memdup2(change->text, change->length);
	push_change(state, kept);
}

static void keep_answer(ql_config_state_t *state, const char *id,
			const kept_answer_t *kept)
{
	char *key = g_strdup(id);

	g_hash_table_insert(state->answers, key,
			    g_memdup2(kept, sizeof(*kept)));
	g_queue_push_tail(&state->answer_order, key);
	if (state->answer_order.length > QL_CONFIG_ANSWERS_KEPT)
		g_hash_table_remove(state->answers,
				    g_queue_pop_head(&state->answer_order));
}

static void set_document(ql_config_state_t *state, ql_document_t *doc)
{
	ql_document_unref(state->doc);
	state->doc = doc;
	free(state->text);
	state->text = NULL;
}

const char *ql_config_state_text(ql_config_state_t *state)
{
	if (!state->text)
		state->text = ql_json_dump(state->doc->json);
	return state->text;
}

static void refuse_patch(const ql_config_state_t *state,
			 ql_patch_answer_t *answer, int status,
			 const char *detail)
{
	answer->status = status;
	answer->version = state->doc->version;
	ql_text_copy(answer->detail, sizeof(answer->detail), detail);
}

/* A patch or a full document, and the version of the resulting document. */
typedef struct {
	uint64_t version;
	bool whole;
	const char *text;
	size_t length;
} document_source_t;

/* Compiles a patched or full document; sets *out to NULL on an error. */
static int make_document(ql_document_t **out, const ql_config_state_t *state,
			 const document_source_t *source, GError **error)
{
	json_t *parsed = NULL, *json;
	int ret;

	*out = NULL;
	ret = ql_json_parse(&parsed, source->text, source->length, error);
	if (ret)
		return ret;
	json = source->whole
		       ? json_incref(parsed)
		       : ql_json_apply_merge_patch(state->doc->json, parsed);
	ret = ql_document_compile(out, json, source->version, error);
	json_decref(json);
	json_decref(parsed);
	if (!ret)
		ret = ql_document_check_keepers(state->doc, *out, error);
	if (ret) {
		ql_document_unref(*out);
		*out = NULL;
	}
	return ret;
}

bool ql_config_state_find_answer(const ql_config_state_t *state,
				 const ql_patch_t *patch,
				 ql_patch_answer_t *answer)
{
	const kept_answer_t *kept =
		g_hash_table_lookup(state->answers, patch->id);

	if (!kept)
		return false;
	if (kept->patch_digest == patch_digest(patch))
		*answer = kept->answer;
	else
		refuse_patch(
			state, answer, QL_E_CONFLICT,
			"this id was used with another patch; take a new id");
	return true;
}

static void refuse_stale_patch(const ql_config_state_t *state,
			       const ql_patch_t *patch,
			       ql_patch_answer_t *answer)
{
	char detail[sizeof(answer->detail)];

	g_snprintf(detail, sizeof(detail),
		   "written against version %" PRIu64
		   ", the current version is %" PRIu64
		   "; read it again and send a new patch",
		   patch->base_version, state->doc->version);
	refuse_patch(state, answer, QL_E_STALE, detail);
}

static int check_version(const ql_config_state_t *state,
			 const ql_patch_t *patch, GError **error)
{
	if (!patch->version || patch->version > state->doc->version)
		return 0;
	return ql_error_set(error, QL_E_RANGE,
			    "version: found %" PRIu64
			    ", allowed a number above %" PRIu64,
			    patch->version, state->doc->version);
}

/*
 * Keeps the merge patch from one document to the next, for nodes that receive
 * changes. For a full document the patch is the difference of both.
 */
static void keep_patch(ql_config_state_t *state, const ql_document_t *before,
		       const ql_patch_t *patch)
{
	ql_config_change_t change = {
		.base_version = before->version,
		.version = state->doc->version,
		.digest = state->doc->digest,
		.text = (char *)patch->text,
		.length = patch->length,
	};
	json_t *difference;

	if (!patch->whole) {
		keep_change(state, &change);
		return;
	}
	difference = ql_json_create_merge_patch(before->json, state->doc->json);
	change.text = ql_json_dump(difference);
	change.length = strlen(change.text);
	keep_change(state, &change);
	free(change.text);
	json_decref(difference);
}

/* Refuses a document that no reply could deliver to a node. */
static int check_size(const ql_document_t *doc, GError **error)
{
	size_t length = json_dumpb(doc->json, NULL, 0, JSON_COMPACT);

	if (length <= QL_CONFIG_DOCUMENT_MAX_BYTES)
		return 0;
	return ql_error_set(error, QL_E_TOO_LARGE,
			    "document: found %zu bytes, allowed at most %u",
			    length, QL_CONFIG_DOCUMENT_MAX_BYTES);
}

/* Accepts or refuses a patch that has no answer yet. */
static void decide_patch(ql_config_state_t *state, const ql_patch_t *patch,
			 ql_patch_answer_t *answer)
{
	document_source_t source = {
		.version = patch->version ? patch->version
					  : state->doc->version + 1,
		.whole = patch->whole,
		.text = patch->text,
		.length = patch->length,
	};
	ql_document_t *doc = NULL, *before;
	GError *error = NULL;
	int ret;

	if (patch->base_version != state->doc->version) {
		refuse_stale_patch(state, patch, answer);
		return;
	}
	ret = check_version(state, patch, &error);
	if (!ret)
		ret = make_document(&doc, state, &source, &error);
	if (!ret)
		ret = check_size(doc, &error);
	if (ret) {
		ql_document_unref(doc);
		refuse_patch(state, answer, ret, error->message);
		g_error_free(error);
		return;
	}
	before = ql_document_ref(state->doc);
	set_document(state, doc);
	keep_patch(state, before, patch);
	ql_document_unref(before);
	answer->version = doc->version;
}

void ql_config_state_apply(ql_config_state_t *state, const ql_patch_t *patch,
			   ql_patch_answer_t *answer)
{
	kept_answer_t kept = {.patch_digest = patch_digest(patch)};

	memset(answer, 0, sizeof(*answer));
	if (ql_config_state_find_answer(state, patch, answer))
		return;
	decide_patch(state, patch, answer);
	kept.answer = *answer;
	keep_answer(state, patch->id, &kept);
}

/* Parses the text of a change and merges it into a document. */
static int merge_change(json_t **json, const ql_config_change_t *change,
			GError **error)
{
	json_t *patch = NULL;
	int ret = ql_json_parse(&patch, change->text, change->length, error);

	if (ret)
		return ret;
	if (json_is_object(patch)) {
		ql_json_merge_into(*json, patch);
		json_decref(patch);
	} else {
		json_decref(*json);
		*json = patch;
	}
	return 0;
}

/* Merges changes that follow each other into a copy of the document. */
static int merge_changes(json_t **out, const ql_config_state_t *state,
			 const ql_config_change_t *changes, size_t n_changes,
			 GError **error)
{
	uint64_t version = state->doc->version;
	size_t i;
	int ret = 0;

	*out = json_deep_copy(state->doc->json);
	for (i = 0; i < n_changes && !ret; i++) {
		if (changes[i].base_version != version)
			return ql_error_set(error, QL_E_NOT_FOUND,
					    "change %" PRIu64
					    " does not follow version %" PRIu64,
					    changes[i].version, version);
		version = changes[i].version;
		ret = merge_change(out, &changes[i], error);
	}
	return ret;
}

static int check_digest(const ql_document_t *doc,
			const ql_config_change_t *change, GError **error)
{
	if (doc->digest == change->digest)
		return 0;
	return ql_error_set(error, QL_E_CORRUPT,
			    "change %" PRIu64
			    " results in a document with another digest",
			    change->version);
}

/* Compiles the document of the last change; *out is NULL after a failure. */
static int make_changed_document(ql_document_t **out,
				 const ql_config_state_t *state,
				 const ql_config_change_t *changes,
				 size_t n_changes, GError **error)
{
	const ql_config_change_t *last = &changes[n_changes - 1];
	json_t *json = NULL;
	int ret = merge_changes(&json, state, changes, n_changes, error);

	*out = NULL;
	if (!ret)
		ret = ql_document_compile(out, json, last->version, error);
	json_decref(json);
	if (!ret)
		ret = check_digest(*out, last, error);
	/* Keepers may move on with each version, so only a step is checked. */
	if (!ret && n_changes == 1)
		ret = ql_document_check_keepers(state->doc, *out, error);
	if (ret) {
		ql_document_unref(*out);
		*out = NULL;
	}
	return ret;
}

int ql_config_state_apply_changes(ql_config_state_t *state,
				  const ql_config_change_t *changes,
				  size_t n_changes, GError **error)
{
	ql_document_t *doc;
	size_t i;
	int ret;

	while (n_changes && changes->version <= state->doc->version) {
		changes++;
		n_changes--;
	}
	if (!n_changes)
		return 0;
	ret = make_changed_document(&doc, state, changes, n_changes, error);
	if (ret)
		return ret;
	set_document(state, doc);
	for (i = 0; i < n_changes; i++)
		keep_change(state, &changes[i]);
	return 0;
}

int ql_config_state_replace_document(ql_config_state_t *state, uint64_t version,
				     const char *text, size_t length,
				     GError **error)
{
	json_t *json = NULL;
	ql_document_t *doc;
	int ret;

	if (version <= state->doc->version)
		return 0;
	ret = ql_json_parse(&json, text, length, error);
	if (ret)
		return ret;
	ret = ql_document_compile(&doc, json, version, error);
	json_decref(json);
	if (ret)
		return ret;
	set_document(state, doc);
	g_queue_clear_full(&state->changes, free_change);
	state->changes_bytes = 0;
	return 0;
}

GList *ql_config_state_changes_since(const ql_config_state_t *state,
				     uint64_t version)
{
	GList *link = state->changes.tail;
	const ql_config_change_t *change;

	if (version >= state->doc->version)
		return NULL;
	for (; link; link = link->prev) {
		change = link->data;
		if (change->base_version == version)
			return link;
	}
	return NULL;
}

static json_t *save_changes(const ql_config_state_t *state)
{
	json_t *changes = json_array();
	const ql_config_change_t *change;
	GList *link;

	for (link = state->changes.head; link; link = link->next) {
		change = link->data;
		json_array_append_new(
			changes,
			json_pack("{s:I, s:I, s:I, s:s%}", "base",
				  (json_int_t)change->base_version, "version",
				  (json_int_t)change->version, "digest",
				  (json_int_t)change->digest, "text",
				  change->text, change->length));
	}
	return changes;
}

static json_t *save_answers(const ql_config_state_t *state)
{
	json_t *answers = json_array();
	const kept_answer_t *kept;
	GList *link;

	for (link = state->answer_order.head; link; link = link->next) {
		kept = g_hash_table_lookup(state->answers, link->data);
		json_array_append_new(
			answers,
			json_pack("{s:s, s:I, s:i, s:I, s:s}", "id",
				  (const char *)link->data, "patch_digest",
				  (json_int_t)kept->patch_digest, "status",
				  kept->answer.status, "version",
				  (json_int_t)kept->answer.version, "detail",
				  kept->answer.detail));
	}
	return answers;
}

json_t *ql_config_state_save(const ql_config_state_t *state)
{
	return json_pack("{s:I, s:O, s:o, s:o}", "version",
			 (json_int_t)state->doc->version, "document",
			 state->doc->json, "changes", save_changes(state),
			 "answers", save_answers(state));
}

static int load_changes(ql_config_state_t *state, json_t *saved)
{
	ql_config_change_t *change;
	json_int_t base, version, digest;
	json_t *value;
	const char *text;
	size_t i, length;

	json_array_foreach (saved, i, value) {
		if (json_unpack(value, "{s:I, s:I, s:I, s:s%}", "base", &base,
				"version", &version, "digest", &digest, "text",
				&text, &length))
			return QL_E_CORRUPT;
		change = g_new0(ql_config_change_t, 1);
		change->base_version = (uint64_t)base;
		change->version = (uint64_t)version;
		change->digest = (uint64_t)digest;
		change->text = g_memdup2(text, length);
		change->length = length;
		push_change(state, change);
	}
	return 0;
}

static int load_answers(ql_config_state_t *state, json_t *saved)
{
	kept_answer_t kept = {0};
	json_int_t saved_digest, version;
	const char *id, *detail;
	json_t *value;
	size_t i;

	json_array_foreach (saved, i, value) {
		if (json_unpack(value, "{s:s, s:I, s:i, s:I, s:s}", "id", &id,
				"patch_digest", &saved_digest, "status",
				&kept.answer.status, "version", &version,
				"detail", &detail))
			return QL_E_CORRUPT;
		kept.patch_digest = (uint64_t)saved_digest;
		kept.answer.version = (uint64_t)version;
		ql_text_copy(kept.answer.detail, sizeof(kept.answer.detail),
			     detail);
		keep_answer(state, id, &kept);
	}
	return 0;
}

int ql_config_state_load(ql_config_state_t *state, json_t *saved,
			 GError **error)
{
	ql_config_state_t loaded;
	json_t *document, *changes, *answers;
	ql_document_t *doc;
	json_int_t version;
	int ret;

	if (json_unpack(saved, "{s:I, s:o, s:o, s:o}", "version", &version,
			"document", &document, "changes", &changes, "answers",
			&answers))
		return ql_error_set(error, QL_E_CORRUPT,
				    "saved configuration lacks a key or has a "
				    "value of the wrong type");
	ret = ql_document_compile(&doc, document, (uint64_t)version, error);
	if (ret)
		return ret;
	ql_config_state_init(&loaded);
	set_document(&loaded, doc);
	if (load_changes(&loaded, changes) || load_answers(&loaded, answers)) {
		ql_config_state_finish(&loaded);
		return ql_error_set(error, QL_E_CORRUPT,
				    "saved configuration has a malformed "
				    "change or answer");
	}
	ql_config_state_finish(state);
	*state = loaded;
	return 0;
}
