#include "path/key_watch.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"

#include <string.h>

#define WATCH_PERIOD_MS 500u

static void log_change(const ql_key_watch_t *watch, uint64_t age_ms)
{
	uint64_t version = watch->front->doc->version;
	uint64_t refused = ql_counter_value(watch->front->opts.counters,
					    QL_COUNT_KEYS_NOT_CURRENT);

	if (watch->proven)
		ql_log(LOG_NOTICE, "key_proof_regained",
		       QL_UINT("version", version), QL_UINT("age_ms", age_ms),
		       QL_UINT("refused", refused));
	else
		ql_log(LOG_WARNING, "key_proof_lost",
		       QL_UINT("version", version), QL_UINT("age_ms", age_ms),
		       QL_UINT("refused", refused));
}

static void look(ql_key_watch_t *watch)
{
	uint64_t now_ms = ql_clock_boot_ms();
	uint64_t age_ms = ql_key_lease_age_ms(&watch->front->key_lease, now_ms);
	bool proven = ql_front_keys_are_current(watch->front, now_ms);

	ql_gauge_set(watch->front->opts.counters, QL_GAUGE_KEY_PROOF_AGE_MS,
		     age_ms);
	if (proven == watch->proven)
		return;
	watch->proven = proven;
	log_change(watch, age_ms);
}

static void on_timer(void *data)
{
	ql_key_watch_t *watch = data;

	if (watch->front->doc)
		look(watch);
	ql_loop_start_timer(watch->loop, &watch->timer, WATCH_PERIOD_MS);
}

void ql_key_watch_start(ql_key_watch_t *watch, ql_loop_t *loop,
			ql_front_t *front)
{
	memset(watch, 0, sizeof(*watch));
	watch->loop = loop;
	watch->front = front;
	watch->proven = true;
	watch->timer.expired = on_timer;
	watch->timer.data = watch;
	if (front->opts.key_lease_ms)
		ql_loop_start_timer(loop, &watch->timer, WATCH_PERIOD_MS);
}

void ql_key_watch_stop(ql_key_watch_t *watch)
{
	ql_loop_stop_timer(watch->loop, &watch->timer);
}
