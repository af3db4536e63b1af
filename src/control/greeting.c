#include "control/greeting.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

G_STATIC_ASSERT(QL_CONFIG_DOCUMENT_MAX_BYTES == QL_RPC_DOCUMENT_MAX);

int ql_greeting_check(const ql_rpc_greeting *greeting, const char *cluster,
		      char **detail)
{
	if (strcmp(greeting->cluster, cluster) != 0) {
		*detail = strdup("the sender belongs to another cluster");
		return QL_E_DENIED;
	}
	if (greeting->protocol != QL_RPC_PROTOCOL_VERSION) {
		*detail = strdup("the sender uses another protocol version");
		return QL_E_PROTOCOL;
	}
	return 0;
}

bool ql_greeting_is_refused(const ql_rpc_greeting *greeting,
			    const char *cluster, int *status, char **detail)
{
	*status = ql_greeting_check(greeting, cluster, detail);
	if (!*status)
		return false;
	ql_log(LOG_WARNING, "rpc_refused", QL_STR("node", greeting->node),
	       QL_STR("cluster", greeting->cluster),
	       QL_STR("error", ql_error_name(*status)));
	return true;
}

uint64_t ql_greeting_observe_clock(ql_hlc_t *hlc, uint64_t remote)
{
	uint64_t wall_ms = ql_clock_wall_ms();

	ql_hlc_observe(hlc, remote, wall_ms);
	return ql_hlc_tick(hlc, wall_ms);
}

void ql_greeting_fill(ql_rpc_greeting *greeting,
		      const ql_greeting_sender_t *sender, ql_hlc_t *hlc)
{
	/* The XDR routines do not change the strings that they encode. */
	greeting->cluster = (char *)sender->cluster;
	greeting->node = (char *)sender->node;
	greeting->failure_domain = (char *)sender->failure_domain;
	greeting->incarnation = sender->incarnation;
	greeting->clock = ql_hlc_tick(hlc, ql_clock_wall_ms());
	greeting->protocol = QL_RPC_PROTOCOL_VERSION;
}

/* The copy is made with malloc(), as the XDR routines free with free(). */
static char *copy_bytes(const char *data, size_t length)
{
	char *copy = malloc(length + 1);

	g_assert(copy);
	memcpy(copy, data, length);
	copy[length] = '\0';
	return copy;
}

static void fill_changes(const ql_config_reply_t *reply, GList *link)
{
	u_int n = g_list_length(link);
	const ql_config_change_t *change;
	ql_rpc_change *out = calloc(n, sizeof(*out));

	g_assert(out);
	*reply->changes_len = n;
	*reply->changes_val = out;
	for (; link; link = link->next, out++) {
		change = link->data;
		out->base_version = change->base_version;
		out->config_version = change->version;
		out->digest = change->digest;
		out->patch.patch_len = (u_int)change->length;
		out->patch.patch_val = copy_bytes(change->text, change->length);
	}
}

void ql_config_reply_fill_whole(const ql_config_reply_t *reply,
				ql_config_state_t *config)
{
	const char *text = ql_config_state_text(config);

	*reply->whole_document = TRUE;
	*reply->document_len = (u_int)strlen(text);
	*reply->document_val = copy_bytes(text, *reply->document_len);
}

/*
 * Returns whether the whole document is less to send than the changes, so that
 * the cost of catching up does not grow with the number of missed versions.
 */
static bool is_whole_cheaper(ql_config_state_t *config, const GList *changes)
{
	const ql_config_change_t *change;
	const GList *link;
	size_t bytes = 0;

	for (link = changes; link; link = link->next) {
		change = link->data;
		if (change->length > QL_RPC_CHANGE_MAX)
			return true;
		bytes += change->length;
	}
	return changes->next && bytes > strlen(ql_config_state_text(config));
}

void ql_config_reply_fill(const ql_config_reply_t *reply,
			  ql_config_state_t *config, uint64_t known_version)
{
	GList *changes = ql_config_state_changes_since(config, known_version);

	if (changes && !is_whole_cheaper(config, changes))
		fill_changes(reply, changes);
	else if (known_version < config->doc->version)
		ql_config_reply_fill_whole(reply, config);
}

int ql_config_reply_apply(ql_config_state_t *config,
			  const ql_config_reply_t *reply,
			  uint64_t config_version, GError **error)
{
	u_int i, n_changes = *reply->changes_len;
	ql_config_change_t *changes;
	int ret;

	if (*reply->whole_document)
		return ql_config_state_replace_document(config, config_version,
							*reply->document_val,
							*reply->document_len,
							error);
	changes = g_new0(ql_config_change_t, n_changes);
	for (i = 0; i < n_changes; i++) {
		const ql_rpc_change *in = &(*reply->changes_val)[i];

		changes[i].base_version = in->base_version;
		changes[i].version = in->config_version;
		changes[i].digest = in->digest;
		changes[i].text = in->patch.patch_val;
		changes[i].length = in->patch.patch_len;
	}
	ret = ql_config_state_apply_changes(config, changes, n_changes, error);
	g_free(changes);
	return ret;
}
