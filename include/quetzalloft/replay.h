#ifndef QUETZALLOFT_REPLAY_H
#define QUETZALLOFT_REPLAY_H

/**
 * DOC: Replay of a trace through the decision library.
 *
 * A trace describes endpoints, arrivals of client requests, faults, and the
 * outcomes that must hold; docs/TRACES.md documents the format. Endpoints are
 * fakes with slots, connections, cold start and seeded service times; gates,
 * limiters, balancers, retries and allowances are those of the node. Time is
 * virtual, messages take none, and equal seeds give equal results.
 */

#include "quetzalloft/balancer.h"
#include "quetzalloft/document.h"
#include "quetzalloft/gate.h"

G_BEGIN_DECLS

/** Length of the intervals over which results are counted. */
#define QL_REPLAY_BUCKET_US 100000ULL
#define QL_REPLAY_EVENT_MAX_BYTES 192

/**
 * struct ql_replay_endpoints - Endpoints of one service, spread over the
 * failure domains.
 * @service: the service
 * @count: endpoints
 * @slots: requests that each can run at once
 * @reported_slots: what it says of itself; 0 is the truth
 * @connections: connections that each takes
 * @service_ms: mean time of own work for a request
 * @spread: part of that time that is exponentially distributed
 * @cold_start_ms: time after a start in which work takes longer
 * @cold_factor: how much longer
 */
typedef struct ql_replay_endpoints {
	char service[QL_NAME_MAX];
	uint64_t count;
	uint64_t slots;
	uint64_t reported_slots;
	uint64_t connections;
	double service_ms;
	double spread;
	uint64_t cold_start_ms;
	double cold_factor;
} ql_replay_endpoints_t;

/**
 * struct ql_replay_arrivals - Client requests of one route.
 * @route: the route
 * @rate_per_s: mean rate; times between requests are exponential
 * @from_s: start
 * @until_s: end
 * @calls: whether the entry service calls its callees for them
 */
typedef struct ql_replay_arrivals {
	char route[QL_NAME_MAX];
	double rate_per_s;
	double from_s;
	double until_s;
	bool calls;
} ql_replay_arrivals_t;

typedef enum ql_replay_fault_type {
	QL_REPLAY_SLOWDOWN,
	QL_REPLAY_SURGE,
	QL_REPLAY_KILL,
	QL_REPLAY_DRAIN,
} ql_replay_fault_type_t;

/**
 * struct ql_replay_fault - A fault or a surge of demand.
 * @type: what happens
 * @service: to which service; a surge concerns all routes
 * @index: to which of its endpoints, for kill and drain
 * @factor: of the service time, or of the rate
 * @from_s: start
 * @until_s: end; a killed or drained endpoint starts again, cold
 */
typedef struct ql_replay_fault {
	ql_replay_fault_type_t type;
	char service[QL_NAME_MAX];
	uint64_t index;
	double factor;
	double from_s;
	double until_s;
} ql_replay_fault_t;

/**
 * struct ql_replay_outcome - An outcome that must hold.
 * @name: the measure, a name of ql_replay_measure_name()
 * @min: least value
 * @max: largest value
 */
typedef struct ql_replay_outcome {
	char name[QL_NAME_MAX];
	double min;
	double max;
} ql_replay_outcome_t;

/**
 * struct ql_replay_trace - A trace.
 * @name: its name
 * @doc: configuration document of the site
 * @failure_domains: their number
 * @seed: of everything random
 * @duration_s: length
 * @trigger_from_s: start of the overload whose effect is measured
 * @trigger_until_s: its end
 * @bottleneck: the service that carries least, for the goodput
 * @tries: requests that a client sends before it gives up
 * @backoff_ms: mean wait of a client between two of them
 * @patience_ms: time after which an answer is of no use to the client
 * @membership_lag_ms: time until nodes hear of an endpoint that came or left
 */
typedef struct ql_replay_trace {
	char name[QL_NAME_MAX];
	ql_document_t *doc;
	uint64_t failure_domains;
	uint64_t seed;
	double duration_s;
	double trigger_from_s;
	double trigger_until_s;
	char bottleneck[QL_NAME_MAX];
	uint64_t tries;
	uint64_t backoff_ms;
	uint64_t patience_ms;
	uint64_t membership_lag_ms;
	GArray *endpoints;
	GArray *arrivals;
	GArray *faults;
	GArray *outcomes;
} ql_replay_trace_t;

/**
 * ql_replay_trace_load() - Read a trace.
 * @trace: the trace; finish it also after a failure
 * @path: the file, one JSON object a line
 * @error: detail of a failure, with the line
 *
 * Return: 0, QL_E_IO, QL_E_INVALID, QL_E_NOT_FOUND, or a code of
 * ql_json_read() or ql_document_compile().
 */
int ql_replay_trace_load(ql_replay_trace_t *trace, const char *path,
			 GError **error);
void ql_replay_trace_finish(ql_replay_trace_t *trace);

