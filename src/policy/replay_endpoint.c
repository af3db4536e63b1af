#include "quetzalloft/clock.h"
#include "replay_model.h"

#include <math.h>
#include <string.h>

/* Queueing delay limit of a gate without overload control. */
#define UNCONTROLLED_QUEUE_MAX_WAIT_US (1 * QL_US_PER_S)
#define NO_DEADLINE_US (UINT64_MAX / 2)
/* Most retries to one service that the retry budget of a node saves up. */
#define RETRY_BUDGET_BURST 10.0

static ql_replay__endpoint_t *endpoint_of(const ql_replay__sim_t *sim,
					  const ql_replay__attempt_t *attempt)
{
	return &sim->endpoints[attempt->endpoint];
}

static void start_gate(const ql_replay__sim_t *sim,
		       ql_replay__endpoint_t *endpoint)
{
	const ql_service_t *service = &sim->doc->services[endpoint->service];
	ql_gate_opts_t opts = {
		.limiter = sim->policy->limiter,
		.slots = endpoint->info.slots,
		.queue_max = sim->policy->queue_max,
		.max_wait_us = sim->policy->overload_control
				       ? service->queue_ms * QL_US_PER_MS
				       : UNCONTROLLED_QUEUE_MAX_WAIT_US,
		.queue = sim->policy->queue,
		.seed = g_rand_int(sim->random),
	};

	if (opts.limiter)
		ql_gate_init(&endpoint->gate, &opts);
	endpoint->gate_wakeup_us = UINT64_MAX;
}

void ql_replay__endpoint_start(ql_replay__sim_t *sim,
			       ql_replay__endpoint_t *endpoint)
{
	endpoint->is_up = true;
	endpoint->started_us = sim->now_us;
	endpoint->info.incarnation++;
	start_gate(sim, endpoint);
}

/* Initializes the state of the node of an endpoint for outgoing calls. */
static void start_node(const ql_replay__sim_t *sim,
		       ql_replay__endpoint_t *endpoint)
{
	size_t i;

	endpoint->balancers = g_new0(ql_balancer_t, sim->doc->n_services);
	endpoint->retry_budgets =
		g_new0(ql_retry_budget_t, sim->doc->n_services);
	for (i = 0; i < sim->doc->n_services; i++) {
		ql_balancer_init(&endpoint->balancers[i], sim->policy->balancer,
				 endpoint->info.failure_domain, sim->random);
		ql_retry_budget_init(&endpoint->retry_budgets[i],
				     sim->doc->services[i].retry_ratio,
				     RETRY_BUDGET_BURST);
	}
	ql_early_rejection_init(&endpoint->early_rejection, sim->doc->n_routes,
				sim->random);
}

static void add_endpoint(ql_replay__sim_t *sim, uint32_t index,
			 const ql_replay_endpoints_t *source, uint32_t ordinal)
{
	ql_replay__endpoint_t *endpoint = &sim->endpoints[index];

	endpoint->source = source;
	endpoint->service =
		(uint16_t)ql_document_find_service(sim->doc, source->service);
	g_snprintf(endpoint->info.gate, QL_ADDRESS_MAX, "%s/%u",
		   source->service, ordinal);
	g_snprintf(endpoint->info.failure_domain, QL_NAME_MAX, "d%u",
		   (uint32_t)(ordinal % sim->trace->failure_domains));
	endpoint->info.slots = (uint32_t)source->reported_slots;
	endpoint->info.connections = (uint32_t)source->connections;
	endpoint->attempts = g_hash_table_new(NULL, NULL);
	g_queue_init(&endpoint->backlog);
	g_hash_table_insert(sim->endpoint_by_gate, endpoint->info.gate,
			    GUINT_TO_POINTER(index));
	start_node(sim, endpoint);
	ql_replay__endpoint_start(sim, endpoint);
}

