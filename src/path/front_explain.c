#include "path/front_explain.h"
#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"

#include <string.h>

static const char *const throttle_verdicts[] = {
	[QL_THROTTLE_PROBE] = "probe",
	[QL_THROTTLE_IN_SHARE] = "in_share",
	[QL_THROTTLE_CHANCE] = "chance",
	[QL_THROTTLE_BUSY] = "busy",
	[QL_THROTTLE_OUT_OF_SHARE] = "out_of_share",
};

static const char *const quota_verdicts[] = {
	[QL_QUOTA_TAKEN] = "admitted",
	[QL_QUOTA_WAIT] = "waits",
	[QL_QUOTA_NONE] = "refused",
};

static const char *const estimate_kinds[] = {
	[QL_ESTIMATE_NONE] = "none",
	[QL_ESTIMATE_COST] = "cost",
	[QL_ESTIMATE_WEIGHT] = "weight",
};

static const char *const obstacles[] = {
	[QL_OBSTACLE_NONE] = "none",
	[QL_OBSTACLE_CONNECTIONS] = "connections",
	[QL_OBSTACLE_EJECTED] = "ejected",
	[QL_OBSTACLE_PROBED] = "probed",
	[QL_OBSTACLE_BACKOFF] = "backoff",
	[QL_OBSTACLE_SLOTS] = "slots",
};

static void set(json_t *object, const char *key, json_t *value)
{
	json_object_set_new(object, key, value ? value : json_null());
}

static void set_number(json_t *object, const char *key, uint64_t value)
{
	set(object, key, json_integer((json_int_t)value));
}

/* Sets the time since or until an event, or null if it is not known. */
static void set_duration_ms(json_t *object, const char *key, bool known,
			    uint64_t from_us, uint64_t to_us)
{
	if (known)
		set_number(object, key,
			   (to_us - MIN(from_us, to_us)) / QL_US_PER_MS);
	else
		set(object, key, NULL);
}

static int check_front(const ql_front_t *front, GError **error)
{
	if (!front->doc || !front->ready)
		return ql_error_set(error, QL_E_UNAVAILABLE,
				    "the node is not ready: it has no "
				    "confirmed configuration yet");
	if (front->draining)
		return ql_error_set(error, QL_E_UNAVAILABLE,
				    "the node is leaving and refuses new "
				    "requests");
	return 0;
}

static int find_route(const ql_front_t *front, const ql_route_t **route,
		      const ql_explain_request_t *request, GError **error)
{
	*route = ql_front__match_route(front, request->host, request->method,
				       request->path);
	if (!*route)
		return ql_error_set(error, QL_E_NOT_FOUND,
				    "no route matches this host, method and "
				    "path");
	if (ql_front__ends_too_late(front, *route))
		return ql_error_set(error, QL_E_UNAVAILABLE,
				    "the node is leaving and refuses requests "
				    "that end after it stops");
	return 0;
}

static int find_team(const ql_front_t *front, const ql_team_t **team,
		     const ql_route_t *route,
		     const ql_explain_request_t *request, GError **error)
{
	ql_reason_t reason;

	*team = NULL;
	if (request->call || !ql_front__needs_key(front, route))
		return 0;
	if (!request->key[0])
		return ql_error_set(error, QL_E_MISSING_KEY,
				    "requests of this route need an API key");
	reason = ql_front__find_team(front, request->key, team);
	if (reason == QL_REASON_NOT_CURRENT)
		return ql_error_set(error, QL_E_PENDING,
				    "the node cannot prove that its API keys "
				    "are current, and refuses all requests "
				    "that need one");
	if (reason != QL_REASON_NONE)
		return ql_error_set(error, QL_E_UNKNOWN_KEY,
				    "no team holds this API key");
	return 0;
}

static json_t *explain_route(const ql_route_t *route)
{
	json_t *json = json_object();

	set(json, "name", json_string(route->name));
	set(json, "idempotent", json_boolean(route->idempotent));
	set(json, "anonymous", json_boolean(route->anonymous));
	set_number(json, "target_ms", route->target_ms);
	set_number(json, "deadline_ms", route->deadline_ms);
	return json;
}

static json_t *explain_class(const ql_front_call_t *call)
{
	const ql_class_t *class = ql_front__find_class(call);
	json_t *json = json_object();

	set(json, "name", json_string(class->name));
	set_number(json, "shed_order", class->shed_order);
	return json;
}

static json_t *explain_keys(const ql_front_t *front)
{
	const ql_key_lease_t *lease = &front->key_lease;
	uint64_t now_ms = ql_clock_boot_ms();
	json_t *json = json_object();

	set(json, "current",
	    json_boolean(ql_front_keys_are_current(front, now_ms)));
	set(json, "age_ms",
	    lease->proven_ms
		    ? json_integer(
			      (json_int_t)ql_key_lease_age_ms(lease, now_ms))
		    : NULL);
	set_number(json, "lease_ms", lease->lease_ms);
	return json;
}

