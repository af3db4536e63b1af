#ifndef QL_POLICY_REPLAY_MODEL_H
#define QL_POLICY_REPLAY_MODEL_H

/**
 * DOC: Objects of a replay: events, clients, calls, attempts, endpoints.
 *
 * A client request is sent in one or more submissions. A submission makes one
 * root call; a call makes attempts, one after the other; an attempt that runs
 * at an endpoint makes downstream calls, one after the other. Attempts, calls
 * and submissions are reference counted (g_rc_box), so that an attempt can
 * continue after its caller has timed out.
 */

#include "quetzalloft/allowance.h"
#include "quetzalloft/early_rejection.h"
#include "quetzalloft/replay.h"
#include "quetzalloft/retry.h"

/** Most endpoints that a call remembers as tried. */
#define QL_REPLAY__TRIED_ENDPOINTS_MAX 16

/**
 * enum ql_replay__event_type - Type of an event.
 * @EVENT_ARRIVAL: a client request arrives; the index is that of the arrivals
 *                 in the trace
 * @EVENT_RESUBMIT: a client sends its request again; index of the client
 * @EVENT_CLIENT_GIVES_UP: a client stops waiting; object: the submission
 * @EVENT_CALL_RETRY: the backoff of a call has passed; object: the call
 * @EVENT_SERVICE_TIME_ELAPSED: an endpoint has finished its own work for an
 *                              attempt; object: the attempt
 * @EVENT_ATTEMPT_DEADLINE: the deadline of an attempt; object: the attempt
 * @EVENT_GATE_WAKEUP: a gate may have decisions; index of the endpoint
 * @EVENT_FAULT_START: a fault starts; index of the fault in the trace
 * @EVENT_FAULT_END: a fault ends; index of the fault in the trace
 * @EVENT_MEMBERSHIP_UPDATE: the balancers are updated; index of the endpoint
 * @EVENT_BUCKET_START: an interval of the result starts
 */
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
 * struct ql_replay__event - A scheduled event.
 * @time_us: virtual time of the event
 * @sequence: order among the events of the same time; set when pushed
 * @type: type of the event
 * @index: index that the event refers to; its meaning depends on the type
 * @object: a call, attempt or submission with a reference, or NULL
 */
typedef struct ql_replay__event {
	uint64_t time_us;
	uint64_t sequence;
	ql_replay__event_type_t type;
	uint32_t index;
	void *object;
} ql_replay__event_t;

/**
 * struct ql_replay__events - Event queue.
 * @heap: binary heap of &struct ql_replay__event, the earliest first
 * @sequence: sequence number of the next event
 */
typedef struct ql_replay__events {
	GArray *heap;
	uint64_t sequence;
} ql_replay__events_t;

void ql_replay__events_init(ql_replay__events_t *events);
void ql_replay__events_finish(ql_replay__events_t *events);
void ql_replay__events_push(ql_replay__events_t *events,
			    ql_replay__event_t event);
/**
 * ql_replay__events_pop() - Remove the earliest event.
 * @events: the queue
 * @event: set to the event
 *
 * Return: false if the queue is empty.
 */
bool ql_replay__events_pop(ql_replay__events_t *events,
			   ql_replay__event_t *event);

typedef struct ql_replay__submission ql_replay__submission_t;
typedef struct ql_replay__call ql_replay__call_t;
typedef struct ql_replay__attempt ql_replay__attempt_t;

/**
 * struct ql_replay__endpoint - An endpoint and the node on its VM.
 * @source: description of the endpoint in the trace
 * @service: index of the service in the document
 * @info: endpoint as announced to the balancers
 * @is_up: the endpoint runs
 * @started_us: time of the last restart; 0 if it runs since the start of the
 *              trace
 * @gate: gate; initialized only if the policy has gates and @is_up
 * @attempts: queued and admitted &struct ql_replay__attempt by ticket; borrowed
 * @n_tickets_issued: number of tickets issued, if there is no gate
 * @in_flight: number of attempts at this endpoint, including queued ones
 * @running: number of used slots
 * @backlog: attempts that the gate admitted and that wait for a slot
 * @gate_wakeup_us: time of the next scheduled %EVENT_GATE_WAKEUP; UINT64_MAX if
 *                  there is none
 * @last_admitted_us: time of the last admission, indexed by shed order
 * @last_refused_us: time of the last refusal for overload, indexed by shed
 *                   order
 * @balancers: balancers of the node, by service
 * @retry_budgets: retry budgets of the node, by service
 * @early_rejection: early rejection of client requests at the node
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
 * @arrivals_index: index of its arrivals in the trace
 * @arrived_us: time of arrival
 * @n_submissions: number of submissions so far
 * @n_executions: number of executions of its root call
 * @succeeded: the client got a complete response
 */
