#ifndef QL_CONTROL_MEMBER_VIEW_H
#define QL_CONTROL_MEMBER_VIEW_H

/**
 * DOC: The endpoints that a member stores. It keeps the records of endpoints
 * that are gone for a while as tombstones, so that a registrar with older
 * records cannot bring the endpoints back.
 */

#include "quetzalloft/member.h"

G_BEGIN_DECLS

/**
 * struct ql_member_endpoint - An endpoint of a followed service.
 * @service: name of the service
 * @info: description for the callbacks and the balancer
 * @version: version of the record; its state may be leaving or gone
 * @confirmed_ms: time at which a registrar last sent the record
 * @uncovered: the last complete list of the service lacked the endpoint, and
 *             its registrar did not cover the failure domain of the endpoint
 */
typedef struct ql_member_endpoint {
	char service[QL_NAME_MAX];
	ql_endpoint_info_t info;
	ql_record_version_t version;
	uint64_t confirmed_ms;
	bool uncovered;
} ql_member_endpoint_t;

/**
 * ql_member__view_init() - Initialize the endpoints and failure domains of a
 * member.
 * @member: the member
 */
void ql_member__view_init(ql_member_t *member);

/**
 * ql_member__view_finish() - Free the endpoints and failure domains of a
 * member.
 * @member: the member
 */
void ql_member__view_finish(ql_member_t *member);

/**
 * ql_member__update_view() - Apply the endpoints and failure domains of a
 * reply.
 * @member: the member
 * @res: the reply
 * @now_ms: current time
 *
 * Return: true when the registrar covers a failure domain that was not covered
 * before, so that the digests have to be compared again.
 */
bool ql_member__update_view(ql_member_t *member, const ql_rpc_lease_res *res,
			    uint64_t now_ms);

/**
 * ql_member__drop_unfollowed() - Remove the endpoints of services that are not
 * followed any more.
 * @member: the member
 */
void ql_member__drop_unfollowed(ql_member_t *member);

/**
 * ql_member__fill_interest() - Write the followed services and the digests of
 * their endpoints into a request.
 * @member: the member
 * @args: the request; its @has_interest and @interest are set
 */
void ql_member__fill_interest(const ql_member_t *member,
			      ql_rpc_lease_args *args);

G_END_DECLS

#endif
