#include "path/local_gate_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 1000u
/* Default without a Keep-Alive timeout of the endpoint, and upper bound. */
#define ENDPOINT_IDLE_MAX_MS 4000u
#define QUEUED_CALLS_MAX 1024u
#define QUEUE_WAIT_MAX_US (300 * QL_US_PER_MS)
#define LOWER_CLASS_INTERVAL 8u
static void apply_decision(ql_local_gate_t *gate,
			   const ql_gate_decision_t *decision)
{
	gpointer key = GUINT_TO_POINTER(decision->ticket);
	ql_gate_call_t *call = g_hash_table_lookup(gate->calls, key);

	if (!call)
		return;
	if (decision->verdict == QL_GATE_ADMIT) {
		ql_gate_call__send(call);
		return;
	}
	g_hash_table_remove(gate->calls, key);
	ql_gate_call__refuse(call, decision->reason, decision->retry_after_ms);
}

static void schedule_wakeup(ql_local_gate_t *gate)
{
	uint64_t next_us = ql_gate_next_wakeup_us(&gate->gate);
	uint64_t now = ql_loop_now_us(gate->loop);

	if (next_us == UINT64_MAX)
		ql_loop_stop_timer(gate->loop, &gate->timer);
	else
		ql_loop_start_timer(gate->loop, &gate->timer,
				    next_us > now
					    ? (next_us - now) / QL_US_PER_MS + 1
					    : 0);
}

static void set_gauges(const ql_local_gate_t *gate)
{
	ql_counters_t *counters = gate->opts.counters;

	ql_gauge_set(counters, QL_GAUGE_GATE_RUNNING, gate->gate.in_progress);
	ql_gauge_set(counters, QL_GAUGE_GATE_QUEUED,
		     ql_gate_queue_length(&gate->gate.queue));
	ql_gauge_set(counters, QL_GAUGE_GATE_LIMIT,
		     ql_limiter_get(&gate->gate.limiter));
}

void ql_local_gate__apply_decisions(ql_local_gate_t *gate)
{
	ql_gate_decision_t decision;

	while (ql_gate_next_decision(&gate->gate, &decision,
				     ql_loop_now_us(gate->loop)))
		apply_decision(gate, &decision);
	set_gauges(gate);
	schedule_wakeup(gate);
}

static void on_timer(void *data)
{
	ql_local_gate__apply_decisions(data);
}

static ql_reason_t reason_to_refuse(const ql_local_gate_t *gate,
				    const ql_path_call_t *call)
{
	if (strcmp(call->service, gate->opts.service) != 0)
		return QL_REASON_NO_ENDPOINT;
	if (!gate->has_report || gate->closed || gate->unreachable)
		return QL_REASON_NO_ENDPOINT;
	return ql_local_gate_is_serving(gate) ? QL_REASON_NONE
					      : QL_REASON_DRAINING;
}

void ql_local_gate_call(ql_local_gate_t *gate, const ql_path_call_t *call,
			const ql_call_sink_t *sink, void *data,
			ql_call_handle_t *out)
{
	ql_gate_request_t request = {
		.shed_order = call->shed_order,
		.under_way = call->under_way,
		.deadline_us = call->deadline_us,
	};
	ql_reason_t reason = reason_to_refuse(gate, call);
	ql_call_result_t result =
		ql_gate_call__result(gate, QL_OUTCOME_NOT_RUN, reason);
	ql_gate_decision_t decision;
	ql_gate_call_t *gate_call;

	*out = (ql_call_handle_t){&ql_gate_call__handle_ops, NULL};
	if (reason) {
		ql_counter_increment(gate->opts.counters,
				     QL_COUNT_GATE_REFUSED);
		sink->failed(data, &result);
		return;
	}
	gate_call = ql_gate_call__new(gate, call);
	gate_call->sink = sink;
	gate_call->data = data;
	decision = ql_gate_offer(&gate->gate, &request,
				 ql_loop_now_us(gate->loop));
	gate_call->ticket = decision.ticket;
	if (decision.verdict == QL_GATE_REFUSE) {
		ql_gate_call__refuse(gate_call, decision.reason,
				     decision.retry_after_ms);
		ql_local_gate__apply_decisions(gate);
		return;
	}
	g_hash_table_insert(gate->calls, GUINT_TO_POINTER(decision.ticket),
			    gate_call);
	if (decision.verdict == QL_GATE_ADMIT)
		ql_gate_call__send(gate_call);
	ql_local_gate__apply_decisions(gate);
	/* The call may already have failed and been freed. */
	if (g_hash_table_lookup(gate->calls,
				GUINT_TO_POINTER(decision.ticket)) == gate_call)
		out->call = gate_call;
}

