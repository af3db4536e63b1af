#ifndef QUETZALLOFT_WHEEL_H
#define QUETZALLOFT_WHEEL_H

/**
 * DOC: A timer wheel, for many timers that are mostly stopped before they
 * expire. The caller passes the time. Starting and stopping a timer take
 * constant time.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Slots of a wheel. */
#define QL_WHEEL_SLOTS 256u
/** Time span of a slot; a timer expires up to this much late. */
#define QL_WHEEL_SLOT_MS 4u

typedef struct ql_wheel_timer ql_wheel_timer_t;

/**
 * struct ql_wheel_timer - A timer, embedded in an object of the caller.
 * @next: next timer of the slot, or NULL
 * @previous: pointer that points to this timer: the head of the slot's list or
 *            @next of the previous timer; NULL if the timer is stopped
 * @due_ms: time at which the timer expires
 * @expired: called when the timer has expired; may start or stop any timer
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
 * struct ql_wheel - A timer wheel. Not thread-safe.
 * @slots: lists of timers, by the tick at which they are checked modulo
 *         QL_WHEEL_SLOTS
 * @tick: current time in units of QL_WHEEL_SLOT_MS
 * @n_timers: number of running timers
 */
typedef struct ql_wheel {
	ql_wheel_timer_t *slots[QL_WHEEL_SLOTS];
	uint64_t tick;
	uint32_t n_timers;
} ql_wheel_t;

/**
 * ql_wheel_init() - Initialize a wheel without timers.
 * @wheel: the wheel
 * @now_ms: current time in milliseconds of any monotonic clock
 */
void ql_wheel_init(ql_wheel_t *wheel, uint64_t now_ms);

/**
 * ql_wheel_start() - Start a timer, or restart a running one.
 * @wheel: the wheel
 * @timer: the timer, with @expired and @data set and the other fields zero
 *         before the first start; borrowed until it expires or is stopped
 * @due_ms: time at which the timer expires
 */
void ql_wheel_start(ql_wheel_t *wheel, ql_wheel_timer_t *timer,
		    uint64_t due_ms);

/**
 * ql_wheel_stop() - Stop a timer. Stopping a stopped timer has no effect.
 * @wheel: the wheel
 * @timer: the timer
 */
void ql_wheel_stop(ql_wheel_t *wheel, ql_wheel_timer_t *timer);

/**
 * ql_wheel_advance() - Advance the time and call @expired of the timers that
 * have expired.
 * @wheel: the wheel
 * @now_ms: current time in milliseconds; a time in the past has no effect
 */
void ql_wheel_advance(ql_wheel_t *wheel, uint64_t now_ms);

/**
 * ql_wheel_next_wakeup_ms() - Get the time at which to call ql_wheel_advance().
 * @wheel: the wheel
 *
 * Return: time in milliseconds, not after the next timer expires by more than
 * QL_WHEEL_SLOT_MS; UINT64_MAX if no timer runs.
 */
uint64_t ql_wheel_next_wakeup_ms(const ql_wheel_t *wheel);

G_END_DECLS

#endif
