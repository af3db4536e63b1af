#ifndef QUETZALLOFT_REPLAY_H
#define QUETZALLOFT_REPLAY_H

/**
 * DOC: Replay of a trace through the decision library.
 *
 * A trace describes endpoints, arrivals of client requests, faults, and the
 * outcomes that must hold; docs/TRACES.md documents the format. Endpoints are
 * simulated, with slots, connections, cold start and random service times;
 * gates, limiters, balancers, retries and allowances are those of the node.
 * Time is virtual, messages have no delay, and equal seeds give equal results.
 *
 * A client sends its request once or more; each time is a submission. A client
 * request succeeds when one of its submissions gets a complete response before
 * its deadline.
 */

#include "quetzalloft/balancer.h"
#include "quetzalloft/document.h"
#include "quetzalloft/gate.h"

G_BEGIN_DECLS

/** Length of the intervals over which results are counted. */
#define QL_REPLAY_BUCKET_US 100000ULL
/** Size of the description of an event, including the NUL. */
#define QL_REPLAY_EVENT_MAX_BYTES 192

/**
 * struct ql_replay_endpoints - Equal endpoints of one service, distributed over
 * the failure domains in turn.
 * @service: name of the service
 * @count: number of endpoints
 * @slots: requests that each endpoint can run at once
 * @reported_slots: slots that each endpoint reports to its gate and to the
 *                  balancers; differs from @slots if it misreports
 * @connections: attempts that each endpoint accepts at once, including those
 *               that are queued; further ones fail to connect
 * @service_ms: mean service time of a request, without its downstream calls
 * @spread: fraction of the service time that is exponentially distributed, 0 to
 *          1; the remainder is constant
 * @cold_start_ms: time after a restart in which the service time is longer
 * @cold_factor: factor on the service time during the cold start
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
 * struct ql_replay_arrivals - Arrival process of client requests of one route.
 * @route: name of the route
 * @rate_per_s: mean rate; the times between requests are exponentially
 *              distributed
 * @from_s: start of the process
 * @until_s: end of the process
 * @calls: whether the service of the route makes its downstream calls for these
 *         requests
 */
typedef struct ql_replay_arrivals {
	char route[QL_NAME_MAX];
	double rate_per_s;
	double from_s;
	double until_s;
	bool calls;
} ql_replay_arrivals_t;

/**
 * enum ql_replay_fault_type - Type of a fault.
 * @QL_REPLAY_SLOWDOWN: the service times of a service are multiplied by a
 *                      factor
 * @QL_REPLAY_SURGE: the arrival rates of all routes are multiplied by a factor
 * @QL_REPLAY_KILL: an endpoint stops at once and loses its requests
 * @QL_REPLAY_DRAIN: the gate of an endpoint drains; a policy without gates only
 *                   restarts the endpoint at the end
 */
typedef enum ql_replay_fault_type {
	QL_REPLAY_SLOWDOWN,
	QL_REPLAY_SURGE,
	QL_REPLAY_KILL,
	QL_REPLAY_DRAIN,
} ql_replay_fault_type_t;

/**
 * struct ql_replay_fault - A fault or a surge of demand.
 * @type: type of the fault
 * @service: name of the affected service; unused for a surge
 * @index: index of the affected endpoint within its service, for kill and
 *         drain; ignored if there is no such endpoint
 * @factor: factor on the service time or on the arrival rate
 * @from_s: start of the fault
 * @until_s: end of the fault, when a killed or drained endpoint restarts with a
 *           cold start
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
 * struct ql_replay_outcome - Range that a measure must be in.
 * @name: name of the measure, see ql_replay_measure_name()
 * @min: least value allowed
 * @max: largest value allowed
 */
typedef struct ql_replay_outcome {
	char name[QL_NAME_MAX];
	double min;
	double max;
} ql_replay_outcome_t;

/**
 * struct ql_replay_trace - A trace.
 * @name: name of the trace
 * @doc: configuration document of the site
 * @failure_domains: number of failure domains
 * @seed: seed of all random numbers
 * @duration_s: length of the trace
 * @trigger_from_s: start of the trigger, the overload whose effect is measured
 * @trigger_until_s: end of the trigger
 * @bottleneck: name of the service with the least capacity; the goodput is
 *              counted in its calls
 * @tries: most submissions of one client request
 * @backoff_ms: mean wait of a client between two submissions
 * @patience_ms: time after the arrival at which the client gives up
 * @membership_lag_ms: delay until the balancers are updated after an endpoint
 *                     has started, drained or died
 * @endpoints: array of &struct ql_replay_endpoints
 * @arrivals: array of &struct ql_replay_arrivals
 * @faults: array of &struct ql_replay_fault
 * @outcomes: array of &struct ql_replay_outcome
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
 * ql_replay_trace_load() - Read a trace from a file.
 * @trace: the trace; call ql_replay_trace_finish() on it after a failure as
 *         well
 * @path: path of the file, which has one JSON object on each line
 * @error: detail of a failure, with the number of the line
 *
 * Return: 0, QL_E_IO, QL_E_INVALID, QL_E_NOT_FOUND, or a code of
 * ql_json_read() or ql_document_compile().
 */