void ql_replay__endpoints_init(ql_replay__sim_t *sim)
{
	const GArray *sources = sim->trace->endpoints;
	const ql_replay_endpoints_t *source;
	uint32_t index = 0, ordinal;
	guint i;

	for (i = 0; i < sources->len; i++)
		sim->n_endpoints +=
			(uint32_t)g_array_index(sources, ql_replay_endpoints_t,
						i)
				.count;
	sim->endpoint_by_gate = g_hash_table_new(g_str_hash, g_str_equal);
	sim->endpoints = g_new0(ql_replay__endpoint_t, sim->n_endpoints);
	for (i = 0; i < sources->len; i++) {
		source = &g_array_index(sources, ql_replay_endpoints_t, i);
		for (ordinal = 0; ordinal < source->count; ordinal++)
			add_endpoint(sim, index++, source, ordinal);
	}
	for (index = 0; index < sim->n_endpoints; index++)
		ql_replay__update_membership(sim, index);
}

static void finish_node(const ql_replay__sim_t *sim,
			ql_replay__endpoint_t *endpoint)
{
	size_t i;

	for (i = 0; i < sim->doc->n_services; i++)
		ql_balancer_finish(&endpoint->balancers[i]);
	g_free(endpoint->balancers);
	g_free(endpoint->retry_budgets);
	ql_early_rejection_finish(&endpoint->early_rejection);
}

void ql_replay__endpoints_finish(ql_replay__sim_t *sim)
{
	ql_replay__endpoint_t *endpoint;
	uint32_t i;

	for (i = 0; i < sim->n_endpoints; i++) {
		endpoint = &sim->endpoints[i];
		if (sim->policy->limiter && endpoint->is_up)
			ql_gate_finish(&endpoint->gate);
		g_hash_table_destroy(endpoint->attempts);
		g_queue_clear(&endpoint->backlog);
		finish_node(sim, endpoint);
	}
	g_hash_table_destroy(sim->endpoint_by_gate);
	g_free(sim->endpoints);
}

void ql_replay__update_membership(ql_replay__sim_t *sim, uint32_t index)
{
	const ql_replay__endpoint_t *changed = &sim->endpoints[index];
	bool is_serving = changed->is_up && !changed->gate.draining;
	ql_balancer_t *balancer;
	uint32_t i;

	for (i = 0; i < sim->n_endpoints; i++) {
		balancer = &sim->endpoints[i].balancers[changed->service];
		if (is_serving)
			ql_balancer_add(balancer, &changed->info, sim->now_us);
		else
			ql_balancer_remove(balancer, changed->info.gate);
	}
}

static double mean_service_us(const ql_replay__sim_t *sim,
			      const ql_replay__endpoint_t *endpoint)
{
	const ql_replay_endpoints_t *source = endpoint->source;
	uint64_t age_us = sim->now_us - endpoint->started_us;
	bool is_cold = endpoint->started_us &&
		       age_us < source->cold_start_ms * QL_US_PER_MS;

	return source->service_ms * (double)QL_US_PER_MS *
	       sim->slowdown[endpoint->service] *
	       (is_cold ? source->cold_factor : 1);
}

/* The service time has a constant and an exponentially distributed part. */
static uint64_t draw_service_us(ql_replay__sim_t *sim,
				const ql_replay__endpoint_t *endpoint)
{
	double spread = endpoint->source->spread;
	double exponential = -log(1 - g_rand_double(sim->random));

	return (uint64_t)(mean_service_us(sim, endpoint) *
			  (1 - spread + spread * exponential));
}

double ql_replay__service_capacity_per_s(const ql_replay__sim_t *sim,
					 uint16_t service)
{
	const ql_replay__endpoint_t *endpoint;
	double capacity = 0;
	uint32_t i;

	for (i = 0; i < sim->n_endpoints; i++) {
		endpoint = &sim->endpoints[i];
		if (endpoint->service == service && endpoint->is_up)
			capacity += (double)endpoint->source->slots *
				    (double)QL_US_PER_S /
				    mean_service_us(sim, endpoint);
	}
	return capacity;
}

