#ifndef QUETZALLOFT_PRESSURE_H
#define QUETZALLOFT_PRESSURE_H

/**
 * DOC: The pressure of a request: a backpressure signal that is returned with
 * its answer. It is the queueing delay of the request and of its downstream
 * calls at their gates, as a multiple of the longest acceptable delay there.
 * 0 stands for no delay; above 1 there is overload.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** The pressure if work was refused for overload or exceeded its deadline. */
#define QL_PRESSURE_MAX 4.0
/** Upper limit of the pressure of a request that was served. */
#define QL_PRESSURE_SERVED_MAX 3.0

/**
 * struct ql_pressure - The pressure collected for one request.
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
 * request's own pressure and the mean of its calls; 1 where the delays are the
 * longest acceptable ones.
 */
double ql_pressure_get(const ql_pressure_t *pressure);

G_END_DECLS

#endif
