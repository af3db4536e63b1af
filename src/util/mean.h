#ifndef QL_UTIL_MEAN_H
#define QL_UTIL_MEAN_H

/**
 * DOC: Exponentially weighted moving averages of values above 0.
 */

/**
 * ql_mean_update() - Update a moving average with a new value.
 * @mean: the average so far; 0 or less before the first value
 * @value: the new value, above 0
 * @smoothing: weight of the new value, 0 to 1
 *
 * Return: the new average, which is @value for the first value.
 */
static inline double ql_mean_update(double mean, double value, double smoothing)
{
	return mean <= 0 ? value : mean + smoothing * (value - mean);
}

#endif
