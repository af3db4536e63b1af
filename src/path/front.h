#ifndef QL_PATH_FRONT_H
#define QL_PATH_FRONT_H

/**
 * DOC: Front end of the call path. It accepts requests from clients and from
 * the local endpoint, finds the route, chooses an endpoint for each attempt,
 * and sends exactly one response.
 */

#include "http/listener.h"
#include "path/hop.h"
#include "path/local_gate.h"
#include "quetzalloft/balancer.h"
#include "quetzalloft/key_lease.h"
#include "quetzalloft/quota_wallet.h"
#include "quetzalloft/retry.h"
#include "quetzalloft/route_admission.h"
#include "quetzalloft/team_shares.h"
#include "util/counters.h"

G_BEGIN_DECLS

/**
 * struct ql_front_opts - Settings of a front end.
 * @dialect: header names used by clients; borrowed
 * @caller: service of the local endpoint
 * @own_gate: "IP:port" of the gate of this node
 * @failure_domain: failure domain of this node
 * @repeat_ratio: retry budget of a service: retries for each first attempt,
 *                summed over all layers of callers above it; 0 uses the retry
 *                ratio of the document
 * @key_lease_ms: see &ql_key_lease.lease_ms
 * @balancer: how an endpoint is chosen; NULL for &ql_balancer_least_time
 * @local: gate of this node; borrowed
 * @hops: connections to other gates; borrowed
 * @counters: metrics to update; borrowed
 * @service_wanted: called on the loop when a service is called for the first
 *                  time, and at most once a second when it is called and no
 *                  endpoint of it is known; may be NULL
 * @ask_quota: called on the loop to send a call to the leader for
 *             &ql_quota_wallet.asked; it ends with ql_front_quota_answered() or
 *             ql_front_quota_failed(). May be NULL: then quotas do not apply
 * @data: passed to @service_wanted and @ask_quota
 */
typedef struct ql_front_opts {
	const ql_dialect_t *dialect;
	char caller[QL_NAME_MAX];
	char own_gate[QL_ADDRESS_MAX];
	char failure_domain[QL_NAME_MAX];
	double repeat_ratio;
	uint64_t key_lease_ms;
	const ql_balancer_ops_t *balancer;
	ql_local_gate_t *local;
	ql_hops_t *hops;
	ql_counters_t *counters;
	void (*service_wanted)(void *data, const char *service);
	void (*ask_quota)(void *data, const ql_quota_wallet_t *wallet);
	void *data;
} ql_front_opts_t;

/**
 * struct ql_front_service - A service that requests are forwarded to.
 * @balancer: endpoints of the service
 * @budget: retry budget
 * @logged_refusals: refusals of the balancer at the last log line
 * @next_wanted_us: when @service_wanted may be called again; 0 before the
 *                  first time
 */
typedef struct ql_front_service {
	ql_balancer_t balancer;
	ql_retry_budget_t budget;
	uint64_t logged_refusals;
	uint64_t next_wanted_us;
} ql_front_service_t;

/**
 * struct ql_front_usage - Counts of requests and calls on a route since the
 * start.
 * @offered: received
 * @refused_early: ended without an attempt
 * @answered: answered completely by an endpoint, with a status below 500
 * @failed: failed after at least one attempt, or answered with a status of 500
 *          or above
 * @pressure_samples: ended with a known pressure, see quetzalloft/pressure.h
 * @congested: pressure samples above 1
 * @pressure_sum: sum of the pressure samples
 */
typedef struct ql_front_usage {
	uint64_t offered;
	uint64_t refused_early;
	uint64_t answered;
	uint64_t failed;
	uint64_t pressure_samples;
	uint64_t congested;
	double pressure_sum;
} ql_front_usage_t;

/**
 * struct ql_front_route_class - State of the requests of one class on a route.
 * Teams with a class of their own bring several classes to a route.
 * @references: one for the route and one for each request in flight
 * @name: name of the class; empty for the class of the route, whichever it is,
 *        so that its state is kept when a document gives the route another one
 * @shed_order: shed order of the class in the last document that it was used in
 * @admission: admission control of the requests
 * @usage: counts since the start
 * @logged_usage: counts at the last log line
 */
typedef struct ql_front_route_class {
	uint32_t references;
	char name[QL_NAME_MAX];
	uint32_t shed_order;
	ql_route_admission_t admission;
	ql_front_usage_t usage;
	ql_front_usage_t logged_usage;
} ql_front_route_class_t;

/**
 * struct ql_front_route - State of a route, kept across all documents that have
 * a route of this name.
 * @references: one for the document in force and one for each request in flight
 * @split_credit: scheduling credit of each service of the split; the service
 *                with the most credit is chosen next
 * @typical_latency_us: moving mean of the latency of answered attempts; 0 if
 *                      not known
 * @last_blocking_us: when a request of this route was last expected to delay a
 *                    later one on its connection beyond the timeout of the
 *                    client; 0 if never
 * @classes: &struct ql_front_route_class of the class of the route, which is
 *           the first, and of other classes of the document in force that had
 *           requests
 */
typedef struct ql_front_route {
	uint32_t references;
	int64_t split_credit[QL_ROUTE_SPLIT_MAX];
	double typical_latency_us;
	uint64_t last_blocking_us;
	GPtrArray *classes;
} ql_front_route_t;

