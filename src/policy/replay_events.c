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

static ql_replay__event_t *event_at(const ql_replay__events_t *events,
				    guint index)
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
	while (i && precedes(&event, event_at(events, (i - 1) / 2))) {
		*event_at(events, i) = *event_at(events, (i - 1) / 2);
		i = (i - 1) / 2;
	}
	*event_at(events, i) = event;
}

bool ql_replay__events_pop(ql_replay__events_t *events,
			   ql_replay__event_t *event)
{
	ql_replay__event_t last;
	guint length, child, i = 0;

	if (!events->heap->len)
		return false;
	*event = *event_at(events, 0);
	length = events->heap->len - 1;
	last = *event_at(events, length);
	g_array_set_size(events->heap, length);
	if (!length)
		return true;
	while ((child = 2 * i + 1) < length) {
		if (child + 1 < length && precedes(event_at(events, child + 1),
						   event_at(events, child)))
			child++;
		if (precedes(&last, event_at(events, child)))
			break;
		*event_at(events, i) = *event_at(events, child);
		i = child;
	}
	*event_at(events, i) = last;
	return true;
}
