#include "control/registrar_records.h"

#include <stdlib.h>
#include <string.h>

#define MS_PER_HOUR 3600000ULL
/*
 * How long the record of an endpoint that is gone is kept. It is longer than
 * QL_STALE_DOMAIN_RETENTION_MS, so that a registrar that is cut off by a
 * network partition drops the endpoint before the others drop its tombstone.
 */
#define TOMBSTONE_RETENTION_MS (QL_STALE_DOMAIN_RETENTION_MS + MS_PER_HOUR)

static void free_service_set(void *data)
{
	ql_service_set_t *set = data;

	g_array_free(set->serving, TRUE);
	g_free(set);
}

void ql_registrar__records_init(ql_registrar_t *registrar)
{
	ql_table_init(&registrar->records, sizeof(ql_record_t),
		      QL_REGISTRAR_RECORDS_MAX);
	registrar->newest = QL_HANDLE_NONE;
	registrar->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	registrar->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						    NULL, free_service_set);
	registrar->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void ql_registrar__records_finish(ql_registrar_t *registrar)
{
	uint32_t cursor = 0;
	ql_handle_t handle;
	ql_record_t *record;

	while ((record = ql_table_next(&registrar->records, &cursor, &handle)))
		g_free(record->withdrawal);
	g_hash_table_destroy(registrar->by_key);
	g_hash_table_destroy(registrar->services);
	g_hash_table_destroy(registrar->domains);
	ql_table_finish(&registrar->records);
}

static ql_record_t *get_record(const ql_registrar_t *registrar,
			       ql_handle_t handle)
{
	return ql_table_get(&registrar->records, handle);
}

static ql_handle_t find_handle(const ql_registrar_t *registrar,
			       const char *service, const char *gate)
{
	char key[QL_RECORD_KEY_MAX];
	gpointer handle;

	ql_record_key(key, service, gate);
	if (!g_hash_table_lookup_extended(registrar->by_key, key, NULL,
					  &handle))
		return QL_HANDLE_NONE;
	return GPOINTER_TO_UINT(handle);
}

ql_record_t *ql_registrar__find_record(const ql_registrar_t *registrar,
				       const char *service, const char *gate)
{
	return get_record(registrar, find_handle(registrar, service, gate));
}

ql_service_set_t *ql_registrar__find_service(const ql_registrar_t *registrar,
					     const char *name)
{
	return g_hash_table_lookup(registrar->services, name);
}

ql_service_set_t *ql_registrar__add_service(ql_registrar_t *registrar,
					    const char *name)
{
	ql_service_set_t *set = ql_registrar__find_service(registrar, name);

	if (set ||
	    g_hash_table_size(registrar->services) >= QL_REGISTRAR_SERVICES_MAX)
		return set;
	set = g_new0(ql_service_set_t, 1);
	g_strlcpy(set->name, name, sizeof(set->name));
	set->serving = g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
	g_hash_table_insert(registrar->services, set->name, set);
	return set;
}

ql_domain_entry_t *ql_registrar__add_domain(ql_registrar_t *registrar,
					    const char *name)
{
	ql_domain_entry_t *entry =
		g_hash_table_lookup(registrar->domains, name);

	if (entry ||
	    g_hash_table_size(registrar->domains) >= QL_RPC_DOMAINS_MAX)
		return entry;
	entry = g_new0(ql_domain_entry_t, 1);
	g_strlcpy(entry->name, name, sizeof(entry->name));
	g_hash_table_insert(registrar->domains, entry->name, entry);
	return entry;
}

static void unlink_record(ql_registrar_t *registrar, ql_handle_t handle,
			  const ql_record_t *record)
{
	ql_record_t *newer = get_record(registrar, record->newer);
	ql_record_t *older = get_record(registrar, record->older);

	if (newer)
		newer->older = record->older;
	else if (registrar->newest == handle)
		registrar->newest = record->older;
	if (older)
		older->newer = record->newer;
}

static void link_newest(ql_registrar_t *registrar, ql_handle_t handle,
			ql_record_t *record, uint64_t now_ms)
{
	ql_record_t *older = get_record(registrar, registrar->newest);

	if (older)
		older->newer = handle;
	record->older = registrar->newest;
	record->newer = QL_HANDLE_NONE;
	record->change_number = ++registrar->change_number;
	record->changed_ms = now_ms;
	registrar->newest = handle;
}

static void remove_from_set(ql_registrar_t *registrar, ql_record_t *record)
{
	GArray *rows = record->set->serving;
	ql_record_t *moved;

	g_array_remove_index_fast(rows, record->set_index);
	if (record->set_index < rows->len) {
		moved = get_record(registrar, g_array_index(rows, ql_handle_t,
							    record->set_index));
		moved->set_index = record->set_index;
	}
}

/*
 * Adds the digest of a record to the digests of its service and its failure
 * domain, or removes it when it is included: XOR does both.
 */
static void toggle_digests(ql_registrar_t *registrar, const ql_record_t *record)
{
	uint64_t digest = ql_record_digest(record->set->name, record->gate,
					   &record->version);
	ql_domain_entry_t *domain =
		ql_registrar__add_domain(registrar, record->failure_domain);

	if (domain && record->version.state != QL_RPC_ENDPOINT_GONE)
		domain->digest ^= digest;
	if (record->version.state == QL_RPC_ENDPOINT_SERVING)
		record->set->digest ^= digest;
}

