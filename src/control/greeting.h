#ifndef QL_CONTROL_GREETING_H
#define QL_CONTROL_GREETING_H

/**
 * DOC: Helpers for the messages of the control protocol: the greeting that
 * every request begins with, and the configuration in a reply.
 */

#include "quetzalloft/clock.h"
#include "quetzalloft/config_state.h"

#include "control.h"

G_BEGIN_DECLS

/**
 * ql_greeting_check() - Check the cluster and the protocol version of a sender.
 * @greeting: greeting of the sender
 * @cluster: name of the cluster of this process
 * @detail: set to a message for the sender on failure; freed with free()
 *
 * Return: 0, QL_E_DENIED for another cluster, or QL_E_PROTOCOL for another
 * protocol version.
 */
int ql_greeting_check(const ql_rpc_greeting *greeting, const char *cluster,
		      char **detail);

/**
 * ql_greeting_is_refused() - Check a sender as ql_greeting_check() does, and
 * log a refusal.
 * @greeting: greeting of the sender
 * @cluster: name of the cluster of this process
 * @status: set to the status for the reply: 0 or an error of
 *          ql_greeting_check()
 * @detail: set to a message for the sender on failure; freed with free()
 *
 * Return: true when the sender is refused.
 */
bool ql_greeting_is_refused(const ql_rpc_greeting *greeting,
			    const char *cluster, int *status, char **detail);

/**
 * ql_greeting_observe_clock() - Advance the clock of this process to the clock
 * of a sender.
 * @hlc: hybrid logical clock of this process
 * @remote: clock in the greeting of the sender
 *
 * Return: timestamp for the reply.
 */
uint64_t ql_greeting_observe_clock(ql_hlc_t *hlc, uint64_t remote);

/**
 * struct ql_greeting_sender - Identity of this process in its greetings.
 * @cluster: name of the cluster; borrowed
 * @node: name of the node; borrowed
 * @failure_domain: name of the failure domain; borrowed
 * @incarnation: identifies this start of the process
 */
typedef struct ql_greeting_sender {
	const char *cluster;
	const char *node;
	const char *failure_domain;
	uint64_t incarnation;
} ql_greeting_sender_t;

/**
 * ql_greeting_fill() - Write the greeting of this process.
 * @greeting: the greeting; its strings are borrowed from @sender
 * @sender: identity of this process
 * @hlc: hybrid logical clock of this process; it advances
 */
void ql_greeting_fill(ql_rpc_greeting *greeting,
		      const ql_greeting_sender_t *sender, ql_hlc_t *hlc);

/**
 * struct ql_config_reply - The configuration in a reply; it points to the
 * fields of the reply. The arrays are freed by the XDR routine of the reply.
 * @whole_document: the reply has the complete document
 * @document_len: length of the document in bytes
 * @document_val: JSON text of the document
 * @changes_len: number of changes
 * @changes_val: changes in the order of their versions
 */
typedef struct ql_config_reply {
	bool_t *whole_document;
	u_int *document_len;
	char **document_val;
	u_int *changes_len;
	ql_rpc_change **changes_val;
} ql_config_reply_t;

/**
 * ql_config_reply_fill() - Write the configuration that a peer lacks.
 * @reply: the reply
 * @config: the configuration
 * @known_version: version of the peer
 *
 * Writes the changes since @known_version when all of them are still stored and
 * less than the complete document, else the document, and nothing when the peer
 * is up to date.
 */
void ql_config_reply_fill(const ql_config_reply_t *reply,
			  ql_config_state_t *config, uint64_t known_version);

/**
 * ql_config_reply_fill_whole() - Write the complete document.
 * @reply: the reply
 * @config: the configuration
 */
void ql_config_reply_fill_whole(const ql_config_reply_t *reply,
				ql_config_state_t *config);

/**
 * ql_config_reply_apply() - Apply the configuration that a peer has sent.
 * @config: the configuration
 * @reply: the reply
 * @config_version: version of the complete document in the reply
 * @error: detail of a failure
 *
 * After a failure the configuration is unchanged.
 *
 * Return: 0 or an error of ql_config_state_apply_changes() or
 * ql_config_state_replace_document().
 */
int ql_config_reply_apply(ql_config_state_t *config,
			  const ql_config_reply_t *reply,
			  uint64_t config_version, GError **error);

G_END_DECLS

#endif
