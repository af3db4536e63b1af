#include "node/lease_service.h"
#include "control/greeting.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

#define LEASE_CALL_TIMEOUT_MS 1000u
#define WAKE_RING_ENTRIES 16u
/*
 * Part of the lease of the API keys after which the proof of a registrar is
 * overdue: more than one in touch takes, and early enough to ask another one.
 */
#define PROOF_OVERDUE_DIVISOR 4u
#define MS_PER_S 1000u
#define NS_PER_MS 1000000L
#define NS_PER_S 1000000000L

/*
 * A renewal; @client is NULL while there is none. Until its end, its thread is
 * the only one that uses @client.
 */
typedef struct {
	int index;
	ql_rpc_client_t *client;
	uint64_t sent_boot_ms;
	ql_rpc_lease_args args;
} renewal_t;

static uint64_t now_ms(void)
{
	return ql_clock_now_us() / QL_US_PER_MS;
}

static bool is_leaving(const ql_lease_service_t *service)
{
	return __atomic_load_n(&service->leaving, __ATOMIC_ACQUIRE);
}

static bool is_stopping(const ql_lease_service_t *service)
{
	return __atomic_load_n(&service->stopping, __ATOMIC_ACQUIRE);
}

static void fill_endpoints(ql_lease_service_t *service, ql_rpc_lease_args *args)
{
	u_int i;

	args->endpoints.endpoints_val =
		calloc(QL_LOCAL_ENDPOINTS_MAX, sizeof(ql_rpc_endpoint));
	g_assert(args->endpoints.endpoints_val);
	args->endpoints.endpoints_len =
		service->describe_endpoints(service->describe_endpoints_data,
					    args->endpoints.endpoints_val);
	args->leaving = is_leaving(service);
	if (args->leaving)
		for (i = 0; i < args->endpoints.endpoints_len; i++)
			args->endpoints.endpoints_val[i].state =
				QL_RPC_ENDPOINT_LEAVING;
}

static void init_client(ql_rpc_client_t *client, const char *address)
{
	ql_rpc_client_init(client, address, QL_CONTROL_PROGRAM, QL_CONTROL_V1,
			   LEASE_CALL_TIMEOUT_MS);
}

/*
 * Returns the connection to a registrar. It is opened anew when the membership
 * has replaced the registrar at this index. The caller holds @lock, and no
 * renewal is in flight at the index.
 */
static ql_rpc_client_t *get_client(ql_lease_service_t *service, int index)
{
	ql_rpc_client_t *client = &service->clients[index];
	const char *address = service->member.opts.registrars[index];

	if (strcmp(client->address, address) != 0) {
		ql_rpc_client_finish(client);
		init_client(client, address);
	}
	return client;
}

/* The caller holds @lock. */
static void signal_saved(ql_lease_service_t *service)
{
	if (ql_member_is_withdrawal_saved(&service->member))
		pthread_cond_broadcast(&service->saved);
}

/*
 * Handles the reply to a renewal and logs a version that it brings.
 * The caller holds @lock.
 */
static int handle_lease_reply(ql_lease_service_t *service,
			      const renewal_t *renewal,
			      const ql_rpc_lease_res *res, GError **error)
{
	ql_member_t *member = &service->member;
	uint64_t before = member->config.doc->version;
	uint64_t stale_ms = ql_member_stale_ms(member, now_ms());
	int ret = ql_member_handle_lease_reply(member, renewal->index, res,
					       now_ms(), error);

	if (!ret)
		ql_member_take_proof(member, res, renewal->sent_boot_ms);
	if (member->config.doc->version != before)
		ql_log(LOG_NOTICE, "config_received",
		       QL_UINT("version", member->config.doc->version),
		       QL_STR("registrar", renewal->client->address),
		       QL_UINT("stale_ms", stale_ms));
	return ret;
}

/*
 * Chooses the registrar of a renewal that is due; returns false when none is,
 * with the time until then. The caller holds @turn.
 */
