#ifndef QL_PATH_FRONT_INTERNAL_H
#define QL_PATH_FRONT_INTERNAL_H

/**
 * DOC: Declarations shared by the files of the front end.
 */

#include "path/front.h"

G_BEGIN_DECLS

/** Maximum of attempts of one request, refused ones included. */
#define QL_FRONT_TRIED_MAX 8u

/**
 * struct ql_front_call - A request in flight, from receipt to response.
 * @front: front end that handles the request
 * @exchange: the request and its response
 * @doc: document that the request is handled by
 * @route: route of the request, in @doc
 * @team: team of the caller, in @doc; NULL if the request needs no API key
 * @route_state: state of @route, with a reference
 * @route_class: state of the class of the request on @route, with a reference
 * @service: service that the request is forwarded to
 * @headers: headers to forward
 * @downstream: parameters of each attempt
 * @parent_id: ID of the request that made this call, or "" if there is none
 * @parent: class of the request @parent_id if it runs at the local endpoint;
 *          otherwise empty
 * @attempt: handle of the attempt in flight
 * @admitted: the route admission accepted the request and counts it until
 *            ql_route_admission_finish_request()
 * @guaranteed: the request is served with the highest class, see
 *              quetzalloft/route_admission.h
 * @served: an endpoint answered within the latency target, with a status below
 *          500
 * @is_delayed: the first attempt waits for @delay_timer; until then the request
 *              can be refused in favour of one behind it
 * @attempt_in_flight: an attempt is in flight
 * @tried: endpoints tried so far
 * @gate: gate of the last attempt, or ""
 * @n_tried: number of attempts
 * @n_sent: attempts that may have reached an endpoint
 * @n_reroutes: attempts made after one that reached no endpoint
 * @may_have_run: an attempt has ended with another outcome than
 *                %QL_OUTCOME_NOT_RUN
 * @attempt_us: start of the last attempt
 * @retry_after_ms: longest delay requested by a refusal
 * @deadline_timer: fires at the deadline
 * @delay_timer: fires when the first attempt is due
 * @quota_waiter: its place among those that wait for a token
 * @quota_timer: fires when it has waited for a token for too long
 * @has_token: it has taken a token of the quota of @team
 * @token_end_us: end of the token; 0 if @team needs none
 * @status: status of the response
 * @header_lines: header lines of the response
 * @buffered_body: body of the response while it is not streamed
 * @content_length: stated length of the body, or -1
 * @streaming: the body is forwarded as it is received
 * @paused: reading the response is paused as the client reads slowly
 */
typedef struct ql_front_call {
	ql_front_t *front;
	ql_http_exchange_t *exchange;
	ql_document_t *doc;
	const ql_route_t *route;
	const ql_team_t *team;
	ql_front_route_t *route_state;
	ql_front_route_class_t *route_class;
	ql_front_service_t *service;
	ql_headers_t headers;
	ql_path_call_t downstream;
	char parent_id[QL_KEY_MAX];
	ql_running_call_t parent;
	ql_call_handle_t attempt;
	bool admitted;
	bool guaranteed;
	bool served;
	bool is_delayed;
	bool attempt_in_flight;
	ql_handle_t tried[QL_FRONT_TRIED_MAX];
	char gate[QL_ADDRESS_MAX];
	uint32_t n_tried;
	uint32_t n_sent;
	uint32_t n_reroutes;
	bool may_have_run;
	uint64_t attempt_us;
	uint32_t retry_after_ms;
	ql_wheel_timer_t deadline_timer;
	ql_wheel_timer_t delay_timer;
	ql_quota_waiter_t quota_waiter;
	ql_wheel_timer_t quota_timer;
	bool has_token;
	uint64_t token_end_us;
	unsigned int status;
	GByteArray *header_lines;
	GByteArray *buffered_body;
	int64_t content_length;
	bool streaming;
	bool paused;
} ql_front_call_t;

static inline uint64_t ql_front__now_us(const ql_front_call_t *call)
{
	return ql_loop_now_us(call->front->loop);
}

static inline void ql_front__count(const ql_front_call_t *call,
				   ql_counter_t counter)
{
	ql_counter_increment(call->front->opts.counters, counter);
}

/**
 * ql_front__find_route() - Find the route of a request by host, method and
 * path.
 * @front: the front end
 * @exchange: the request
 *
 * Return: the route in the document in force, or NULL.
 */
const ql_route_t *ql_front__find_route(const ql_front_t *front,
				       const ql_http_exchange_t *exchange);

/**
 * ql_front__match_route() - Find the route of a request by host, method and
 * path.
 * @front: the front end, with a document
 * @host: value of the Host header, with or without a port; may be NULL
 * @method: HTTP method
 * @target: path, with or without a query
 *
 * Return: the route in the document in force, or NULL.
 */
