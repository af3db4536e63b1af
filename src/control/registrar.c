#include "quetzalloft/registrar.h"
#include "control/greeting.h"
#include "control/registrar_view.h"
#include "control/registrar_withdrawals.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdlib.h>
#include <string.h>

/* A failure domain becomes stale this long after its last confirmation. */
#define DOMAIN_STALE_MS 5000u
/* Time between two removals of old records. */
#define RECORD_SWEEP_INTERVAL_MS 10000u
/* The process counts as suspended after this time without a tick. */
#define PROCESS_PAUSE_MIN_MS 1000u
/* Time after an answer of a replica in which documents of nodes are refused. */
#define REPLICA_ANSWER_FRESH_MS 5000u

void ql_registrar_init(ql_registrar_t *registrar,
		       const ql_registrar_opts_t *opts,
		       ql_config_state_t *config)
{
	ql_domain_entry_t *own_domain;

	memset(registrar, 0, sizeof(*registrar));
	registrar->opts = *opts;
	if (!registrar->opts.rules)
		registrar->opts.rules = &ql_membership_rules;
	registrar->config = config;
	ql_registrar__records_init(registrar);
	ql_registrar__leases_init(registrar);
	own_domain = ql_registrar__add_domain(registrar, opts->failure_domain);
	own_domain->confirmed_ms = opts->started_ms;
}

void ql_registrar_finish(ql_registrar_t *registrar)
{
	ql_registrar__leases_finish(registrar);
	ql_registrar__records_finish(registrar);
}

bool ql_registrar_is_ready(const ql_registrar_t *registrar, uint64_t now_ms)
{
	return registrar->opts.rules->is_warm(registrar->opts.started_ms,
					      registrar->opts.lease_ms, now_ms);
}

void ql_registrar_record_replica_answer(ql_registrar_t *registrar,
					uint64_t now_ms)
{
	registrar->last_replica_answer_ms = now_ms;
}

void ql_registrar_set_current(ql_registrar_t *registrar, bool current)
{
	registrar->config_current = current;
}

static bool replica_answered_recently(const ql_registrar_t *registrar,
				      uint64_t now_ms)
{
	return registrar->last_replica_answer_ms &&
	       now_ms - registrar->last_replica_answer_ms <
		       REPLICA_ANSWER_FRESH_MS;
}

void ql_registrar_set_addresses(ql_registrar_t *registrar,
				char (*addresses)[QL_ADDRESS_MAX],
				size_t n_addresses)
{
	size_t bytes = n_addresses * sizeof(*addresses);

	g_assert(n_addresses <= QL_RPC_REGISTRARS_MAX);
	if (n_addresses == registrar->n_addresses &&
	    !memcmp(registrar->addresses, addresses, bytes))
		return;
	memcpy(registrar->addresses, addresses, bytes);
	registrar->n_addresses = n_addresses;
	/* The addresses are sent together with the failure domains. */
	registrar->domains_change_number = ++registrar->change_number;
}

static void fill_registrars(const ql_registrar_t *registrar,
			    ql_rpc_lease_res *res)
{
	ql_rpc_registrar *out =
		calloc(registrar->n_addresses + 1, sizeof(*out));
	size_t i;

	g_assert(out);
	for (i = 0; i < registrar->n_addresses; i++)
		out[i].address = strdup(registrar->addresses[i]);
	res->registrars.registrars_val = out;
	res->registrars.registrars_len = (u_int)registrar->n_addresses;
}

static void fill_config(ql_registrar_t *registrar,
			const ql_rpc_lease_args *args, ql_rpc_lease_res *res,
			uint64_t now_ms)
{
	const ql_document_t *doc = registrar->config->doc;
	ql_config_reply_t reply = {
		.whole_document = &res->whole_document,
		.document_len = &res->document.document_len,
		.document_val = &res->document.document_val,
		.changes_len = &res->changes.changes_len,
		.changes_val = &res->changes.changes_val,
	};

	res->config_version = doc->version;
	if (args->config_version == doc->version &&
	    args->config_digest != doc->digest)
		registrar->counts.diverged++;
	res->want_document = args->config_version > doc->version &&
			     !replica_answered_recently(registrar, now_ms);
	if (args->want_whole_document)
		ql_config_reply_fill_whole(&reply, registrar->config);
	else
		ql_config_reply_fill(&reply, registrar->config,
				     args->config_version);
}

static void refuse_lease(ql_registrar_t *registrar, ql_rpc_lease_res *res,
			 int status)
{
	registrar->counts.denied++;
	res->status = status;
	if (status == QL_E_DENIED)
		res->detail = strdup("the node is not in this failure domain, "
				     "or its name or gate belongs to a node "
				     "with a live lease");
	else if (status == QL_E_STALE)
		res->detail = strdup("the sequence is not above that of the "
				     "last renewal");
	else
		res->detail = strdup("a name or an address is malformed");
}

