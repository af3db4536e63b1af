#include "node/life_cycle.h"

static const char *const attempt_states[QL_N_ATTEMPT_STATES] = {
	[QL_ATTEMPT_CHOSEN] = "chosen",	    [QL_ATTEMPT_SENT] = "sent",
	[QL_ATTEMPT_ANSWERED] = "answered", [QL_ATTEMPT_NOT_RUN] = "not_run",
	[QL_ATTEMPT_UNKNOWN] = "unknown",
};

static const ql_event_t attempt_events[] = {
	QL_EVENT_ATTEMPT_SENT,	  QL_EVENT_ATTEMPT_ANSWERED,
	QL_EVENT_ATTEMPT_REFUSED, QL_EVENT_ATTEMPT_LOST,
	QL_EVENT_ATTEMPT_DROPPED, QL_EVENT_ATTEMPT_CANCELLED,
};

static const char *const shutdown_states[QL_N_SHUTDOWN_STATES] = {
	[QL_SHUTDOWN_STARTING] = "starting",
	[QL_SHUTDOWN_SHUT] = "shut",
	[QL_SHUTDOWN_SERVING] = "serving",
	[QL_SHUTDOWN_DRAINING] = "draining",
	[QL_SHUTDOWN_STOPPING] = "stopping",
	[QL_SHUTDOWN_STOPPED] = "stopped",
};

static const ql_event_t shutdown_events[] = {
	QL_EVENT_NODE_STARTED,	 QL_EVENT_CONFIG_IN_FORCE,
	QL_EVENT_STOP_REQUESTED, QL_EVENT_DRAIN_FINISHED,
	QL_EVENT_NODE_STOPPED,
};

static int load_chart(ql_chart_t *chart, const char *folder, const char *name,
		      const char *const *states, size_t n_states,
		      const ql_event_t *events, size_t n_events, GError **error)
{
	const char *event_names[QL_CHART_EVENTS_MAX];
	ql_chart_names_t names = {name, states, n_states, event_names,
				  n_events};
	size_t i;

	for (i = 0; i < n_events; i++)
		event_names[i] = ql_event_name(events[i]);
	return ql_chart_load(chart, folder, &names, error);
}

int ql_life_cycles_load(ql_life_cycles_t *cycles, const char *folder,
			GError **error)
{
	int ret;

	ret = load_chart(&cycles->attempt, folder, "attempt", attempt_states,
			 G_N_ELEMENTS(attempt_states), attempt_events,
			 G_N_ELEMENTS(attempt_events), error);
	if (ret)
		return ret;
	return load_chart(&cycles->shutdown, folder, "shutdown",
			  shutdown_states, G_N_ELEMENTS(shutdown_states),
			  shutdown_events, G_N_ELEMENTS(shutdown_events),
			  error);
}

static int find_event(const ql_event_t *events, size_t n_events,
		      ql_event_t event)
{
	size_t i;

	for (i = 0; i < n_events; i++)
		if (events[i] == event)
			return (int)i;
	return -1;
}

int ql_attempt_step(const ql_life_cycles_t *cycles, ql_attempt_state_t *state,
		    ql_event_t event)
{
	int event_index =
		find_event(attempt_events, G_N_ELEMENTS(attempt_events), event);
	int next;
	int ret = ql_chart_step(&cycles->attempt, (int)*state, event_index,
				&next);

	*state = (ql_attempt_state_t)next;
	return ret;
}

int ql_shutdown_step(const ql_life_cycles_t *cycles, ql_shutdown_state_t *state,
		     ql_event_t event)
{
	int event_index = find_event(shutdown_events,
				     G_N_ELEMENTS(shutdown_events), event);
	int next;
	int ret = ql_chart_step(&cycles->shutdown, (int)*state, event_index,
				&next);

	*state = (ql_shutdown_state_t)next;
	return ret;
}
