#ifndef QUETZALLOFT_THREAD_H
#define QUETZALLOFT_THREAD_H

/**
 * DOC: Condition variables that use the monotonic clock. Locks are pthread
 * mutexes and not those of GLib, which the thread sanitizer does not detect.
 */

#include <glib.h>
#include <pthread.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * ql_cond_init() - Initialize a condition variable on the monotonic clock.
 * @cond: the condition variable
 */
void ql_cond_init(pthread_cond_t *cond);

/**
 * ql_cond_wait_until() - Wait for a signal, but not beyond a deadline. May also
 * return spuriously.
 * @cond: the condition variable, initialized with ql_cond_init()
 * @lock: mutex held by the caller; released during the wait
 * @until_us: the deadline, see ql_clock_now_us(); UINT64_MAX for none
 */
void ql_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			uint64_t until_us);

G_END_DECLS

#endif