static void change_version(ql_registrar_t *registrar, ql_handle_t handle,
			   ql_record_t *record,
			   const ql_record_version_t *version)
{
	bool served = record->version.state == QL_RPC_ENDPOINT_SERVING;
	bool serves = version->state == QL_RPC_ENDPOINT_SERVING;

	toggle_digests(registrar, record);
	record->version = *version;
	toggle_digests(registrar, record);
	if (served && !serves)
		remove_from_set(registrar, record);
	if (!served && serves) {
		record->set_index = record->set->serving->len;
		g_array_append_val(record->set->serving, handle);
	}
}

void ql_registrar__set_version(ql_registrar_t *registrar, ql_record_t *record,
			       const ql_record_version_t *version,
			       uint64_t now_ms)
{
	ql_handle_t handle =
		find_handle(registrar, record->set->name, record->gate);

	change_version(registrar, handle, record, version);
	unlink_record(registrar, handle, record);
	link_newest(registrar, handle, record, now_ms);
}

static ql_record_t *add_record(ql_registrar_t *registrar,
			       const ql_rpc_endpoint *endpoint)
{
	ql_service_set_t *set =
		ql_registrar__add_service(registrar, endpoint->service);
	char key[QL_RECORD_KEY_MAX];
	ql_record_t *record;
	ql_handle_t handle;
	void *row;

	if (!set ||
	    !ql_registrar__add_domain(registrar, endpoint->failure_domain))
		return NULL;
	handle = ql_table_insert(&registrar->records, &row);
	if (handle == QL_HANDLE_NONE)
		return NULL;
	record = row;
	record->set = set;
	record->version.state = QL_RPC_ENDPOINT_GONE;
	record->newer = QL_HANDLE_NONE;
	record->older = QL_HANDLE_NONE;
	g_strlcpy(record->gate, endpoint->gate, sizeof(record->gate));
	g_strlcpy(record->failure_domain, endpoint->failure_domain,
		  sizeof(record->failure_domain));
	ql_record_key(key, endpoint->service, endpoint->gate);
	g_hash_table_insert(registrar->by_key, g_strdup(key),
			    GUINT_TO_POINTER(handle));
	return record;
}

bool ql_registrar__store_record(ql_registrar_t *registrar,
				const ql_rpc_endpoint *endpoint,
				uint64_t now_ms)
{
	ql_record_version_t version = ql_record_version_of(endpoint);
	ql_record_t *record =
		ql_registrar__find_record(registrar, endpoint->service,
					  endpoint->gate);

	if (!record)
		record = add_record(registrar, endpoint);
	if (!record) {
		registrar->counts.records_full++;
		return false;
	}
	g_strlcpy(record->node, endpoint->node, sizeof(record->node));
	g_strlcpy(record->placement,
		  endpoint->placement ? endpoint->placement : "",
		  sizeof(record->placement));
	record->slots = endpoint->slots;
	record->connections = endpoint->connections;
	record->holder = endpoint->holder;
	ql_registrar__set_version(registrar, record, &version, now_ms);
	return true;
}

static void drop_record(ql_registrar_t *registrar, ql_handle_t handle,
			ql_record_t *record)
{
	ql_record_version_t gone = record->version;
	char key[QL_RECORD_KEY_MAX];

	gone.state = QL_RPC_ENDPOINT_GONE;
	change_version(registrar, handle, record, &gone);
	unlink_record(registrar, handle, record);
	ql_record_key(key, record->set->name, record->gate);
	g_hash_table_remove(registrar->by_key, key);
	g_free(record->withdrawal);
	ql_table_remove(&registrar->records, handle);
}

static bool is_retention_over(const ql_domain_entry_t *domain, uint64_t now_ms)
{
	return domain->stale &&
	       now_ms - domain->confirmed_ms > QL_STALE_DOMAIN_RETENTION_MS;
}

/*
 * A record of a stale failure domain is dropped without a tombstone: whether
 * the endpoint still serves is unknown, and a tombstone would spread to other
 * registrars.
 */
void ql_registrar__drop_old_records(ql_registrar_t *registrar, uint64_t now_ms)
{
	uint32_t cursor = 0;
	ql_domain_entry_t *domain;
	ql_handle_t handle;
	ql_record_t *record;

	while ((record =
			ql_table_next(&registrar->records, &cursor, &handle))) {
		domain = ql_registrar__add_domain(registrar,
						  record->failure_domain);
		if (is_retention_over(domain, now_ms)) {
			domain->covered = false;
			drop_record(registrar, handle, record);
		} else if (record->version.state == QL_RPC_ENDPOINT_GONE &&
			   now_ms - record->changed_ms >
				   TOMBSTONE_RETENTION_MS) {
			drop_record(registrar, handle, record);
		}
	}
}

void ql_registrar__fill_endpoint(ql_rpc_endpoint *out,
				 const ql_record_t *record)
{
	out->service = strdup(record->set->name);
	out->gate = strdup(record->gate);
	out->node = strdup(record->node);
	out->failure_domain = strdup(record->failure_domain);
	out->placement = strdup(record->placement);
	out->incarnation = record->version.incarnation;
	out->slots = record->slots;
	out->connections = record->connections;
	out->state = record->version.state;
	out->epoch = record->version.epoch;
	out->holder = record->holder;
}
