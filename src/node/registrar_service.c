#include "node/registrar_service.h"
#include "control/greeting.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

#define REGISTRAR_TICK_MS 100u
#define REPLICA_POLL_INTERVAL_MS 500
/* Share of the interval by which it varies in either direction. */
#define REPLICA_POLL_JITTER 0.2
#define REGISTRAR_CALL_TIMEOUT_MS 500u
#define WAKE_RING_ENTRIES 16u

static uint64_t now_ms(void)
{
	return ql_clock_now_us() / QL_US_PER_MS;
}

static bool is_stopping(const ql_registrar_service_t *service)
{
	return __atomic_load_n(&service->stopping, __ATOMIC_ACQUIRE);
}

/* The caller holds @lock. */
static void tick(ql_registrar_service_t *service)
{
	uint64_t now = now_ms();

	if (now - service->last_tick_ms < REGISTRAR_TICK_MS)
		return;
	service->last_tick_ms = now;
	ql_registrar_tick(&service->registrar, now);
}

/* The caller holds @lock. */
static void save_withdrawals(ql_registrar_service_t *service)
{
	if (service->has_store)
		ql_withdrawal_store_wake(&service->store);
}

static bool check_is_registrar(const ql_registrar_service_t *service,
			       int *status, char **detail)
{
	if (service->settings->registrar)
		return true;
	*status = QL_E_UNAVAILABLE;
	*detail = strdup("this process is not a registrar");
	return false;
}

static void log_refusal(const ql_rpc_greeting *greeting, int status)
{
	ql_log(LOG_WARNING, "rpc_refused", QL_STR("node", greeting->node),
	       QL_STR("cluster", greeting->cluster),
	       QL_STR("failure_domain", greeting->failure_domain),
	       QL_UINT("incarnation", greeting->incarnation),
	       QL_STR("error", ql_error_name(status)));
}

void ql_registrar_service_handle_lease(ql_registrar_service_t *service,
				       const ql_rpc_lease_args *args,
				       ql_rpc_lease_res *res,
				       uint64_t proven_ms)
{
	uint64_t boot_ms = ql_clock_boot_ms();
	uint64_t version;

	if (!check_is_registrar(service, &res->status, &res->detail))
		return;
	pthread_mutex_lock(service->lock);
	tick(service);
	ql_registrar_handle_lease(&service->registrar, args, res, now_ms());
	save_withdrawals(service);
	if (proven_ms)
		ql_registrar_fill_proof(&service->registrar, args, res,
					boot_ms - MIN(proven_ms, boot_ms));
	version = service->registrar.config->doc->version;
	pthread_mutex_unlock(service->lock);
	if (res->status)
		log_refusal(&args->greeting, res->status);
	else if (args->config_version > version)
		ql_ring_push(&service->wake_ring, service);
}

void ql_registrar_service_handle_offer(ql_registrar_service_t *service,
				       const ql_rpc_offer_args *args,
				       ql_rpc_offer_res *res)
{
	GError *error = NULL;

	if (!check_is_registrar(service, &res->status, &res->detail))
		return;
	res->status =
		ql_greeting_check(&args->greeting, service->settings->cluster,
				  &res->detail);
	if (res->status) {
		log_refusal(&args->greeting, res->status);
		return;
	}
	pthread_mutex_lock(service->lock);
	if (service->settings->replica)
		res->status = ql_error_set(&error, QL_E_EXISTS,
					   "this registrar is a replica");
	else
		res->status = ql_registrar_handle_offer(&service->registrar,
							args, now_ms(), &error);
	res->config_version = service->registrar.config->doc->version;
	pthread_mutex_unlock(service->lock);
	res->detail = strdup(error ? error->message : "");
	ql_log(LOG_NOTICE, "config_offer", QL_STR("node", args->greeting.node),
	       QL_UINT("version", args->config_version),
	       QL_STR("error", ql_error_name(res->status)));
	g_clear_error(&error);
}

void ql_registrar_service_handle_exchange(ql_registrar_service_t *service,
					  const ql_rpc_exchange_args *args,
					  ql_rpc_exchange_res *res)
{
	if (!check_is_registrar(service, &res->status, &res->detail))
		return;
	pthread_mutex_lock(service->lock);
	tick(service);
	ql_exchange_handle_request(&service->registrar, args, res, now_ms());
	pthread_mutex_unlock(service->lock);
	if (res->status)
		log_refusal(&args->greeting, res->status);
}

static void log_failure(const char *event, const char *address, GError *error)
{
	ql_log(LOG_INFO, event, QL_STR("peer", address),
	       QL_STR("error", ql_error_name(error->code)),
	       QL_STR("detail", error->message));
	g_error_free(error);
}

