#include "node/quota_service.h"
#include "path/quota_log.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

#define LOG_PERIOD_US (1 * QL_US_PER_S)
/* When to ask again while no quorum confirms this leader. */
#define UNCONFIRMED_RETRY_MS 50u

void ql_quota_service_init(ql_quota_service_t *service)
{
	const ql_quota_ledger_opts_t opts = {
		.window_us = service->settings->quota_window_ms * QL_US_PER_MS,
		.overshoot = service->settings->quota_overshoot,
		.slack = service->settings->quota_slack,
	};

	ql_quota_ledger_init(&service->ledger, &opts);
	service->given =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void ql_quota_service_finish(ql_quota_service_t *service)
{
	ql_quota_ledger_finish(&service->ledger);
	g_hash_table_destroy(service->given);
}

static void log_given(ql_quota_service_t *service, uint64_t now_us)
{
	ql_quota_load_t load = {0};
	gpointer team, given;
	GHashTableIter iter;
	ql_quota_log_t log;

	if (now_us < service->logged_us + LOG_PERIOD_US)
		return;
	service->logged_us = now_us;
	ql_quota_log_init(&log);
	g_hash_table_iter_init(&iter, service->given);
	while (g_hash_table_iter_next(&iter, &team, &given)) {
		load.team = team;
		load.given = *(const uint64_t *)given;
		ql_quota_log_add(&log, &load);
	}
	ql_quota_log_write(&log);
	g_hash_table_remove_all(service->given);
}

static void count_given(ql_quota_service_t *service, const char *team,
			uint32_t granted)
{
	uint64_t *given;

	if (!granted)
		return;
	given = g_hash_table_lookup(service->given, team);
	if (!given) {
		given = g_new0(uint64_t, 1);
		g_hash_table_insert(service->given, g_strdup(team), given);
	}
	*given += granted;
}

static void grant_all(ql_quota_service_t *service,
		      const ql_rpc_quota_args *args, ql_rpc_quota_res *res,
		      uint64_t now_us)
{
	const ql_teams_t *teams = &service->replica->state->doc->teams;
	const ql_rpc_quota_ask *in;
	ql_rpc_quota_grant *out;
	ql_quota_grant_t grant;
	ql_quota_ask_t ask;
	u_int i;

	for (i = 0; i < args->asks.asks_len; i++) {
		in = &args->asks.asks_val[i];
		out = &res->grants.grants_val[i];
		ask = (ql_quota_ask_t){.least = in->least, .more = in->more};
		grant = ql_quota_ledger_grant(&service->ledger,
					      ql_teams_find_name(teams,
								 in->team),
					      &ask, now_us);
		out->granted = grant.granted;
		out->wait_us = grant.wait_us;
		out->unlimited = grant.unlimited;
		count_given(service, in->team, grant.granted);
	}
}

/* Reads what the replica knows of its leadership, and the leader's address. */
static ql_quota_permit_t read_permit(ql_replica_service_t *replica,
				     char *leader)
{
	const ql_replica_view_t *view = &replica->view;
	ql_quota_permit_t permit = {0};

	pthread_mutex_lock(&replica->view_lock);
	if (view->is_leader) {
		permit.term = view->state.term;
		permit.leading_since_us = view->leading_since_us;
		/* It may not know the limits in force yet. */
		permit.confirmed_us = view->is_current ? view->confirmed_us : 0;
	}
	g_strlcpy(leader, view->leader_address, QL_ADDRESS_MAX);
	pthread_mutex_unlock(&replica->view_lock);
	return permit;
}

void ql_quota_service_handle(ql_quota_service_t *service,
			     const ql_rpc_quota_args *args,
			     ql_rpc_quota_res *res)
{
	char leader[QL_ADDRESS_MAX];
	const ql_quota_permit_t permit = read_permit(service->replica, leader);
	uint64_t retry_us = 0, now_us;

	res->detail = strdup("");
	res->leader = strdup(leader);
	res->valid_ms = QL_QUOTA_VALIDITY_US / QL_US_PER_MS;
	pthread_mutex_lock(service->replica->lock);
	/* Read with the lock held, as that may have taken a while. */
	now_us = ql_clock_boot_us();
	res->status = ql_quota_ledger_open(&service->ledger, &permit, now_us,
					   &retry_us);
	if (!res->status) {
		res->grants.grants_val = calloc(args->asks.asks_len + 1,
						sizeof(ql_rpc_quota_grant));
		g_assert(res->grants.grants_val);
		res->grants.grants_len = args->asks.asks_len;
		grant_all(service, args, res, now_us);
	}
	pthread_mutex_unlock(service->replica->lock);
	res->retry_ms = retry_us ? (u_int)(retry_us / QL_US_PER_MS) + 1
				 : UNCONFIRMED_RETRY_MS;
	if (res->status)
		return;
	ql_counter_increment(service->counters, QL_COUNT_QUOTA_GRANTED);
	log_given(service, now_us);
}
