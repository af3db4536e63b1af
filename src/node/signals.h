#ifndef QL_NODE_SIGNALS_H
#define QL_NODE_SIGNALS_H

/**
 * DOC: The signals of a process, taken by a thread of their own from before its
 * start until its exit.
 *
 * A request to stop ends the process within its grace time, whatever its start,
 * its drain or one of its duties waits for: a disk that answers nothing, a peer
 * that is cut off. What was acknowledged is on disk by then, as it is when the
 * power goes.
 */

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_signals - The thread and what it was told.
 * @thread: takes the signals
 * @lock: held for what follows
 * @signal_received: signalled when a signal has come
 * @reload: the settings are to be read again
 * @stop: the process is to stop
 * @grace_ms: longest time between the request to stop and the exit
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
 * enum ql_signal - What a signal asks for.
 * @QL_SIGNAL_NONE: there was none
 * @QL_SIGNAL_RELOAD: to read the settings again
 * @QL_SIGNAL_STOP: to stop
 */
typedef enum ql_signal {
	QL_SIGNAL_NONE,
	QL_SIGNAL_RELOAD,
	QL_SIGNAL_STOP,
} ql_signal_t;

/**
 * ql_signals_start() - Take the signals from now on.
 * @signals: on memory that lasts until the exit
 * @grace_ms: longest time between the request to stop and the exit
 *
 * To be called before any other thread is begun: they inherit the mask.
 */
void ql_signals_start(ql_signals_t *signals, uint64_t grace_ms);

/**
 * ql_signals_set_grace() - Change the grace time of a stop to come.
 */
void ql_signals_set_grace(ql_signals_t *signals, uint64_t grace_ms);

/**
 * ql_signals_wait() - Wait for a signal.
 * @signals: the signals
 * @timeout_us: how long at most
 *
 * Return: what it asks for.
 */
ql_signal_t ql_signals_wait(ql_signals_t *signals, uint64_t timeout_us);

G_END_DECLS

#endif