const ql_route_t *ql_front__match_route(const ql_front_t *front,
					const char *host, const char *method,
					const char *target);

/**
 * ql_front__ends_too_late() - Check whether a request would be failed at the
 * end of the grace time.
 * @front: the front end
 * @route: route of the request, in the document in force
 */
bool ql_front__ends_too_late(const ql_front_t *front, const ql_route_t *route);

/**
 * ql_front__next_part() - Look up the part of a split that gets the next
 * request.
 * @front: the front end
 * @index: index of the route in the document in force
 *
 * Return: index in the split of the route; 0 if it has none.
 */
uint16_t ql_front__next_part(const ql_front_t *front, size_t index);

/**
 * ql_front__needs_key() - Check whether client requests need an API key.
 * @front: the front end, with a document
 * @route: route of the request
 */
bool ql_front__needs_key(const ql_front_t *front, const ql_route_t *route);

/**
 * ql_front__find_team() - Find the team of an API key.
 * @front: the front end, with a document
 * @key: the API key
 * @team: set to the team, or NULL if no team holds the key; unchanged with
 *        QL_REASON_NOT_CURRENT
 *
 * Return: QL_REASON_NONE, QL_REASON_NOT_CURRENT or QL_REASON_UNKNOWN_KEY.
 */
ql_reason_t ql_front__find_team(const ql_front_t *front, const char *key,
				const ql_team_t **team);

/**
 * ql_front__has_quota() - Check whether requests of a team need a token.
 * @front: the front end
 * @team: the team; may be NULL
 */
bool ql_front__has_quota(const ql_front_t *front, const ql_team_t *team);

/**
 * ql_front__find_route_class() - Find the state of the class of a client
 * request on its route.
 * @call: the request, with its route and team set
 *
 * Return: the state, or NULL if there is none yet.
 */
ql_front_route_class_t *ql_front__find_route_class(const ql_front_call_t *call);

/**
 * ql_front__look_at_shares() - Tell what ql_front__compare_shares() would
 * return, without counting a request.
 * @call: the request, with its route and team set, and the state of its class
 *        or NULL
 * @admission: set to the admission control that would decide, a copy
 *
 * Return: the choice; QL_THROTTLE_RANDOM if the team is not known yet.
 */
ql_throttle_choice_t ql_front__look_at_shares(const ql_front_call_t *call,
					      ql_route_admission_t *admission);

/**
 * ql_front__identify_caller() - Find the team of a caller by its API key.
 * @front: the front end, with a document
 * @exchange: the request
 * @route: its route
 * @team: set to the team, or NULL if the request needs no API key
 *
 * Return: QL_REASON_NONE, or why the request is refused.
 */
ql_reason_t ql_front__identify_caller(const ql_front_t *front,
				      const ql_http_exchange_t *exchange,
				      const ql_route_t *route,
				      const ql_team_t **team);

/**
 * ql_front__count_caller_refusal() - Count the refusal of a caller.
 * @front: the front end
 * @reason: result of ql_front__identify_caller(), not QL_REASON_NONE
 *
 * Return: when to try again, in milliseconds; 0 for the default.
 */
uint32_t ql_front__count_caller_refusal(ql_front_t *front, ql_reason_t reason);

/**
 * ql_front__prepare() - Set the parameters of the attempts of a request.
 * @call: the request, with its route set
 * @service: name of the service to call
 */
void ql_front__prepare(ql_front_call_t *call, const char *service);

/**
 * ql_front__find_class() - Find the class of a client request: the one that
 * combines those of its team and its route, or that of its route if the team
 * has none; see ql_document_find_class().
 * @call: the request, with its route and team set
 *
 * Return: the class in the document of the request.
 */
const ql_class_t *ql_front__find_class(const ql_front_call_t *call);

/**
 * ql_front__new_route_classes() - Allocate &ql_front_route.classes.
 *
 * Return: the array.
 */
GPtrArray *ql_front__new_route_classes(void);

/**
 * ql_front__get_route_class() - Get the state of the class of a client request
 * on its route.
 * @call: the request, with its route and team set
 *
 * Return: the state, which is added if there is none.
 */
ql_front_route_class_t *ql_front__get_route_class(const ql_front_call_t *call);

/**
 * ql_front__route_class_unref() - Drop a reference to the state of a class.
 * @data: the state; freed with the last reference
 */
void ql_front__route_class_unref(void *data);

/**
 * ql_front__new_team_shares() - Allocate &ql_front.team_shares.
 *
 * Return: the table.
 */
GHashTable *ql_front__new_team_shares(void);

