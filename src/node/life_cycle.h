#ifndef QL_NODE_LIFE_CYCLE_H
#define QL_NODE_LIFE_CYCLE_H

/**
 * DOC: The state charts that a node interprets, bound to its own names.
 */

#include "quetzalloft/chart.h"
#include "quetzalloft/timeline.h"

G_BEGIN_DECLS

/**
 * enum ql_attempt_state - States of chart "attempt".
 */
typedef enum ql_attempt_state {
	QL_ATTEMPT_CHOSEN,
	QL_ATTEMPT_SENT,
	QL_ATTEMPT_ANSWERED,
	QL_ATTEMPT_NOT_RUN,
	QL_ATTEMPT_UNKNOWN,
	QL_N_ATTEMPT_STATES,
} ql_attempt_state_t;

/**
 * enum ql_shutdown_state - States of chart "shutdown".
 */
typedef enum ql_shutdown_state {
	QL_SHUTDOWN_STARTING,
	QL_SHUTDOWN_SHUT,
	QL_SHUTDOWN_SERVING,
	QL_SHUTDOWN_DRAINING,
	QL_SHUTDOWN_STOPPING,
	QL_SHUTDOWN_STOPPED,
	QL_N_SHUTDOWN_STATES,
} ql_shutdown_state_t;

/**
 * struct ql_life_cycles - The charts.
 * @attempt: one attempt, as the calling node sees it
 * @shutdown: a node from its start to its exit
 */
typedef struct ql_life_cycles {
	ql_chart_t attempt;
	ql_chart_t shutdown;
} ql_life_cycles_t;

/**
 * ql_life_cycles_load() - Read and check the charts.
 * @cycles: where to store them
 * @folder: where to look; empty for ql_chart_folder()
 * @error: detail of a failure
 *
 * Return: 0 or a failure of ql_chart_load().
 */
int ql_life_cycles_load(ql_life_cycles_t *cycles, const char *folder,
			GError **error);

/**
 * ql_attempt_step() - Take an event of an attempt.
 * @cycles: the charts
 * @state: the present state; replaced by the next one
 * @event: QL_EVENT_ATTEMPT_SENT to QL_EVENT_ATTEMPT_CANCELLED
 *
 * Return: a &enum ql_chart_result or QL_E_INVALID.
 */
int ql_attempt_step(const ql_life_cycles_t *cycles, ql_attempt_state_t *state,
		    ql_event_t event);

/**
 * ql_shutdown_step() - Take an event of the node.
 * @cycles: the charts
 * @state: the present state; replaced by the next one
 * @event: an event of chart "shutdown"
 *
 * Return: a &enum ql_chart_result or QL_E_INVALID.
 */
int ql_shutdown_step(const ql_life_cycles_t *cycles, ql_shutdown_state_t *state,
		     ql_event_t event);

G_END_DECLS

#endif
