#include "quetzalloft/clock.h"
#include "replay_model.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define GATE_QUEUE_MAX_REQUESTS 100u
/* Fraction of the success ratio before the trigger that counts as recovered. */
#define RECOVERED_SUCCESS_RATIO 0.95
/* Length of the windows that the success ratio is averaged over. */
#define RECOVERY_WINDOW_BUCKETS 5u

static const ql_replay_policy_t policies[] = {
	{.name = "none", .balancer = &ql_balancer_random},
	{
		.name = "fixed",
		.limiter = &ql_limiter_fixed,
		.queue = &ql_queue_fifo,
		.queue_max = GATE_QUEUE_MAX_REQUESTS,
		.balancer = &ql_balancer_random,
	},
	{
		.name = "quetzalloft",
		.limiter = &ql_limiter_gradient,
		.queue = &ql_queue_fifo,
		.queue_max = GATE_QUEUE_MAX_REQUESTS,
		.balancer = &ql_balancer_two_choices,
		.overload_control = true,
		.early_rejection = true,
	},
};

const ql_replay_policy_t *ql_replay_policy_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		if (!strcmp(policies[i].name, name))
			return &policies[i];
	return NULL;
}

void ql_replay__schedule(ql_replay__sim_t *sim, uint64_t time_us,
			 ql_replay__event_type_t type, uint32_t index,
			 void *object)
{
	ql_replay__event_t event = {
		.time_us = time_us,
		.type = type,
		.index = index,
		.object = object,
	};

	if (object)
		g_rc_box_acquire(object);
	ql_replay__events_push(&sim->events, event);
}

static void release_event(const ql_replay__event_t *event)
{
	if (event->type == EVENT_CALL_RETRY)
		ql_replay__call_unref(event->object);
	else if (event->type == EVENT_CLIENT_GIVES_UP)
		ql_replay__submission_unref(event->object);
	else if (event->object)
		ql_replay__attempt_unref(event->object);
}

void ql_replay__record_violation(ql_replay__sim_t *sim,
				 ql_replay_measure_t measure,
				 const char *format, ...)
{
	char *event = sim->result->events[measure];
	va_list arguments;
	int used;

	sim->result->values[measure]++;
	if (event[0])
		return;
	used = snprintf(event, QL_REPLAY_EVENT_MAX_BYTES, "at %.6f s ",
			(double)sim->now_us / (double)QL_US_PER_S);
	va_start(arguments, format);
	vsnprintf(event + used, (size_t)(QL_REPLAY_EVENT_MAX_BYTES - used),
		  format, arguments);
	va_end(arguments);
}

size_t ql_replay__bucket_index(const ql_replay__sim_t *sim, uint64_t time_us)
{
	return MIN(time_us / QL_REPLAY_BUCKET_US, sim->result->n_buckets - 1);
}

static void start_bucket(ql_replay__sim_t *sim)
{
	size_t bucket = ql_replay__bucket_index(sim, sim->now_us);
	int service =
		ql_document_find_service(sim->doc, sim->trace->bottleneck);

	sim->capacity_calls[bucket] =
		ql_replay__service_capacity_per_s(sim, (uint16_t)service) *
		(double)QL_REPLAY_BUCKET_US / (double)QL_US_PER_S;
	if (sim->now_us + QL_REPLAY_BUCKET_US < sim->end_us)
		ql_replay__schedule(sim, sim->now_us + QL_REPLAY_BUCKET_US,
				    EVENT_BUCKET_START, 0, NULL);
}

static void dispatch(ql_replay__sim_t *sim, const ql_replay__event_t *event)
{
	switch (event->type) {
	case EVENT_ARRIVAL:
		ql_replay__add_client(sim, event->index);
		break;
	case EVENT_RESUBMIT:
		ql_replay__submit(sim, event->index);
		break;
	case EVENT_CLIENT_GIVES_UP:
		ql_replay__client_give_up(sim, event->object);
		break;
	case EVENT_CALL_RETRY:
		ql_replay__call_start_attempt(sim, event->object);
		break;
	case EVENT_SERVICE_TIME_ELAPSED:
		ql_replay__attempt_advance(sim, event->object);
		break;
	case EVENT_ATTEMPT_DEADLINE:
		ql_replay__attempt_cancel_at_deadline(sim, event->object);
		break;
	case EVENT_GATE_WAKEUP:
		ql_replay__endpoint_apply_decisions(sim, event->index);
		break;
	case EVENT_FAULT_START:
		ql_replay__fault_start(sim, event->index);
		break;
	case EVENT_FAULT_END:
		ql_replay__fault_end(sim, event->index);
		break;
	case EVENT_MEMBERSHIP_UPDATE:
		ql_replay__update_membership(sim, event->index);
		break;
	case EVENT_BUCKET_START:
		start_bucket(sim);
		break;
	}
}

