#include "quetzalloft/clock.h"
#include "replay_model.h"

#include <string.h>

/* Attempts that each layer makes for a call without overload control. */
#define UNCONTROLLED_ATTEMPTS_MAX 3u

static void call_clear(void *data)
{
	ql_replay__call_t *call = data;

	if (call->parent)
		ql_replay__attempt_unref(call->parent);
	ql_replay__submission_unref(call->submission);
}

static void attempt_clear(void *data)
{
	ql_replay__attempt_t *attempt = data;

	if (attempt->call)
		ql_replay__call_unref(attempt->call);
	ql_replay__submission_unref(attempt->submission);
}

void ql_replay__submission_unref(ql_replay__submission_t *submission)
{
	g_rc_box_release(submission);
}

void ql_replay__call_unref(ql_replay__call_t *call)
{
	g_rc_box_release_full(call, call_clear);
}

void ql_replay__attempt_unref(ql_replay__attempt_t *attempt)
{
	g_rc_box_release_full(attempt, attempt_clear);
}

/* The allowance that the attempts of a call are lent from. */
static ql_allowance_t *allowance_of_caller(ql_replay__call_t *call)
{
	return call->parent ? &call->parent->allowance
			    : &call->submission->allowance;
}

/* Attempts that later calls of the same parent still need. */
static uint32_t reserved_attempts(const ql_replay__sim_t *sim,
				  const ql_replay__call_t *call)
{
	const ql_replay__attempt_t *parent = call->parent;

	if (!parent)
		return 0;
	return ql_allowance_compute_reserve(
		sim->doc, sim->endpoints[parent->endpoint].service,
		(1ULL << parent->next_callee) - 1, call->service);
}

static bool makes_calls(const ql_replay__call_t *call)
{
	return call->parent || call->submission->arrivals->calls;
}

/* Calls are made one after the other: all but the first follow one that ran. */
static bool is_under_way(const ql_replay__call_t *call)
{
	return call->parent &&
	       (call->parent->under_way || call->parent->next_callee > 1);
}

/* Fails a request whose downstream call has failed. */
static void fail_parent(ql_replay__sim_t *sim, ql_replay__attempt_t *parent)
{
	ql_replay__completion_t completion = {
		.result.outcome = QL_OUTCOME_ANSWERED,
		.attempts_unused = parent->allowance.remaining,
	};

	ql_replay__endpoint_release(sim, parent, QL_GATE_FAILED);
	ql_replay__attempt_complete(sim, parent, &completion);
}

static void complete_call(ql_replay__sim_t *sim, ql_replay__call_t *call,
			  const ql_replay__completion_t *completion)
{
	ql_replay__attempt_t *parent = call->parent;

	call->completed = true;
	if (!parent) {
		ql_replay__submission_complete(sim, call->submission,
					       completion);
	} else if (parent->downstream_call == call) {
		parent->downstream_call = NULL;
		parent->load_level =
			MAX(parent->load_level, completion->result.load_level);
		if (completion->succeeded)
			ql_replay__attempt_advance(sim, parent);
		else if (parent->state == ATTEMPT_RUNNING)
			fail_parent(sim, parent);
	}
	ql_replay__call_unref(call);
}

/* Completes a call that makes no further attempt. */
static void fail_call(ql_replay__sim_t *sim, ql_replay__call_t *call,
		      const ql_attempt_result_t *result)
{
	ql_replay__completion_t completion = {.result = *result};

	if (call->may_have_run)
		completion.result.outcome = QL_OUTCOME_UNKNOWN;
	complete_call(sim, call, &completion);
}

static void fail_call_not_run(ql_replay__sim_t *sim, ql_replay__call_t *call,
			      ql_reason_t reason)
{
	ql_attempt_result_t result = {
		.outcome = QL_OUTCOME_NOT_RUN,
		.reason = reason,
	};

	fail_call(sim, call, &result);
}

void ql_replay__call_start(ql_replay__sim_t *sim,
			   ql_replay__submission_t *submission,
			   ql_replay__attempt_t *parent, uint32_t node,
			   uint16_t service)
{
	ql_replay__call_t *call = g_rc_box_new0(ql_replay__call_t);

	call->submission = g_rc_box_acquire(submission);
	call->node = node;
	call->service = service;
	if (parent) {
		call->parent = g_rc_box_acquire(parent);
		parent->downstream_call = call;
	}
	ql_retry_budget_earn(&sim->endpoints[node].retry_budgets[service]);
	ql_replay__call_start_attempt(sim, call);
}

