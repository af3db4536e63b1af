#include "path/load_log.h"
#include "path/quota_log.h"
#include "quetzalloft/log.h"

#include <string.h>

#define LOG_PERIOD_MS 1000u
/* Teams of a class that have a line of their own. */
#define TEAM_LINES_MAX 3u
/* Stands for all other teams; no team has an empty name. */
#define OTHER_TEAMS ""

static void log_class(const ql_load_log_t *log, const ql_gate_usage_t *usage,
		      uint32_t order)
{
	const ql_gate_usage_class_t delta =
		ql_gate_usage_class_delta(&log->logged_usage, usage, order);

	if (!delta.offered && !delta.admitted)
		return;
	ql_log(LOG_NOTICE, "gate_load",
	       QL_STR("service", log->gate->opts.service),
	       QL_REAL("busy", ql_gate_usage_utilization(
				       &log->logged_usage, usage,
				       (uint32_t)log->gate->report.slots)),
	       QL_UINT("slots", log->gate->report.slots),
	       QL_UINT("shed_order", order), QL_UINT("offered", delta.offered),
	       QL_UINT("admitted", delta.admitted),
	       QL_UINT("refused", delta.refused), QL_UINT("late", delta.late),
	       QL_UINT("wait_us",
		       delta.admitted ? delta.waited_us / delta.admitted : 0));
}

static void log_gate(ql_load_log_t *log)
{
	ql_gate_usage_t usage;
	uint32_t order;

	ql_gate_read_usage(&log->gate->gate, &usage, ql_loop_now_us(log->loop));
	for (order = 0; order < QL_SHED_ORDERS; order++)
		log_class(log, &usage, order);
	log->logged_usage = usage;
}

static void log_route_class(const ql_document_t *doc, const ql_route_t *route,
			    ql_front_route_class_t *state)
{
	const char *class_name =
		state->name[0] ? state->name
			       : doc->classes[route->class_index].name;
	const ql_front_usage_t *current = &state->usage;
	ql_front_usage_t *logged = &state->logged_usage;

	if (current->offered > logged->offered)
		ql_log(LOG_NOTICE, "route_load", QL_STR("route", route->name),
		       QL_STR("class", class_name),
		       QL_UINT("offered", current->offered - logged->offered),
		       QL_UINT("refused_early",
			       current->refused_early - logged->refused_early),
		       QL_UINT("answered",
			       current->answered - logged->answered),
		       QL_UINT("failed", current->failed - logged->failed),
		       QL_UINT("noted", current->pressure_samples -
						logged->pressure_samples),
		       QL_UINT("pressed",
			       current->congested - logged->congested),
		       QL_REAL("pressure",
			       current->pressure_sum - logged->pressure_sum),
		       QL_REAL("share", state->admission.best_effort.share),
		       QL_REAL("guaranteed_share",
			       state->admission.guaranteed.share),
		       QL_UINT("in_progress",
			       state->admission.best_effort.in_progress +
				       state->admission.guaranteed
					       .in_progress));
	*logged = *current;
}

/* A node logs its teams only when one of them was over its quota. */
static void log_quota(ql_quota_wallet_t *wallet)
{
	ql_quota_account_t *account;
	ql_quota_load_t load;
	bool any_refused = false;
	GHashTableIter iter;
	ql_quota_log_t log;
	gpointer value;

	ql_quota_log_init(&log);
	g_hash_table_iter_init(&iter, wallet->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		account = value;
		any_refused |= account->usage.refused > 0;
		load = (ql_quota_load_t){
			.team = account->name,
			.used = account->usage.used,
			.refused = account->usage.refused,
		};
		ql_quota_log_add(&log, &load);
		account->usage = (ql_quota_usage_t){0};
	}
	if (any_refused)
		ql_quota_log_write(&log);
}

static void log_route(ql_load_log_t *log, size_t index)
{
	const GPtrArray *classes = log->front->routes[index]->classes;
	guint i;

	for (i = 0; i < classes->len; i++)
		log_route_class(log->front->doc,
				&log->front->doc->routes[index],
				g_ptr_array_index(classes, i));
}

static void log_team(const char *class_name, const char *team,
		     const ql_team_usage_t *usage)
{
	ql_log(LOG_NOTICE, "team_load", QL_STR("class", class_name),
	       QL_STR("team", team), QL_UINT("offered", usage->asked),
	       QL_UINT("admitted", usage->admitted),
	       QL_UINT("refused_early", usage->refused));
}

/* The largest teams of a class, and the others together. */
static void log_teams(const char *class_name, ql_team_shares_t *shares)
{
	const ql_team_share_t *largest[TEAM_LINES_MAX];
	ql_team_usage_t usage[TEAM_LINES_MAX], rest;
	size_t n, i;

	n = ql_team_shares_largest(shares, largest, TEAM_LINES_MAX);
	for (i = 0; i < n; i++)
		usage[i] = largest[i]->usage;
	rest = ql_team_shares_take_usage(shares);
	if (!rest.refused)
		return;
	for (i = 0; i < n; i++) {
		log_team(class_name, largest[i]->name, &usage[i]);
		rest.asked -= usage[i].asked;
		rest.admitted -= usage[i].admitted;
		rest.refused -= usage[i].refused;
	}
	if (rest.asked)
		log_team(class_name, OTHER_TEAMS, &rest);
}

static void log_all_teams(const ql_load_log_t *log)
{
	gpointer class_name, shares;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, log->front->team_shares);
	while (g_hash_table_iter_next(&iter, &class_name, &shares))
		log_teams(class_name, shares);
}

/* A service that was not heard of for a second has no line. */
static void log_service(ql_load_log_t *log, const char *name,
			ql_front_service_t *service)
{
	uint64_t refusals = service->balancer.refusals;
	ql_balancer_spread_t spread;

	ql_balancer_get_spread(&service->balancer, &spread,
			       ql_loop_now_us(log->loop));
	if (spread.n_known)
		ql_log(LOG_NOTICE, "service_load", QL_STR("service", name),
		       QL_UINT("endpoints", service->balancer.all->len),
		       QL_UINT("known", spread.n_known),
		       QL_REAL("mean", spread.mean),
		       QL_REAL("busiest", spread.busiest),
		       QL_REAL("idle_slots", spread.idle_slots),
		       QL_UINT("slots", spread.slots),
		       QL_REAL("cross_share",
			       service->balancer.even_load.cross_share),
		       QL_UINT("refused", refusals - service->logged_refusals));
	service->logged_refusals = refusals;
}

static void log_services(ql_load_log_t *log)
{
	gpointer name, service;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, log->front->services);
	while (g_hash_table_iter_next(&iter, &name, &service))
		log_service(log, name, service);
}

static void on_timer(void *data)
{
	ql_load_log_t *log = data;
	size_t i;

	log_gate(log);
	for (i = 0; log->front->doc && i < log->front->doc->n_routes; i++)
		log_route(log, i);
	log_quota(&log->front->quota);
	log_all_teams(log);
	log_services(log);
	ql_loop_start_timer(log->loop, &log->timer, LOG_PERIOD_MS);
}

void ql_load_log_start(ql_load_log_t *log, ql_loop_t *loop, ql_front_t *front,
		       ql_local_gate_t *gate)
{
	memset(log, 0, sizeof(*log));
	log->loop = loop;
	log->front = front;
	log->gate = gate;
	log->timer.expired = on_timer;
	log->timer.data = log;
	ql_loop_start_timer(loop, &log->timer, LOG_PERIOD_MS);
}

void ql_load_log_stop(ql_load_log_t *log)
{
	ql_loop_stop_timer(log->loop, &log->timer);
}
