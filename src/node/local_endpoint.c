#include "node/local_endpoint.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/thread.h"

#include <string.h>

/* Interval at which a queued request is checked for cancellation. */
#define CANCELLATION_POLL_US (20 * QL_US_PER_MS)

/* State of a thread that waits for the decision on its queued request. */
typedef struct {
	pthread_cond_t decided;
	bool is_decided;
	ql_gate_decision_t decision;
} waiter_t;

void ql_local_endpoint_init(ql_local_endpoint_t *endpoint,
			    const ql_announcement_t *announcement,
			    const ql_gate_opts_t *opts)
{
	memset(endpoint, 0, sizeof(*endpoint));
	pthread_mutex_init(&endpoint->lock, NULL);
	memcpy(endpoint->service, announcement->service, QL_NAME_MAX);
	endpoint->announcement = *announcement;
	ql_gate_init(&endpoint->gate, opts);
	endpoint->waiters = g_hash_table_new(NULL, NULL);
}

void ql_local_endpoint_finish(ql_local_endpoint_t *endpoint)
{
	ql_gate_finish(&endpoint->gate);
	g_hash_table_destroy(endpoint->waiters);
	pthread_mutex_destroy(&endpoint->lock);
}

/* Takes the due decisions of the gate and wakes the threads they are for. */
static void deliver_decisions(ql_local_endpoint_t *endpoint)
{
	ql_gate_decision_t decision;
	waiter_t *waiter;
	uint64_t now_us = ql_clock_now_us();

	while (ql_gate_next_decision(&endpoint->gate, &decision, now_us)) {
		waiter = g_hash_table_lookup(endpoint->waiters,
					     GUINT_TO_POINTER(decision.ticket));
		if (!waiter) {
			/* The request was cancelled: release its slot. */
			if (decision.verdict == QL_GATE_ADMIT)
				ql_gate_finish_request(&endpoint->gate,
						       decision.ticket,
						       QL_GATE_FAILED, now_us);
			continue;
		}
		waiter->decision = decision;
		waiter->is_decided = true;
		pthread_cond_signal(&waiter->decided);
	}
}

/* Drains the gate while the endpoint or the node is draining. */
static void update_gate_draining(ql_local_endpoint_t *endpoint)
{
	bool draining =
		endpoint->announcement.draining || endpoint->node_draining;

	if (draining && !endpoint->gate.draining)
		ql_gate_drain(&endpoint->gate);
	endpoint->gate.draining = draining;
	deliver_decisions(endpoint);
}

/* Reconfigures the gate if the endpoint announces another number of slots. */
static void apply_slots(ql_local_endpoint_t *endpoint,
			const ql_announcement_t *announcement)
{
	ql_gate_opts_t opts = endpoint->gate.opts;

	if (opts.slots == (uint32_t)announcement->slots)
		return;
	opts.slots = (uint32_t)announcement->slots;
	ql_gate_configure(&endpoint->gate, &opts, ql_clock_now_us());
}

bool ql_local_endpoint_apply_announcement(ql_local_endpoint_t *endpoint,
					  const ql_announcement_t *announcement)
{
	uint64_t now_us = ql_clock_now_us();
	bool restarted, changed;

	pthread_mutex_lock(&endpoint->lock);
	restarted = endpoint->expires_us <= now_us ||
		    strcmp(endpoint->announcement.address,
			   announcement->address) != 0;
	changed = restarted ||
		  endpoint->announcement.draining != announcement->draining;
	if (restarted)
		endpoint->incarnation = (uint64_t)g_get_real_time();
	apply_slots(endpoint, announcement);
	endpoint->announcement = *announcement;
	endpoint->expires_us = now_us + announcement->lease_ms * QL_US_PER_MS;
	update_gate_draining(endpoint);
	pthread_mutex_unlock(&endpoint->lock);
	return changed;
}

void ql_local_endpoint_configure(ql_local_endpoint_t *endpoint,
				 const ql_gate_opts_t *opts)
{
	ql_gate_opts_t new_opts = *opts;

	pthread_mutex_lock(&endpoint->lock);
	new_opts.slots = (uint32_t)endpoint->announcement.slots;
	ql_gate_configure(&endpoint->gate, &new_opts, ql_clock_now_us());
	deliver_decisions(endpoint);
	pthread_mutex_unlock(&endpoint->lock);
}

