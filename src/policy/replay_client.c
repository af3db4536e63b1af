#include "quetzalloft/clock.h"
#include "replay_model.h"

#include <math.h>
#include <string.h>

static ql_replay__client_t *client_at(const ql_replay__sim_t *sim,
				      uint32_t index)
{
	return &g_array_index(sim->clients, ql_replay__client_t, index);
}

static const ql_replay_arrivals_t *arrivals_at(const ql_replay__sim_t *sim,
					       uint32_t index)
{
	return &g_array_index(sim->trace->arrivals, ql_replay_arrivals_t,
			      index);
}

static const ql_route_t *find_route(const ql_document_t *doc, const char *name)
{
	size_t i;

	for (i = 0; i < doc->n_routes; i++)
		if (!strcmp(doc->routes[i].name, name))
			return &doc->routes[i];
	g_assert_not_reached();
}

/*
 * Calls of the bottleneck that one call of a service makes, directly and
 * through its downstream calls.
 */
static double bottleneck_calls_below(const ql_replay__sim_t *sim,
				     uint16_t service, bool calls)
{
	const ql_service_t *callee = &sim->doc->services[service];
	double calls_needed =
		strcmp(callee->name, sim->trace->bottleneck) ? 0 : 1;
	uint16_t i;

	for (i = 0; calls && i < callee->n_calls; i++)
		calls_needed +=
			bottleneck_calls_below(sim, callee->calls[i], true);
	return calls_needed;
}

static double bottleneck_calls_of(const ql_replay__sim_t *sim,
				  const ql_replay_arrivals_t *arrivals)
{
	return bottleneck_calls_below(
		sim, find_route(sim->doc, arrivals->route)->service,
		arrivals->calls);
}

void ql_replay__schedule_arrival(ql_replay__sim_t *sim, uint32_t index,
				 uint64_t from_us)
{
	const ql_replay_arrivals_t *arrivals = arrivals_at(sim, index);
	double rate = arrivals->rate_per_s * sim->surge;
	double wait_s = -log(1 - g_rand_double(sim->arrivals_random)) / rate;
	uint64_t time_us = from_us + (uint64_t)(wait_s * (double)QL_US_PER_S);

	if ((double)time_us < arrivals->until_s * (double)QL_US_PER_S &&
	    time_us < sim->end_us)
		ql_replay__schedule(sim, time_us, EVENT_ARRIVAL, index, NULL);
}

static bool is_top_class(const ql_replay__sim_t *sim, const ql_route_t *route)
{
	return sim->doc->classes[route->class_index].shed_order ==
	       sim->top_shed_order;
}

void ql_replay__add_client(ql_replay__sim_t *sim, uint32_t index)
{
	const ql_replay_arrivals_t *arrivals = arrivals_at(sim, index);
	ql_replay__client_t client = {
		.arrivals_index = index,
		.arrived_us = sim->now_us,
	};
	size_t bucket = ql_replay__bucket_index(sim, sim->now_us);

	ql_replay__schedule_arrival(sim, index, sim->now_us);
	sim->result->client_requests++;
	sim->offered[bucket]++;
	sim->offered_calls[bucket] += bottleneck_calls_of(sim, arrivals);
	if (is_top_class(sim, find_route(sim->doc, arrivals->route)))
		sim->n_top_class_offered++;
	g_array_append_val(sim->clients, client);
	ql_replay__submit(sim, sim->clients->len - 1);
}

/* Chooses the node of a random endpoint that runs. */
static uint32_t choose_node(ql_replay__sim_t *sim)
{
	uint32_t start = (uint32_t)g_rand_int_range(sim->random, 0,
						    (gint32)sim->n_endpoints);
	uint32_t i, index;

	for (i = 0; i < sim->n_endpoints; i++) {
		index = (start + i) % sim->n_endpoints;
		if (sim->endpoints[index].is_up)
			return index;
	}
	return start;
}

static ql_replay__submission_t *new_submission(ql_replay__sim_t *sim,
					       uint32_t index)
{
	const ql_replay__client_t *client = client_at(sim, index);
	ql_replay__submission_t *submission =
		g_rc_box_new0(ql_replay__submission_t);
	uint64_t gives_up_us =
		client->arrived_us + sim->trace->patience_ms * QL_US_PER_MS;

	submission->client = index;
	submission->node = choose_node(sim);
	submission->arrivals = arrivals_at(sim, client->arrivals_index);
	submission->route = find_route(sim->doc, submission->arrivals->route);
	submission->shed_order =
		(uint32_t)sim->doc->classes[submission->route->class_index]
			.shed_order;
	submission->deadline_us =
		MIN(gives_up_us, sim->now_us + submission->route->deadline_ms *
						       QL_US_PER_MS);
	ql_allowance_init(&submission->allowance, (uint32_t)sim->doc->attempts);
	return submission;
}

static size_t route_index(const ql_replay__sim_t *sim,
			  const ql_replay__submission_t *submission)
{
	return (size_t)(submission->route - sim->doc->routes);
}

