#include "control/registrar_withdrawals.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

int ql_withdrawal_read_rpc(ql_withdrawal_t *out, const ql_rpc_withdrawal *rpc)
{
	struct sockaddr_in unused;

	if (!ql_name_is_valid(rpc->service) ||
	    strlen(rpc->instance) >= sizeof(out->instance) ||
	    ql_address_parse(&unused, rpc->gate, NULL))
		return QL_E_INVALID;
	ql_withdrawal_init(out, rpc->instance, rpc->started_ms, rpc->sequence);
	return 0;
}

void ql_withdrawal_fill_rpc(ql_rpc_withdrawal *out, const char *service,
			    const char *gate, const ql_withdrawal_t *withdrawal)
{
	out->service = strdup(service);
	out->gate = strdup(gate);
	out->instance = strdup(withdrawal->instance);
	out->started_ms = withdrawal->started_ms;
	out->sequence = withdrawal->sequence;
}

/* Adds the record of an endpoint that has never been announced here. */
static ql_record_t *add_gone_record(ql_registrar_t *registrar,
				    const ql_rpc_greeting *greeting,
				    const ql_rpc_withdrawal *rpc,
				    uint64_t now_ms)
{
	ql_rpc_endpoint endpoint = {
		.service = rpc->service,
		.gate = rpc->gate,
		.node = greeting->node,
		.failure_domain = greeting->failure_domain,
		.state = QL_RPC_ENDPOINT_GONE,
	};

	if (!ql_registrar__store_record(registrar, &endpoint, now_ms))
		return NULL;
	return ql_registrar__find_record(registrar, rpc->service, rpc->gate);
}

/* Marks the record as changed, so that the other registrars receive it. */
static void store(ql_registrar_t *registrar, ql_record_t *record,
		  const ql_withdrawal_t *withdrawal, uint64_t now_ms)
{
	ql_record_version_t version = record->version;

	if (!withdrawal->instance[0])
		return;
	if (!record->withdrawal)
		record->withdrawal = g_new0(ql_withdrawal_t, 1);
	if (ql_withdrawal_merge(record->withdrawal, withdrawal))
		ql_registrar__set_version(registrar, record, &version, now_ms);
}

static void reply_with_later(const ql_record_t *record,
			     const ql_withdrawal_t *known,
			     ql_rpc_lease_res *res)
{
	ql_withdrawal_t later = *known;

	if (record->withdrawal &&
	    ql_withdrawal_merge(&later, record->withdrawal))
		ql_withdrawal_fill_rpc(
			&res->withdrawals.withdrawals_val
				 [res->withdrawals.withdrawals_len++],
			record->set->name, record->gate, &later);
}

void ql_registrar__renew_withdrawals(ql_registrar_t *registrar,
				     const ql_rpc_lease_args *args,
				     ql_rpc_lease_res *res, uint64_t now_ms)
{
	const ql_rpc_withdrawal *rpc;
	ql_withdrawal_t known;
	ql_record_t *record;
	u_int i;

	res->withdrawals.withdrawals_val =
		calloc(args->withdrawals.withdrawals_len + 1,
		       sizeof(ql_rpc_withdrawal));
	g_assert(res->withdrawals.withdrawals_val);
	for (i = 0; i < args->withdrawals.withdrawals_len; i++) {
		rpc = &args->withdrawals.withdrawals_val[i];
		if (ql_withdrawal_read_rpc(&known, rpc))
			continue;
		record = ql_registrar__find_record(registrar, rpc->service,
						   rpc->gate);
		if (!record && known.instance[0])
			record = add_gone_record(registrar, &args->greeting,
						 rpc, now_ms);
		if (!record)
			continue;
		store(registrar, record, &known, now_ms);
		reply_with_later(record, &known, res);
	}
}

void ql_registrar__merge_withdrawal(ql_registrar_t *registrar,
				    const ql_rpc_withdrawal *rpc,
				    uint64_t now_ms)
{
	ql_withdrawal_t withdrawal;
	ql_record_t *record;

	if (ql_withdrawal_read_rpc(&withdrawal, rpc)) {
		registrar->counts.malformed++;
		return;
	}
	record = ql_registrar__find_record(registrar, rpc->service, rpc->gate);
	if (record)
		store(registrar, record, &withdrawal, now_ms);
}
