#ifndef QL_PATH_LOCAL_GATE_INTERNAL_H
#define QL_PATH_LOCAL_GATE_INTERNAL_H

/**
 * DOC: Declarations shared by local_gate.c, local_gate_call.c and
 * local_gate_report.c.
 */

#include "path/local_gate.h"
#include "quetzalloft/pressure.h"

G_BEGIN_DECLS

/* State of a call at its gate. */
typedef enum ql_gate_call_state {
	QL_GATE_CALL_QUEUED,
	QL_GATE_CALL_RUNNING,
} ql_gate_call_state_t;

/**
 * struct ql_gate_call - A call that is queued for admission or runs at the
 * endpoint.
 * @gate: the gate
 * @state: whether it is queued or runs
 * @inherited: what the calls made by it inherit
 * @ticket: its ticket at the admission control
 * @head: bytes of the request before the headers that are added when it is
 *        sent: the remaining time and the expected instance
 * @tail: bytes of the request after these headers
 * @id: request ID
 * @idempotent: it may run more than once
 * @bodiless: its response has no body
 * @head_forwarded: the head of the response was passed on
 * @refused_by_endpoint: the endpoint has not run it
 * @paused: reading of the response is paused
 * @pressure: pressure met by it and by the calls made by it
 * @offered_us: when it came to the gate
 * @admitted_us: when it was admitted
 * @deadline_us: when its caller stops waiting
 * @abandon_timer: fires when a cancelled call has to end
 * @request: the request to the endpoint, or NULL
 * @sink: callbacks of the caller; NULL after the caller has cancelled the call
 * @data: passed to @sink
 */
typedef struct ql_gate_call {
	ql_local_gate_t *gate;
	ql_gate_call_state_t state;
	ql_running_call_t inherited;
	ql_handle_t ticket;
	GByteArray *head;
	GByteArray *tail;
	char id[QL_KEY_MAX];
	bool idempotent;
	bool bodiless;
	bool head_forwarded;
	bool refused_by_endpoint;
	bool paused;
	ql_pressure_t pressure;
	uint64_t offered_us;
	uint64_t admitted_us;
	uint64_t deadline_us;
	ql_wheel_timer_t abandon_timer;
	ql_upstream_request_t *request;
	const ql_call_sink_t *sink;
	void *data;
} ql_gate_call_t;

/** What a caller may do with its call. */
extern const ql_call_handle_ops_t ql_gate_call__handle_ops;

/**
 * ql_gate_call__new() - Create a queued call.
 * @gate: the gate
 * @call: parameters of the call
 *
 * Return: the call, without a ticket, a sink and data.
 */
ql_gate_call_t *ql_gate_call__new(ql_local_gate_t *gate,
				  const ql_path_call_t *call);

/**
 * ql_gate_call__free() - Free a call that is in no table of its gate.
 * @call: the call
 */
void ql_gate_call__free(ql_gate_call_t *call);

/**
 * ql_gate_call__send() - Send an admitted call to the endpoint.
 * @call: the call; it may have failed and been freed on return
 */
void ql_gate_call__send(ql_gate_call_t *call);

/**
 * ql_gate_call__refuse() - Tell the caller that its call is refused and free
 * the call.
 * @call: the call, in no table of its gate
 * @reason: why
 * @retry_after_ms: when the caller may try again
 */
void ql_gate_call__refuse(ql_gate_call_t *call, ql_reason_t reason,
			  uint32_t retry_after_ms);

/**
 * ql_gate_call__result() - Make the result of a call.
 * @gate: the gate
 * @outcome: its outcome
 * @reason: its reason
 *
 * Return: the result, with the load level of the gate.
 */
ql_call_result_t ql_gate_call__result(const ql_local_gate_t *gate,
				      ql_outcome_t outcome, ql_reason_t reason);

/**
 * ql_local_gate__apply_decisions() - Dispatch or refuse the queued calls that
 * the admission control has decided on, and update gauges and timer.
 */
void ql_local_gate__apply_decisions(ql_local_gate_t *gate);

/**
 * ql_local_gate__gate_opts() - Fill in the admission settings for the reported
 * endpoint.
 * @gate: the gate
 * @opts: settings to fill in
 */
void ql_local_gate__gate_opts(const ql_local_gate_t *gate,
			      ql_gate_opts_t *opts);

G_END_DECLS

#endif