static uint64_t to_us(double seconds)
{
	return (uint64_t)(seconds * (double)QL_US_PER_S);
}

/*
 * Faults are scheduled before the intervals, so that the capacity of an
 * interval includes the faults that start or end at the same time.
 */
static void schedule_trace(ql_replay__sim_t *sim)
{
	const ql_replay_fault_t *fault;
	const ql_replay_arrivals_t *arrivals;
	guint i;

	for (i = 0; i < sim->trace->faults->len; i++) {
		fault = &g_array_index(sim->trace->faults, ql_replay_fault_t,
				       i);
		ql_replay__schedule(sim, to_us(fault->from_s),
				    EVENT_FAULT_START, i, NULL);
		ql_replay__schedule(sim, to_us(fault->until_s), EVENT_FAULT_END,
				    i, NULL);
	}
	ql_replay__schedule(sim, 0, EVENT_BUCKET_START, 0, NULL);
	for (i = 0; i < sim->trace->arrivals->len; i++) {
		arrivals = &g_array_index(sim->trace->arrivals,
					  ql_replay_arrivals_t, i);
		ql_replay__schedule_arrival(sim, i, to_us(arrivals->from_s));
	}
}

static void sim_init(ql_replay__sim_t *sim, ql_replay_result_t *result,
		     const ql_replay_trace_t *trace,
		     const ql_replay_policy_t *policy)
{
	size_t n_buckets, i;

	memset(sim, 0, sizeof(*sim));
	memset(result, 0, sizeof(*result));
	sim->trace = trace;
	sim->policy = policy;
	sim->doc = trace->doc;
	sim->result = result;
	sim->end_us = to_us(trace->duration_s);
	sim->random = g_rand_new_with_seed((guint32)trace->seed);
	sim->arrivals_random = g_rand_new_with_seed((guint32)trace->seed + 1);
	n_buckets = sim->end_us / QL_REPLAY_BUCKET_US + 1;
	result->n_buckets = n_buckets;
	sim->clients = g_array_new(FALSE, FALSE, sizeof(ql_replay__client_t));
	sim->slowdown = g_new(double, sim->doc->n_services);
	for (i = 0; i < sim->doc->n_services; i++)
		sim->slowdown[i] = 1;
	for (i = 0; i < sim->doc->n_classes; i++)
		sim->top_shed_order =
			MAX(sim->top_shed_order,
			    (uint32_t)sim->doc->classes[i].shed_order);
	sim->surge = 1;
	sim->succeeded_by_arrival = g_new0(uint32_t, n_buckets);
	sim->offered = g_new0(uint32_t, n_buckets);
	sim->succeeded_by_end = g_new0(uint32_t, n_buckets);
	sim->goodput_calls = g_new0(double, n_buckets);
	sim->offered_calls = g_new0(double, n_buckets);
	sim->capacity_calls = g_new0(double, n_buckets);
	ql_replay__events_init(&sim->events);
	ql_replay__endpoints_init(sim);
}

static void sim_finish(ql_replay__sim_t *sim)
{
	ql_replay__endpoints_finish(sim);
	ql_replay__events_finish(&sim->events);
	g_free(sim->capacity_calls);
	g_free(sim->offered_calls);
	g_free(sim->goodput_calls);
	g_free(sim->succeeded_by_end);
	g_free(sim->offered);
	g_free(sim->succeeded_by_arrival);
	g_free(sim->slowdown);
	g_array_free(sim->clients, TRUE);
	g_rand_free(sim->arrivals_random);
	g_rand_free(sim->random);
}