/**
 * ql_front__drop_old_classes() - Drop the state of classes that are not in the
 * document in force.
 * @front: the front end
 */
void ql_front__drop_old_classes(ql_front_t *front);

/**
 * ql_front__compare_shares() - Prepare the admission of a client request: take
 * over what other classes of the route have learned, and compare its team with
 * the others.
 * @call: the request
 *
 * Return: whether the request is among those to admit; QL_THROTTLE_RANDOM if it
 * has no team.
 */
ql_throttle_choice_t ql_front__compare_shares(const ql_front_call_t *call);

/**
 * ql_front__record_share() - Record the admission of a client request for its
 * team.
 * @call: the request
 * @decision: the decision
 * @choice: result of ql_front__compare_shares()
 */
void ql_front__record_share(const ql_front_call_t *call,
			    const ql_admission_decision_t *decision,
			    ql_throttle_choice_t choice);

/**
 * ql_front__route_unref() - Drop a reference to the state of a route.
 * @route: the state; freed with the last reference
 */
void ql_front__route_unref(ql_front_route_t *route);

/**
 * ql_front__start_call() - Start a request that is within its quota.
 * @call: the request; it may have ended and been freed on return
 */
void ql_front__start_call(ql_front_call_t *call);

/**
 * ql_front__init_quota() - Initialize the tokens of a front end.
 * @front: the front end
 */
void ql_front__init_quota(ql_front_t *front);

/**
 * ql_front__take_quota() - Start a request once it has a token of the quota of
 * its team, or refuse it.
 * @call: the request, with a team that has a quota; it may have ended and been
 *        freed on return
 */
void ql_front__take_quota(ql_front_call_t *call);

/**
 * ql_front__return_quota() - Return the token of a request that no endpoint has
 * received.
 * @call: the request
 */
void ql_front__return_quota(ql_front_call_t *call);

/**
 * ql_front__start_attempt() - Choose an endpoint and call its gate.
 * @call: the request; it may have ended and been freed on return
 */
void ql_front__start_attempt(ql_front_call_t *call);

/**
 * ql_front__fail() - Send a failure to the client and free the request. A
 * response that is being streamed is aborted instead.
 * @call: the request, without an attempt in flight; freed by this call
 * @reason: reason of the failure
 */
void ql_front__fail(ql_front_call_t *call, ql_reason_t reason);

/**
 * ql_front__deadline_expired() - Fail a request whose deadline has passed.
 * @data: the request
 */
void ql_front__deadline_expired(void *data);

/**
 * ql_front__successor_received() - Refuse a request whose first attempt is
 * still delayed if it would block the request behind it beyond the deadline of
 * that one; see &struct ql_http_exchange_ops.
 * @data: the request
 * @successor_deadline_us: when the client stops waiting for the later request
 *
 * Return: true if the request was refused.
 */
bool ql_front__successor_received(void *data, uint64_t successor_deadline_us);

/** Callbacks of the listener for a request. */
extern const ql_http_exchange_ops_t ql_front__exchange_ops;

/**
 * ql_front__typical_latency_us() - Read the mean attempt latency of the route
 * of a request.
 * @call: the request
 *
 * Return: microseconds; 0 if not known.
 */
double ql_front__typical_latency_us(const ql_front_call_t *call);

/**
 * ql_front__record_latency() - Update the mean attempt latency of a route.
 * @call: the request
 * @latency_us: latency of an answered attempt
 */
void ql_front__record_latency(const ql_front_call_t *call, uint64_t latency_us);

/**
 * ql_front__record_failure() - Report a failure by overload or deadline as
 * pressure to the route admission and to the parent request.
 * @call: the request
 * @reason: reason of the failure; ignored unless overload or deadline
 */
void ql_front__record_failure(ql_front_call_t *call, ql_reason_t reason);

/**
 * ql_front__record_response() - Report the pressure of a response to the route
 * admission and to the parent request, and set &ql_front_call.served.
 * @call: the request, with its status set
 * @result: result of the answered attempt
 */
void ql_front__record_response(ql_front_call_t *call,
			       const ql_call_result_t *result);

/**
 * ql_front__count_outcome() - Count the outcome of a client request.
 * @front: the front end
 * @outcome: the outcome
 */
void ql_front__count_outcome(ql_front_t *front, ql_outcome_t outcome);

/**
 * ql_front__send_failure() - Send a response generated by this node.
 * @front: the front end
 * @exchange: the exchange; not to be used after this call
 * @result: outcome, reason and retry delay to send; a 503 without a retry delay
 *          gets a default one
 */
void ql_front__send_failure(ql_front_t *front, ql_http_exchange_t *exchange,
			    const ql_call_result_t *result);

G_END_DECLS

#endif
