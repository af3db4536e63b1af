#include "quetzalloft/duration.h"
#include "quetzalloft/error.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#define MS_PER_S 1000.0

int ql_duration_parse(uint64_t *out_ms, const char *text)
{
	double number;
	char *end;

	errno = 0;
	number = g_ascii_strtod(text, &end);
	if (end == text || errno || !isfinite(number) || number < 0)
		return QL_E_INVALID;
	if (!strcmp(end, "s"))
		number *= MS_PER_S;
	else if (strcmp(end, "ms") != 0)
		return QL_E_INVALID;
	if (number > (double)UINT32_MAX)
		return QL_E_INVALID;
	*out_ms = (uint64_t)lround(number);
	return 0;
}
