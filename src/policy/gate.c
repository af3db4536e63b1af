#include "quetzalloft/gate.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/retry.h"

#include <string.h>

/* Most requests that a gate can hold, queued and admitted together. */
#define GATE_TICKETS_MAX 65536u
/* How long a refusal for overload raises the load level. */
#define LOAD_LEVEL_HOLD_US (200 * QL_US_PER_MS)
#define RETRY_AFTER_MIN_MS 100u
#define RETRY_AFTER_MAX_MS 10000u
/* How long the expiry of a queued request is postponed each time. */
#define EXPIRY_POSTPONE_US (10 * QL_US_PER_MS)
/* One slot plus the limit divided by this is reserved for higher classes. */
#define HIGHER_CLASS_RESERVE_DIVISOR 10u
/*
 * A class with fewer queued requests than this is not throttled, so that the
 * rotation over the classes reaches it.
 */
#define ROTATION_QUEUED_PER_CLASS_MAX 4u
/* The queueing delay limit is at least this many mean service times. */
#define MAX_WAIT_MIN_SERVICE_TIMES 1.0

static void limiter_opts(const ql_gate_opts_t *opts, ql_limiter_opts_t *out)
{
	out->initial = opts->slots;
	out->min = 1;
	out->max = opts->slots;
}

static const ql_queue_ops_t *queue_ops(const ql_gate_opts_t *opts)
{
	return opts->queue ? opts->queue : &ql_queue_fifo;
}

void ql_gate_init(ql_gate_t *gate, const ql_gate_opts_t *opts)
{
	ql_limiter_opts_t limits;

	memset(gate, 0, sizeof(*gate));
	gate->opts = *opts;
	limiter_opts(opts, &limits);
	ql_limiter_init(&gate->limiter, opts->limiter, &limits);
	ql_table_init(&gate->tickets, sizeof(ql_gate_ticket_t),
		      GATE_TICKETS_MAX);
	ql_gate_queue_init(&gate->queue, queue_ops(opts), &gate->tickets,
			   opts->max_wait_us);
	gate->decisions = g_array_new(FALSE, FALSE, sizeof(ql_gate_decision_t));
	gate->random = g_rand_new_with_seed(opts->seed);
}

void ql_gate_finish(ql_gate_t *gate)
{
	g_rand_free(gate->random);
	g_array_free(gate->decisions, TRUE);
	ql_gate_queue_finish(&gate->queue);
	ql_table_finish(&gate->tickets);
}

static ql_gate_ticket_t *get_ticket(const ql_gate_t *gate, ql_handle_t handle)
{
	return ql_table_get(&gate->tickets, handle);
}

static uint32_t shed_order_of(const ql_gate_request_t *request)
{
	return MIN(request->shed_order, QL_SHED_ORDERS - 1);
}

/*
 * Returns the latest time at which the request can start and is still expected
 * to finish by its deadline.
 */
static uint64_t latest_start_us(const ql_gate_t *gate,
				const ql_gate_request_t *request,
				uint64_t now_us)
{
	uint64_t service_us = (uint64_t)ql_service_times_lower_bound_us(
		&gate->times, shed_order_of(request), now_us);

	return request->deadline_us > service_us
		       ? request->deadline_us - service_us
		       : 0;
}

static void raise_load_level(ql_gate_t *gate, uint32_t shed_order,
			     uint64_t now_us)
{
	if (shed_order + 1 < ql_gate_load_level(gate, now_us))
		return;
	gate->load_level = shed_order + 1;
	gate->load_level_us = now_us;
}

/*
 * Returns the estimated time in which the queue drains plus twice the queueing
 * delay limit, with jitter.
 */
