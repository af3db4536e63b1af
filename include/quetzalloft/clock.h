#ifndef QUETZALLOFT_CLOCK_H
#define QUETZALLOFT_CLOCK_H

/**
 * DOC: Clocks: a monotonic clock for intervals, one that also counts the time
 * in which the machine is suspended, the wall clock, and a hybrid logical clock
 * that orders the events of all processes.
 */

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/** Microseconds per millisecond. */
#define QL_US_PER_MS 1000ULL
/** Microseconds per second. */
#define QL_US_PER_S 1000000ULL

/**
 * ql_clock_now_us() - Read the monotonic clock.
 *
 * Return: microseconds since an arbitrary start.
 */
uint64_t ql_clock_now_us(void);

/**
 * ql_clock_boot_us() - Read the clock that counts since the start of the
 * machine, including the time in which the machine was suspended. A permission
 * that ends at a time is checked against this clock.
 *
 * Return: microseconds since the start of the machine.
 */
uint64_t ql_clock_boot_us(void);

/**
 * ql_clock_boot_ms() - Read the clock of ql_clock_boot_us() in milliseconds.
 *
 * Return: milliseconds since the start of the machine.
 */
uint64_t ql_clock_boot_ms(void);

/**
 * struct ql_hlc - A hybrid logical clock. Thread-safe.
 * @last: highest timestamp issued or observed: milliseconds of wall time in the
 *        upper 48 bits, a counter in the lower 16
 */
typedef struct ql_hlc {
	uint64_t last;
} ql_hlc_t;

/**
 * ql_hlc_init() - Initialize a clock that has issued no timestamp.
 * @hlc: the clock
 */
void ql_hlc_init(ql_hlc_t *hlc);

/**
 * ql_hlc_tick() - Issue the timestamp of a local event.
 * @hlc: the clock
 * @wall_ms: wall time in milliseconds since the epoch
 *
 * Return: a timestamp above all that the clock has issued or observed.
 */
uint64_t ql_hlc_tick(ql_hlc_t *hlc, uint64_t wall_ms);

/**
 * ql_hlc_observe() - Advance the clock beyond a timestamp received from a peer.
 * @hlc: the clock
 * @remote: timestamp of the peer
 * @wall_ms: wall time in milliseconds since the epoch
 *
 * The wall clocks of peers may differ by any amount, also if one of them starts
 * in 1970: the order of events is still correct, and only the milliseconds of a
 * timestamp are then ahead of the wall time. A timestamp more than
 * QL_HLC_MAX_DRIFT_MS ahead of @wall_ms cannot come from a valid clock. It is
 * ignored, as it could make the 64-bit timestamp overflow.
 */
void ql_hlc_observe(ql_hlc_t *hlc, uint64_t remote, uint64_t wall_ms);

/** Maximum lead of a peer's timestamp over the wall time: a thousand years. */
#define QL_HLC_MAX_DRIFT_MS 31557600000000ULL

/**
 * ql_clock_wall_ms() - Read the wall clock.
 *
 * Return: milliseconds since the epoch.
 */
uint64_t ql_clock_wall_ms(void);

G_END_DECLS

#endif
