#ifndef QL_NODE_LOCAL_ENDPOINT_H
#define QL_NODE_LOCAL_ENDPOINT_H

/**
 * DOC: An endpoint of this VM and the gate in front of it, for many threads.
 */

#include "quetzalloft/gate.h"

#include <pthread.h>

G_BEGIN_DECLS

/**
 * struct ql_announcement - What an endpoint says of itself.
 * @service: the service that it runs
 * @address: "IP:port" where it listens
 * @slots: requests that it can run at once
 * @connections: connections that it takes
 * @draining: it takes no new request
 * @lease_ms: how long this holds
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
 * struct ql_local_endpoint - The endpoint.
 * @service: the service that it runs; never changes
 * @lock: guards what follows
 * @announcement: what it said last
 * @expires_us: when that stops to hold
 * @incarnation: when it was first announced since it last vanished
 * @node_draining: the node itself leaves
 * @gate: its gate
 * @waiters: threads that wait for the gate, by ticket
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
 * ql_local_endpoint_init() - Prepare the gate of an endpoint.
 * @endpoint: the endpoint
 * @announcement: what it said first; it counts from the first renewal on
 * @opts: settings of the gate
 */
void ql_local_endpoint_init(ql_local_endpoint_t *endpoint,
			    const ql_announcement_t *announcement,
			    const ql_gate_opts_t *opts);
void ql_local_endpoint_finish(ql_local_endpoint_t *endpoint);

/**
 * ql_local_endpoint_apply_announcement() - Take an announcement.
 * @endpoint: the endpoint
 * @announcement: what it says
 *
 * Return: true when the registrar is to hear of it at once: it is new, came
 * back, or began or ceased to drain.
 */
bool ql_local_endpoint_apply_announcement(
	ql_local_endpoint_t *endpoint, const ql_announcement_t *announcement);

/**
 * ql_local_endpoint_configure() - Change the settings of the gate.
 * @endpoint: the endpoint
 * @opts: the settings; the slots are those that the endpoint announced last
 */
void ql_local_endpoint_configure(ql_local_endpoint_t *endpoint,
				 const ql_gate_opts_t *opts);

/**
 * ql_local_endpoint_drain() - Admit nothing more, since the node leaves.
 * @endpoint: the endpoint
 */
void ql_local_endpoint_drain(ql_local_endpoint_t *endpoint);

/**
 * struct ql_admission_request - A request that asks to be admitted.
 * @request: for the gate
 * @is_gone: asked now and then while it waits whether its caller gave up
 * @data: passed to it
 */
typedef struct ql_admission_request {
	ql_gate_request_t request;
	bool (*is_cancelled)(void *data);
	void *data;
} ql_admission_request_t;

/**
 * ql_local_endpoint_admit() - Ask for admission and wait for the decision.
 * @endpoint: the endpoint
 * @admission: the request
 * @load_level: load level of the gate afterwards
 *
 * Return: the decision, never QL_GATE_QUEUE.
 */
ql_gate_decision_t
ql_local_endpoint_admit(ql_local_endpoint_t *endpoint,
			const ql_admission_request_t *admission,
			uint32_t *load_level);

/**
 * ql_local_endpoint_finish_request() - Report that an admitted request ended.
 * @endpoint: the endpoint
 * @ticket: its ticket
 * @outcome: how it ended
 * @load_level: load level of the gate afterwards
 */
void ql_local_endpoint_finish_request(ql_local_endpoint_t *endpoint,
				      ql_handle_t ticket,
				      ql_gate_outcome_t outcome,
				      uint32_t *load_level);

/**
 * ql_local_endpoint_copy_address() - Where the endpoint listens.
 * @endpoint: the endpoint
 * @out: QL_ADDRESS_MAX bytes
 */
void ql_local_endpoint_copy_address(ql_local_endpoint_t *endpoint, char *out);

/**
 * ql_local_endpoint_is_serving() - Whether callers may send requests.
 * @endpoint: the endpoint
 *
 * Return: false when it drains, its node leaves, or its announcement expired.
 */
bool ql_local_endpoint_is_serving(ql_local_endpoint_t *endpoint);

G_END_DECLS

#endif