typedef struct ql_replay__client {
	uint32_t arrivals_index;
	uint64_t arrived_us;
	uint32_t n_submissions;
	uint32_t n_executions;
	bool succeeded;
} ql_replay__client_t;

/**
 * struct ql_replay__submission - A client request that was sent once.
 * @client: index of the client
 * @node: index of the endpoint whose node received the request
 * @arrivals: arrivals that the request belongs to
 * @route: route of the request
 * @shed_order: shed order of the class of the route
 * @allowance: attempts that the root call may still use
 * @deadline_us: when the client stops waiting
 * @n_attempts: number of attempts of all calls of this submission
 * @executed: an endpoint has started to execute one of the attempts
 * @completed: the client has a response or has stopped waiting
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
 * @submission: submission that the call belongs to; a reference
 * @parent: attempt that makes the call, with a reference; NULL for the root
 *          call
 * @attempt: attempt in flight, or NULL; borrowed
 * @service: index of the called service
 * @node: index of the endpoint whose node makes the call
 * @tried: endpoints tried so far, as handles of the balancer
 * @n_tried: number of elements of @tried
 * @n_attempts: number of attempts made so far
 * @may_have_run: the outcome of an attempt is unknown
 * @completed: the call has a result or was cancelled
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

/**
 * enum ql_replay__attempt_state - State of an attempt.
 * @ATTEMPT_QUEUED: queued at the gate
 * @ATTEMPT_WAITS_FOR_SLOT: admitted, while all slots of the endpoint are used
 * @ATTEMPT_RUNNING: uses a slot of the endpoint
 * @ATTEMPT_COMPLETED: no longer at the endpoint
 */
typedef enum {
	ATTEMPT_QUEUED,
	ATTEMPT_WAITS_FOR_SLOT,
	ATTEMPT_RUNNING,
	ATTEMPT_COMPLETED,
} ql_replay__attempt_state_t;

/**
 * struct ql_replay__attempt - An attempt of a call.
 * @state: state of the attempt
 * @submission: submission that the attempt belongs to; a reference
 * @call: call that makes the attempt, with a reference; NULL once the caller
 *        has its result or has timed out
 * @endpoint: index of the endpoint
 * @ticket: ticket of the gate, or %QL_HANDLE_NONE
 * @endpoint_handle: handle of the endpoint in the balancer of the caller
 * @allowance: attempts that the downstream calls may still use
 * @attempts_lent: attempts lent by the caller, including this one
 * @offered_us: when the attempt was offered to the endpoint
 * @deadline_us: deadline of the attempt
 * @under_way: an earlier call for the same client request has run, so refusing
 *             this attempt would waste work
 * @is_root: the attempt belongs to the root call
 * @makes_calls: the endpoint makes the downstream calls of its service
 * @next_callee: index of the next downstream call in the list of the service
 * @downstream_call: downstream call in flight, or NULL
 * @load_level: highest load level reported by a gate for this attempt or its
 *              downstream calls
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
 * struct ql_replay__completion - Result of an attempt or a call.
 * @succeeded: there is a complete response
 * @result: result as reported to the node of the caller
 * @attempts_unused: lent attempts that were not used
 */
typedef struct ql_replay__completion {
	bool succeeded;
	ql_attempt_result_t result;
	uint32_t attempts_unused;
} ql_replay__completion_t;

