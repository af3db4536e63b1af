#ifndef QUETZALLOFT_REGISTRAR_H
#define QUETZALLOFT_REGISTRAR_H

/**
 * DOC: Registrar of a failure domain. It grants leases to the nodes of its
 * failure domain, stores the endpoints of all failure domains, and sends each
 * node the endpoints and the configuration that it needs, as deltas. It has no
 * thread, socket or clock of its own: the caller serializes the calls and
 * passes the time in milliseconds of one clock.
 */

#include "quetzalloft/config_state.h"
#include "quetzalloft/record.h"
#include "quetzalloft/table.h"

#include "control.h"

G_BEGIN_DECLS

/**
 * struct ql_registrar_opts - Options of a registrar.
 * @cluster: name of the cluster; requests of other clusters are refused
 * @failure_domain: name of the failure domain whose nodes it grants leases to
 * @incarnation: identifies this start of the process
 * @started_ms: time of the start; the registrar replaces it by the time at
 *              which its process resumed after a suspension
 * @lease_ms: duration of a lease. A registrar becomes ready when this time has
 *            passed since @started_ms, since by then every living node has
 *            renewed its lease.
 * @rules: how record versions are compared and when a registrar is ready;
 *         NULL for &ql_membership_rules
 * @saves_withdrawals: the caller saves withdrawals, see
 *                     ql_registrar_unsaved_withdrawals(); otherwise they are
 *                     lost with the memory of the process
 */
