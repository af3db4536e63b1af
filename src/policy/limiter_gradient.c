#include "limiter_internal.h"
#include "util/mean.h"

/* A window has at least this many samples, or as many as the limit if more. */
#define WINDOW_SAMPLES_MIN 40u
/* Samples whose mean latency is the result of a probe. */
#define PROBE_SAMPLES 50u
/*
 * No probe starts below this many requests in progress: halving fewer has no
 * measurable effect.
 */
#define PROBE_IN_PROGRESS_MIN 4.0
/*
 * After the start or end of a probe, samples are discarded for this many mean
 * latencies, until the requests admitted before have ended.
 */
#define PROBE_SETTLE_LATENCIES 2.0
/* Weight of a probe in the base latency; a single probe is noisy. */
#define PROBE_BASE_SMOOTHING 0.65
/*
 * The latency ratio of a probe is its mean latency divided by that of the
 * faster of the windows before and after it. Below this ratio the probe lowers
 * the limit.
 */
#define PROBE_FASTER_RATIO_MAX 0.75
/*
 * Up to this latency ratio, half the requests took about half the time:
 * requests were still queueing during the probe.
 */
#define PROBE_QUEUEING_RATIO_MAX 0.6
/* Above this latency ratio, halving the requests made no difference. */
#define PROBE_UNCHANGED_RATIO_MIN 0.9
/*
 * Windows between two probes: while the latency is high and the concurrency is
 * not verified, at the start, and at most.
 */
#define PROBE_INTERVAL_UNVERIFIED_WINDOWS 4u
#define PROBE_INTERVAL_INITIAL_WINDOWS 8u
#define PROBE_INTERVAL_MAX_WINDOWS 128u
/* Up to this multiple of the verified concurrency counts as verified. */
#define VERIFIED_CONCURRENCY_MARGIN 1.05
/* Tolerated latency, as a multiple of the base latency. */
#define LATENCY_TOLERANCE_RATIO 1.5
/* A probe lowers the limit to this multiple of the capacity that it shows. */
#define CAPACITY_HEADROOM_RATIO 1.25
/*
 * A growth step is the limit times the slack (see grow()), but at least
 * GROWTH_MIN_REQUESTS. Below GROWTH_SLACK_MIN the limit does not grow; above
 * GROWTH_SLACK_MAX the slack is cut.
 */
#define GROWTH_MIN_REQUESTS 0.5
#define GROWTH_SLACK_MIN 0.05
#define GROWTH_SLACK_MAX 0.25
/* Weight of a window in the base latency. */
#define BASE_LATENCY_SMOOTHING 0.2
/*
 * A window below this fraction of the base latency lowers the base even at high
 * concurrency; one above it may be noise.
 */
#define BASE_NOISE_RATIO_MIN 0.9

static void gradient_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.initial;
	limiter->probe_interval_windows = PROBE_INTERVAL_INITIAL_WINDOWS;
}

/*
 * Returns the tolerated latency divided by the mean latency: below 1 if
 * requests take too long.
 */
static double gradient_of(const ql_limiter_t *limiter)
{
	return LATENCY_TOLERANCE_RATIO * limiter->base_latency_us /
	       limiter->mean_latency_us;
}

static void start_probe(ql_limiter_t *limiter, double in_progress,
			uint64_t now_us)
{
	limiter->probe_limit = MAX((uint32_t)(in_progress / 2), 1);
	limiter->changed_us = now_us;
	limiter->windows = 0;
}

/*
 * By Little's law, the number of requests served concurrently is the number in
 * progress times the fraction of the latency that is not queueing delay.
 */
static void shrink_to_capacity(ql_limiter_t *limiter, double in_progress)
{
	double capacity = in_progress * limiter->base_latency_us /
			  limiter->mean_latency_us;

	limiter->limit =
		MIN(limiter->limit, CAPACITY_HEADROOM_RATIO * capacity);
	ql_limiter__clamp(limiter);
}

static void end_probe(ql_limiter_t *limiter, double latency_us, uint64_t now_us)
{
	limiter->probe_latency_us = latency_us;
	limiter->probe_limit = 0;
	limiter->changed_us = now_us;
}

/*
 * Compares the latency of a probe with the window after it, or with the one
 * before it if that was faster, so that a service that became faster in the
 * meantime does not distort the result.
 *
 * If the endpoint queues requests, half as many take half the time. If the
 * latency fell by less, there was no queueing during the probe, and its latency
 * is the service time.
 */
static void evaluate_probe(ql_limiter_t *limiter, double in_progress)
{
	double latency_us = limiter->probe_latency_us;
	double latency_ratio = latency_us / limiter->mean_latency_us;

	limiter->probe_latency_us = 0;
	if (latency_ratio > PROBE_QUEUEING_RATIO_MAX ||
	    latency_us < limiter->base_latency_us)
		limiter->base_latency_us =
			ql_mean_update(limiter->base_latency_us, latency_us,
				       PROBE_BASE_SMOOTHING);
	if (latency_ratio < PROBE_FASTER_RATIO_MAX) {
		limiter->verified_concurrency = 0;
		shrink_to_capacity(limiter, in_progress);
	} else {
		limiter->verified_concurrency =
			latency_ratio > PROBE_UNCHANGED_RATIO_MIN ? in_progress
								  : 0;
		limiter->probe_interval_windows =
			MIN(2 * limiter->probe_interval_windows,
			    PROBE_INTERVAL_MAX_WINDOWS);
	}
}

