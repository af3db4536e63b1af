#include "node/signals.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"
#include "quetzalloft/thread.h"

#include <signal.h>
#include <sysexits.h>
#include <unistd.h>

/* Kept of the grace time for the exit itself. */
#define EXIT_MS 150u

static void fill(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
}

/* Told here, as nobody may be there to look at it. */
static void tell(ql_signals_t *signals, const char *event, int received)
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

/* Runs on until the process has ended, or ends it. */
static void end_in_time(ql_signals_t *signals)
{
	uint64_t grace_ms;

	pthread_mutex_lock(&signals->lock);
	grace_ms = signals->grace_ms;
	pthread_mutex_unlock(&signals->lock);
	g_usleep((grace_ms - MIN(grace_ms, EXIT_MS)) * QL_US_PER_MS);
	ql_log(LOG_ERR, "stop_overdue", QL_UINT("grace_ms", grace_ms));
	_exit(EX_TEMPFAIL);
}

static void *take(void *data)
{
	ql_signals_t *signals = data;
	sigset_t set;
	int received;

	fill(&set);
	for (;;) {
		if (sigwait(&set, &received))
			continue;
		if (received != SIGHUP)
			break;
		tell(signals, "reload_requested", received);
	}
	tell(signals, "stop_requested", received);
	end_in_time(signals);
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
	fill(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signals->thread = g_thread_new("signals", take, signals);
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
	uint64_t until_us = ql_clock_now_us() + timeout_us;
	ql_signal_t asked = QL_SIGNAL_NONE;

	pthread_mutex_lock(&signals->lock);
	while (!signals->stop && !signals->reload &&
	       ql_clock_now_us() < until_us)
		ql_cond_wait_until(&signals->signal_received, &signals->lock,
				   until_us);
	if (signals->stop)
		asked = QL_SIGNAL_STOP;
	else if (signals->reload)
		asked = QL_SIGNAL_RELOAD;
	signals->reload = false;
	pthread_mutex_unlock(&signals->lock);
	return asked;
}
