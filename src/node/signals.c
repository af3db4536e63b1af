#include "node/signals.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"
#include "quetzalloft/thread.h"

#include <signal.h>
#include <sysexits.h>
#include <unistd.h>

/* Part of the grace time that is reserved for the exit itself. */
#define EXIT_RESERVE_MS 150u

static void fill_signal_set(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

/*
 * The signal is logged by this thread, as the main thread may not be waiting
 * for it yet or any more.
 */
static void record_signal(ql_signals_t *signals, const char *event,
			  int received)
{
	ql_log(LOG_NOTICE, event, QL_INT("signal", received));
	pthread_mutex_lock(&signals->lock);
	if (received == SIGHUP)
		signals->reload = true;
	else
		signals->stop = true;
	pthread_cond_signal(&signals->signal_received);
	pthread_mutex_unlock(&signals->lock);
}

/* Exits the process when it has not stopped within the grace time. */
static void enforce_grace_time(ql_signals_t *signals)
{
	uint64_t grace_ms;

	pthread_mutex_lock(&signals->lock);
	grace_ms = signals->grace_ms;
	pthread_mutex_unlock(&signals->lock);
	g_usleep((grace_ms - MIN(grace_ms, EXIT_RESERVE_MS)) * QL_US_PER_MS);
	ql_log(LOG_ERR, "stop_overdue", QL_UINT("grace_ms", grace_ms));
	_exit(EX_TEMPFAIL);
}

static void *run_signal_thread(void *data)
{
	ql_signals_t *signals = data;
	sigset_t set;
	int received;

	fill_signal_set(&set);
	for (;;) {
		if (sigwait(&set, &received))
			continue;
		if (received != SIGHUP)
			break;
		record_signal(signals, "reload_requested", received);
	}
	record_signal(signals, "stop_requested", received);
	enforce_grace_time(signals);
	return NULL;
}

void ql_signals_start(ql_signals_t *signals, uint64_t grace_ms)
{
	sigset_t set;

	pthread_mutex_init(&signals->lock, NULL);
	ql_cond_init(&signals->signal_received);
	signals->reload = false;
	signals->stop = false;
	signals->grace_ms = grace_ms;
	fill_signal_set(&set);
	sigaddset(&set, SIGPIPE);
	/* A write beyond the limit of file sizes is to fail with EFBIG. */
	sigaddset(&set, SIGXFSZ);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signals->thread = g_thread_new("signals", run_signal_thread, signals);
	ql_log(LOG_NOTICE, "signals_taken", QL_UINT("grace_ms", grace_ms));
}

void ql_signals_set_grace(ql_signals_t *signals, uint64_t grace_ms)
{
	pthread_mutex_lock(&signals->lock);
	signals->grace_ms = grace_ms;
	pthread_mutex_unlock(&signals->lock);
}

ql_signal_t ql_signals_wait(ql_signals_t *signals, uint64_t timeout_us)
{
	uint64_t deadline_us = ql_clock_now_us() + timeout_us;
	ql_signal_t request = QL_SIGNAL_NONE;

	pthread_mutex_lock(&signals->lock);
	while (!signals->stop && !signals->reload &&
	       ql_clock_now_us() < deadline_us)
		ql_cond_wait_until(&signals->signal_received, &signals->lock,
				   deadline_us);
	if (signals->stop)
		request = QL_SIGNAL_STOP;
	else if (signals->reload)
		request = QL_SIGNAL_RELOAD;
	signals->reload = false;
	pthread_mutex_unlock(&signals->lock);
	return request;
}
