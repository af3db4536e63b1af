#ifndef QUETZALLOFT_MEMBER_H
#define QUETZALLOFT_MEMBER_H

/**
 * DOC: The membership of a node. It renews the node's lease at registrars of
 * its failure domain, and follows the endpoints of the services that the node
 * calls and the configuration. It has no thread, socket or clock of its own:
 * the caller serializes the calls, exchanges the messages, and passes the time
 * in milliseconds of one clock.
 *
 * Renewals at different registrars may be in flight at the same time, one at a
 * registrar at most, so that a silent registrar delays no answer of another
 * one. Each goes through ql_member_next_registrar(),
 * ql_member_begin_renewal() and ql_member_fill_lease(), one renewal after the
 * other, then ql_member_handle_lease_reply() or ql_member_lease_failed(), in
 * any order with the others.
 */

#include "quetzalloft/balancer.h"
#include "quetzalloft/config_state.h"
#include "quetzalloft/key_lease.h"
#include "quetzalloft/record.h"
#include "quetzalloft/withdrawal.h"

#include "control.h"

G_BEGIN_DECLS

/** Most registrars of a node. */
#define QL_REGISTRARS_MAX 8
/** Registrars at which a node renews in turn; the others are spares. */
#define QL_REGISTRARS_ACTIVE 2
/** A node follows all services of a configuration with at most this many. */
#define QL_PREFETCH_SERVICES_MAX 64

/**
 * struct ql_member_ops - Callbacks of a member.
 * @endpoint_up: an endpoint of a followed service serves, or its description
 *               has changed; @info is valid during the call
 * @endpoint_gone: the endpoint must not be called any more
 * @config_changed: another version of the configuration is in force; @doc is
 *                  borrowed
 * @config_confirmed: a ready registrar, or another node of the failure domain,
 *                    has sent the configuration for the first time since the
 *                    start; may be NULL
 * @withdrawal_received: a registrar knows a later withdrawal of the local
 *                       endpoint than this node; may be NULL
 * @withdrawal_agreed: as many registrars as the node renews at know the latest
 *                     withdrawal, and the node knows theirs; may be NULL
 * @config_proven: a registrar has proven that the configuration in force was
 *                 the newest at some time; may be NULL
 */
typedef struct ql_member_ops {
	void (*endpoint_up)(void *data, const char *service,
			    const ql_endpoint_info_t *info);
	void (*endpoint_gone)(void *data, const char *service,
			      const char *gate);
	void (*config_changed)(void *data, ql_document_t *doc);
	void (*config_confirmed)(void *data);
	void (*withdrawal_received)(void *data,
				    const ql_withdrawal_t *withdrawal);
	void (*withdrawal_agreed)(void *data);
	void (*config_proven)(void *data, const ql_key_proof_t *proof);
} ql_member_ops_t;

/**
 * struct ql_member_opts - Options of a member.
 * @cluster: name of the cluster
 * @node: name of this node
 * @failure_domain: name of its failure domain
 * @incarnation: identifies this start of the process; higher than at earlier
 *               starts
 * @started_ms: time of the start
 * @registrars: "IP:port" of the registrars of the failure domain
 * @n_registrars: number of @registrars
 * @renew_ms: mean time between two renewals
 * @backoff_max_ms: longest backoff of a registrar; 0 for the default
 * @proof_max_ms: a registrar whose proof is missing or older than this is
 *                renewed at together with a spare one; 0 for no such limit
 * @rules: how record versions are compared; NULL for &ql_membership_rules
 */
