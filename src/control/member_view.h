#ifndef QL_CONTROL_MEMBER_VIEW_H
#define QL_CONTROL_MEMBER_VIEW_H

/**
 * DOC: The endpoints that a node knows. Those that are gone stay known for a
 * while, so that a registrar that lags cannot bring them back.
 */

#include "quetzalloft/member.h"

G_BEGIN_DECLS

/**
 * struct ql_member_endpoint - An endpoint that the node knows.
 * @confirmed_ms: when a registrar named it last
 * @uncovered: the last whole list did not name it and could not speak for it
 */
typedef struct ql_member_endpoint {
	char service[QL_NAME_MAX];
	ql_endpoint_info_t info;
	ql_record_version_t version;
	uint64_t confirmed_ms;
	bool uncovered;
} ql_member_endpoint_t;

void ql_member__view_init(ql_member_t *member);
void ql_member__view_finish(ql_member_t *member);

/**
 * ql_member__update_view() - Take the members of an answer.
 * @member: the member
 * @res: the answer
 * @now_ms: the time
 *
 * Return: whether the registrar can speak for another failure domain from now
 * on, so that the digests are to be compared again.
 */
bool ql_member__update_view(ql_member_t *member, const ql_rpc_lease_res *res,
			    uint64_t now_ms);

/**
 * ql_member__drop_unfollowed() - Forget services that are not followed.
 * @member: the member
 */
void ql_member__drop_unfollowed(ql_member_t *member);

/**
 * ql_member__fill_interest() - Name the followed services and their digests.
 * @member: the member
 * @args: the renewal
 */
void ql_member__fill_interest(const ql_member_t *member,
			      ql_rpc_lease_args *args);

G_END_DECLS

#endif
