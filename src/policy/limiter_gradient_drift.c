#include "limiter_internal.h"
#include "util/mean.h"

/* The limit is adapted once in this many samples. */
#define WINDOW_SAMPLES 20u
/* Tolerated latency, as a multiple of the base latency. */
#define LATENCY_TOLERANCE_RATIO 1.5
/* The target is at least this fraction of the limit. */
#define TARGET_GRADIENT_MIN 0.5
/* Fraction of the way to its target that the limit moves in one window. */
#define LIMIT_SMOOTHING 0.2
#define LATENCY_SMOOTHING 0.1
/* The base rises by this factor per window, to follow a slower service. */
#define BASE_DRIFT_PER_WINDOW 1.01

static void drift_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.initial;
}

static void observe_latency(ql_limiter_t *limiter, double latency_us)
{
	limiter->mean_latency_us =
		ql_mean_update(limiter->mean_latency_us, latency_us,
			       LATENCY_SMOOTHING);
}

/* Adapts the limit by the ratio of the base latency to the mean latency. */
static void end_window(ql_limiter_t *limiter, const ql_limiter_sample_t *sample)
{
	double gradient, target;

	if (limiter->base_latency_us <= 0 ||
	    limiter->mean_latency_us < limiter->base_latency_us)
		limiter->base_latency_us = limiter->mean_latency_us;
	else
		limiter->base_latency_us *= BASE_DRIFT_PER_WINDOW;
	gradient = LATENCY_TOLERANCE_RATIO * limiter->base_latency_us /
		   limiter->mean_latency_us;
	gradient = CLAMP(gradient, TARGET_GRADIENT_MIN, 1.0);
	target = limiter->limit * gradient;
	if (gradient >= 1.0 && sample->in_progress * 2 >= limiter->limit)
		target += 1 + limiter->limit / 16;
	limiter->limit += LIMIT_SMOOTHING * (target - limiter->limit);
}

static void drift_sample(ql_limiter_t *limiter,
			 const ql_limiter_sample_t *sample, uint64_t now_us)
{
	if (sample->overloaded) {
		ql_limiter__back_off(limiter, now_us);
		return;
	}
	observe_latency(limiter, (double)sample->latency_us);
	if (++limiter->samples < WINDOW_SAMPLES)
		return;
	limiter->samples = 0;
	end_window(limiter, sample);
	ql_limiter__clamp(limiter);
}

const ql_limiter_ops_t ql_limiter_gradient_drift = {"gradient_drift",
						    drift_init, drift_sample};
