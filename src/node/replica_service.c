#include "node/replica_service.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"
#include "quetzalloft/text.h"

#include <stdlib.h>
#include <string.h>

#define INPUT_RING_ENTRIES 4096u
#define REPLICA_TICK_US (50 * QL_US_PER_MS)
#define ELECTION_TICKS 20u
#define FIRST_ELECTION_TICKS 5u
#define HEARTBEAT_TICKS 4u
#define SNAPSHOT_INTERVAL_ENTRIES 2048u
#define KEPT_LOG_ENTRIES 512u
/* Documents may be large, so the log is bounded by its bytes as well. */
#define SNAPSHOT_INTERVAL_BYTES (8u << 20)
#define KEPT_LOG_BYTES (2u << 20)
#define PEER_WINDOW_ENTRIES 4096u
#define SNAPSHOT_PIECE_BYTES 262144u
/*
 * Most ticks in one iteration of the replica thread. After a pause of the
 * process the other missed ticks are dropped, so that the messages that queued
 * up are handled before an election timer expires.
 */
#define CATCH_UP_TICKS_MAX 2

static bool is_stopping(const ql_replica_service_t *service)
{
	return __atomic_load_n(&service->stopping, __ATOMIC_ACQUIRE);
}

void ql_replica_service__own_address(const ql_replica_service_t *service,
				     char *out)
{
	ql_address_format(out, service->settings->address,
			  (unsigned int)service->settings->control_port);
}

static void input_free(ql_replica_input_t *input)
{
	u_int i;

	for (i = 0; i < input->n_messages; i++)
		xdr_free((xdrproc_t)xdr_ql_rpc_replica_message,
			 &input->messages[i]);
	free(input->messages);
	g_free(input->patch_text);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_members, &input->members);
	g_free(input);
}

int ql_replica_service__push(ql_replica_service_t *service,
			     ql_replica_input_t *input)
{
	int ret = ql_ring_push(&service->inputs, input);

	if (ret)
		input_free(input);
	return ret;
}

void ql_replica_service__push_change(ql_replica_service_t *service,
				     const ql_replica_change_t *change)
{
	ql_replica_input_t *input = g_new0(ql_replica_input_t, 1);

	input->kind = QL_REPLICA_INPUT_CHANGE;
	input->change_kind = change->kind;
	input->change_id = change->id;
	g_strlcpy(input->address, change->address, sizeof(input->address));
	ql_replica_service__push(service, input);
}

void ql_replica_service__copy_view(ql_replica_service_t *service,
				   ql_replica_view_t *view)
{
	pthread_mutex_lock(&service->view_lock);
	*view = service->view;
	pthread_mutex_unlock(&service->view_lock);
}

uint64_t ql_replica_service_proven_ms(ql_replica_service_t *service)
{
	uint64_t proven_ms;

	pthread_mutex_lock(&service->view_lock);
	proven_ms = service->view.proven_ms;
	pthread_mutex_unlock(&service->view_lock);
	return proven_ms;
}

static const char *find_address(const ql_replica_service_t *service,
				uint64_t id)
{
	const ql_replica_peer_t *peer =
		ql_replica_find_member(&service->config.replica, id);

	if (peer)
		return peer->address;
	return g_hash_table_lookup(service->sender_addresses, &id);
}

static void send_message(void *data, ql_rpc_replica_message *message)
{
	ql_replica_service_t *service = data;
	const char *address = find_address(service, message->to);

	if (address)
		ql_replica_peers_send(&service->peers, address, message);
	else
		ql_replica_message_free(message);
}

static void set_read_status(ql_replica_service_t *service, uint64_t token,
			    int status)
{
	ql_replica_read_slot_t *slot =
		&service->reads[token % QL_REPLICA_READ_SLOTS];

	pthread_mutex_lock(&service->view_lock);
	if (slot->token == token)
		slot->status = status;
	pthread_mutex_unlock(&service->view_lock);
}

static void complete_read(void *data, uint64_t token, int status)
{
	set_read_status(data, token, status);
}

static void record_role_event(void *data, ql_event_t event)
{
	ql_replica_service_t *service = data;
	ql_timeline_event_t entry = {
		.event = event,
		.version = service->state->doc->version,
	};

	ql_timeline_record(service->timeline, &entry);
}

static void log_patch_decision(void *data, const ql_patch_t *patch,
			       const ql_patch_answer_t *answer)
{
	ql_replica_service_t *service = data;

	ql_counter_increment(service->counters,
			     answer->status ? QL_COUNT_PATCHES_REFUSED
					    : QL_COUNT_PATCHES_ACCEPTED);
	ql_log(LOG_NOTICE, answer->status ? "patch_refused" : "patch_accepted",
	       QL_STR("id", patch->id), QL_UINT("base", patch->base_version),
	       QL_UINT("version", answer->version),
	       QL_STR("error", ql_error_name(answer->status)));
}