static void start_execution(ql_replay__sim_t *sim,
			    ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	ql_replay__submission_t *submission = attempt->submission;
	ql_replay__client_t *client =
		&g_array_index(sim->clients, ql_replay__client_t,
			       submission->client);

	endpoint->running++;
	attempt->state = ATTEMPT_RUNNING;
	submission->executed = true;
	if (attempt->is_root)
		client->n_executions++;
	if (attempt->is_root && client->n_executions > 1 &&
	    !submission->route->idempotent)
		ql_replay__record_violation(sim, QL_REPLAY_DUPLICATES,
					    "run %u of a %s request at %s",
					    client->n_executions,
					    submission->route->name,
					    endpoint->info.gate);
	ql_replay__schedule(sim, sim->now_us + draw_service_us(sim, endpoint),
			    EVENT_SERVICE_TIME_ELAPSED, 0, attempt);
}

/* Starts an admitted attempt, or queues it while all slots are used. */
static void admit(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);

	if (endpoint->running < endpoint->source->slots) {
		start_execution(sim, attempt);
		return;
	}
	attempt->state = ATTEMPT_WAITS_FOR_SLOT;
	g_queue_push_tail(&endpoint->backlog, attempt);
}

static void check_admitted(ql_replay__sim_t *sim,
			   const ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	uint32_t order = attempt->submission->shed_order;
	uint32_t higher;

	endpoint->last_admitted_us[order] = sim->now_us;
	for (higher = order + 1; higher < QL_SHED_ORDERS; higher++)
		if (endpoint->last_refused_us[higher] > attempt->offered_us)
			ql_replay__record_violation(
				sim, QL_REPLAY_ORDER_VIOLATIONS,
				"%s admits a %s request that "
				"was queued when a higher class was "
				"refused",
				endpoint->info.gate,
				attempt->submission->route->name);
}

static void check_refused(ql_replay__sim_t *sim,
			  const ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	uint32_t order = attempt->submission->shed_order;
	uint32_t lower;

	endpoint->last_refused_us[order] = sim->now_us;
	for (lower = 0; lower < order; lower++)
		if (endpoint->last_admitted_us[lower] > attempt->offered_us)
			ql_replay__record_violation(
				sim, QL_REPLAY_ORDER_VIOLATIONS,
				"%s refuses a %s request although "
				"it admitted a lower class after it",
				endpoint->info.gate,
				attempt->submission->route->name);
}

static void complete_not_run(ql_replay__sim_t *sim,
			     ql_replay__attempt_t *attempt, ql_reason_t reason,
			     uint32_t retry_after_ms)
{
	ql_replay__completion_t completion = {
		.result.outcome = QL_OUTCOME_NOT_RUN,
		.result.reason = reason,
		.result.retry_after_us = retry_after_ms * QL_US_PER_MS,
		.attempts_unused =
			attempt->attempts_lent ? attempt->attempts_lent - 1 : 0,
	};

	ql_replay__attempt_complete(sim, attempt, &completion);
}

static void refuse_attempt(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt,
			   const ql_gate_decision_t *decision)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);

	sim->result->refused_at_gates++;
	if (decision->reason == QL_REASON_OVERLOAD)
		check_refused(sim, attempt);
	endpoint->in_flight--;
	attempt->load_level =
		MAX(attempt->load_level,
		    ql_gate_load_level(&endpoint->gate, sim->now_us));
	complete_not_run(sim, attempt, decision->reason,
			 decision->retry_after_ms);
}

static void schedule_gate_wakeup(ql_replay__sim_t *sim, uint32_t index)
{
	ql_replay__endpoint_t *endpoint = &sim->endpoints[index];
	uint64_t next_us = ql_gate_next_wakeup_us(&endpoint->gate);

	if (next_us >= endpoint->gate_wakeup_us)
		return;
	endpoint->gate_wakeup_us = next_us;
	ql_replay__schedule(sim, next_us, EVENT_GATE_WAKEUP, index, NULL);
}

