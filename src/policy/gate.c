#include "quetzalloft/gate.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/retry.h"

#include <string.h>

#define TICKETS_MAX 65536u
#define LEVEL_HOLD_US (200 * QL_US_PER_MS)
#define RETRY_AFTER_MIN_MS 100u
#define RETRY_AFTER_MAX_MS 10000u
#define POSTPONE_US (10 * QL_US_PER_MS)
#define RESERVE_DIVISOR 10u
#define WAITING_FOR_TURN_MAX 4u
#define WAIT_SERVICE_TIMES 1.0

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
	ql_table_init(&gate->tickets, sizeof(ql_gate_ticket_t), TICKETS_MAX);
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

static uint32_t order_of(const ql_gate_request_t *request)
{
	return MIN(request->shed_order, QL_SHED_ORDERS - 1);
}

/* The last moment at which the request can start and still finish. */
static uint64_t last_start_us(const ql_gate_t *gate,
			      const ql_gate_request_t *request, uint64_t now_us)
{
	uint64_t service_us =
		(uint64_t)ql_service_times_lower_bound_us(&gate->times,
							  order_of(request),
							  now_us);

	return request->deadline_us > service_us
		       ? request->deadline_us - service_us
		       : 0;
}

static void raise_level(ql_gate_t *gate, uint32_t shed_order, uint64_t now_us)
{
	if (shed_order + 1 < ql_gate_load_level(gate, now_us))
		return;
	gate->load_level = shed_order + 1;
	gate->load_level_us = now_us;
}

/* The time in which the queue is likely to empty, spread by jitter. */
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

static ql_gate_decision_t refusal(ql_gate_t *gate,
				  const ql_gate_request_t *request,
				  ql_reason_t reason, uint64_t now_us)
{
	count_refusal(gate, order_of(request), reason);
	if (reason == QL_REASON_OVERLOAD)
		raise_level(gate, order_of(request), now_us);
	return (ql_gate_decision_t){
		.verdict = QL_GATE_REFUSE,
		.ticket = QL_HANDLE_NONE,
		.reason = reason,
		.retry_after_ms = retry_after_ms(gate, order_of(request)),
	};
}

/* Removes a queued request and stores its refusal. */
static void refuse_queued(ql_gate_t *gate, ql_handle_t handle,
			  ql_reason_t reason, uint64_t now_us)
{
	const ql_gate_ticket_t *ticket = get_ticket(gate, handle);
	ql_gate_decision_t decision =
		refusal(gate, &ticket->request, reason, now_us);

	decision.ticket = handle;
	ql_gate_queue_remove(&gate->queue, handle);
	ql_table_remove(&gate->tickets, handle);
	g_array_append_val(gate->decisions, decision);
}

static bool has_room(const ql_gate_t *gate)
{
	return gate->in_progress < ql_limiter_get(&gate->limiter);
}

static void admit(ql_gate_t *gate, ql_gate_ticket_t *ticket, uint64_t now_us)
{
	ql_gate_usage_class_t *class =
		&gate->usage.classes[order_of(&ticket->request)];

	class->admitted++;
	class->waited_us += now_us - ticket->since_us;
	ql_gate_usage_advance(&gate->usage, gate->in_progress, now_us);
	ticket->admitted = true;
	ticket->since_us = now_us;
	ticket->in_progress = ++gate->in_progress;
	if (!ticket->anti_starvation)
		gate->running[order_of(&ticket->request)]++;
}

/* Whether a higher class was refused lately and the reserve is in use. */
static bool is_held_back(const ql_gate_t *gate,
			 const ql_gate_request_t *request, uint64_t now_us)
{
	uint32_t limit = ql_limiter_get(&gate->limiter);
	uint32_t reserve = 1 + limit / RESERVE_DIVISOR;

	/* A few of each class may wait for their turn. */
	if (gate->opts.lower_class_interval &&
	    gate->queue.waiting[order_of(request)] < WAITING_FOR_TURN_MAX)
		return false;
	return order_of(request) + 1 < ql_gate_load_level(gate, now_us) &&
	       gate->in_progress + reserve >= limit;
}

