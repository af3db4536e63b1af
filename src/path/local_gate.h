#ifndef QL_PATH_LOCAL_GATE_H
#define QL_PATH_LOCAL_GATE_H

/**
 * DOC: Gate of the endpoint on this VM. All requests to the endpoint pass
 * through the gate, so its count of running requests is exact. &struct ql_gate
 * decides on admission; this module queues the calls and forwards the admitted
 * ones to the endpoint.
 */

#include "http/upstream.h"
#include "path/call.h"
#include "quetzalloft/dialect.h"
#include "quetzalloft/gate.h"
#include "quetzalloft/withdrawal.h"
#include "util/counters.h"

G_BEGIN_DECLS

/**
 * struct ql_local_gate_opts - Settings of a local gate.
 * @dialect: header names used by the endpoint; borrowed
 * @address: address that the endpoint listens on
 * @service: service that the endpoint serves
 * @state_changed: called when the state of the endpoint that other nodes see
 *                 has changed
 * @data: passed to @state_changed
 * @await_withdrawal: no call is accepted before ql_local_gate_open()
 * @reports_occupancy: callers are told the occupancy of the gate
 * @counters: metrics to update; borrowed
 */
typedef struct ql_local_gate_opts {
	const ql_dialect_t *dialect;
	struct sockaddr_in address;
	char service[QL_NAME_MAX];
	void (*state_changed)(void *data);
	void *data;
	bool await_withdrawal;
	bool reports_occupancy;
	ql_counters_t *counters;
} ql_local_gate_opts_t;

/**
 * struct ql_local_gate - A local gate.
 * @loop: loop that the gate runs on
 * @opts: settings
 * @report: latest report of the endpoint
 * @has_report: a report was received
 * @withdrawal: latest withdrawal of the endpoint
 * @closed: whether the endpoint withdrew before this process started is not
 *          known yet, so a report may be one from before that
 * @deregistered: the endpoint has deregistered
 * @unreachable: connecting to the endpoint has failed since its latest report
 * @draining: this node is draining
 * @incarnation: incarnation of the endpoint as announced to other nodes
 * @gate: admission control
 * @calls: queued and running calls by ticket
 * @running: running calls by request ID
 * @upstream: connections to the endpoint
 * @timer: fires when @gate may have decisions on queued calls
 */
typedef struct ql_local_gate {
	ql_loop_t *loop;
	ql_local_gate_opts_t opts;
	ql_instance_report_t report;
	bool has_report;
	ql_withdrawal_t withdrawal;
	bool closed;
	bool deregistered;
	bool unreachable;
	bool draining;
	uint64_t incarnation;
	ql_gate_t gate;
	GHashTable *calls;
	GHashTable *running;
	ql_upstream_t *upstream;
	ql_wheel_timer_t timer;
} ql_local_gate_t;

/**
 * ql_local_gate_init() - Initialize a gate that has no report of its endpoint.
 * @gate: the gate; it must not move in memory. Release with
 *        ql_local_gate_finish()
 * @loop: loop that the gate runs on; borrowed
 * @opts: settings; copied
 */
void ql_local_gate_init(ql_local_gate_t *gate, ql_loop_t *loop,
			const ql_local_gate_opts_t *opts);
/**
 * ql_local_gate_finish() - Cancel all calls without their callbacks and free
 * the gate.
 * @gate: the gate; its loop must still run to close the connections
 */
void ql_local_gate_finish(ql_local_gate_t *gate);

/**
 * ql_local_gate_check_report() - Check that a report can come from the local
 * endpoint.
 * @gate: the gate; only its settings are read, so any thread may call this
 * @report: the report
 * @wall_ms: current Unix time in milliseconds
 * @error: set to the member and the values allowed, or NULL
 *
 * A report whose incarnation or sequence is far too high would make all later
 * reports of the endpoint look old.
 *
 * Return: 0; QL_E_DENIED if the service or address is not that of the local
 * endpoint; QL_E_INVALID if the instance ID is malformed; or QL_E_RANGE.
 */
int ql_local_gate_check_report(const ql_local_gate_t *gate,
			       const ql_instance_report_t *report,
			       uint64_t wall_ms, GError **error);

/**
 * ql_local_gate_apply_report() - Apply a report of the endpoint.
 * @gate: the gate
 * @report: the report
 *
 * A report that is not newer than the latest one, or that the withdrawal of the
 * endpoint covers, is ignored.
 *
 * Return: 0, or QL_E_DENIED if the service or address is not that of the local
 * endpoint.
 */
int ql_local_gate_apply_report(ql_local_gate_t *gate,
			       const ql_instance_report_t *report);

/**
 * ql_local_gate_withdraw() - Withdraw the endpoint and drain the gate.
 * @gate: the gate
 * @withdrawal: the withdrawal; if it does not cover the latest report, it only
 *              keeps the reports that it covers from being applied
 */
void ql_local_gate_withdraw(ql_local_gate_t *gate,
			    const ql_withdrawal_t *withdrawal);

/**
 * ql_local_gate_open() - Accept calls from now on, as the withdrawals from
 * before the start of this process are known.
 * @gate: the gate
 */
void ql_local_gate_open(ql_local_gate_t *gate);

/**
 * ql_local_gate_is_serving() - Check whether new calls are accepted.
 * @gate: the gate
 *
 * Return: false before the first report and ql_local_gate_open(), while the
 * endpoint is deregistered, unreachable or draining, and while this node is
 * draining.
 */
bool ql_local_gate_is_serving(const ql_local_gate_t *gate);

/**
 * ql_local_gate_drain() - Refuse new and queued calls, as this node is
 * draining.
 * @gate: the gate
 */
void ql_local_gate_drain(ql_local_gate_t *gate);

/**
 * ql_local_gate_call() - Call the local endpoint.
 * @gate: the gate
 * @call: parameters of the call
 * @sink: callbacks; they may be called before this function returns
 * @data: passed to @sink
 * @out: handle of the call; @out->call is NULL if the call has already ended
 */
void ql_local_gate_call(ql_local_gate_t *gate, const ql_path_call_t *call,
			const ql_call_sink_t *sink, void *data,
			ql_call_handle_t *out);

/**
 * struct ql_running_call - What the calls made by a call that runs at the
 * endpoint inherit from it.
 * @class_name: class of the client request that the call belongs to
 * @shed_order: shed order of that class
 * @repeat: see &struct ql_path_call
 */
typedef struct ql_running_call {
	char class_name[QL_NAME_MAX];
	uint32_t shed_order;
	bool repeat;
} ql_running_call_t;

/**
 * ql_local_gate_find_call() - Find a call that runs at the endpoint.
 * @gate: the gate
 * @id: request ID
 *
 * Return: the call, valid until the caller returns to the loop, or NULL.
 */
const ql_running_call_t *ql_local_gate_find_call(const ql_local_gate_t *gate,
						 const char *id);

/**
 * ql_local_gate_add_pressure() - Add the pressure of a downstream call to that
 * of the running request that made the call.
 * @gate: the gate
 * @id: ID of the running request; ignored if it does not run any more
 * @pressure: pressure of the finished call, see quetzalloft/pressure.h
 */
void ql_local_gate_add_pressure(ql_local_gate_t *gate, const char *id,
				double pressure);

/**
 * ql_local_gate_load_level() - Read the current load level of the gate.
 * @gate: the gate
 *
 * Return: one above the highest shed order refused for overload lately; 0 if
 * there was no refusal.
 */
uint32_t ql_local_gate_load_level(const ql_local_gate_t *gate);

G_END_DECLS

#endif