static bool begin_renewal(ql_lease_service_t *service, renewal_t *renewal,
			  uint32_t *delay_ms)
{
	bool wanted =
		__atomic_exchange_n(&service->renew_now, 0, __ATOMIC_ACQ_REL);
	ql_member_t *member = &service->member;
	int index = -1;

	pthread_mutex_lock(&service->lock);
	*delay_ms = ql_member_renewal_delay_ms(member, now_ms());
	if (wanted || !*delay_ms)
		index = ql_member_next_registrar(member, now_ms());
	if (index >= 0) {
		renewal->index = index;
		renewal->client = get_client(service, index);
		renewal->sent_boot_ms = ql_clock_boot_ms();
		ql_member_begin_renewal(member, index, now_ms());
		signal_saved(service);
	}
	pthread_mutex_unlock(&service->lock);
	if (index < 0 && wanted)
		__atomic_store_n(&service->renew_now, 1, __ATOMIC_RELEASE);
	return index >= 0;
}

/*
 * Writes the request of a renewal that has begun. The caller holds @turn, so
 * that a later request has the later state of the endpoints.
 */
static void fill_renewal(ql_lease_service_t *service, renewal_t *renewal)
{
	fill_endpoints(service, &renewal->args);
	pthread_mutex_lock(&service->lock);
	ql_member_fill_lease(&service->member, renewal->index, &renewal->args);
	pthread_mutex_unlock(&service->lock);
}

static int call_lease(ql_lease_service_t *service, renewal_t *renewal,
		      GError **error)
{
	ql_rpc_lease_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_LEASE,
		.encode = (xdrproc_t)xdr_ql_rpc_lease_args,
		.args = &renewal->args,
		.decode = (xdrproc_t)xdr_ql_rpc_lease_res,
		.result = &res,
	};
	int ret;

	renewal->args.greeting.clock =
		ql_hlc_tick(service->hlc, ql_clock_wall_ms());
	ret = ql_rpc_client_call(renewal->client, &call, error);
	pthread_mutex_lock(&service->lock);
	if (ret)
		ql_member_lease_failed(&service->member, renewal->index,
				       now_ms());
	else
		ret = handle_lease_reply(service, renewal, &res, error);
	signal_saved(service);
	pthread_mutex_unlock(&service->lock);
	if (res.clock)
		ql_hlc_observe(service->hlc, res.clock, ql_clock_wall_ms());
	xdr_free((xdrproc_t)xdr_ql_rpc_lease_res, &res);
	return ret;
}

static void renew_lease(ql_lease_service_t *service, renewal_t *renewal)
{
	char address[QL_ADDRESS_MAX];
	GError *error = NULL;

	/* After the call, another thread may use the connection. */
	g_strlcpy(address, renewal->client->address, sizeof(address));
	ql_counter_increment(service->counters, QL_COUNT_LEASES_SENT);
	if (!call_lease(service, renewal, &error))
		return;
	ql_counter_increment(service->counters, QL_COUNT_LEASES_FAILED);
	if (error->code == QL_E_TIMEOUT)
		ql_counter_increment(service->counters,
				     QL_COUNT_LEASES_TIMED_OUT);
	ql_log(LOG_WARNING, "lease_failed", QL_STR("registrar", address),
	       QL_STR("error", ql_error_name(error->code)),
	       QL_STR("detail", error->message));
	g_error_free(error);
}

static int call_offer(ql_rpc_client_t *client, const ql_rpc_offer_args *args,
		      GError **error)
{
	ql_rpc_offer_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_OFFER,
		.encode = (xdrproc_t)xdr_ql_rpc_offer_args,
		.args = args,
		.decode = (xdrproc_t)xdr_ql_rpc_offer_res,
		.result = &res,
	};
	int ret = ql_rpc_client_call(client, &call, error);

	if (!ret && res.status)
		ret = ql_error_set(error, (ql_error_code_t)res.status, "%s",
				   res.detail);
	xdr_free((xdrproc_t)xdr_ql_rpc_offer_res, &res);
	return ret;
}