/**
 * struct ql_replay_policy - What guards the services.
 * @name: its name
 * @limiter: limit at the gates, or NULL for no gate
 * @queue: policy of the queue at the gates
 * @queue_max: requests that may wait at a gate
 * @balancer: choice of endpoints
 * @overload_control: classes, deadlines, allowances, retry budgets and outcomes
 * as the node applies them; otherwise each layer tries three times after any
 * failure, with a third of the time for each
 * @early_rejection: refuse at the first node
 */
typedef struct ql_replay_policy {
	const char *name;
	const ql_limiter_ops_t *limiter;
	const ql_queue_ops_t *queue;
	uint32_t queue_max;
	const ql_balancer_ops_t *balancer;
	bool overload_control;
	bool early_rejection;
} ql_replay_policy_t;

/**
 * ql_replay_policy_find() - Find a policy by name.
 * @name: "none", "fixed" or "quetzalloft"
 *
 * Return: the policy, or NULL.
 */
const ql_replay_policy_t *ql_replay_policy_find(const char *name);

/**
 * enum ql_replay_measure - What a replay measures.
 * @QL_REPLAY_GOODPUT_SHARE: calls of the bottleneck that belong to whole
 *                           client requests during the trigger, by what it
 *                           can carry or, if less, by what was asked, taken
 *                           interval by interval
 * @QL_REPLAY_RECOVERY_S: from the end of the trigger until the part of client
 *                        requests that end whole is back at 95% of that
 *                        before, for good; the rest of the trace if never
 * @QL_REPLAY_ORDER_VIOLATIONS: requests refused for overload while one of a
 *                              lower class waited or got in at the same gate
 * @QL_REPLAY_ATTEMPTS_MAX: most attempts for one client request
 * @QL_REPLAY_ATTEMPTS_OVER_BOUND: client requests with more than the allowance
 * @QL_REPLAY_DUPLICATES: client requests that may not be repeated and ran more
 *                        than once
 * @QL_REPLAY_FALSE_NOT_RUN: client requests that ran and were told not-run
 * @QL_REPLAY_WHOLE_SHARE: client requests that ended whole, of all
 * @QL_REPLAY_TOP_CLASS_SHARE: the same for the class that is shed last
 * @QL_REPLAY_GOODPUT_PER_S: client requests that ended whole during the
 *                           trigger, a second
 */
typedef enum ql_replay_measure {
	QL_REPLAY_GOODPUT_SHARE,
	QL_REPLAY_RECOVERY_S,
	QL_REPLAY_ORDER_VIOLATIONS,
	QL_REPLAY_ATTEMPTS_MAX,
	QL_REPLAY_ATTEMPTS_OVER_BOUND,
	QL_REPLAY_DUPLICATES,
	QL_REPLAY_FALSE_NOT_RUN,
	QL_REPLAY_WHOLE_SHARE,
	QL_REPLAY_TOP_CLASS_SHARE,
	QL_REPLAY_GOODPUT_PER_S,
	QL_REPLAY_N_MEASURES,
} ql_replay_measure_t;

const char *ql_replay_measure_name(ql_replay_measure_t measure);

/**
 * struct ql_replay_result - What a replay measured.
 * @values: by &enum ql_replay_measure
 * @events: the first event that made a count or the recovery worse; empty if
 *          there was none
 * @whole_per_s: client requests that ended whole, by interval of their end
 * @offered_per_s: client requests that arrived, by interval
 * @n_buckets: number of intervals
 * @client_requests: client requests that arrived
 * @attempts: attempts at all gates
 * @refused_early: refused at the first node
 * @refused_at_gates: refused by gates
 */
typedef struct ql_replay_result {
	double values[QL_REPLAY_N_MEASURES];
	char events[QL_REPLAY_N_MEASURES][QL_REPLAY_EVENT_MAX_BYTES];
	double *whole_per_s;
	double *offered_per_s;
	size_t n_buckets;
	uint64_t client_requests;
	uint64_t attempts;
	uint64_t refused_early;
	uint64_t refused_at_gates;
} ql_replay_result_t;

/**
 * ql_replay_run() - Replay a trace.
 * @result: what was measured; finish it with ql_replay_result_finish()
 * @trace: the trace
 * @policy: what guards the services
 */
void ql_replay_run(ql_replay_result_t *result, const ql_replay_trace_t *trace,
		   const ql_replay_policy_t *policy);
void ql_replay_result_finish(ql_replay_result_t *result);

/**
 * ql_replay_check_outcome() - Compare a result with one stated outcome.
 * @outcome: the outcome
 * @result: the result
 * @error: the outcome, what was found, and the event
 *
 * Return: 0, QL_E_RANGE when it does not hold, QL_E_NOT_FOUND when there is no
 * such measure.
 */
int ql_replay_check_outcome(const ql_replay_outcome_t *outcome,
			    const ql_replay_result_t *result, GError **error);

/**
 * ql_replay_result_json() - The result as JSON.
 * @result: the result
 *
 * Return: a new reference.
 */
json_t *ql_replay_result_json(const ql_replay_result_t *result);

G_END_DECLS

#endif
