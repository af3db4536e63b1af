#include "replay_model.h"

void ql_replay__events_init(ql_replay__events_t *events)
{
	events->heap = g_array_new(FALSE, FALSE, sizeof(ql_replay__event_t));
	events->sequence = 0;
}

void ql_replay__events_finish(ql_replay__events_t *events)
{
	g_array_free(events->heap, TRUE);
}

static ql_replay__event_t *at(const ql_replay__events_t *events, guint index)
{
	return &g_array_index(events->heap, ql_replay__event_t, index);
}

static bool precedes(const ql_replay__event_t *a, const ql_replay__event_t *b)
{
	if (a->time_us != b->time_us)
		return a->time_us < b->time_us;
	return a->sequence < b->sequence;
}

void ql_replay__events_push(ql_replay__events_t *events,
			    ql_replay__event_t event)
{
	guint i = events->heap->len;

	event.sequence = events->sequence++;
	g_array_append_val(events->heap, event);
	while (i && precedes(&event, at(events, (i - 1) / 2))) {
		*at(events, i) = *at(events, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	*at(events, i) = event;
}

bool ql_replay__events_pop(ql_replay__events_t *events,
			   ql_replay__event_t *event)
{
	ql_replay__event_t last;
	guint length, child, i = 0;

	if (!events->heap->len)
		return false;
	*event = *at(events, 0);
	length = events->heap->len - 1;
	last = *at(events, length);
	g_array_set_size(events->heap, length);
	if (!length)
		return true;
	while ((child = 2 * i + 1) < length) {
		if (child + 1 < length &&
		    precedes(at(events, child + 1), at(events, child)))
			child++;
		if (precedes(&last, at(events, child)))
			break;
		*at(events, i) = *at(events, child);
		i = child;
	}
	*at(events, i) = last;
	return true;
}
