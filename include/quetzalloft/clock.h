#ifndef QUETZALLOFT_CLOCK_H
#define QUETZALLOFT_CLOCK_H

/**
 * DOC: Clocks: monotonic time for intervals, a hybrid logical clock for the
 * order of events over all processes.
 */

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define QL_US_PER_MS 1000ULL
#define QL_US_PER_S 1000000ULL

/**
 * ql_clock_now_us() - Monotonic time.
 *
 * Return: microseconds since an arbitrary start.
 */
uint64_t ql_clock_now_us(void);

/**
 * struct ql_hlc - A hybrid logical clock.
 * @last: the newest timestamp; milliseconds of wall time in the upper 48 bits,
 *        a counter in the lower 16
 *
 * Safe to use from many threads.
 */
typedef struct ql_hlc {
	uint64_t last;
} ql_hlc_t;

void ql_hlc_init(ql_hlc_t *hlc);

/**
 * ql_hlc_tick() - Timestamp a local event.
 * @hlc: the clock
 * @wall_ms: wall time in milliseconds
 *
 * Return: a timestamp above every one that the clock gave or saw before.
 */
uint64_t ql_hlc_tick(ql_hlc_t *hlc, uint64_t wall_ms);

/**
 * ql_hlc_observe() - Take over a timestamp that a peer sent.
 * @hlc: the clock
 * @remote: the peer's timestamp
 * @wall_ms: wall time in milliseconds
 *
 * Wall clocks may differ by any amount, also from one that starts in 1970: the
 * order of events holds, and only the milliseconds of a stamp then run ahead
 * of the time of day. A timestamp that is more than QL_HLC_MAX_DRIFT_MS ahead
 * of @wall_ms comes from no clock; it is ignored, so that it cannot carry the
 * counter to its end.
 */
void ql_hlc_observe(ql_hlc_t *hlc, uint64_t remote, uint64_t wall_ms);

/** A thousand years. */
#define QL_HLC_MAX_DRIFT_MS 31557600000000ULL

/**
 * ql_clock_wall_ms() - Wall time.
 *
 * Return: milliseconds since the epoch.
 */
uint64_t ql_clock_wall_ms(void);

G_END_DECLS

#endif
