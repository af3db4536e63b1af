#include "node/claim_service.h"
#include "control/greeting.h"
#include "node/claim_codec.h"
#include "node/claim_peer.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"
#include "quetzalloft/thread.h"

#include <string.h>

/* Time to wait for late replies to a step before continuing without them. */
#define STRAGGLER_WAIT_US (20 * QL_US_PER_MS)
/* The random backoff before prepared round n is shorter than n times this. */
#define ROUND_BACKOFF_US (2 * QL_US_PER_MS)

/*
 * A claim, shared by its caller and the messages to the keepers. The lock
 * guards the claim and must_send; action_ready is signalled when the claim has
 * a message to send or has ended.
 */
struct ql_claim_session {
	uint32_t references;
	ql_document_t *doc;
	ql_key_keepers_t keepers;
	pthread_mutex_t lock;
	pthread_cond_t action_ready;
	ql_claim_t claim;
	GBytes *answer;
	bool must_send;
};

static void free_peer(void *data)
{
	if (data)
		ql_claim_peer_free(data);
}

void ql_claim_service_init(ql_claim_service_t *service,
			   const ql_claim_service_opts_t *opts)
{
	ql_keeper_opts_t keeper_opts = {
		.rules = &ql_claim_rules,
		.keys_max = opts->keys_max,
		.answers_max_bytes = opts->answers_max_bytes,
	};

	memset(service, 0, sizeof(*service));
	service->opts = *opts;
	pthread_mutex_init(&service->keeper_lock, NULL);
	pthread_mutex_init(&service->lock, NULL);
	ql_keeper_init(&service->keeper, &keeper_opts, ql_clock_now_us());
	service->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_peer);
	service->random = g_rand_new();
}

void ql_claim_service_finish(ql_claim_service_t *service)
{
	__atomic_store_n(&service->stopping, 1, __ATOMIC_RELEASE);
	g_hash_table_destroy(service->peers);
	g_rand_free(service->random);
	ql_keeper_finish(&service->keeper);
	pthread_mutex_destroy(&service->lock);
	pthread_mutex_destroy(&service->keeper_lock);
}

/*
 * Applies the retention time of the document in force. Returns false if the
 * document has no keepers and thus no retention time.
 */
static bool update_retention(ql_claim_service_t *service)
{
	ql_document_t *doc = service->opts.document(service->opts.data);
	bool has_keepers = doc->keepers.slots.n_slots;

	if (has_keepers)
		ql_keeper_set_retention(&service->keeper,
					doc->keepers.retention_ms *
						QL_US_PER_MS);
	ql_document_unref(doc);
	return has_keepers;
}

static void handle_request(ql_claim_service_t *service,
			   const ql_rpc_claim_request *wire,
			   ql_rpc_claim_reply *out)
{
	ql_claim_reply_t reply = {.status = QL_CLAIM_ABSTAINED};
	ql_claim_request_t request;

	if (ql_claim_decode_request(&request, wire))
		reply.status = QL_CLAIM_REJECTED;
	else
		ql_keeper_handle(&service->keeper, &request, &reply,
				 ql_clock_now_us() +
					 service->opts.clock_offset_us);
	ql_claim_encode_reply(out, &reply);
	if (request.answer)
		g_bytes_unref(request.answer);
}

static void handle_batch(void *data, const void *args_data, void *result)
{
	ql_claim_service_t *service = data;
	const ql_rpc_claim_args *args = args_data;
	ql_rpc_claim_res *res = result;
	ql_rpc_claim_reply abstention = {.status = QL_CLAIM_ABSTAINED};
	bool has_keepers;
	u_int i;

	res->clock = ql_hlc_tick(service->opts.hlc, ql_clock_wall_ms());
	res->status = ql_greeting_check(&args->greeting, service->opts.cluster,
					&res->detail);
	if (!res->detail)
		res->detail = strdup("");
	if (res->status)
		return;
	res->replies.replies_len = args->requests.requests_len;
	res->replies.replies_val = calloc(args->requests.requests_len + 1,
					  sizeof(ql_rpc_claim_reply));
	g_assert(res->replies.replies_val);
	pthread_mutex_lock(&service->keeper_lock);
	has_keepers = update_retention(service);
	for (i = 0; i < args->requests.requests_len; i++)
		if (has_keepers)
			handle_request(service, &args->requests.requests_val[i],
				       &res->replies.replies_val[i]);
		else
			res->replies.replies_val[i] = abstention;
	pthread_mutex_unlock(&service->keeper_lock);
}

static const ql_rpc_procedure_t procedures[] = {
	{QL_CLAIM, (xdrproc_t)(void (*)(void))xdr_ql_rpc_claim_args,
	 (xdrproc_t)(void (*)(void))xdr_ql_rpc_claim_res,
	 sizeof(ql_rpc_claim_args), sizeof(ql_rpc_claim_res), handle_batch},
};

