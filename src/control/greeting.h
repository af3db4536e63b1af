#ifndef QL_CONTROL_GREETING_H
#define QL_CONTROL_GREETING_H

/**
 * DOC: Helpers for the messages of the control protocol.
 */

#include "quetzalloft/clock.h"
#include "quetzalloft/config_state.h"

#include "control.h"

G_BEGIN_DECLS

/**
 * ql_greeting_check() - Whether a sender may talk to this process.
 * @greeting: what it sent
 * @cluster: the cluster of this process
 * @detail: set to a text for the sender after a failure, freed with free()
 *
 * Return: 0, QL_E_DENIED for another cluster, or QL_E_PROTOCOL for another
 * version of the protocol.
 */
int ql_greeting_check(const ql_rpc_greeting *greeting, const char *cluster,
		      char **detail);

/**
 * ql_greeting_is_refused() - Check a sender and log it when it is refused.
 * @greeting: what it sent
 * @cluster: the cluster of this process
 * @status: for the answer: 0, or why it is refused
 * @detail: set to a text for the sender after a failure, freed with free()
 *
 * Return: true when the sender is refused.
 */
bool ql_greeting_is_refused(const ql_rpc_greeting *greeting,
			    const char *cluster, int *status, char **detail);

/**
 * ql_greeting_observe_clock() - Take over a sender's clock.
 * @hlc: the clock of this process
 * @remote: the sender's
 *
 * Return: a stamp for the answer.
 */
uint64_t ql_greeting_observe_clock(ql_hlc_t *hlc, uint64_t remote);

/**
 * struct ql_greeting_sender - Who this process is.
 */
typedef struct ql_greeting_sender {
	const char *cluster;
	const char *node;
	const char *failure_domain;
	uint64_t incarnation;
} ql_greeting_sender_t;

/**
 * ql_greeting_fill() - Fill in the greeting of this process.
 * @greeting: the greeting; its strings are borrowed from @sender
 * @sender: who this process is
 * @hlc: its clock
 */
void ql_greeting_fill(ql_rpc_greeting *greeting,
		      const ql_greeting_sender_t *sender, ql_hlc_t *hlc);

/**
 * struct ql_config_reply - Where the configuration part of an answer goes.
 */
typedef struct ql_config_reply {
	bool_t *whole_document;
	u_int *document_len;
	char **document_val;
	u_int *changes_len;
	ql_rpc_change **changes_val;
} ql_config_reply_t;

/**
 * ql_config_reply_fill() - Send what a peer lacks of the configuration.
 * @reply: where it goes
 * @config: the configuration
 * @known_version: what the peer has
 *
 * Changes are sent when all that the peer lacks are kept, else the document.
 */
void ql_config_reply_fill(const ql_config_reply_t *reply,
			  const ql_config_state_t *config,
			  uint64_t known_version);

/**
 * ql_config_reply_fill_whole() - Send the document.
 * @reply: where it goes
 * @config: the configuration
 */
void ql_config_reply_fill_whole(const ql_config_reply_t *reply,
				const ql_config_state_t *config);

/**
 * ql_config_reply_apply() - Apply what a peer sent of the configuration.
 * @config: the configuration
 * @reply: what was sent
 * @config_version: the version of the sender
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_config_state_apply_change() or
 * ql_config_state_replace_document().
 */
int ql_config_reply_apply(ql_config_state_t *config,
			  const ql_config_reply_t *reply,
			  uint64_t config_version, GError **error);

G_END_DECLS

#endif
