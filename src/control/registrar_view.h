#ifndef QL_CONTROL_REGISTRAR_VIEW_H
#define QL_CONTROL_REGISTRAR_VIEW_H

/**
 * DOC: What a node is told: of the services that it calls what changed, or all
 * of a service whose digest differs; of a large service a stable subset.
 */

#include "control/registrar_leases.h"

G_BEGIN_DECLS

/** A service with more endpoints than this is known in part. */
#define QL_SUBSET_ENDPOINTS_MIN 32u
/** A node knows no more endpoints of a service than this. */
#define QL_SUBSET_ENDPOINTS_MAX 64u
/** Slots that a subset has when the service has them. */
#define QL_SUBSET_SLOTS_TARGET 1024u

/**
 * ql_registrar__choose_subset() - Choose the endpoints that a node is to know.
 * @registrar: the registrar
 * @set: the service
 * @node: name of the node
 *
 * The choice depends only on the endpoints and the name of the node. One
 * endpoint that comes or goes changes it by about one endpoint in each
 * failure domain at most. The node's own domain has twice the weight.
 *
 * Return: handles; freed by the caller.
 */
GArray *ql_registrar__choose_subset(const ql_registrar_t *registrar,
				    const ql_service_set_t *set,
				    const char *node);

/**
 * ql_registrar__fill_services() - Fill the members into an answer.
 * @registrar: the registrar
 * @lease: of the node
 * @args: what it sent
 * @res: the answer
 */
void ql_registrar__fill_services(ql_registrar_t *registrar,
				 ql_node_lease_t *lease,
				 const ql_rpc_lease_args *args,
				 ql_rpc_lease_res *res);

/**
 * ql_registrar__fill_domains() - Describe the failure domains.
 * @registrar: the registrar
 * @len: set to their number
 * @val: set to an array that XDR frees
 * @now_ms: the time
 */
void ql_registrar__fill_domains(const ql_registrar_t *registrar, u_int *len,
				ql_rpc_domain **val, uint64_t now_ms);

G_END_DECLS

#endif
