#ifndef QL_CONTROL_REGISTRAR_LEASES_H
#define QL_CONTROL_REGISTRAR_LEASES_H

/**
 * DOC: The leases of the nodes of a registrar's failure domain.
 */

#include "control/registrar_records.h"

G_BEGIN_DECLS

/**
 * struct ql_node_lease - The lease of a node.
 * @name: the node
 * @gate: "IP:port" of its gate, or empty
 * @incarnation: start of its process
 * @sequence: of its last renewal
 * @renewed_ms: when it renewed last
 * @expires_ms: when the lease runs out
 * @from_peer: it was never renewed here; another registrar told of the node
 * @config_version: version that the node has in force
 * @records: handles of its endpoints
 * @interest: set of &struct ql_service_set that it calls, or NULL
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

void ql_registrar__leases_init(ql_registrar_t *registrar);
void ql_registrar__leases_finish(ql_registrar_t *registrar);

/**
 * ql_registrar__renew_lease() - Renew the lease of a node and take its
 * endpoints.
 * @registrar: the registrar
 * @out: the lease
 * @args: what the node sent
 * @res: its @epoch and @conflict are set
 * @now_ms: the time
 *
 * Return: 0, QL_E_DENIED for a claim on another's identity, QL_E_STALE for a
 * renewal that came late, or QL_E_INVALID.
 */
int ql_registrar__renew_lease(ql_registrar_t *registrar, ql_node_lease_t **out,
			      const ql_rpc_lease_args *args,
			      ql_rpc_lease_res *res, uint64_t now_ms);

/**
 * ql_registrar__merge_record() - Take a record that another registrar sent.
 * @registrar: the registrar
 * @endpoint: the record
 * @now_ms: the time
 */
void ql_registrar__merge_record(ql_registrar_t *registrar,
				const ql_rpc_endpoint *endpoint,
				uint64_t now_ms);

/**
 * ql_registrar__record_contact() - A registrar of this domain answered.
 * @registrar: the registrar
 * @holder: its incarnation
 * @now_ms: the time
 */
void ql_registrar__record_contact(ql_registrar_t *registrar, uint64_t holder,
				  uint64_t now_ms);

void ql_registrar__expire_leases(ql_registrar_t *registrar, uint64_t now_ms);

/**
 * ql_registrar__extend_leases() - Let every lease run longer.
 */
void ql_registrar__extend_leases(ql_registrar_t *registrar, uint64_t by_ms);

G_END_DECLS

#endif
