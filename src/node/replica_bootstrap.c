#include "node/replica_service.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

#define BOOTSTRAP_RETRY_PAUSE_US (200 * QL_US_PER_MS)
/* Further replicas of a new cluster start as learners. */
#define INITIAL_VOTERS_MAX 9

/*
 * State of the replicas that were queried: at least one did not answer, every
 * one is empty, or one has a log.
 */
typedef enum {
	PROBE_UNKNOWN,
	PROBE_EMPTY,
	PROBE_CLUSTER_EXISTS,
} probe_result_t;

static bool is_stopping(const ql_replica_service_t *service)
{
	return __atomic_load_n(&service->stopping, __ATOMIC_ACQUIRE);
}

static int compare_addresses(const void *a, const void *b)
{
	return strcmp(a, b);
}

/*
 * The seed with the lowest address forms the cluster, on the first start of
 * the cluster only, so that all seeds choose the same one.
 */
static bool is_bootstrap_seed(const ql_settings_t *settings, const char *own)
{
	char seeds[QL_SEEDS_MAX][QL_ADDRESS_MAX];

	if (!settings->bootstrap)
		return false;
	memcpy(seeds, settings->seeds, sizeof(seeds));
	qsort(seeds, settings->n_seeds, sizeof(*seeds), compare_addresses);
	return !strcmp(seeds[0], own);
}

static bool is_bootstrap_replica(const ql_replica_service_t *service)
{
	char own[QL_ADDRESS_MAX];

	ql_replica_service__own_address(service, own);
	if (service->settings->n_seeds)
		return is_bootstrap_seed(service->settings, own);
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
	member->voter = n < INITIAL_VOTERS_MAX;
}

static probe_result_t probe_replica(ql_replica_service_t *service,
				    const char *address,
				    ql_rpc_replica_members *members)
{
	ql_rpc_replica_status_res res = {0};
	probe_result_t result = PROBE_UNKNOWN;

	if (!ql_replica_peers_query_status(&service->peers, address, &res)) {
		result = res.log_index ? PROBE_CLUSTER_EXISTS : PROBE_EMPTY;
		add_member(members, res.id, address);
	}
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_status_res, &res);
	return result;
}

static probe_result_t probe_replicas(ql_replica_service_t *service,
				     const ql_replica_view_t *view,
				     ql_rpc_replica_members *members)
{
	const ql_settings_t *settings = service->settings;
	bool use_seeds = settings->n_seeds > 0;
	size_t i, n = use_seeds ? settings->n_seeds : settings->n_replicas;
	probe_result_t result, combined = PROBE_EMPTY;
	char own[QL_ADDRESS_MAX];
	const char *address;

	members->members.members_val =
		calloc(n + 1, sizeof(ql_rpc_replica_member));
	g_assert(members->members.members_val);
	ql_replica_service__own_address(service, own);
	add_member(members, view->state.identity, own);
	for (i = 0; i < n; i++) {
		address =
			use_seeds ? settings->seeds[i] : settings->replicas[i];
		if (!strcmp(address, own))
			continue;
		result = probe_replica(service, address, members);
		if (result == PROBE_CLUSTER_EXISTS)
			return PROBE_CLUSTER_EXISTS;
		if (result == PROBE_UNKNOWN)
			combined = PROBE_UNKNOWN;
	}
	return combined;
}

static void start_cluster(ql_replica_service_t *service,
			  ql_rpc_replica_members *members)
{
	ql_replica_input_t *input = g_new0(ql_replica_input_t, 1);

	input->kind = QL_REPLICA_INPUT_BOOTSTRAP;
	input->members = *members;
	memset(members, 0, sizeof(*members));
	ql_replica_service__push(service, input);
	ql_log(LOG_NOTICE, "cluster_started");
}

/* Returns true once a cluster exists. */
static bool try_bootstrap(ql_replica_service_t *service)
{
	ql_rpc_replica_members members = {{0}};
	ql_replica_view_t view;
	char id[QL_HEX64_MAX];
	probe_result_t result;

	ql_replica_service__copy_view(service, &view);
	if (view.log_index)
		return true;
	if (!view.identity_synced)
		return false;
	ql_hex64_format(id, view.state.identity);
	result = probe_replicas(service, &view, &members);
	if (result == PROBE_EMPTY)
		start_cluster(service, &members);
	xdr_free((xdrproc_t)xdr_ql_rpc_replica_members, &members);
	if (result == PROBE_CLUSTER_EXISTS)
		ql_log(LOG_WARNING, "replica_waits",
		       QL_STR("detail", "a cluster exists; add this replica "
					"as a learner"),
		       QL_STR("id", id));
	return result != PROBE_UNKNOWN;
}

void *ql_replica_service__run_bootstrap(void *data)
{
	ql_replica_service_t *service = data;

	if (!is_bootstrap_replica(service)) {
		ql_log(LOG_NOTICE, "replica_empty",
		       QL_STR("detail", "waits for a leader"));
		return NULL;
	}
	while (!is_stopping(service) && !try_bootstrap(service))
		g_usleep(BOOTSTRAP_RETRY_PAUSE_US);
	return NULL;
}
