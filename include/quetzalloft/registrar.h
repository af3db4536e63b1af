#ifndef QUETZALLOFT_REGISTRAR_H
#define QUETZALLOFT_REGISTRAR_H

/**
 * DOC: A registrar of a failure domain: it holds the leases of the nodes of
 * its domain, knows the endpoints of all domains, and hands out endpoints and
 * configuration as deltas. It has no thread, socket or clock of its own.
 */

#include "quetzalloft/config_state.h"
#include "quetzalloft/record.h"
#include "quetzalloft/table.h"

#include "control.h"

G_BEGIN_DECLS

/**
 * struct ql_registrar_opts - Settings of a registrar.
 * @cluster: name of the cluster
 * @failure_domain: whose nodes it serves
 * @incarnation: start of this process
 * @started_ms: when it started
 * @lease_ms: how long a lease lasts without renewal; also how long a registrar
 *            that has just started is not trusted to know every node
 * @rules: order of records and warm-up; NULL for the sound ones
 */
typedef struct ql_registrar_opts {
	char cluster[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	uint64_t incarnation;
	uint64_t started_ms;
	uint32_t lease_ms;
	const ql_membership_rules_t *rules;
} ql_registrar_opts_t;

/**
 * struct ql_registrar_counts - What a registrar counts.
 * @renewals: leases renewed
 * @denied: senders of another cluster, domain or identity
 * @malformed: records that were not taken in
 * @expired: leases that ran out
 * @refuted: records of another registrar that a live lease contradicted
 * @whole_lists: services that were sent whole
 * @records_sent: endpoints in answers to nodes
 * @records_full: records refused because the table is full
 * @diverged: nodes that hold another document under the same version
 */
typedef struct ql_registrar_counts {
	uint64_t renewals;
	uint64_t denied;
	uint64_t malformed;
	uint64_t expired;
	uint64_t refuted;
	uint64_t whole_lists;
	uint64_t records_sent;
	uint64_t records_full;
	uint64_t diverged;
} ql_registrar_counts_t;

/**
 * struct ql_registrar - The registrar.
 * @opts: settings
 * @config: the configuration; borrowed
 * @records: table of endpoints, those that are gone included
 * @by_key: handles of @records by ql_record_key()
 * @newest: the record that changed last; records are linked by age
 * @services: endpoints by service
 * @nodes: leases by name of the node, only of this failure domain
 * @gates: names of nodes by gate
 * @registrar_contacts: when each registrar of this domain was heard, by
 * incarnation
 * @domains: what is known of each failure domain
 * @change_number: number of the last change
 * @domains_change_number: number of the last change of @domains
 * @last_sweep_ms: when old records were dropped last
 * @last_tick_ms: when ql_registrar_tick() was called last
 * @last_replica_answer_ms: when a replica answered last; 0 for never
 * @config_current: its configuration is the newest, as the replica beside it
 * knows
 * @addresses: the registrars that nodes are told of
 * @n_addresses: their number; 0 tells nodes nothing
 */
typedef struct ql_registrar {
	ql_registrar_opts_t opts;
	ql_config_state_t *config;
	ql_table_t records;
	GHashTable *by_key;
	ql_handle_t newest;
	GHashTable *services;
	GHashTable *nodes;
	GHashTable *gates;
	GHashTable *registrar_contacts;
	GHashTable *domains;
	uint64_t change_number;
	uint64_t domains_change_number;
	uint64_t last_sweep_ms;
	uint64_t last_tick_ms;
	uint64_t last_replica_answer_ms;
	bool config_current;
	char addresses[QL_RPC_REGISTRARS_MAX][QL_ADDRESS_MAX];
	size_t n_addresses;
	ql_registrar_counts_t counts;
} ql_registrar_t;

void ql_registrar_init(ql_registrar_t *registrar,
		       const ql_registrar_opts_t *opts,
		       ql_config_state_t *config);
void ql_registrar_finish(ql_registrar_t *registrar);

/**
 * ql_registrar_set_addresses() - The registrars that nodes are told of.
 * @registrar: the registrar
 * @addresses: "IP:port" of each, this one included
 * @n_addresses: their number, up to QL_RPC_REGISTRARS_MAX
 */
void ql_registrar_set_addresses(ql_registrar_t *registrar,
				char (*addresses)[QL_ADDRESS_MAX],
				size_t n_addresses);

/**
 * ql_registrar_handle_lease() - Answer a node that renews its lease.
 * @registrar: the registrar
 * @args: what the node sent
 * @res: the answer, zeros at first; freed by its XDR routine
 * @now_ms: the time
 *
 * A sender of another cluster or failure domain, or one that claims the name
 * or the gate of a node with a live lease, is refused with QL_E_DENIED.
 */
void ql_registrar_handle_lease(ql_registrar_t *registrar,
			       const ql_rpc_lease_args *args,
			       ql_rpc_lease_res *res, uint64_t now_ms);

/**
 * ql_registrar_handle_offer() - Take the document of a node that is ahead.
 * @registrar: the registrar
 * @args: what the node sent
 * @now_ms: the time
 * @error: detail of a failure
 *
 * Return: 0; QL_E_DENIED when the sender holds no lease here; QL_E_EXISTS when
 * a replica answers, which is asked instead; QL_E_CORRUPT when the document
 * does not match its digest; or what ql_document_compile() found.
 */
int ql_registrar_handle_offer(ql_registrar_t *registrar,
			      const ql_rpc_offer_args *args, uint64_t now_ms,
			      GError **error);

/**
 * ql_registrar_record_replica_answer() - A replica answered.
 * @registrar: the registrar
 * @now_ms: the time
 */
void ql_registrar_record_replica_answer(ql_registrar_t *registrar,
					uint64_t now_ms);

/**
 * ql_registrar_tick() - Expire leases, mark silent domains, drop old records.
 * @registrar: the registrar
 * @now_ms: the time
 *
 * Called several times a second. After a pause in which the process stood
 * still, leases run on, since their renewals still wait to be read.
 */
void ql_registrar_tick(ql_registrar_t *registrar, uint64_t now_ms);

/**
 * ql_registrar_set_current() - The replica in the same process is current.
 * @registrar: the registrar
 * @current: whether it is
 */
void ql_registrar_set_current(ql_registrar_t *registrar, bool current);

/**
 * ql_registrar_is_ready() - Whether it has run for a lease.
 * @registrar: the registrar
 * @now_ms: the time
 *
 * Return: whether every living node of the domain had time to renew.
 */
bool ql_registrar_is_ready(const ql_registrar_t *registrar, uint64_t now_ms);

/**
 * ql_registrar_report() - The members as JSON, for operators.
 * @registrar: the registrar
 * @now_ms: the time
 *
 * Nodes of this domain have their lease age, their version in force and their
 * endpoints; for other domains the endpoints are listed.
 *
 * Return: a new reference.
 */
json_t *ql_registrar_report(const ql_registrar_t *registrar, uint64_t now_ms);

G_END_DECLS

#endif
