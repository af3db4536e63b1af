#include "quetzalloft/clock.h"
#include "replay_model.h"

#include <math.h>
#include <string.h>

/* Longest wait in the queue of a gate that is not guarded. */
#define PLAIN_QUEUE_US (1 * QL_US_PER_S)
#define NEVER_US (UINT64_MAX / 2)
#define RETRY_BURST 10.0

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
		.max_wait_us = sim->policy->guarded
				       ? service->queue_ms * QL_US_PER_MS
				       : PLAIN_QUEUE_US,
		.queue = sim->policy->queue,
		.seed = g_rand_int(sim->random),
	};

	if (opts.limiter)
		ql_gate_init(&endpoint->gate, &opts);
	endpoint->timer_us = UINT64_MAX;
}

void ql_replay__endpoint_start(ql_replay__sim_t *sim,
			       ql_replay__endpoint_t *endpoint)
{
	endpoint->up = true;
	endpoint->started_us = sim->now_us;
	endpoint->info.incarnation++;
	start_gate(sim, endpoint);
}

/* What the node beside an endpoint keeps for its own calls. */
static void start_node(const ql_replay__sim_t *sim,
		       ql_replay__endpoint_t *endpoint)
{
	size_t i;

	endpoint->balancers = g_new0(ql_balancer_t, sim->doc->n_services);
	endpoint->budgets = g_new0(ql_retry_budget_t, sim->doc->n_services);
	for (i = 0; i < sim->doc->n_services; i++) {
		ql_balancer_init(&endpoint->balancers[i], sim->policy->balancer,
				 endpoint->info.failure_domain, sim->random);
		ql_retry_budget_init(&endpoint->budgets[i],
				     sim->doc->services[i].retry_ratio,
				     RETRY_BURST);
	}
	ql_early_rejection_init(&endpoint->level, sim->doc->n_routes,
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
	g_hash_table_insert(sim->by_gate, endpoint->info.gate,
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
	sim->by_gate = g_hash_table_new(g_str_hash, g_str_equal);
	sim->endpoints = g_new0(ql_replay__endpoint_t, sim->n_endpoints);
	for (i = 0; i < sources->len; i++) {
		source = &g_array_index(sources, ql_replay_endpoints_t, i);
		for (ordinal = 0; ordinal < source->count; ordinal++)
			add_endpoint(sim, index++, source, ordinal);
	}
	for (index = 0; index < sim->n_endpoints; index++)
		ql_replay__membership(sim, index);
}

static void finish_node(const ql_replay__sim_t *sim,
			ql_replay__endpoint_t *endpoint)
{
	size_t i;

	for (i = 0; i < sim->doc->n_services; i++)
		ql_balancer_finish(&endpoint->balancers[i]);
	g_free(endpoint->balancers);
	g_free(endpoint->budgets);
	ql_early_rejection_finish(&endpoint->level);
}

void ql_replay__endpoints_finish(ql_replay__sim_t *sim)
{
	ql_replay__endpoint_t *endpoint;
	uint32_t i;

	for (i = 0; i < sim->n_endpoints; i++) {
		endpoint = &sim->endpoints[i];
		if (sim->policy->limiter && endpoint->up)
			ql_gate_finish(&endpoint->gate);
		g_hash_table_destroy(endpoint->attempts);
		g_queue_clear(&endpoint->backlog);
		finish_node(sim, endpoint);
	}
	g_hash_table_destroy(sim->by_gate);
	g_free(sim->endpoints);
}

/* Every node hears that an endpoint came or left. */
void ql_replay__membership(ql_replay__sim_t *sim, uint32_t index)
{
	const ql_replay__endpoint_t *subject = &sim->endpoints[index];
	bool serves = subject->up && !subject->gate.draining;
	ql_balancer_t *balancer;
	uint32_t i;

	for (i = 0; i < sim->n_endpoints; i++) {
		balancer = &sim->endpoints[i].balancers[subject->service];
		if (serves)
			ql_balancer_add(balancer, &subject->info, sim->now_us);
		else
			ql_balancer_remove(balancer, subject->info.gate);
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

/* Time of own work: a constant part and an exponential one. */
static uint64_t draw_service_us(ql_replay__sim_t *sim,
				const ql_replay__endpoint_t *endpoint)
{
	double spread = endpoint->source->spread;
	double random = -log(1 - g_rand_double(sim->random));

	return (uint64_t)(mean_service_us(sim, endpoint) *
			  (1 - spread + spread * random));
}

double ql_replay__capacity(const ql_replay__sim_t *sim, uint16_t service)
{
	const ql_replay__endpoint_t *endpoint;
	double capacity = 0;
	uint32_t i;

	for (i = 0; i < sim->n_endpoints; i++) {
		endpoint = &sim->endpoints[i];
		if (endpoint->service == service && endpoint->up)
			capacity += (double)endpoint->source->slots *
				    (double)QL_US_PER_S /
				    mean_service_us(sim, endpoint);
	}
	return capacity;
}

static void run(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	ql_replay__submission_t *submission = attempt->submission;
	ql_replay__client_t *client =
		&g_array_index(sim->clients, ql_replay__client_t,
			       submission->client);

	endpoint->running++;
	attempt->state = ATTEMPT_RUNNING;
	submission->ran = true;
	if (attempt->is_root)
		client->runs++;
	if (attempt->is_root && client->runs > 1 &&
	    !submission->route->idempotent)
		ql_replay__violation(sim, QL_REPLAY_DUPLICATES,
				     "run %u of a %s request at %s",
				     client->runs, submission->route->name,
				     endpoint->info.gate);
	ql_replay__schedule(sim, sim->now_us + draw_service_us(sim, endpoint),
			    EVENT_ATTEMPT_STEP, 0, attempt);
}

/* The gate let the attempt in; the endpoint may make it wait for a slot. */
static void enter(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);

	if (endpoint->running < endpoint->source->slots) {
		run(sim, attempt);
		return;
	}
	attempt->state = ATTEMPT_BACKLOG;
	g_queue_push_tail(&endpoint->backlog, attempt);
}

static void check_admitted(ql_replay__sim_t *sim,
			   const ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	uint32_t order = attempt->submission->shed_order;
	uint32_t higher;

	endpoint->admitted_us[order] = sim->now_us;
	for (higher = order + 1; higher < QL_SHED_ORDERS; higher++)
		if (endpoint->refused_us[higher] > attempt->offered_us)
			ql_replay__violation(sim, QL_REPLAY_ORDER_VIOLATIONS,
					     "%s admits a %s request that "
					     "waited while a higher class was "
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

	endpoint->refused_us[order] = sim->now_us;
	for (lower = 0; lower < order; lower++)
		if (endpoint->admitted_us[lower] > attempt->offered_us)
			ql_replay__violation(sim, QL_REPLAY_ORDER_VIOLATIONS,
					     "%s refuses a %s request after it "
					     "let a lower class in",
					     endpoint->info.gate,
					     attempt->submission->route->name);
}

static void end_not_run(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt,
			ql_reason_t reason, uint32_t retry_after_ms)
{
	ql_replay__end_t end = {
		.result.outcome = QL_OUTCOME_NOT_RUN,
		.result.reason = reason,
		.result.retry_after_us = retry_after_ms * QL_US_PER_MS,
		.unused = attempt->lent ? attempt->lent - 1 : 0,
	};

	ql_replay__attempt_end(sim, attempt, &end);
}

static void refuse(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt,
		   const ql_gate_decision_t *decision)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);

	sim->result->refused_at_gates++;
	if (decision->reason == QL_REASON_OVERLOAD)
		check_refused(sim, attempt);
	endpoint->open--;
	attempt->level = MAX(attempt->level,
			     ql_gate_load_level(&endpoint->gate, sim->now_us));
	end_not_run(sim, attempt, decision->reason, decision->retry_after_ms);
}

static void arm_timer(ql_replay__sim_t *sim, uint32_t index)
{
	ql_replay__endpoint_t *endpoint = &sim->endpoints[index];
	uint64_t next_us = ql_gate_next_wakeup_us(&endpoint->gate);

	if (next_us >= endpoint->timer_us)
		return;
	endpoint->timer_us = next_us;
	ql_replay__schedule(sim, next_us, EVENT_GATE, index, NULL);
}

void ql_replay__endpoint_pump(ql_replay__sim_t *sim, uint32_t index)
{
	ql_replay__endpoint_t *endpoint = &sim->endpoints[index];
	ql_replay__attempt_t *attempt;
	ql_gate_decision_t decision;

	if (!sim->policy->limiter || !endpoint->up)
		return;
	if (endpoint->timer_us <= sim->now_us)
		endpoint->timer_us = UINT64_MAX;
	while (ql_gate_next_decision(&endpoint->gate, &decision, sim->now_us)) {
		attempt =
			g_hash_table_lookup(endpoint->attempts,
					    GUINT_TO_POINTER(decision.ticket));
		g_assert(attempt);
		if (decision.verdict == QL_GATE_ADMIT) {
			check_admitted(sim, attempt);
			enter(sim, attempt);
			continue;
		}
		g_hash_table_remove(endpoint->attempts,
				    GUINT_TO_POINTER(decision.ticket));
		attempt->ticket = QL_HANDLE_NONE;
		refuse(sim, attempt, &decision);
	}
	arm_timer(sim, index);
}

static void offer(ql_replay__sim_t *sim, ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	bool guarded = sim->policy->guarded;
	ql_gate_request_t request = {
		.shed_order = guarded ? attempt->submission->shed_order : 0,
		.under_way = attempt->under_way && guarded,
		.deadline_us = guarded ? attempt->deadline_us : NEVER_US,
	};
	ql_gate_decision_t decision =
		ql_gate_offer(&endpoint->gate, &request, sim->now_us);

	attempt->ticket = decision.ticket;
	if (decision.verdict == QL_GATE_REFUSE) {
		refuse(sim, attempt, &decision);
		return;
	}
	g_hash_table_insert(endpoint->attempts,
			    GUINT_TO_POINTER(decision.ticket), attempt);
	attempt->state = ATTEMPT_QUEUED;
	if (decision.verdict == QL_GATE_ADMIT) {
		check_admitted(sim, attempt);
		enter(sim, attempt);
	}
}

void ql_replay__endpoint_take(ql_replay__sim_t *sim,
			      ql_replay__attempt_t *attempt)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);
	uint32_t index = attempt->endpoint;

	attempt->offered_us = sim->now_us;
	if (!endpoint->up || endpoint->open >= endpoint->source->connections) {
		end_not_run(sim, attempt, QL_REASON_CONNECT_FAILED, 0);
		return;
	}
	endpoint->open++;
	if (!sim->policy->limiter) {
		attempt->ticket = endpoint->n_tickets++;
		g_hash_table_insert(endpoint->attempts,
				    GUINT_TO_POINTER(attempt->ticket), attempt);
		enter(sim, attempt);
		return;
	}
	offer(sim, attempt);
	ql_replay__endpoint_pump(sim, index);
}