/**
 * struct ql_replay__sim - A replay in progress. The arrays by interval have
 * &ql_replay_result.n_buckets elements.
 * @trace: trace to replay; borrowed
 * @policy: overload protection; borrowed
 * @doc: configuration document; borrowed from @trace
 * @result: result to fill in
 * @now_us: current virtual time
 * @end_us: end of the trace; requests in flight are still completed
 * @random: random source of everything but the arrivals
 * @arrivals_random: random source of the arrivals, so that all policies get the
 *                   same arrivals
 * @events: event queue
 * @endpoints: all endpoints
 * @n_endpoints: number of endpoints
 * @endpoint_by_gate: index in @endpoints by name of the gate
 * @clients: array of &struct ql_replay__client
 * @slowdown: current factor on the service times, by service
 * @surge: current factor on the arrival rates
 * @top_shed_order: highest shed order of the document
 * @succeeded_by_arrival: client requests that succeeded, by interval of arrival
 * @offered: client requests that arrived, by interval
 * @succeeded_by_end: client requests that succeeded, by interval of the
 *                    response
 * @goodput_calls: bottleneck calls of the client requests that succeeded, by
 *                 interval of the response
 * @offered_calls: bottleneck calls that the arriving client requests need, by
 *                 interval
 * @capacity_calls: calls that the bottleneck can serve, by interval
 * @n_top_class_offered: client requests of the class @top_shed_order
 * @n_top_class_succeeded: those that succeeded
 * @n_succeeded: client requests that succeeded
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

/**
 * ql_replay__schedule() - Schedule an event.
 * @sim: the replay
 * @time_us: virtual time of the event
 * @type: type of the event
 * @index: see &struct ql_replay__event
 * @object: see &struct ql_replay__event; a reference is taken
 */
void ql_replay__schedule(ql_replay__sim_t *sim, uint64_t time_us,
			 ql_replay__event_type_t type, uint32_t index,
			 void *object);
/**
 * ql_replay__record_violation() - Count a violation.
 * @sim: the replay
 * @measure: measure that counts the violation
 * @format: printf format of the description, which is kept for the first
 *          violation of the measure
 */
void ql_replay__record_violation(ql_replay__sim_t *sim,
				 ql_replay_measure_t measure,
				 const char *format, ...) G_GNUC_PRINTF(3, 4);
/**
 * ql_replay__bucket_index() - Find the interval of a time.
 *
 * Return: index of the interval; the last one for times after the end.
 */
size_t ql_replay__bucket_index(const ql_replay__sim_t *sim, uint64_t time_us);

/* replay_endpoint.c */
void ql_replay__endpoints_init(ql_replay__sim_t *sim);
void ql_replay__endpoints_finish(ql_replay__sim_t *sim);
/**
 * ql_replay__endpoint_start() - Start an endpoint, with a new gate.
 */
void ql_replay__endpoint_start(ql_replay__sim_t *sim,
			       ql_replay__endpoint_t *endpoint);
/**
 * ql_replay__endpoint_offer() - Offer an attempt to its endpoint.
 * @sim: the replay
 * @attempt: the attempt; may be completed and freed by this call
 */
void ql_replay__endpoint_offer(ql_replay__sim_t *sim,
			       ql_replay__attempt_t *attempt);
/**
 * ql_replay__endpoint_release() - Remove an attempt from its endpoint, with its
 * ticket, its slot and its place in the backlog.
 * @sim: the replay
 * @attempt: the attempt, not completed
 * @outcome: outcome to report to the gate if the attempt was admitted
 */
void ql_replay__endpoint_release(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 ql_gate_outcome_t outcome);
/**
 * ql_replay__endpoint_apply_decisions() - Start or refuse the queued attempts
 * that the gate has decided on.
 * @sim: the replay
 * @index: index of the endpoint
 */
void ql_replay__endpoint_apply_decisions(ql_replay__sim_t *sim, uint32_t index);
/**
 * ql_replay__update_membership() - Add an endpoint to the balancers of all
 * nodes or, if it does not serve, remove it from them.
 * @sim: the replay
 * @index: index of the endpoint
 */
void ql_replay__update_membership(ql_replay__sim_t *sim, uint32_t index);
/**
 * ql_replay__service_capacity_per_s() - Compute the current capacity of a
 * service.
 * @sim: the replay
 * @service: index of the service
 *
 * Return: calls per second that its endpoints can serve with all slots used.
 */
