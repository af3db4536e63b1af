#ifndef QUETZALLOFT_PRESSURE_H
#define QUETZALLOFT_PRESSURE_H

/**
 * DOC: What a request and the calls that were made for it met with: how long
 * they waited at gates, as a part of what is bearable there.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/** The pressure where work was refused or ran out of time. */
#define QL_PRESSURE_MAX 4.0
/** The pressure of the longest wait behind which a request was served. */
#define QL_PRESSURE_SERVED_MAX 3.0

/**
 * struct ql_pressure - The pressure on the way of one request.
 * @own: of the request itself, at the gate that admitted it
 * @calls: what its calls met with, added up
 * @n_calls: calls that have ended
 * @lost: a call was lost for lack of room, and the request with it
 */
typedef struct ql_pressure {
	double own;
	double calls_sum;
	uint32_t n_calls;
	bool call_lost;
} ql_pressure_t;

/**
 * ql_pressure_add_call() - A call of the request has ended.
 * @pressure: of the request
 * @call: what the call met with
 */
void ql_pressure_add_call(ql_pressure_t *pressure, double call);

/**
 * ql_pressure_get() - What the answer of the request tells.
 * @pressure: of the request
 *
 * Return: 1 where waits are as long as is bearable.
 */
double ql_pressure_get(const ql_pressure_t *pressure);

G_END_DECLS

#endif
