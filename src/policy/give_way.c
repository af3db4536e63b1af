#include "quetzalloft/give_way.h"

bool ql_gives_way(const ql_give_way_t *request)
{
	return request->now_us < request->until_us &&
	       request->begun_us + request->typical_us > request->until_us;
}
