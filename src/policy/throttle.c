#include "quetzalloft/throttle.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/retry.h"
#include "util/mean.h"

#include <math.h>
#include <string.h>

/* Relative decrease of the share per second for each 1 of pressure above 1. */
#define SHARE_DECREASE_PER_S 0.3
/*
 * Relative increase of the share per second at a pressure of 0; it doubles with
 * each second since the last answer with a pressure above 1, up to the maximum.
 */
#define SHARE_INCREASE_PER_S 0.4
#define SHARE_INCREASE_MAX_PER_S 3.0
/*
 * The share changes with each answer, in proportion to the time since the
 * previous answer, up to this.
 */
#define ANSWER_INTERVAL_MAX_US (1 * QL_US_PER_S)
/* The share is kept above 0, so that it can grow again. */
#define SHARE_MIN 0.02
/*
 * Limit of the requests in progress: this multiple of those that the share
 * keeps in progress without queueing delay, plus the one request that every
 * route may have.
 */
#define IN_PROGRESS_HEADROOM 1.5
#define IN_PROGRESS_MIN 1
#define OFFERED_RATE_TIME_CONSTANT_S 1.0
#define UNCONGESTED_LATENCY_SMOOTHING 0.1
/*
 * While no request is in progress, one in each interval is admitted as a probe,
 * to detect the end of the overload. The interval doubles after each request
 * that is lost, up to the maximum.
 */
#define PROBE_INTERVAL_US (350 * QL_US_PER_MS)
#define PROBE_INTERVAL_MAX_US (1000 * QL_US_PER_MS)
/*
 * Mean retry delay of a refused request: a fraction of the latency target, or a
 * default for routes without a target.
 */
#define RETRY_AFTER_TARGET_FRACTION 0.4
#define RETRY_AFTER_DEFAULT_MS 1000.0

void ql_throttle_init(ql_throttle_t *throttle)
{
	memset(throttle, 0, sizeof(*throttle));
	throttle->share = 1;
	throttle->probe_interval_us = PROBE_INTERVAL_US;
}

static uint32_t retry_after_ms(uint64_t target_ms, GRand *random)
{
	double mean_ms =
		target_ms ? RETRY_AFTER_TARGET_FRACTION * (double)target_ms
			  : RETRY_AFTER_DEFAULT_MS;

	return MAX(ql_retry_after_ms(mean_ms, random), 1);
}

static void record_offer(ql_throttle_t *throttle, uint64_t now_us)
{
	double since_s =
		(double)(now_us - throttle->last_offered_us) / QL_US_PER_S;

	throttle->last_offered_us = now_us;
	throttle->offered_per_s *= exp(-since_s / OFFERED_RATE_TIME_CONSTANT_S);
	throttle->offered_per_s += 1 / OFFERED_RATE_TIME_CONSTANT_S;
}

/*
 * By Little's law, the rate of admitted requests times their latency without
 * queueing delay is the number of them in progress without queueing delay.
 */
static bool is_below_in_progress_limit(const ql_throttle_t *throttle)
{
	double uncongested = throttle->share * throttle->offered_per_s *
			     throttle->uncongested_latency_us / QL_US_PER_S;

	return throttle->share >= 1 ||
	       throttle->in_progress <
		       IN_PROGRESS_MIN / (1.0 + throttle->n_peers) +
			       IN_PROGRESS_HEADROOM * uncongested;
}

static bool is_probe_due(const ql_throttle_t *throttle, uint64_t now_us)
{
	return !throttle->in_progress &&
	       now_us - throttle->last_admitted_us >=
		       throttle->probe_interval_us * (1 + throttle->n_peers);
}

