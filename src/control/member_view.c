#include "control/member_view.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>

/*
 * An endpoint that a complete list lacks is removed only when its last
 * confirmation is at least this old, since the list may come from a registrar
 * that lags.
 */
#define UNLISTED_MIN_AGE_MS 3000u
/*
 * How long a tombstone keeps a registrar that lags from bringing an endpoint
 * back. It is short, since a registrar may fail before it has sent the end of
 * an endpoint to the other registrars.
 */
#define TOMBSTONE_RETENTION_MS 6000u
/*
 * How long endpoints of a stale failure domain are kept after its last
 * confirmation.
 */
#define STALE_DOMAIN_RETENTION_MS 7200000u

/*
 * State of a failure domain: when its registrars last confirmed its endpoints,
 * whether a ready registrar has all of its endpoints, and whether the last
 * confirmation is too old.
 */
typedef struct {
	uint64_t confirmed_ms;
	bool covered;
	bool stale;
} domain_t;

void ql_member__view_init(ql_member_t *member)
{
	member->endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	member->domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void ql_member__view_finish(ql_member_t *member)
{
	g_hash_table_destroy(member->endpoints);
	g_hash_table_destroy(member->domains);
}

static const domain_t *find_domain(const ql_member_t *member, const char *name)
{
	return g_hash_table_lookup(member->domains, name);
}

static bool is_serving(const ql_member_endpoint_t *entry)
{
	return entry->version.state == QL_RPC_ENDPOINT_SERVING;
}

static bool is_expired(const ql_member_t *member,
		       const ql_member_endpoint_t *entry, uint64_t now_ms)
{
	const domain_t *domain =
		find_domain(member, entry->info.failure_domain);

	if (!is_serving(entry))
		return now_ms - entry->confirmed_ms >= TOMBSTONE_RETENTION_MS;
	return domain && domain->stale &&
	       now_ms - domain->confirmed_ms >= STALE_DOMAIN_RETENTION_MS;
}

static void notify_up(const ql_member_t *member, ql_member_endpoint_t *entry)
{
	const domain_t *domain =
		find_domain(member, entry->info.failure_domain);

	entry->info.stale = domain && domain->stale;
	member->ops->endpoint_up(member->data, entry->service, &entry->info);
}

static void notify_gone(const ql_member_t *member,
			const ql_member_endpoint_t *entry)
{
	member->ops->endpoint_gone(member->data, entry->service,
				   entry->info.gate);
}

static ql_member_endpoint_t *add_entry(ql_member_t *member, const char *key,
				       const ql_rpc_endpoint *endpoint)
{
	ql_member_endpoint_t *entry = g_new0(ql_member_endpoint_t, 1);

	g_strlcpy(entry->service, endpoint->service, sizeof(entry->service));
	g_strlcpy(entry->info.gate, endpoint->gate, sizeof(entry->info.gate));
	g_strlcpy(entry->info.failure_domain, endpoint->failure_domain,
		  sizeof(entry->info.failure_domain));
	g_strlcpy(entry->info.placement,
		  endpoint->placement ? endpoint->placement : "",
		  sizeof(entry->info.placement));
	entry->version.state = QL_RPC_ENDPOINT_GONE;
	g_hash_table_insert(member->endpoints, g_strdup(key), entry);
	return entry;
}

/* The texts of an invalid record may be of any length. */
static void log_refused(const ql_rpc_endpoint *endpoint)
{
	char service[QL_NAME_MAX], gate[QL_ADDRESS_MAX];

	g_strlcpy(service, endpoint->service, sizeof(service));
	g_strlcpy(gate, endpoint->gate, sizeof(gate));
	ql_log(LOG_INFO, "record_refused", QL_STR("service", service),
	       QL_STR("gate", gate), QL_UINT("slots", endpoint->slots),
	       QL_INT("state", endpoint->state));
}

static void merge_endpoint(ql_member_t *member, const ql_rpc_endpoint *endpoint,
			   uint64_t now_ms)
{
	ql_record_version_t version = ql_record_version_of(endpoint);
	char key[QL_RECORD_KEY_MAX];
	ql_member_endpoint_t *entry;
	bool was_serving;

	if (ql_record_check(endpoint)) {
		log_refused(endpoint);
		return;
	}
	ql_record_key(key, endpoint->service, endpoint->gate);
	entry = g_hash_table_lookup(member->endpoints, key);
	if (entry && member->opts.rules->compare(&version, &entry->version) < 0)
		return;
	if (!entry)
		entry = add_entry(member, key, endpoint);
	was_serving = is_serving(entry);
	entry->version = version;
	entry->info.incarnation = endpoint->incarnation;
	entry->info.slots = endpoint->slots;
	entry->info.connections = endpoint->connections;
	entry->confirmed_ms = now_ms;
	entry->uncovered = false;
	if (is_serving(entry))
		notify_up(member, entry);
	else if (was_serving)
		notify_gone(member, entry);
}

/*
 * Returns whether an endpoint that a complete list lacks has to be removed, and
 * records whether the registrar covers its failure domain.
 */
static bool must_remove_unlisted(const ql_member_t *member,
				 ql_member_endpoint_t *entry,
				 bool registrar_ready, uint64_t now_ms)
{
	const domain_t *domain =
		find_domain(member, entry->info.failure_domain);

	entry->uncovered = !registrar_ready || !domain || !domain->covered;
	return !entry->uncovered &&
	       now_ms - entry->confirmed_ms >= UNLISTED_MIN_AGE_MS;
}

static void remove_unlisted(ql_member_t *member, const char *service,
			    const ql_rpc_lease_res *res, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ql_member_endpoint_t *entry = value;

		if (!is_serving(entry) || entry->confirmed_ms == now_ms ||
		    strcmp(entry->service, service) != 0 ||
		    !must_remove_unlisted(member, entry, res->ready, now_ms))
			continue;
		notify_gone(member, entry);
		g_hash_table_iter_remove(&iter);
	}
}

