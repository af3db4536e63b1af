#ifndef QL_UTIL_MEAN_H
#define QL_UTIL_MEAN_H

/**
 * DOC: Moving means of values above 0.
 */

/**
 * ql_mean_update() - A moving mean behind one more value.
 * @mean: the mean so far; 0 or less while there was no value
 * @value: the value
 * @smoothing: its weight
 *
 * Return: the new mean; the first value is taken as it is.
 */
static inline double ql_mean_update(double mean, double value, double smoothing)
{
	return mean <= 0 ? value : mean + smoothing * (value - mean);
}

#endif