/*
 * Sends the document to a registrar that has an older one. It has a connection
 * of its own, as a renewal may be in flight on the other one.
 */
static void offer_document(ql_lease_service_t *service)
{
	ql_rpc_offer_args args = {0};
	ql_rpc_client_t client;
	GError *error = NULL;
	int index, ret;

	pthread_mutex_lock(&service->lock);
	index = ql_member_fill_offer(&service->member, &args);
	if (index >= 0)
		init_client(&client, service->member.opts.registrars[index]);
	pthread_mutex_unlock(&service->lock);
	if (index < 0)
		return;
	args.greeting.clock = ql_hlc_tick(service->hlc, ql_clock_wall_ms());
	ret = call_offer(&client, &args, &error);
	ql_log(LOG_NOTICE, ret ? "config_offer_failed" : "config_offered",
	       QL_STR("registrar", client.address),
	       QL_UINT("version", args.config_version),
	       QL_STR("error", ql_error_name(ret)));
	g_clear_error(&error);
	ql_rpc_client_finish(&client);
	xdr_free((xdrproc_t)xdr_ql_rpc_offer_args, &args);
}

static int fetch_document(ql_lease_service_t *service, ql_rpc_client_t *client,
			  GError **error)
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
	ret = ql_rpc_client_call(client, &call, error);
	if (!ret) {
		pthread_mutex_lock(&service->lock);
		ret = ql_member_handle_document_reply(&service->member, &res,
						      now_ms(), error);
		pthread_mutex_unlock(&service->lock);
	}
	xdr_free((xdrproc_t)xdr_ql_rpc_document_res, &res);
	return ret;
}

/* Returns the next neighbour if one has to be asked and none is being asked. */
static ql_rpc_client_t *begin_neighbour_query(ql_lease_service_t *service)
{
	size_t n = service->settings->n_neighbours;
	ql_rpc_client_t *client = NULL;

	pthread_mutex_lock(&service->lock);
	if (n && !service->neighbour_asked &&
	    ql_member_needs_neighbour(&service->member, now_ms())) {
		client = &service->neighbours[service->next_neighbour++ % n];
		service->neighbour_asked = true;
	}
	pthread_mutex_unlock(&service->lock);
	return client;
}

/*
 * Fetches the document from another node of the failure domain when no
 * registrar answers at the start.
 */
static void query_neighbour(ql_lease_service_t *service)
{
	ql_rpc_client_t *client = begin_neighbour_query(service);
	GError *error = NULL;
	int ret;

	if (!client)
		return;
	ret = fetch_document(service, client, &error);
	ql_log(LOG_NOTICE, "neighbour_asked", QL_STR("peer", client->address),
	       QL_STR("error", ql_error_name(ret)));
	g_clear_error(&error);
	pthread_mutex_lock(&service->lock);
	service->neighbour_asked = false;
	pthread_mutex_unlock(&service->lock);
}

/* The caller holds @turn. */
static void wait_for_turn(ql_lease_service_t *service, uint32_t delay_ms)
{
	ql_ring_wait(&service->wake_ring, (int)delay_ms);
	while (ql_ring_pop(&service->wake_ring))
		;
}

/* Ends the wait of the thread that holds @turn. */
static void end_wait(ql_lease_service_t *service)
{
	/* A full ring means that a wake-up is pending already. */
	ql_ring_push(&service->wake_ring, service);
}

