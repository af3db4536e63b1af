#include "quetzalloft/limiter.h"

#include <string.h>

#define AIMD_BACKOFF 0.8
#define AIMD_HOLD_US 100000ULL
#define GRADIENT_WINDOW_SAMPLES 20u
#define GRADIENT_TOLERANCE 1.5
#define GRADIENT_MIN 0.5
#define GRADIENT_SMOOTHING 0.2
#define LATENCY_SMOOTHING 0.1
#define BASE_DRIFT 1.01

static void clamp(ql_limiter_t *limiter)
{
	limiter->limit = CLAMP(limiter->limit, (double)limiter->opts.min,
			       (double)limiter->opts.max);
}

static void fixed_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.max;
}

static void fixed_sample(ql_limiter_t *limiter G_GNUC_UNUSED,
			 const ql_limiter_sample_t *sample G_GNUC_UNUSED,
			 uint64_t now_us G_GNUC_UNUSED)
{
}

static void aimd_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.initial;
}

static void aimd_sample(ql_limiter_t *limiter,
			const ql_limiter_sample_t *sample, uint64_t now_us)
{
	if (sample->overloaded) {
		if (now_us - limiter->changed_us < AIMD_HOLD_US)
			return;
		limiter->limit *= AIMD_BACKOFF;
		limiter->changed_us = now_us;
	} else if (sample->in_progress * 2 >= (uint32_t)limiter->limit) {
		limiter->limit += 1.0 / limiter->limit;
	}
	clamp(limiter);
}

static void gradient_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.initial;
}

static void observe_latency(ql_limiter_t *limiter, double latency_us)
{
	if (limiter->mean_latency_us <= 0)
		limiter->mean_latency_us = latency_us;
	limiter->mean_latency_us +=
		LATENCY_SMOOTHING * (latency_us - limiter->mean_latency_us);
}

/* Ends a window: moves the limit by the ratio of base to present latency. */
static void gradient_step(ql_limiter_t *limiter,
			  const ql_limiter_sample_t *sample)
{
	double gradient, target;

	if (limiter->base_latency_us <= 0 ||
	    limiter->mean_latency_us < limiter->base_latency_us)
		limiter->base_latency_us = limiter->mean_latency_us;
	else
		limiter->base_latency_us *= BASE_DRIFT;
	gradient = GRADIENT_TOLERANCE * limiter->base_latency_us /
		   limiter->mean_latency_us;
	gradient = CLAMP(gradient, GRADIENT_MIN, 1.0);
	target = limiter->limit * gradient;
	if (gradient >= 1.0 && sample->in_progress * 2 >= limiter->limit)
		target += 1 + limiter->limit / 16;
	limiter->limit += GRADIENT_SMOOTHING * (target - limiter->limit);
}

static void gradient_sample(ql_limiter_t *limiter,
			    const ql_limiter_sample_t *sample, uint64_t now_us)
{
	if (sample->overloaded) {
		aimd_sample(limiter, sample, now_us);
		return;
	}
	observe_latency(limiter, (double)sample->latency_us);
	if (++limiter->samples < GRADIENT_WINDOW_SAMPLES)
		return;
	limiter->samples = 0;
	gradient_step(limiter, sample);
	clamp(limiter);
}

const ql_limiter_ops_t ql_limiter_fixed = {"fixed", fixed_init, fixed_sample};
const ql_limiter_ops_t ql_limiter_aimd = {"aimd", aimd_init, aimd_sample};
const ql_limiter_ops_t ql_limiter_gradient = {"gradient", gradient_init,
					      gradient_sample};

static const ql_limiter_ops_t *const policies[] = {
	&ql_limiter_fixed,
	&ql_limiter_aimd,
	&ql_limiter_gradient,
};

const ql_limiter_ops_t *ql_limiter_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	return NULL;
}

void ql_limiter_init(ql_limiter_t *limiter, const ql_limiter_ops_t *ops,
		     const ql_limiter_opts_t *opts)
{
	g_assert(opts->min >= 1 && opts->min <= opts->max);
	memset(limiter, 0, sizeof(*limiter));
	limiter->ops = ops;
	limiter->opts = *opts;
	ops->init(limiter);
	clamp(limiter);
}

void ql_limiter_observe(ql_limiter_t *limiter,
			const ql_limiter_sample_t *sample, uint64_t now_us)
{
	limiter->ops->sample(limiter, sample, now_us);
}

uint32_t ql_limiter_get(const ql_limiter_t *limiter)
{
	return MAX((uint32_t)limiter->limit, 1);
}
