#include "node/claim_peer.h"
#include "control/greeting.h"
#include "control/rpc_client.h"
#include "node/claim_codec.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <string.h>

/* Maximum number of queued messages to a keeper. */
#define JOB_RING_ENTRIES 4096u
/* Longest wait for a message, and thus until an idle thread sees a stop. */
#define JOB_WAIT_MS 100
#define KEEPER_CALL_TIMEOUT_MS 250u
/* Time after a failed batch during which all messages fail at once. */
#define KEEPER_RETRY_PAUSE_US (200 * QL_US_PER_MS)

/* Connection to one keeper; only its thread uses client and retry_at_us. */
struct ql_claim_peer {
	ql_claim_service_t *service;
	ql_rpc_client_t client;
	ql_ring_t jobs;
	uint64_t retry_at_us;
	GThread *thread;
};

/* Jobs that are sent in one call. */
typedef struct {
	ql_claim_job_t *jobs[QL_RPC_CLAIM_BATCH_MAX];
	u_int n_jobs;
} batch_t;

static bool is_stopping(const ql_claim_peer_t *peer)
{
	return __atomic_load_n(&peer->service->stopping, __ATOMIC_ACQUIRE);
}

static void fail_batch(batch_t *batch)
{
	u_int i;

	for (i = 0; i < batch->n_jobs; i++)
		ql_claim_job_complete(batch->jobs[i], NULL);
}

static void complete_job(ql_claim_job_t *job, const ql_rpc_claim_reply *wire)
{
	ql_claim_reply_t reply;

	if (ql_claim_decode_reply(&reply, wire)) {
		ql_claim_job_complete(job, NULL);
		return;
	}
	ql_claim_job_complete(job, &reply);
}

static void fill_greeting(const ql_claim_peer_t *peer,
			  ql_rpc_greeting *greeting)
{
	const ql_claim_service_opts_t *opts = &peer->service->opts;
	ql_greeting_sender_t sender = {
		.cluster = opts->cluster,
		.node = opts->node,
		.failure_domain = opts->failure_domain,
		.incarnation = opts->incarnation,
	};

	ql_greeting_fill(greeting, &sender, opts->hlc);
}

static int call_keeper(ql_claim_peer_t *peer, const batch_t *batch,
		       ql_rpc_claim_res *res, GError **error)
{
	ql_rpc_claim_request requests[QL_RPC_CLAIM_BATCH_MAX];
	ql_rpc_claim_args args = {0};
	ql_rpc_call_t call = {
		.procedure = QL_CLAIM,
		.encode = (xdrproc_t)(void (*)(void))xdr_ql_rpc_claim_args,
		.args = &args,
		.decode = (xdrproc_t)(void (*)(void))xdr_ql_rpc_claim_res,
		.result = res,
	};
	u_int i;

	for (i = 0; i < batch->n_jobs; i++)
		ql_claim_encode_request(&requests[i], &batch->jobs[i]->request);
	args.requests.requests_val = requests;
	args.requests.requests_len = batch->n_jobs;
	fill_greeting(peer, &args.greeting);
	return ql_rpc_client_call(&peer->client, &call, error);
}

/* Logs a failed batch and fails all messages until the pause has passed. */
static void record_failure(ql_claim_peer_t *peer, const char *detail)
{
	__atomic_add_fetch(&peer->service->failed_batches, 1, __ATOMIC_RELAXED);
	peer->retry_at_us = ql_clock_now_us() + KEEPER_RETRY_PAUSE_US;
	ql_log(LOG_WARNING, "keeper_failed",
	       QL_STR("address", peer->client.address),
	       QL_STR("detail", detail));
}

/* Sends a batch to the keeper and completes its jobs. */
static void exchange_batch(ql_claim_peer_t *peer, batch_t *batch)
{
	ql_rpc_claim_res res = {0};
	GError *error = NULL;
	int ret;
	u_int i;

	if (ql_clock_now_us() < peer->retry_at_us) {
		fail_batch(batch);
		return;
	}
	ret = call_keeper(peer, batch, &res, &error);
	if (ret || res.status || res.replies.replies_len != batch->n_jobs) {
		record_failure(peer, error ? error->message
					   : ql_error_name(res.status));
		fail_batch(batch);
	} else {
		ql_hlc_observe(peer->service->opts.hlc, res.clock,
			       ql_clock_wall_ms());
		for (i = 0; i < batch->n_jobs; i++)
			complete_job(batch->jobs[i],
				     &res.replies.replies_val[i]);
	}
	g_clear_error(&error);
	xdr_free((xdrproc_t)(void (*)(void))xdr_ql_rpc_claim_res, &res);
}

static void take_batch(ql_claim_peer_t *peer, batch_t *batch)
{
	ql_claim_job_t *job;

	batch->n_jobs = 0;
	while (batch->n_jobs < QL_RPC_CLAIM_BATCH_MAX &&
	       (job = ql_ring_pop(&peer->jobs)))
		batch->jobs[batch->n_jobs++] = job;
}

static void *run_peer(void *data)
{
	ql_claim_peer_t *peer = data;
	batch_t batch;

	while (!is_stopping(peer)) {
		take_batch(peer, &batch);
		if (batch.n_jobs)
			exchange_batch(peer, &batch);
		else
			ql_ring_wait(&peer->jobs, JOB_WAIT_MS);
	}
	return NULL;
}

ql_claim_peer_t *ql_claim_peer_new(ql_claim_service_t *service,
				   const char *address)
{
	ql_claim_peer_t *peer = g_new0(ql_claim_peer_t, 1);

	peer->service = service;
	if (ql_ring_init(&peer->jobs, JOB_RING_ENTRIES, NULL)) {
		g_free(peer);
		return NULL;
	}
	ql_rpc_client_init(&peer->client, address, QL_CLAIM_PROGRAM,
			   QL_CLAIM_V1, KEEPER_CALL_TIMEOUT_MS);
	peer->thread = g_thread_new("claims", run_peer, peer);
	return peer;
}

void ql_claim_peer_free(ql_claim_peer_t *peer)
{
	batch_t batch;

	g_thread_join(peer->thread);
	for (take_batch(peer, &batch); batch.n_jobs; take_batch(peer, &batch))
		fail_batch(&batch);
	ql_rpc_client_finish(&peer->client);
	ql_ring_finish(&peer->jobs);
	g_free(peer);
}

void ql_claim_peer_post(ql_claim_peer_t *peer, ql_claim_job_t *job)
{
	if (ql_ring_push(&peer->jobs, job))
		ql_claim_job_complete(job, NULL);
}
