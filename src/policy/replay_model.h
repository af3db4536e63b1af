#ifndef QL_POLICY_REPLAY_MODEL_H
#define QL_POLICY_REPLAY_MODEL_H

/**
 * DOC: The parts of a replay: events, clients, calls, attempts, endpoints.
 *
 * A client request is sent in one or more submissions. A submission makes one
 * root call; a call makes attempts, one after the other; an attempt that runs
 * at an endpoint makes calls in its turn. Attempts, calls and submissions are
 * counted by references (g_rc_box), so that what an impatient caller left
 * behind can run on.
 */

#include "quetzalloft/allowance.h"
#include "quetzalloft/early_rejection.h"
#include "quetzalloft/replay.h"
#include "quetzalloft/retry.h"

#define QL_REPLAY__TRIED_ENDPOINTS_MAX 16

typedef enum {
	EVENT_ARRIVAL,
	EVENT_RESUBMIT,
	EVENT_CLIENT_GIVES_UP,
	EVENT_CALL_RETRY,
	EVENT_SERVICE_TIME_ELAPSED,
	EVENT_ATTEMPT_DEADLINE,
	EVENT_GATE_WAKEUP,
	EVENT_FAULT_START,
	EVENT_FAULT_END,
	EVENT_MEMBERSHIP_UPDATE,
	EVENT_BUCKET_START,
} ql_replay__event_type_t;

/**
 * struct ql_replay__event - Something that happens at a time.
 * @sequence: order among events of the same time
 * @index: a number whose meaning depends on the type
 * @object: a call, attempt or submission with a reference, or NULL
 */
typedef struct ql_replay__event {
	uint64_t time_us;
	uint64_t sequence;
	ql_replay__event_type_t type;
	uint32_t index;
	void *object;
} ql_replay__event_t;

/** struct ql_replay__events - Heap of events by time. */
typedef struct ql_replay__events {
	GArray *heap;
	uint64_t sequence;
} ql_replay__events_t;

void ql_replay__events_init(ql_replay__events_t *events);
void ql_replay__events_finish(ql_replay__events_t *events);
void ql_replay__events_push(ql_replay__events_t *events,
			    ql_replay__event_t event);
bool ql_replay__events_pop(ql_replay__events_t *events,
			   ql_replay__event_t *event);

typedef struct ql_replay__submission ql_replay__submission_t;
typedef struct ql_replay__call ql_replay__call_t;
typedef struct ql_replay__attempt ql_replay__attempt_t;

/**
 * struct ql_replay__endpoint - An endpoint and the node beside it.
 * @source: its description
 * @service: index of its service
 * @info: what membership says of it
 * @up: it runs
 * @started_us: when it started, 0 if before the trace
 * @gate: its gate, if the policy has one
 * @attempts: attempts here, by ticket
 * @n_tickets_issued: tickets given out, if there is no gate
 * @open: attempts here, queued ones included
 * @running: used slots
 * @backlog: attempts that wait inside the endpoint for a slot
 * @gate_wakeup_us: time of the event that is due for the gate
 * @last_admitted_us: when a request of each shed order got in last
 * @last_refused_us: when one was refused for overload last
 * @balancers: of the node, by service
 * @retry_budgets: of the node, by service
 * @level: of the node
 */
typedef struct ql_replay__endpoint {
	const ql_replay_endpoints_t *source;
	uint16_t service;
	ql_endpoint_info_t info;
	bool is_up;
	uint64_t started_us;
	ql_gate_t gate;
	GHashTable *attempts;
	uint32_t n_tickets_issued;
	uint32_t in_flight;
	uint32_t running;
	GQueue backlog;
	uint64_t gate_wakeup_us;
	uint64_t last_admitted_us[QL_SHED_ORDERS];
	uint64_t last_refused_us[QL_SHED_ORDERS];
	ql_balancer_t *balancers;
	ql_retry_budget_t *retry_budgets;
	ql_early_rejection_t early_rejection;
} ql_replay__endpoint_t;

/**
 * struct ql_replay__client - A client request.
 */
typedef struct ql_replay__client {
	uint32_t arrivals_index;
	uint64_t arrived_us;
	uint32_t n_submissions;
	uint32_t n_executions;
	bool succeeded;
} ql_replay__client_t;

/**
 * struct ql_replay__submission - A client request sent once.
 * @node: the node that it was sent to
 * @ran: an endpoint has begun to run it
 * @over: the client has an answer or has left
 */
struct ql_replay__submission {
	uint32_t client;
	uint32_t node;
	const ql_replay_arrivals_t *arrivals;
	const ql_route_t *route;
	uint32_t shed_order;
	ql_allowance_t allowance;
	uint64_t deadline_us;
	uint32_t n_attempts;
	bool executed;
	bool completed;
};

/**
 * struct ql_replay__call - A call of one service.
 * @parent: the attempt that makes it, or NULL for the root call
 * @attempt: the attempt that is made at present, or NULL
 */
struct ql_replay__call {
	ql_replay__submission_t *submission;
	ql_replay__attempt_t *parent;
	ql_replay__attempt_t *attempt;
	uint16_t service;
	uint32_t node;
	ql_handle_t tried[QL_REPLAY__TRIED_ENDPOINTS_MAX];
	size_t n_tried;
	uint32_t n_attempts;
	bool may_have_run;
	bool completed;
};

typedef enum {
	ATTEMPT_QUEUED,
	ATTEMPT_WAITS_FOR_SLOT,
	ATTEMPT_RUNNING,
	ATTEMPT_COMPLETED,
} ql_replay__attempt_state_t;