int ql_replay_trace_load(ql_replay_trace_t *trace, const char *path,
			 GError **error);

/**
 * ql_replay_trace_finish() - Free the contents of a trace.
 * @trace: the trace, after ql_replay_trace_load()
 */
void ql_replay_trace_finish(ql_replay_trace_t *trace);

/**
 * struct ql_replay_policy - Overload protection of the services.
 * @name: name of the policy
 * @limiter: concurrency limit policy of the gates, or NULL for no gates
 * @queue: queue policy of the gates
 * @queue_max: most requests that can be queued at a gate
 * @balancer: load balancing policy
 * @overload_control: apply classes, deadlines, allowances, retry budgets and
 *                    outcomes as the node does; otherwise each layer makes up
 *                    to three attempts whatever the failure, each with a third
 *                    of the deadline of the route
 * @early_rejection: reject client requests at the first node
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
 * enum ql_replay_measure - Measures of a replay.
 * @QL_REPLAY_GOODPUT_SHARE: goodput during the trigger: calls of the bottleneck
 *                           made by successful client requests, relative to
 *                           the capacity of the bottleneck or, in an interval
 *                           where it is less, to the offered load
 * @QL_REPLAY_RECOVERY_S: seconds from the end of the trigger until the fraction
 *                        of successful client requests stays at or above 95%
 *                        of that before the trigger; the remainder of the
 *                        trace if that never happens
 * @QL_REPLAY_ORDER_VIOLATIONS: requests that a gate refused for overload
 *                              although it admitted a lower class since they
 *                              were offered, or admitted although it refused a
 *                              higher class since; counted for each such class
 * @QL_REPLAY_ATTEMPTS_MAX: most attempts made for one submission
 * @QL_REPLAY_ATTEMPTS_OVER_BOUND: submissions that made more attempts than the
 *                                 allowance of the document
 * @QL_REPLAY_DUPLICATES: executions after the first one of client requests that
 *                        are not idempotent
 * @QL_REPLAY_FALSE_NOT_RUN: submissions that an endpoint executed and that
 *                           ended as not run
 * @QL_REPLAY_WHOLE_SHARE: fraction of the client requests that succeeded
 * @QL_REPLAY_TOP_CLASS_SHARE: the same for the class with the highest shed
 *                             order
 * @QL_REPLAY_GOODPUT_PER_S: client requests that succeeded during the trigger,
 *                           per second
 * @QL_REPLAY_N_MEASURES: number of measures
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

/**
 * ql_replay_measure_name() - Get the name of a measure in traces and results.
 * @measure: the measure
 *
 * Return: a static string.
 */
const char *ql_replay_measure_name(ql_replay_measure_t measure);

/**
 * struct ql_replay_result - Result of a replay.
 * @values: value of each measure, by &enum ql_replay_measure
 * @events: description of the first violation counted by a measure, or of the
 *          last time without recovery; empty if there was none
 * @whole_per_s: rate of client requests that succeeded, by interval of the
 *               response
 * @offered_per_s: rate of client requests that arrived, by interval
 * @n_buckets: number of intervals of %QL_REPLAY_BUCKET_US
 * @client_requests: client requests that arrived
 * @attempts: attempts sent to endpoints
 * @refused_early: submissions rejected at the first node
 * @refused_at_gates: attempts refused by gates
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
 * @result: set to the result; free it with ql_replay_result_finish()
 * @trace: the trace
 * @policy: overload protection of the services
 */
void ql_replay_run(ql_replay_result_t *result, const ql_replay_trace_t *trace,
		   const ql_replay_policy_t *policy);

/**
 * ql_replay_result_finish() - Free the contents of a result.
 * @result: the result, after ql_replay_run()
 */
void ql_replay_result_finish(ql_replay_result_t *result);

/**
 * ql_replay_check_outcome() - Check whether a result has an outcome.
 * @outcome: the outcome
 * @result: the result
 * @error: set to the measure, its value, the allowed range and the event
 *
 * Return: 0, QL_E_RANGE if the value of the measure is out of range, or
 * QL_E_NOT_FOUND if there is no measure of that name.
 */
int ql_replay_check_outcome(const ql_replay_outcome_t *outcome,
			    const ql_replay_result_t *result, GError **error);

/**
 * ql_replay_result_json() - Convert a result to JSON.
 * @result: the result
 *
 * Return: a new reference.
 */
json_t *ql_replay_result_json(const ql_replay_result_t *result);

G_END_DECLS

#endif
