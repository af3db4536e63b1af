#ifndef QUETZALLOFT_SERVICE_TIMES_H
#define QUETZALLOFT_SERVICE_TIMES_H

/**
 * DOC: Service times of the requests at one endpoint, by class, and the
 * queueing delay that is acceptable in relation to them. A service time is
 * measured from the admission of a request to its end, and includes the calls
 * that the endpoint makes for it.
 */

#include "quetzalloft/gate_usage.h"

G_BEGIN_DECLS

/**
 * struct ql_class_service_time - Observed service time of one class.
 * @mean_us: moving mean
 * @deviation_us: moving mean of the absolute deviation
 * @last_observed_us: when a service time of the class was last recorded
 */
typedef struct ql_class_service_time {
	double mean_us;
	double deviation_us;
	uint64_t last_observed_us;
} ql_class_service_time_t;

/**
 * struct ql_service_times - Observed service times of one endpoint; zeroed
 * memory is a valid initial state.
 * @classes: service time of each class, indexed by shed order
 * @lower_quartile_us: estimated lower quartile over all classes
 * @lower_quartile_observed_us: when @lower_quartile_us was last updated
 * @n_initial: number of initial requests observed so far, up to 32; their
 *             moving mean is the start value of @lower_quartile_us
 */
typedef struct ql_service_times {
	ql_class_service_time_t classes[QL_SHED_ORDERS];
	double lower_quartile_us;
	uint64_t lower_quartile_observed_us;
	uint32_t n_initial;
} ql_service_times_t;

/**
 * ql_service_times_observe() - Record the service time of a finished request.
 * @times: service times of the endpoint
 * @order: shed order of the class of the request; less than QL_SHED_ORDERS
 * @latency_us: time from the admission of the request to its end, also of one
 *              that the endpoint shed or whose deadline passed
 * @now_us: current time
 */
void ql_service_times_observe(ql_service_times_t *times, uint32_t order,
			      double latency_us, uint64_t now_us);

/**
 * ql_service_times_lower_bound_us() - Estimate the least time that a request
 * needs at the endpoint.
 * @times: service times of the endpoint
 * @order: shed order of the class of the request; less than QL_SHED_ORDERS
 * @now_us: current time
 *
 * Return: mean less the mean deviation of the class, in microseconds; 0 if no
 * service time of the class was recorded in the last second, so that an
 * outdated estimate does not keep all requests from being admitted.
 */
double ql_service_times_lower_bound_us(const ql_service_times_t *times,
				       uint32_t order, uint64_t now_us);

/**
 * ql_service_times_pressure() - Compute the pressure from a queueing delay.
 * @times: service times of the endpoint
 * @waited_us: time from the offer of the request to its admission
 *
 * The acceptable queueing delay is twice the estimated lower quartile of the
 * service times, which stands for the service time while neither this endpoint
 * nor those that it calls are overloaded. See quetzalloft/pressure.h.
 *
 * Return: @waited_us divided by the acceptable queueing delay, up to
 * QL_PRESSURE_SERVED_MAX; 0 before the first service time was recorded.
 */
double ql_service_times_pressure(const ql_service_times_t *times,
				 uint64_t waited_us);

G_END_DECLS

#endif
