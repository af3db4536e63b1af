#ifndef QL_NODE_REPLICA_SERVICE_H
#define QL_NODE_REPLICA_SERVICE_H

/**
 * DOC: A replica of the configuration in a process. One thread runs the state
 * machine. Other threads pass input to it through a bounded ring and read the
 * view that it publishes. No function that handles RPC waits for that thread.
 */

#include "control/replicated_config.h"
#include "control/rpc_server.h"
#include "node/replica_disk.h"
#include "node/replica_peers.h"
#include "util/counters.h"

G_BEGIN_DECLS

/** Reads whose status is kept; a newer read replaces the oldest one. */
#define QL_REPLICA_READ_SLOTS 256u

/**
 * struct ql_replica_view - State that the replica thread publishes.
 * @identity_synced: the identity is on the disk
 * @failed: the restore of a snapshot failed; this replica takes no
 *          further part in the cluster
 * @is_leader: this replica is the leader and has not failed
 * @is_current: see ql_replica_is_current(); false after a failure
 * @members_settled: the last membership change is committed
 * @leader_address: "IP:port" of the leader, or "" when it is not known or this
 *                  replica has failed
 * @role: name of the role; a static string
 * @state: identity, term, vote and commit index
 * @leader: identity of the leader, or 0 when it is not known
 * @log_index: index of the last entry of the log
 * @applied: index of the last entry applied
 * @proven_ms: see ql_replica_proven_ms(); 0 after a failure
 * @leading_since_us: a time at or after the election of this leader, on
 *                    ql_clock_boot_us()
 * @confirmed_us: see ql_replica_confirmed_us()
 * @members: the members; their @snapshot holds no reference, do not use it
 * @n_members: number of @members
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
	uint64_t proven_ms;
	uint64_t leading_since_us;
	uint64_t confirmed_us;
	ql_replica_peer_t members[QL_REPLICA_MEMBERS_MAX];
	size_t n_members;
} ql_replica_view_t;

/**
 * struct ql_replica_read_slot - Status of one read.
 * @token: number of the read, or 0 for an unused slot
 * @status: QL_E_PENDING until a quorum has confirmed the read; then 0,
 *          QL_E_NOT_LEADER or QL_E_UNAVAILABLE
 */
typedef struct ql_replica_read_slot {
	uint64_t token;
	int status;
} ql_replica_read_slot_t;

/**
 * struct ql_replica_change_slot - The last requested membership change and its
 * result.
 * @kind: kind of the change
 * @id: identity of the member
 * @address: "IP:port" of a new learner
 * @status: result of ql_replica_change_members()
 * @detail: detail of @status for the operator, or ""
 * @is_undelivered: the result has not been sent to a caller yet
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
 * @settings: settings of the process; borrowed
 * @counters: counters and gauges; borrowed
 * @hlc: hybrid logical clock; borrowed
 * @timeline: records changes of the role; borrowed; NULL records nothing
 * @lock: guards @state; borrowed
 * @state: the committed configuration; borrowed
 * @incarnation: start of this process
 * @document_changed: called with @lock held when the document changed, or NULL;
 *                    @change is NULL when a snapshot replaced the document
 * @document_changed_data: passed to @document_changed
 * @inputs: input to the replica thread, &struct ql_replica_input; @disk is
 *          pushed to wake the thread
 * @disk: the journal and the thread that writes it
 * @peers: connections to other replicas
 * @chart: chart "replica"
 * @config: the replicated configuration; used by the replica thread
 * @random: source of the election timeouts; used by the replica thread
 * @sender_addresses: "IP:port" by identity of replicas that sent messages but
 *                    are no members; used by the replica thread
 * @thread: the replica thread
 * @bootstrap_thread: runs until the cluster exists; NULL when this replica has
 *                    a log at the start
 * @stopping: 1 ends the threads; accessed atomically
 * @last_tick_us: time of the last tick in microseconds
 * @last_synced_write: number of the last synced write passed to @config
 * @n_disk_failures: failed writes that were counted
 * @view_lock: guards the fields below
 * @view: state that the replica thread published last
 * @reads: status of the last reads, by token modulo QL_REPLICA_READ_SLOTS
 * @next_read: token of the next read, from 1
 * @change: the last requested membership change
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
	uint64_t n_disk_failures;
	pthread_mutex_t view_lock;
	ql_replica_view_t view;
	ql_replica_read_slot_t reads[QL_REPLICA_READ_SLOTS];
	uint64_t next_read;
	ql_replica_change_slot_t change;
} ql_replica_service_t;

/**
 * ql_replica_service_init() - Load the configuration from the data folder.
 * @service: zeros, with the borrowed fields and @incarnation set
 * @error: set on failure
 *
 * Return: 0, or an error of ql_replica_chart_load(), ql_ring_init(),
 * ql_replica_disk_init() or ql_replicated_config_init(). After a failure there
 * is nothing to release.
 */
int ql_replica_service_init(ql_replica_service_t *service, GError **error);

/**
 * ql_replica_service_start() - Start the threads of the replica.
 * @service: the service
 */
void ql_replica_service_start(ql_replica_service_t *service);