/**
 * struct ql_front - A front end.
 * @loop: loop that the front end runs on
 * @opts: settings
 * @doc: document in force, or NULL
 * @key_lease: permission to accept API keys
 * @ready: requests are served
 * @draining: new requests are refused
 * @end_us: when the requests in flight are failed, as the node stops; 0 if it
 *          does not. A request that usually takes longer is refused
 * @services: &struct ql_front_service by name
 * @routes: by index of the route in @doc, each with a reference
 * @n_routes: number of routes
 * @team_shares: &struct ql_team_shares by name of the class, of classes of the
 *               document in force
 * @calls: set of &struct ql_front_call in flight
 * @random: source of jitter and of random choices
 * @quota: tokens of the quotas of teams
 * @quota_timer: fires when the leader may be asked for tokens again
 */
typedef struct ql_front {
	ql_loop_t *loop;
	ql_front_opts_t opts;
	ql_document_t *doc;
	ql_key_lease_t key_lease;
	bool ready;
	bool draining;
	uint64_t end_us;
	GHashTable *services;
	ql_front_route_t **routes;
	size_t n_routes;
	GHashTable *team_shares;
	GHashTable *calls;
	GRand *random;
	ql_quota_wallet_t quota;
	ql_wheel_timer_t quota_timer;
} ql_front_t;

/**
 * ql_front_init() - Initialize a front end without a document and endpoints.
 * @front: the front end; release with ql_front_finish()
 * @loop: loop that the front end runs on; borrowed
 * @opts: settings; copied
 *
 * &ql_front.ready is false, so requests are refused until it is set.
 */
void ql_front_init(ql_front_t *front, ql_loop_t *loop,
		   const ql_front_opts_t *opts);
/**
 * ql_front_finish() - Free the services and routes, and drop the reference to
 * the document.
 * @front: the front end, without requests in flight
 */
void ql_front_finish(ql_front_t *front);

/**
 * ql_front_set_document() - Switch to another document.
 * @front: the front end
 * @doc: the document; a reference is taken
 */
void ql_front_set_document(ql_front_t *front, ql_document_t *doc);

/**
 * ql_front_prove_keys() - Take over a proof that a document was the newest.
 * @front: the front end
 * @proof: the proof; it counts once its version is in force
 */
void ql_front_prove_keys(ql_front_t *front, const ql_key_proof_t *proof);

/**
 * ql_front_keys_are_current() - Check whether API keys are accepted now.
 * @front: the front end
 * @now_ms: current time of ql_clock_boot_ms()
 *
 * Return: true if the document in force is proven, or needs no proof as it has
 * no teams or the settings ask for none.
 */
bool ql_front_keys_are_current(const ql_front_t *front, uint64_t now_ms);

/**
 * ql_front_set_repeat_ratio() - Change the retry budget of all services.
 * @front: the front end
 * @ratio: see &struct ql_front_opts
 */
void ql_front_set_repeat_ratio(ql_front_t *front, double ratio);

/**
 * ql_front_add_endpoint() - Add an endpoint or update its description.
 * @front: the front end
 * @service: name of its service
 * @info: description; the address of the gate identifies the endpoint
 */
void ql_front_add_endpoint(ql_front_t *front, const char *service,
			   const ql_endpoint_info_t *info);

/**
 * ql_front_remove_endpoint() - Remove an endpoint and the idle connections to
 * its gate. Attempts in flight continue.
 * @front: the front end
 * @service: name of its service
 * @gate: "IP:port" of its gate
 */
void ql_front_remove_endpoint(ql_front_t *front, const char *service,
			      const char *gate);

/**
 * ql_front_find_service() - Find a service by name, or add it without
 * endpoints.
 * @front: the front end
 * @name: name of the service
 *
 * Return: the service, valid until ql_front_finish().
 */
ql_front_service_t *ql_front_find_service(ql_front_t *front, const char *name);

/**
 * ql_front_choose_service() - Choose the service for the next request of a
 * route, by smooth weighted round robin over its split.
 * @front: the front end
 * @index: index of the route in the document in force
 *
 * Return: index of the service in the document.
 */
uint16_t ql_front_choose_service(ql_front_t *front, size_t index);

/**
 * ql_front_handle() - Handle one request; see &struct ql_listener_opts.
 * @data: &struct ql_front
 * @exchange: the request
 */
void ql_front_handle(void *data, ql_http_exchange_t *exchange);

/**
 * ql_front_quota_answered() - Handle an answer of the leader. It ends a call of
 * &ql_front_opts.ask_quota.
 * @front: the front end
 * @grants: answers, in the order of &ql_quota_wallet.asked
 * @n_grants: number of @grants
 * @validity_us: how long the tokens may be spent
 */
void ql_front_quota_answered(ql_front_t *front, const ql_quota_grant_t *grants,
			     size_t n_grants, uint64_t validity_us);

/**
 * ql_front_quota_failed() - Handle &ql_front_opts.ask_quota without an answer.
 * @front: the front end
 * @retry_us: time until the next call
 */
void ql_front_quota_failed(ql_front_t *front, uint64_t retry_us);

/**
 * ql_front_fail_all() - Fail all requests in flight with reason draining.
 * @front: the front end, at the end of the drain time
 */
void ql_front_fail_all(ql_front_t *front);

G_END_DECLS

#endif