static json_t *explain_quota(const ql_front_call_t *call)
{
	const ql_team_t *team = call->team;
	ql_quota_look_t look;
	json_t *json;

	if (!team || !ql_front__has_quota(call->front, team))
		return NULL;
	look = ql_quota_wallet_look(&call->front->quota, team->name,
				    ql_clock_boot_us());
	json = json_object();
	set(json, "rate_per_s", json_real(team->rate_per_s));
	set(json, "burst", json_real(team->burst));
	set(json, "unlimited", json_boolean(look.unlimited));
	set_number(json, "tokens", look.tokens);
	set(json, "next", json_string(quota_verdicts[look.verdict]));
	set_duration_ms(json, "room_in_ms", look.retry_us > 0, 0,
			look.retry_us);
	return json;
}

static bool is_refused(ql_throttle_verdict_t verdict)
{
	return verdict == QL_THROTTLE_BUSY ||
	       verdict == QL_THROTTLE_OUT_OF_SHARE;
}

static json_t *explain_admission(const ql_front_call_t *call, bool *refused)
{
	ql_admission_offer_t offer = {
		.guaranteed_share = call->doc->guaranteed_share,
		.target_ms = call->route->target_ms,
		.now_us = ql_front__now_us(call),
	};
	ql_route_admission_t admission;
	ql_admission_look_t look;
	json_t *json = json_object();

	offer.choice = ql_front__look_at_shares(call, &admission);
	look = ql_route_admission_look(&admission, &offer);
	*refused = is_refused(look.verdict);
	set(json, "share", json_real(admission.best_effort.share));
	set(json, "guaranteed_share", json_real(offer.guaranteed_share));
	set_number(json, "in_progress", admission.best_effort.in_progress);
	set_number(json, "guaranteed_in_progress",
		   admission.guaranteed.in_progress);
	set(json, "next_guaranteed", json_boolean(look.guaranteed));
	set(json, "next_refused", json_boolean(*refused));
	set(json, "next_by", json_string(throttle_verdicts[look.verdict]));
	set(json, "next_chance",
	    json_real(look.verdict == QL_THROTTLE_CHANCE ? look.share
							 : !*refused));
	return json;
}

static json_t *explain_split(const ql_front_call_t *call, uint16_t next)
{
	json_t *json = json_array(), *part;
	uint16_t i;

	for (i = 0; i < call->route->n_split; i++) {
		const ql_route_split_entry_t *entry = &call->route->split[i];

		part = json_object();
		set(part, "service",
		    json_string(call->doc->services[entry->service].name));
		set_number(part, "weight", entry->weight);
		set(part, "next", json_boolean(i == next));
		json_array_append_new(json, part);
	}
	return json;
}

/* Sets the name of the service that gets the next request. */
static json_t *explain_service(const ql_front_call_t *call, const char **name)
{
	const ql_route_t *route = call->route;
	uint16_t next =
		ql_front__next_part(call->front,
				    (size_t)(route - call->doc->routes));
	uint16_t index =
		route->n_split ? route->split[next].service : route->service;
	json_t *json = json_object();

	*name = call->doc->services[index].name;
	set(json, "name", json_string(*name));
	set(json, "split", explain_split(call, next));
	return json;
}

static json_t *explain_endpoint(const ql_endpoint_look_t *look, uint64_t now_us)
{
	const ql_endpoint_t *endpoint = look->endpoint;
	json_t *json = json_object();

	set(json, "gate", json_string(endpoint->info.gate));
	set(json, "same_domain", json_boolean(look->same_domain));
	set(json, "candidate", json_boolean(look->candidate));
	set(json, "likely", json_boolean(look->likely));
	set(json, "estimate",
	    look->candidate ? json_real(look->estimate) : NULL);
	set(json, "obstacle", json_string(obstacles[look->obstacle]));
	set_number(json, "in_progress", endpoint->in_progress);
	set_number(json, "slots", endpoint->info.slots);
	set(json, "latency_us", json_real(look->latency_us));
	set(json, "failure_ratio", json_real(look->failure_ratio));
	set(json, "refusal_ratio", json_real(look->refusal_ratio));
	set(json, "occupancy",
	    endpoint->occupancy_us ? json_real(endpoint->occupancy) : NULL);
	set_duration_ms(json, "occupancy_age_ms", endpoint->occupancy_us > 0,
			endpoint->occupancy_us, now_us);
	set_duration_ms(json, "ejected_ms", true, now_us,
			endpoint->ejected_until_us);
	set_duration_ms(json, "backoff_ms", true, now_us,
			endpoint->backoff_until_us);
	return json;
}