/* Takes the lowest queued request out if the new one goes before it. */
static bool displace(ql_gate_t *gate, const ql_gate_request_t *request,
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
 * A slow service frees its slots less often, so a wait that is short by the
 * clock would refuse what the next free slot could have taken.
 */
static uint64_t longest_wait_us(const ql_gate_t *gate,
				const ql_gate_request_t *request)
{
	double service_us = gate->times.classes[order_of(request)].mean_us;

	return MAX(gate->opts.max_wait_us,
		   (uint64_t)(WAIT_SERVICE_TIMES * service_us));
}

static ql_handle_t new_ticket(ql_gate_t *gate, const ql_gate_request_t *request,
			      uint64_t now_us)
{
	void *row;
	ql_gate_ticket_t *ticket;
	ql_handle_t handle = ql_table_insert(&gate->tickets, &row);

	if (handle == QL_HANDLE_NONE && displace(gate, request, now_us))
		handle = ql_table_insert(&gate->tickets, &row);
	if (handle == QL_HANDLE_NONE)
		return handle;
	ticket = row;
	ticket->request = *request;
	ticket->since_us = now_us;
	ticket->expires_us = MIN(last_start_us(gate, request, now_us),
				 now_us + longest_wait_us(gate, request));
	return handle;
}

ql_gate_decision_t ql_gate_offer(ql_gate_t *gate,
				 const ql_gate_request_t *request,
				 uint64_t now_us)
{
	ql_gate_decision_t decision = {0};

	gate->usage.classes[order_of(request)].offered++;
	if (gate->draining)
		return refusal(gate, request, QL_REASON_DRAINING, now_us);
	if (request->deadline_us <= now_us ||
	    last_start_us(gate, request, now_us) < now_us)
		return refusal(gate, request, QL_REASON_DEADLINE, now_us);
	if (is_held_back(gate, request, now_us))
		return refusal(gate, request, QL_REASON_OVERLOAD, now_us);
	decision.ticket = new_ticket(gate, request, now_us);
	if (decision.ticket == QL_HANDLE_NONE)
		return refusal(gate, request, QL_REASON_OVERLOAD, now_us);
	if (!ql_gate_queue_length(&gate->queue) && has_room(gate)) {
		admit(gate, get_ticket(gate, decision.ticket), now_us);
		decision.verdict = QL_GATE_ADMIT;
		return decision;
	}
	if (ql_gate_queue_length(&gate->queue) >= gate->opts.queue_max &&
	    !displace(gate, request, now_us)) {
		ql_table_remove(&gate->tickets, decision.ticket);
		return refusal(gate, request, QL_REASON_OVERLOAD, now_us);
	}
	ql_gate_queue_push(&gate->queue, decision.ticket, now_us);
	decision.verdict = QL_GATE_QUEUE;
	return decision;
}

static void observe(ql_gate_t *gate, const ql_gate_ticket_t *ticket,
		    ql_gate_outcome_t end, uint64_t now_us)
{
	ql_limiter_sample_t sample = {
		.latency_us = now_us - ticket->since_us,
		.in_progress = ticket->in_progress,
		.overloaded = end == QL_GATE_OVERLOADED,
		.timed_out = end == QL_GATE_OVERLOADED &&
			     now_us >= ticket->request.deadline_us,
	};

	ql_limiter_observe(&gate->limiter, &sample, now_us);
	ql_service_times_observe(&gate->times, order_of(&ticket->request),
				 (double)sample.latency_us, now_us);
}

void ql_gate_finish_request(ql_gate_t *gate, ql_handle_t handle,
			    ql_gate_outcome_t end, uint64_t now_us)
{
	const ql_gate_ticket_t *ticket = get_ticket(gate, handle);

	g_assert(ticket && ticket->admitted);
	if (end != QL_GATE_FAILED)
		observe(gate, ticket, end, now_us);
	ql_gate_usage_advance(&gate->usage, gate->in_progress, now_us);
	gate->in_progress--;
	if (!ticket->anti_starvation)
		gate->running[order_of(&ticket->request)]--;
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

/* Whether a lower class waits, or runs in a slot that may come free. */
static bool is_lower_class_served(const ql_gate_t *gate, uint32_t order)
{
	ql_handle_t lowest = ql_gate_queue_lowest(&gate->queue);
	uint32_t i;

	/* What waits for its turn takes no place of others. */
	if (!gate->opts.lower_class_interval &&
	    order_of(&get_ticket(gate, lowest)->request) < order)
		return true;
	for (i = 0; i < order; i++)
		if (gate->running[i])
			return true;
	return false;
}

/* Ends the wait of a request, or prolongs it while a lower class is served. */
static void expire(ql_gate_t *gate, ql_handle_t handle, uint64_t now_us)
{
	const ql_gate_ticket_t *ticket = get_ticket(gate, handle);
	uint64_t last_us = last_start_us(gate, &ticket->request, now_us);

	if (last_us <= now_us)
		refuse_queued(gate, handle, QL_REASON_DEADLINE, now_us);
	else if (is_lower_class_served(gate, order_of(&ticket->request)))
		ql_gate_queue_postpone(&gate->queue, handle,
				       MIN(last_us, now_us + POSTPONE_US));
	else
		refuse_queued(gate, handle, QL_REASON_OVERLOAD, now_us);
}

static void expire_queued(ql_gate_t *gate, uint64_t now_us)
{
	ql_handle_t handle;

	while ((handle = ql_gate_queue_expiring(&gate->queue)) !=
		       QL_HANDLE_NONE &&
	       get_ticket(gate, handle)->expires_us <= now_us)
		expire(gate, handle, now_us);
}

static bool take_decided(ql_gate_t *gate, ql_gate_decision_t *decision)
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

/* What is to be admitted next from the queue. */
typedef struct {
	ql_handle_t handle;
	/* It goes before a higher class. */
	bool in_turn;
	/* A lower class waits while it goes. */
	bool passes;
} next_t;

static next_t find_next(const ql_gate_t *gate, uint64_t now_us)
{
	next_t next = {.handle = ql_gate_queue_head(&gate->queue, now_us)};
	ql_handle_t lower = QL_HANDLE_NONE;

	if (gate->opts.lower_class_interval)
		lower = ql_gate_queue_next_lower_class(&gate->queue,
						       gate->last_lower_class,
						       now_us);
	next.passes = lower != QL_HANDLE_NONE;
	if (next.passes &&
	    gate->n_since_lower_class + 1 >= gate->opts.lower_class_interval)
		next = (next_t){.handle = lower, .in_turn = true};
	return next;
}

static void count_turn(ql_gate_t *gate, ql_gate_ticket_t *ticket,
		       const next_t *next)
{
	ticket->anti_starvation = next->in_turn;
	if (next->in_turn) {
		gate->last_lower_class = order_of(&ticket->request);
		gate->n_since_lower_class = 0;
	} else if (next->passes) {
		gate->n_since_lower_class++;
	}
}

/* Admits the head of the queue if it can still finish. */
static bool take_head(ql_gate_t *gate, ql_gate_decision_t *decision,
		      uint64_t now_us)
{
	next_t next = find_next(gate, now_us);
	ql_gate_ticket_t *ticket = get_ticket(gate, next.handle);

	if (last_start_us(gate, &ticket->request, now_us) < now_us) {
		refuse_queued(gate, next.handle, QL_REASON_DEADLINE, now_us);
		return take_decided(gate, decision);
	}
	if (gate->queue.ops->shed(&gate->queue, now_us - ticket->since_us,
				  now_us)) {
		refuse_queued(gate, ql_gate_queue_lowest(&gate->queue),
			      QL_REASON_OVERLOAD, now_us);
		return take_decided(gate, decision);
	}
	count_turn(gate, ticket, &next);
	ql_gate_queue_remove(&gate->queue, next.handle);
	admit(gate, ticket, now_us);
	memset(decision, 0, sizeof(*decision));
	decision->verdict = QL_GATE_ADMIT;
	decision->ticket = next.handle;
	return true;
}

bool ql_gate_next_decision(ql_gate_t *gate, ql_gate_decision_t *decision,
			   uint64_t now_us)
{
	expire_queued(gate, now_us);
	if (take_decided(gate, decision))
		return true;
	if (!ql_gate_queue_length(&gate->queue) || !has_room(gate))
		return false;
	return take_head(gate, decision, now_us);
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

uint32_t ql_gate_load_level(const ql_gate_t *gate, uint64_t now_us)
{
	return now_us - gate->load_level_us < LEVEL_HOLD_US ? gate->load_level
							    : 0;
}
