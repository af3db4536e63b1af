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

#define QL_REPLAY__TRIED_MAX 16

typedef enum {
	EVENT_ARRIVAL,
	EVENT_RESUBMIT,
	EVENT_PATIENCE,
	EVENT_CALL_RETRY,
	EVENT_ATTEMPT_STEP,
	EVENT_ATTEMPT_DEADLINE,
	EVENT_GATE,
	EVENT_FAULT_START,
	EVENT_FAULT_END,
	EVENT_MEMBERSHIP,
	EVENT_BUCKET,
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
 * @n_tickets: tickets given out, if there is no gate
 * @open: attempts here, queued ones included
 * @running: used slots
 * @backlog: attempts that wait inside the endpoint for a slot
 * @timer_us: time of the event that is due for the gate
 * @admitted_us: when a request of each shed order got in last
 * @refused_us: when one was refused for overload last
 * @balancers: of the node, by service
 * @budgets: of the node, by service
 * @level: of the node
 */
typedef struct ql_replay__endpoint {
	const ql_replay_endpoints_t *source;
	uint16_t service;
	ql_endpoint_info_t info;
	bool up;
	uint64_t started_us;
	ql_gate_t gate;
	GHashTable *attempts;
	uint32_t n_tickets;
	uint32_t open;
	uint32_t running;
	GQueue backlog;
	uint64_t timer_us;
	uint64_t admitted_us[QL_SHED_ORDERS];
	uint64_t refused_us[QL_SHED_ORDERS];
	ql_balancer_t *balancers;
	ql_retry_budget_t *budgets;
	ql_early_rejection_t level;
} ql_replay__endpoint_t;

/**
 * struct ql_replay__client - A client request.
 */
typedef struct ql_replay__client {
	uint32_t arrivals;
	uint64_t arrived_us;
	uint32_t tries;
	uint32_t runs;
	bool whole;
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
	uint32_t attempts;
	bool ran;
	bool over;
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
	ql_handle_t tried[QL_REPLAY__TRIED_MAX];
	size_t n_tried;
	uint32_t attempts_made;
	bool may_have_run;
	bool over;
};

typedef enum {
	ATTEMPT_QUEUED,
	ATTEMPT_BACKLOG,
	ATTEMPT_RUNNING,
	ATTEMPT_OVER,
} ql_replay__attempt_state_t;

/**
 * struct ql_replay__attempt - One attempt of a call.
 * @call: the call, or NULL once the caller has left
 * @ticket: at the gate
 * @target: handle of the endpoint in the caller's balancer
 * @allowance: attempts that it may spend below
 * @lent: what it was lent
 * @under_way: another call of the client request has run already
 * @is_root: it serves the client's own call
 * @makes_calls: whether it calls other services
 * @next_callee: index of the call that it makes next
 * @call_below: the call that it waits for, or NULL
 * @level: highest load level on its way
 */
struct ql_replay__attempt {
	ql_replay__attempt_state_t state;
	ql_replay__submission_t *submission;
	ql_replay__call_t *call;
	uint32_t endpoint;
	ql_handle_t ticket;
	ql_handle_t target;
	ql_allowance_t allowance;
	uint32_t lent;
	uint64_t offered_us;
	uint64_t deadline_us;
	bool under_way;
	bool is_root;
	bool makes_calls;
	uint16_t next_callee;
	ql_replay__call_t *call_below;
	uint32_t level;
};

/**
 * struct ql_replay__end - How an attempt or a call ended.
 * @whole: with the whole answer
 * @result: as the caller's node sees it
 * @unused: attempts given back
 */
typedef struct ql_replay__end {
	bool whole;
	ql_attempt_result_t result;
	uint32_t unused;
} ql_replay__end_t;

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
	GHashTable *by_gate;
	GArray *clients;
	double *slowdown;
	double surge;
	uint32_t top_shed_order;
	uint32_t *whole_by_arrival;
	uint32_t *offered;
	uint32_t *whole_by_end;
	double *useful;
	double *asked;
	double *carried;
	uint64_t top_offered;
	uint64_t top_whole;
	uint64_t whole;
} ql_replay__sim_t;

void ql_replay__schedule(ql_replay__sim_t *sim, uint64_t time_us,
			 ql_replay__event_type_t type, uint32_t index,
			 void *object);
/** Counts a violation and keeps the first event. */
void ql_replay__violation(ql_replay__sim_t *sim, ql_replay_measure_t measure,
			  const char *format, ...) G_GNUC_PRINTF(3, 4);
size_t ql_replay__bucket(const ql_replay__sim_t *sim, uint64_t time_us);

/* replay_endpoint.c */
void ql_replay__endpoints_init(ql_replay__sim_t *sim);
void ql_replay__endpoints_finish(ql_replay__sim_t *sim);
/** Brings an endpoint up with an empty gate and the state of a fresh start. */
void ql_replay__endpoint_start(ql_replay__sim_t *sim,
			       ql_replay__endpoint_t *endpoint);
/** Offers an attempt to its endpoint; it may end at once. */
void ql_replay__endpoint_take(ql_replay__sim_t *sim,
			      ql_replay__attempt_t *attempt);
/** Frees what a running or waiting attempt holds. */
void ql_replay__endpoint_release(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 ql_gate_outcome_t end);
/** Acts on the decisions that are due at a gate. */
void ql_replay__endpoint_pump(ql_replay__sim_t *sim, uint32_t index);
void ql_replay__membership(ql_replay__sim_t *sim, uint32_t index);
double ql_replay__capacity(const ql_replay__sim_t *sim, uint16_t service);

/* replay_fault.c */
void ql_replay__fault_start(ql_replay__sim_t *sim, uint32_t index);
void ql_replay__fault_end(ql_replay__sim_t *sim, uint32_t index);

/* replay_call.c */
void ql_replay__call_start(ql_replay__sim_t *sim,
			   ql_replay__submission_t *submission,
			   ql_replay__attempt_t *parent, uint32_t node,
			   uint16_t service);
void ql_replay__call_try(ql_replay__sim_t *sim, ql_replay__call_t *call);
void ql_replay__call_unref(ql_replay__call_t *call);
void ql_replay__attempt_unref(ql_replay__attempt_t *attempt);
void ql_replay__submission_unref(ql_replay__submission_t *submission);
/** The endpoint has done its own work for the attempt or a call below. */
void ql_replay__attempt_step(ql_replay__sim_t *sim,
			     ql_replay__attempt_t *attempt);
void ql_replay__attempt_deadline(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt);
/** Ends an attempt that holds nothing at its endpoint any more. */
void ql_replay__attempt_end(ql_replay__sim_t *sim,
			    ql_replay__attempt_t *attempt,
			    const ql_replay__end_t *end);

/* replay_client.c */
void ql_replay__arrive(ql_replay__sim_t *sim, uint32_t index);
void ql_replay__schedule_arrival(ql_replay__sim_t *sim, uint32_t index,
				 uint64_t from_us);
void ql_replay__submit(ql_replay__sim_t *sim, uint32_t client);
void ql_replay__submission_end(ql_replay__sim_t *sim,
			       ql_replay__submission_t *submission,
			       const ql_replay__end_t *end);
void ql_replay__client_leaves(ql_replay__sim_t *sim,
			      ql_replay__submission_t *submission);

#endif
