#include "quetzalloft/throttle.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/retry.h"
#include "util/mean.h"

#include <math.h>
#include <string.h>

/* How fast the share falls, for each 1 that the pressure is above 1. */
#define FALL_PER_S 0.3
/* How fast it grows without pressure; twice as fast after each clear second. */
#define GROWTH_PER_S 0.4
#define GROWTH_MAX_PER_S 3.0
/* An answer stands for the time since the last one, up to this. */
#define ANSWER_MAX_US (1 * QL_US_PER_S)
#define SHARE_MIN 0.02
/* Requests in progress, by what the share keeps there when nothing waits, and
 * the one that a slow route may have in any case. */
#define IN_PROGRESS_HEADROOM 1.5
#define IN_PROGRESS_MIN 1
#define OFFERED_SMOOTHING_S 1.0
#define CLEAR_SMOOTHING 0.1
/* One request at least is on its way, to show whether the pressure has gone;
 * twice as rarely after each one that was lost. */
#define PROBE_US (350 * QL_US_PER_MS)
#define PROBE_MAX_US (1000 * QL_US_PER_MS)
/* The mean wait of a refused request: of its target, or where it has none. */
#define RETRY_AFTER_TARGET_PART 0.4
#define RETRY_AFTER_MS 1000.0

void ql_throttle_init(ql_throttle_t *throttle)
{
	memset(throttle, 0, sizeof(*throttle));
	throttle->share = 1;
	throttle->probe_interval_us = PROBE_US;
}

static uint32_t retry_after_ms(uint64_t target_ms, GRand *random)
{
	double mean_ms = target_ms ? RETRY_AFTER_TARGET_PART * (double)target_ms
				   : RETRY_AFTER_MS;

	return MAX(ql_retry_after_ms(mean_ms, random), 1);
}

static void count_offer(ql_throttle_t *throttle, uint64_t now_us)
{
	double since_s =
		(double)(now_us - throttle->last_offered_us) / QL_US_PER_S;

	throttle->last_offered_us = now_us;
	throttle->offered_per_s *= exp(-since_s / OFFERED_SMOOTHING_S);
	throttle->offered_per_s += 1 / OFFERED_SMOOTHING_S;
}

/* By Little's law. */
static bool has_room(const ql_throttle_t *throttle)
{
	double usual = throttle->share * throttle->offered_per_s *
		       throttle->uncongested_latency_us / QL_US_PER_S;

	return throttle->share >= 1 ||
	       throttle->in_progress <
		       IN_PROGRESS_MIN + IN_PROGRESS_HEADROOM * usual;
}

static bool is_let_through(const ql_throttle_t *throttle, GRand *random,
			   uint64_t now_us)
{
	if (!throttle->in_progress &&
	    now_us - throttle->last_admitted_us >= throttle->probe_interval_us)
		return true;
	return has_room(throttle) && g_rand_double(random) < throttle->share;
}

ql_throttle_decision_t ql_throttle_offer(ql_throttle_t *throttle,
					 uint64_t target_ms, GRand *random,
					 uint64_t now_us)
{
	ql_throttle_decision_t decision = {0};

	count_offer(throttle, now_us);
	if (is_let_through(throttle, random, now_us)) {
		throttle->last_admitted_us = now_us;
		throttle->in_progress++;
		return decision;
	}
	decision.refuse = true;
	decision.retry_after_ms = retry_after_ms(target_ms, random);
	return decision;
}

/* The part by which the share moves each second. */
static double speed(const ql_throttle_t *throttle, double pressure,
		    uint64_t now_us)
{
	double clear_s =
		(double)(now_us - throttle->last_overload_us) / QL_US_PER_S;
	double growth;

	if (pressure > 1)
		return -FALL_PER_S * (MIN(pressure, QL_PRESSURE_MAX) - 1);
	growth = MIN(GROWTH_PER_S * exp2(clear_s), GROWTH_MAX_PER_S);
	return growth * (1 - pressure);
}

static void space_probes(ql_throttle_t *throttle, double pressure)
{
	if (pressure >= QL_PRESSURE_MAX)
		throttle->probe_interval_us =
			MIN(2 * throttle->probe_interval_us, PROBE_MAX_US);
	else if (pressure <= 1)
		throttle->probe_interval_us = PROBE_US;
}

void ql_throttle_record_answer(ql_throttle_t *throttle, double pressure,
			       uint64_t latency_us, uint64_t now_us)
{
	uint64_t since_us =
		MIN(now_us - throttle->last_answer_us, ANSWER_MAX_US);
	double since_s = (double)since_us / QL_US_PER_S;
	double factor = exp(speed(throttle, pressure, now_us) * since_s);

	throttle->last_answer_us = now_us;
	space_probes(throttle, pressure);
	if (pressure > 1)
		throttle->last_overload_us = now_us;
	else
		throttle->uncongested_latency_us =
			ql_mean_moved(throttle->uncongested_latency_us,
				      (double)latency_us, CLEAR_SMOOTHING);
	throttle->share = CLAMP(throttle->share * factor, SHARE_MIN, 1);
}

void ql_throttle_end(ql_throttle_t *throttle)
{
	if (throttle->in_progress)
		throttle->in_progress--;
}
