#include "policy/replay_model.h"
#include "quetzalloft/clock.h"

#include <string.h>

static uint32_t find_endpoint(const ql_replay__sim_t *sim,
			      const ql_replay_fault_t *fault)
{
	uint64_t ordinal = 0;
	uint32_t i;

	for (i = 0; i < sim->n_endpoints; i++)
		if (!strcmp(sim->endpoints[i].source->service,
			    fault->service) &&
		    ordinal++ == fault->index)
			return i;
	return UINT32_MAX;
}

static void schedule_membership(ql_replay__sim_t *sim, uint32_t index)
{
	ql_replay__schedule(sim,
			    sim->now_us + sim->trace->membership_lag_ms *
						  QL_US_PER_MS,
			    EVENT_MEMBERSHIP_UPDATE, index, NULL);
}

/* Stops an endpoint, which makes the outcome of its attempts unknown. */
static void kill_endpoint(ql_replay__sim_t *sim, uint32_t index)
{
	ql_replay__endpoint_t *endpoint = &sim->endpoints[index];
	ql_replay__completion_t completion = {
		.result.outcome = QL_OUTCOME_UNKNOWN,
		.result.reason = QL_REASON_CONNECTION_LOST,
	};
	GList *attempts = g_hash_table_get_values(endpoint->attempts);
	GList *link;

	endpoint->is_up = false;
	if (sim->policy->limiter)
		ql_gate_finish(&endpoint->gate);
	g_hash_table_remove_all(endpoint->attempts);
	g_queue_clear(&endpoint->backlog);
	endpoint->in_flight = 0;
	endpoint->running = 0;
	for (link = attempts; link; link = link->next) {
		((ql_replay__attempt_t *)link->data)->state = ATTEMPT_COMPLETED;
		ql_replay__attempt_complete(sim, link->data, &completion);
	}
	g_list_free(attempts);
	schedule_membership(sim, index);
}

static void drain_endpoint(ql_replay__sim_t *sim, uint32_t index)
{
	ql_gate_drain(&sim->endpoints[index].gate);
	ql_replay__endpoint_apply_decisions(sim, index);
	schedule_membership(sim, index);
}

void ql_replay__fault_start(ql_replay__sim_t *sim, uint32_t index)
{
	const ql_replay_fault_t *fault =
		&g_array_index(sim->trace->faults, ql_replay_fault_t, index);
	uint32_t endpoint = find_endpoint(sim, fault);

	if (fault->type == QL_REPLAY_SLOWDOWN)
		sim->slowdown[ql_document_find_service(sim->doc,
						       fault->service)] =
			fault->factor;
	else if (fault->type == QL_REPLAY_SURGE)
		sim->surge = fault->factor;
	else if (endpoint == UINT32_MAX)
		return;
	else if (fault->type == QL_REPLAY_KILL)
		kill_endpoint(sim, endpoint);
	else if (sim->policy->limiter)
		drain_endpoint(sim, endpoint);
}

void ql_replay__fault_end(ql_replay__sim_t *sim, uint32_t index)
{
	const ql_replay_fault_t *fault =
		&g_array_index(sim->trace->faults, ql_replay_fault_t, index);
	uint32_t endpoint = find_endpoint(sim, fault);

	if (fault->type == QL_REPLAY_SLOWDOWN) {
		sim->slowdown[ql_document_find_service(sim->doc,
						       fault->service)] = 1;
	} else if (fault->type == QL_REPLAY_SURGE) {
		sim->surge = 1;
	} else if (endpoint != UINT32_MAX) {
		if (sim->endpoints[endpoint].is_up)
			kill_endpoint(sim, endpoint);
		ql_replay__endpoint_start(sim, &sim->endpoints[endpoint]);
		schedule_membership(sim, endpoint);
	}
}
