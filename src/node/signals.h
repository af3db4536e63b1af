#ifndef QL_NODE_SIGNALS_H
#define QL_NODE_SIGNALS_H

/**
 * DOC: Signals of a process, handled by a thread of their own from the start
 * to the exit.
 *
 * A request to stop ends the process within the grace time, even when its
 * start, its drain or a service blocks, for instance on a disk that does not
 * respond or a peer that is unreachable. Whatever was acknowledged before is
 * on disk, as it is after a power failure.
 */

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_signals - The signal thread and the requests that it received.
 * @thread: waits for signals
 * @lock: guards the fields below
 * @signal_received: signalled when @reload or @stop was set
 * @reload: a request to reload the settings is pending
 * @stop: the process was requested to stop
 * @grace_ms: longest time in ms from the request to stop until the exit
 */
typedef struct ql_signals {
	GThread *thread;
	pthread_mutex_t lock;
	pthread_cond_t signal_received;
	bool reload;
	bool stop;
	uint64_t grace_ms;
} ql_signals_t;

/**
 * enum ql_signal - Request that a signal stands for.
 * @QL_SIGNAL_NONE: no request
 * @QL_SIGNAL_RELOAD: reload the settings (SIGHUP)
 * @QL_SIGNAL_STOP: stop the process (SIGTERM, SIGINT)
 */
typedef enum ql_signal {
	QL_SIGNAL_NONE,
	QL_SIGNAL_RELOAD,
	QL_SIGNAL_STOP,
} ql_signal_t;

/**
 * ql_signals_start() - Block the signals and start the thread that waits for
 * them.
 * @signals: memory that stays valid until the process exits
 * @grace_ms: longest time in ms from the request to stop until the exit
 *
 * Must be called before any other thread is started, so that each thread
 * inherits the signal mask. SIGPIPE is blocked too.
 */
void ql_signals_start(ql_signals_t *signals, uint64_t grace_ms);

/**
 * ql_signals_set_grace() - Change the grace time of a later request to stop.
 * @signals: the signals
 * @grace_ms: longest time in ms from the request to stop until the exit
 */
void ql_signals_set_grace(ql_signals_t *signals, uint64_t grace_ms);

/**
 * ql_signals_wait() - Wait for a request.
 * @signals: the signals
 * @timeout_us: longest time to wait, in microseconds
 *
 * A request to stop stays pending; one to reload is cleared.
 *
 * Return: the request, or QL_SIGNAL_NONE after @timeout_us.
 */
ql_signal_t ql_signals_wait(ql_signals_t *signals, uint64_t timeout_us);

G_END_DECLS

#endif
