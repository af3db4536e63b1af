#include "node/quota_client.h"
#include "control/greeting.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

#define RING_ENTRIES 4u
/* An answer that comes later than the validity is worth nothing. */
#define CALL_TIMEOUT_MS (QL_QUOTA_VALIDITY_US / QL_US_PER_MS)
/* Time from a failed call to the next one. */
#define RETRY_US (50 * QL_US_PER_MS)
/* Longest sleep of the thread before it looks whether it has to end. */
#define POLL_MS 1000
/* Pause when the job queue of the loop is full. */
#define POST_RETRY_US 1000

/* A call to make. */
typedef struct {
	ql_quota_team_ask_t asked[QL_QUOTA_ASKS_MAX];
	size_t n_asked;
} ask_t;

/* An answer for the loop; @status and @peer are those of the last call. */
typedef struct {
	ql_loop_job_t job;
	ql_front_t *front;
	int status;
	char peer[QL_ADDRESS_MAX];
	uint64_t retry_us;
	uint64_t validity_us;
	ql_quota_grant_t grants[QL_QUOTA_ASKS_MAX];
	size_t n_grants;
} answer_t;

static bool is_stopping(const ql_quota_client_t *client)
{
	return __atomic_load_n(&client->stopping, __ATOMIC_ACQUIRE);
}

static void run_answer(ql_loop_job_t *job)
{
	answer_t *answer = (answer_t *)job;

	if (answer->status)
		ql_front_quota_failed(answer->front, answer->retry_us);
	else
		ql_front_quota_answered(answer->front, answer->grants,
					answer->n_grants, answer->validity_us);
	g_free(answer);
}

static void connect_to(ql_quota_client_t *client, const char *address)
{
	ql_rpc_client_finish(&client->rpc);
	ql_rpc_client_init(&client->rpc, address, QL_CONTROL_PROGRAM,
			   QL_CONTROL_V1, CALL_TIMEOUT_MS);
}

static void connect_to_next_registrar(ql_quota_client_t *client)
{
	char address[QL_ADDRESS_MAX] = "";
	ql_lease_service_t *lease = client->lease;
	const ql_member_opts_t *opts = &lease->member.opts;

	pthread_mutex_lock(&lease->lock);
	if (opts->n_registrars)
		g_strlcpy(address,
			  opts->registrars[client->next_registrar++ %
					   opts->n_registrars],
			  sizeof(address));
	pthread_mutex_unlock(&lease->lock);
	connect_to(client, address);
}

static void fill_args(ql_quota_client_t *client, ask_t *ask,
		      ql_rpc_quota_args *args, ql_rpc_quota_ask *asks)
{
	const ql_settings_t *settings = client->settings;
	ql_greeting_sender_t sender = {
		.cluster = settings->cluster,
		.node = settings->node,
		.failure_domain = settings->failure_domain,
		.incarnation = client->incarnation,
	};
	size_t i;

	ql_greeting_fill(&args->greeting, &sender, client->hlc);
	args->asks.asks_val = asks;
	args->asks.asks_len = (u_int)ask->n_asked;
	for (i = 0; i < ask->n_asked; i++) {
		asks[i].team = ask->asked[i].team;
		asks[i].least = ask->asked[i].ask.least;
		asks[i].more = ask->asked[i].ask.more;
	}
}

static void copy_grants(answer_t *answer, const ql_rpc_quota_res *res)
{
	const ql_rpc_quota_grant *in = res->grants.grants_val;
	size_t n = MIN(res->grants.grants_len, QL_QUOTA_ASKS_MAX);
	size_t i;

	answer->n_grants = n;
	answer->validity_us = res->valid_ms * QL_US_PER_MS;
	for (i = 0; i < n; i++)
		answer->grants[i] = (ql_quota_grant_t){
			.granted = in[i].granted,
			.wait_us = in[i].wait_us,
			.unlimited = in[i].unlimited,
		};
}

/*
 * Makes a call. Returns true if another replica is to be asked at once, as the
 * one that was asked has named it as the leader.
 */
