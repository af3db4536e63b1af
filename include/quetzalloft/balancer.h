#ifndef QUETZALLOFT_BALANCER_H
#define QUETZALLOFT_BALANCER_H

/**
 * DOC: Load balancer: chooses the endpoint of each attempt from the latencies
 * and failures that this node observed itself. Load levels that endpoints
 * report can be outdated or wrong and only break ties. ql_balancer_even_load
 * also uses the occupancies that endpoints report with their responses, the
 * less the older they are.
 */

#include "quetzalloft/table.h"

G_BEGIN_DECLS

/**
 * struct ql_endpoint_info - Membership record of an endpoint.
 * @gate: "IP:port" of its gate; identifies the endpoint
 * @failure_domain: failure domain whose registrars hold its lease
 * @placement: failure domain in which it runs, if the registrars serve several
 *             of them; empty if that is @failure_domain
 * @incarnation: start of its process; differs after a restart
 * @age_us: how long it had been running when the record was received; 0 if not
 *          known
 * @slots: requests that it can run at once
 * @connections: most connections that it accepts; 0 for no limit
 * @stale: there was no recent report from @failure_domain
 */
typedef struct ql_endpoint_info {
	char gate[QL_ADDRESS_MAX];
	char failure_domain[QL_NAME_MAX];
	char placement[QL_NAME_MAX];
	uint64_t incarnation;
	uint64_t age_us;
	uint32_t slots;
	uint32_t connections;
	bool stale;
} ql_endpoint_info_t;

/**
 * struct ql_endpoint - An endpoint with the observations of this node.
 * @info: membership record
 * @in_progress: number of attempts of this node in flight to it
 * @latency_us: moving mean of the latencies of its answers, as of
 *              @last_answer_us; 0 before the first answer
 * @relative_latency: moving mean of its latencies, each as a multiple of the
 *                    typical latency of its route, as of @last_answer_us; 0
 *                    before the first answer
 * @failure_ratio: moving ratio, 0 to 1, of attempts with a connection failure,
 *                 a malformed answer, a refusal by the endpoint itself or a
 *                 failure answer, as of @failure_ratio_us
 * @failure_ratio_us: time of the last attempt counted in @failure_ratio
 * @last_answer_us: time of the last answer
 * @unanswered_since_us: time since which its attempts in flight have had no
 *                       result: that of the last result or, if no attempt was
 *                       in flight then, of the start of the next one
 * @consecutive_failures: attempts whose connection failed or was lost, or whose
 *                        answer was malformed, since the last answer or
 * ejection
 * @started_us: time since which it runs or, if that is not known, when it was
 *              added; for slow start
 * @ejected_until_us: end of its ejection; until then it is chosen only if no
 *                    healthy endpoint can be chosen
 * @ejections: ejections since its last answer
 * @backoff_until_us: end of the delay in its last Retry-After header
 * @load_level: last load level that its gate returned
 * @load_level_us: time when @load_level was returned
 * @occupancy: last occupancy that its gate reported or, after a refusal, 1 if
 *             that is more; see ql_gate_occupancy()
 * @occupancy_us: time when @occupancy was received; 0 if it never was
 * @sent_since: attempts started since @occupancy_us
 * @refusal_ratio: moving ratio, 0 to 1, of attempts that were refused without
 *                 being run, as of @refusal_ratio_us
 * @refusal_ratio_us: time of the last attempt counted in @refusal_ratio
 * @position: index in the list of all endpoints
 * @same_domain_position: index in the list of endpoints in the failure domain
 *                        of this node; UINT32_MAX if it is in another one
 */
typedef struct ql_endpoint {
	ql_endpoint_info_t info;
	uint32_t in_progress;
	double latency_us;
	double relative_latency;
	double failure_ratio;
	uint64_t failure_ratio_us;
	uint64_t last_answer_us;
	uint64_t unanswered_since_us;
	uint32_t consecutive_failures;
	uint64_t started_us;
	uint64_t ejected_until_us;
	uint32_t ejections;
	uint64_t backoff_until_us;
	uint32_t load_level;
	uint64_t load_level_us;
	double occupancy;
	uint64_t occupancy_us;
	uint32_t sent_since;
	double refusal_ratio;
	uint64_t refusal_ratio_us;
	uint32_t position;
	uint32_t same_domain_position;
} ql_endpoint_t;

