#include "node/replica_supervisor.h"
#include "control/greeting.h"
#include "control/replica_plan.h"
#include "control/rpc_client.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define SUPERVISOR_INTERVAL_US (100 * QL_US_PER_MS)
#define JOIN_CALL_TIMEOUT_MS 500u
/* Ticks of the replica, of 50 ms each, without an answer of a member. */
#define MEMBER_DEAD_TICKS 60u
#define REMOVE_LEARNER_TICKS 1200u

static bool is_stopping(const ql_replica_supervisor_t *supervisor)
{
	return __atomic_load_n(&supervisor->stopping, __ATOMIC_ACQUIRE);
}

static bool has_address(const ql_replica_supervisor_t *supervisor,
			const char *address)
{
	size_t i;

	for (i = 0; i < supervisor->n_addresses; i++)
		if (!strcmp(supervisor->addresses[i], address))
			return true;
	return false;
}

static char *next_free_address(ql_replica_supervisor_t *supervisor)
{
	if (supervisor->n_addresses < QL_REPLICA_MEMBERS_MAX)
		return supervisor->addresses[supervisor->n_addresses++];
	return supervisor->addresses[supervisor->next_evicted++ %
				     QL_REPLICA_MEMBERS_MAX];
}

void ql_replica_supervisor_add_address(ql_replica_supervisor_t *supervisor,
				       const char *address)
{
	pthread_mutex_lock(&supervisor->lock);
	if (address[0] && !has_address(supervisor, address))
		g_strlcpy(next_free_address(supervisor), address,
			  QL_ADDRESS_MAX);
	pthread_mutex_unlock(&supervisor->lock);
}

static size_t copy_addresses(ql_replica_supervisor_t *supervisor,
			     char (*out)[QL_ADDRESS_MAX])
{
	size_t n;

	pthread_mutex_lock(&supervisor->lock);
	n = supervisor->n_addresses;
	memcpy(out, supervisor->addresses, sizeof(supervisor->addresses));
	pthread_mutex_unlock(&supervisor->lock);
	return n;
}

/*
 * Passes the members to the registrar as the registrars of the cluster, and
 * all addresses, the seeds included, as its peers.
 */
static void update_registrar(ql_replica_supervisor_t *supervisor,
			     const ql_replica_view_t *view)
{
	char registrars[QL_RPC_REGISTRARS_MAX][QL_ADDRESS_MAX] = {{0}};
	char addresses[QL_REPLICA_MEMBERS_MAX][QL_ADDRESS_MAX];
	size_t i, n_addresses, n_registrars = 0;

	for (i = 0; i < view->n_members && n_registrars < QL_RPC_REGISTRARS_MAX;
	     i++) {
		ql_replica_supervisor_add_address(supervisor,
						  view->members[i].address);
		memcpy(registrars[n_registrars++], view->members[i].address,
		       QL_ADDRESS_MAX);
	}
	ql_registrar_service_set_current(supervisor->registrar,
					 view->is_current);
	ql_registrar_service_set_addresses(supervisor->registrar, registrars,
					   n_registrars);
	n_addresses = copy_addresses(supervisor, addresses);
	for (i = 0; i < n_addresses; i++)
		ql_registrar_service_add_peer(supervisor->registrar,
					      addresses[i]);
}

/* Requests the next membership change once the last one is committed. */
static void change_members(ql_replica_supervisor_t *supervisor,
			   const ql_replica_view_t *view)
{
	ql_replica_plan_t plan = {
		.target_voters = supervisor->replica->settings->voters,
		.dead_after_ticks = MEMBER_DEAD_TICKS,
		.remove_learner_after_ticks = REMOVE_LEARNER_TICKS,
		.self = view->state.identity,
		.commit = view->state.commit,
		.members = view->members,
		.n_members = view->n_members,
	};
	ql_replica_change_t change;

	if (view->members_settled && ql_replica_plan_next(&plan, &change))
		ql_replica_service__push_change(supervisor->replica, &change);
}

static bool is_member(const ql_rpc_replica_members *members, uint64_t id)
{
	u_int i;

	for (i = 0; i < members->members.members_len; i++)
		if (members->members.members_val[i].id == id)
			return true;
	return false;
}