static void call_peer(ql_registrar_service_t *service, size_t index)
{
	ql_rpc_exchange_args args = {0};
	ql_rpc_exchange_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_EXCHANGE,
		.encode = (xdrproc_t)xdr_ql_rpc_exchange_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_exchange_res,
		.result = &res,
	};
	GError *error = NULL;
	int ret;

	pthread_mutex_lock(service->lock);
	ql_exchange_fill_request(&service->exchange, index, &args);
	pthread_mutex_unlock(service->lock);
	args.greeting.clock = ql_hlc_tick(service->hlc, ql_clock_wall_ms());
	ret = ql_rpc_client_call(&service->peers[index], &call, &error);
	pthread_mutex_lock(service->lock);
	if (ret)
		ql_exchange_failed(&service->exchange, index, now_ms());
	else
		ql_exchange_handle_reply(&service->exchange, index, &res,
					 now_ms(), &error);
	save_withdrawals(service);
	pthread_mutex_unlock(service->lock);
	if (error)
		log_failure("exchange_failed", service->peers[index].address,
			    error);
	xdr_free((xdrproc_t)xdr_ql_rpc_exchange_res, &res);
	xdr_free((xdrproc_t)xdr_ql_rpc_exchange_args, &args);
}

static void *run_exchange_thread(void *data)
{
	ql_registrar_service_t *service = data;
	uint64_t delay_ms;
	int index;

	while (!is_stopping(service)) {
		pthread_mutex_lock(service->lock);
		index = ql_exchange_next_peer(&service->exchange, now_ms(),
					      &delay_ms);
		pthread_mutex_unlock(service->lock);
		if (index >= 0)
			call_peer(service, (size_t)index);
		else
			g_usleep(MIN(delay_ms, REGISTRAR_TICK_MS) *
				 QL_US_PER_MS);
	}
	return NULL;
}

static int apply_document(ql_registrar_service_t *service,
			  const ql_rpc_document_res *res, GError **error)
{
	bool_t whole = res->whole_document;
	u_int document_len = res->document.document_len;
	char *document_val = res->document.document_val;
	u_int changes_len = res->changes.changes_len;
	ql_rpc_change *changes_val = res->changes.changes_val;
	ql_config_reply_t reply = {&whole, &document_len, &document_val,
				   &changes_len, &changes_val};

	if (res->status)
		return ql_error_set(error, (ql_error_code_t)res->status, "%s",
				    res->detail);
	return ql_config_reply_apply(service->registrar.config, &reply,
				     res->config_version, error);
}

static int poll_replica(ql_registrar_service_t *service,
			ql_rpc_client_t *client, GError **error)
{
	const ql_settings_t *settings = service->settings;
	ql_greeting_sender_t sender = {
		.cluster = settings->cluster,
		.node = settings->node,
		.failure_domain = settings->failure_domain,
		.incarnation = service->incarnation,
	};
	ql_rpc_document_args args = {0};
	ql_rpc_document_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_DOCUMENT,
		.encode = (xdrproc_t)xdr_ql_rpc_document_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_document_res,
		.result = &res,
	};
	int ret;

	ql_greeting_fill(&args.greeting, &sender, service->hlc);
	pthread_mutex_lock(service->lock);
	args.known_version = service->registrar.config->doc->version;
	pthread_mutex_unlock(service->lock);
	ret = ql_rpc_client_call(client, &call, error);
	pthread_mutex_lock(service->lock);
	if (!ret)
		ret = apply_document(service, &res, error);
	if (!ret)
		ql_registrar_record_replica_answer(&service->registrar,
						   now_ms());
	pthread_mutex_unlock(service->lock);
	xdr_free((xdrproc_t)xdr_ql_rpc_document_res, &res);
	return ret;
}

/*
 * Polls one replica for changes of the configuration. Each poll goes to the
 * next replica, so that one that lags delays no more than its own poll.
 */
static void poll_next_replica(ql_registrar_service_t *service)
{
	size_t n = service->settings->n_replicas;
	ql_rpc_client_t *client;
	GError *error = NULL;

	if (service->settings->replica || !n)
		return;
	client = &service->replicas[service->next_replica++ % n];
	if (poll_replica(service, client, &error))
		log_failure("follow_failed", client->address, error);
}

static void *run_poll_thread(void *data)
{
	ql_registrar_service_t *service = data;
	uint64_t next_poll_ms = 0;

	while (!is_stopping(service)) {
		if (now_ms() >= next_poll_ms) {
			poll_next_replica(service);
			next_poll_ms =
				now_ms() +
				(uint64_t)(REPLICA_POLL_INTERVAL_MS *
					   g_random_double_range(
						   1 - REPLICA_POLL_JITTER,
						   1 + REPLICA_POLL_JITTER));
		}
		pthread_mutex_lock(service->lock);
		tick(service);
		pthread_mutex_unlock(service->lock);
		ql_ring_wait(&service->wake_ring, REGISTRAR_TICK_MS);
		while (ql_ring_pop(&service->wake_ring))
			next_poll_ms = 0;
	}
	return NULL;
}

static void init_clients(ql_registrar_service_t *service)
{
	const ql_settings_t *settings = service->settings;
	size_t i;

	for (i = 0; i < settings->n_replicas; i++)
		ql_rpc_client_init(&service->replicas[i], settings->replicas[i],
				   QL_CONTROL_PROGRAM, QL_CONTROL_V1,
				   REGISTRAR_CALL_TIMEOUT_MS);
	for (i = 0; i < settings->n_peers; i++)
		ql_rpc_client_init(&service->peers[i], settings->peers[i],
				   QL_CONTROL_PROGRAM, QL_CONTROL_V1,
				   REGISTRAR_CALL_TIMEOUT_MS);
}