typedef struct ql_registrar_opts {
	char cluster[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	uint64_t incarnation;
	uint64_t started_ms;
	uint32_t lease_ms;
	const ql_membership_rules_t *rules;
	bool saves_withdrawals;
} ql_registrar_opts_t;

/**
 * struct ql_registrar_counts - Counters of a registrar since its start.
 * @renewals: lease requests granted
 * @denied: lease and exchange requests refused, for whatever reason
 * @malformed: records of other registrars that ql_record_check() rejected
 * @expired: leases that expired
 * @refuted: records of other registrars that reported an endpoint as gone
 *           although its node had renewed its lease here less than half a lease
 *           ago
 * @whole_lists: services whose complete endpoint list was sent to a node
 * @records_sent: endpoints sent to nodes
 * @records_full: records dropped because the table of records, services or
 *                failure domains was full
 * @diverged: lease requests of nodes whose document has the same version as
 *            the registrar's and another digest
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
 * struct ql_registrar - A registrar.
 * @opts: options
 * @config: configuration that is sent to the nodes; borrowed
 * @records: table of &struct ql_record, including endpoints that are gone
 * @by_key: handle in @records by ql_record_key()
 * @newest: handle of the record that changed last; the records form a list in
 *          the order of their last change
 * @services: &struct ql_service_set by service name
 * @nodes: &struct ql_node_lease by node name, of this failure domain only
 * @gates: node name by gate address, of this failure domain only
 * @registrar_contacts: time of the last contact with each other registrar in
 *                      milliseconds, by its incarnation
 * @domains: &struct ql_domain_entry by name of the failure domain
 * @change_number: number of the last change; every change of a record, of a
 *                 failure domain or of @addresses gets the next number
 * @domains_change_number: number of the last change of @domains or @addresses
 * @withdrawals_change_number: number of the last change of a withdrawal
 * @withdrawals_saved_number: withdrawals that changed up to this number are
 *                            saved
 * @last_sweep_ms: time of the last ql_registrar__drop_old_records()
 * @last_tick_ms: time of the last ql_registrar_tick(); 0 for none
 * @last_replica_answer_ms: time of the last answer of a replica; 0 for none
 * @config_current: the replica in the same process has confirmed that @config
 *                  is current
 * @addresses: "IP:port" of the registrars that nodes are to use
 * @n_addresses: number of @addresses; 0 leaves the nodes with their settings
 * @counts: counters
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
	uint64_t withdrawals_change_number;
	uint64_t withdrawals_saved_number;
	uint64_t last_sweep_ms;
	uint64_t last_tick_ms;
	uint64_t last_replica_answer_ms;
	bool config_current;
	char addresses[QL_RPC_REGISTRARS_MAX][QL_ADDRESS_MAX];
	size_t n_addresses;
	ql_registrar_counts_t counts;
} ql_registrar_t;

/**
 * ql_registrar_init() - Initialize a registrar without nodes and endpoints.
 * @registrar: the registrar
 * @opts: options; copied
 * @config: configuration that is sent to the nodes; borrowed
 */
void ql_registrar_init(ql_registrar_t *registrar,
		       const ql_registrar_opts_t *opts,
		       ql_config_state_t *config);

/**
 * ql_registrar_finish() - Free what a registrar has allocated.
 * @registrar: the registrar
 */
void ql_registrar_finish(ql_registrar_t *registrar);

/**
 * ql_registrar_set_addresses() - Set the registrars that nodes are to use.
 * @registrar: the registrar
 * @addresses: "IP:port" of each, this one included
 * @n_addresses: number of @addresses, up to QL_RPC_REGISTRARS_MAX
 *
 * The nodes receive a changed list with their next renewal.
 */
void ql_registrar_set_addresses(ql_registrar_t *registrar,
				char (*addresses)[QL_ADDRESS_MAX],
				size_t n_addresses);

/**
 * ql_registrar_handle_lease() - Handle a node's request to renew its lease.
 * @registrar: the registrar
 * @args: the request
 * @res: the reply, zeros at first; the caller frees it with its XDR routine
 * @now_ms: current time
 *
 * @res->status is 0 or an error:
 * QL_E_DENIED for another cluster or failure domain, for endpoints of another
 * node, and when the name or a gate belongs to a node with a live lease;
 * QL_E_PROTOCOL for another protocol version;
 * QL_E_STALE when the sequence is not above that of the last renewal;
 * QL_E_INVALID for a malformed name or address.
 */
void ql_registrar_handle_lease(ql_registrar_t *registrar,
			       const ql_rpc_lease_args *args,
			       ql_rpc_lease_res *res, uint64_t now_ms);

/**
 * ql_registrar_fill_proof() - Add to a reply a proof of the configuration in
 * it.
 * @registrar: the registrar
 * @args: the request
 * @res: the reply of ql_registrar_handle_lease()
 * @age_ms: time since the configuration is known to have been the newest
 *
 * Nothing is added to a refusal, or for a node whose configuration is a later
 * version or has the same version and another digest: the proof would not be
 * about what the node has in force.
 */
void ql_registrar_fill_proof(const ql_registrar_t *registrar,
			     const ql_rpc_lease_args *args,
			     ql_rpc_lease_res *res, uint64_t age_ms);

/**
 * ql_registrar_handle_offer() - Take over the newer document of a node.
 * @registrar: the registrar
 * @args: the request with the document
 * @now_ms: current time
 * @error: detail of a failure
 *
 * Return: 0, also when the offered version is not newer; QL_E_DENIED when the
 * sender has no live lease here; QL_E_EXISTS when a replica has answered
 * recently, as the registrar then takes the document from the replicas;
 * QL_E_CORRUPT when the document does not match its digest; or an error of
 * ql_json_parse() or ql_config_state_replace_document().
 */
int ql_registrar_handle_offer(ql_registrar_t *registrar,
			      const ql_rpc_offer_args *args, uint64_t now_ms,
			      GError **error);

/**
 * ql_registrar_record_replica_answer() - Record that a replica has answered.
 * @registrar: the registrar
 * @now_ms: current time
 */
void ql_registrar_record_replica_answer(ql_registrar_t *registrar,
					uint64_t now_ms);

/**
 * ql_registrar_tick() - Expire leases, mark stale failure domains and drop old
 * records.
 * @registrar: the registrar
 * @now_ms: current time
 *
 * To be called several times a second. A second or more without a tick counts
 * as a suspension of the process: all leases are extended by the time since the
 * last tick, because the renewals of that time are still to be read, and the
 * registrar is not ready until another lease duration has passed.
 */
void ql_registrar_tick(ql_registrar_t *registrar, uint64_t now_ms);

/**
 * ql_registrar_set_current() - Set whether the configuration is current.
 * @registrar: the registrar
 * @current: whether the replica in the same process has confirmed it
 *
 * With a current configuration, nodes treat the registrar as ready at once.
 */
void ql_registrar_set_current(ql_registrar_t *registrar, bool current);

/**
 * ql_registrar_is_ready() - Return whether a registrar has run for the duration
 * of one lease since its start or its last suspension.
 * @registrar: the registrar
 * @now_ms: current time
 *
 * Return: true when every living node of the failure domain has had time to
 * renew its lease, so that endpoints without a lease can be considered gone.
 */
bool ql_registrar_is_ready(const ql_registrar_t *registrar, uint64_t now_ms);

/**
 * ql_registrar_has_unsaved_withdrawals() - Return whether a withdrawal has to
 * be saved.
 * @registrar: the registrar
 *
 * Return: false for a registrar without @saves_withdrawals.
 */
bool ql_registrar_has_unsaved_withdrawals(const ql_registrar_t *registrar);

/**
 * ql_registrar_encode_withdrawals() - Encode the withdrawals that have changed.
 * @registrar: the registrar
 * @since: number of the last change that is not needed; 0 for all withdrawals
 *
 * Return: a new array of GBytes, which it owns.
 */
GPtrArray *ql_registrar_encode_withdrawals(const ql_registrar_t *registrar,
					   uint64_t since);

/**
 * ql_registrar_set_withdrawals_saved() - Note that withdrawals are saved, so
 * that nodes are told that these are not lost in a restart.
 * @registrar: the registrar
 * @number: @withdrawals_change_number at the time of
 *          ql_registrar_encode_withdrawals()
 */
void ql_registrar_set_withdrawals_saved(ql_registrar_t *registrar,
					uint64_t number);

/**
 * ql_registrar_restore_withdrawal() - Take over a withdrawal that was saved
 * before the start. It counts as unsaved until it is saved again.
 * @registrar: the registrar
 * @saved: one of ql_registrar_encode_withdrawals()
 * @now_ms: current time
 *
 * Return: 0; QL_E_CORRUPT for a malformed one; QL_E_FULL if there is no room
 * for its record.
 */
int ql_registrar_restore_withdrawal(ql_registrar_t *registrar, GBytes *saved,
				    uint64_t now_ms);

/**
 * ql_registrar_report() - Report the members as JSON, for operators.
 * @registrar: the registrar
 * @now_ms: current time
 *
 * Nodes of this failure domain are listed with the age of their lease, their
 * configuration version and their endpoints. Of the other failure domains only
 * the endpoints are listed.
 *
 * Return: a new reference.
 */
json_t *ql_registrar_report(const ql_registrar_t *registrar, uint64_t now_ms);

G_END_DECLS

#endif
