#include "node/replica_steward.h"
#include "control/greeting.h"
#include "control/replica_plan.h"
#include "control/rpc_client.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define PAUSE_US (100 * QL_US_PER_MS)
#define CALL_TIMEOUT_MS 500u
/* Silence in ticks of the replica, of 50 ms each. */
#define DEAD_TICKS 60u
#define FORGET_TICKS 1200u

static bool is_stopping(const ql_replica_steward_t *steward)
{
	return __atomic_load_n(&steward->stopping, __ATOMIC_ACQUIRE);
}

static bool is_known(const ql_replica_steward_t *steward, const char *address)
{
	size_t i;

	for (i = 0; i < steward->n_known; i++)
		if (!strcmp(steward->known[i], address))
			return true;
	return false;
}

static char *place_for_one_more(ql_replica_steward_t *steward)
{
	if (steward->n_known < QL_REPLICA_MEMBERS_MAX)
		return steward->known[steward->n_known++];
	return steward->known[steward->forgotten++ % QL_REPLICA_MEMBERS_MAX];
}

void ql_replica_steward_learn(ql_replica_steward_t *steward,
			      const char *address)
{
	pthread_mutex_lock(&steward->lock);
	if (address[0] && !is_known(steward, address))
		g_strlcpy(place_for_one_more(steward), address, QL_ADDRESS_MAX);
	pthread_mutex_unlock(&steward->lock);
}

static size_t copy_known(ql_replica_steward_t *steward,
			 char (*out)[QL_ADDRESS_MAX])
{
	size_t n;

	pthread_mutex_lock(&steward->lock);
	n = steward->n_known;
	memcpy(out, steward->known, sizeof(steward->known));
	pthread_mutex_unlock(&steward->lock);
	return n;
}

/* Tells the registrar of the members, or of the seeds before there are any. */
static void tell_registrar(ql_replica_steward_t *steward,
			   const ql_replica_view_t *view)
{
	char addresses[QL_RPC_REGISTRARS_MAX][QL_ADDRESS_MAX] = {{0}};
	char known[QL_REPLICA_MEMBERS_MAX][QL_ADDRESS_MAX];
	size_t i, n_known, n = 0;

	for (i = 0; i < view->n_members && n < QL_RPC_REGISTRARS_MAX; i++) {
		ql_replica_steward_learn(steward, view->members[i].address);
		memcpy(addresses[n++], view->members[i].address,
		       QL_ADDRESS_MAX);
	}
	ql_registrar_service_set_current(steward->registrar, view->is_current);
	ql_registrar_service_set_addresses(steward->registrar, addresses, n);
	n_known = copy_known(steward, known);
	for (i = 0; i < n_known; i++)
		ql_registrar_service_add_peer(steward->registrar, known[i]);
}

/* A leader changes one member at a time. */
static void lead(ql_replica_steward_t *steward, const ql_replica_view_t *view)
{
	ql_replica_plan_t plan = {
		.target_voters = steward->replica->settings->voters,
		.dead_after_ticks = DEAD_TICKS,
		.remove_learner_after_ticks = FORGET_TICKS,
		.self = view->state.identity,
		.commit = view->state.commit,
		.members = view->members,
		.n_members = view->n_members,
	};
	ql_replica_change_t change;

	if (view->settled && ql_replica_plan_next(&plan, &change))
		ql_replica_service__push_change(steward->replica, &change);
}

static bool is_member(const ql_rpc_replica_members *members, uint64_t id)
{
	u_int i;

	for (i = 0; i < members->members.members_len; i++)
		if (members->members.members_val[i].id == id)
			return true;
	return false;
}