static void request_join(ql_replica_supervisor_t *supervisor,
			 const char *leader, uint64_t id)
{
	const ql_replica_peers_t *peers = &supervisor->replica->peers;
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
			   JOIN_CALL_TIMEOUT_MS);
	ret = ql_rpc_client_call(&client, &call, NULL);
	ql_rpc_client_finish(&client);
	ql_log(LOG_NOTICE, "join_asked", QL_STR("leader", leader),
	       QL_STR("error", ql_error_name(ret ? ret : res.status)));
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_change_res, &res);
}

/*
 * Adds the addresses of the members that another replica reports, and
 * requests the leader to add this replica when it is not one of them.
 */
static void handle_status(ql_replica_supervisor_t *supervisor,
			  const ql_replica_view_t *view,
			  const ql_rpc_replica_status_res *res)
{
	u_int i;

	for (i = 0; i < res->members.members.members_len; i++)
		ql_replica_supervisor_add_address(
			supervisor,
			res->members.members.members_val[i].address);
	if (res->leader_address[0] && res->members.members.members_len &&
	    !is_member(&res->members, view->state.identity))
		request_join(supervisor, res->leader_address,
			     view->state.identity);
}

/*
 * Queries the status of the next replica of the list, to find the members and
 * the leader.
 */
static void probe_next_replica(ql_replica_supervisor_t *supervisor,
			       const ql_replica_view_t *view)
{
	ql_rpc_replica_status_res res = {0};
	char addresses[QL_REPLICA_MEMBERS_MAX][QL_ADDRESS_MAX];
	size_t n_addresses = copy_addresses(supervisor, addresses);
	const char *address;

	if (!n_addresses)
		return;
	address = addresses[supervisor->next_probed++ % n_addresses];
	if (!strcmp(address, supervisor->replica->peers.own_address))
		return;
	if (!ql_replica_peers_query_status(&supervisor->replica->peers, address,
					   &res))
		handle_status(supervisor, view, &res);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_status_res, &res);
}

static bool is_self_member(const ql_replica_view_t *view)
{
	size_t i;

	for (i = 0; i < view->n_members; i++)
		if (view->members[i].id == view->state.identity)
			return true;
	return false;
}

static void supervise(ql_replica_supervisor_t *supervisor)
{
	ql_replica_view_t *view = g_new(ql_replica_view_t, 1);

	ql_replica_service__copy_view(supervisor->replica, view);
	if (view->failed) {
		/* A restart loads the state from the journal again. */
		ql_log(LOG_ERR, "replica_failed",
		       QL_STR("detail", "a snapshot cannot be restored"));
		exit(EX_IOERR);
	}
	update_registrar(supervisor, view);
	if (view->is_leader)
		change_members(supervisor, view);
	else if (view->identity_synced &&
		 (!view->leader || !is_self_member(view)))
		probe_next_replica(supervisor, view);
	g_free(view);
}

static void *run_supervisor_thread(void *data)
{
	ql_replica_supervisor_t *supervisor = data;

	while (!is_stopping(supervisor)) {
		supervise(supervisor);
		g_usleep(SUPERVISOR_INTERVAL_US);
	}
	return NULL;
}

void ql_replica_supervisor_start(ql_replica_supervisor_t *supervisor)
{
	const ql_settings_t *settings = supervisor->replica->settings;
	size_t i;

	pthread_mutex_init(&supervisor->lock, NULL);
	for (i = 0; i < settings->n_seeds; i++)
		ql_replica_supervisor_add_address(supervisor,
						  settings->seeds[i]);
	supervisor->thread =
		g_thread_new("steward", run_supervisor_thread, supervisor);
}

void ql_replica_supervisor_stop(ql_replica_supervisor_t *supervisor)
{
	if (!supervisor->thread)
		return;
	__atomic_store_n(&supervisor->stopping, 1, __ATOMIC_RELEASE);
	g_thread_join(supervisor->thread);
	supervisor->thread = NULL;
	pthread_mutex_destroy(&supervisor->lock);
}
