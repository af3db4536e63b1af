#ifndef QL_CONTROL_MEMBER_INTEREST_H
#define QL_CONTROL_MEMBER_INTEREST_H

/**
 * DOC: The interest of a node: the services whose endpoints it follows. These
 * are the services that its local endpoints call according to the
 * configuration, the services that its clients have requested, and all services
 * of a small configuration.
 */

#include "quetzalloft/member.h"

G_BEGIN_DECLS

/**
 * ql_member__update_interest() - Recompute the interest when the configuration,
 * the local endpoints or the demanded services have changed.
 * @member: the member
 * @endpoints: the local endpoints
 * @n_endpoints: number of @endpoints
 *
 * Return: whether the interest has changed.
 */
bool ql_member__update_interest(ql_member_t *member,
				const ql_rpc_endpoint *endpoints,
				size_t n_endpoints);

G_END_DECLS

#endif