static bool call_once(ql_quota_client_t *client, ask_t *ask, answer_t *answer)
{
	ql_rpc_quota_ask asks[QL_QUOTA_ASKS_MAX];
	ql_rpc_quota_args args = {0};
	ql_rpc_quota_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_QUOTA,
		.encode = (xdrproc_t)xdr_ql_rpc_quota_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_quota_res,
		.result = &res,
	};
	bool redirected = false;

	fill_args(client, ask, &args, asks);
	g_strlcpy(answer->peer, client->rpc.address, sizeof(answer->peer));
	answer->retry_us = RETRY_US;
	answer->status = ql_rpc_client_call(&client->rpc, &call, NULL);
	if (!answer->status) {
		ql_hlc_observe(client->hlc, res.clock, ql_clock_wall_ms());
		answer->status = res.status;
		if (res.status == QL_E_PENDING)
			answer->retry_us = MIN(res.retry_ms * QL_US_PER_MS,
					       QL_QUOTA_PERMIT_US);
		copy_grants(answer, &res);
		redirected = res.status == QL_E_NOT_LEADER && res.leader[0] &&
			     strcmp(res.leader, client->rpc.address) != 0;
	}
	if (redirected)
		connect_to(client, res.leader);
	else if (answer->status && answer->status != QL_E_PENDING)
		connect_to_next_registrar(client);
	xdr_free((xdrproc_t)xdr_ql_rpc_quota_res, &res);
	return redirected;
}

static void make_call(ql_quota_client_t *client, ask_t *ask)
{
	answer_t *answer = g_new0(answer_t, 1);

	answer->job.run = run_answer;
	answer->front = client->front;
	if (!client->rpc.address[0])
		connect_to_next_registrar(client);
	if (call_once(client, ask, answer))
		call_once(client, ask, answer);
	if (answer->status)
		ql_log(LOG_INFO, "quota_ask_failed",
		       QL_STR("peer", answer->peer),
		       QL_STR("error", ql_error_name(answer->status)));
	/* The wallet waits for the answer before it asks again. */
	while (ql_loop_post(client->loop, &answer->job))
		g_usleep(POST_RETRY_US);
}

static void *run_client(void *data)
{
	ql_quota_client_t *client = data;
	ask_t *ask;

	while (!is_stopping(client)) {
		ql_ring_wait(&client->asks, POLL_MS);
		while ((ask = ql_ring_pop(&client->asks))) {
			if ((void *)ask == client)
				continue;
			make_call(client, ask);
			g_free(ask);
		}
	}
	return NULL;
}

int ql_quota_client_init(ql_quota_client_t *client, GError **error)
{
	pthread_mutex_init(&client->lock, NULL);
	return ql_ring_init(&client->asks, RING_ENTRIES, error);
}

void ql_quota_client_ask(ql_quota_client_t *client,
			 const ql_quota_wallet_t *wallet)
{
	ask_t *ask;

	/* Without an answer the requests that wait are refused in time. */
	pthread_mutex_lock(&client->lock);
	if (!is_stopping(client) && !client->thread)
		client->thread = g_thread_new("quota", run_client, client);
	pthread_mutex_unlock(&client->lock);
	if (is_stopping(client))
		return;
	ask = g_new(ask_t, 1);
	ask->n_asked = wallet->n_asked;
	memcpy(ask->asked, wallet->asked,
	       wallet->n_asked * sizeof(*ask->asked));
	/* There is one call at a time, so the ring has room. */
	if (ql_ring_push(&client->asks, ask))
		g_free(ask);
}

void ql_quota_client_stop(ql_quota_client_t *client)
{
	GThread *thread;

	pthread_mutex_lock(&client->lock);
	__atomic_store_n(&client->stopping, 1, __ATOMIC_RELEASE);
	thread = client->thread;
	pthread_mutex_unlock(&client->lock);
	/* A full ring means that a call wakes the thread. */
	ql_ring_push(&client->asks, client);
	if (thread)
		g_thread_join(thread);
	ql_rpc_client_finish(&client->rpc);
}

void ql_quota_client_finish(ql_quota_client_t *client)
{
	void *ask;

	while ((ask = ql_ring_pop(&client->asks)))
		if (ask != client)
			g_free(ask);
	ql_ring_finish(&client->asks);
	pthread_mutex_destroy(&client->lock);
}