/*
 * Raises the limit in steps that shrink, and finally end, as the latency
 * approaches the tolerated multiple of the base latency.
 */
static void grow(ql_limiter_t *limiter)
{
	double slack =
		CLAMP((gradient_of(limiter) - 1) / 2, 0, GROWTH_SLACK_MAX);

	if (slack < GROWTH_SLACK_MIN)
		return;
	limiter->limit += MAX(GROWTH_MIN_REQUESTS, limiter->limit * slack);
	ql_limiter__clamp(limiter);
}

static void update_base_latency(ql_limiter_t *limiter, double latency_us)
{
	limiter->base_latency_us =
		ql_mean_update(limiter->base_latency_us, latency_us,
			       BASE_LATENCY_SMOOTHING);
}

/*
 * Returns true if a probe showed that this many requests are served
 * concurrently, so that a higher latency is due to the service itself or its
 * downstream calls, not to queueing.
 */
static bool is_verified(const ql_limiter_t *limiter, double in_progress)
{
	return in_progress <=
	       VERIFIED_CONCURRENCY_MARGIN * limiter->verified_concurrency;
}

static uint32_t probe_interval_windows(const ql_limiter_t *limiter,
				       double in_progress)
{
	return gradient_of(limiter) < 1 && !is_verified(limiter, in_progress)
		       ? PROBE_INTERVAL_UNVERIFIED_WINDOWS
		       : limiter->probe_interval_windows;
}

static void end_window(ql_limiter_t *limiter, double latency_us,
		       double in_progress, uint64_t now_us)
{
	bool is_limit_in_use = 2 * in_progress >= limiter->limit;
	bool is_evaluating = limiter->probe_latency_us > 0;

	limiter->mean_latency_us =
		is_evaluating ? MIN(limiter->mean_latency_us, latency_us)
			      : latency_us;
	limiter->windows++;
	if (is_evaluating) {
		evaluate_probe(limiter, in_progress);
		return;
	}
	if (!is_limit_in_use || in_progress < PROBE_IN_PROGRESS_MIN ||
	    is_verified(limiter, in_progress) ||
	    latency_us < BASE_NOISE_RATIO_MIN * limiter->base_latency_us ||
	    limiter->base_latency_us <= 0)
		update_base_latency(limiter, latency_us);
	if (!is_limit_in_use)
		return;
	if (in_progress >= PROBE_IN_PROGRESS_MIN &&
	    limiter->windows >= probe_interval_windows(limiter, in_progress))
		start_probe(limiter, in_progress, now_us);
	else
		grow(limiter);
}

/*
 * Returns true while samples are discarded after the start or end of a probe.
 * They are discarded by their end time: by start time, the first samples kept
 * would be the fastest requests.
 */
static bool is_settling(const ql_limiter_t *limiter, uint64_t now_us)
{
	return (limiter->probe_limit || limiter->probe_latency_us > 0) &&
	       (double)(now_us - limiter->changed_us) <
		       PROBE_SETTLE_LATENCIES * limiter->mean_latency_us;
}

static uint32_t window_samples(const ql_limiter_t *limiter)
{
	if (limiter->probe_limit)
		return PROBE_SAMPLES;
	return MAX(WINDOW_SAMPLES_MIN, (uint32_t)limiter->limit);
}

static void gradient_sample(ql_limiter_t *limiter,
			    const ql_limiter_sample_t *sample, uint64_t now_us)
{
	double latency_us, in_progress;

	/* The endpoint shed it: too many requests are in progress. */
	if (sample->overloaded && !sample->timed_out) {
		ql_limiter__back_off(limiter, now_us);
		return;
	}
	/* Admitted too late: its deadline cut its service time short. */
	if (sample->timed_out &&
	    (double)sample->latency_us < limiter->base_latency_us)
		return;
	if (is_settling(limiter, now_us))
		return;
	limiter->sum_latency_us += (double)sample->latency_us;
	limiter->sum_in_progress += sample->in_progress;
	if (++limiter->samples < window_samples(limiter))
		return;
	latency_us = limiter->sum_latency_us / limiter->samples;
	in_progress = limiter->sum_in_progress / limiter->samples;
	limiter->samples = 0;
	limiter->sum_latency_us = 0;
	limiter->sum_in_progress = 0;
	if (limiter->probe_limit)
		end_probe(limiter, latency_us, now_us);
	else
		end_window(limiter, latency_us, in_progress, now_us);
}

const ql_limiter_ops_t ql_limiter_gradient = {"gradient", gradient_init,
					      gradient_sample};
