#include "quetzalloft/thread.h"
#include "quetzalloft/clock.h"

#include <time.h>

#define NS_PER_US 1000

void ql_cond_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
}

void ql_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			uint64_t until_us)
{
	struct timespec until = {
		.tv_sec = (time_t)(until_us / QL_US_PER_S),
		.tv_nsec = (long)(until_us % QL_US_PER_S) * NS_PER_US,
	};

	if (until_us == UINT64_MAX)
		pthread_cond_wait(cond, lock);
	else
		pthread_cond_timedwait(cond, lock, &until);
}