/* Waits for a renewal that is due and sends it. */
static void run_turn(ql_lease_service_t *service)
{
	renewal_t renewal = {0};
	uint32_t delay_ms;

	pthread_mutex_lock(&service->turn);
	if (!is_stopping(service)) {
		if (begin_renewal(service, &renewal, &delay_ms))
			fill_renewal(service, &renewal);
		else
			wait_for_turn(service, delay_ms);
	}
	pthread_mutex_unlock(&service->turn);
	if (renewal.client) {
		renew_lease(service, &renewal);
		end_wait(service);
		offer_document(service);
		xdr_free((xdrproc_t)xdr_ql_rpc_lease_args, &renewal.args);
	}
	query_neighbour(service);
}

static void *run_lease_thread(void *data)
{
	ql_lease_service_t *service = data;

	while (!is_stopping(service))
		run_turn(service);
	return NULL;
}

static void init_clients(ql_lease_service_t *service)
{
	const ql_settings_t *settings = service->settings;
	size_t i;

	for (i = 0; i < settings->n_registrars; i++)
		init_client(&service->clients[i], settings->registrars[i]);
	for (i = 0; i < settings->n_neighbours; i++)
		init_client(&service->neighbours[i], settings->neighbours[i]);
}

static void finish_clients(ql_lease_service_t *service)
{
	size_t i;

	for (i = 0; i < QL_REGISTRARS_MAX; i++)
		ql_rpc_client_finish(&service->clients[i]);
	for (i = 0; i < service->settings->n_neighbours; i++)
		ql_rpc_client_finish(&service->neighbours[i]);
}

/* Makes the waits on @saved follow the monotonic clock. */
static void init_saved(ql_lease_service_t *service)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&service->saved, &attributes);
	pthread_condattr_destroy(&attributes);
}

static void init_member(ql_lease_service_t *service, const ql_member_ops_t *ops,
			void *ops_data)
{
	const ql_settings_t *settings = service->settings;
	ql_member_opts_t opts = {
		.incarnation = service->incarnation,
		.started_ms = now_ms(),
		.n_registrars = settings->n_registrars,
		.renew_ms = (uint32_t)settings->renew_ms,
	};

	/* Without a fresh proof, requests with API keys are refused. */
	if (settings->key_lease_ms) {
		opts.backoff_max_ms = opts.renew_ms;
		opts.proof_max_ms = (uint32_t)settings->key_lease_ms /
				    PROOF_OVERDUE_DIVISOR;
	}
	memcpy(opts.cluster, settings->cluster, sizeof(opts.cluster));
	memcpy(opts.node, settings->node, sizeof(opts.node));
	memcpy(opts.failure_domain, settings->failure_domain,
	       sizeof(opts.failure_domain));
	memcpy(opts.registrars, settings->registrars, sizeof(opts.registrars));
	service->random = g_rand_new();
	pthread_mutex_init(&service->lock, NULL);
	pthread_mutex_init(&service->turn, NULL);
	init_saved(service);
	ql_member_init(&service->member, &opts, ops, ops_data, service->random);
	if (settings->role == QL_ROLE_NODE)
		ql_member_track_withdrawals(&service->member,
					    settings->endpoint.service,
					    settings->listen.gate);
}

int ql_lease_service_init(ql_lease_service_t *service,
			  const ql_member_ops_t *ops, void *ops_data,
			  GError **error)
{
	int ret = ql_ring_init(&service->wake_ring, WAKE_RING_ENTRIES, error);

	if (ret)
		return ret;
	init_member(service, ops, ops_data);
	init_clients(service);
	return 0;
}

void ql_lease_service_start(ql_lease_service_t *service)
{
	size_t i;

	for (i = 0; i < QL_LEASE_THREADS; i++)
		service->threads[i] =
			g_thread_new("lease", run_lease_thread, service);
}

void ql_lease_service_wake(ql_lease_service_t *service)
{
	__atomic_store_n(&service->renew_now, 1, __ATOMIC_RELEASE);
	end_wait(service);
}

void ql_lease_service_leave(ql_lease_service_t *service)
{
	__atomic_store_n(&service->leaving, 1, __ATOMIC_RELEASE);
	pthread_mutex_lock(&service->lock);
	ql_member_leave(&service->member);
	pthread_mutex_unlock(&service->lock);
	end_wait(service);
}

