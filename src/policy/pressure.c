#include "quetzalloft/pressure.h"

void ql_pressure_add_call(ql_pressure_t *pressure, double call)
{
	pressure->calls_sum += call;
	pressure->n_calls++;
	pressure->call_lost |= call >= QL_PRESSURE_MAX;
}

double ql_pressure_get(const ql_pressure_t *pressure)
{
	if (pressure->call_lost)
		return QL_PRESSURE_MAX;
	if (!pressure->n_calls)
		return pressure->own;
	return MAX(pressure->own, pressure->calls_sum / pressure->n_calls);
}