/**
 * ql_replica_service_stop() - Stop the replica thread, the bootstrap and the
 * connections to other replicas, and wait for their end.
 * @service: the service
 */
void ql_replica_service_stop(ql_replica_service_t *service);

/**
 * ql_replica_service_finish() - Close the journal and release the memory.
 * @service: a stopped service; no other thread uses it any more
 */
void ql_replica_service_finish(ql_replica_service_t *service);

/**
 * ql_replica_service_submit() - Submit a patch or look up its answer.
 * @service: the service
 * @patch: the patch; copied
 * @answer: set to the answer when the patch has been accepted or refused;
 *          otherwise the status is QL_E_PENDING, QL_E_NOT_LEADER or
 *          QL_E_UNAVAILABLE, and the patch may be sent again; QL_E_TOO_LARGE,
 *          or QL_E_INVALID for an id that is not UTF-8, if it never can be
 *          accepted
 * @leader: QL_ADDRESS_MAX bytes; set to "IP:port" of the leader, or "" when it
 *          is not known
 */
void ql_replica_service_submit(ql_replica_service_t *service,
			       const ql_patch_t *patch,
			       ql_patch_answer_t *answer, char *leader);

/**
 * ql_replica_service_read() - Start a linearizable read or look up its status.
 * @service: the service
 * @token: 0 for a new read, else the value that this function stored
 *
 * Return: 0 once a quorum has confirmed that this replica leads, so that the
 * state includes every patch that was accepted before the first call;
 * QL_E_PENDING, QL_E_NOT_LEADER or QL_E_UNAVAILABLE.
 */
int ql_replica_service_read(ql_replica_service_t *service, uint64_t *token);

/**
 * ql_replica_service_proven_ms() - Get the newest time at which the document
 * is known to have been the newest.
 * @service: the service
 *
 * It holds for the document in @state from now on.
 *
 * Return: milliseconds of ql_clock_boot_ms(), or 0 if no time is known.
 */
uint64_t ql_replica_service_proven_ms(ql_replica_service_t *service);

/**
 * ql_replica_service_program() - Get the RPC program of the replica.
 * @service: the service; must outlive the RPC server
 *
 * Return: the program.
 */
ql_rpc_program_t ql_replica_service_program(ql_replica_service_t *service);

/* Private to the files of this service. */

/**
 * enum ql_replica_input_kind - Kind of an input to the replica thread.
 * @QL_REPLICA_INPUT_MESSAGES: messages from another replica
 * @QL_REPLICA_INPUT_PATCH: a patch to propose
 * @QL_REPLICA_INPUT_CHANGE: a membership change
 * @QL_REPLICA_INPUT_READ: a read to start
 * @QL_REPLICA_INPUT_BOOTSTRAP: the initial members of a new cluster
 */
typedef enum ql_replica_input_kind {
	QL_REPLICA_INPUT_MESSAGES,
	QL_REPLICA_INPUT_PATCH,
	QL_REPLICA_INPUT_CHANGE,
	QL_REPLICA_INPUT_READ,
	QL_REPLICA_INPUT_BOOTSTRAP,
} ql_replica_input_kind_t;

/**
 * struct ql_replica_input - An input to the replica thread.
 * @kind: selects the fields in use
 * @address: "IP:port" of the sender of @messages, or of a new learner
 * @messages: messages from another replica; owned, allocated with malloc()
 * @n_messages: number of @messages
 * @patch: the patch; its text is @patch_text
 * @patch_text: text of the patch; owned
 * @change_kind: kind of the membership change
 * @change_id: identity of the member to change
 * @token: token of the read
 * @members: initial members; owned
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

/**
 * ql_replica_service__push() - Pass an input to the replica thread.
 * @service: the service
 * @input: the input; ownership passes to the service, also on failure
 *
 * Return: 0 or QL_E_FULL.
 */
int ql_replica_service__push(ql_replica_service_t *service,
			     ql_replica_input_t *input);

/**
 * ql_replica_service__own_address() - Get the control address of this replica.
 * @service: the service
 * @out: QL_ADDRESS_MAX bytes; set to "IP:port"
 */
void ql_replica_service__own_address(const ql_replica_service_t *service,
				     char *out);

/**
 * ql_replica_service__copy_view() - Copy the published view.
 * @service: the service
 * @view: set to the view
 */
void ql_replica_service__copy_view(ql_replica_service_t *service,
				   ql_replica_view_t *view);

/**
 * ql_replica_service__push_change() - Pass a membership change to the replica
 * thread; it is dropped when the ring is full.
 * @service: the service
 * @change: the change; copied
 */
void ql_replica_service__push_change(ql_replica_service_t *service,
				     const ql_replica_change_t *change);

/**
 * ql_replica_service__run_bootstrap() - Bootstrap the cluster when this replica
 * is the one to do so; body of the bootstrap thread.
 * @data: &struct ql_replica_service
 *
 * Return: NULL, once a cluster exists, this replica is not the one to form it,
 * or the service stops.
 */
void *ql_replica_service__run_bootstrap(void *data);

G_END_DECLS

#endif
