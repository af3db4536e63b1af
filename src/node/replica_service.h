#ifndef QL_NODE_REPLICA_SERVICE_H
#define QL_NODE_REPLICA_SERVICE_H

/**
 * DOC: A replica of the configuration in a process. One thread runs the state
 * machine; others hand it what arrives through a bounded ring and read what it
 * publishes. Nothing here blocks the thread that answers RPC.
 */

#include "control/replicated_config.h"
#include "control/rpc_server.h"
#include "node/replica_disk.h"
#include "node/replica_peers.h"
#include "util/counters.h"

G_BEGIN_DECLS

/** Reads in progress that are remembered. */
#define QL_REPLICA_READ_SLOTS 256u

/**
 * struct ql_replica_view - What the thread of the replica publishes.
 * @identity_synced: the identity is on the disk
 * @failed: the disk failed; this replica takes no more part
 * @is_leader: whether it leads
 * @is_current: see ql_replica_is_current()
 * @leader_address: where the leader listens, or ""
 * @role: name of the role
 * @state: identity, term, vote, commit index
 * @leader: identity of the leader, or 0
 * @log_index: last entry of the log
 * @applied: last entry applied
 * @members_settled: whether the last change of the members is committed
 * @members: the members
 * @n_members: their number
 */
typedef struct ql_replica_view {
	bool identity_synced;
	bool failed;
	bool is_leader;
	bool is_current;
	bool members_settled;
	char leader_address[QL_ADDRESS_MAX];
	const char *role;
	ql_journal_state_t state;
	uint64_t leader;
	uint64_t log_index;
	uint64_t applied;
	ql_replica_peer_t members[QL_REPLICA_MEMBERS_MAX];
	size_t n_members;
} ql_replica_view_t;

/**
 * struct ql_replica_read_slot - A read that a client asks for again.
 * @token: its number, or 0
 * @status: QL_E_PENDING until it is confirmed or refused
 */
typedef struct ql_replica_read_slot {
	uint64_t token;
	int status;
} ql_replica_read_slot_t;

/**
 * struct ql_replica_change_slot - The last change of the members asked for.
 * @kind: what was asked
 * @id: whom with
 * @address: of a learner
 * @status: its result
 * @detail: for the operator
 * @is_undelivered: the result was not given to anybody yet
 */
typedef struct ql_replica_change_slot {
	ql_replica_change_kind kind;
	uint64_t id;
	char address[QL_ADDRESS_MAX];
	int status;
	char detail[QL_RPC_DETAIL_MAX + 1];
	bool is_undelivered;
} ql_replica_change_slot_t;

/**
 * struct ql_replica_service - The replica of this process.
 * @settings: borrowed
 * @hlc: borrowed
 * @timeline: borrowed; NULL records nothing
 * @counters: borrowed
 * @lock: guards @state; borrowed
 * @state: the committed configuration; borrowed
 * @incarnation: start of this process
 * @document_changed: called with @lock held when the document changed, or NULL;
 *           @change is NULL when a snapshot replaced the document
 * @document_changed_data: passed to @document_changed
 * @inputs: what arrives
 * @chart: of the role
 * @view_lock: guards the members below
 * @view: what the thread publishes
 * @reads: reads in progress
 * @next_read: number of the next read
 * @change: the last change of the members
 */
typedef struct ql_replica_service {
	const ql_settings_t *settings;
	ql_counters_t *counters;
	ql_hlc_t *hlc;
	ql_timeline_t *timeline;
	pthread_mutex_t *lock;
	ql_config_state_t *state;
	uint64_t incarnation;
	void (*document_changed)(void *data, const ql_config_change_t *change);
	void *document_changed_data;
	ql_ring_t inputs;
	ql_replica_disk_t disk;
	ql_replica_peers_t peers;
	ql_chart_t chart;
	ql_replicated_config_t config;
	GRand *random;
	GHashTable *sender_addresses;
	GThread *thread;
	GThread *bootstrap_thread;
	int stopping;
	uint64_t last_tick_us;
	uint64_t last_synced_write;
	bool failed;
	pthread_mutex_t view_lock;
	ql_replica_view_t view;
	ql_replica_read_slot_t reads[QL_REPLICA_READ_SLOTS];
	uint64_t next_read;
	ql_replica_change_slot_t change;
} ql_replica_service_t;

/**
 * ql_replica_service_init() - Load what the data folder holds.
 * @service: the service, its borrowed members and @incarnation set
 * @error: detail of a failure
 *
 * Return: 0, or a failure of ql_replica_disk_init() or
 * ql_replicated_config_init().
 */
int ql_replica_service_init(ql_replica_service_t *service, GError **error);
void ql_replica_service_start(ql_replica_service_t *service);
void ql_replica_service_stop(ql_replica_service_t *service);
void ql_replica_service_finish(ql_replica_service_t *service);

/**
 * ql_replica_service_submit() - Submit a patch or ask for its answer.
 * @service: the service
 * @patch: the patch
 * @answer: its answer, or QL_E_PENDING, QL_E_NOT_LEADER or QL_E_UNAVAILABLE
 * @leader: QL_ADDRESS_MAX bytes; where to send it again, or ""
 */
void ql_replica_service_submit(ql_replica_service_t *service,
			       const ql_patch_t *patch,
			       ql_patch_answer_t *answer, char *leader);

/**
 * ql_replica_service_read() - Have a quorum confirm that this replica leads.
 * @service: the service
 * @token: 0 at first, then what this function stored
 *
 * Return: 0 when the state holds all that was accepted before the first call,
 * QL_E_PENDING, QL_E_NOT_LEADER or QL_E_UNAVAILABLE.
 */
int ql_replica_service_read(ql_replica_service_t *service, uint64_t *token);

/**
 * ql_replica_service_program() - What the RPC server answers.
 * @service: the service
 *
 * Return: the program.
 */
ql_rpc_program_t ql_replica_service_program(ql_replica_service_t *service);

/* Shared by the files of the service only. */

typedef enum ql_replica_input_kind {
	QL_REPLICA_INPUT_MESSAGES,
	QL_REPLICA_INPUT_PATCH,
	QL_REPLICA_INPUT_CHANGE,
	QL_REPLICA_INPUT_READ,
	QL_REPLICA_INPUT_BOOTSTRAP,
} ql_replica_input_kind_t;

/**
 * struct ql_replica_input - What is handed to the thread of the replica.
 */
typedef struct ql_replica_input {
	ql_replica_input_kind_t kind;
	char address[QL_ADDRESS_MAX];
	ql_rpc_replica_message *messages;
	u_int n_messages;
	ql_patch_t patch;
	char *patch_text;
	ql_replica_change_kind change_kind;
	uint64_t change_id;
	uint64_t token;
	ql_rpc_replica_members members;
} ql_replica_input_t;

int ql_replica_service__push(ql_replica_service_t *service,
			     ql_replica_input_t *input);
void ql_replica_service__own_address(const ql_replica_service_t *service,
				     char *out);
void ql_replica_service__copy_view(ql_replica_service_t *service,
				   ql_replica_view_t *view);
void ql_replica_service__push_change(ql_replica_service_t *service,
				     const ql_replica_change_t *change);
/* Runs in a thread of its own until the cluster exists. */
void *ql_replica_service__run_bootstrap(void *data);

G_END_DECLS

#endif
