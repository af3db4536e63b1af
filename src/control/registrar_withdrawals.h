#ifndef QL_CONTROL_REGISTRAR_WITHDRAWALS_H
#define QL_CONTROL_REGISTRAR_WITHDRAWALS_H

/**
 * DOC: The withdrawals that a registrar keeps for the nodes of its failure
 * domain, see quetzalloft/withdrawal.h. Each is a part of the record of its
 * endpoint and is exchanged between the registrars together with it.
 */

#include "control/registrar_records.h"

G_BEGIN_DECLS

/**
 * ql_withdrawal_read_rpc() - Read a received withdrawal.
 * @out: the withdrawal
 * @rpc: the received one
 *
 * Return: 0, or QL_E_INVALID for a malformed service, gate or ID.
 */
int ql_withdrawal_read_rpc(ql_withdrawal_t *out, const ql_rpc_withdrawal *rpc);

/**
 * ql_withdrawal_fill_rpc() - Write a withdrawal to be sent.
 * @out: the message, to be freed by its XDR routine
 * @service: service of the endpoint
 * @gate: "IP:port" of its gate
 * @withdrawal: the withdrawal
 */
void ql_withdrawal_fill_rpc(ql_rpc_withdrawal *out, const char *service,
			    const char *gate,
			    const ql_withdrawal_t *withdrawal);

/**
 * ql_registrar__renew_withdrawals() - Keep the withdrawals in a renewal, and
 * reply with those of which a later one is known.
 * @registrar: the registrar
 * @args: the renewal
 * @res: the reply
 * @now_ms: current time
 */
void ql_registrar__renew_withdrawals(ql_registrar_t *registrar,
				     const ql_rpc_lease_args *args,
				     ql_rpc_lease_res *res, uint64_t now_ms);

/**
 * ql_registrar__merge_withdrawal() - Merge a withdrawal that another registrar
 * sent.
 * @registrar: the registrar
 * @rpc: the withdrawal; a malformed one, and one without a record of its
 *       endpoint, is ignored
 * @now_ms: current time
 */
void ql_registrar__merge_withdrawal(ql_registrar_t *registrar,
				    const ql_rpc_withdrawal *rpc,
				    uint64_t now_ms);

G_END_DECLS

#endif