void ql_claim_service_program(ql_rpc_program_t *program,
			      ql_claim_service_t *service)
{
	program->number = QL_CLAIM_PROGRAM;
	program->version = QL_CLAIM_V1;
	program->procedures = procedures;
	program->n_procedures = G_N_ELEMENTS(procedures);
	program->data = service;
}

static void session_unref(ql_claim_session_t *session)
{
	if (__atomic_sub_fetch(&session->references, 1, __ATOMIC_ACQ_REL))
		return;
	ql_claim_finish(&session->claim);
	if (session->answer)
		g_bytes_unref(session->answer);
	ql_document_unref(session->doc);
	pthread_cond_destroy(&session->action_ready);
	pthread_mutex_destroy(&session->lock);
	g_free(session);
}

static void apply_action(ql_claim_session_t *session, ql_claim_action_t action)
{
	if (action == QL_CLAIM_SEND)
		session->must_send = true;
	if (action != QL_CLAIM_WAIT)
		pthread_cond_signal(&session->action_ready);
}

static void unref_answer(const ql_claim_reply_t *reply)
{
	if (reply && reply->answer)
		g_bytes_unref(reply->answer);
}

/*
 * Keeps the lock until the answer is released: the next thread that reads the
 * answer takes the lock as well, which orders the accesses.
 */
static void handle_reply(ql_claim_session_t *session, uint32_t step,
			 uint32_t keeper, const ql_claim_reply_t *reply)
{
	pthread_mutex_lock(&session->lock);
	apply_action(session,
		     ql_claim_handle_reply(&session->claim, step, keeper, reply,
					   ql_clock_now_us()));
	unref_answer(reply);
	pthread_mutex_unlock(&session->lock);
}

void ql_claim_job_complete(ql_claim_job_t *job, const ql_claim_reply_t *reply)
{
	ql_claim_session_t *session = job->session;

	if (job->request.op != QL_CLAIM_OP_NOTE)
		handle_reply(session, job->step, job->keeper, reply);
	else
		unref_answer(reply);
	session_unref(session);
	g_free(job);
}

static ql_claim_peer_t *get_peer(ql_claim_service_t *service,
				 const char *address)
{
	ql_claim_peer_t *peer;

	pthread_mutex_lock(&service->lock);
	peer = g_hash_table_lookup(service->peers, address);
	if (!peer && g_hash_table_size(service->peers) < QL_CLAIM_PEERS_MAX) {
		peer = ql_claim_peer_new(service, address);
		if (peer)
			g_hash_table_insert(service->peers, g_strdup(address),
					    peer);
	}
	pthread_mutex_unlock(&service->lock);
	return peer;
}

static ql_claim_job_t *job_new(ql_claim_session_t *session, uint32_t step,
			       uint32_t keeper,
			       const ql_claim_request_t *request)
{
	ql_claim_job_t *job = g_new0(ql_claim_job_t, 1);

	__atomic_add_fetch(&session->references, 1, __ATOMIC_RELAXED);
	job->session = session;
	job->step = step;
	job->keeper = keeper;
	job->request = *request;
	return job;
}

/* Sends a message to all keepers of the key. */
static void broadcast(ql_claim_service_t *service, ql_claim_session_t *session,
		      const ql_claim_request_t *request, uint32_t step)
{
	const ql_key_keepers_t *keepers = &session->keepers;
	const ql_keeper_member_t *member;
	ql_claim_peer_t *peer;
	uint32_t i;

	for (i = 0; i < keepers->n_members; i++) {
		member = &session->doc->keepers.members[keepers->members[i]];
		peer = get_peer(service, member->address);
		if (peer)
			ql_claim_peer_post(peer,
					   job_new(session, step, i, request));
		else if (request->op != QL_CLAIM_OP_NOTE)
			handle_reply(session, step, i, NULL);
	}
}

static uint64_t random_id(ql_claim_service_t *service)
{
	uint64_t id;

	pthread_mutex_lock(&service->lock);
	id = (uint64_t)g_rand_int(service->random) << 32;
	id |= g_rand_int(service->random);
	pthread_mutex_unlock(&service->lock);
	return id;
}