/* Fraction of the arrived client requests that succeeded; 1 if none arrived. */
static double success_ratio(const ql_replay__sim_t *sim, size_t from,
			    size_t until)
{
	uint64_t succeeded = 0, offered = 0;
	size_t i;

	for (i = from; i < until; i++) {
		succeeded += sim->succeeded_by_arrival[i];
		offered += sim->offered[i];
	}
	return offered ? (double)succeeded / (double)offered : 1;
}

/*
 * Recovery ends with the last window that has a success ratio below the
 * threshold. The windows from the end of the trigger on are searched backwards.
 * A trace shorter than a window has no recovery to measure.
 */
static void measure_recovery(ql_replay__sim_t *sim, size_t from, size_t until)
{
	size_t n = sim->result->n_buckets;
	double threshold =
		RECOVERED_SUCCESS_RATIO * success_ratio(sim, 0, from);
	double ratio, bucket_s = (double)QL_REPLAY_BUCKET_US / QL_US_PER_S;
	size_t i;

	if (n <= RECOVERY_WINDOW_BUCKETS)
		return;
	for (i = n - RECOVERY_WINDOW_BUCKETS; i > until; i--) {
		ratio = success_ratio(sim, i - 1,
				      i - 1 + RECOVERY_WINDOW_BUCKETS);
		if (ratio < threshold)
			break;
	}
	if (i <= until)
		return;
	i += RECOVERY_WINDOW_BUCKETS - 1;
	sim->result->values[QL_REPLAY_RECOVERY_S] =
		(double)(i - until) * bucket_s;
	snprintf(sim->result->events[QL_REPLAY_RECOVERY_S],
		 QL_REPLAY_EVENT_MAX_BYTES,
		 "at %.1f s %.0f%% of the client requests fail",
		 (double)i * bucket_s, 100 * (1 - ratio));
}

static void measure(ql_replay__sim_t *sim)
{
	double *values = sim->result->values;
	size_t from =
		ql_replay__bucket_index(sim, to_us(sim->trace->trigger_from_s));
	size_t until =
		ql_replay__bucket_index(sim,
					to_us(sim->trace->trigger_until_s));
	double buckets_per_s =
		(double)QL_US_PER_S / (double)QL_REPLAY_BUCKET_US;
	double succeeded = 0, goodput_calls = 0, possible_calls = 0;
	size_t i, n = sim->result->n_buckets;

	for (i = from; i < until; i++) {
		goodput_calls += sim->goodput_calls[i];
		possible_calls +=
			MIN(sim->offered_calls[i], sim->capacity_calls[i]);
	}
	values[QL_REPLAY_GOODPUT_SHARE] =
		goodput_calls / MAX(possible_calls, 1);
	values[QL_REPLAY_WHOLE_SHARE] =
		(double)sim->n_succeeded /
		MAX((double)sim->result->client_requests, 1);
	values[QL_REPLAY_TOP_CLASS_SHARE] =
		(double)sim->n_top_class_succeeded /
		MAX((double)sim->n_top_class_offered, 1);
	sim->result->whole_per_s = g_new0(double, n);
	sim->result->offered_per_s = g_new0(double, n);
	for (i = 0; i < n; i++) {
		sim->result->whole_per_s[i] =
			sim->succeeded_by_end[i] * buckets_per_s;
		sim->result->offered_per_s[i] = sim->offered[i] * buckets_per_s;
		if (i >= from && i < until)
			succeeded += sim->succeeded_by_end[i];
	}
	values[QL_REPLAY_GOODPUT_PER_S] =
		succeeded * buckets_per_s / (double)MAX(until - from, 1);
	measure_recovery(sim, from, until);
}

void ql_replay_run(ql_replay_result_t *result, const ql_replay_trace_t *trace,
		   const ql_replay_policy_t *policy)
{
	ql_replay__sim_t sim;
	ql_replay__event_t event;

	sim_init(&sim, result, trace, policy);
	schedule_trace(&sim);
	while (ql_replay__events_pop(&sim.events, &event)) {
		sim.now_us = event.time_us;
		dispatch(&sim, &event);
		release_event(&event);
	}
	measure(&sim);
	sim_finish(&sim);
}