static bool refuse_early(ql_replay__sim_t *sim,
			 ql_replay__submission_t *submission)
{
	ql_early_rejection_t *rejection =
		&sim->endpoints[submission->node].early_rejection;
	ql_early_rejection_decision_t decision;

	if (!sim->policy->early_rejection)
		return false;
	decision = ql_early_rejection_decide(rejection,
					     route_index(sim, submission),
					     sim->now_us);
	return decision.refuse;
}

static bool may_resubmit(const ql_replay__sim_t *sim,
			 const ql_replay__submission_t *submission,
			 ql_outcome_t outcome)
{
	const ql_replay__client_t *client = client_at(sim, submission->client);

	if (client->n_submissions >= sim->trace->tries)
		return false;
	return !sim->policy->overload_control ||
	       submission->route->idempotent || outcome == QL_OUTCOME_NOT_RUN;
}

/*
 * Schedules the next submission of a client that got no complete response, if
 * it may send one and would do so before it gives up.
 */
static void schedule_resubmit(ql_replay__sim_t *sim,
			      const ql_replay__submission_t *submission,
			      ql_outcome_t outcome)
{
	const ql_replay__client_t *client = client_at(sim, submission->client);
	double wait_us = 2 * g_rand_double(sim->random) *
			 (double)(sim->trace->backoff_ms * QL_US_PER_MS);
	uint64_t resubmit_us = sim->now_us + (uint64_t)wait_us;
	uint64_t gives_up_us =
		client->arrived_us + sim->trace->patience_ms * QL_US_PER_MS;

	if (may_resubmit(sim, submission, outcome) && resubmit_us < gives_up_us)
		ql_replay__schedule(sim, resubmit_us, EVENT_RESUBMIT,
				    submission->client, NULL);
}

void ql_replay__submit(ql_replay__sim_t *sim, uint32_t index)
{
	ql_replay__submission_t *submission = new_submission(sim, index);

	client_at(sim, index)->n_submissions++;
	if (refuse_early(sim, submission)) {
		sim->result->refused_early++;
		schedule_resubmit(sim, submission, QL_OUTCOME_NOT_RUN);
		ql_replay__submission_unref(submission);
		return;
	}
	if (!sim->policy->overload_control)
		ql_replay__schedule(sim, submission->deadline_us,
				    EVENT_CLIENT_GIVES_UP, 0, submission);
	ql_replay__call_start(sim, submission, NULL, submission->node,
			      submission->route->service);
	ql_replay__submission_unref(submission);
}

static void record_success(ql_replay__sim_t *sim,
			   const ql_replay__submission_t *submission)
{
	ql_replay__client_t *client = client_at(sim, submission->client);
	size_t arrived = ql_replay__bucket_index(sim, client->arrived_us);
	size_t ended = ql_replay__bucket_index(sim, sim->now_us);

	client->succeeded = true;
	sim->n_succeeded++;
	sim->succeeded_by_arrival[arrived]++;
	if (is_top_class(sim, submission->route))
		sim->n_top_class_succeeded++;
	if (sim->now_us >= sim->end_us)
		return;
	sim->succeeded_by_end[ended]++;
	sim->goodput_calls[ended] +=
		bottleneck_calls_of(sim, submission->arrivals);
}

static ql_early_rejection_outcome_t
early_rejection_outcome(const ql_replay__submission_t *submission,
			const ql_replay__completion_t *completion)
{
	if (completion->succeeded)
		return QL_EARLY_REJECTION_SERVED;
	if (completion->result.reason == QL_REASON_OVERLOAD ||
	    completion->result.reason == QL_REASON_DEADLINE ||
	    completion->result.load_level > submission->shed_order)
		return QL_EARLY_REJECTION_SHED;
	return QL_EARLY_REJECTION_OTHER;
}

void ql_replay__submission_complete(ql_replay__sim_t *sim,
				    ql_replay__submission_t *submission,
				    const ql_replay__completion_t *completion)
{
	ql_replay__endpoint_t *node = &sim->endpoints[submission->node];

	if (completion->result.outcome == QL_OUTCOME_NOT_RUN &&
	    submission->executed)
		ql_replay__record_violation(
			sim, QL_REPLAY_FALSE_NOT_RUN,
			"a %s request ended as not run but was executed",
			submission->route->name);
	ql_early_rejection_observe(
		&node->early_rejection, route_index(sim, submission),
		early_rejection_outcome(submission, completion),
		completion->result.load_level <= submission->shed_order,
		sim->now_us);
	if (submission->completed)
		return;
	submission->completed = true;
	if (completion->succeeded)
		record_success(sim, submission);
	else
		schedule_resubmit(sim, submission, completion->result.outcome);
}

void ql_replay__client_give_up(ql_replay__sim_t *sim,
			       ql_replay__submission_t *submission)
{
	if (submission->completed)
		return;
	submission->completed = true;
	schedule_resubmit(sim, submission, QL_OUTCOME_UNKNOWN);
}