static void ask_to_join(ql_replica_steward_t *steward, const char *leader,
			uint64_t id)
{
	const ql_replica_peers_t *peers = &steward->replica->peers;
	ql_greeting_sender_t sender = {
		.cluster = peers->settings->cluster,
		.node = peers->settings->node,
		.failure_domain = peers->settings->failure_domain,
		.incarnation = peers->incarnation,
	};
	ql_rpc_replica_change_args args = {
		.kind = QL_REPLICA_ADD_LEARNER,
		.id = id,
		.address = (char *)peers->own_address,
	};
	ql_rpc_replica_change_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_REPLICA_CHANGE,
		.encode = (xdrproc_t)xdr_ql_rpc_replica_change_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_replica_change_res,
		.result = &res,
	};
	ql_rpc_client_t client;
	int ret;

	ql_greeting_fill(&args.greeting, &sender, peers->hlc);
	ql_rpc_client_init(&client, leader, QL_REPLICA_PROGRAM, QL_REPLICA_V1,
			   CALL_TIMEOUT_MS);
	ret = ql_rpc_client_call(&client, &call, NULL);
	ql_rpc_client_finish(&client);
	ql_log(LOG_NOTICE, "join_asked", QL_STR("leader", leader),
	       QL_STR("error", ql_error_name(ret ? ret : res.status)));
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_change_res, &res);
}

/* Takes what another replica says of the members; joins if not one of them. */
static void take_status(ql_replica_steward_t *steward,
			const ql_replica_view_t *view,
			const ql_rpc_replica_status_res *res)
{
	u_int i;

	for (i = 0; i < res->members.members.members_len; i++)
		ql_replica_steward_learn(
			steward, res->members.members.members_val[i].address);
	if (res->leader_address[0] && res->members.members.members_len &&
	    !is_member(&res->members, view->state.identity))
		ask_to_join(steward, res->leader_address, view->state.identity);
}

/* Asks the known replicas in turn where the cluster is. */
static void seek(ql_replica_steward_t *steward, const ql_replica_view_t *view)
{
	ql_rpc_replica_status_res res = {0};
	char known[QL_REPLICA_MEMBERS_MAX][QL_ADDRESS_MAX];
	size_t n_known = copy_known(steward, known);
	const char *address;

	if (!n_known)
		return;
	address = known[steward->next++ % n_known];
	if (!strcmp(address, steward->replica->peers.own_address))
		return;
	if (!ql_replica_peers_status(&steward->replica->peers, address, &res))
		take_status(steward, view, &res);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_status_res, &res);
}

static bool is_listed(const ql_replica_view_t *view)
{
	size_t i;

	for (i = 0; i < view->n_members; i++)
		if (view->members[i].id == view->state.identity)
			return true;
	return false;
}

static void step(ql_replica_steward_t *steward)
{
	ql_replica_view_t *view = g_new(ql_replica_view_t, 1);

	ql_replica_service__take_view(steward->replica, view);
	if (view->failed) {
		/* What the disk holds is known again after a start. */
		ql_log(LOG_ERR, "replica_failed",
		       QL_STR("detail", "the journal cannot be written"));
		exit(EX_IOERR);
	}
	tell_registrar(steward, view);
	if (view->is_leader)
		lead(steward, view);
	else if (view->identity_synced && (!view->leader || !is_listed(view)))
		seek(steward, view);
	g_free(view);
}

static void *run(void *data)
{
	ql_replica_steward_t *steward = data;

	while (!is_stopping(steward)) {
		step(steward);
		g_usleep(PAUSE_US);
	}
	return NULL;
}

void ql_replica_steward_start(ql_replica_steward_t *steward)
{
	const ql_settings_t *settings = steward->replica->settings;
	size_t i;

	pthread_mutex_init(&steward->lock, NULL);
	for (i = 0; i < settings->n_seeds; i++)
		ql_replica_steward_learn(steward, settings->seeds[i]);
	steward->thread = g_thread_new("steward", run, steward);
}

void ql_replica_steward_stop(ql_replica_steward_t *steward)
{
	if (!steward->thread)
		return;
	__atomic_store_n(&steward->stopping, 1, __ATOMIC_RELEASE);
	g_thread_join(steward->thread);
	steward->thread = NULL;
	pthread_mutex_destroy(&steward->lock);
}
