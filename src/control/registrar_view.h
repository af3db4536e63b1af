#ifndef QL_CONTROL_REGISTRAR_VIEW_H
#define QL_CONTROL_REGISTRAR_VIEW_H

/**
 * DOC: The endpoints that a registrar sends to a node. For each service that
 * the node follows these are the changes since its last renewal, or the
 * complete list when the digests differ. Of a large service a node gets a
 * stable subset.
 */

#include "control/registrar_leases.h"

G_BEGIN_DECLS

/** Fewest endpoints in a subset; smaller services are sent completely. */
#define QL_SUBSET_ENDPOINTS_MIN 128u
/** Most endpoints in a subset. */
#define QL_SUBSET_ENDPOINTS_MAX 192u
/** Endpoints of the failure domain of the node that are in its subset first. */
#define QL_SUBSET_OWN_DOMAIN_MIN 64u
/** Sum of the slots up to which endpoints are added to a subset. */
#define QL_SUBSET_SLOTS_TARGET 1024u

/**
 * ql_registrar__choose_subset() - Choose the endpoints of a service for a node.
 * @registrar: the registrar
 * @set: endpoints of the service
 * @node: name of the node
 * @domain: failure domain of its VM
 *
 * The choice depends only on the endpoints, the name and the failure domain of
 * the node. When one endpoint comes or goes, at most about one endpoint in each
 * failure domain changes. The first QL_SUBSET_OWN_DOMAIN_MIN endpoints are
 * those of the failure domain of the node, if it has as many; the failure
 * domains are chosen in turn for the others.
 *
 * Return: handles of the records, as ql_handle_t; freed by the caller.
 */
GArray *ql_registrar__choose_subset(const ql_registrar_t *registrar,
				    const ql_service_set_t *set,
				    const char *node, const char *domain);

/**
 * ql_registrar__fill_services() - Write the endpoints of the followed services
 * into a reply.
 * @registrar: the registrar
 * @lease: lease of the node; its @interest is set when the request has one
 * @args: the request
 * @res: the reply; its @members_number, @want_interest and @services are set
 */
void ql_registrar__fill_services(ql_registrar_t *registrar,
				 ql_node_lease_t *lease,
				 const ql_rpc_lease_args *args,
				 ql_rpc_lease_res *res);

/**
 * ql_registrar__fill_domains() - Write all failure domains into a reply.
 * @registrar: the registrar
 * @len: set to the number of failure domains
 * @val: set to an array that is freed by the XDR routine of the reply
 * @now_ms: current time
 */
void ql_registrar__fill_domains(const ql_registrar_t *registrar, u_int *len,
				ql_rpc_domain **val, uint64_t now_ms);

G_END_DECLS

#endif