typedef struct ql_member_opts {
	char cluster[QL_NAME_MAX];
	char node[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	uint64_t incarnation;
	uint64_t started_ms;
	char registrars[QL_REGISTRARS_MAX][QL_ADDRESS_MAX];
	size_t n_registrars;
	uint32_t renew_ms;
	uint32_t backoff_max_ms;
	uint32_t proof_max_ms;
	const ql_membership_rules_t *rules;
} ql_member_opts_t;

/**
 * struct ql_member_link - The state that a member keeps about one registrar.
 * @incarnation: incarnation of the registrar when it last granted the lease; 0
 *               before that
 * @seen_change_number: number of the last change of the registrar that the
 *                      member has received
 * @interest_number: @interest_number of the member when the interest was last
 *                   sent; 0 when it has to be sent
 * @renewals: successful renewals since the digests were last sent
 * @withdrawal_sent: @number of &struct ql_member_withdrawal in the last renewal
 * @withdrawal_number: the same in the last renewal that was granted
 * @withdrawal_saved: the registrar does not lose @withdrawal_number in a
 * restart
 * @withdrawal_ask_ms: a registrar that has not saved it is asked again then
 * @withdrawal_wait_ms: time between the last two such questions
 * @failures: consecutive requests without a reply or with a refusal
 * @retry_ms: end of the backoff; the registrar is not called before
 * @called_ms: start of the last renewal
 * @in_flight: a renewal has neither been answered nor failed
 * @replaced: the renewal in flight is one at the registrar that had the index
 *            before
 * @leave_due: the registrar has to be told that the node leaves
 * @conflict: the registrar has a serving endpoint of this node recorded as
 *            leaving or gone, or in a later incarnation
 * @unproven: its last reply had no proof, or one that was too old
 */
typedef struct ql_member_link {
	uint64_t incarnation;
	uint64_t seen_change_number;
	uint64_t interest_number;
	uint32_t renewals;
	uint64_t withdrawal_sent;
	uint64_t withdrawal_number;
	bool withdrawal_saved;
	uint64_t withdrawal_ask_ms;
	uint32_t withdrawal_wait_ms;
	uint32_t failures;
	uint64_t retry_ms;
	uint64_t called_ms;
	bool in_flight;
	bool replaced;
	bool leave_due;
	bool conflict;
	bool unproven;
} ql_member_link_t;

/**
 * struct ql_member_withdrawal - The withdrawal of the local endpoint.
 * @service: service of the endpoint
 * @gate: "IP:port" of its gate
 * @latest: the latest withdrawal that the node knows
 * @number: number of the last change of @latest, from 1; 0 while withdrawals
 *          are not tracked
 * @agreed: as many registrars as the node renews at know @latest; with fewer
 *          out of backoff and not silent, as many as those
 * @saved: as many of them have saved it
 */
typedef struct ql_member_withdrawal {
	char service[QL_NAME_MAX];
	char gate[QL_ADDRESS_MAX];
	ql_withdrawal_t latest;
	uint64_t number;
	bool agreed;
	bool saved;
} ql_member_withdrawal_t;

/**
 * struct ql_member - A member.
 * @opts: options; registrars are added at run time
 * @ops: callbacks
 * @data: passed to @ops
 * @config: the configuration that the node has in force
 * @endpoints: &struct ql_member_endpoint by ql_record_key(), of followed
 *             services
 * @interest: set of the names of the followed services
 * @demanded: set of the names of the services that clients have requested
 * @interest_number: number of the last change of @interest, from 1
 * @interest_digest: digest of the inputs that @interest was computed from
 * @domains: state of each failure domain by name
 * @links: state of each registrar, with the indexes of @opts.registrars
 * @last_registrar: index of the registrar chosen last; -1 for none
 * @epoch: highest epoch that a registrar has given to the endpoints of this
 *         node
 * @sequence: sequence of the last renewal
 * @due_ms: time of the next renewal
 * @config_confirmed: a ready registrar, or another node of the failure domain,
 *                    has sent the configuration since the start
 * @last_answer_ms: time at which a registrar last granted the lease; at first
 *                  the start
 * @seen_version: highest configuration version seen on a call that was newer
 *                than @config
 * @last_version_renewal_ms: time of the last renewal because of a version seen
 *                           on a call
 * @want_whole_document: a change did not apply; the next renewal requests the
 *                       complete document
 * @withdrawal: withdrawal of the local endpoint
 * @offer_registrar: index of the registrar that has requested the document, or
 *                   -1
 * @random: source of jitter; borrowed
 */
typedef struct ql_member {
	ql_member_opts_t opts;
	const ql_member_ops_t *ops;
	void *data;
	ql_config_state_t config;
	GHashTable *endpoints;
	GHashTable *interest;
	GHashTable *demanded;
	uint64_t interest_number;
	uint64_t interest_digest;
	GHashTable *domains;
	ql_member_link_t links[QL_REGISTRARS_MAX];
	int last_registrar;
	uint64_t epoch;
	uint64_t sequence;
	uint64_t due_ms;
	bool config_confirmed;
	uint64_t last_answer_ms;
	uint64_t seen_version;
	uint64_t last_version_renewal_ms;
	bool want_whole_document;
	ql_member_withdrawal_t withdrawal;
	int offer_registrar;
	GRand *random;
} ql_member_t;

/**
 * ql_member_init() - Initialize a member without endpoints and configuration.
 * @member: the member
 * @opts: options; copied
 * @ops: callbacks; borrowed
 * @data: passed to @ops
 * @random: source of jitter; borrowed
 */
void ql_member_init(ql_member_t *member, const ql_member_opts_t *opts,
		    const ql_member_ops_t *ops, void *data, GRand *random);

/**
 * ql_member_finish() - Free what a member has allocated.
 * @member: the member
 */
void ql_member_finish(ql_member_t *member);

/**
 * ql_member_add_registrar() - Add a registrar that a reload of the settings
 * has added.
 * @member: the member
 * @address: "IP:port"
 *
 * A registrar that is in the list already changes nothing. When the list is
 * full, the new registrar replaces one whose last calls have failed; without
 * such a registrar it is ignored.
 */
void ql_member_add_registrar(ql_member_t *member, const char *address);

/**
 * ql_member_track_withdrawals() - Keep the withdrawals of the local endpoint at
 * the registrars.
 * @member: the member, before its first renewal
 * @service: service of the endpoint
 * @gate: "IP:port" of its gate
 *
 * Until @withdrawal_agreed is called, a report of the endpoint may be one that
 * it sent before it withdrew.
 */
void ql_member_track_withdrawals(ql_member_t *member, const char *service,
				 const char *gate);

/**
 * ql_member_withdraw() - Keep a withdrawal of the local endpoint at the
 * registrars. A renewal is due at once.
 * @member: a member that tracks withdrawals
 * @withdrawal: the withdrawal; ignored if a later one is known
 */
void ql_member_withdraw(ql_member_t *member, const ql_withdrawal_t *withdrawal);

/**
 * ql_member_is_withdrawal_agreed() - Check whether the registrars know the
 * latest withdrawal.
 * @member: the member
 *
 * Return: false between a change of the withdrawal and the next call of
 * @withdrawal_agreed; true if withdrawals are not tracked.
 */
bool ql_member_is_withdrawal_agreed(const ql_member_t *member);

/**
 * ql_member_is_withdrawal_saved() - Check whether the latest withdrawal
 * outlives a restart of this node and of all registrars at the same time, so
 * that it may be confirmed.
 * @member: the member
 *
 * Return: true if as many registrars have saved it as have to know it; also if
 * withdrawals are not tracked.
 */
bool ql_member_is_withdrawal_saved(const ql_member_t *member);

/**
 * ql_member_next_registrar() - Choose the registrar for the next renewal.
 * @member: the member
 * @now_ms: current time
 *
 * Renewals alternate between QL_REGISTRARS_ACTIVE registrars. The preferred
 * ones depend on the name of the node. A registrar that fails is replaced by a
 * spare until its backoff has ended, and one that is overdue with its answer
 * until it answers. A registrar that has to be told of something goes first.
 *
 * Return: index of a registrar without a renewal in flight, or -1 when
 * QL_REGISTRARS_ACTIVE are waited for and none is overdue, or all others are in
 * backoff.
 */
int ql_member_next_registrar(ql_member_t *member, uint64_t now_ms);

/**
 * ql_member_begin_renewal() - Note that a renewal is in flight.
 * @member: the member
 * @index: index of the registrar, without a renewal in flight
 * @now_ms: current time
 *
 * Until an answer arrives, the next renewal is due after a fraction of the mean
 * interval, as this one may not be answered.
 */
void ql_member_begin_renewal(ql_member_t *member, int index, uint64_t now_ms);

/**
 * ql_member_leave() - Tell every registrar, also those in backoff, that the
 * node leaves. A renewal at each of them is due at once.
 * @member: the member
 */
void ql_member_leave(ql_member_t *member);

/**
 * ql_member_fill_lease() - Complete the request of a renewal.
 * @member: the member
 * @index: index of the registrar
 * @args: the request; the caller has set the local endpoints and @leaving, and
 *        frees it with its XDR routine
 */
void ql_member_fill_lease(ql_member_t *member, int index,
			  ql_rpc_lease_args *args);

/**
 * ql_member_handle_lease_reply() - Handle the reply to a renewal.
 * @member: the member
 * @index: index of the registrar
 * @res: the reply
 * @now_ms: current time
 * @error: detail of a failure
 *
 * A refusal starts the backoff of the registrar. The reply of a registrar that
 * was replaced meanwhile changes nothing.
 *
 * Return: 0, the status of the reply, or an error of ql_config_reply_apply().
 */
int ql_member_handle_lease_reply(ql_member_t *member, int index,
				 const ql_rpc_lease_res *res, uint64_t now_ms,
				 GError **error);

/**
 * ql_member_take_proof() - Take over the proof in the reply to a renewal.
 * @member: the member
 * @res: a reply that ql_member_handle_lease_reply() has handled without error
 * @sent_ms: time of ql_clock_boot_ms() before the renewal was sent
 *
 * Calls @config_proven if the reply has a proof and the configuration in force
 * is the one that it is about.
 */
void ql_member_take_proof(ql_member_t *member, const ql_rpc_lease_res *res,
			  uint64_t sent_ms);

/**
 * ql_member_lease_failed() - Start the backoff of a registrar that did not
 * reply or has refused the lease.
 * @member: the member
 * @index: index of the registrar
 * @now_ms: current time
 */
void ql_member_lease_failed(ql_member_t *member, int index, uint64_t now_ms);

/**
 * ql_member_renewal_delay_ms() - Return the time until the next renewal.
 * @member: the member
 * @now_ms: current time
 *
 * The time is no longer valid after a reply or a failure.
 *
 * Return: milliseconds, or until the first backoff ends, or the first answer is
 * overdue, when no registrar is free for a renewal; 0 only when
 * ql_member_next_registrar() has a registrar for it.
 */
uint32_t ql_member_renewal_delay_ms(const ql_member_t *member, uint64_t now_ms);

/**
 * ql_member_fill_offer() - Write the document for a registrar that has
 * requested it because its own is older.
 * @member: the member
 * @args: the request; freed by its XDR routine
 *
 * Return: index of the registrar, or -1 when none has requested the document.
 */
int ql_member_fill_offer(ql_member_t *member, ql_rpc_offer_args *args);

/**
 * ql_member_handle_document_reply() - Handle the configuration that another
 * node of the failure domain has sent.
 * @member: the member
 * @res: the reply
 * @now_ms: current time; not used
 * @error: detail of a failure
 *
 * A configuration that is applied and whose version is not 0 counts as
 * confirmed, see ql_member_needs_neighbour().
 *
 * Return: 0, the status of the reply, or an error of ql_config_reply_apply().
 */
int ql_member_handle_document_reply(ql_member_t *member,
				    const ql_rpc_document_res *res,
				    uint64_t now_ms, GError **error);

/**
 * ql_member_needs_neighbour() - Return whether to request the configuration
 * from other nodes of the failure domain.
 * @member: the member
 * @now_ms: current time
 *
 * Return: true when no configuration has been confirmed for some seconds since
 * the start. Until one is, the node serves no calls.
 */
bool ql_member_needs_neighbour(const ql_member_t *member, uint64_t now_ms);

/**
 * ql_member_observe_version() - Note a configuration version that a call
 * carried.
 * @member: the member
 * @version: the version
 * @now_ms: current time
 *
 * The rate of renewals is bounded, also when no registrar has the version.
 *
 * Return: whether to renew at once.
 */
bool ql_member_observe_version(ql_member_t *member, uint64_t version,
			       uint64_t now_ms);

/**
 * ql_member_follow_service() - Follow a service that a client has requested.
 * @member: the member
 * @service: name of the service
 *
 * Return: true when the service was not followed before, so that a renewal is
 * due at once; false also when QL_RPC_INTEREST_MAX services are followed.
 */
bool ql_member_follow_service(ql_member_t *member, const char *service);

/**
 * ql_member_stale_ms() - Return the time since a registrar last granted the
 * lease.
 * @member: the member
 * @now_ms: current time
 *
 * Return: milliseconds since the last grant, or since the start.
 */
uint64_t ql_member_stale_ms(const ql_member_t *member, uint64_t now_ms);

G_END_DECLS

#endif
