#ifndef QUETZALLOFT_THREAD_H
#define QUETZALLOFT_THREAD_H

/**
 * DOC: Conditions on the monotonic clock. Locks are plain pthread mutexes and
 * not those of GLib, since the thread sanitizer does not see the latter.
 */

#include <glib.h>
#include <pthread.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * ql_cond_init() - Prepare a condition that waits on the monotonic clock.
 * @cond: the condition
 */
void ql_cond_init(pthread_cond_t *cond);

/**
 * ql_cond_wait_until() - Wait for a signal or a time.
 * @cond: the condition
 * @lock: held by the caller
 * @until_us: the time, see ql_clock_now_us(); UINT64_MAX waits without end
 */
void ql_cond_wait_until(pthread_cond_t *cond, pthread_mutex_t *lock,
			uint64_t until_us);

G_END_DECLS

#endif
