#include "limiter_internal.h"

#include <math.h>
#include <string.h>

/* Each back-off multiplies the limit by this. */
#define BACK_OFF_FACTOR 0.8
/*
 * The limit does not back off within this time after the last back-off, or
 * after the start or end of a probe.
 */
#define BACK_OFF_INTERVAL_MIN_US 100000ULL
/*
 * Fraction of the slots left free by the headroom policy: an endpoint with all
 * slots in use serves every request more slowly.
 */
#define HEADROOM_SLOTS_FRACTION 0.0625

void ql_limiter__clamp(ql_limiter_t *limiter)
{
	limiter->limit = CLAMP(limiter->limit, (double)limiter->opts.min,
			       (double)limiter->opts.max);
}

void ql_limiter__back_off(ql_limiter_t *limiter, uint64_t now_us)
{
	if (now_us - limiter->changed_us < BACK_OFF_INTERVAL_MIN_US)
		return;
	limiter->limit *= BACK_OFF_FACTOR;
	limiter->changed_us = now_us;
	ql_limiter__clamp(limiter);
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

static void headroom_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.max -
			 round(HEADROOM_SLOTS_FRACTION * limiter->opts.max);
}

static void headroom_sample(ql_limiter_t *limiter,
			    const ql_limiter_sample_t *sample G_GNUC_UNUSED,
			    uint64_t now_us G_GNUC_UNUSED)
{
	/* The number of slots may have changed. */
	headroom_init(limiter);
	ql_limiter__clamp(limiter);
}

static void aimd_init(ql_limiter_t *limiter)
{
	limiter->limit = limiter->opts.initial;
}

static void aimd_sample(ql_limiter_t *limiter,
			const ql_limiter_sample_t *sample, uint64_t now_us)
{
	if (sample->overloaded)
		ql_limiter__back_off(limiter, now_us);
	else if (sample->in_progress * 2 >= (uint32_t)limiter->limit)
		limiter->limit += 1.0 / limiter->limit;
	ql_limiter__clamp(limiter);
}

const ql_limiter_ops_t ql_limiter_fixed = {"fixed", fixed_init, fixed_sample};
const ql_limiter_ops_t ql_limiter_headroom = {"headroom", headroom_init,
					      headroom_sample};
const ql_limiter_ops_t ql_limiter_aimd = {"aimd", aimd_init, aimd_sample};

static const ql_limiter_ops_t *const policies[] = {
	&ql_limiter_fixed,    &ql_limiter_headroom,	  &ql_limiter_aimd,
	&ql_limiter_gradient, &ql_limiter_gradient_drift,
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
	ql_limiter__clamp(limiter);
}

void ql_limiter_configure(ql_limiter_t *limiter, const ql_limiter_ops_t *ops,
			  const ql_limiter_opts_t *opts)
{
	ql_limiter_opts_t restart_opts = *opts;
	bool grows = opts->max > limiter->opts.max;

	if (ops == limiter->ops && !grows) {
		limiter->opts = *opts;
		ql_limiter__clamp(limiter);
		return;
	}
	restart_opts.initial = ql_limiter_get(limiter);
	ql_limiter_init(limiter, ops, &restart_opts);
}

void ql_limiter_observe(ql_limiter_t *limiter,
			const ql_limiter_sample_t *sample, uint64_t now_us)
{
	limiter->ops->sample(limiter, sample, now_us);
}

uint32_t ql_limiter_get(const ql_limiter_t *limiter)
{
	uint32_t limit = (uint32_t)limiter->limit;

	if (limiter->probe_limit)
		limit = MIN(limit, limiter->probe_limit);
	return MAX(limit, limiter->opts.min);
}