static void apply_service(ql_member_t *member, const ql_rpc_service *service,
			  const ql_rpc_lease_res *res, uint64_t now_ms)
{
	u_int i;

	if (!g_hash_table_contains(member->interest, service->service))
		return;
	for (i = 0; i < service->endpoints.endpoints_len; i++)
		if (!strcmp(service->endpoints.endpoints_val[i].service,
			    service->service))
			merge_endpoint(member,
				       &service->endpoints.endpoints_val[i],
				       now_ms);
	if (service->whole)
		remove_unlisted(member, service->service, res, now_ms);
}

/* Notifies the node about the endpoints of a domain whose staleness changed. */
static void notify_domain(ql_member_t *member, const char *name)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ql_member_endpoint_t *entry = value;

		if (is_serving(entry) &&
		    !strcmp(entry->info.failure_domain, name))
			notify_up(member, entry);
	}
}

/*
 * Updates the state of a failure domain; returns whether a ready registrar
 * covers it now and none did before.
 */
static bool update_domain(ql_member_t *member, const ql_rpc_domain *in,
			  bool registrar_ready, uint64_t now_ms)
{
	domain_t *domain = g_hash_table_lookup(member->domains, in->name);
	bool was_stale, was_covered;

	if (!domain) {
		domain = g_new0(domain_t, 1);
		g_hash_table_insert(member->domains, g_strdup(in->name),
				    domain);
	}
	was_stale = domain->stale;
	was_covered = domain->covered;
	domain->confirmed_ms =
		MAX(domain->confirmed_ms, now_ms - MIN(in->age_ms, now_ms));
	domain->covered = in->covered && registrar_ready;
	domain->stale = in->stale;
	if (was_stale != domain->stale)
		notify_domain(member, in->name);
	return domain->covered && !was_covered;
}

static void drop_expired(ql_member_t *member, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ql_member_endpoint_t *entry = value;

		if (!is_expired(member, entry, now_ms))
			continue;
		if (is_serving(entry))
			notify_gone(member, entry);
		g_hash_table_iter_remove(&iter);
	}
}

bool ql_member__update_view(ql_member_t *member, const ql_rpc_lease_res *res,
			    uint64_t now_ms)
{
	bool compare = false;
	u_int i;

	for (i = 0; i < res->domains.domains_len; i++)
		compare |= update_domain(member, &res->domains.domains_val[i],
					 res->ready, now_ms);
	for (i = 0; i < res->services.services_len; i++)
		apply_service(member, &res->services.services_val[i], res,
			      now_ms);
	if (res->services.services_len || res->domains.domains_len)
		drop_expired(member, now_ms);
	return compare;
}

void ql_member__drop_unfollowed(ql_member_t *member)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ql_member_endpoint_t *entry = value;

		if (g_hash_table_contains(member->interest, entry->service))
			continue;
		if (is_serving(entry))
			notify_gone(member, entry);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns whether an endpoint is included in the digest of its service: the
 * registrars are expected to have a record of it, too.
 */
static bool is_in_digest(const ql_member_t *member,
			 const ql_member_endpoint_t *entry)
{
	const domain_t *domain =
		find_domain(member, entry->info.failure_domain);

	return is_serving(entry) &&
	       (!entry->uncovered || (domain && domain->covered));
}

/* Returns the XOR of the digests of the endpoints, by service. */
static GHashTable *digest_services(const ql_member_t *member)
{
	GHashTable *digests =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;
	uint64_t *digest;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ql_member_endpoint_t *entry = value;

		if (!is_in_digest(member, entry))
			continue;
		digest = g_hash_table_lookup(digests, entry->service);
		if (!digest) {
			digest = g_new0(uint64_t, 1);
			g_hash_table_insert(digests, (gpointer)entry->service,
					    digest);
		}
		*digest ^= ql_record_digest(entry->service, entry->info.gate,
					    &entry->version);
	}
	return digests;
}

void ql_member__fill_interest(const ql_member_t *member,
			      ql_rpc_lease_args *args)
{
	u_int n = g_hash_table_size(member->interest);
	ql_rpc_interest *out = calloc(n + 1, sizeof(*out));
	GHashTable *digests = digest_services(member);
	GHashTableIter iter;
	gpointer name;
	const uint64_t *digest;

	g_assert(out);
	args->has_interest = TRUE;
	args->interest.interest_len = n;
	args->interest.interest_val = out;
	g_hash_table_iter_init(&iter, member->interest);
	for (; g_hash_table_iter_next(&iter, &name, NULL); out++) {
		digest = g_hash_table_lookup(digests, name);
		out->service = strdup(name);
		out->digest = digest ? *digest : 0;
	}
	g_hash_table_destroy(digests);
}
