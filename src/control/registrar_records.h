#ifndef QL_CONTROL_REGISTRAR_RECORDS_H
#define QL_CONTROL_REGISTRAR_RECORDS_H

/**
 * DOC: The endpoint records of a registrar, in a list by their last change, the
 * sets of serving endpoints by service, and the failure domains.
 */

#include "quetzalloft/registrar.h"
#include "quetzalloft/withdrawal.h"

G_BEGIN_DECLS

/** Most endpoint records, including those of endpoints that are gone. */
#define QL_REGISTRAR_RECORDS_MAX 131072u
/** Most services of endpoints and interests, configured or not. */
#define QL_REGISTRAR_SERVICES_MAX 4096u

/**
 * struct ql_service_set - The serving endpoints of a service.
 * @name: name of the service
 * @serving: handles of their records, as ql_handle_t
 * @digest: XOR of the ql_record_digest() of their records
 */
typedef struct ql_service_set {
	char name[QL_NAME_MAX];
	GArray *serving;
	uint64_t digest;
} ql_service_set_t;

/**
 * struct ql_domain_entry - A failure domain.
 * @name: name of the failure domain
 * @confirmed_ms: time at which one of its registrars last confirmed its
 *                endpoints
 * @covered: this registrar has the complete endpoints of the failure domain, so
 *           that an endpoint without a record is gone
 * @stale: the last confirmation is too old
 * @digest: XOR of the ql_record_digest() of the records that are not gone
 */
typedef struct ql_domain_entry {
	char name[QL_NAME_MAX];
	uint64_t confirmed_ms;
	bool covered;
	bool stale;
	uint64_t digest;
} ql_domain_entry_t;

/**
 * struct ql_record - The record of an endpoint.
 * @gate: "IP:port" of its gate
 * @node: name of its node
 * @failure_domain: failure domain whose registrars grant its lease
 * @placement: failure domain of its VM where the registrars serve several, else
 *             empty
 * @set: set of its service; borrowed
 * @set_index: its index in @set->serving while it serves
 * @version: version of the record
 * @withdrawal: latest withdrawal of the endpoint; owned, NULL for none
 * @withdrawal_number: @change_number of the last change of @withdrawal
 * @holder: incarnation of the registrar that holds the lease
 * @slots: requests that the endpoint can run at once
 * @connections: most connections that it accepts; 0 for no limit
 * @change_number: number of its last change at this registrar
 * @changed_ms: time of that change
 * @newer: handle of the record that changed next, or QL_HANDLE_NONE
 * @older: handle of the record that changed before it, or QL_HANDLE_NONE
 */
typedef struct ql_record {
	char gate[QL_ADDRESS_MAX];
	char node[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	char placement[QL_NAME_MAX];
	ql_service_set_t *set;
	guint set_index;
	ql_record_version_t version;
	ql_withdrawal_t *withdrawal;
	uint64_t withdrawal_number;
	uint64_t holder;
	uint32_t slots;
	uint32_t connections;
	uint64_t change_number;
	uint64_t changed_ms;
	ql_handle_t newer;
	ql_handle_t older;
} ql_record_t;

/**
 * How long the endpoints of a stale failure domain are kept after its last
 * confirmation.
 */
#define QL_STALE_DOMAIN_RETENTION_MS 7200000ULL

/**
 * ql_registrar__records_init() - Initialize the records of a registrar.
 * @registrar: the registrar
 */
void ql_registrar__records_init(ql_registrar_t *registrar);

/**
 * ql_registrar__records_finish() - Free the records of a registrar.
 * @registrar: the registrar
 */
void ql_registrar__records_finish(ql_registrar_t *registrar);

/**
 * ql_registrar__find_record() - Find the record of an endpoint.
 * @registrar: the registrar
 * @service: name of the service
 * @gate: "IP:port" of the gate
 *
 * Return: the record, valid until the next record is added, or NULL.
 */
ql_record_t *ql_registrar__find_record(const ql_registrar_t *registrar,
				       const char *service, const char *gate);

/**
 * ql_registrar__store_record() - Add or replace the record of an endpoint.
 * @registrar: the registrar
 * @endpoint: the record; ql_record_check() has accepted it
 * @now_ms: current time
 *
 * The record becomes the newest one, with a new change number.
 *
 * Return: false when the table of records, services or failure domains is full.
 */
bool ql_registrar__store_record(ql_registrar_t *registrar,
				const ql_rpc_endpoint *endpoint,
				uint64_t now_ms);

/**
 * ql_registrar__set_version() - Change the version of a record.
 * @registrar: the registrar
 * @record: the record
 * @version: the new version
 * @now_ms: current time
 *
 * The record becomes the newest one, with a new change number.
 */
void ql_registrar__set_version(ql_registrar_t *registrar, ql_record_t *record,
			       const ql_record_version_t *version,
			       uint64_t now_ms);

/**
 * ql_registrar__drop_old_records() - Drop the records of endpoints that have
 * been gone, or whose failure domain has been stale, for the retention time.
 * @registrar: the registrar
 * @now_ms: current time
 */
void ql_registrar__drop_old_records(ql_registrar_t *registrar, uint64_t now_ms);

/**
 * ql_registrar__add_domain() - Find a failure domain, or add it.
 * @registrar: the registrar
 * @name: name of the failure domain
 *
 * Return: the failure domain, or NULL when there are QL_RPC_DOMAINS_MAX others.
 */
ql_domain_entry_t *ql_registrar__add_domain(ql_registrar_t *registrar,
					    const char *name);

/**
 * ql_registrar__find_service() - Find a service.
 * @registrar: the registrar
 * @name: name of the service
 *
 * Return: the service or NULL.
 */
ql_service_set_t *ql_registrar__find_service(const ql_registrar_t *registrar,
					     const char *name);

/**
 * ql_registrar__add_service() - Find a service, or add it.
 * @registrar: the registrar
 * @name: name of the service
 *
 * Return: the service, or NULL when there are QL_REGISTRAR_SERVICES_MAX others.
 */
ql_service_set_t *ql_registrar__add_service(ql_registrar_t *registrar,
					    const char *name);

/**
 * ql_registrar__fill_endpoint() - Copy a record into a message.
 * @out: the endpoint in the message, zeros at first; its strings are allocated
 *       for its XDR routine
 * @record: the record
 */
void ql_registrar__fill_endpoint(ql_rpc_endpoint *out,
				 const ql_record_t *record);

G_END_DECLS

#endif