/* Returns the reason for the endpoint that is likely, in words. */
static const char *choice_reason(ql_estimate_kind_t kind, guint n_candidates)
{
	if (!n_candidates)
		return "no endpoint may be chosen";
	if (n_candidates == 1)
		return "it is the only candidate";
	if (kind == QL_ESTIMATE_COST)
		return "it has the least expected cost";
	return kind == QL_ESTIMATE_WEIGHT
		       ? "it has the largest weight of a random choice"
		       : "all candidates are chosen alike, at random";
}

static void add_endpoints(json_t *json, const ql_balancer_t *balancer,
			  const ql_pick_request_t *pick, uint64_t now_us)
{
	guint i, n = balancer->all->len, n_candidates = 0;
	ql_endpoint_look_t *looks = g_new0(ql_endpoint_look_t, n + 1);
	ql_estimate_kind_t kind =
		ql_balancer_look(balancer, pick, now_us, looks);
	json_t *endpoints = json_array();

	set(json, "policy", json_string(balancer->ops->name));
	set(json, "likely", NULL);
	for (i = 0; i < n; i++) {
		json_array_append_new(endpoints,
				      explain_endpoint(&looks[i], now_us));
		n_candidates += looks[i].candidate;
		if (looks[i].likely)
			set(json, "likely",
			    json_string(looks[i].endpoint->info.gate));
	}
	set_number(json, "candidates", n_candidates);
	set(json, "compared_by", json_string(estimate_kinds[kind]));
	set(json, "reason", json_string(choice_reason(kind, n_candidates)));
	set(json, "endpoints", endpoints);
	g_free(looks);
}

static json_t *explain_balancer(const ql_front_call_t *call,
				const char *service)
{
	const ql_front_service_t *state =
		g_hash_table_lookup(call->front->services, service);
	const ql_pick_request_t pick = {
		.once_per_endpoint = !call->route->idempotent,
		.typical_latency_us = ql_front__typical_latency_us(call),
	};
	json_t *json = json_object();

	if (state)
		add_endpoints(json, &state->balancer, &pick,
			      ql_front__now_us(call));
	return json;
}

/* Returns what would become of the request, by the first step that ends it. */
static const char *outcome_of(const json_t *quota, bool refused,
			      const json_t *admission, const json_t *balancer)
{
	const char *next = json_string_value(json_object_get(quota, "next"));
	const char *by =
		json_string_value(json_object_get(admission, "next_by"));
	double chance =
		json_real_value(json_object_get(admission, "next_chance"));

	if (next && !strcmp(next, quota_verdicts[QL_QUOTA_NONE]))
		return "refused_by_quota";
	if (next && !strcmp(next, quota_verdicts[QL_QUOTA_WAIT]))
		return "waits_for_quota";
	if (refused)
		return "refused_early";
	if (by && chance < 1 &&
	    !strcmp(by, throttle_verdicts[QL_THROTTLE_CHANCE]))
		return "by_chance";
	return json_integer_value(json_object_get(balancer, "candidates"))
		       ? "forwarded"
		       : "no_endpoint";
}

static json_t *explain_call(const ql_front_call_t *call, bool is_call)
{
	json_t *json = json_object(), *quota, *admission = NULL, *balancer;
	const char *service;
	bool refused = false;

	set_number(json, "version", call->doc->version);
	set(json, "route", explain_route(call->route));
	set(json, "call", json_boolean(is_call));
	set(json, "team", call->team ? json_string(call->team->name) : NULL);
	set(json, "class", explain_class(call));
	set(json, "keys", explain_keys(call->front));
	quota = explain_quota(call);
	set(json, "quota", quota);
	/* Refusing a call would waste the work done by its callers. */
	if (!is_call)
		admission = explain_admission(call, &refused);
	set(json, "admission", admission);
	set(json, "service", explain_service(call, &service));
	balancer = explain_balancer(call, service);
	set(json, "balancer", balancer);
	set(json, "outcome",
	    json_string(outcome_of(quota, refused, admission, balancer)));
	return json;
}

int ql_front_explain(ql_front_t *front, json_t **out,
		     const ql_explain_request_t *request, GError **error)
{
	ql_front_call_t call = {.front = front, .doc = front->doc};
	int ret = check_front(front, error);

	*out = NULL;
	if (!ret)
		ret = find_route(front, &call.route, request, error);
	if (!ret)
		ret = find_team(front, &call.team, call.route, request, error);
	if (ret)
		return ret;
	call.route_state = front->routes[call.route - front->doc->routes];
	call.route_class = ql_front__find_route_class(&call);
	*out = explain_call(&call, request->call);
	return 0;
}
