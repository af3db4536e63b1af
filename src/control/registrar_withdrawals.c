#include "control/registrar_withdrawals.h"
#include "control/replica_codec.h"
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
				    const ql_rpc_withdrawal *rpc, char *node,
				    char *failure_domain, uint64_t now_ms)
{
	ql_rpc_endpoint endpoint = {
		.service = rpc->service,
		.gate = rpc->gate,
		.node = node,
		.failure_domain = failure_domain,
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
	if (!ql_withdrawal_merge(record->withdrawal, withdrawal))
		return;
	ql_registrar__set_version(registrar, record, &version, now_ms);
	record->withdrawal_number = record->change_number;
	registrar->withdrawals_change_number = record->change_number;
	if (!registrar->opts.saves_withdrawals)
		registrar->withdrawals_saved_number = record->change_number;
}

static bool is_saved(const ql_registrar_t *registrar, const ql_record_t *record)
{
	return record->withdrawal_number <= registrar->withdrawals_saved_number;
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

/* Returns whether what is known of the gate is saved. */
static bool renew_withdrawal(ql_registrar_t *registrar,
			     const ql_rpc_greeting *greeting,
			     const ql_rpc_withdrawal *rpc,
			     ql_rpc_lease_res *res, uint64_t now_ms)
{
	ql_withdrawal_t known;
	ql_record_t *record;

	if (ql_withdrawal_read_rpc(&known, rpc))
		return false;
	record = ql_registrar__find_record(registrar, rpc->service, rpc->gate);
	if (!record && known.instance[0])
		record = add_gone_record(registrar, rpc, greeting->node,
					 greeting->failure_domain, now_ms);
	if (!record)
		return !known.instance[0];
	store(registrar, record, &known, now_ms);
	reply_with_later(record, &known, res);
	return is_saved(registrar, record);
}

void ql_registrar__renew_withdrawals(ql_registrar_t *registrar,
				     const ql_rpc_lease_args *args,
				     ql_rpc_lease_res *res, uint64_t now_ms)
{
	u_int i;

	res->withdrawals.withdrawals_val =
		calloc(args->withdrawals.withdrawals_len + 1,
		       sizeof(ql_rpc_withdrawal));
	g_assert(res->withdrawals.withdrawals_val);
	res->withdrawals_saved = TRUE;
	for (i = 0; i < args->withdrawals.withdrawals_len; i++)
		if (!renew_withdrawal(registrar, &args->greeting,
				      &args->withdrawals.withdrawals_val[i],
				      res, now_ms))
			res->withdrawals_saved = FALSE;
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

bool ql_registrar_has_unsaved_withdrawals(const ql_registrar_t *registrar)
{
	return registrar->withdrawals_change_number >
	       registrar->withdrawals_saved_number;
}

static GBytes *encode_record(const ql_record_t *record)
{
	ql_rpc_kept_withdrawal kept = {
		.node = strdup(record->node),
		.failure_domain = strdup(record->failure_domain),
	};
	GBytes *encoded;

	ql_withdrawal_fill_rpc(&kept.latest, record->set->name, record->gate,
			       record->withdrawal);
	encoded =
		ql_replica_encode((xdrproc_t)xdr_ql_rpc_kept_withdrawal, &kept);
	xdr_free((xdrproc_t)xdr_ql_rpc_kept_withdrawal, (char *)&kept);
	return encoded;
}

GPtrArray *ql_registrar_encode_withdrawals(const ql_registrar_t *registrar,
					   uint64_t since)
{
	GPtrArray *encoded =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	const ql_record_t *record =
		ql_table_get(&registrar->records, registrar->newest);

	while (record && record->change_number > since) {
		if (record->withdrawal && record->withdrawal_number > since)
			g_ptr_array_add(encoded, encode_record(record));
		record = ql_table_get(&registrar->records, record->older);
	}
	return encoded;
}

void ql_registrar_set_withdrawals_saved(ql_registrar_t *registrar,
					uint64_t number)
{
	registrar->withdrawals_saved_number =
		MAX(registrar->withdrawals_saved_number, number);
}

/* Returns whether the names are such that a record of them can be made. */
static bool is_valid_kept(const ql_rpc_kept_withdrawal *kept,
			  ql_withdrawal_t *latest)
{
	return !ql_withdrawal_read_rpc(latest, &kept->latest) &&
	       ql_name_is_valid(kept->node) &&
	       ql_name_is_valid(kept->failure_domain);
}

static int restore_kept(ql_registrar_t *registrar,
			const ql_rpc_kept_withdrawal *kept, uint64_t now_ms)
{
	const ql_rpc_withdrawal *rpc = &kept->latest;
	ql_withdrawal_t latest;
	ql_record_t *record;

	if (!is_valid_kept(kept, &latest))
		return QL_E_CORRUPT;
	record = ql_registrar__find_record(registrar, rpc->service, rpc->gate);
	if (!record)
		record = add_gone_record(registrar, rpc, kept->node,
					 kept->failure_domain, now_ms);
	if (!record)
		return QL_E_FULL;
	store(registrar, record, &latest, now_ms);
	return 0;
}

int ql_registrar_restore_withdrawal(ql_registrar_t *registrar, GBytes *saved,
				    uint64_t now_ms)
{
	ql_rpc_kept_withdrawal kept = {0};
	int ret;

	if (!ql_replica_decode((xdrproc_t)xdr_ql_rpc_kept_withdrawal, &kept,
			       saved))
		return QL_E_CORRUPT;
	ret = restore_kept(registrar, &kept, now_ms);
	xdr_free((xdrproc_t)xdr_ql_rpc_kept_withdrawal, (char *)&kept);
	return ret;
}
