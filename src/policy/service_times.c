#include "quetzalloft/service_times.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/pressure.h"
#include "util/mean.h"

#include <math.h>

/* Weight of a request in the moving means. */
#define SERVICE_TIME_SMOOTHING 0.1
/* How long the lower bound of a class is valid after its last request. */
#define LOWER_BOUND_MAX_AGE_US (1 * QL_US_PER_S)
/* Acceptable queueing delay, as a multiple of the lower quartile. */
#define ACCEPTABLE_DELAY_QUARTILES 2.0
/* The estimate settles at the lower quartile, since it decreases three times as
 * fast after a faster request as it increases after a slower one. */
#define QUARTILE_INCREASE_PER_S 0.05
#define QUARTILE_DECREASE_PER_S 0.15
/* The estimate starts as the moving mean of this many requests. */
#define QUARTILE_INITIAL_REQUESTS 32u

double ql_service_times_lower_bound_us(const ql_service_times_t *times,
				       uint32_t order, uint64_t now_us)
{
	const ql_class_service_time_t *time = &times->classes[order];

	if (now_us - time->last_observed_us > LOWER_BOUND_MAX_AGE_US)
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
 * Updates the estimated lower quartile. Queueing delays are compared with the
 * service time of fast requests: overload of downstream endpoints prolongs all
 * requests here, and a mean would then make long delays acceptable.
 */
static void observe_quartile(ql_service_times_t *times, double latency_us,
			     uint64_t now_us)
{
	double since_s = (double)(now_us - times->lower_quartile_observed_us) /
			 QL_US_PER_S;
	double change_per_s = latency_us < times->lower_quartile_us
				      ? -QUARTILE_DECREASE_PER_S
				      : QUARTILE_INCREASE_PER_S;

	times->lower_quartile_observed_us = now_us;
	if (times->n_initial < QUARTILE_INITIAL_REQUESTS) {
		times->n_initial++;
		times->lower_quartile_us =
			ql_mean_update(times->lower_quartile_us, latency_us,
				       SERVICE_TIME_SMOOTHING);
	} else {
		times->lower_quartile_us *= exp(change_per_s * MIN(since_s, 1));
	}
}

void ql_service_times_observe(ql_service_times_t *times, uint32_t order,
			      double latency_us, uint64_t now_us)
{
	observe_class(&times->classes[order], latency_us, now_us);
	observe_quartile(times, latency_us, now_us);
}

double ql_service_times_pressure(const ql_service_times_t *times,
				 uint64_t waited_us)
{
	double acceptable_us =
		ACCEPTABLE_DELAY_QUARTILES * times->lower_quartile_us;

	if (acceptable_us <= 0)
		return 0;
	return MIN((double)waited_us / acceptable_us, QL_PRESSURE_SERVED_MAX);
}
