#include "control/replicated_config.h"
#include "control/replica_codec.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdlib.h>
#include <string.h>

static void send_message(void *data, ql_rpc_replica_message *message)
{
	ql_replicated_config_t *config = data;

	config->ops->send(config->data, message);
}

static void read_done(void *data, uint64_t token, int status)
{
	ql_replicated_config_t *config = data;

	config->ops->read_done(config->data, token, status);
}

static void role_changed(void *data, ql_event_t event)
{
	ql_replicated_config_t *config = data;

	config->ops->role_changed(config->data, event);
}

static void leadership_lost(void *data)
{
	ql_replicated_config_t *config = data;

	g_hash_table_remove_all(config->pending_patch_ids);
}

/* A patch that is committed again keeps its first answer. */
static void apply_patch(ql_replicated_config_t *config, const ql_patch_t *patch)
{
	ql_patch_answer_t answer;
	uint64_t version = config->state->doc->version;

	g_hash_table_remove(config->pending_patch_ids, patch->id);
	if (ql_config_state_find_answer(config->state, patch, &answer))
		return;
	ql_config_state_apply(config->state, patch, &answer);
	config->ops->patch_decided(config->data, patch, &answer);
	if (config->state->doc->version != version)
		config->ops->document_changed(config->data,
					      g_queue_peek_tail(
						      &config->state->changes));
}

static void apply_entry(void *data, const ql_journal_entry_t *entry)
{
	ql_replicated_config_t *config = data;
	ql_rpc_replica_patch content = {0};
	ql_patch_t patch = {0};

	if (entry->kind != QL_REPLICA_ENTRY_PATCH ||
	    !ql_replica_decode((xdrproc_t)xdr_ql_rpc_replica_patch, &content,
			       entry->payload))
		return;
	g_strlcpy(patch.id, content.id, sizeof(patch.id));
	patch.base_version = content.base_version;
	patch.version = content.new_version;
	patch.whole = content.whole;
	patch.text = content.text.text_val;
	patch.length = content.text.text_len;
	apply_patch(config, &patch);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_patch, &content);
}

static GBytes *save(void *data)
{
	ql_replicated_config_t *config = data;
	json_t *json = ql_config_state_save(config->state);
	char *text = ql_json_dump(json);

	json_decref(json);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static int restore(void *data, GBytes *saved, GError **error)
{
	ql_replicated_config_t *config = data;
	json_t *json = NULL;
	gsize length;
	const char *text = g_bytes_get_data(saved, &length);
	int ret = ql_json_parse(&json, text, length, error);

	if (!ret)
		ret = ql_config_state_load(config->state, json, error);
	json_decref(json);
	if (!ret)
		config->ops->document_changed(config->data, NULL);
	return ret;
}

static const ql_replica_ops_t replica_ops = {
	.send = send_message,
	.apply = apply_entry,
	.save = save,
	.restore = restore,
	.read_done = read_done,
	.role_changed = role_changed,
	.leadership_lost = leadership_lost,
};

int ql_replicated_config_init(ql_replicated_config_t *config,
			      const ql_replica_opts_t *opts,
			      const ql_replicated_config_source_t *source,
			      const ql_replicated_config_ops_t *ops, void *data,
			      GError **error)
{
	int ret;

	config->state = source->state;
	config->ops = ops;
	config->data = data;
	config->pending_patch_ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ret = ql_replica_init(&config->replica, opts, source->journal,
			      source->identity, &replica_ops, config, error);
	if (ret)
		g_hash_table_destroy(config->pending_patch_ids);
	return ret;
}

void ql_replicated_config_finish(ql_replicated_config_t *config)
{
	ql_replica_finish(&config->replica);
	g_hash_table_destroy(config->pending_patch_ids);
}

static const char *undecided_detail(int status)
{
	switch (status) {
	case QL_E_PENDING:
		return "the patch is not committed yet; send it again with the "
		       "same id";
	case QL_E_NOT_LEADER:
		return "another replica is the leader; send the patch there "
		       "with the same id";
	case QL_E_UNAVAILABLE:
		return "no leader is known; send the patch again with the same "
		       "id";
	case QL_E_FULL:
		return "too many patches are not committed yet; send the patch "
		       "again with the same id";
	case QL_E_INVALID:
		return "the id is not UTF-8; take another one";
	case QL_E_TOO_LARGE:
		return "the patch is larger than a patch may be";
	default:
		return "the patch was neither accepted nor refused; send it "
		       "again with the same id";
	}
}

void ql_replicated_config_set_undecided(ql_patch_answer_t *answer, int status,
					uint64_t version)
{
	memset(answer, 0, sizeof(*answer));
	answer->status = status;
	answer->version = version;
	g_strlcpy(answer->detail, undecided_detail(status),
		  sizeof(answer->detail));
}

static int propose(ql_replicated_config_t *config, const ql_patch_t *patch)
{
	ql_rpc_replica_patch content = {
		.id = (char *)patch->id,
		.base_version = patch->base_version,
		.new_version = patch->version,
		.whole = patch->whole,
	};
	GBytes *payload;
	int ret;

	content.text.text_val = (char *)patch->text;
	content.text.text_len = (u_int)patch->length;
	payload = ql_replica_encode((xdrproc_t)xdr_ql_rpc_replica_patch,
				    &content);
	ret = ql_replica_propose(&config->replica, QL_REPLICA_ENTRY_PATCH,
				 payload);
	g_bytes_unref(payload);
	if (!ret)
		g_hash_table_add(config->pending_patch_ids,
				 g_strdup(patch->id));
	return ret ? ret : QL_E_PENDING;
}

void ql_replicated_config_submit(ql_replicated_config_t *config,
				 const ql_patch_t *patch,
				 ql_patch_answer_t *answer)
{
	uint64_t version = config->state->doc->version;
	int status;

	if (ql_config_state_find_answer(config->state, patch, answer))
		return;
	if (patch->length > QL_RPC_PATCH_MAX)
		status = QL_E_TOO_LARGE;
	else if (config->replica.role != QL_REPLICA_LEADER)
		status = config->replica.leader ? QL_E_NOT_LEADER
						: QL_E_UNAVAILABLE;
	else if (g_hash_table_contains(config->pending_patch_ids, patch->id))
		status = QL_E_PENDING;
	else
		status = propose(config, patch);
	ql_replicated_config_set_undecided(answer, status, version);
}
