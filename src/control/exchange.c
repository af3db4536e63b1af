#include "control/exchange.h"
#include "control/greeting.h"
#include "control/registrar_view.h"
#include "control/registrar_withdrawals.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

/* Least time between two calls to the same peer. */
#define CALL_INTERVAL_MIN_MS 500u
/*
 * Time between two calls to the same peer, to be multiplied by the number of
 * peers. It bounds the calls in a second, however many peers there are.
 */
#define CALL_INTERVAL_PER_PEER_MS 125u
/* Longest backoff of a peer, unless the call interval is longer. */
#define PEER_BACKOFF_MAX_MS 4000u
/* Bounds the shift that computes the backoff. */
#define PEER_BACKOFF_DOUBLINGS_MAX 8u
/* Largest deviation from an interval, as a fraction of it. */
#define CALL_JITTER 0.2
/* Consecutive replies with other digests that cause a full exchange. */
#define FULL_EXCHANGE_MISMATCHES 3u

static uint64_t add_jitter(ql_exchange_t *exchange, uint64_t delay_ms)
{
	double factor = g_rand_double_range(exchange->random, 1 - CALL_JITTER,
					    1 + CALL_JITTER);

	return (uint64_t)((double)delay_ms * factor);
}

void ql_exchange_init(ql_exchange_t *exchange, ql_registrar_t *registrar,
		      const char *node, size_t n_peers, GRand *random)
{
	size_t i;

	g_assert(n_peers <= QL_PEERS_MAX);
	memset(exchange, 0, sizeof(*exchange));
	exchange->registrar = registrar;
	exchange->n_peers = n_peers;
	exchange->random = random;
	exchange->interval_ms =
		MAX(CALL_INTERVAL_MIN_MS,
		    (uint32_t)n_peers * CALL_INTERVAL_PER_PEER_MS);
	g_strlcpy(exchange->node, node, sizeof(exchange->node));
	for (i = 0; i < n_peers; i++)
		exchange->peers[i].due_ms =
			registrar->opts.started_ms +
			(uint64_t)g_rand_int_range(
				random, 0, (gint32)exchange->interval_ms);
}

void ql_exchange_add_peer(ql_exchange_t *exchange, uint64_t now_ms)
{
	ql_exchange_peer_t *peer = &exchange->peers[exchange->n_peers++];

	memset(peer, 0, sizeof(*peer));
	peer->due_ms = now_ms;
	exchange->interval_ms =
		MAX(CALL_INTERVAL_MIN_MS,
		    (uint32_t)exchange->n_peers * CALL_INTERVAL_PER_PEER_MS);
}

int ql_exchange_next_peer(const ql_exchange_t *exchange, uint64_t now_ms,
			  uint64_t *delay_ms)
{
	uint64_t earliest_ms = now_ms + exchange->interval_ms;
	int found = -1;
	size_t i;

	for (i = 0; i < exchange->n_peers; i++) {
		if (exchange->peers[i].due_ms >= earliest_ms)
			continue;
		earliest_ms = exchange->peers[i].due_ms;
		found = (int)i;
	}
	*delay_ms = earliest_ms > now_ms ? earliest_ms - now_ms : 0;
	return *delay_ms ? -1 : found;
}

void ql_exchange_fill_request(const ql_exchange_t *exchange, size_t index,
			      ql_rpc_exchange_args *args)
{
	const ql_registrar_opts_t *opts = &exchange->registrar->opts;
	const ql_exchange_peer_t *peer = &exchange->peers[index];

	args->greeting.cluster = strdup(opts->cluster);
	args->greeting.node = strdup(exchange->node);
	args->greeting.failure_domain = strdup(opts->failure_domain);
	args->greeting.incarnation = opts->incarnation;
	args->greeting.protocol = QL_RPC_PROTOCOL_VERSION;
	args->registrar_incarnation = peer->incarnation;
	args->number = peer->seen_change_number;
}

static void merge_domain(ql_exchange_t *exchange, ql_exchange_peer_t *peer,
			 const ql_rpc_domain *domain, bool complete,
			 uint64_t now_ms)
{
	ql_registrar_t *registrar = exchange->registrar;
	ql_domain_entry_t *entry;
	uint64_t domain_confirmed_ms = now_ms - MIN(domain->age_ms, now_ms);

	if (!ql_name_is_valid(domain->name))
		return;
	entry = ql_registrar__add_domain(registrar, domain->name);
	if (!entry)
		return;
	if (complete && domain->digest != entry->digest)
		peer->mismatches++;
	if (!strcmp(domain->name, registrar->opts.failure_domain))
		return;
	entry->confirmed_ms = MAX(entry->confirmed_ms, domain_confirmed_ms);
	if (complete && domain->covered && !entry->covered) {
		entry->covered = true;
		registrar->domains_change_number = ++registrar->change_number;
	}
}

