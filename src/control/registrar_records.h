#ifndef QL_CONTROL_REGISTRAR_RECORDS_H
#define QL_CONTROL_REGISTRAR_RECORDS_H

/**
 * DOC: The records of a registrar: rows linked by the number of their last
 * change, sets by service, and one entry for each failure domain.
 */

#include "quetzalloft/registrar.h"

G_BEGIN_DECLS

#define QL_REGISTRAR_RECORDS_MAX 131072u
/** Services that endpoints may name, known to the configuration or not. */
#define QL_REGISTRAR_SERVICES_MAX 4096u

/**
 * struct ql_service_set - The endpoints of a service.
 * @name: the service
 * @serving: handles of the records that serve
 * @digest: of the records that serve
 */
typedef struct ql_service_set {
	char name[QL_NAME_MAX];
	GArray *serving;
	uint64_t digest;
} ql_service_set_t;

/**
 * struct ql_domain_entry - What is known of a failure domain.
 * @confirmed_ms: when one of its registrars confirmed it last
 * @covered: whether an endpoint that is not known here is gone
 * @stale: whether it was silent for too long
 * @digest: of the records that are not gone
 */
typedef struct ql_domain_entry {
	char name[QL_NAME_MAX];
	uint64_t confirmed_ms;
	bool covered;
	bool stale;
	uint64_t digest;
} ql_domain_entry_t;

/**
 * struct ql_record - A row.
 * @set: its service
 * @set_index: its place in the set while it serves
 * @holder: incarnation of the registrar that holds the lease
 * @change_number: number of its last change here
 * @changed_ms: when that was
 * @newer: the record that changed next
 * @older: the record that changed before
 */
typedef struct ql_record {
	char gate[QL_ADDRESS_MAX];
	char node[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	char placement[QL_NAME_MAX];
	ql_service_set_t *set;
	guint set_index;
	ql_record_version_t version;
	uint64_t holder;
	uint32_t slots;
	uint32_t connections;
	uint64_t change_number;
	uint64_t changed_ms;
	ql_handle_t newer;
	ql_handle_t older;
} ql_record_t;

/** How long the endpoints of a silent domain are kept, milliseconds. */
#define QL_STALE_DOMAIN_RETENTION_MS 7200000ULL

void ql_registrar__records_init(ql_registrar_t *registrar);
void ql_registrar__records_finish(ql_registrar_t *registrar);

/**
 * ql_registrar__find_record() - Find a record.
 * @registrar: the registrar
 * @service: the service
 * @gate: "IP:port" of the gate
 *
 * Return: the record until the next one is added, or NULL.
 */
ql_record_t *ql_registrar__find_record(const ql_registrar_t *registrar,
				       const char *service, const char *gate);

/**
 * ql_registrar__store_record() - Add or replace a record, with a new number.
 * @registrar: the registrar
 * @endpoint: the record, checked
 * @now_ms: the time
 *
 * Return: whether there was room.
 */
bool ql_registrar__store_record(ql_registrar_t *registrar,
				const ql_rpc_endpoint *endpoint,
				uint64_t now_ms);

/**
 * ql_registrar__set_version() - Change the version of a record.
 * @registrar: the registrar
 * @record: the record
 * @version: the version
 * @now_ms: the time
 */
void ql_registrar__set_version(ql_registrar_t *registrar, ql_record_t *record,
			       const ql_record_version_t *version,
			       uint64_t now_ms);

/**
 * ql_registrar__drop_old_records() - Drop records that were gone, or whose
 * domain was silent, for the longest time that is waited.
 * @registrar: the registrar
 * @now_ms: the time
 */
void ql_registrar__drop_old_records(ql_registrar_t *registrar, uint64_t now_ms);

ql_domain_entry_t *ql_registrar__add_domain(ql_registrar_t *registrar,
					    const char *name);
ql_service_set_t *ql_registrar__find_service(const ql_registrar_t *registrar,
					     const char *name);

/**
 * ql_registrar__add_service() - Find a service, or add it.
 * @registrar: the registrar
 * @name: the service
 *
 * Return: the service, or NULL when there are too many.
 */
ql_service_set_t *ql_registrar__add_service(ql_registrar_t *registrar,
					    const char *name);

/**
 * ql_registrar__fill_endpoint() - Copy a record into a message.
 * @out: the message, zeros at first
 * @record: the record
 */
void ql_registrar__fill_endpoint(ql_rpc_endpoint *out,
				 const ql_record_t *record);

G_END_DECLS

#endif
