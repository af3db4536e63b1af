#ifndef QUETZALLOFT_SERVICE_TIMES_H
#define QUETZALLOFT_SERVICE_TIMES_H

/**
 * DOC: How long requests take at one endpoint, by class, and how long a wait
 * they bear.
 */

#include "quetzalloft/gate_usage.h"

G_BEGIN_DECLS

/**
 * struct ql_class_service_time - Observed service time of one class.
 * @mean_us: moving mean
 * @deviation_us: moving mean of the absolute deviation
 * @seen_us: when a request of the class ended last
 */
typedef struct ql_class_service_time {
	double mean_us;
	double deviation_us;
	uint64_t last_observed_us;
} ql_class_service_time_t;

/**
 * struct ql_service_times - The service times of one endpoint; zeros are a
 * fresh set.
 * @classes: by shed order
 * @quick_us: of the quicker requests of all classes
 * @quick_seen_us: when that was observed last
 * @n_first: of the first requests, those that were observed
 */
typedef struct ql_service_times {
	ql_class_service_time_t classes[QL_SHED_ORDERS];
	double lower_quartile_us;
	uint64_t lower_quartile_observed_us;
	uint32_t n_initial;
} ql_service_times_t;

/**
 * ql_service_times_observe() - A request has been served.
 * @times: of its endpoint
 * @order: shed order of its class
 * @latency_us: at the endpoint
 * @now_us: the time
 */
void ql_service_times_observe(ql_service_times_t *times, uint32_t order,
			      double latency_us, uint64_t now_us);

/**
 * ql_service_times_least_us() - The least time that a request is likely to
 * need.
 * @times: of its endpoint
 * @order: shed order of its class
 * @now_us: the time
 *
 * Return: microseconds; 0 after a while without an answer, so that one request
 * is tried again.
 */
double ql_service_times_lower_bound_us(const ql_service_times_t *times,
				       uint32_t order, uint64_t now_us);

/**
 * ql_service_times_pressure() - How long a request waited, as a part of what is
 * bearable.
 * @times: of its endpoint
 * @waited_us: from its offer to its admission
 *
 * Return: 1 where it waited as long as requests take here when neither this
 * endpoint nor those that it calls are crowded; see quetzalloft/pressure.h.
 */
double ql_service_times_pressure(const ql_service_times_t *times,
				 uint64_t waited_us);

G_END_DECLS

#endif
