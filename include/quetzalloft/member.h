#ifndef QUETZALLOFT_MEMBER_H
#define QUETZALLOFT_MEMBER_H

/**
 * DOC: A node's side of membership: it renews its lease at registrars of its
 * failure domain and follows the endpoints of the services that it calls, and
 * the configuration. It has no thread, socket or clock of its own.
 */

#include "quetzalloft/balancer.h"
#include "quetzalloft/config_state.h"
#include "quetzalloft/record.h"

#include "control.h"

G_BEGIN_DECLS

#define QL_REGISTRARS_MAX 8
/** Registrars that a node renews at in turn; the others are spares. */
#define QL_REGISTRARS_ACTIVE 2
/** Services that are followed before a client asks for them. */
#define QL_PREFETCH_SERVICES_MAX 64

/**
 * struct ql_member_ops - What the node does when it learns something.
 * @endpoint_up: an endpoint serves, or what is said of it changed
 * @endpoint_gone: an endpoint is not to be called any more
 * @config_changed: another version of the document is in force
 * @config_confirmed: the node has asked its failure domain since its start; may
 * be NULL
 */
typedef struct ql_member_ops {
	void (*endpoint_up)(void *data, const char *service,
			    const ql_endpoint_info_t *info);
	void (*endpoint_gone)(void *data, const char *service,
			      const char *gate);
	void (*config_changed)(void *data, ql_document_t *doc);
	void (*config_confirmed)(void *data);
} ql_member_ops_t;

/**
 * struct ql_member_opts - Settings.
 * @cluster: name of the cluster
 * @node: name of this node
 * @failure_domain: where it is
 * @incarnation: start of this process
 * @started_ms: when it started
 * @registrars: "IP:port" of the registrars of the failure domain
 * @n_registrars: their number
 * @renew_ms: time between renewals
 * @rules: order of records; NULL for the sound one
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
	const ql_membership_rules_t *rules;
} ql_member_opts_t;

/**
 * struct ql_member_link - What a node knows of one registrar.
 * @incarnation: of its process, when it answered last
 * @seen_change_number: its changes up to this number are known here
 * @interest_number: the interest that it was told last; 0 for none
 * @renewals: renewals since the digests were compared
 * @failures: calls in a row that failed
 * @retry_ms: it is not asked before
 */
typedef struct ql_member_link {
	uint64_t incarnation;
	uint64_t seen_change_number;
	uint64_t interest_number;
	uint32_t renewals;
	uint32_t failures;
	uint64_t retry_ms;
} ql_member_link_t;

/**
 * struct ql_member - The node's side of membership.
 * @config: the configuration that the node follows
 * @endpoints: endpoints by ql_record_key()
 * @interest: set of names of services that are followed
 * @demanded: set of names of services that clients asked for
 * @interest_number: number of the last change of @interest, from 1
 * @interest_digest: of what @interest was computed from
 * @domains: failure domains that need care, by name
 * @links: what is known of each registrar
 * @last_registrar: the registrar that was asked last
 * @epoch: highest epoch that a registrar gave to the endpoints of this node
 * @sequence: of the last renewal
 * @conflict: a registrar knows a serving endpoint of this node as gone
 * @config_confirmed: a registrar that is ready, or another node, answered
 * @last_answer_ms: when a registrar answered last
 * @seen_version: highest configuration version seen on a call
 * @last_version_renewal_ms: when that was last told to the caller
 * @want_whole_document: a change did not apply
 * @offer_registrar: registrar that wants the document, or -1
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
	bool conflict;
	bool config_confirmed;
	uint64_t last_answer_ms;
	uint64_t seen_version;
	uint64_t last_version_renewal_ms;
	bool want_whole_document;
	int offer_registrar;
	GRand *random;
} ql_member_t;

void ql_member_init(ql_member_t *member, const ql_member_opts_t *opts,
		    const ql_member_ops_t *ops, void *data, GRand *random);
void ql_member_finish(ql_member_t *member);

/**
 * ql_member_add_registrar() - Learn of a registrar from changed settings.
 * @member: the member
 * @address: "IP:port"
 *
 * One that is known changes nothing. Where there is no room, it takes the place
 * of one that has not answered for long.
 */