static ql_replay__attempt_t *new_attempt(ql_replay__sim_t *sim,
					 ql_replay__call_t *call,
					 ql_handle_t handle,
					 uint32_t attempts_lent)
{
	ql_replay__submission_t *submission = call->submission;
	ql_replay__attempt_t *attempt = g_rc_box_new0(ql_replay__attempt_t);
	const ql_balancer_t *balancer =
		&sim->endpoints[call->node].balancers[call->service];
	const ql_endpoint_t *endpoint =
		ql_table_get(&balancer->endpoints, handle);

	attempt->submission = g_rc_box_acquire(submission);
	attempt->call = g_rc_box_acquire(call);
	attempt->endpoint =
		GPOINTER_TO_UINT(g_hash_table_lookup(sim->endpoint_by_gate,
						     endpoint->info.gate));
	attempt->ticket = QL_HANDLE_NONE;
	attempt->endpoint_handle = handle;
	attempt->attempts_lent = attempts_lent;
	attempt->under_way = is_under_way(call);
	attempt->is_root = !call->parent;
	attempt->makes_calls = makes_calls(call);
	if (attempts_lent)
		ql_allowance_init(&attempt->allowance, attempts_lent - 1);
	attempt->deadline_us =
		sim->policy->overload_control
			? submission->deadline_us
			: sim->now_us + submission->route->deadline_ms *
						QL_US_PER_MS /
						UNCONTROLLED_ATTEMPTS_MAX;
	call->attempt = attempt;
	return attempt;
}

static void count_attempt(ql_replay__sim_t *sim,
			  ql_replay__submission_t *submission)
{
	double *attempts_max = &sim->result->values[QL_REPLAY_ATTEMPTS_MAX];

	sim->result->attempts++;
	submission->n_attempts++;
	*attempts_max = MAX(*attempts_max, submission->n_attempts);
	if (submission->n_attempts == sim->doc->attempts + 1)
		ql_replay__record_violation(sim, QL_REPLAY_ATTEMPTS_OVER_BOUND,
					    "attempt %u of a %s request",
					    submission->n_attempts,
					    submission->route->name);
}

void ql_replay__call_start_attempt(ql_replay__sim_t *sim,
				   ql_replay__call_t *call)
{
	ql_balancer_t *balancer =
		&sim->endpoints[call->node].balancers[call->service];
	const ql_service_t *service = &sim->doc->services[call->service];
	uint32_t need = makes_calls(call) ? service->subtree_attempts : 1;
	uint32_t attempts_lent = 0;
	ql_replay__attempt_t *attempt;
	ql_handle_t handle;
	ql_pick_request_t pick;

	if (call->completed)
		return;
	if (sim->policy->overload_control) {
		if (sim->now_us >= call->submission->deadline_us) {
			fail_call_not_run(sim, call, QL_REASON_DEADLINE);
			return;
		}
		attempts_lent =
			ql_allowance_lend(allowance_of_caller(call), need,
					  reserved_attempts(sim, call));
		if (!attempts_lent) {
			fail_call_not_run(sim, call, QL_REASON_ATTEMPTS);
			return;
		}
	}
	pick = (ql_pick_request_t){.tried = call->tried,
				   .n_tried = call->n_tried};
	handle = ql_balancer_pick(balancer, &pick, sim->now_us);
	if (handle == QL_HANDLE_NONE) {
		ql_allowance_cancel(allowance_of_caller(call), attempts_lent);
		fail_call_not_run(sim, call, QL_REASON_NO_ENDPOINT);
		return;
	}
	attempt = new_attempt(sim, call, handle, attempts_lent);
	call->n_attempts++;
	count_attempt(sim, call->submission);
	ql_replay__schedule(sim, attempt->deadline_us, EVENT_ATTEMPT_DEADLINE,
			    0, attempt);
	ql_replay__endpoint_offer(sim, attempt);
}

