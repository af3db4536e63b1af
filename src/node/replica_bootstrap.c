#include "node/replica_service.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

#define PAUSE_US (200 * QL_US_PER_MS)
/* Replicas further down the list of a new cluster begin as learners. */
#define FIRST_VOTERS_MAX 9

/* Whether all replicas are empty is not known yet, known, or known false. */
typedef enum {
	UNKNOWN,
	ALL_EMPTY,
	CLUSTER_EXISTS,
} finding_t;

static bool is_stopping(const ql_replica_service_t *service)
{
	return __atomic_load_n(&service->stopping, __ATOMIC_ACQUIRE);
}

static int compare_addresses(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* With seeds, those of the first start found the cluster, in one order. */
static bool is_first_seed(const ql_settings_t *settings, const char *own)
{
	char seeds[QL_SEEDS_MAX][QL_ADDRESS_MAX];

	if (!settings->bootstrap)
		return false;
	memcpy(seeds, settings->seeds, sizeof(seeds));
	qsort(seeds, settings->n_seeds, sizeof(*seeds), compare_addresses);
	return !strcmp(seeds[0], own);
}

static bool is_first(const ql_replica_service_t *service)
{
	char own[QL_ADDRESS_MAX];

	ql_replica_service__own_address(service, own);
	if (service->settings->n_seeds)
		return is_first_seed(service->settings, own);
	return !service->settings->n_replicas ||
	       !strcmp(service->settings->replicas[0], own);
}

static void add_member(ql_rpc_replica_members *members, uint64_t id,
		       const char *address)
{
	u_int n = members->members.members_len++;
	ql_rpc_replica_member *member = &members->members.members_val[n];

	member->id = id;
	member->address = strdup(address);
	member->voter = n < FIRST_VOTERS_MAX;
}

static finding_t ask(ql_replica_service_t *service, const char *address,
		     ql_rpc_replica_members *members)
{
	ql_rpc_replica_status_res res = {0};
	finding_t finding = UNKNOWN;

	if (!ql_replica_peers_query_status(&service->peers, address, &res)) {
		finding = res.log_index ? CLUSTER_EXISTS : ALL_EMPTY;
		add_member(members, res.id, address);
	}
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_status_res, &res);
	return finding;
}

static finding_t ask_all(ql_replica_service_t *service,
			 const ql_replica_view_t *view,
			 ql_rpc_replica_members *members)
{
	const ql_settings_t *settings = service->settings;
	bool by_seeds = settings->n_seeds > 0;
	size_t i, n = by_seeds ? settings->n_seeds : settings->n_replicas;
	finding_t finding, all = ALL_EMPTY;
	char own[QL_ADDRESS_MAX];
	const char *address;

	members->members.members_val =
		calloc(n + 1, sizeof(ql_rpc_replica_member));
	g_assert(members->members.members_val);
	ql_replica_service__own_address(service, own);
	add_member(members, view->state.identity, own);
	for (i = 0; i < n; i++) {
		address = by_seeds ? settings->seeds[i] : settings->replicas[i];
		if (!strcmp(address, own))
			continue;
		finding = ask(service, address, members);
		if (finding == CLUSTER_EXISTS)
			return CLUSTER_EXISTS;
		if (finding == UNKNOWN)
			all = UNKNOWN;
	}
	return all;
}

static void push_members(ql_replica_service_t *service,
			 ql_rpc_replica_members *members)
{
	ql_replica_input_t *input = g_new0(ql_replica_input_t, 1);

	input->kind = QL_REPLICA_INPUT_BOOTSTRAP;
	input->members = *members;
	memset(members, 0, sizeof(*members));
	ql_replica_service__push(service, input);
	ql_log(LOG_NOTICE, "cluster_started");
}

/* Returns whether there is nothing left to do. */
static bool try_once(ql_replica_service_t *service)
{
	ql_rpc_replica_members members = {{0}};
	ql_replica_view_t view;
	char id[QL_HEX64_MAX];
	finding_t finding;

	ql_replica_service__copy_view(service, &view);
	if (view.log_index)
		return true;
	if (!view.identity_synced)
		return false;
	ql_hex64_format(id, view.state.identity);
	finding = ask_all(service, &view, &members);
	if (finding == ALL_EMPTY)
		push_members(service, &members);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_members, &members);
	if (finding == CLUSTER_EXISTS)
		ql_log(LOG_WARNING, "replica_waits",
		       QL_STR("detail", "a cluster exists; add this replica "
					"as a learner"),
		       QL_STR("id", id));
	return finding != UNKNOWN;
}

void *ql_replica_service__run_bootstrap(void *data)
{
	ql_replica_service_t *service = data;

	if (!is_first(service)) {
		ql_log(LOG_NOTICE, "replica_empty",
		       QL_STR("detail", "waits for a leader"));
		return NULL;
	}
	while (!is_stopping(service) && !try_once(service))
		g_usleep(PAUSE_US);
	return NULL;
}