static void call_document_changed(void *data, const ql_config_change_t *change)
{
	ql_replica_service_t *service = data;

	if (service->document_changed)
		service->document_changed(service->document_changed_data,
					  change);
}

static const ql_replicated_config_ops_t config_ops = {
	.send = send_message,
	.read_done = complete_read,
	.role_changed = record_role_event,
	.patch_decided = log_patch_decision,
	.document_changed = call_document_changed,
};

static void log_role(const ql_replica_service_t *service, const char *role)
{
	const ql_replica_t *replica = &service->config.replica;

	ql_log(LOG_NOTICE, "replica_role", QL_STR("role", role),
	       QL_UINT("term", replica->state.term),
	       QL_STR("leader", ql_replica_leader_address(replica)),
	       QL_UINT("commit", replica->state.commit));
}

/* A leader is seen to lead after its election, which makes the time safe. */
static void note_leadership(const ql_replica_service_t *service,
			    ql_replica_view_t *view)
{
	const ql_replica_t *replica = &service->config.replica;
	bool leads = replica->role == QL_REPLICA_LEADER;

	if (leads &&
	    (!view->is_leader || view->state.term != replica->state.term))
		view->leading_since_us = ql_clock_boot_us();
	view->confirmed_us = ql_replica_confirmed_us(replica);
}

static void fill_view(const ql_replica_service_t *service,
		      ql_replica_view_t *view)
{
	const ql_replica_t *replica = &service->config.replica;

	note_leadership(service, view);
	view->identity_synced = replica->synced_identity;
	view->failed = replica->failed;
	view->is_leader = replica->role == QL_REPLICA_LEADER && !view->failed;
	view->is_current = ql_replica_is_current(replica) && !view->failed;
	/* A failed replica names no leader, as that could be itself. */
	if (!view->failed)
		g_strlcpy(view->leader_address,
			  ql_replica_leader_address(replica),
			  sizeof(view->leader_address));
	else
		view->leader_address[0] = '\0';
	view->members_settled = replica->members_index <= replica->state.commit;
	view->role = ql_replica_role_name(replica);
	view->state = replica->state;
	view->leader = replica->leader;
	view->log_index = ql_replica_last_index(replica);
	view->applied = replica->applied;
	view->proven_ms = view->failed ? 0
				       : MAX(view->proven_ms,
					     ql_replica_proven_ms(replica));
	view->n_members = replica->n_peers;
	memcpy(view->members, replica->peers,
	       replica->n_peers * sizeof(*view->members));
}

static void set_gauges(const ql_replica_service_t *service)
{
	const ql_replica_t *replica = &service->config.replica;

	ql_gauge_set(service->counters, QL_GAUGE_LEADING,
		     replica->role == QL_REPLICA_LEADER);
	ql_gauge_set(service->counters, QL_GAUGE_CONFIG_VERSION,
		     service->state->doc->version);
}

static void publish(ql_replica_service_t *service)
{
	const char *role = ql_replica_role_name(&service->config.replica);
	bool role_is_new;

	pthread_mutex_lock(&service->view_lock);
	role_is_new = service->view.role != role;
	fill_view(service, &service->view);
	pthread_mutex_unlock(&service->view_lock);
	set_gauges(service);
	if (role_is_new)
		log_role(service, role);
}

static void deliver_messages(ql_replica_service_t *service,
			     const ql_replica_input_t *input)
{
	u_int i;

	for (i = 0; i < input->n_messages; i++) {
		uint64_t from = input->messages[i].from;

		if (!ql_replica_find_member(&service->config.replica, from))
			g_hash_table_replace(service->sender_addresses,
					     g_memdup2(&from, sizeof(from)),
					     g_strdup(input->address));
		ql_replica_deliver(&service->config.replica,
				   &input->messages[i]);
	}
}

static void change_members(ql_replica_service_t *service,
			   const ql_replica_input_t *input)
{
	ql_replica_change_t change = {input->change_kind, input->change_id,
				      input->address};
	ql_replica_change_slot_t slot = {
		.kind = input->change_kind,
		.id = input->change_id,
		.is_undelivered = true,
	};
	GError *error = NULL;
	char id[QL_HEX64_MAX];

	ql_hex64_format(id, slot.id);
	slot.status = ql_replica_change_members(&service->config.replica,
						&change, &error);
	g_strlcpy(slot.address, input->address, sizeof(slot.address));
	ql_text_copy(slot.detail, sizeof(slot.detail),
		     error ? error->message : "");
	g_clear_error(&error);
	ql_log(LOG_NOTICE, "members_change", QL_UINT("kind", slot.kind),
	       QL_STR("id", id), QL_STR("address", slot.address),
	       QL_STR("error", ql_error_name(slot.status)),
	       QL_STR("detail", slot.detail));
	pthread_mutex_lock(&service->view_lock);
	service->change = slot;
	pthread_mutex_unlock(&service->view_lock);
}

