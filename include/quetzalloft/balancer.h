#ifndef QUETZALLOFT_BALANCER_H
#define QUETZALLOFT_BALANCER_H

/**
 * DOC: Choice of an endpoint for each attempt, by what this node observed
 * itself. Reports of load and health lag or mislead and only break ties.
 */

#include "quetzalloft/table.h"

G_BEGIN_DECLS

/**
 * struct ql_target_info - What membership says of an endpoint.
 * @gate: "IP:port" of the gate beside it
 * @failure_domain: the domain whose registrars hold its lease
 * @placement: where it is, if the registrars serve several failure domains
 * @incarnation: start of its process, to tell a restart
 * @slots: requests that it can run at once
 * @connections: connections that it takes
 * @stale: its failure domain was not heard of lately
 */
typedef struct ql_endpoint_info {
	char gate[QL_ADDRESS_MAX];
	char failure_domain[QL_NAME_MAX];
	char placement[QL_NAME_MAX];
	uint64_t incarnation;
	uint32_t slots;
	uint32_t connections;
	bool stale;
} ql_endpoint_info_t;

/**
 * struct ql_target - An endpoint as this node sees it.
 * @info: what membership says
 * @in_progress: attempts of this node that run there
 * @latency_us: moving mean; counts for less while nothing is heard
 * @slowness: moving mean of its latencies, as parts of what is typical of the
 *            route; 0 while nothing is known
 * @failing: moving part of the attempts that it refused, lost or failed
 * @failing_us: when an attempt counted for @failing last
 * @heard_us: when it answered last
 * @silent_us: when it answered last, or began to owe an answer if that is later
 * @failures: failed attempts in a row
 * @added_us: when it was added, for slow start
 * @ejected_until_us: not chosen before, unless too many are ejected
 * @ejections: ejections since its last answer
 * @backoff_until_us: it asked not to be called before
 * @level: the load level that its gate returned last
 * @level_us: when that was
 * @position: in the list of all endpoints
 * @near_position: in the list of those of the own failure domain
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
	uint64_t added_us;
	uint64_t ejected_until_us;
	uint32_t ejections;
	uint64_t backoff_until_us;
	uint32_t load_level;
	uint64_t load_level_us;
	uint32_t position;
	uint32_t same_domain_position;
} ql_endpoint_t;

typedef struct ql_balancer ql_balancer_t;

/**
 * struct ql_pick - What an endpoint is chosen for.
 * @tried: endpoints that this call tried already
 * @n_tried: their number
 * @typical_us: latency that is typical of the route, at any endpoint; 0 when
 *              it is not known
 */
typedef struct ql_pick_request {
	const ql_handle_t *tried;
	size_t n_tried;
	double typical_latency_us;
} ql_pick_request_t;

/**
 * struct ql_balancer_ops - A way to choose.
 * @name: its name
 * @weighs_domains: @pick weighs endpoints of all failure domains; otherwise
 *                  those of the own one go first while they have room
 * @pick: choose among the candidates of the balancer
 */
typedef struct ql_balancer_ops {
	const char *name;
	bool cross_domain;
	ql_handle_t (*pick)(ql_balancer_t *balancer,
			    const ql_pick_request_t *request, uint64_t now_us);
} ql_balancer_ops_t;

/**
 * struct ql_balancer - The endpoints of one service.
 * @ops: the policy
 * @failure_domain: of this node
 * @targets: table of &struct ql_target
 * @by_gate: handles by address of the gate
 * @all: handles of all endpoints
 * @near: handles of those in the own failure domain
 * @ejected: handles of those that were ejected and have not answered since
 * @candidates: room for the choice
 * @latency_us: moving mean over all endpoints
 * @level: the least level at @level_us
 * @level_us: when @level was found
 * @random: source of random choices; borrowed
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
	GRand *random;
};

extern const ql_balancer_ops_t ql_balancer_random;
extern const ql_balancer_ops_t ql_balancer_two_choices;
/**
 * The least expected time, of two drawn in the own failure domain and two drawn
 * in the others, which have to save a multiple of what is typical of the route.
 */
extern const ql_balancer_ops_t ql_balancer_least_time;

void ql_balancer_init(ql_balancer_t *balancer, const ql_balancer_ops_t *ops,
		      const char *failure_domain, GRand *random);
void ql_balancer_finish(ql_balancer_t *balancer);

/**
 * ql_balancer_add() - Add an endpoint or renew what is said of it.
 * @balancer: the endpoints
 * @info: what membership says; the gate's address is its identity
 * @now_us: the time
 *
 * Return: its handle, or QL_HANDLE_NONE when the table is full.
 */
ql_handle_t ql_balancer_add(ql_balancer_t *balancer,
			    const ql_endpoint_info_t *info, uint64_t now_us);

/**
 * ql_balancer_remove() - Forget an endpoint.
 * @balancer: the endpoints
 * @gate: address of its gate
 */
void ql_balancer_remove(ql_balancer_t *balancer, const char *gate);

/**
 * ql_balancer_pick() - Choose an endpoint and count an attempt on it.
 * @balancer: the endpoints
 * @pick: what for
 * @now_us: the time
 *
 * Endpoints that were not tried go first; then any but the last one tried.
 *
 * Return: its handle, or QL_HANDLE_NONE when none is known or all have as many
 * attempts in progress as they take connections.
 */
ql_handle_t ql_balancer_pick(ql_balancer_t *balancer,
			     const ql_pick_request_t *request, uint64_t now_us);

/**
 * struct ql_attempt_result - How an attempt ended, for the balancer.
 * @outcome: what is known
 * @reason: why it failed
 * @failed: the endpoint answered with a failure of its own
 * @latency_us: how long it took
 * @typical_us: latency that is typical of its route; 0 when it is not known
 * @has_level: whether the gate returned its level
 * @level: the level
 * @retry_after_us: what a refusal asked for
 */
typedef struct ql_attempt_result {
	ql_outcome_t outcome;
	ql_reason_t reason;
	bool failed;
	uint64_t latency_us;
	double typical_latency_us;
	bool has_load_level;
	uint32_t load_level;
	uint64_t retry_after_us;
} ql_attempt_result_t;

/**
 * ql_balancer_done() - Report the end of an attempt.
 * @balancer: the endpoints
 * @handle: the endpoint; one that was removed meanwhile is ignored
 * @result: how it ended
 * @now_us: the time
 */
void ql_balancer_record_result(ql_balancer_t *balancer, ql_handle_t handle,
			       const ql_attempt_result_t *result,
			       uint64_t now_us);

/**
 * ql_balancer_level() - The least load level among the endpoints.
 * @balancer: the endpoints
 * @now_us: the time
 *
 * Return: a request whose shed order is below this level would be refused by
 * every endpoint; 0 when none is known to refuse.
 */
uint32_t ql_balancer_min_level(ql_balancer_t *balancer, uint64_t now_us);

G_END_DECLS

#endif
