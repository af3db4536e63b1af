#include "control/replica_private.h"

static const char *const roles[QL_N_REPLICA_ROLES] = {
	[QL_REPLICA_LEARNER] = "learner",
	[QL_REPLICA_FOLLOWER] = "follower",
	[QL_REPLICA_PRE_CANDIDATE] = "pre_candidate",
	[QL_REPLICA_CANDIDATE] = "candidate",
	[QL_REPLICA_LEADER] = "leader",
	[QL_REPLICA_REMOVED] = "removed",
};

static const ql_event_t events[] = {
	QL_EVENT_REPLICA_PROMOTED,     QL_EVENT_REPLICA_ELECTION_TIMEOUT,
	QL_EVENT_REPLICA_PRE_VOTE_WON, QL_EVENT_REPLICA_VOTE_WON,
	QL_EVENT_REPLICA_LEADER_HEARD, QL_EVENT_REPLICA_HIGHER_TERM,
	QL_EVENT_REPLICA_QUORUM_LOST,  QL_EVENT_REPLICA_DISK_STALLED,
	QL_EVENT_REPLICA_REMOVED,
};

int ql_replica_chart_load(ql_chart_t *chart, const char *folder, GError **error)
{
	const char *event_names[G_N_ELEMENTS(events)];
	ql_chart_names_t names = {"replica", roles, QL_N_REPLICA_ROLES,
				  event_names, G_N_ELEMENTS(events)};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(events); i++)
		event_names[i] = ql_event_name(events[i]);
	return ql_chart_load(chart, folder, &names, error);
}

const char *ql_replica_role_name(const ql_replica_t *replica)
{
	return roles[replica->role];
}

static int find_event(ql_event_t event)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(events); i++)
		if (events[i] == event)
			return (int)i;
	return -1;
}

void ql_replica__apply_event(ql_replica_t *replica, ql_event_t event)
{
	int next;

	if (ql_chart_step(replica->opts.chart, (int)replica->role,
			  find_event(event), &next) != QL_CHART_MOVED)
		return;
	replica->role = (ql_replica_role_t)next;
	replica->ops->role_changed(replica->data, event);
}

void ql_replica__check_promotion(ql_replica_t *replica)
{
	if (ql_replica__may_campaign(replica))
		ql_replica__apply_event(replica, QL_EVENT_REPLICA_PROMOTED);
}

void ql_replica__check_removal(ql_replica_t *replica)
{
	if (replica->members_index > replica->applied)
		return;
	if (ql_replica_find_member(replica, replica->state.identity))
		replica->was_member = true;
	else if (replica->was_member && replica->role != QL_REPLICA_LEADER)
		ql_replica__apply_event(replica, QL_EVENT_REPLICA_REMOVED);
}