static void run_backlog(ql_replay__sim_t *sim, ql_replay__endpoint_t *endpoint)
{
	while (endpoint->running < endpoint->source->slots &&
	       !g_queue_is_empty(&endpoint->backlog))
		run(sim, g_queue_pop_head(&endpoint->backlog));
}

void ql_replay__endpoint_release(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 ql_gate_outcome_t end)
{
	ql_replay__endpoint_t *endpoint = endpoint_of(sim, attempt);

	endpoint->open--;
	if (attempt->state == ATTEMPT_RUNNING)
		endpoint->running--;
	else if (attempt->state == ATTEMPT_BACKLOG)
		g_queue_remove(&endpoint->backlog, attempt);
	attempt->state = ATTEMPT_OVER;
	g_hash_table_remove(endpoint->attempts,
			    GUINT_TO_POINTER(attempt->ticket));
	if (sim->policy->limiter) {
		if (!ql_gate_cancel(&endpoint->gate, attempt->ticket))
			ql_gate_finish_request(&endpoint->gate, attempt->ticket,
					       end, sim->now_us);
		attempt->level =
			MAX(attempt->level,
			    ql_gate_load_level(&endpoint->gate, sim->now_us));
	}
	run_backlog(sim, endpoint);
	ql_replay__schedule(sim, sim->now_us, EVENT_GATE, attempt->endpoint,
			    NULL);
}