static void start_read(ql_replica_service_t *service, uint64_t token)
{
	int ret = ql_replica_start_read(&service->config.replica, token);

	/*
	 * QL_E_PENDING means that no quorum round was started, as a new leader
	 * has not committed an entry yet. The client starts another read.
	 */
	if (ret)
		set_read_status(service, token,
				ret == QL_E_PENDING ? QL_E_UNAVAILABLE : ret);
}

static void handle_input(ql_replica_service_t *service,
			 const ql_replica_input_t *input)
{
	ql_patch_answer_t unused;

	/* Read after the input was received, see ql_replica_set_time(). */
	ql_replica_set_time(&service->config.replica, ql_clock_boot_us());
	switch (input->kind) {
	case QL_REPLICA_INPUT_MESSAGES:
		deliver_messages(service, input);
		break;
	case QL_REPLICA_INPUT_PATCH:
		ql_replicated_config_submit(&service->config, &input->patch,
					    &unused);
		break;
	case QL_REPLICA_INPUT_CHANGE:
		change_members(service, input);
		break;
	case QL_REPLICA_INPUT_READ:
		start_read(service, input->token);
		break;
	case QL_REPLICA_INPUT_BOOTSTRAP:
	default:
		ql_replica_bootstrap(&service->config.replica, &input->members);
		break;
	}
}

static void handle_inputs(ql_replica_service_t *service)
{
	void *item;

	while ((item = ql_ring_pop(&service->inputs))) {
		/* Pushed by the disk thread only to wake this thread. */
		if (item == &service->disk)
			continue;
		handle_input(service, item);
		input_free(item);
	}
}

static void count_failures(ql_replica_service_t *service,
			   const ql_replica_disk_progress_t *progress)
{
	for (; service->n_disk_failures < progress->n_failures;
	     service->n_disk_failures++)
		ql_counter_increment(service->counters,
				     QL_COUNT_DISK_WRITES_FAILED);
	ql_gauge_set(service->counters, QL_GAUGE_DISK_FAILING,
		     progress->failing);
}

static void complete_writes(ql_replica_service_t *service)
{
	ql_replica_disk_progress_t progress;

	ql_replica_disk_poll(&service->disk, &progress);
	count_failures(service, &progress);
	if (progress.failing)
		ql_replica_write_failed(&service->config.replica);
	if (progress.last_synced_write == service->last_synced_write)
		return;
	service->last_synced_write = progress.last_synced_write;
	/* This may apply entries, which changes @state. */
	pthread_mutex_lock(service->lock);
	ql_replica_write_done(&service->config.replica,
			      progress.last_synced_write);
	pthread_mutex_unlock(service->lock);
}

static void start_write(ql_replica_service_t *service)
{
	ql_replica_write_t write;

	if (ql_replica_take_write(&service->config.replica, &write))
		ql_replica_disk_write(&service->disk, &write);
}

static void tick(ql_replica_service_t *service)
{
	uint64_t now_us = ql_clock_now_us();
	int i;

	ql_replica_set_time(&service->config.replica, ql_clock_boot_us());
	for (i = 0; i < CATCH_UP_TICKS_MAX; i++) {
		if (now_us - service->last_tick_us < REPLICA_TICK_US)
			return;
		service->last_tick_us += REPLICA_TICK_US;
		ql_replica_tick(&service->config.replica);
	}
	service->last_tick_us = now_us;
}

static int ms_until_tick(const ql_replica_service_t *service)
{
	uint64_t next_tick_us = service->last_tick_us + REPLICA_TICK_US;
	uint64_t now_us = ql_clock_now_us();

	return now_us >= next_tick_us
		       ? 0
		       : (int)((next_tick_us - now_us) / QL_US_PER_MS) + 1;
}

static void *run_replica_thread(void *data)
{
	ql_replica_service_t *service = data;

	service->last_tick_us = ql_clock_now_us();
	while (!is_stopping(service)) {
		ql_replica_set_time(&service->config.replica,
				    ql_clock_boot_us());
		complete_writes(service);
		handle_inputs(service);
		tick(service);
		ql_replica_flush(&service->config.replica);
		start_write(service);
		publish(service);
		ql_ring_wait(&service->inputs, ms_until_tick(service));
	}
	return NULL;
}

