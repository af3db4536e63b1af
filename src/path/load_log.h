#ifndef QL_PATH_LOAD_LOG_H
#define QL_PATH_LOAD_LOG_H

/**
 * DOC: Once a second, what the node did with its load: how busy the endpoint
 * beside it was and which classes had its slots (gate_load), and what became of
 * the requests of each route (route_load). Routes and classes without traffic
 * have no line.
 */

#include "path/front.h"

G_BEGIN_DECLS

/**
 * struct ql_load_log - The log of one node.
 * @front: whose routes are read; borrowed
 * @gate: whose slots are read; borrowed
 * @seen: what the gate had done at the last line
 */
typedef struct ql_load_log {
	ql_loop_t *loop;
	ql_front_t *front;
	ql_local_gate_t *gate;
	ql_wheel_timer_t timer;
	ql_gate_usage_t logged_usage;
} ql_load_log_t;

/**
 * ql_load_log_start() - Begin to write.
 * @log: the log
 * @loop: whose thread writes
 * @front: borrowed
 * @gate: borrowed
 */
void ql_load_log_start(ql_load_log_t *log, ql_loop_t *loop, ql_front_t *front,
		       ql_local_gate_t *gate);
void ql_load_log_stop(ql_load_log_t *log);

G_END_DECLS

#endif