void ql_replay__endpoint_apply_decisions(ql_replay__sim_t *sim, uint32_t index)
{
	ql_replay__endpoint_t *endpoint = &sim->endpoints[index];
	ql_replay__attempt_t *attempt;
	ql_gate_decision_t decision;

	if (!sim->policy->limiter || !endpoint->is_up)
		return;
	if (endpoint->gate_wakeup_us <= sim->now_us)
		endpoint->gate_wakeup_us = UINT64_MAX;
	while (ql_gate_next_decision(&endpoint->gate, &decision, sim->now_us)) {
		attempt =
			g_hash_table_lookup(endpoint->attempts,
					    GUINT_TO_POINTER(decision.ticket));
		g_assert(attempt);
		if (decision.verdict == QL_GATE_ADMIT) {
			check_admitted(sim, attempt);
			admit(sim, attempt);
			continue;
		}
		g_hash_table_remove(endpoint->attempts,
				    GUINT_TO_POINTER(decision.ticket));
		attempt->ticket = QL_HANDLE_NONE;
		refuse_attempt(sim, attempt, &decision);
	}
	schedule_gate_wakeup(sim, index);
}

static void offer_to_gate(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	bool overload_control = sim->policy->overload_control;
	ql_gate_request_t request = {
		.shed_order =
			overload_control ? attempt->submission->shed_order : 0,
		.under_way = attempt->under_way && overload_control,
		.deadline_us = overload_control ? attempt->deadline_us
						: NO_DEADLINE_US,
	};
	ql_gate_decision_t decision =
		ql_gate_offer(&endpoint->gate, &request, sim->now_us);

	attempt->ticket = decision.ticket;
	if (decision.verdict == QL_GATE_REFUSE) {
		refuse_attempt(sim, attempt, &decision);
		return;
	}
	g_hash_table_insert(endpoint->attempts,
			    GUINT_TO_POINTER(decision.ticket), attempt);
	attempt->state = ATTEMPT_QUEUED;
	if (decision.verdict == QL_GATE_ADMIT) {
		check_admitted(sim, attempt);
		admit(sim, attempt);
	}
}

void ql_replay__endpoint_offer(ql_replay__sim_t *sim,
			       ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	uint32_t index = attempt->endpoint;

	attempt->offered_us = sim->now_us;
	if (!endpoint->is_up ||
	    endpoint->in_flight >= endpoint->source->connections) {
		complete_not_run(sim, attempt, QL_REASON_CONNECT_FAILED, 0);
		return;
	}
	endpoint->in_flight++;
	if (!sim->policy->limiter) {
		attempt->ticket = endpoint->n_tickets_issued++;
		g_hash_table_insert(endpoint->attempts,
				    GUINT_TO_POINTER(attempt->ticket), attempt);
		admit(sim, attempt);
		return;
	}
	offer_to_gate(sim, attempt);
	ql_replay__endpoint_apply_decisions(sim, index);
}

static void start_waiting_attempts(ql_replay__sim_t *sim,
				   ql_replay__endpoint_t *endpoint)
{
	while (endpoint->running < endpoint->source->slots &&
	       !g_queue_is_empty(&endpoint->backlog))
		start_execution(sim, g_queue_pop_head(&endpoint->backlog));
}

void ql_replay__endpoint_release(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 ql_gate_outcome_t outcome)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);

	endpoint->in_flight--;
	if (attempt->state == ATTEMPT_RUNNING)
		endpoint->running--;
	else if (attempt->state == ATTEMPT_WAITS_FOR_SLOT)
		g_queue_remove(&endpoint->backlog, attempt);
	attempt->state = ATTEMPT_COMPLETED;
	g_hash_table_remove(endpoint->attempts,
			    GUINT_TO_POINTER(attempt->ticket));
	if (sim->policy->limiter) {
		if (!ql_gate_cancel(&endpoint->gate, attempt->ticket))
			ql_gate_finish_request(&endpoint->gate, attempt->ticket,
					       outcome, sim->now_us);
		attempt->load_level =
			MAX(attempt->load_level,
			    ql_gate_load_level(&endpoint->gate, sim->now_us));
	}
	start_waiting_attempts(sim, endpoint);
	ql_replay__schedule(sim, sim->now_us, EVENT_GATE_WAKEUP,
			    attempt->endpoint, NULL);
}