void ql_local_gate__gate_opts(const ql_local_gate_t *gate, ql_gate_opts_t *opts)
{
	*opts = (ql_gate_opts_t){
		.limiter = &ql_limiter_headroom,
		.slots = (uint32_t)MAX(gate->report.slots, 1),
		.queue_max = QUEUED_CALLS_MAX,
		.max_wait_us = QUEUE_WAIT_MAX_US,
		.lower_class_interval = LOWER_CLASS_INTERVAL,
		.seed = g_random_int(),
	};
}

void ql_local_gate_init(ql_local_gate_t *gate, ql_loop_t *loop,
			const ql_local_gate_opts_t *opts)
{
	ql_upstream_opts_t upstream = {
		.address = opts->address,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = ENDPOINT_IDLE_MAX_MS,
	};
	ql_gate_opts_t policy;

	memset(gate, 0, sizeof(*gate));
	gate->loop = loop;
	gate->opts = *opts;
	gate->closed = opts->await_withdrawal;
	gate->timer.expired = on_timer;
	gate->timer.data = gate;
	gate->calls = g_hash_table_new(NULL, NULL);
	gate->running = g_hash_table_new(g_str_hash, g_str_equal);
	gate->upstream = ql_upstream_new(loop, &upstream);
	ql_local_gate__gate_opts(gate, &policy);
	ql_gate_init(&gate->gate, &policy);
}

/* Cancels all requests, as their connections would keep the loop running. */
static void drop_calls(ql_local_gate_t *gate)
{
	GList *calls = g_hash_table_get_values(gate->calls);
	GList *link;
	ql_gate_call_t *call;

	for (link = calls; link; link = link->next) {
		call = link->data;
		if (call->request)
			ql_upstream_cancel(call->request);
		ql_loop_stop_timer(gate->loop, &call->abandon_timer);
		ql_gate_call__free(call);
	}
	g_list_free(calls);
}

void ql_local_gate_finish(ql_local_gate_t *gate)
{
	drop_calls(gate);
	ql_loop_stop_timer(gate->loop, &gate->timer);
	ql_upstream_free(gate->upstream);
	g_hash_table_destroy(gate->calls);
	g_hash_table_destroy(gate->running);
	ql_gate_finish(&gate->gate);
}

bool ql_local_gate_is_serving(const ql_local_gate_t *gate)
{
	return gate->has_report && !gate->closed && !gate->deregistered &&
	       !gate->unreachable && !gate->report.draining && !gate->draining;
}

void ql_local_gate_drain(ql_local_gate_t *gate)
{
	gate->draining = true;
	ql_gate_drain(&gate->gate);
	ql_local_gate__apply_decisions(gate);
}

void ql_local_gate_add_pressure(ql_local_gate_t *gate, const char *id,
				double pressure)
{
	ql_gate_call_t *call = g_hash_table_lookup(gate->running, id);

	if (call)
		ql_pressure_add_call(&call->pressure, pressure);
}

const ql_running_call_t *ql_local_gate_find_call(const ql_local_gate_t *gate,
						 const char *id)
{
	const ql_gate_call_t *call = g_hash_table_lookup(gate->running, id);

	return call ? &call->inherited : NULL;
}

uint32_t ql_local_gate_load_level(const ql_local_gate_t *gate)
{
	return ql_gate_load_level(&gate->gate, ql_loop_now_us(gate->loop));
}
