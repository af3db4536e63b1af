#include "quetzalloft/service_times.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/pressure.h"
#include "util/mean.h"

#include <math.h>

#define SERVICE_TIME_SMOOTHING 0.1
#define SERVICE_TIME_HOLD_US (1 * QL_US_PER_S)
/* Of the quick service time. */
#define BEARABLE_SERVICE_TIMES 2.0
/* A quarter of the requests is quicker than the quick service time: it falls
 * three times as fast for one that was quicker as it grows for another one. */
#define QUICK_GROWTH_PER_S 0.05
#define QUICK_FALL_PER_S 0.15
/* Of the first requests the mean is taken, to begin somewhere. */
#define QUICK_FIRST 32u

double ql_service_times_lower_bound_us(const ql_service_times_t *times,
				       uint32_t order, uint64_t now_us)
{
	const ql_class_service_time_t *time = &times->classes[order];

	if (now_us - time->last_observed_us > SERVICE_TIME_HOLD_US)
		return 0;
	return MAX(time->mean_us - time->deviation_us, 0);
}

static void observe_class(ql_class_service_time_t *time, double latency_us,
			  uint64_t now_us)
{
	time->last_observed_us = now_us;
	if (time->mean_us <= 0) {
		time->mean_us = latency_us;
		time->deviation_us = latency_us / 2;
		return;
	}
	time->deviation_us +=
		SERVICE_TIME_SMOOTHING *
		(fabs(latency_us - time->mean_us) - time->deviation_us);
	time->mean_us += SERVICE_TIME_SMOOTHING * (latency_us - time->mean_us);
}

/*
 * Waits are measured by the quicker requests: where endpoints further down are
 * crowded all of them take longer, and a mean would make long waits bearable.
 */
static void observe_quick(ql_service_times_t *times, double latency_us,
			  uint64_t now_us)
{
	double since_s = (double)(now_us - times->lower_quartile_observed_us) /
			 QL_US_PER_S;
	double per_s = latency_us < times->lower_quartile_us
			       ? -QUICK_FALL_PER_S
			       : QUICK_GROWTH_PER_S;

	times->lower_quartile_observed_us = now_us;
	if (times->n_initial < QUICK_FIRST) {
		times->n_initial++;
		times->lower_quartile_us =
			ql_mean_moved(times->lower_quartile_us, latency_us,
				      SERVICE_TIME_SMOOTHING);
	} else {
		times->lower_quartile_us *= exp(per_s * MIN(since_s, 1));
	}
}

void ql_service_times_observe(ql_service_times_t *times, uint32_t order,
			      double latency_us, uint64_t now_us)
{
	observe_class(&times->classes[order], latency_us, now_us);
	observe_quick(times, latency_us, now_us);
}

double ql_service_times_pressure(const ql_service_times_t *times,
				 uint64_t waited_us)
{
	double bearable_us = BEARABLE_SERVICE_TIMES * times->lower_quartile_us;

	if (bearable_us <= 0)
		return 0;
	return MIN((double)waited_us / bearable_us, QL_PRESSURE_SERVED_MAX);
}