typedef struct ql_balancer ql_balancer_t;

/**
 * struct ql_pick_request - An attempt that needs an endpoint.
 * @tried: handles of the endpoints that the call has tried, in order; borrowed
 * @n_tried: number of elements of @tried
 * @once_per_endpoint: no endpoint is chosen that the call has tried
 * @typical_latency_us: typical latency of the route over all endpoints; 0 if
 *                      not known
 */
typedef struct ql_pick_request {
	const ql_handle_t *tried;
	size_t n_tried;
	bool once_per_endpoint;
	double typical_latency_us;
} ql_pick_request_t;

/**
 * enum ql_estimate_kind - What a policy compares the endpoints by.
 * @QL_ESTIMATE_NONE: by nothing, all are alike
 * @QL_ESTIMATE_COST: by an expected cost, of which the least is the best; see
 *                    the policy for its unit
 * @QL_ESTIMATE_WEIGHT: by a weight, which each is chosen with
 */
typedef enum ql_estimate_kind {
	QL_ESTIMATE_NONE,
	QL_ESTIMATE_COST,
	QL_ESTIMATE_WEIGHT,
} ql_estimate_kind_t;

/**
 * struct ql_balancer_ops - A load balancing policy.
 * @name: name of the policy
 * @cross_domain: the candidates are from all failure domains; otherwise
 *                endpoints in the failure domain of this node are preferred
 *                while they have free slots
 * @weighted: it weighs all candidates, so that more endpoints are examined and
 *            more are drawn, from all failure domains alike
 * @pick: chooses one of the candidates of the balancer, of which there is at
 *        least one; returns its handle
 * @estimate: sets what @pick compares each of the candidates by, in their
 *            order; may change @balancer
 */
typedef struct ql_balancer_ops {
	const char *name;
	bool cross_domain;
	bool weighted;
	ql_handle_t (*pick)(ql_balancer_t *balancer,
			    const ql_pick_request_t *request, uint64_t now_us);
	ql_estimate_kind_t (*estimate)(ql_balancer_t *balancer,
				       const ql_pick_request_t *request,
				       uint64_t now_us, double *estimates);
} ql_balancer_ops_t;

/**
 * struct ql_even_load - State of ql_balancer_even_load.
 * @mean_occupancy: mean occupancy of the endpoints with news, by slots
 * @own_quality: part of the slots in the failure domain of this node that
 *               serves, 0 to 1; without those of endpoints that refuse, fail,
 *               are silent or start
 * @cross_share: what the endpoints in other failure domains get of their even
 *               part of the calls, 0 to 1
 * @updated_us: time when these were computed; 0 before the first time
 */
typedef struct ql_even_load {
	double mean_occupancy;
	double own_quality;
	double cross_share;
	uint64_t updated_us;
} ql_even_load_t;

/**
 * struct ql_balancer - Load balancer over the endpoints of one service.
 * @ops: policy
 * @failure_domain: failure domain of this node
 * @endpoints: table of &struct ql_endpoint
 * @by_gate: handles, by address of the gate
 * @all: handles of all endpoints
 * @same_domain: handles of the endpoints in @failure_domain
 * @ejected: handles of endpoints that were ejected; those that answered since
 *           or were removed are dropped before the next ejection
 * @candidates: handles of the endpoints to choose from; reused by each choice
 * @latency_us: moving mean of the latencies of all endpoints; 0 before the
 *              first answer
 * @min_level: cached least load level of the endpoints
 * @min_level_us: time when @min_level was computed
 * @even_load: state of ql_balancer_even_load
 * @refusals: attempts that were refused without being run, since the start
 * @random: random number generator; borrowed
 */
struct ql_balancer {
	const ql_balancer_ops_t *ops;
	char failure_domain[QL_NAME_MAX];
	ql_table_t endpoints;
	GHashTable *by_gate;
	GArray *all;
	GArray *same_domain;
	GArray *ejected;
	GArray *candidates;
	double latency_us;
	uint32_t min_level;
	uint64_t min_level_us;
	ql_even_load_t even_load;
	uint64_t refusals;
	GRand *random;
};

/** Chooses at random. */
extern const ql_balancer_ops_t ql_balancer_random;
/**
 * Chooses the endpoint with the lower expected load cost out of two random
 * candidates.
 */