static uint64_t new_identity(void)
{
	uint64_t id;

	do {
		id = ((uint64_t)g_random_int() << 32) | g_random_int();
	} while (!id);
	return id;
}

static int init_config(ql_replica_service_t *service, GError **error)
{
	ql_replica_opts_t opts = {
		.rules = &ql_replica_rules,
		.chart = &service->chart,
		.random = service->random,
		.election_ticks = ELECTION_TICKS,
		.first_election_ticks = FIRST_ELECTION_TICKS,
		.heartbeat_ticks = HEARTBEAT_TICKS,
		.snapshot_entries = SNAPSHOT_INTERVAL_ENTRIES,
		.kept_entries = KEPT_LOG_ENTRIES,
		.snapshot_bytes = SNAPSHOT_INTERVAL_BYTES,
		.kept_bytes = KEPT_LOG_BYTES,
		.message_entries = QL_REPLICA_ENTRIES_MAX,
		.window_entries = PEER_WINDOW_ENTRIES,
		.piece_bytes = SNAPSHOT_PIECE_BYTES,
		.clock_id = new_identity(),
	};
	ql_replicated_config_source_t source = {
		.journal = &service->disk.journal,
		.identity = new_identity(),
		.state = service->state,
	};
	char id[QL_HEX64_MAX];
	int ret = ql_replicated_config_init(&service->config, &opts, &source,
					    &config_ops, service, error);

	if (ret)
		return ret;
	ql_hex64_format(id, service->config.replica.state.identity);
	/* The replica has taken references to both. */
	g_array_set_size(service->disk.journal.entries, 0);
	g_clear_pointer(&service->disk.journal.snapshot.data, g_bytes_unref);
	ql_log(LOG_NOTICE, "replica_loaded", QL_STR("id", id),
	       QL_UINT("term", service->config.replica.state.term),
	       QL_UINT("version", service->state->doc->version),
	       QL_UINT("bytes", service->disk.journal.bytes_read));
	return 0;
}

static void init_fields(ql_replica_service_t *service)
{
	service->random = g_rand_new();
	service->sender_addresses =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      g_free);
	service->next_read = 1;
	pthread_mutex_init(&service->view_lock, NULL);
	service->peers = (ql_replica_peers_t){
		.settings = service->settings,
		.hlc = service->hlc,
		.incarnation = service->incarnation,
	};
	ql_replica_service__own_address(service, service->peers.own_address);
}

static void finish_fields(ql_replica_service_t *service)
{
	g_rand_free(service->random);
	g_hash_table_destroy(service->sender_addresses);
	pthread_mutex_destroy(&service->view_lock);
}

int ql_replica_service_init(ql_replica_service_t *service, GError **error)
{
	int ret = ql_replica_chart_load(&service->chart,
					service->settings->charts, error);

	if (!ret)
		ret = ql_ring_init(&service->inputs, INPUT_RING_ENTRIES, error);
	if (ret)
		return ret;
	ret = ql_replica_disk_init(&service->disk,
				   service->settings->data_folder,
				   &service->inputs, error);
	if (ret) {
		ql_ring_finish(&service->inputs);
		return ret;
	}
	init_fields(service);
	ret = init_config(service, error);
	if (ret) {
		finish_fields(service);
		ql_replica_disk_finish(&service->disk);
		ql_ring_finish(&service->inputs);
		return ret;
	}
	publish(service);
	return 0;
}

void ql_replica_service_start(ql_replica_service_t *service)
{
	bool is_empty = ql_replica_is_empty(&service->config.replica);

	ql_replica_disk_start(&service->disk);
	service->thread = g_thread_new("replica", run_replica_thread, service);
	if (is_empty)
		service->bootstrap_thread =
			g_thread_new("bootstrap",
				     ql_replica_service__run_bootstrap,
				     service);
}

void ql_replica_service_stop(ql_replica_service_t *service)
{
	__atomic_store_n(&service->stopping, 1, __ATOMIC_RELEASE);
	if (service->bootstrap_thread)
		g_thread_join(service->bootstrap_thread);
	if (service->thread)
		g_thread_join(service->thread);
	ql_replica_peers_finish(&service->peers);
}

void ql_replica_service_finish(ql_replica_service_t *service)
{
	void *item;

	while ((item = ql_ring_pop(&service->inputs)))
		if (item != &service->disk)
			input_free(item);
	ql_replica_disk_finish(&service->disk);
	ql_replicated_config_finish(&service->config);
	finish_fields(service);
	ql_ring_finish(&service->inputs);
}