void ql_member_add_registrar(ql_member_t *member, const char *address);

/**
 * ql_member_next_registrar() - Choose the registrar of the next renewal.
 * @member: the member
 * @now_ms: the time
 *
 * Two registrars take turns, which differ from node to node; one that does not
 * answer is replaced by a spare and asked again after a backoff.
 *
 * Return: its index, or -1 when all of them are in backoff.
 */
int ql_member_next_registrar(ql_member_t *member, uint64_t now_ms);

/**
 * ql_member_fill_lease() - Complete a renewal.
 * @member: the member
 * @index: the registrar
 * @args: what to send, with the local endpoints and @leaving set by the
 *        caller; freed by its XDR routine
 */
void ql_member_fill_lease(ql_member_t *member, int index,
			  ql_rpc_lease_args *args);

/**
 * ql_member_handle_lease_reply() - Take the answer to a renewal.
 * @member: the member
 * @index: the registrar
 * @res: the answer
 * @now_ms: the time
 * @error: detail of a failure
 *
 * Return: 0, the status of the answer, or a failure of the configuration.
 */
int ql_member_handle_lease_reply(ql_member_t *member, int index,
				 const ql_rpc_lease_res *res, uint64_t now_ms,
				 GError **error);

/**
 * ql_member_lease_failed() - A registrar did not answer: ask it later.
 * @member: the member
 * @index: the registrar
 * @now_ms: the time
 */
void ql_member_lease_failed(ql_member_t *member, int index, uint64_t now_ms);

/**
 * ql_member_renewal_delay_ms() - Time until the next renewal, with jitter.
 * @member: the member
 * @now_ms: the time
 *
 * Return: milliseconds; 0 when the registrar that was asked last needs an
 * answer at once.
 */
uint32_t ql_member_renewal_delay_ms(ql_member_t *member, uint64_t now_ms);

/**
 * ql_member_fill_offer() - Give the document to a registrar that is behind.
 * @member: the member
 * @args: what to send; freed by its XDR routine
 *
 * Return: the index of the registrar, or -1 when none wants it.
 */
int ql_member_fill_offer(ql_member_t *member, ql_rpc_offer_args *args);

/**
 * ql_member_handle_document_reply() - Take the answer of another node of the
 * domain.
 * @member: the member
 * @res: the answer
 * @now_ms: the time
 * @error: detail of a failure
 *
 * This counts as having asked; see ql_member_needs_neighbour().
 *
 * Return: 0, the status of the answer, or a failure of the configuration.
 */
int ql_member_handle_document_reply(ql_member_t *member,
				    const ql_rpc_document_res *res,
				    uint64_t now_ms, GError **error);

/**
 * ql_member_needs_neighbour() - Whether to ask other nodes of the domain.
 * @member: the member
 * @now_ms: the time
 *
 * Return: true when no registrar has answered for so long since the start that
 * the gate would stay shut.
 */
bool ql_member_needs_neighbour(const ql_member_t *member, uint64_t now_ms);

/**
 * ql_member_observe_version() - A call carried a configuration version.
 * @member: the member
 * @version: the version
 * @now_ms: the time
 *
 * Return: whether to renew at once. A version that no registrar knows leads to
 * a bounded number of renewals.
 */
bool ql_member_observe_version(ql_member_t *member, uint64_t version,
			       uint64_t now_ms);

/**
 * ql_member_follow_service() - A client asked for a service.
 * @member: the member
 * @service: its name
 *
 * Return: whether it was not followed yet, so that a renewal is due at once.
 */
bool ql_member_follow_service(ql_member_t *member, const char *service);

/**
 * ql_member_stale_ms() - How long no registrar has answered.
 * @member: the member
 * @now_ms: the time
 *
 * Return: milliseconds since the last answer, or since the start.
 */
uint64_t ql_member_stale_ms(const ql_member_t *member, uint64_t now_ms);

G_END_DECLS

#endif