static void merge_domains(ql_exchange_t *exchange, ql_exchange_peer_t *peer,
			  const ql_rpc_exchange_res *res, uint64_t now_ms)
{
	uint32_t mismatches_before = peer->mismatches;
	u_int i;

	for (i = 0; i < res->domains.domains_len; i++)
		merge_domain(exchange, peer, &res->domains.domains_val[i],
			     !res->more, now_ms);
	if (res->more)
		return;
	peer->mismatches = peer->mismatches == mismatches_before
				   ? 0
				   : mismatches_before + 1;
	if (peer->mismatches < FULL_EXCHANGE_MISMATCHES)
		return;
	peer->mismatches = 0;
	peer->seen_change_number = 0;
	exchange->counts.full_exchanges++;
}

int ql_exchange_handle_reply(ql_exchange_t *exchange, size_t index,
			     const ql_rpc_exchange_res *res, uint64_t now_ms,
			     GError **error)
{
	ql_exchange_peer_t *peer = &exchange->peers[index];
	u_int i;

	if (res->status) {
		ql_exchange_failed(exchange, index, now_ms);
		return ql_error_set(error, (ql_error_code_t)res->status, "%s",
				    res->detail);
	}
	exchange->counts.answers++;
	exchange->counts.records += res->endpoints.endpoints_len;
	ql_registrar__record_contact(exchange->registrar,
				     res->registrar_incarnation, now_ms);
	for (i = 0; i < res->endpoints.endpoints_len; i++)
		ql_registrar__merge_record(exchange->registrar,
					   &res->endpoints.endpoints_val[i],
					   now_ms);
	for (i = 0; i < res->withdrawals.withdrawals_len; i++)
		ql_registrar__merge_withdrawal(
			exchange->registrar,
			&res->withdrawals.withdrawals_val[i], now_ms);
	peer->failures = 0;
	peer->incarnation = res->registrar_incarnation;
	peer->seen_change_number = res->number;
	merge_domains(exchange, peer, res, now_ms);
	peer->due_ms = now_ms;
	if (!res->more)
		peer->due_ms += add_jitter(exchange, exchange->interval_ms);
	return 0;
}

void ql_exchange_failed(ql_exchange_t *exchange, size_t index, uint64_t now_ms)
{
	ql_exchange_peer_t *peer = &exchange->peers[index];
	uint64_t delay_ms = (uint64_t)exchange->interval_ms
			    << MIN(peer->failures, PEER_BACKOFF_DOUBLINGS_MAX);

	exchange->counts.failures++;
	peer->failures++;
	delay_ms = CLAMP(delay_ms, exchange->interval_ms,
			 MAX(exchange->interval_ms, PEER_BACKOFF_MAX_MS));
	peer->due_ms = now_ms + add_jitter(exchange, delay_ms);
}

/* Returns the first record that changed after a change number, or NULL. */
static const ql_record_t *find_first_after(const ql_registrar_t *registrar,
					   uint64_t change_number)
{
	const ql_record_t *found = NULL;
	const ql_record_t *record =
		ql_table_get(&registrar->records, registrar->newest);

	while (record && record->change_number > change_number) {
		found = record;
		record = ql_table_get(&registrar->records, record->older);
	}
	return found;
}

static void write_withdrawal(const ql_record_t *record,
			     ql_rpc_exchange_res *res)
{
	u_int n = res->withdrawals.withdrawals_len;

	if (!record->withdrawal)
		return;
	ql_withdrawal_fill_rpc(&res->withdrawals.withdrawals_val[n],
			       record->set->name, record->gate,
			       record->withdrawal);
	res->withdrawals.withdrawals_len = n + 1;
}

static void write_records(const ql_registrar_t *registrar, uint64_t since,
			  ql_rpc_exchange_res *res)
{
	ql_rpc_endpoint *out =
		calloc(QL_RPC_EXCHANGE_MAX, sizeof(ql_rpc_endpoint));
	const ql_record_t *record = find_first_after(registrar, since);
	u_int n = 0;

	res->withdrawals.withdrawals_val =
		calloc(QL_RPC_EXCHANGE_MAX, sizeof(ql_rpc_withdrawal));
	g_assert(out && res->withdrawals.withdrawals_val);
	res->endpoints.endpoints_val = out;
	res->number = registrar->change_number;
	while (record && n < QL_RPC_EXCHANGE_MAX) {
		ql_registrar__fill_endpoint(&out[n++], record);
		write_withdrawal(record, res);
		res->number = record->change_number;
		record = ql_table_get(&registrar->records, record->newer);
	}
	res->endpoints.endpoints_len = n;
	res->more = record ? TRUE : FALSE;
	if (!res->more)
		res->number = registrar->change_number;
}

void ql_exchange_handle_request(ql_registrar_t *registrar,
				const ql_rpc_exchange_args *args,
				ql_rpc_exchange_res *res, uint64_t now_ms)
{
	uint64_t since = args->number;

	res->status = ql_greeting_check(&args->greeting,
					registrar->opts.cluster, &res->detail);
	if (res->status) {
		registrar->counts.denied++;
		return;
	}
	res->detail = strdup("");
	ql_registrar__record_contact(registrar, args->greeting.incarnation,
				     now_ms);
	if (args->registrar_incarnation != registrar->opts.incarnation ||
	    since > registrar->change_number)
		since = 0;
	res->registrar_incarnation = registrar->opts.incarnation;
	write_records(registrar, since, res);
	ql_registrar__fill_domains(registrar, &res->domains.domains_len,
				   &res->domains.domains_val, now_ms);
}