/* Decides on a request that has been counted, apart from a random choice. */
static ql_throttle_verdict_t decide(const ql_throttle_t *throttle,
				    ql_throttle_choice_t choice,
				    uint64_t now_us)
{
	if (is_probe_due(throttle, now_us))
		return QL_THROTTLE_PROBE;
	if (!is_below_in_progress_limit(throttle))
		return QL_THROTTLE_BUSY;
	if (choice == QL_THROTTLE_RANDOM)
		return QL_THROTTLE_CHANCE;
	return choice == QL_THROTTLE_TAKE ? QL_THROTTLE_IN_SHARE
					  : QL_THROTTLE_OUT_OF_SHARE;
}

static bool is_admitted(const ql_throttle_t *throttle,
			ql_throttle_verdict_t verdict, GRand *random)
{
	if (verdict == QL_THROTTLE_CHANCE)
		return g_rand_double(random) < throttle->share;
	return verdict == QL_THROTTLE_PROBE || verdict == QL_THROTTLE_IN_SHARE;
}

ql_throttle_verdict_t ql_throttle_look(const ql_throttle_t *throttle,
				       ql_throttle_choice_t choice,
				       uint64_t now_us)
{
	ql_throttle_t counted = *throttle;

	record_offer(&counted, now_us);
	return decide(&counted, choice, now_us);
}

ql_throttle_decision_t ql_throttle_offer(ql_throttle_t *throttle,
					 uint64_t target_ms, GRand *random,
					 uint64_t now_us)
{
	return ql_throttle_offer_chosen(throttle, QL_THROTTLE_RANDOM, target_ms,
					random, now_us);
}

ql_throttle_decision_t ql_throttle_offer_chosen(ql_throttle_t *throttle,
						ql_throttle_choice_t choice,
						uint64_t target_ms,
						GRand *random, uint64_t now_us)
{
	ql_throttle_decision_t decision = {0};

	record_offer(throttle, now_us);
	if (is_admitted(throttle, decide(throttle, choice, now_us), random)) {
		throttle->last_admitted_us = now_us;
		throttle->in_progress++;
		return decision;
	}
	decision.refuse = true;
	decision.retry_after_ms = retry_after_ms(target_ms, random);
	return decision;
}

/* Returns the relative change of the share per second. */
static double share_change_per_s(const ql_throttle_t *throttle, double pressure,
				 uint64_t now_us)
{
	double since_overload_s =
		(double)(now_us - throttle->last_overload_us) / QL_US_PER_S;
	double increase;

	if (pressure > 1)
		return -SHARE_DECREASE_PER_S *
		       (MIN(pressure, QL_PRESSURE_MAX) - 1);
	increase = MIN(SHARE_INCREASE_PER_S * exp2(since_overload_s),
		       SHARE_INCREASE_MAX_PER_S);
	return increase * (1 - pressure);
}

static void adapt_probe_interval(ql_throttle_t *throttle, double pressure)
{
	if (pressure >= QL_PRESSURE_MAX)
		throttle->probe_interval_us =
			MIN(2 * throttle->probe_interval_us,
			    PROBE_INTERVAL_MAX_US);
	else if (pressure <= 1)
		throttle->probe_interval_us = PROBE_INTERVAL_US;
}

void ql_throttle_record_answer(ql_throttle_t *throttle, double pressure,
			       uint64_t latency_us, uint64_t now_us)
{
	uint64_t since_us =
		MIN(now_us - throttle->last_answer_us, ANSWER_INTERVAL_MAX_US);
	double since_s = (double)since_us / QL_US_PER_S;
	double factor =
		exp(share_change_per_s(throttle, pressure, now_us) * since_s);

	throttle->last_answer_us = now_us;
	adapt_probe_interval(throttle, pressure);
	if (pressure > 1)
		throttle->last_overload_us = now_us;
	else
		throttle->uncongested_latency_us =
			ql_mean_update(throttle->uncongested_latency_us,
				       (double)latency_us,
				       UNCONGESTED_LATENCY_SMOOTHING);
	throttle->share = CLAMP(throttle->share * factor, SHARE_MIN, 1);
}

void ql_throttle_finish_request(ql_throttle_t *throttle)
{
	if (throttle->in_progress)
		throttle->in_progress--;
}
