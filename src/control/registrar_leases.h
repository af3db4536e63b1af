#ifndef QL_CONTROL_REGISTRAR_LEASES_H
#define QL_CONTROL_REGISTRAR_LEASES_H

/**
 * DOC: The leases that a registrar grants to the nodes of its failure domain.
 */

#include "control/registrar_records.h"

G_BEGIN_DECLS

/**
 * struct ql_node_lease - The lease of a node.
 * @name: name of the node
 * @gate: "IP:port" of its gate, or empty
 * @incarnation: identifies the start of its process
 * @sequence: sequence of its last renewal; sequences rise within an incarnation
 * @renewed_ms: time of its last renewal here
 * @expires_ms: time at which the lease expires
 * @from_peer: the lease was created for a record of another registrar, and the
 *             node has not renewed it here
 * @config_version: version of the configuration that the node has in force
 * @records: handles of the records of its endpoints
 * @interest: set of the &struct ql_service_set that the node follows, or NULL
 *            until it has sent them; the sets are borrowed
 */
typedef struct ql_node_lease {
	char name[QL_NAME_MAX];
	char gate[QL_ADDRESS_MAX];
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t renewed_ms;
	uint64_t expires_ms;
	bool from_peer;
	uint64_t config_version;
	GArray *records;
	GHashTable *interest;
} ql_node_lease_t;

/**
 * ql_registrar__leases_init() - Initialize the leases of a registrar.
 * @registrar: the registrar
 */
void ql_registrar__leases_init(ql_registrar_t *registrar);

/**
 * ql_registrar__leases_finish() - Free the leases of a registrar.
 * @registrar: the registrar
 */
void ql_registrar__leases_finish(ql_registrar_t *registrar);

/**
 * ql_registrar__renew_lease() - Renew the lease of a node and store the records
 * of its endpoints.
 * @registrar: the registrar
 * @out: set to the lease on success; borrowed
 * @args: the request of the node
 * @res: the reply; its @epoch and @conflict are set
 * @now_ms: current time
 *
 * Endpoints that the request no longer lists become gone.
 *
 * Return: 0; QL_E_DENIED for another failure domain or when the request uses
 * the name or a gate of a node with a live lease; QL_E_STALE when its sequence
 * is not above that of the last renewal; or QL_E_INVALID for a malformed name
 * or address.
 */
int ql_registrar__renew_lease(ql_registrar_t *registrar, ql_node_lease_t **out,
			      const ql_rpc_lease_args *args,
			      ql_rpc_lease_res *res, uint64_t now_ms);

/**
 * ql_registrar__merge_record() - Merge a record that another registrar sent.
 * @registrar: the registrar
 * @endpoint: the record
 * @now_ms: current time
 *
 * A malformed record is counted and ignored, an older one is ignored.
 */
void ql_registrar__merge_record(ql_registrar_t *registrar,
				const ql_rpc_endpoint *endpoint,
				uint64_t now_ms);

/**
 * ql_registrar__record_contact() - Record a message from another registrar.
 * @registrar: the registrar
 * @holder: incarnation of the other registrar
 * @now_ms: current time
 */
void ql_registrar__record_contact(ql_registrar_t *registrar, uint64_t holder,
				  uint64_t now_ms);

/**
 * ql_registrar__expire_leases() - Remove expired leases and mark their
 * endpoints as gone.
 * @registrar: the registrar
 * @now_ms: current time
 *
 * The lease stays while another registrar that is still in contact holds the
 * lease of one of the endpoints.
 */
void ql_registrar__expire_leases(ql_registrar_t *registrar, uint64_t now_ms);

/**
 * ql_registrar__extend_leases() - Extend all leases.
 * @registrar: the registrar
 * @by_ms: how much later they expire, in milliseconds
 */
void ql_registrar__extend_leases(ql_registrar_t *registrar, uint64_t by_ms);

G_END_DECLS

#endif
