#ifndef QUETZALLOFT_PRESSURE_H
#define QUETZALLOFT_PRESSURE_H

/**
 * DOC: The pressure of a request: a backpressure signal that is returned with
 * its answer. It is the queueing delay at a gate as a multiple of the longest
 * acceptable delay there: the delay of the request itself or the mean of its
 * downstream calls, whichever is larger. 0 stands for no delay; a pressure
 * above 1 is a sign of overload.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** The pressure of a request that was refused for overload or that exceeded its
 * deadline.
 */
#define QL_PRESSURE_MAX 4.0
/** Upper limit of the pressure of a request that was served; below
 * QL_PRESSURE_MAX, so that a long queueing delay does not count as a loss.
 */
#define QL_PRESSURE_SERVED_MAX 3.0

/**
 * struct ql_pressure - The pressure collected for one request; zeroed memory is
 * a valid initial state.
 * @own: pressure of the request itself, at the gate that admitted it
 * @calls_sum: sum of the pressures of its finished downstream calls
 * @n_calls: number of finished downstream calls
 * @call_lost: a downstream call was refused for overload or exceeded its
 *             deadline, and the request failed with it
 */
typedef struct ql_pressure {
	double own;
	double calls_sum;
	uint32_t n_calls;
	bool call_lost;
} ql_pressure_t;

/**
 * ql_pressure_add_call() - Add the pressure of a finished downstream call.
 * @pressure: pressure of the calling request
 * @call: pressure of the call; QL_PRESSURE_MAX if it was refused for overload
 *        or exceeded its deadline
 */
void ql_pressure_add_call(ql_pressure_t *pressure, double call);

/**
 * ql_pressure_get() - Compute the pressure to return with the answer.
 * @pressure: pressure collected for the request
 *
 * The pressures of the calls are averaged: the maximum would let the one
 * longest delay of many calls stand for all of them.
 *
 * Return: QL_PRESSURE_MAX if a call was lost, otherwise the larger of the
 * request's own pressure and the mean of its calls; 1 if the delays are the
 * longest acceptable ones.
 */
double ql_pressure_get(const ql_pressure_t *pressure);

G_END_DECLS

#endif