static ql_claim_session_t *session_new(ql_claim_service_t *service,
				       const ql_claim_params_t *params)
{
	ql_claim_session_t *session = g_new0(ql_claim_session_t, 1);
	ql_claim_opts_t opts = {.rules = &ql_claim_rules};

	session->references = 1;
	session->doc = ql_document_ref(params->doc);
	session->must_send = true;
	pthread_mutex_init(&session->lock, NULL);
	ql_cond_init(&session->action_ready);
	ql_document_find_keepers(params->doc, params->key, &session->keepers);
	g_strlcpy(opts.key, params->key, sizeof(opts.key));
	opts.value.kind = params->kind;
	opts.value.claimant.request = random_id(service);
	opts.value.claimant.attempt = random_id(service);
	memcpy(opts.value.fingerprint, params->fingerprint,
	       sizeof(opts.value.fingerprint));
	opts.value.lease_ms = params->lease_ms;
	opts.n_keepers = session->keepers.n_members;
	opts.n_sets = session->keepers.n_sets;
	memcpy(opts.sets, session->keepers.sets, sizeof(opts.sets));
	ql_claim_init(&session->claim, &opts, ql_clock_now_us());
	return session;
}

/* Waits for a random time, so that competing copies do not collide again. */
static void back_off(ql_claim_service_t *service, uint32_t rounds)
{
	if (rounds > 1)
		g_usleep(random_id(service) % (ROUND_BACKOFF_US * rounds));
}

/* Sends the current step to the keepers; releases the lock meanwhile. */
static void send_step(ql_claim_service_t *service, ql_claim_session_t *session)
{
	ql_claim_request_t request = session->claim.request;
	uint32_t step = session->claim.step;
	uint32_t rounds = session->claim.rounds;
	bool prepares = request.op == QL_CLAIM_OP_PREPARE;

	session->must_send = false;
	pthread_mutex_unlock(&session->lock);
	back_off(service, prepares ? rounds : 0);
	broadcast(service, session, &request, step);
	pthread_mutex_lock(&session->lock);
}

/* Drives the claim until it has a result or the deadline has passed. */
static void await_result(ql_claim_service_t *service,
			 ql_claim_session_t *session, uint64_t deadline_us)
{
	ql_claim_t *claim = &session->claim;
	uint64_t straggler_deadline_us = UINT64_MAX;
	uint64_t now_us;

	pthread_mutex_lock(&session->lock);
	while (claim->result == QL_CLAIM_PENDING) {
		now_us = ql_clock_now_us();
		if (now_us >= deadline_us) {
			ql_claim_give_up(claim);
		} else if (session->must_send) {
			send_step(service, session);
			straggler_deadline_us =
				ql_clock_now_us() + STRAGGLER_WAIT_US;
		} else if (now_us >= straggler_deadline_us) {
			apply_action(session,
				     ql_claim_stop_waiting(claim, now_us));
			straggler_deadline_us = now_us + STRAGGLER_WAIT_US;
		} else {
			ql_cond_wait_until(&session->action_ready,
					   &session->lock,
					   MIN(deadline_us,
					       straggler_deadline_us));
		}
	}
	pthread_mutex_unlock(&session->lock);
}

static void fill_verdict(ql_claim_verdict_t *verdict,
			 ql_claim_session_t *session)
{
	ql_claim_t *claim = &session->claim;

	pthread_mutex_lock(&session->lock);
	verdict->result = claim->result;
	verdict->outcome = claim->opts.rules->outcome(claim->result);
	verdict->reason = ql_claim_reason(claim->result);
	verdict->answer = g_steal_pointer(&claim->answer);
	pthread_mutex_unlock(&session->lock);
}

ql_claim_session_t *ql_claim_service_begin(ql_claim_service_t *service,
					   const ql_claim_params_t *params,
					   ql_claim_verdict_t *verdict)
{
	ql_claim_session_t *session = session_new(service, params);
	ql_claim_note_t note = QL_CLAIM_NOTE_FORFEITED;

	if (session->keepers.n_members)
		await_result(service, session, params->deadline_us);
	else
		ql_claim_give_up(&session->claim);
	fill_verdict(verdict, session);
	__atomic_add_fetch(&service->results[verdict->result], 1,
			   __ATOMIC_RELAXED);
	if (verdict->result == QL_CLAIM_WON)
		return session;
	if (params->kind != QL_CLAIM_RUN)
		note = QL_CLAIM_NOTE_NONE;
	ql_claim_service_end(service, session, note, NULL);
	return NULL;
}

bool ql_claim_service_may_run(const ql_claim_session_t *session)
{
	return ql_clock_now_us() - session->claim.start_us <
	       QL_CLAIM_START_MAX_US;
}

void ql_claim_service_end(ql_claim_service_t *service,
			  ql_claim_session_t *session, ql_claim_note_t note,
			  GBytes *answer)
{
	ql_claim_request_t request;

	session->answer = answer;
	if (note != QL_CLAIM_NOTE_NONE) {
		ql_claim_build_note(&session->claim, &request, note, answer);
		broadcast(service, session, &request, 0);
	}
	session_unref(session);
}
