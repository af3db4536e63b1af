#include "quetzalloft/clock.h"

#include <time.h>

#define COUNTER_BITS 16
#define NS_PER_US 1000

uint64_t ql_clock_now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

uint64_t ql_clock_boot_us(void)
{
	struct timespec now;

	if (clock_gettime(CLOCK_BOOTTIME, &now))
		g_error("clock_gettime() does not support CLOCK_BOOTTIME");
	return (uint64_t)now.tv_sec * QL_US_PER_S +
	       (uint64_t)now.tv_nsec / NS_PER_US;
}

uint64_t ql_clock_boot_ms(void)
{
	return ql_clock_boot_us() / QL_US_PER_MS;
}

uint64_t ql_clock_wall_ms(void)
{
	return (uint64_t)g_get_real_time() / QL_US_PER_MS;
}

void ql_hlc_init(ql_hlc_t *hlc)
{
	hlc->last = 0;
}

static uint64_t advance_to(ql_hlc_t *hlc, uint64_t at_least)
{
	uint64_t last = __atomic_load_n(&hlc->last, __ATOMIC_RELAXED);
	uint64_t next;

	do {
		next = last + 1 > at_least ? last + 1 : at_least;
	} while (!__atomic_compare_exchange_n(&hlc->last, &last, next, 0,
					      __ATOMIC_ACQ_REL,
					      __ATOMIC_RELAXED));
	return next;
}

uint64_t ql_hlc_tick(ql_hlc_t *hlc, uint64_t wall_ms)
{
	return advance_to(hlc, wall_ms << COUNTER_BITS);
}

void ql_hlc_observe(ql_hlc_t *hlc, uint64_t remote, uint64_t wall_ms)
{
	if ((remote >> COUNTER_BITS) > wall_ms + QL_HLC_MAX_DRIFT_MS)
		return;
	advance_to(hlc, remote);
}
