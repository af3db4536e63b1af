#ifndef QUETZALLOFT_WHEEL_H
#define QUETZALLOFT_WHEEL_H

/**
 * DOC: A timer wheel: many timers that are mostly stopped before they are due.
 * It has no clock of its own. Starting and stopping take constant time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define QL_WHEEL_SLOTS 256u
/** Width of a slot; a timer runs out up to so much late. */
#define QL_WHEEL_SLOT_MS 4u

typedef struct ql_wheel_timer ql_wheel_timer_t;

/**
 * struct ql_wheel_timer - A timer; part of the caller's object.
 * @next: in its slot
 * @previous: in its slot; NULL when it does not run
 * @due_ms: when it runs out
 * @expired: called when it has run out; may start or stop any timer
 * @data: passed to @expired
 */
struct ql_wheel_timer {
	ql_wheel_timer_t *next;
	ql_wheel_timer_t **previous;
	uint64_t due_ms;
	void (*expired)(void *data);
	void *data;
};

/**
 * struct ql_wheel - The wheel.
 * @slots: lists of timers by the time at which they are looked at
 * @tick: slots that time has passed since the start of the clock
 * @n_timers: timers that run
 */
typedef struct ql_wheel {
	ql_wheel_timer_t *slots[QL_WHEEL_SLOTS];
	uint64_t tick;
	uint32_t n_timers;
} ql_wheel_t;

/**
 * ql_wheel_init() - Prepare a wheel without timers.
 * @wheel: the wheel
 * @now_ms: the time
 */
void ql_wheel_init(ql_wheel_t *wheel, uint64_t now_ms);

/**
 * ql_wheel_start() - Start a timer, or move it when it runs.
 * @wheel: the wheel
 * @timer: with @expired and @data set, zeros before its first start
 * @due_ms: when it runs out
 */
void ql_wheel_start(ql_wheel_t *wheel, ql_wheel_timer_t *timer,
		    uint64_t due_ms);

/**
 * ql_wheel_stop() - Stop a timer; one that does not run is ignored.
 * @wheel: the wheel
 * @timer: the timer
 */
void ql_wheel_stop(ql_wheel_t *wheel, ql_wheel_timer_t *timer);

/**
 * ql_wheel_advance() - Let time pass and call what has run out.
 * @wheel: the wheel
 * @now_ms: the time
 */
void ql_wheel_advance(ql_wheel_t *wheel, uint64_t now_ms);

/**
 * ql_wheel_next_wakeup_ms() - When ql_wheel_advance() is to be called.
 * @wheel: the wheel
 *
 * Return: a time, at which a timer may have run out; UINT64_MAX without timers.
 */
uint64_t ql_wheel_next_wakeup_ms(const ql_wheel_t *wheel);

G_END_DECLS

#endif
