#ifndef QL_CONTROL_MEMBER_WITHDRAWAL_H
#define QL_CONTROL_MEMBER_WITHDRAWAL_H

/**
 * DOC: The withdrawal of the local endpoint, which a member keeps at its
 * registrars. Each renewal has the latest one that the member knows, each reply
 * a later one that the registrar knows. As the member writes to and reads from
 * as many registrars as it renews at, a restarted node learns from one of them
 * what its earlier run had confirmed, while one of them may be lost. A
 * registrar saves a withdrawal after its reply, so the member asks it again.
 */

#include "quetzalloft/member.h"

G_BEGIN_DECLS

/**
 * ql_member__lacks_withdrawal() - Check whether a registrar has to be told of
 * the latest withdrawal, or asked whether it has saved it, at once.
 * @member: the member
 * @link: state of the registrar
 * @now_ms: current time
 *
 * Return: whether it does not know it, or the next question is due; false if
 * enough registrars have saved it.
 */
bool ql_member__lacks_withdrawal(const ql_member_t *member,
				 const ql_member_link_t *link, uint64_t now_ms);

/**
 * ql_member__is_saving() - Check whether a registrar knows the latest
 * withdrawal and has not saved it.
 * @member: the member
 * @link: state of the registrar
 *
 * Return: false if enough registrars have saved it.
 */
bool ql_member__is_saving(const ql_member_t *member,
			  const ql_member_link_t *link);

/**
 * ql_member__fill_withdrawal() - Write the withdrawal to a renewal.
 * @member: the member
 * @index: index of the registrar
 * @args: the renewal
 */
void ql_member__fill_withdrawal(ql_member_t *member, int index,
				ql_rpc_lease_args *args);

/**
 * ql_member__apply_withdrawal() - Handle the withdrawal in a reply.
 * @member: the member
 * @index: index of the registrar
 * @res: the reply
 * @now_ms: current time
 */
void ql_member__apply_withdrawal(ql_member_t *member, int index,
				 const ql_rpc_lease_res *res, uint64_t now_ms);

/**
 * ql_member__update_agreement() - Check whether enough registrars know the
 * withdrawal, and have saved it, after a reply or a failure, or when time has
 * passed.
 * @member: the member
 * @now_ms: current time
 */
void ql_member__update_agreement(ql_member_t *member, uint64_t now_ms);

/**
 * ql_member__assume_agreement() - Stop waiting for the registrars, none of
 * which has answered for so long since the start that no report from before it
 * is still under way.
 * @member: the member
 */
void ql_member__assume_agreement(ql_member_t *member);

G_END_DECLS

#endif