double ql_replay__service_capacity_per_s(const ql_replay__sim_t *sim,
					 uint16_t service);

/* replay_fault.c */
void ql_replay__fault_start(ql_replay__sim_t *sim, uint32_t index);
void ql_replay__fault_end(ql_replay__sim_t *sim, uint32_t index);

/* replay_call.c */
/**
 * ql_replay__call_start() - Start a call.
 * @sim: the replay
 * @submission: submission that the call belongs to
 * @parent: attempt that makes the call, or NULL for the root call
 * @node: index of the endpoint whose node makes the call
 * @service: index of the service to call
 */
void ql_replay__call_start(ql_replay__sim_t *sim,
			   ql_replay__submission_t *submission,
			   ql_replay__attempt_t *parent, uint32_t node,
			   uint16_t service);
/**
 * ql_replay__call_start_attempt() - Make the next attempt of a call, or fail
 * the call if it may not make one.
 * @sim: the replay
 * @call: the call; ignored if it has completed
 */
void ql_replay__call_start_attempt(ql_replay__sim_t *sim,
				   ql_replay__call_t *call);
void ql_replay__call_unref(ql_replay__call_t *call);
void ql_replay__attempt_unref(ql_replay__attempt_t *attempt);
void ql_replay__submission_unref(ql_replay__submission_t *submission);
/**
 * ql_replay__attempt_advance() - Start the next downstream call of an attempt,
 * or complete the attempt if there is none.
 * @sim: the replay
 * @attempt: the attempt; ignored if it does not run or waits for a downstream
 *           call
 */
void ql_replay__attempt_advance(ql_replay__sim_t *sim,
				ql_replay__attempt_t *attempt);
/**
 * ql_replay__attempt_cancel_at_deadline() - Time out an attempt. With overload
 * control the attempt is cancelled; otherwise only its caller stops waiting.
 * @sim: the replay
 * @attempt: the attempt; ignored if it has completed
 */
void ql_replay__attempt_cancel_at_deadline(ql_replay__sim_t *sim,
					   ql_replay__attempt_t *attempt);
/**
 * ql_replay__attempt_complete() - Report the result of an attempt to its caller
 * and drop the reference of the endpoint.
 * @sim: the replay
 * @attempt: the attempt, already removed from its endpoint
 * @completion: the result; the load level is taken from @attempt
 */
void ql_replay__attempt_complete(ql_replay__sim_t *sim,
				 ql_replay__attempt_t *attempt,
				 const ql_replay__completion_t *completion);

/* replay_client.c */
/**
 * ql_replay__add_client() - Add a client request, submit it and schedule the
 * next arrival.
 * @sim: the replay
 * @index: index of the arrivals in the trace
 */
void ql_replay__add_client(ql_replay__sim_t *sim, uint32_t index);
/**
 * ql_replay__schedule_arrival() - Schedule the next arrival, unless it is after
 * the end of the arrivals or of the trace.
 * @sim: the replay
 * @index: index of the arrivals in the trace
 * @from_us: time of the previous arrival
 */
void ql_replay__schedule_arrival(ql_replay__sim_t *sim, uint32_t index,
				 uint64_t from_us);
/**
 * ql_replay__submit() - Send a client request to the first node.
 * @sim: the replay
 * @client: index of the client
 */
void ql_replay__submit(ql_replay__sim_t *sim, uint32_t client);
/**
 * ql_replay__submission_complete() - Report the result of the root call to the
 * client.
 * @sim: the replay
 * @submission: the submission; only the early rejection gets the result if the
 *              client has stopped waiting
 * @completion: the result
 */
void ql_replay__submission_complete(ql_replay__sim_t *sim,
				    ql_replay__submission_t *submission,
				    const ql_replay__completion_t *completion);
/**
 * ql_replay__client_give_up() - Let a client stop waiting for a submission; the
 * calls of the submission continue.
 * @sim: the replay
 * @submission: the submission; ignored if it has completed
 */
void ql_replay__client_give_up(ql_replay__sim_t *sim,
			       ql_replay__submission_t *submission);

#endif