extern const ql_balancer_ops_t ql_balancer_two_choices;
/**
 * Chooses the endpoint with the least expected latency out of two random
 * candidates in the failure domain of this node and two in the others; for the
 * latter, a multiple of the typical latency of the route is added.
 */
extern const ql_balancer_ops_t ql_balancer_least_time;
/**
 * Chooses at random, weighted so that the same part of the slots of each
 * endpoint is in use: by slots and speed, and by the occupancy that was
 * reported, the less the older it is. Endpoints in other failure domains get
 * calls as far as those in the failure domain of this node are fuller.
 */
extern const ql_balancer_ops_t ql_balancer_even_load;
/**
 * Chooses as ql_balancer_even_load among up to %QL_BALANCER_FEW_ENDPOINTS_MAX
 * endpoints, and as ql_balancer_least_time among more.
 */
extern const ql_balancer_ops_t ql_balancer_auto;

/** Most endpoints of a service that are few. */
#define QL_BALANCER_FEW_ENDPOINTS_MAX 16u
/** Names that ql_balancer_find() accepts, for messages to users. */
#define QL_BALANCER_NAMES "random, two_choices, least_time, even_load or auto"

/**
 * ql_balancer_find() - Find a policy by its name.
 * @name: name
 *
 * Return: the policy, or NULL if there is none of this name.
 */
const ql_balancer_ops_t *ql_balancer_find(const char *name);

/**
 * ql_balancer_init() - Initialize a balancer without endpoints.
 * @balancer: balancer
 * @ops: policy
 * @failure_domain: failure domain of this node; copied
 * @random: random number generator; borrowed until ql_balancer_finish()
 */
void ql_balancer_init(ql_balancer_t *balancer, const ql_balancer_ops_t *ops,
		      const char *failure_domain, GRand *random);

/**
 * ql_balancer_finish() - Free the endpoints of a balancer.
 * @balancer: balancer
 */
void ql_balancer_finish(ql_balancer_t *balancer);

/**
 * ql_balancer_add() - Add an endpoint or update its membership record.
 * @balancer: balancer
 * @info: membership record; the address of the gate identifies the endpoint
 * @now_us: current time
 *
 * If the endpoint has restarted or has moved into or out of the failure domain
 * of this node, its observations are discarded and its handle changes.
 *
 * Return: its handle, or QL_HANDLE_NONE if the table is full.
 */
ql_handle_t ql_balancer_add(ql_balancer_t *balancer,
			    const ql_endpoint_info_t *info, uint64_t now_us);

/**
 * ql_balancer_remove() - Remove an endpoint.
 * @balancer: balancer
 * @gate: address of its gate; an unknown one is ignored
 */
void ql_balancer_remove(ql_balancer_t *balancer, const char *gate);

/**
 * ql_balancer_pick() - Choose an endpoint and count an attempt in flight to it.
 * @balancer: balancer
 * @request: the attempt
 * @now_us: current time
 *
 * Prefers endpoints that the call has not tried, then any except the one it
 * tried last; the latter is chosen only if it is the only endpoint. With
 * @request->once_per_endpoint only endpoints that it has not tried are chosen.
 *
 * Return: the handle of the endpoint, to be passed to
 * ql_balancer_record_result(); QL_HANDLE_NONE if there is no endpoint that may
 * be chosen and has a connection left.
 */
ql_handle_t ql_balancer_pick(ql_balancer_t *balancer,
			     const ql_pick_request_t *request, uint64_t now_us);

/**
 * enum ql_endpoint_obstacle - Why an endpoint is passed over for others.
 * @QL_OBSTACLE_NONE: it is a candidate, or those preferred are closer
 * @QL_OBSTACLE_CONNECTIONS: all its connections are in use
 * @QL_OBSTACLE_EJECTED: it is ejected
 * @QL_OBSTACLE_PROBED: after its ejection, one attempt at a time is made
 * @QL_OBSTACLE_BACKOFF: it asked for a delay that has not ended
 * @QL_OBSTACLE_SLOTS: this node uses all its slots
 */
typedef enum ql_endpoint_obstacle {
	QL_OBSTACLE_NONE,
	QL_OBSTACLE_CONNECTIONS,
	QL_OBSTACLE_EJECTED,
	QL_OBSTACLE_PROBED,
	QL_OBSTACLE_BACKOFF,
	QL_OBSTACLE_SLOTS,
} ql_endpoint_obstacle_t;

