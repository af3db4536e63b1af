#ifndef QUETZALLOFT_DRAIN_SCHEDULE_H
#define QUETZALLOFT_DRAIN_SCHEDULE_H

/**
 * DOC: When a node that is told to stop takes each step of its drain. The steps
 * leave clients and other nodes time to notice the one before, and all of them
 * fit into the grace time, however short.
 */

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_drain_schedule - Times of the steps, in the order in which they are
 * taken.
 * @leave_us: the endpoint is announced as leaving. Until then clients still
 *            send requests to this node, so it keeps serving other nodes.
 * @drain_gate_us: the gate refuses new calls. By then other nodes have received
 *                 the announcement.
 * @refuse_clients_us: new client requests are refused. By then two readiness
 *                     probes of the clients have failed.
 * @exit_us: the node exits as soon as no request is in flight
 * @fail_us: the requests in flight are failed
 * @latest_exit_us: the node exits in any case
 */
typedef struct ql_drain_schedule {
	uint64_t leave_us;
	uint64_t drain_gate_us;
	uint64_t refuse_clients_us;
	uint64_t exit_us;
	uint64_t fail_us;
	uint64_t latest_exit_us;
} ql_drain_schedule_t;

/**
 * ql_drain_schedule_init() - Schedule a drain that starts now.
 * @schedule: set to the times
 * @drain_ms: least time until the exit
 * @grace_ms: time after which the process is killed
 * @now_us: current time
 */
void ql_drain_schedule_init(ql_drain_schedule_t *schedule, uint64_t drain_ms,
			    uint64_t grace_ms, uint64_t now_us);

G_END_DECLS

#endif
