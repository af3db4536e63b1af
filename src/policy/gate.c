#include "quetzalloft/gate.h"
#include "quetzalloft/clock.h"

#include <string.h>

#define TICKETS_MAX 65536u
#define LEVEL_HOLD_US (200 * QL_US_PER_MS)
#define RETRY_AFTER_MIN_MS 100u

typedef enum {
	TICKET_QUEUED,
	TICKET_ADMITTED,
} ticket_state_t;

typedef struct {
	ticket_state_t state;
	ql_gate_request_t request;
	uint64_t sequence;
	uint64_t since_us;
	uint64_t expires_us;
	uint32_t in_progress;
} ticket_t;

void ql_gate_init(ql_gate_t *gate, const ql_gate_opts_t *opts)
{
	ql_limiter_opts_t limits = {
		.initial = opts->slots,
		.min = 1,
		.max = opts->slots,
	};

	memset(gate, 0, sizeof(*gate));
	gate->opts = *opts;
	ql_limiter_init(&gate->limiter, opts->limiter, &limits);
	ql_table_init(&gate->tickets, sizeof(ticket_t), TICKETS_MAX);
	gate->queue = g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
	gate->decided = g_array_new(FALSE, FALSE, sizeof(ql_gate_decision_t));
}

void ql_gate_finish(ql_gate_t *gate)
{
	g_array_free(gate->queue, TRUE);
	g_array_free(gate->decided, TRUE);
	ql_table_finish(&gate->tickets);
}

static ticket_t *get_ticket(const ql_gate_t *gate, ql_handle_t handle)
{
	return ql_table_get(&gate->tickets, handle);
}

static ticket_t *queued_at(const ql_gate_t *gate, guint index)
{
	return get_ticket(gate, g_array_index(gate->queue, ql_handle_t, index));
}

/* Whether a is to be admitted before b. */
static bool precedes(const ticket_t *a, const ticket_t *b)
{
	if (a->request.shed_order != b->request.shed_order)
		return a->request.shed_order > b->request.shed_order;
	if (a->request.under_way != b->request.under_way)
		return a->request.under_way;
	return a->sequence < b->sequence;
}

/* The queue is kept sorted: the next request to admit is the first. */
static void enqueue(ql_gate_t *gate, ql_handle_t handle)
{
	const ticket_t *ticket = get_ticket(gate, handle);
	guint i = gate->queue->len;

	while (i > 0 && precedes(ticket, queued_at(gate, i - 1)))
		i--;
	g_array_insert_val(gate->queue, i, handle);
}

static void raise_level(ql_gate_t *gate, uint32_t shed_order, uint64_t now_us)
{
	if (shed_order + 1 < ql_gate_level(gate, now_us))
		return;
	gate->level = shed_order + 1;
	gate->level_us = now_us;
}

static ql_gate_decision_t refusal(const ql_gate_t *gate, ql_handle_t ticket,
				  ql_reason_t reason)
{
	uint32_t queue_ms = (uint32_t)(gate->opts.queue_us / QL_US_PER_MS);

	return (ql_gate_decision_t){
		.verdict = QL_GATE_REFUSE,
		.ticket = ticket,
		.reason = reason,
		.retry_after_ms = MAX(RETRY_AFTER_MIN_MS, 2 * queue_ms),
	};
}

/* Removes a queued request and stores its refusal. */
static void refuse_queued(ql_gate_t *gate, guint index, ql_reason_t reason)
{
	ql_handle_t handle = g_array_index(gate->queue, ql_handle_t, index);
	ql_gate_decision_t decision = refusal(gate, handle, reason);

	g_array_remove_index(gate->queue, index);
	g_array_append_val(gate->decided, decision);
	ql_table_remove(&gate->tickets, handle);
}

static void admit(ql_gate_t *gate, ticket_t *ticket, uint64_t now_us)
{
	ticket->state = TICKET_ADMITTED;
	ticket->since_us = now_us;
	ticket->in_progress = ++gate->in_progress;
}

/* Makes room in a full queue for a request of a higher class. */
static bool make_room(ql_gate_t *gate, const ticket_t *ticket, uint64_t now_us)
{
	const ticket_t *last;

	if (gate->queue->len < gate->opts.queue_max)
		return true;
	if (!gate->queue->len)
		return false;
	last = queued_at(gate, gate->queue->len - 1);
	if (!precedes(ticket, last))
		return false;
	raise_level(gate, last->request.shed_order, now_us);
	refuse_queued(gate, gate->queue->len - 1, QL_REASON_OVERLOAD);
	return true;
}

