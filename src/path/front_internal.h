#ifndef QL_PATH_FRONT_INTERNAL_H
#define QL_PATH_FRONT_INTERNAL_H

/**
 * DOC: What the files of the front share.
 */

#include "path/front.h"

G_BEGIN_DECLS

/** Endpoints that one request tries. */
#define QL_FRONT_TRIED_MAX 8u

/**
 * struct ql_front_call - A request on its way, from its arrival to its answer.
 * @exchange: the request and its answer
 * @doc: the document that it is handled by
 * @route: its route
 * @kept: what the front keeps of @route, with a reference
 * @service: where it goes
 * @headers: that are passed on
 * @call: what each attempt calls
 * @parent_id: identity of the request that it serves, or "" if not known
 * @parent: that request, if it runs beside this node
 * @callee: the attempt in progress
 * @let_through: early refusal is told how it ends
 * @guaranteed: it goes with the highest class, see
 * quetzalloft/route_admission.h
 * @served: it was answered by an endpoint, and not behind its target
 * @held_back: its first attempt waits for @hold, and it may still give way
 * @in_attempt: an attempt is in progress
 * @tried: endpoints that were tried
 * @gate: where the last attempt went, or ""
 * @n_sent: attempts that may have reached an endpoint
 * @n_reroutes: attempts that reached none
 * @may_have_run: an attempt ended without being known as not run
 * @attempt_us: when the attempt began
 * @retry_after_ms: the longest that a refusal asked for
 * @status: of the answer
 * @lines: its header lines
 * @held: its body, until it is whole
 * @length: of its body as stated, or -1
 * @streaming: the answer is passed on while it comes
 * @paused: the client reads slowly
 */
typedef struct ql_front_call {
	ql_front_t *front;
	ql_http_exchange_t *exchange;
	ql_document_t *doc;
	const ql_route_t *route;
	ql_front_route_t *route_state;
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
	ql_count(call->front->opts.counters, counter);
}

/**
 * ql_front__find_route() - The route of a request, or NULL.
 */
const ql_route_t *ql_front__find_route(const ql_front_t *front,
				       const ql_http_exchange_t *exchange);

/**
 * ql_front__prepare() - Fill in what each attempt of a request calls.
 * @call: the request, its route set
 * @service: name of the service
 */
void ql_front__prepare(ql_front_call_t *call, const char *service);

/**
 * ql_front__route_unref() - Let go of what is kept of a route.
 */
void ql_front__route_unref(ql_front_route_t *route);

/**
 * ql_front__start_attempt() - Choose an endpoint and call its gate.
 *
 * The request may have ended behind it.
 */
void ql_front__start_attempt(ql_front_call_t *call);

/**
 * ql_front__end_in_failure() - Tell the client, and let go of the request.
 */
void ql_front__fail(ql_front_call_t *call, ql_reason_t reason);

/**
 * ql_front__deadline_expired() - The time of a request is over.
 * @data: the request
 */
void ql_front__deadline_expired(void *data);

/**
 * ql_front__followed() - Another request came behind one; see
 * &struct ql_http_exchange_ops.
 * @data: the request
 * @until_us: when the client no longer waits for the other one
 */
bool ql_front__successor_received(void *data, uint64_t until_us);

/* What the listener tells a request. */
extern const ql_http_exchange_ops_t ql_front__exchange_ops;

/**
 * ql_front__typical_us() - Latency that is typical of its route, or 0.
 */
double ql_front__typical_us(const ql_front_call_t *call);

/**
 * ql_front__note_typical() - Learn from an attempt that was answered.
 */
void ql_front__record_latency(const ql_front_call_t *call, uint64_t latency_us);

/**
 * ql_front__note_failure() - Tell the request above and those to come why this
 * one failed, as far as that says something of the load.
 */
void ql_front__record_failure(ql_front_call_t *call, ql_reason_t reason);

/**
 * ql_front__note_answer() - Tell them what an answer says of the load.
 */
void ql_front__record_response(ql_front_call_t *call,
			       const ql_call_result_t *end);

/**
 * ql_front__count_outcome() - Count how a request of a client ended.
 */
void ql_front__count_outcome(ql_front_t *front, ql_outcome_t outcome);

/**
 * ql_front__answer_failure() - Answer with a failure of this node.
 */
void ql_front__send_failure(ql_front_t *front, ql_http_exchange_t *exchange,
			    const ql_call_result_t *end);

G_END_DECLS

#endif
