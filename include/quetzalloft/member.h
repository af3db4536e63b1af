#ifndef QUETZALLOFT_MEMBER_H
#define QUETZALLOFT_MEMBER_H

/**
 * DOC: A node's side of membership: it renews its lease at a registrar of its
 * failure domain and follows the members and the configuration. It has no
 * thread, socket or clock of its own.
 */

#include "quetzalloft/balancer.h"
#include "quetzalloft/config_state.h"

#include "control.h"

G_BEGIN_DECLS

#define QL_REGISTRARS_MAX 8

/**
 * struct ql_member_ops - What the node does when it learns something.
 * @endpoint_up: an endpoint serves, or what is said of it changed
 * @endpoint_gone: an endpoint is not to be called any more
 * @config_changed: another version of the document is in force
 */
typedef struct ql_member_ops {
	void (*endpoint_up)(void *data, const char *service,
			    const ql_target_info_t *info);
	void (*endpoint_gone)(void *data, const char *service,
			      const char *gate);
	void (*config_changed)(void *data, ql_document_t *doc);
} ql_member_ops_t;

/**
 * struct ql_member_opts - Settings.
 * @cluster: name of the cluster
 * @node: name of this node
 * @failure_domain: where it is
 * @incarnation: start of this process
 * @registrars: "IP:port" of the registrars of the failure domain
 * @n_registrars: their number
 * @renew_ms: time between renewals
 */
typedef struct ql_member_opts {
	char cluster[QL_NAME_MAX];
	char node[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	uint64_t incarnation;
	char registrars[QL_REGISTRARS_MAX][QL_ADDRESS_MAX];
	size_t n_registrars;
	uint32_t renew_ms;
} ql_member_opts_t;

/**
 * struct ql_member - The node's side of membership.
 * @config: the configuration that the node follows
 * @known: endpoints by gate address
 * @registrar: index of the registrar that is asked
 * @asked: a registrar answered since the start
 * @heard_ms: when one answered last
 */
typedef struct ql_member {
	ql_member_opts_t opts;
	const ql_member_ops_t *ops;
	void *data;
	ql_config_state_t config;
	GHashTable *known;
	size_t registrar;
	uint64_t registrar_incarnation;
	uint64_t members_version;
	bool asked;
	uint64_t heard_ms;
	GRand *random;
} ql_member_t;

void ql_member_init(ql_member_t *member, const ql_member_opts_t *opts,
		    const ql_member_ops_t *ops, void *data, GRand *random);
void ql_member_finish(ql_member_t *member);

/**
 * ql_member_fill_lease() - Begin a renewal.
 * @member: the member
 * @args: what to send, zeros at first; freed by its XDR routine. The caller
 *        adds the endpoints.
 */
void ql_member_fill_lease(const ql_member_t *member, ql_rpc_lease_args *args);

/**
 * ql_member_take_lease() - Take the answer to a renewal.
 * @member: the member
 * @res: the answer
 * @now_ms: the time
 * @error: detail of a failure
 *
 * Return: 0, the status of the answer, or a failure of the configuration.
 */
int ql_member_take_lease(ql_member_t *member, const ql_rpc_lease_res *res,
			 uint64_t now_ms, GError **error);

/**
 * ql_member_lease_failed() - The registrar did not answer: ask another.
 * @member: the member
 */
void ql_member_lease_failed(ql_member_t *member);

/**
 * ql_member_delay_ms() - Time until the next renewal, with jitter.
 * @member: the member
 *
 * Return: milliseconds.
 */
uint32_t ql_member_delay_ms(ql_member_t *member);

G_END_DECLS

#endif