static uint32_t retry_after_ms(const ql_gate_t *gate, uint32_t order)
{
	double queued = ql_gate_queue_length(&gate->queue);
	double drain_us = queued * gate->times.classes[order].mean_us /
			  ql_limiter_get(&gate->limiter);
	double wait_ms = (2.0 * (double)gate->opts.max_wait_us + drain_us) /
			 (double)QL_US_PER_MS;

	wait_ms = CLAMP(wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
	return ql_retry_after_ms(wait_ms, gate->random);
}

static void count_refusal(ql_gate_t *gate, uint32_t order, ql_reason_t reason)
{
	ql_gate_usage_class_t *class = &gate->usage.classes[order];

	if (reason == QL_REASON_OVERLOAD)
		class->refused++;
	else if (reason == QL_REASON_DEADLINE)
		class->late++;
}

static ql_gate_decision_t refuse(ql_gate_t *gate,
				 const ql_gate_request_t *request,
				 ql_reason_t reason, uint64_t now_us)
{
	count_refusal(gate, shed_order_of(request), reason);
	if (reason == QL_REASON_OVERLOAD)
		raise_load_level(gate, shed_order_of(request), now_us);
	return (ql_gate_decision_t){
		.verdict = QL_GATE_REFUSE,
		.ticket = QL_HANDLE_NONE,
		.reason = reason,
		.retry_after_ms = retry_after_ms(gate, shed_order_of(request)),
	};
}

/* Removes a queued request and stores the decision to refuse it. */
static void refuse_queued(ql_gate_t *gate, ql_handle_t handle,
			  ql_reason_t reason, uint64_t now_us)
{
	const ql_gate_ticket_t *ticket = get_ticket(gate, handle);
	ql_gate_decision_t decision =
		refuse(gate, &ticket->request, reason, now_us);

	decision.ticket = handle;
	ql_gate_queue_remove(&gate->queue, handle);
	ql_table_remove(&gate->tickets, handle);
	g_array_append_val(gate->decisions, decision);
}

static bool is_below_limit(const ql_gate_t *gate)
{
	return gate->in_progress < ql_limiter_get(&gate->limiter);
}

static void admit(ql_gate_t *gate, ql_gate_ticket_t *ticket, uint64_t now_us)
{
	ql_gate_usage_class_t *class =
		&gate->usage.classes[shed_order_of(&ticket->request)];

	class->admitted++;
	class->waited_us += now_us - ticket->since_us;
	ql_gate_usage_advance(&gate->usage, gate->in_progress, now_us);
	ticket->admitted = true;
	ticket->since_us = now_us;
	ticket->in_progress = ++gate->in_progress;
	if (!ticket->anti_starvation)
		gate->running[shed_order_of(&ticket->request)]++;
}

/*
 * Returns true if a higher class was refused recently and only the reserve for
 * higher classes is left of the limit.
 */
static bool is_throttled(const ql_gate_t *gate,
			 const ql_gate_request_t *request, uint64_t now_us)
{
	uint32_t limit = ql_limiter_get(&gate->limiter);
	uint32_t reserve = 1 + limit / HIGHER_CLASS_RESERVE_DIVISOR;

	/* Keep a few of each class queued for the rotation over the classes. */
	if (gate->opts.lower_class_interval &&
	    gate->queue.waiting[shed_order_of(request)] <
		    ROTATION_QUEUED_PER_CLASS_MAX)
		return false;
	return shed_order_of(request) + 1 < ql_gate_load_level(gate, now_us) &&
	       gate->in_progress + reserve >= limit;
}

/* Refuses the lowest queued request if the new one has a higher rank. */
static bool displace_lowest(ql_gate_t *gate, const ql_gate_request_t *request,
			    uint64_t now_us)
{
	ql_handle_t lowest = ql_gate_queue_lowest(&gate->queue);

	if (lowest == QL_HANDLE_NONE ||
	    ql_gate_rank(&get_ticket(gate, lowest)->request) >=
		    ql_gate_rank(request))
		return false;
	refuse_queued(gate, lowest, QL_REASON_OVERLOAD, now_us);
	return true;
}

/*
 * Returns the queueing delay limit of a request. A slow service frees its slots
 * less often, and a limit below its service time would refuse requests that the
 * next free slot could have served.
 */
static uint64_t wait_limit_us(const ql_gate_t *gate,
			      const ql_gate_request_t *request)
{
	double service_us = gate->times.classes[shed_order_of(request)].mean_us;

	return MAX(gate->opts.max_wait_us,
		   (uint64_t)(MAX_WAIT_MIN_SERVICE_TIMES * service_us));
}

static ql_handle_t insert_ticket(ql_gate_t *gate,
				 const ql_gate_request_t *request,
				 uint64_t now_us)
{
	void *row;
	ql_gate_ticket_t *ticket;
	ql_handle_t handle = ql_table_insert(&gate->tickets, &row);

	if (handle == QL_HANDLE_NONE && displace_lowest(gate, request, now_us))
		handle = ql_table_insert(&gate->tickets, &row);
	if (handle == QL_HANDLE_NONE)
		return handle;
	ticket = row;
	ticket->request = *request;
	ticket->since_us = now_us;
	ticket->expires_us = MIN(latest_start_us(gate, request, now_us),
				 now_us + wait_limit_us(gate, request));
	return handle;
}

ql_gate_decision_t ql_gate_offer(ql_gate_t *gate,
				 const ql_gate_request_t *request,
				 uint64_t now_us)
{
	ql_gate_decision_t decision = {0};

	gate->usage.classes[shed_order_of(request)].offered++;
	if (gate->draining)
		return refuse(gate, request, QL_REASON_DRAINING, now_us);
	if (request->deadline_us <= now_us ||
	    latest_start_us(gate, request, now_us) < now_us)
		return refuse(gate, request, QL_REASON_DEADLINE, now_us);
	if (is_throttled(gate, request, now_us))
		return refuse(gate, request, QL_REASON_OVERLOAD, now_us);
	decision.ticket = insert_ticket(gate, request, now_us);
	if (decision.ticket == QL_HANDLE_NONE)
		return refuse(gate, request, QL_REASON_OVERLOAD, now_us);
	if (!ql_gate_queue_length(&gate->queue) && is_below_limit(gate)) {
		admit(gate, get_ticket(gate, decision.ticket), now_us);
		decision.verdict = QL_GATE_ADMIT;
		return decision;
	}
	if (ql_gate_queue_length(&gate->queue) >= gate->opts.queue_max &&
	    !displace_lowest(gate, request, now_us)) {
		ql_table_remove(&gate->tickets, decision.ticket);
		return refuse(gate, request, QL_REASON_OVERLOAD, now_us);
	}
	ql_gate_queue_push(&gate->queue, decision.ticket, now_us);
	decision.verdict = QL_GATE_QUEUE;
	return decision;
}

static void observe(ql_gate_t *gate, const ql_gate_ticket_t *ticket,
		    ql_gate_outcome_t outcome, uint64_t now_us)
{
	ql_limiter_sample_t sample = {
		.latency_us = now_us - ticket->since_us,
		.in_progress = ticket->in_progress,
		.overloaded = outcome == QL_GATE_OVERLOADED,
		.timed_out = outcome == QL_GATE_OVERLOADED &&
			     now_us >= ticket->request.deadline_us,
	};

	ql_limiter_observe(&gate->limiter, &sample, now_us);
	ql_service_times_observe(&gate->times, shed_order_of(&ticket->request),
				 (double)sample.latency_us, now_us);
}

void ql_gate_finish_request(ql_gate_t *gate, ql_handle_t handle,
			    ql_gate_outcome_t outcome, uint64_t now_us)
{
	const ql_gate_ticket_t *ticket = get_ticket(gate, handle);

	g_assert(ticket && ticket->admitted);
	if (outcome != QL_GATE_FAILED)
		observe(gate, ticket, outcome, now_us);
	ql_gate_usage_advance(&gate->usage, gate->in_progress, now_us);
	gate->in_progress--;
	if (!ticket->anti_starvation)
		gate->running[shed_order_of(&ticket->request)]--;
	ql_table_remove(&gate->tickets, handle);
}

bool ql_gate_cancel(ql_gate_t *gate, ql_handle_t handle)
{
	const ql_gate_ticket_t *ticket = get_ticket(gate, handle);

	if (!ticket || ticket->admitted)
		return false;
	ql_gate_queue_remove(&gate->queue, handle);
	ql_table_remove(&gate->tickets, handle);
	return true;
}

/*
 * Returns true if a class below @order is queued, or in progress in a slot that
 * can admit a request of @order once it is free.
 */
static bool has_lower_class_work(const ql_gate_t *gate, uint32_t order)
{
	ql_handle_t lowest = ql_gate_queue_lowest(&gate->queue);
	uint32_t i;

	/* Requests queued for the rotation take no slots from this class. */
	if (!gate->opts.lower_class_interval &&
	    shed_order_of(&get_ticket(gate, lowest)->request) < order)
		return true;
	for (i = 0; i < order; i++)
		if (gate->running[i])
			return true;
	return false;
}

/*
 * Refuses an expired request. While a lower class is queued or in progress,
 * postpones its expiry instead, if it can still finish by its deadline.
 */
static void expire(ql_gate_t *gate, ql_handle_t handle, uint64_t now_us)
{
	const ql_gate_ticket_t *ticket = get_ticket(gate, handle);
	uint64_t latest_us = latest_start_us(gate, &ticket->request, now_us);

	if (latest_us <= now_us)
		refuse_queued(gate, handle, QL_REASON_DEADLINE, now_us);
	else if (has_lower_class_work(gate, shed_order_of(&ticket->request)))
		ql_gate_queue_postpone(&gate->queue, handle,
				       MIN(latest_us,
					   now_us + EXPIRY_POSTPONE_US));
	else
		refuse_queued(gate, handle, QL_REASON_OVERLOAD, now_us);
}

static void expire_due_requests(ql_gate_t *gate, uint64_t now_us)
{
	ql_handle_t handle;

	while ((handle = ql_gate_queue_expiring(&gate->queue)) !=
		       QL_HANDLE_NONE &&
	       get_ticket(gate, handle)->expires_us <= now_us)
		expire(gate, handle, now_us);
}

static bool take_decision(ql_gate_t *gate, ql_gate_decision_t *decision)
{
	if (gate->n_decisions_taken == gate->decisions->len)
		return false;
	*decision = g_array_index(gate->decisions, ql_gate_decision_t,
				  gate->n_decisions_taken++);
	if (gate->n_decisions_taken == gate->decisions->len) {
		g_array_set_size(gate->decisions, 0);
		gate->n_decisions_taken = 0;
	}
	return true;
}

/* The request to admit next from the queue. */
typedef struct {
	ql_handle_t handle;
	/* Selected ahead of a higher class, by rotation. */
	bool anti_starvation;
	/* A lower class is queued behind this request. */
	bool lower_class_queued;
} candidate_t;

static candidate_t find_candidate(const ql_gate_t *gate, uint64_t now_us)
{
	candidate_t candidate = {
		.handle = ql_gate_queue_head(&gate->queue, now_us)};
	ql_handle_t lower = QL_HANDLE_NONE;

	if (gate->opts.lower_class_interval)
		lower = ql_gate_queue_next_lower_class(&gate->queue,
						       gate->last_lower_class,
						       now_us);
	candidate.lower_class_queued = lower != QL_HANDLE_NONE;
	if (candidate.lower_class_queued &&
	    gate->n_since_lower_class + 1 >= gate->opts.lower_class_interval)
		candidate =
			(candidate_t){.handle = lower, .anti_starvation = true};
	return candidate;
}

static void record_rotation(ql_gate_t *gate, ql_gate_ticket_t *ticket,
			    const candidate_t *candidate)
{
	ticket->anti_starvation = candidate->anti_starvation;
	if (candidate->anti_starvation) {
		gate->last_lower_class = shed_order_of(&ticket->request);
		gate->n_since_lower_class = 0;
	} else if (candidate->lower_class_queued) {
		gate->n_since_lower_class++;
	}
}

/*
 * Decides on the request to admit next: admits it, or refuses it if it cannot
 * finish by its deadline, or sheds the lowest request by the queue policy.
 */
static bool decide_candidate(ql_gate_t *gate, ql_gate_decision_t *decision,
			     uint64_t now_us)
{
	candidate_t candidate = find_candidate(gate, now_us);
	ql_gate_ticket_t *ticket = get_ticket(gate, candidate.handle);

	if (latest_start_us(gate, &ticket->request, now_us) < now_us) {
		refuse_queued(gate, candidate.handle, QL_REASON_DEADLINE,
			      now_us);
		return take_decision(gate, decision);
	}
	if (gate->queue.ops->shed(&gate->queue, now_us - ticket->since_us,
				  now_us)) {
		refuse_queued(gate, ql_gate_queue_lowest(&gate->queue),
			      QL_REASON_OVERLOAD, now_us);
		return take_decision(gate, decision);
	}
	record_rotation(gate, ticket, &candidate);
	ql_gate_queue_remove(&gate->queue, candidate.handle);
	admit(gate, ticket, now_us);
	memset(decision, 0, sizeof(*decision));
	decision->verdict = QL_GATE_ADMIT;
	decision->ticket = candidate.handle;
	return true;
}

bool ql_gate_next_decision(ql_gate_t *gate, ql_gate_decision_t *decision,
			   uint64_t now_us)
{
	expire_due_requests(gate, now_us);
	if (take_decision(gate, decision))
		return true;
	if (!ql_gate_queue_length(&gate->queue) || !is_below_limit(gate))
		return false;
	return decide_candidate(gate, decision, now_us);
}

uint64_t ql_gate_next_wakeup_us(const ql_gate_t *gate)
{
	ql_handle_t handle;

	if (gate->n_decisions_taken < gate->decisions->len)
		return 0;
	handle = ql_gate_queue_expiring(&gate->queue);
	return handle == QL_HANDLE_NONE ? UINT64_MAX
					: get_ticket(gate, handle)->expires_us;
}

static void cut_queue(ql_gate_t *gate, guint length, ql_reason_t reason,
		      uint64_t now_us)
{
	while (ql_gate_queue_length(&gate->queue) > length)
		refuse_queued(gate, ql_gate_queue_lowest(&gate->queue), reason,
			      now_us);
}

void ql_gate_drain(ql_gate_t *gate)
{
	gate->draining = true;
	cut_queue(gate, 0, QL_REASON_DRAINING, 0);
}

void ql_gate_configure(ql_gate_t *gate, const ql_gate_opts_t *opts,
		       uint64_t now_us)
{
	ql_limiter_opts_t limits;

	limiter_opts(opts, &limits);
	ql_limiter_configure(&gate->limiter, opts->limiter, &limits);
	gate->opts = *opts;
	gate->queue.ops = queue_ops(opts);
	gate->queue.max_wait_us = opts->max_wait_us;
	cut_queue(gate, opts->queue_max, QL_REASON_OVERLOAD, now_us);
}

void ql_gate_read_usage(ql_gate_t *gate, ql_gate_usage_t *usage,
			uint64_t now_us)
{
	ql_gate_usage_advance(&gate->usage, gate->in_progress, now_us);
	*usage = gate->usage;
}

double ql_gate_occupancy(const ql_gate_t *gate)
{
	return (double)(gate->in_progress +
			ql_gate_queue_length(&gate->queue)) /
	       ql_limiter_get(&gate->limiter);
}

uint32_t ql_gate_load_level(const ql_gate_t *gate, uint64_t now_us)
{
	return now_us - gate->load_level_us < LOAD_LEVEL_HOLD_US
		       ? gate->load_level
		       : 0;
}