void ql_lease_service_withdraw(ql_lease_service_t *service,
			       const ql_withdrawal_t *withdrawal)
{
	pthread_mutex_lock(&service->lock);
	ql_member_withdraw(&service->member, withdrawal);
	pthread_mutex_unlock(&service->lock);
	ql_lease_service_wake(service);
}

static struct timespec deadline_after(uint32_t timeout_ms)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	at.tv_sec += timeout_ms / MS_PER_S;
	at.tv_nsec += (long)(timeout_ms % MS_PER_S) * NS_PER_MS;
	if (at.tv_nsec >= NS_PER_S) {
		at.tv_sec++;
		at.tv_nsec -= NS_PER_S;
	}
	return at;
}

bool ql_lease_service_wait_saved(ql_lease_service_t *service,
				 uint32_t timeout_ms)
{
	struct timespec at = deadline_after(timeout_ms);
	bool saved;
	int ret = 0;

	pthread_mutex_lock(&service->lock);
	while (!(saved = ql_member_is_withdrawal_saved(&service->member)) &&
	       !ret)
		ret = pthread_cond_timedwait(&service->saved, &service->lock,
					     &at);
	pthread_mutex_unlock(&service->lock);
	return saved;
}

void ql_lease_service_observe_version(ql_lease_service_t *service,
				      uint64_t version)
{
	bool renew_now;

	pthread_mutex_lock(&service->lock);
	renew_now =
		ql_member_observe_version(&service->member, version, now_ms());
	pthread_mutex_unlock(&service->lock);
	if (renew_now)
		ql_lease_service_wake(service);
}

void ql_lease_service_add_registrar(ql_lease_service_t *service,
				    const char *address)
{
	pthread_mutex_lock(&service->lock);
	ql_member_add_registrar(&service->member, address);
	pthread_mutex_unlock(&service->lock);
	ql_lease_service_wake(service);
}

void ql_lease_service_follow_service(ql_lease_service_t *service,
				     const char *name)
{
	bool renew_now;

	pthread_mutex_lock(&service->lock);
	renew_now = ql_member_follow_service(&service->member, name);
	pthread_mutex_unlock(&service->lock);
	if (renew_now)
		ql_lease_service_wake(service);
}

json_t *ql_lease_service_report(ql_lease_service_t *service)
{
	const ql_member_t *member = &service->member;
	json_t *json;

	pthread_mutex_lock(&service->lock);
	json = json_pack("{s:s, s:s, s:I, s:I, s:I, s:b, s:i, s:i}", "node",
			 service->settings->node, "failure_domain",
			 service->settings->failure_domain, "config_version",
			 (json_int_t)member->config.doc->version,
			 "seen_version",
			 (json_int_t)MAX(member->seen_version,
					 member->config.doc->version),
			 "stale_ms",
			 (json_int_t)ql_member_stale_ms(member, now_ms()),
			 "asked", member->config_confirmed, "services_followed",
			 (int)g_hash_table_size(member->interest),
			 "endpoints_known",
			 (int)g_hash_table_size(member->endpoints));
	pthread_mutex_unlock(&service->lock);
	return json;
}

void ql_lease_service_stop(ql_lease_service_t *service)
{
	size_t i;

	__atomic_store_n(&service->stopping, 1, __ATOMIC_RELEASE);
	end_wait(service);
	for (i = 0; i < QL_LEASE_THREADS; i++)
		g_thread_join(service->threads[i]);
}

void ql_lease_service_finish(ql_lease_service_t *service)
{
	finish_clients(service);
	ql_member_finish(&service->member);
	ql_ring_finish(&service->wake_ring);
	g_rand_free(service->random);
	pthread_cond_destroy(&service->saved);
	pthread_mutex_destroy(&service->turn);
	pthread_mutex_destroy(&service->lock);
}