static ql_gate_decision_t refuse_new(ql_gate_t *gate, ql_handle_t handle,
				     ql_reason_t reason)
{
	ql_table_remove(&gate->tickets, handle);
	return refusal(gate, QL_HANDLE_NONE, reason);
}

ql_gate_decision_t ql_gate_offer(ql_gate_t *gate,
				 const ql_gate_request_t *request,
				 uint64_t now_us)
{
	ql_gate_decision_t decision = {0};
	void *row;
	ticket_t *ticket;
	ql_handle_t handle;

	if (gate->draining)
		return refusal(gate, QL_HANDLE_NONE, QL_REASON_DRAINING);
	if (request->deadline_us <= now_us)
		return refusal(gate, QL_HANDLE_NONE, QL_REASON_DEADLINE);
	handle = ql_table_insert(&gate->tickets, &row);
	if (handle == QL_HANDLE_NONE)
		return refusal(gate, handle, QL_REASON_OVERLOAD);
	ticket = row;
	ticket->request = *request;
	ticket->sequence = gate->sequence++;
	ticket->expires_us =
		MIN(request->deadline_us, now_us + gate->opts.queue_us);
	decision.ticket = handle;
	if (!gate->queue->len &&
	    gate->in_progress < ql_limiter_get(&gate->limiter)) {
		admit(gate, ticket, now_us);
		decision.verdict = QL_GATE_ADMIT;
		return decision;
	}
	if (!make_room(gate, ticket, now_us)) {
		raise_level(gate, request->shed_order, now_us);
		return refuse_new(gate, handle, QL_REASON_OVERLOAD);
	}
	enqueue(gate, handle);
	decision.verdict = QL_GATE_QUEUE;
	return decision;
}

void ql_gate_finish_request(ql_gate_t *gate, ql_handle_t handle,
			    bool overloaded, uint64_t now_us)
{
	ticket_t *ticket = get_ticket(gate, handle);
	ql_limiter_sample_t sample;

	g_assert(ticket && ticket->state == TICKET_ADMITTED);
	sample.latency_us = now_us - ticket->since_us;
	sample.in_progress = ticket->in_progress;
	sample.overloaded = overloaded;
	gate->in_progress--;
	ql_table_remove(&gate->tickets, handle);
	ql_limiter_observe(&gate->limiter, &sample, now_us);
}

bool ql_gate_cancel(ql_gate_t *gate, ql_handle_t handle)
{
	guint i;

	for (i = 0; i < gate->queue->len; i++) {
		if (g_array_index(gate->queue, ql_handle_t, i) != handle)
			continue;
		g_array_remove_index(gate->queue, i);
		ql_table_remove(&gate->tickets, handle);
		return true;
	}
	return false;
}

static void expire_queued(ql_gate_t *gate, uint64_t now_us)
{
	const ticket_t *ticket;
	ql_reason_t reason;
	guint i = 0;

	while (i < gate->queue->len) {
		ticket = queued_at(gate, i);
		if (ticket->expires_us > now_us) {
			i++;
			continue;
		}
		reason = ticket->request.deadline_us <= now_us
				 ? QL_REASON_DEADLINE
				 : QL_REASON_OVERLOAD;
		raise_level(gate, ticket->request.shed_order, now_us);
		refuse_queued(gate, i, reason);
	}
}

bool ql_gate_next(ql_gate_t *gate, ql_gate_decision_t *decision,
		  uint64_t now_us)
{
	expire_queued(gate, now_us);
	if (gate->decided->len) {
		*decision = g_array_index(gate->decided, ql_gate_decision_t, 0);
		g_array_remove_index(gate->decided, 0);
		return true;
	}
	if (!gate->queue->len ||
	    gate->in_progress >= ql_limiter_get(&gate->limiter))
		return false;
	memset(decision, 0, sizeof(*decision));
	decision->verdict = QL_GATE_ADMIT;
	decision->ticket = g_array_index(gate->queue, ql_handle_t, 0);
	admit(gate, queued_at(gate, 0), now_us);
	g_array_remove_index(gate->queue, 0);
	return true;
}

uint64_t ql_gate_next_us(const ql_gate_t *gate)
{
	uint64_t earliest = UINT64_MAX;
	guint i;

	if (gate->decided->len)
		return 0;
	for (i = 0; i < gate->queue->len; i++)
		earliest = MIN(earliest, queued_at(gate, i)->expires_us);
	return earliest;
}

void ql_gate_drain(ql_gate_t *gate)
{
	gate->draining = true;
	while (gate->queue->len)
		refuse_queued(gate, 0, QL_REASON_DRAINING);
}

uint32_t ql_gate_level(const ql_gate_t *gate, uint64_t now_us)
{
	return now_us - gate->level_us < LEVEL_HOLD_US ? gate->level : 0;
}
