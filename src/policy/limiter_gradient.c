#include "limiter_internal.h"
#include "util/mean.h"

/* A window has at least so many samples, and one for each request allowed. */
#define WINDOW_SAMPLES 40u
#define PROBE_SAMPLES 50u
/* Fewer requests in progress than that cannot be halved with any effect. */
#define PROBE_MIN_IN_PROGRESS 4.0
/* Latencies until the requests from before the probe have ended. */
#define PROBE_SETTLE 2.0
/* How much of what a probe shows the base takes over; one alone is noisy. */
#define PROBE_SMOOTHING 0.65
/* A probe helped if it lowered the latency to less than this part. */
#define PROBE_HELPED 0.75
/* Down to this part, half the requests halved the latency: they still wait. */
#define PROBE_QUEUED 0.6
/* Over this part, half the requests made no difference. */
#define PROBE_VERIFIED 0.9
/* Windows between two probes: in doubt, at the start, and in the long run. */
#define PROBE_GAP_DOUBT 4u
#define PROBE_GAP_FIRST 8u
#define PROBE_GAP_MAX 128u
/* By how much more requests may be in progress than in the last probe. */
#define VERIFIED_MARGIN 1.05
#define TOLERANCE 1.5
/* Where a probe that helped puts the limit, by the capacity that it shows. */
#define CAPACITY_HEADROOM 1.25
#define GROWTH_MIN 0.5
#define GROWTH_MIN_SLACK 0.05
#define GROWTH_MAX_PART 0.25
#define BASE_SMOOTHING 0.2
/* A mean that is not below this part of the base is noise. */
#define BASE_NOISE 0.9

static void gradient_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.initial;
	limiter->probe_interval_windows = PROBE_GAP_FIRST;
}

static double gradient_of(const ql_limiter_t *limiter)
{
	return TOLERANCE * limiter->base_latency_us / limiter->mean_latency_us;
}

static void start_probe(ql_limiter_t *limiter, double in_progress,
			uint64_t now_us)
{
	limiter->probe_limit = MAX((uint32_t)(in_progress / 2), 1);
	limiter->changed_us = now_us;
	limiter->windows = 0;
}

/*
 * By Little's law, as many requests are really served at a time as are in
 * progress, less the part of the latency that is waiting.
 */
static void shrink(ql_limiter_t *limiter, double in_progress)
{
	double capacity = in_progress * limiter->base_latency_us /
			  limiter->mean_latency_us;

	limiter->limit = MIN(limiter->limit, CAPACITY_HEADROOM * capacity);
	ql_limiter__clamp(limiter);
}

static void end_probe(ql_limiter_t *limiter, double latency_us, uint64_t now_us)
{
	limiter->probe_latency_us = latency_us;
	limiter->probe_limit = 0;
	limiter->changed_us = now_us;
}

/*
 * Compares a probe with the window after it, or with the one before if that
 * was faster: a service that became faster meanwhile does not mislead.
 *
 * Requests that wait for each other are served twice as fast when there are
 * half as many. If the latency fell by less, the probe ran without waiting
 * and shows how long the service takes by itself.
 */
static void judge_probe(ql_limiter_t *limiter, double in_progress)
{
	double latency_us = limiter->probe_latency_us;
	double part = latency_us / limiter->mean_latency_us;

	limiter->probe_latency_us = 0;
	if (part > PROBE_QUEUED || latency_us < limiter->base_latency_us)
		limiter->base_latency_us =
			ql_mean_moved(limiter->base_latency_us, latency_us,
				      PROBE_SMOOTHING);
	if (part < PROBE_HELPED) {
		limiter->verified_concurrency = 0;
		shrink(limiter, in_progress);
	} else {
		limiter->verified_concurrency =
			part > PROBE_VERIFIED ? in_progress : 0;
		limiter->probe_interval_windows =
			MIN(2 * limiter->probe_interval_windows, PROBE_GAP_MAX);
	}
}

/* Grows in small steps, and no more, as the latency nears what is tolerated. */
static void grow(ql_limiter_t *limiter)
{
	double slack =
		CLAMP((gradient_of(limiter) - 1) / 2, 0, GROWTH_MAX_PART);

	if (slack < GROWTH_MIN_SLACK)
		return;
	limiter->limit += MAX(GROWTH_MIN, limiter->limit * slack);
	ql_limiter__clamp(limiter);
}

static void follow_base(ql_limiter_t *limiter, double latency_us)
{
	limiter->base_latency_us = ql_mean_moved(limiter->base_latency_us,
						 latency_us, BASE_SMOOTHING);
}

/*
 * That so many are really served at a time was shown by a probe: a higher
 * latency is that of the service itself, or of what it calls.
 */
static bool is_verified(const ql_limiter_t *limiter, double in_progress)
{
	return in_progress <= VERIFIED_MARGIN * limiter->verified_concurrency;
}

static uint32_t probe_gap(const ql_limiter_t *limiter, double in_progress)
{
	return gradient_of(limiter) < 1 && !is_verified(limiter, in_progress)
		       ? PROBE_GAP_DOUBT
		       : limiter->probe_interval_windows;
}

static void end_window(ql_limiter_t *limiter, double latency_us,
		       double in_progress, uint64_t now_us)
{
	bool in_use = 2 * in_progress >= limiter->limit;
	bool is_judging = limiter->probe_latency_us > 0;

	limiter->mean_latency_us =
		is_judging ? MIN(limiter->mean_latency_us, latency_us)
			   : latency_us;
	limiter->windows++;
	if (is_judging) {
		judge_probe(limiter, in_progress);
		return;
	}
	if (!in_use || in_progress < PROBE_MIN_IN_PROGRESS ||
	    is_verified(limiter, in_progress) ||
	    latency_us < BASE_NOISE * limiter->base_latency_us ||
	    limiter->base_latency_us <= 0)
		follow_base(limiter, latency_us);
	if (!in_use)
		return;
	if (in_progress >= PROBE_MIN_IN_PROGRESS &&
	    limiter->windows >= probe_gap(limiter, in_progress))
		start_probe(limiter, in_progress, now_us);
	else
		grow(limiter);
}

/*
 * Samples are left out by the time of their end. By the time of their start,
 * the first ones counted would be the fastest.
 */
static bool is_settling(const ql_limiter_t *limiter, uint64_t now_us)
{
	return (limiter->probe_limit || limiter->probe_latency_us > 0) &&
	       (double)(now_us - limiter->changed_us) <
		       PROBE_SETTLE * limiter->mean_latency_us;
}

static uint32_t needed_samples(const ql_limiter_t *limiter)
{
	if (limiter->probe_limit)
		return PROBE_SAMPLES;
	return MAX(WINDOW_SAMPLES, (uint32_t)limiter->limit);
}

static void gradient_sample(ql_limiter_t *limiter,
			    const ql_limiter_sample_t *sample, uint64_t now_us)
{
	double latency_us, in_progress;

	/* Shed by the endpoint itself: there are too many in progress. */
	if (sample->overloaded && !sample->timed_out) {
		ql_limiter__back_off(limiter, now_us);
		return;
	}
	/* One that was admitted late says nothing about the service. */
	if (sample->timed_out &&
	    (double)sample->latency_us < limiter->base_latency_us)
		return;
	if (is_settling(limiter, now_us))
		return;
	limiter->sum_latency_us += (double)sample->latency_us;
	limiter->sum_in_progress += sample->in_progress;
	if (++limiter->samples < needed_samples(limiter))
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
