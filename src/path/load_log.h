#ifndef QL_PATH_LOAD_LOG_H
#define QL_PATH_LOAD_LOG_H

/**
 * DOC: Periodic load log, once a second: the utilization of the local endpoint
 * and the admissions of each class (gate_load), the outcomes of the requests of
 * each class on each route (route_load), and what this node knows of the
 * endpoints of each service that reports its occupancy (service_load). Routes,
 * classes and services without traffic have no line. Classes of which requests
 * with a team were refused early also have lines for the teams that asked for
 * most, and one for all others (team_load).
 */

#include "path/front.h"

G_BEGIN_DECLS

/**
 * struct ql_load_log - Load log of one node.
 * @loop: loop that the log runs on
 * @front: front end whose routes are logged; borrowed
 * @gate: gate whose slots are logged; borrowed
 * @timer: fires when the next lines are due
 * @logged_usage: usage of the gate at the last log lines
 */
typedef struct ql_load_log {
	ql_loop_t *loop;
	ql_front_t *front;
	ql_local_gate_t *gate;
	ql_wheel_timer_t timer;
	ql_gate_usage_t logged_usage;
} ql_load_log_t;

/**
 * ql_load_log_start() - Start the periodic log.
 * @log: the log
 * @loop: loop that the log runs on
 * @front: front end; borrowed
 * @gate: local gate; borrowed
 */
void ql_load_log_start(ql_load_log_t *log, ql_loop_t *loop, ql_front_t *front,
		       ql_local_gate_t *gate);
void ql_load_log_stop(ql_load_log_t *log);

G_END_DECLS

#endif
