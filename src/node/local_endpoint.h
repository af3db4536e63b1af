#ifndef QL_NODE_LOCAL_ENDPOINT_H
#define QL_NODE_LOCAL_ENDPOINT_H

/**
 * DOC: An endpoint of this VM and its gate. All functions are thread-safe, and
 * ql_local_endpoint_admit() blocks while a request is queued.
 */

#include "quetzalloft/gate.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_announcement - State that an endpoint announces to its node.
 * @service: service that the endpoint runs
 * @address: "IP:port" that it listens on
 * @slots: requests that it can run at once
 * @connections: connections that it accepts
 * @draining: it accepts no further requests
 * @lease_ms: time after which the announcement expires, in milliseconds
 */
typedef struct ql_announcement {
	char service[QL_NAME_MAX];
	char address[QL_ADDRESS_MAX];
	uint64_t slots;
	uint64_t connections;
	bool draining;
	uint64_t lease_ms;
} ql_announcement_t;

/**
 * struct ql_local_endpoint - An endpoint and its gate. It must not move in
 * memory.
 * @service: service that the endpoint runs; constant
 * @lock: guards the members below
 * @announcement: latest announcement
 * @expires_us: when @announcement expires, on the clock of ql_clock_now_us(); 0
 *              before the first announcement
 * @incarnation: wall clock time, in microseconds, of the first announcement
 *               since the endpoint appeared, reappeared or changed its address
 * @node_draining: the node is draining
 * @gate: admission control
 * @waiters: waiting threads of queued requests by ticket
 */
typedef struct ql_local_endpoint {
	char service[QL_NAME_MAX];
	pthread_mutex_t lock;
	ql_announcement_t announcement;
	uint64_t expires_us;
	uint64_t incarnation;
	bool node_draining;
	ql_gate_t gate;
	GHashTable *waiters;
} ql_local_endpoint_t;

/**
 * ql_local_endpoint_init() - Initialize an endpoint, not serving yet.
 * @endpoint: the endpoint
 * @announcement: first announcement; takes effect only when it is passed to
 *                ql_local_endpoint_apply_announcement()
 * @opts: settings of the gate
 */
void ql_local_endpoint_init(ql_local_endpoint_t *endpoint,
			    const ql_announcement_t *announcement,
			    const ql_gate_opts_t *opts);

/**
 * ql_local_endpoint_finish() - Free the gate of an endpoint.
 * @endpoint: the endpoint; no request may be queued or admitted
 */
void ql_local_endpoint_finish(ql_local_endpoint_t *endpoint);

/**
 * ql_local_endpoint_apply_announcement() - Apply an announcement of the
 * endpoint and renew its lease.
 * @endpoint: the endpoint
 * @announcement: the announcement; copied
 *
 * Return: true if the node must renew its own lease at once: the endpoint is
 * new, reappeared, changed its address, or started or stopped draining.
 */
bool ql_local_endpoint_apply_announcement(
	ql_local_endpoint_t *endpoint, const ql_announcement_t *announcement);

/**
 * ql_local_endpoint_configure() - Change the settings of the gate.
 * @endpoint: the endpoint
 * @opts: new settings; @opts->slots is replaced by the announced slots
 */
void ql_local_endpoint_configure(ql_local_endpoint_t *endpoint,
				 const ql_gate_opts_t *opts);

/**
 * ql_local_endpoint_drain() - Refuse all queued and all further requests, as
 * the node is draining.
 * @endpoint: the endpoint
 */
void ql_local_endpoint_drain(ql_local_endpoint_t *endpoint);

/**
 * struct ql_admission_request - A request to be admitted.
 * @request: class, deadline and other properties for the gate
 * @is_cancelled: checks whether the caller cancelled the request; polled every
 *                20 ms while the request is queued
 * @data: passed to @is_cancelled
 */
typedef struct ql_admission_request {
	ql_gate_request_t request;
	bool (*is_cancelled)(void *data);
	void *data;
} ql_admission_request_t;

/**
 * ql_local_endpoint_admit() - Offer a request to the gate and wait for the
 * decision.
 * @endpoint: the endpoint
 * @admission: the request
 * @load_level: set to the load level of the gate after the decision
 *
 * Return: QL_GATE_ADMIT, with the ticket for
 * ql_local_endpoint_finish_request(), or QL_GATE_REFUSE.
 */
ql_gate_decision_t
ql_local_endpoint_admit(ql_local_endpoint_t *endpoint,
			const ql_admission_request_t *admission,
			uint32_t *load_level);

/**
 * ql_local_endpoint_finish_request() - Release the slot of an admitted request
 * and record its outcome.
 * @endpoint: the endpoint
 * @ticket: handle of the request; invalid afterwards
 * @outcome: outcome of the request
 * @load_level: set to the load level of the gate afterwards
 */
void ql_local_endpoint_finish_request(ql_local_endpoint_t *endpoint,
				      ql_handle_t ticket,
				      ql_gate_outcome_t outcome,
				      uint32_t *load_level);

/**
 * ql_local_endpoint_copy_address() - Copy the address of the endpoint.
 * @endpoint: the endpoint
 * @out: set to "IP:port"; QL_ADDRESS_MAX bytes
 */
void ql_local_endpoint_copy_address(ql_local_endpoint_t *endpoint, char *out);

/**
 * ql_local_endpoint_is_serving() - Check whether new requests are accepted.
 * @endpoint: the endpoint
 *
 * Return: false if the endpoint or the node is draining, or the announcement
 * has expired.
 */
bool ql_local_endpoint_is_serving(ql_local_endpoint_t *endpoint);

G_END_DECLS

#endif
