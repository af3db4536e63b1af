#include "quetzalloft/wheel.h"

#include <string.h>

static void link_timer(ql_wheel_t *wheel, ql_wheel_timer_t *timer)
{
	uint64_t tick =
		(timer->due_ms + QL_WHEEL_SLOT_MS - 1) / QL_WHEEL_SLOT_MS;
	ql_wheel_timer_t **slot;

	/* One that is due later than the wheel reaches is looked at again. */
	tick = CLAMP(tick, wheel->tick + 1, wheel->tick + QL_WHEEL_SLOTS - 1);
	slot = &wheel->slots[tick % QL_WHEEL_SLOTS];
	timer->next = *slot;
	timer->previous = slot;
	if (timer->next)
		timer->next->previous = &timer->next;
	*slot = timer;
	wheel->n_timers++;
}

void ql_wheel_init(ql_wheel_t *wheel, uint64_t now_ms)
{
	memset(wheel, 0, sizeof(*wheel));
	wheel->tick = now_ms / QL_WHEEL_SLOT_MS;
}

void ql_wheel_stop(ql_wheel_t *wheel, ql_wheel_timer_t *timer)
{
	if (!timer->previous)
		return;
	*timer->previous = timer->next;
	if (timer->next)
		timer->next->previous = timer->previous;
	timer->next = NULL;
	timer->previous = NULL;
	wheel->n_timers--;
}

void ql_wheel_start(ql_wheel_t *wheel, ql_wheel_timer_t *timer, uint64_t due_ms)
{
	ql_wheel_stop(wheel, timer);
	timer->due_ms = due_ms;
	link_timer(wheel, timer);
}

/* Calls what has run out in the present slot. */
static void run_slot(ql_wheel_t *wheel, uint64_t now_ms)
{
	ql_wheel_timer_t *list = NULL, *timer;
	ql_wheel_timer_t **slot = &wheel->slots[wheel->tick % QL_WHEEL_SLOTS];

	/* The list moves to a local head, as callbacks may start timers. */
	list = *slot;
	*slot = NULL;
	if (list)
		list->previous = &list;
	while ((timer = list)) {
		ql_wheel_stop(wheel, timer);
		if (timer->due_ms > now_ms)
			link_timer(wheel, timer);
		else
			timer->expired(timer->data);
	}
}

void ql_wheel_advance(ql_wheel_t *wheel, uint64_t now_ms)
{
	uint64_t tick = now_ms / QL_WHEEL_SLOT_MS;

	if (!wheel->n_timers) {
		wheel->tick = MAX(wheel->tick, tick);
		return;
	}
	/* After a long pause one turn reaches every slot. */
	if (tick > wheel->tick + QL_WHEEL_SLOTS)
		wheel->tick = tick - QL_WHEEL_SLOTS;
	while (wheel->tick < tick) {
		wheel->tick++;
		run_slot(wheel, now_ms);
	}
}

uint64_t ql_wheel_next_wakeup_ms(const ql_wheel_t *wheel)
{
	uint64_t tick;

	if (!wheel->n_timers)
		return UINT64_MAX;
	for (tick = wheel->tick + 1; tick < wheel->tick + QL_WHEEL_SLOTS;
	     tick++)
		if (wheel->slots[tick % QL_WHEEL_SLOTS])
			return tick * QL_WHEEL_SLOT_MS;
	return (wheel->tick + QL_WHEEL_SLOTS) * QL_WHEEL_SLOT_MS;
}
