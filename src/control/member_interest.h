#ifndef QL_CONTROL_MEMBER_INTEREST_H
#define QL_CONTROL_MEMBER_INTEREST_H

/**
 * DOC: The services whose endpoints a node follows: those that its local
 * endpoints call by the configuration, and those that its clients ask for.
 */

#include "quetzalloft/member.h"

G_BEGIN_DECLS

/**
 * ql_member__update_interest() - Compute the interest anew when the
 * configuration, the local endpoints or the demand changed.
 * @member: the member
 * @endpoints: the local endpoints
 * @n_endpoints: their number
 *
 * Return: whether it changed.
 */
bool ql_member__update_interest(ql_member_t *member,
				const ql_rpc_endpoint *endpoints,
				size_t n_endpoints);

G_END_DECLS

#endif
