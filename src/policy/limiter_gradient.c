#include "limiter_internal.h"

/* A window has at least so many samples, and one for each request allowed. */
#define WINDOW_SAMPLES 40u
#define PROBE_SAMPLES 20u
#define PROBE_MIN_LIMIT 4.0
/* Latencies until the requests from before the probe have ended. */
#define PROBE_SETTLE 2.0
/* Windows between two probes, at least and at most. */
#define PROBE_MIN_WINDOWS 8u
#define PROBE_MAX_WINDOWS 30u
/* A probe helped if it lowered the latency to less than this part. */
#define PROBE_HELPED 0.8
#define TOLERANCE 1.5
#define GRADIENT_MIN 0.5
#define GROWTH_MIN 0.5
#define GROWTH_MAX_PART 0.25
#define BASE_SMOOTHING 0.2

static void gradient_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.initial;
}

static bool is_over_base(const ql_limiter_t *limiter)
{
	return limiter->mean_latency_us > TOLERANCE * limiter->base_latency_us;
}

static void start_probe(ql_limiter_t *limiter, uint64_t now_us)
{
	limiter->probing = true;
	limiter->changed_us = now_us;
	limiter->windows = 0;
}

/*
 * A probe that did not help shows that the service itself has become slower
 * or faster, and not the number of requests in progress.
 */
static void end_probe(ql_limiter_t *limiter, double latency_us)
{
	limiter->probing = false;
	if (latency_us < PROBE_HELPED * limiter->mean_latency_us)
		limiter->base_latency_us =
			MIN(limiter->base_latency_us, latency_us);
	else
		limiter->base_latency_us = latency_us;
}

/* Grows in small steps when the latency is near to what is tolerated. */
static double growth(const ql_limiter_t *limiter, double slack)
{
	return MAX(GROWTH_MIN, limiter->limit * MIN(slack, GROWTH_MAX_PART));
}

static void move_limit(ql_limiter_t *limiter, const ql_limiter_sample_t *sample)
{
	double gradient =
		TOLERANCE * limiter->base_latency_us / limiter->mean_latency_us;

	if (gradient < 1)
		limiter->limit *= (1 + MAX(gradient, GRADIENT_MIN)) / 2;
	else if (sample->in_progress * 2 >= (uint32_t)limiter->limit)
		limiter->limit += growth(limiter, gradient - 1);
	ql_limiter__clamp(limiter);
}

static void end_window(ql_limiter_t *limiter, const ql_limiter_sample_t *sample,
		       double latency_us, uint64_t now_us)
{
	bool can_probe = limiter->limit >= PROBE_MIN_LIMIT;

	limiter->mean_latency_us = latency_us;
	limiter->windows++;
	if (limiter->base_latency_us <= 0 || !can_probe)
		limiter->base_latency_us = latency_us;
	if (latency_us < limiter->base_latency_us)
		limiter->base_latency_us +=
			BASE_SMOOTHING *
			(latency_us - limiter->base_latency_us);
	if (can_probe &&
	    (limiter->windows >= PROBE_MAX_WINDOWS ||
	     (limiter->windows >= PROBE_MIN_WINDOWS && is_over_base(limiter))))
		start_probe(limiter, now_us);
	else
		move_limit(limiter, sample);
}

/*
 * Samples are left out by the time of their end. By the time of their start,
 * the first ones counted would be the fastest.
 */
static bool is_settling(const ql_limiter_t *limiter, uint64_t now_us)
{
	return limiter->probing &&
	       (double)(now_us - limiter->changed_us) <
		       PROBE_SETTLE * limiter->mean_latency_us;
}

static void gradient_sample(ql_limiter_t *limiter,
			    const ql_limiter_sample_t *sample, uint64_t now_us)
{
	uint32_t needed = limiter->probing ? PROBE_SAMPLES
					   : MAX(WINDOW_SAMPLES,
						 (uint32_t)limiter->limit);
	double latency_us;

	/* Shed by the endpoint itself: there are too many in progress. */
	if (sample->overloaded &&
	    (double)sample->latency_us < limiter->base_latency_us) {
		ql_limiter__back_off(limiter, now_us);
		return;
	}
	if (is_settling(limiter, now_us))
		return;
	limiter->sum_latency_us += (double)sample->latency_us;
	if (++limiter->samples < needed)
		return;
	latency_us = limiter->sum_latency_us / limiter->samples;
	limiter->samples = 0;
	limiter->sum_latency_us = 0;
	if (limiter->probing)
		end_probe(limiter, latency_us);
	else
		end_window(limiter, sample, latency_us, now_us);
}

const ql_limiter_ops_t ql_limiter_gradient = {"gradient", gradient_init,
					      gradient_sample};