void ql_registrar_handle_lease(ql_registrar_t *registrar,
			       const ql_rpc_lease_args *args,
			       ql_rpc_lease_res *res, uint64_t now_ms)
{
	ql_node_lease_t *lease;
	int ret;

	res->status = ql_greeting_check(&args->greeting,
					registrar->opts.cluster, &res->detail);
	if (res->status) {
		registrar->counts.denied++;
		return;
	}
	ret = ql_registrar__renew_lease(registrar, &lease, args, res, now_ms);
	if (ret) {
		refuse_lease(registrar, res, ret);
		return;
	}
	registrar->counts.renewals++;
	res->detail = strdup("");
	res->lease_ms = registrar->opts.lease_ms;
	res->registrar_incarnation = registrar->opts.incarnation;
	/*
	 * A node may have a newer configuration than this registrar. Unless a
	 * replica confirms that there is none, every node must have had the
	 * time to report its version, which takes one lease.
	 */
	res->ready = registrar->config_current ||
		     ql_registrar_is_ready(registrar, now_ms);
	ql_registrar__renew_withdrawals(registrar, args, res, now_ms);
	ql_registrar__fill_services(registrar, lease, args, res);
	if (args->has_interest ||
	    args->members_number < registrar->domains_change_number) {
		ql_registrar__fill_domains(registrar, &res->domains.domains_len,
					   &res->domains.domains_val, now_ms);
		fill_registrars(registrar, res);
	}
	fill_config(registrar, args, res, now_ms);
}

void ql_registrar_fill_proof(const ql_registrar_t *registrar,
			     const ql_rpc_lease_args *args,
			     ql_rpc_lease_res *res, uint64_t age_ms)
{
	const ql_document_t *doc = registrar->config->doc;

	if (res->status || args->config_version > doc->version ||
	    (args->config_version == doc->version &&
	     args->config_digest != doc->digest))
		return;
	res->has_proof = TRUE;
	res->proof_age_ms = age_ms;
}

static int check_offer_sender(const ql_registrar_t *registrar,
			      const ql_rpc_offer_args *args, uint64_t now_ms,
			      GError **error)
{
	const ql_node_lease_t *lease =
		g_hash_table_lookup(registrar->nodes, args->greeting.node);

	if (!lease || lease->from_peer || now_ms >= lease->expires_ms ||
	    lease->incarnation != args->greeting.incarnation)
		return ql_error_set(error, QL_E_DENIED,
				    "the sender has no live lease here");
	if (replica_answered_recently(registrar, now_ms))
		return ql_error_set(error, QL_E_EXISTS,
				    "a replica has answered recently, so "
				    "documents are taken from the replicas");
	return 0;
}

static int check_offer_digest(const ql_rpc_offer_args *args, GError **error)
{
	json_t *json = NULL;
	uint64_t digest;
	int ret;

	ret = ql_json_parse(&json, args->document.document_val,
			    args->document.document_len, error);
	if (ret)
		return ret;
	digest = ql_document_digest(json);
	json_decref(json);
	return digest == args->digest
		       ? 0
		       : ql_error_set(error, QL_E_CORRUPT,
				      "the document does not match its digest");
}

int ql_registrar_handle_offer(ql_registrar_t *registrar,
			      const ql_rpc_offer_args *args, uint64_t now_ms,
			      GError **error)
{
	int ret = check_offer_sender(registrar, args, now_ms, error);

	if (!ret)
		ret = check_offer_digest(args, error);
	return ret ? ret
		   : ql_config_state_replace_document(
			     registrar->config, args->config_version,
			     args->document.document_val,
			     args->document.document_len, error);
}

/* Updates the flags of a failure domain; returns whether one has changed. */
static bool update_domain(const ql_registrar_t *registrar,
			  ql_domain_entry_t *entry, uint64_t now_ms)
{
	bool stale, covered = entry->covered;

	if (!strcmp(entry->name, registrar->opts.failure_domain)) {
		entry->confirmed_ms = now_ms;
		entry->covered = ql_registrar_is_ready(registrar, now_ms);
	}
	stale = now_ms - MIN(entry->confirmed_ms, now_ms) > DOMAIN_STALE_MS;
	if (entry->stale == stale && entry->covered == covered)
		return false;
	entry->stale = stale;
	return true;
}

static void update_domains(ql_registrar_t *registrar, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registrar->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (update_domain(registrar, value, now_ms))
			registrar->domains_change_number =
				++registrar->change_number;
}

/* The time for which this process was suspended does not count for leases. */
static void extend_leases_after_pause(ql_registrar_t *registrar,
				      uint64_t now_ms)
{
	uint64_t gap_ms = now_ms - registrar->last_tick_ms;

	if (registrar->last_tick_ms && gap_ms >= PROCESS_PAUSE_MIN_MS) {
		ql_registrar__extend_leases(registrar, gap_ms);
		/*
		 * The registrar is not ready until every node has had the time
		 * to renew, so that nodes keep the endpoints that it misses.
		 */
		registrar->opts.started_ms = now_ms;
	}
	registrar->last_tick_ms = now_ms;
}

void ql_registrar_tick(ql_registrar_t *registrar, uint64_t now_ms)
{
	extend_leases_after_pause(registrar, now_ms);
	ql_registrar__expire_leases(registrar, now_ms);
	update_domains(registrar, now_ms);
	if (now_ms - registrar->last_sweep_ms < RECORD_SWEEP_INTERVAL_MS)
		return;
	registrar->last_sweep_ms = now_ms;
	ql_registrar__drop_old_records(registrar, now_ms);
}
