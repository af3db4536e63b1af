#ifndef QL_CONTROL_REPLICATED_CONFIG_H
#define QL_CONTROL_REPLICATED_CONFIG_H

/**
 * DOC: The configuration of a replica. Patches are proposed to the replicated
 * log, and accepted or refused when their entry is committed and applied.
 */

#include "quetzalloft/config_state.h"
#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/**
 * struct ql_replicated_config_ops - Callbacks of a replicated configuration.
 * @send: see &struct ql_replica_ops
 * @read_done: see &struct ql_replica_ops
 * @role_changed: see &struct ql_replica_ops
 * @patch_decided: a patch has been accepted or refused; not called when the
 *                 same patch is applied again
 * @document_changed: the document has changed; @change is NULL when a snapshot
 *                    has replaced it
 */
typedef struct ql_replicated_config_ops {
	void (*send)(void *data, ql_rpc_replica_message *message);
	void (*read_done)(void *data, uint64_t token, int status);
	void (*role_changed)(void *data, ql_event_t event);
	void (*patch_decided)(void *data, const ql_patch_t *patch,
			      const ql_patch_answer_t *answer);
	void (*document_changed)(void *data, const ql_config_change_t *change);
} ql_replicated_config_ops_t;

/**
 * struct ql_replicated_config - The configuration of one replica.
 * @replica: the replica; the caller passes ticks, messages and writes to it
 * @state: the committed state; borrowed
 * @pending_patch_ids: set of the ids of patches that this leader has proposed
 *                     and that are not committed yet
 * @ops: callbacks
 * @data: passed to @ops
 */
typedef struct ql_replicated_config {
	ql_replica_t replica;
	ql_config_state_t *state;
	GHashTable *pending_patch_ids;
	const ql_replicated_config_ops_t *ops;
	void *data;
} ql_replicated_config_t;

/**
 * struct ql_replicated_config_source - Data that a configuration starts from.
 * @journal: opened journal
 * @identity: identity to use when the journal holds none
 * @state: initialised state; it is replaced by the last committed one
 */
typedef struct ql_replicated_config_source {
	const ql_journal_t *journal;
	uint64_t identity;
	ql_config_state_t *state;
} ql_replicated_config_source_t;

/**
 * ql_replicated_config_init() - Start a replicated configuration from the
 * journal.
 * @config: the configuration
 * @opts: options of the replica
 * @source: journal, identity and state
 * @ops: callbacks
 * @data: passed to @ops
 * @error: detail of a failure
 *
 * Return: 0 or an error of ql_replica_init(); after an error @config must not
 * be finished.
 */
int ql_replicated_config_init(ql_replicated_config_t *config,
			      const ql_replica_opts_t *opts,
			      const ql_replicated_config_source_t *source,
			      const ql_replicated_config_ops_t *ops, void *data,
			      GError **error);

/**
 * ql_replicated_config_finish() - Free what a configuration has allocated.
 * @config: the configuration
 */
void ql_replicated_config_finish(ql_replicated_config_t *config);

/**
 * ql_replicated_config_submit() - Submit a patch or look up its answer.
 * @config: the configuration
 * @patch: the patch
 * @answer: the answer when the patch has been accepted or refused; otherwise
 *          the status is QL_E_PENDING, QL_E_NOT_LEADER, QL_E_UNAVAILABLE when
 *          no leader is known, QL_E_FULL, or QL_E_TOO_LARGE, and the patch may
 *          be sent again
 *
 * The caller calls ql_replica_flush() after the last patch of a batch.
 */
void ql_replicated_config_submit(ql_replicated_config_t *config,
				 const ql_patch_t *patch,
				 ql_patch_answer_t *answer);

/**
 * ql_replicated_config_set_undecided() - Fill the answer to a patch that has
 * been neither accepted nor refused.
 * @answer: the answer
 * @status: reason, see ql_replicated_config_submit()
 * @version: version of the document in force
 */
void ql_replicated_config_set_undecided(ql_patch_answer_t *answer, int status,
					uint64_t version);

G_END_DECLS

#endif
