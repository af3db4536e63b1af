#ifndef QL_NODE_LIFE_CYCLE_H
#define QL_NODE_LIFE_CYCLE_H

/**
 * DOC: State charts that a node interprets, with their states and events bound
 * to enum values of this program.
 */

#include "quetzalloft/chart.h"
#include "quetzalloft/timeline.h"

G_BEGIN_DECLS

/**
 * enum ql_attempt_state - States of chart "attempt".
 * @QL_ATTEMPT_CHOSEN: an endpoint is chosen
 * @QL_ATTEMPT_SENT: the call was sent
 * @QL_ATTEMPT_ANSWERED: the endpoint answered
 * @QL_ATTEMPT_NOT_RUN: the call has certainly not been run
 * @QL_ATTEMPT_UNKNOWN: whether the call was run is unknown
 * @QL_N_ATTEMPT_STATES: number of states
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
 * @QL_SHUTDOWN_STARTING: the node starts
 * @QL_SHUTDOWN_SHUT: the node runs without a configuration and serves no calls
 * @QL_SHUTDOWN_SERVING: the node serves calls
 * @QL_SHUTDOWN_DRAINING: the node refuses new calls and completes those in
 *                        flight
 * @QL_SHUTDOWN_STOPPING: the drain is over and the services stop
 * @QL_SHUTDOWN_STOPPED: the node has stopped
 * @QL_N_SHUTDOWN_STATES: number of states
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
 * struct ql_life_cycles - Charts of a node.
 * @attempt: life cycle of one attempt, as the calling node sees it
 * @shutdown: life cycle of a node from its start to its exit
 */
typedef struct ql_life_cycles {
	ql_chart_t attempt;
	ql_chart_t shutdown;
} ql_life_cycles_t;

/**
 * ql_life_cycles_load() - Load and validate the charts.
 * @cycles: set to the charts
 * @folder: folder of the charts; "" for ql_chart_folder()
 * @error: set on failure
 *
 * Return: 0 or an error of ql_chart_load().
 */
int ql_life_cycles_load(ql_life_cycles_t *cycles, const char *folder,
			GError **error);

/**
 * ql_attempt_step() - Apply an event to the state of an attempt.
 * @cycles: the charts
 * @state: the current state; replaced by the next one
 * @event: QL_EVENT_ATTEMPT_SENT to QL_EVENT_ATTEMPT_CANCELLED
 *
 * Return: a value of &enum ql_chart_result, or QL_E_INVALID when @state is
 * final or @event is not one of the chart; then @state does not change.
 */
int ql_attempt_step(const ql_life_cycles_t *cycles, ql_attempt_state_t *state,
		    ql_event_t event);

/**
 * ql_shutdown_step() - Apply an event to the state of a node.
 * @cycles: the charts
 * @state: the current state; replaced by the next one
 * @event: an event of chart "shutdown"
 *
 * Return: a value of &enum ql_chart_result, or QL_E_INVALID when @state is
 * final or @event is not one of the chart; then @state does not change.
 */
int ql_shutdown_step(const ql_life_cycles_t *cycles, ql_shutdown_state_t *state,
		     ql_event_t event);

G_END_DECLS

#endif