static int init_store(ql_registrar_service_t *service, GError **error)
{
	const ql_settings_t *settings = service->settings;

	service->store.registrar = &service->registrar;
	service->store.lock = service->lock;
	return ql_withdrawal_store_init(&service->store, settings->data_folder,
					settings->replica, now_ms(), error);
}

int ql_registrar_service_init(ql_registrar_service_t *service,
			      ql_config_state_t *config, GError **error)
{
	const ql_settings_t *settings = service->settings;
	ql_registrar_opts_t opts = {
		.incarnation = service->incarnation,
		.started_ms = now_ms(),
		.lease_ms = (uint32_t)settings->lease_ms,
	};
	int ret = ql_ring_init(&service->wake_ring, WAKE_RING_ENTRIES, error);

	if (ret)
		return ret;
	memcpy(opts.cluster, settings->cluster, sizeof(opts.cluster));
	memcpy(opts.failure_domain, settings->failure_domain,
	       sizeof(opts.failure_domain));
	service->random = g_rand_new();
	service->has_store = settings->registrar && settings->data_folder[0];
	opts.saves_withdrawals = service->has_store;
	ql_registrar_init(&service->registrar, &opts, config);
	ql_exchange_init(&service->exchange, &service->registrar,
			 settings->node, settings->n_peers, service->random);
	init_clients(service);
	return service->has_store ? init_store(service, error) : 0;
}

void ql_registrar_service_start(ql_registrar_service_t *service)
{
	if (!service->settings->registrar)
		return;
	if (service->has_store)
		ql_withdrawal_store_start(&service->store);
	service->poll_thread = g_thread_new("follow", run_poll_thread, service);
	if (service->settings->n_peers || service->settings->n_seeds)
		service->exchange_thread =
			g_thread_new("exchange", run_exchange_thread, service);
}

void ql_registrar_service_stop(ql_registrar_service_t *service)
{
	__atomic_store_n(&service->stopping, 1, __ATOMIC_RELEASE);
	ql_ring_push(&service->wake_ring, service);
	if (service->poll_thread)
		g_thread_join(service->poll_thread);
	if (service->exchange_thread)
		g_thread_join(service->exchange_thread);
	if (service->has_store)
		ql_withdrawal_store_stop(&service->store);
}

void ql_registrar_service_finish(ql_registrar_service_t *service)
{
	size_t i;

	if (service->has_store)
		ql_withdrawal_store_finish(&service->store);
	for (i = 0; i < service->settings->n_replicas; i++)
		ql_rpc_client_finish(&service->replicas[i]);
	for (i = 0; i < service->settings->n_peers; i++)
		ql_rpc_client_finish(&service->peers[i]);
	ql_registrar_finish(&service->registrar);
	ql_ring_finish(&service->wake_ring);
	g_rand_free(service->random);
}

void ql_registrar_service_set_current(ql_registrar_service_t *service,
				      bool current)
{
	pthread_mutex_lock(service->lock);
	ql_registrar_set_current(&service->registrar, current);
	pthread_mutex_unlock(service->lock);
}

void ql_registrar_service_set_addresses(ql_registrar_service_t *service,
					char (*addresses)[QL_ADDRESS_MAX],
					size_t n_addresses)
{
	pthread_mutex_lock(service->lock);
	ql_registrar_set_addresses(&service->registrar, addresses, n_addresses);
	pthread_mutex_unlock(service->lock);
}

static bool is_known_peer(const ql_registrar_service_t *service,
			  const char *address)
{
	char own[QL_ADDRESS_MAX];
	size_t i;

	ql_address_format(own, service->settings->address,
			  (unsigned int)service->settings->control_port);
	if (!strcmp(own, address))
		return true;
	for (i = 0; i < service->exchange.n_peers; i++)
		if (!strcmp(service->peers[i].address, address))
			return true;
	return false;
}

void ql_registrar_service_add_peer(ql_registrar_service_t *service,
				   const char *address)
{
	pthread_mutex_lock(service->lock);
	if (!is_known_peer(service, address) &&
	    service->exchange.n_peers < QL_PEERS_MAX) {
		ql_rpc_client_init(&service->peers[service->exchange.n_peers],
				   address, QL_CONTROL_PROGRAM, QL_CONTROL_V1,
				   REGISTRAR_CALL_TIMEOUT_MS);
		ql_exchange_add_peer(&service->exchange, now_ms());
	}
	pthread_mutex_unlock(service->lock);
}

json_t *ql_registrar_service_report(ql_registrar_service_t *service)
{
	json_t *json;

	if (!service->settings->registrar)
		return NULL;
	pthread_mutex_lock(service->lock);
	json = ql_registrar_report(&service->registrar, now_ms());
	pthread_mutex_unlock(service->lock);
	return json;
}
