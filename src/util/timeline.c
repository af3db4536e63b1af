#include "quetzalloft/timeline.h"
#include "quetzalloft/error.h"

#include <string.h>

static const char *const event_names[QL_N_EVENTS] = {
	[QL_EVENT_REQUEST_RECEIVED] = "request_received",
	[QL_EVENT_REQUEST_DONE] = "request_done",
	[QL_EVENT_ATTEMPT_SENT] = "attempt_sent",
	[QL_EVENT_ATTEMPT_ANSWERED] = "attempt_answered",
	[QL_EVENT_ATTEMPT_REFUSED] = "attempt_refused",
	[QL_EVENT_ATTEMPT_LOST] = "attempt_lost",
	[QL_EVENT_ATTEMPT_DROPPED] = "attempt_dropped",
	[QL_EVENT_ATTEMPT_CANCELLED] = "attempt_cancelled",
	[QL_EVENT_GATE_QUEUED] = "gate_queued",
	[QL_EVENT_GATE_ADMITTED] = "gate_admitted",
	[QL_EVENT_GATE_REFUSED] = "gate_refused",
	[QL_EVENT_GATE_DONE] = "gate_done",
	[QL_EVENT_KEY_CLAIMED] = "key_claimed",
	[QL_EVENT_KEY_REFUSED] = "key_refused",
	[QL_EVENT_KEY_SEALED] = "key_sealed",
	[QL_EVENT_ENDPOINT_UP] = "endpoint_up",
	[QL_EVENT_ENDPOINT_WARM] = "endpoint_warm",
	[QL_EVENT_ENDPOINT_EJECTED] = "endpoint_ejected",
	[QL_EVENT_ENDPOINT_READMITTED] = "endpoint_readmitted",
	[QL_EVENT_ENDPOINT_LEAVING] = "endpoint_leaving",
	[QL_EVENT_ENDPOINT_GONE] = "endpoint_gone",
	[QL_EVENT_REPLICA_PROMOTED] = "replica_promoted",
	[QL_EVENT_REPLICA_ELECTION_TIMEOUT] = "replica_election_timeout",
	[QL_EVENT_REPLICA_PRE_VOTE_WON] = "replica_pre_vote_won",
	[QL_EVENT_REPLICA_VOTE_WON] = "replica_vote_won",
	[QL_EVENT_REPLICA_LEADER_HEARD] = "replica_leader_heard",
	[QL_EVENT_REPLICA_HIGHER_TERM] = "replica_higher_term",
	[QL_EVENT_REPLICA_QUORUM_LOST] = "replica_quorum_lost",
	[QL_EVENT_REPLICA_DISK_STALLED] = "replica_disk_stalled",
	[QL_EVENT_REPLICA_REMOVED] = "replica_removed",
	[QL_EVENT_PATCH_RECEIVED] = "patch_received",
	[QL_EVENT_PATCH_APPENDED] = "patch_appended",
	[QL_EVENT_PATCH_REFUSED] = "patch_refused",
	[QL_EVENT_PATCH_LEADER_LOST] = "patch_leader_lost",
	[QL_EVENT_PATCH_COMMITTED] = "patch_committed",
	[QL_EVENT_PATCH_IN_FORCE] = "patch_in_force",
	[QL_EVENT_NODE_STARTED] = "node_started",
	[QL_EVENT_CONFIG_IN_FORCE] = "config_in_force",
	[QL_EVENT_LEASE_FAILED] = "lease_failed",
	[QL_EVENT_STOP_REQUESTED] = "stop_requested",
	[QL_EVENT_DRAIN_FINISHED] = "drain_finished",
	[QL_EVENT_NODE_STOPPED] = "node_stopped",
};

const char *ql_event_name(ql_event_t event)
{
	g_assert(event < QL_N_EVENTS);
	return event_names[event];
}

int ql_event_parse(ql_event_t *out, const char *name)
{
	size_t i;

	for (i = 0; i < QL_N_EVENTS; i++) {
		if (strcmp(event_names[i], name) != 0)
			continue;
		*out = (ql_event_t)i;
		return 0;
	}
	return QL_E_NOT_FOUND;
}

void ql_timeline_init(ql_timeline_t *timeline, const char *node, ql_hlc_t *hlc,
		      size_t capacity)
{
	size_t i;

	if (!capacity)
		capacity = QL_TIMELINE_EVENTS_DEFAULT;
	capacity += QL_TIMELINE_LOCKS - 1;
	capacity -= capacity % QL_TIMELINE_LOCKS;
	timeline->node = node;
	timeline->hlc = hlc;
	timeline->slots = g_new0(ql_timeline_slot_t, capacity);
	timeline->capacity = capacity;
	timeline->recorded = 0;
	for (i = 0; i < QL_TIMELINE_LOCKS; i++)
		pthread_mutex_init(&timeline->locks[i], NULL);
}

void ql_timeline_finish(ql_timeline_t *timeline)
{
	size_t i;

	for (i = 0; i < QL_TIMELINE_LOCKS; i++)
		pthread_mutex_destroy(&timeline->locks[i]);
	g_free(timeline->slots);
	timeline->slots = NULL;
}

static void copy_name(char *out, const char *name, size_t size)
{
	size_t length = name ? strnlen(name, size - 1) : 0;

	if (length)
		memcpy(out, name, length);
	out[length] = '\0';
}

static void fill_slot(ql_timeline_slot_t *slot,
		      const ql_timeline_event_t *event)
{
	slot->id = event->id;
	slot->parent = event->parent;
	slot->version = event->version;
	slot->event = (uint8_t)event->event;
	slot->outcome = (uint8_t)event->outcome;
	slot->reason = (uint8_t)event->reason;
	slot->has_outcome = event->has_outcome;
	copy_name(slot->service, event->service, sizeof(slot->service));
	copy_name(slot->endpoint, event->endpoint, sizeof(slot->endpoint));
	copy_name(slot->class_name, event->class_name,
		  sizeof(slot->class_name));
}

uint64_t ql_timeline_record(ql_timeline_t *timeline,
			    const ql_timeline_event_t *event)
{
	uint64_t wall_us, clock, index;
	ql_timeline_slot_t *slot;
	pthread_mutex_t *lock;

	if (!timeline)
		return 0;
	wall_us = (uint64_t)g_get_real_time();
	clock = ql_hlc_tick(timeline->hlc, wall_us / QL_US_PER_MS);
	index = __atomic_add_fetch(&timeline->recorded, 1, __ATOMIC_RELAXED);
	slot = &timeline->slots[index % timeline->capacity];
	lock = &timeline->locks[index % QL_TIMELINE_LOCKS];
	pthread_mutex_lock(lock);
	/* A newer event may have been written to the slot in the meantime. */
	if (slot->index < index) {
		slot->index = index;
		slot->clock = clock;
		slot->wall_us = wall_us;
		fill_slot(slot, event);
	}
	pthread_mutex_unlock(lock);
	return clock;
}
