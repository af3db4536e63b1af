#ifndef QL_CONTROL_REPLICATED_CONFIG_H
#define QL_CONTROL_REPLICATED_CONFIG_H

/**
 * DOC: The configuration as a replica holds it: patches go through the log and
 * are decided on when they are committed.
 */

#include "quetzalloft/config_state.h"
#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/**
 * struct ql_replicated_config_ops - What it does to its surroundings.
 * @send: see &struct ql_replica_ops
 * @read_done: see &struct ql_replica_ops
 * @role_changed: see &struct ql_replica_ops
 * @patch_decided: a patch was decided on for the first time
 * @document_changed: the document changed; @change is NULL when a snapshot
 * replaced it
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
 * @replica: the replica, which the caller drives
 * @state: the committed state; borrowed
 * @pending_patch_ids: ids of patches that this leader has proposed
 */
typedef struct ql_replicated_config {
	ql_replica_t replica;
	ql_config_state_t *state;
	GHashTable *pending_patch_ids;
	const ql_replicated_config_ops_t *ops;
	void *data;
} ql_replicated_config_t;

/**
 * struct ql_replicated_config_source - What a configuration starts from.
 * @journal: opened
 * @identity: used when the journal holds none
 * @state: initialised; it is brought to the last committed state
 */
typedef struct ql_replicated_config_source {
	const ql_journal_t *journal;
	uint64_t identity;
	ql_config_state_t *state;
} ql_replicated_config_source_t;

/**
 * ql_replicated_config_init() - Start from what the disk holds.
 * @config: the configuration
 * @opts: of the replica
 * @source: journal and state
 * @ops: what it does to its surroundings
 * @data: passed to @ops
 * @error: detail of a failure
 *
 * Return: 0 or QL_E_CORRUPT; after a failure nothing is to finish.
 */
int ql_replicated_config_init(ql_replicated_config_t *config,
			      const ql_replica_opts_t *opts,
			      const ql_replicated_config_source_t *source,
			      const ql_replicated_config_ops_t *ops, void *data,
			      GError **error);
void ql_replicated_config_finish(ql_replicated_config_t *config);

/**
 * ql_replicated_config_submit() - Submit a patch or ask for its answer.
 * @config: the configuration
 * @patch: the patch
 * @answer: its answer when it was decided on; else the status is
 *          QL_E_PENDING, QL_E_NOT_LEADER, QL_E_UNAVAILABLE without a known
 *          leader, or QL_E_FULL, and the patch may be sent again
 *
 * The caller flushes the replica after the last submission of a batch.
 */
void ql_replicated_config_submit(ql_replicated_config_t *config,
				 const ql_patch_t *patch,
				 ql_patch_answer_t *answer);

/**
 * ql_replicated_config_set_undecided() - Answer a patch that was not decided
 * on.
 * @answer: the answer
 * @status: why
 * @version: the version in force
 */
void ql_replicated_config_set_undecided(ql_patch_answer_t *answer, int status,
					uint64_t version);

G_END_DECLS

#endif
