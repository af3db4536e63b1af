#ifndef QL_PATH_LOCAL_GATE_H
#define QL_PATH_LOCAL_GATE_H

/**
 * DOC: The gate beside the endpoint of this VM: nothing reaches the endpoint
 * but through it, so it knows exactly what runs there. Admission is decided by
 * &struct ql_gate; this module holds the calls and speaks to the endpoint.
 */

#include "http/upstream.h"
#include "path/call.h"
#include "quetzalloft/dialect.h"
#include "quetzalloft/gate.h"
#include "util/counters.h"

G_BEGIN_DECLS

/**
 * struct ql_local_gate_opts - Settings.
 * @dialect: how the endpoint names things; borrowed
 * @address: where the endpoint listens
 * @service: what it serves
 * @changed: called when the endpoint is to be announced anew
 * @data: passed to @changed
 * @counters: what happens is counted there; borrowed
 */
typedef struct ql_local_gate_opts {
	const ql_dialect_t *dialect;
	struct sockaddr_in address;
	char service[QL_NAME_MAX];
	void (*changed)(void *data);
	void *data;
	ql_counters_t *counters;
} ql_local_gate_opts_t;

/**
 * struct ql_local_gate - The gate.
 * @report: the newest announcement
 * @known: an announcement has come
 * @left: the endpoint has said that it is gone
 * @unreachable: it takes no connection
 * @draining: this node leaves
 * @incarnation: of the endpoint, as it is announced to others
 * @calls: by ticket
 * @running: those that run at the endpoint, by identity of the request
 */
typedef struct ql_local_gate {
	ql_loop_t *loop;
	ql_local_gate_opts_t opts;
	ql_instance_report_t report;
	bool has_report;
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

void ql_local_gate_init(ql_local_gate_t *gate, ql_loop_t *loop,
			const ql_local_gate_opts_t *opts);
void ql_local_gate_finish(ql_local_gate_t *gate);

/**
 * ql_local_gate_report() - Take an announcement of the endpoint.
 * @gate: the gate
 * @report: the announcement
 *
 * One that is older than what is known changes nothing.
 *
 * Return: 0, or QL_E_DENIED when it is not of this endpoint.
 */
int ql_local_gate_apply_report(ql_local_gate_t *gate,
			       const ql_instance_report_t *report);

/**
 * ql_local_gate_leave() - The endpoint says that it is gone.
 * @gate: the gate
 * @instance: the identity that it had
 */
void ql_local_gate_deregister(ql_local_gate_t *gate, const char *instance);

/**
 * ql_local_gate_serves() - Whether new calls are taken.
 */
bool ql_local_gate_is_serving(const ql_local_gate_t *gate);

/**
 * ql_local_gate_drain() - This node leaves: take nothing new.
 */
void ql_local_gate_drain(ql_local_gate_t *gate);

/**
 * ql_local_gate_call() - Call the endpoint.
 * @gate: the gate
 * @call: what is called
 * @sink: what the caller is told, possibly before this returns
 * @data: passed to @sink
 * @out: the call in progress; @out->call is NULL when it has ended already
 */
void ql_local_gate_call(ql_local_gate_t *gate, const ql_path_call_t *call,
			const ql_call_sink_t *sink, void *data,
			ql_call_handle_t *out);

/**
 * struct ql_running_call - A call that runs at the endpoint.
 * @class_name: class of the client request that it serves
 * @shed_order: of that class
 */
typedef struct ql_running_call {
	char class_name[QL_NAME_MAX];
	uint32_t shed_order;
} ql_running_call_t;

/**
 * ql_local_gate_find() - Find a call that runs at the endpoint.
 * @gate: the gate
 * @id: identity of the request
 *
 * Return: the call, valid until the loop turns, or NULL.
 */
const ql_running_call_t *ql_local_gate_find_call(const ql_local_gate_t *gate,
						 const char *id);

/**
 * ql_local_gate_press() - A call that the endpoint made met with pressure.
 * @gate: the gate
 * @id: of the request that the call serves; one that runs no more tells nobody
 * @pressure: see quetzalloft/pressure.h
 */
void ql_local_gate_add_pressure(ql_local_gate_t *gate, const char *id,
				double pressure);

/**
 * ql_local_gate_level() - The present load level.
 */
uint32_t ql_local_gate_level(const ql_local_gate_t *gate);

G_END_DECLS

#endif