/* Decides whether and when the next attempt of a call is made. */
static bool should_retry(ql_replay__sim_t *sim, ql_replay__call_t *call,
			 ql_attempt_result_t *result, uint64_t *backoff_us)
{
	const ql_balancer_t *balancer =
		&sim->endpoints[call->node].balancers[call->service];
	uint64_t deadline_us = call->submission->deadline_us;
	ql_retry_failure_t failure = {
		.outcome = result->outcome,
		.reason = result->reason,
		.idempotent = call->submission->route->idempotent,
		.attempts_made = call->n_attempts,
		.remaining_us = deadline_us > sim->now_us
					? deadline_us - sim->now_us
					: 0,
		.retry_after_us = result->retry_after_us,
		.all_tried = call->n_tried >= balancer->endpoints.count,
	};
	ql_retry_decision_t decision;

	*backoff_us = 0;
	if (!sim->policy->overload_control)
		return call->n_attempts < UNCONTROLLED_ATTEMPTS_MAX;
	if (result->outcome == QL_OUTCOME_ANSWERED)
		return false;
	decision = ql_retry_decide(
		&sim->endpoints[call->node].retry_budgets[call->service],
		&failure, sim->random);
	*backoff_us = decision.backoff_us;
	return decision.retry;
}

/*
 * Reports the result of an attempt to the node of the caller, which retries or
 * completes the call. Does nothing if the caller has timed out before.
 */
static void report_to_caller(ql_replay__sim_t *sim,
			     ql_replay__attempt_t *attempt,
			     const ql_replay__completion_t *completion)
{
	ql_replay__call_t *call = attempt->call;
	ql_attempt_result_t result = completion->result;
	uint64_t backoff_us;

	if (!call)
		return;
	attempt->call = NULL;
	call->attempt = NULL;
	result.latency_us = sim->now_us - attempt->offered_us;
	ql_balancer_record_result(
		&sim->endpoints[call->node].balancers[call->service],
		attempt->endpoint_handle, &result, sim->now_us);
	ql_allowance_return(allowance_of_caller(call), attempt->attempts_lent,
			    completion->attempts_unused);
	if (result.outcome == QL_OUTCOME_UNKNOWN)
		call->may_have_run = true;
	if (call->n_tried < QL_REPLAY__TRIED_ENDPOINTS_MAX)
		call->tried[call->n_tried++] = attempt->endpoint_handle;
	if (call->completed)
		;
	else if (completion->succeeded)
		complete_call(sim, call, completion);
	else if (should_retry(sim, call, &result, &backoff_us))
		ql_replay__schedule(sim, sim->now_us + backoff_us,
				    EVENT_CALL_RETRY, 0, call);
	else
		fail_call(sim, call, &result);
	ql_replay__call_unref(call);
}

void ql_replay__attempt_complete(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 const ql_replay__completion_t *completion)
{
	ql_replay__completion_t reported = *completion;

	attempt->state = ATTEMPT_COMPLETED;
	reported.result.has_load_level = true;
	reported.result.load_level = attempt->load_level;
	report_to_caller(sim, attempt, &reported);
	ql_replay__attempt_unref(attempt);
}

void ql_replay__attempt_advance(ql_replay__sim_t *sim,
				ql_replay__attempt_t *attempt)
{
	const ql_service_t *service =
		&sim->doc->services[sim->endpoints[attempt->endpoint].service];
	ql_replay__completion_t completion = {
		.succeeded = true,
		.result.outcome = QL_OUTCOME_ANSWERED,
	};

	if (attempt->state != ATTEMPT_RUNNING || attempt->downstream_call)
		return;
	if (attempt->makes_calls && attempt->next_callee < service->n_calls) {
		ql_replay__call_start(sim, attempt->submission, attempt,
				      attempt->endpoint,
				      service->calls[attempt->next_callee++]);
		return;
	}
	completion.attempts_unused = attempt->allowance.remaining;
	ql_replay__endpoint_release(sim, attempt, QL_GATE_SERVED);
	ql_replay__attempt_complete(sim, attempt, &completion);
}

void ql_replay__attempt_cancel_at_deadline(ql_replay__sim_t *sim,
					   ql_replay__attempt_t *attempt)
{
	ql_replay__completion_t completion = {
		.result.outcome = QL_OUTCOME_UNKNOWN,
		.result.reason = QL_REASON_DEADLINE,
	};

	if (attempt->state == ATTEMPT_COMPLETED)
		return;
	if (!sim->policy->overload_control) {
		report_to_caller(sim, attempt, &completion);
		return;
	}
	ql_replay__endpoint_apply_decisions(sim, attempt->endpoint);
	if (attempt->state == ATTEMPT_COMPLETED)
		return;
	if (attempt->downstream_call) {
		attempt->downstream_call->completed = true;
		ql_replay__call_unref(attempt->downstream_call);
		attempt->downstream_call = NULL;
	}
	ql_replay__endpoint_release(sim, attempt, QL_GATE_OVERLOADED);
	ql_replay__attempt_complete(sim, attempt, &completion);
}