/**
 * struct ql_endpoint_look - What a balancer holds of an endpoint now.
 * @endpoint: the endpoint; borrowed
 * @same_domain: it is in the failure domain of this node
 * @candidate: it could be chosen
 * @likely: of the candidates, none is chosen more often
 * @estimate: what it is compared by, of a candidate
 * @latency_us: expected latency
 * @failure_ratio: expected ratio of failures, 0 to 1
 * @refusal_ratio: expected ratio of refusals, 0 to 1
 * @obstacle: why it is passed over; that of a candidate did not count, as there
 *            is no better one
 */
typedef struct ql_endpoint_look {
	const ql_endpoint_t *endpoint;
	bool same_domain;
	bool candidate;
	bool likely;
	double estimate;
	double latency_us;
	double failure_ratio;
	double refusal_ratio;
	ql_endpoint_obstacle_t obstacle;
} ql_endpoint_look_t;

/**
 * ql_balancer_look() - Tell what ql_balancer_pick() would choose from now, for
 * the first attempt of a call, without choosing.
 * @balancer: balancer; neither it nor its random number generator changes
 * @request: the attempt, without endpoints tried
 * @now_us: current time
 * @out: set to one entry for each endpoint, as many as &ql_balancer.all has
 *
 * Of many endpoints, ql_balancer_pick() draws a few and compares these.
 *
 * Return: what the endpoints are compared by.
 */
ql_estimate_kind_t ql_balancer_look(const ql_balancer_t *balancer,
				    const ql_pick_request_t *request,
				    uint64_t now_us, ql_endpoint_look_t *out);

/**
 * struct ql_attempt_result - Result of an attempt, for the balancer.
 * @outcome: outcome
 * @reason: reason if there is no answer
 * @failed: the answer of the endpoint is a failure, such as a status of 500
 * @latency_us: time from the start of the attempt to its end
 * @typical_latency_us: typical latency of the route; 0 if not known
 * @has_load_level: the gate returned its load level
 * @load_level: load level of the gate
 * @has_occupancy: the gate reported its occupancy
 * @occupancy: occupancy of the gate, see ql_gate_occupancy()
 * @retry_after_us: delay in the Retry-After header of a refusal; 0 if none
 */
typedef struct ql_attempt_result {
	ql_outcome_t outcome;
	ql_reason_t reason;
	bool failed;
	uint64_t latency_us;
	double typical_latency_us;
	bool has_load_level;
	uint32_t load_level;
	bool has_occupancy;
	double occupancy;
	uint64_t retry_after_us;
} ql_attempt_result_t;

/**
 * ql_balancer_record_result() - Record the result of an attempt.
 * @balancer: balancer
 * @handle: handle of the endpoint; ignored if it was removed meanwhile
 * @result: result
 * @now_us: current time
 *
 * Updates the latency and the failure ratio of the endpoint. An endpoint that
 * fails repeatedly is ejected for some time, unless half of all endpoints are
 * ejected already.
 */
void ql_balancer_record_result(ql_balancer_t *balancer, ql_handle_t handle,
			       const ql_attempt_result_t *result,
			       uint64_t now_us);

/**
 * ql_balancer_min_level() - Get the least load level of the endpoints.
 * @balancer: balancer
 * @now_us: current time
 *
 * Return: the level: every endpoint would refuse a request whose shed order is
 * below it; 0 if some endpoint is not known to refuse any.
 */
uint32_t ql_balancer_min_level(ql_balancer_t *balancer, uint64_t now_us);

/**
 * struct ql_balancer_spread - How evenly the endpoints of a service are loaded,
 * as far as this node knows. One without news of the last second counts as the
 * mean of the others.
 * @mean: mean occupancy, by slots
 * @busiest: highest occupancy
 * @idle_slots: slots that are free
 * @slots: slots of all endpoints
 * @n_known: endpoints with news of the last second
 */
typedef struct ql_balancer_spread {
	double mean;
	double busiest;
	double idle_slots;
	uint32_t slots;
	uint32_t n_known;
} ql_balancer_spread_t;

/**
 * ql_balancer_get_spread() - Compute the spread of the load over the endpoints.
 * @balancer: balancer
 * @spread: set to the spread
 * @now_us: current time
 */
void ql_balancer_get_spread(const ql_balancer_t *balancer,
			    ql_balancer_spread_t *spread, uint64_t now_us);

G_END_DECLS

#endif