void ql_local_endpoint_drain(ql_local_endpoint_t *endpoint)
{
	pthread_mutex_lock(&endpoint->lock);
	endpoint->node_draining = true;
	update_gate_draining(endpoint);
	pthread_mutex_unlock(&endpoint->lock);
}

/*
 * Removes a cancelled request from the queue. Returns false if the gate has
 * already decided on it.
 */
static bool cancel_queued(ql_local_endpoint_t *endpoint, waiter_t *waiter,
			  ql_handle_t ticket)
{
	if (waiter->is_decided || !ql_gate_cancel(&endpoint->gate, ticket))
		return false;
	waiter->decision.verdict = QL_GATE_REFUSE;
	waiter->decision.reason = QL_REASON_CANCELLED;
	return true;
}

/* Waits until the gate has decided on a queued request or it is cancelled. */
static ql_gate_decision_t
wait_for_decision(ql_local_endpoint_t *endpoint,
		  const ql_admission_request_t *admission, ql_handle_t ticket)
{
	waiter_t waiter = {0};
	uint64_t until_us;

	ql_cond_init(&waiter.decided);
	g_hash_table_insert(endpoint->waiters, GUINT_TO_POINTER(ticket),
			    &waiter);
	/* Decisions may be due already, even the one on this request. */
	deliver_decisions(endpoint);
	while (!waiter.is_decided) {
		until_us = MIN(ql_gate_next_wakeup_us(&endpoint->gate),
			       ql_clock_now_us() + CANCELLATION_POLL_US);
		ql_cond_wait_until(&waiter.decided, &endpoint->lock, until_us);
		deliver_decisions(endpoint);
		if (admission->is_cancelled(admission->data) &&
		    cancel_queued(endpoint, &waiter, ticket))
			break;
	}
	g_hash_table_remove(endpoint->waiters, GUINT_TO_POINTER(ticket));
	pthread_cond_destroy(&waiter.decided);
	return waiter.decision;
}

ql_gate_decision_t
ql_local_endpoint_admit(ql_local_endpoint_t *endpoint,
			const ql_admission_request_t *admission,
			uint32_t *load_level)
{
	ql_gate_decision_t decision = {
		.verdict = QL_GATE_REFUSE,
		.ticket = QL_HANDLE_NONE,
		.reason = QL_REASON_NO_ENDPOINT,
	};
	uint64_t now_us = ql_clock_now_us();

	pthread_mutex_lock(&endpoint->lock);
	if (endpoint->expires_us > now_us) {
		decision = ql_gate_offer(&endpoint->gate, &admission->request,
					 now_us);
		if (decision.verdict == QL_GATE_QUEUE)
			decision = wait_for_decision(endpoint, admission,
						     decision.ticket);
		else
			deliver_decisions(endpoint);
	}
	*load_level = ql_gate_load_level(&endpoint->gate, ql_clock_now_us());
	pthread_mutex_unlock(&endpoint->lock);
	return decision;
}

void ql_local_endpoint_finish_request(ql_local_endpoint_t *endpoint,
				      ql_handle_t ticket,
				      ql_gate_outcome_t outcome,
				      uint32_t *load_level)
{
	pthread_mutex_lock(&endpoint->lock);
	ql_gate_finish_request(&endpoint->gate, ticket, outcome,
			       ql_clock_now_us());
	deliver_decisions(endpoint);
	*load_level = ql_gate_load_level(&endpoint->gate, ql_clock_now_us());
	pthread_mutex_unlock(&endpoint->lock);
}

void ql_local_endpoint_copy_address(ql_local_endpoint_t *endpoint, char *out)
{
	pthread_mutex_lock(&endpoint->lock);
	memcpy(out, endpoint->announcement.address, QL_ADDRESS_MAX);
	pthread_mutex_unlock(&endpoint->lock);
}

bool ql_local_endpoint_is_serving(ql_local_endpoint_t *endpoint)
{
	bool serving;

	pthread_mutex_lock(&endpoint->lock);
	serving = !endpoint->gate.draining &&
		  endpoint->expires_us > ql_clock_now_us();
	pthread_mutex_unlock(&endpoint->lock);
	return serving;
}
