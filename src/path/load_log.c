#include "path/load_log.h"
#include "quetzalloft/log.h"

#include <string.h>

#define LOG_PERIOD_MS 1000u

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

static void log_route(ql_load_log_t *log, size_t index)
{
	const ql_route_t *route = &log->front->doc->routes[index];
	ql_front_route_t *route_state = log->front->routes[index];
	const ql_front_usage_t *current = &route_state->usage;
	ql_front_usage_t *logged = &route_state->logged_usage;

	if (current->offered > logged->offered)
		ql_log(LOG_NOTICE, "route_load", QL_STR("route", route->name),
		       QL_STR("class",
			      log->front->doc->classes[route->class_index]
				      .name),
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
		       QL_REAL("share",
			       route_state->admission.best_effort.share),
		       QL_REAL("guaranteed_share",
			       route_state->admission.guaranteed.share),
		       QL_UINT("in_progress",
			       route_state->admission.best_effort.in_progress +
				       route_state->admission.guaranteed
					       .in_progress));
	*logged = *current;
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
