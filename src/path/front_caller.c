#include "path/front_internal.h"
#include "quetzalloft/clock.h"

#include <strings.h>

/* Returns the only value of a header; sets @n to the number of its values. */
static const char *only_value(const ql_headers_t *headers, const char *name,
			      size_t *n)
{
	const char *value = NULL;
	size_t i;

	*n = 0;
	for (i = 0; i < ql_headers_count(headers); i++) {
		if (strcasecmp(ql_headers_name(headers, i), name) != 0)
			continue;
		value = ql_headers_value(headers, i);
		(*n)++;
	}
	return value;
}

/*
 * A request without an API key is accepted only as a call of a request that
 * runs at the local endpoint. After a restart of this node such a request is
 * not known any more, so its calls are refused as not run.
 */
static ql_reason_t check_local_call(const ql_front_t *front,
				    const ql_http_exchange_t *exchange)
{
	const ql_dialect_t *dialect = front->opts.dialect;
	const char *id =
		ql_headers_get(&exchange->headers, dialect->request_id);
	char parent[QL_KEY_MAX];

	if (!id || !dialect->parse_parent_id ||
	    !dialect->parse_parent_id(parent, sizeof(parent), id))
		return QL_REASON_UNKNOWN_KEY;
	return ql_local_gate_find_call(front->opts.local, parent)
		       ? QL_REASON_NONE
		       : QL_REASON_UNKNOWN_CALLER;
}

bool ql_front__needs_key(const ql_front_t *front, const ql_route_t *route)
{
	return front->doc->teams.n_entries && !route->anonymous &&
	       front->opts.dialect->api_key;
}

ql_reason_t ql_front__find_team(const ql_front_t *front, const char *key,
				const ql_team_t **team)
{
	/*
	 * Whether a key is known is not said without a proof, as it may have
	 * been added since. The process may have been paused after the time of
	 * the loop was read.
	 */
	if (!ql_front_keys_are_current(front, ql_clock_boot_ms()))
		return QL_REASON_NOT_CURRENT;
	*team = ql_teams_find_key(&front->doc->teams, key);
	return *team ? QL_REASON_NONE : QL_REASON_UNKNOWN_KEY;
}

ql_reason_t ql_front__identify_caller(const ql_front_t *front,
				      const ql_http_exchange_t *exchange,
				      const ql_route_t *route,
				      const ql_team_t **team)
{
	const char *key;
	size_t n;

	*team = NULL;
	if (!ql_front__needs_key(front, route))
		return QL_REASON_NONE;
	key = only_value(&exchange->headers, front->opts.dialect->api_key, &n);
	if (n > 1)
		return QL_REASON_BAD_REQUEST;
	if (!n)
		return check_local_call(front, exchange);
	return ql_front__find_team(front, key, team);
}