/**
 * struct ql_replay__attempt - One attempt of a call.
 * @call: the call, or NULL once the caller has left
 * @ticket: at the gate
 * @target: handle of the endpoint in the caller's balancer
 * @allowance: attempts that it may spend below
 * @attempts_lent: what it was attempts_lent
 * @under_way: another call of the client request has run already
 * @is_root: it serves the client's own call
 * @makes_calls: whether it calls other services
 * @next_callee: index of the call that it makes next
 * @downstream_call: the call that it waits for, or NULL
 * @level: highest load level on its way
 */
struct ql_replay__attempt {
	ql_replay__attempt_state_t state;
	ql_replay__submission_t *submission;
	ql_replay__call_t *call;
	uint32_t endpoint;
	ql_handle_t ticket;
	ql_handle_t endpoint_handle;
	ql_allowance_t allowance;
	uint32_t attempts_lent;
	uint64_t offered_us;
	uint64_t deadline_us;
	bool under_way;
	bool is_root;
	bool makes_calls;
	uint16_t next_callee;
	ql_replay__call_t *downstream_call;
	uint32_t load_level;
};

/**
 * struct ql_replay__completion - How an attempt or a call ended.
 * @whole: with the whole answer
 * @result: as the caller's node sees it
 * @unused: attempts given back
 */
typedef struct ql_replay__completion {
	bool succeeded;
	ql_attempt_result_t result;
	uint32_t attempts_unused;
} ql_replay__completion_t;

/**
 * struct ql_replay__sim - A replay.
 */
typedef struct ql_replay__sim {
	const ql_replay_trace_t *trace;
	const ql_replay_policy_t *policy;
	const ql_document_t *doc;
	ql_replay_result_t *result;
	uint64_t now_us;
	uint64_t end_us;
	GRand *random;
	GRand *arrivals_random;
	ql_replay__events_t events;
	ql_replay__endpoint_t *endpoints;
	uint32_t n_endpoints;
	GHashTable *endpoint_by_gate;
	GArray *clients;
	double *slowdown;
	double surge;
	uint32_t top_shed_order;
	uint32_t *succeeded_by_arrival;
	uint32_t *offered;
	uint32_t *succeeded_by_end;
	double *goodput_calls;
	double *offered_calls;
	double *capacity_calls;
	uint64_t n_top_class_offered;
	uint64_t n_top_class_succeeded;
	uint64_t n_succeeded;
} ql_replay__sim_t;

void ql_replay__schedule(ql_replay__sim_t *sim, uint64_t time_us,
			 ql_replay__event_type_t type, uint32_t index,
			 void *object);
/** Counts a violation and keeps the first event. */
void ql_replay__record_violation(ql_replay__sim_t *sim,
				 ql_replay_measure_t measure,
				 const char *format, ...) G_GNUC_PRINTF(3, 4);
size_t ql_replay__bucket_index(const ql_replay__sim_t *sim, uint64_t time_us);

/* replay_endpoint.c */
void ql_replay__endpoints_init(ql_replay__sim_t *sim);
void ql_replay__endpoints_finish(ql_replay__sim_t *sim);
/** Brings an endpoint up with an empty gate and the state of a fresh start. */
void ql_replay__endpoint_start(ql_replay__sim_t *sim,
			       ql_replay__endpoint_t *endpoint);
/** Offers an attempt to its endpoint; it may end at once. */
void ql_replay__endpoint_offer(ql_replay__sim_t *sim,
			       ql_replay__attempt_t *attempt);
/** Frees what a running or waiting attempt holds. */
void ql_replay__endpoint_release(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 ql_gate_outcome_t outcome);
/** Acts on the decisions that are due at a gate. */
void ql_replay__endpoint_apply_decisions(ql_replay__sim_t *sim, uint32_t index);
void ql_replay__update_membership(ql_replay__sim_t *sim, uint32_t index);
double ql_replay__service_capacity_per_s(const ql_replay__sim_t *sim,
					 uint16_t service);

/* replay_fault.c */
void ql_replay__fault_start(ql_replay__sim_t *sim, uint32_t index);
void ql_replay__fault_end(ql_replay__sim_t *sim, uint32_t index);

/* replay_call.c */
void ql_replay__call_start(ql_replay__sim_t *sim,
			   ql_replay__submission_t *submission,
			   ql_replay__attempt_t *parent, uint32_t node,
			   uint16_t service);
void ql_replay__call_start_attempt(ql_replay__sim_t *sim,
				   ql_replay__call_t *call);
void ql_replay__call_unref(ql_replay__call_t *call);
void ql_replay__attempt_unref(ql_replay__attempt_t *attempt);
void ql_replay__submission_unref(ql_replay__submission_t *submission);
/** The endpoint has done its own work for the attempt or a call below. */
void ql_replay__attempt_advance(ql_replay__sim_t *sim,
				ql_replay__attempt_t *attempt);
void ql_replay__attempt_cancel_at_deadline(ql_replay__sim_t *sim,
					   ql_replay__attempt_t *attempt);
/** Ends an attempt that holds nothing at its endpoint any more. */
void ql_replay__attempt_complete(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 const ql_replay__completion_t *completion);

/* replay_client.c */
void ql_replay__add_client(ql_replay__sim_t *sim, uint32_t index);
void ql_replay__schedule_arrival(ql_replay__sim_t *sim, uint32_t index,
				 uint64_t from_us);
void ql_replay__submit(ql_replay__sim_t *sim, uint32_t client);
void ql_replay__submission_complete(ql_replay__sim_t *sim,
				    ql_replay__submission_t *submission,
				    const ql_replay__completion_t *completion);
void ql_replay__client_give_up(ql_replay__sim_t *sim,
			       ql_replay__submission_t *submission);

#endif
