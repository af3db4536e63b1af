#include "control/member_view.h"

#include <stdlib.h>
#include <string.h>

/* A whole list ends only what was not confirmed for so long: registrars lag. */
#define SETTLE_MS 3000u
/*
 * How long a registrar that lags cannot bring an endpoint back. It is short,
 * since a registrar may fail before it told others that an endpoint is gone.
 */
#define TOMBSTONE_MS 6000u
/* Endpoints of a domain that was silent for so long are forgotten. */
#define SILENT_MAX_MS 7200000u

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

static bool is_serving(const ql_member_endpoint_t *known)
{
	return known->version.state == QL_RPC_ENDPOINT_SERVING;
}

static bool is_expired(const ql_member_t *member,
		       const ql_member_endpoint_t *known, uint64_t now_ms)
{
	const domain_t *domain =
		find_domain(member, known->info.failure_domain);

	if (!is_serving(known))
		return now_ms - known->confirmed_ms >= TOMBSTONE_MS;
	return domain && domain->stale &&
	       now_ms - domain->confirmed_ms >= SILENT_MAX_MS;
}

static void tell_up(const ql_member_t *member, ql_member_endpoint_t *known)
{
	const domain_t *domain =
		find_domain(member, known->info.failure_domain);

	known->info.stale = domain && domain->stale;
	member->ops->endpoint_up(member->data, known->service, &known->info);
}

static void tell_gone(const ql_member_t *member,
		      const ql_member_endpoint_t *known)
{
	member->ops->endpoint_gone(member->data, known->service,
				   known->info.gate);
}

static ql_member_endpoint_t *add_known(ql_member_t *member, const char *key,
				       const ql_rpc_endpoint *endpoint)
{
	ql_member_endpoint_t *known = g_new0(ql_member_endpoint_t, 1);

	g_strlcpy(known->service, endpoint->service, sizeof(known->service));
	g_strlcpy(known->info.gate, endpoint->gate, sizeof(known->info.gate));
	g_strlcpy(known->info.failure_domain, endpoint->failure_domain,
		  sizeof(known->info.failure_domain));
	g_strlcpy(known->info.placement,
		  endpoint->placement ? endpoint->placement : "",
		  sizeof(known->info.placement));
	known->version.state = QL_RPC_ENDPOINT_GONE;
	g_hash_table_insert(member->endpoints, g_strdup(key), known);
	return known;
}

static void take_endpoint(ql_member_t *member, const ql_rpc_endpoint *endpoint,
			  uint64_t now_ms)
{
	ql_record_version_t version = ql_record_version_of(endpoint);
	char key[QL_RECORD_KEY_MAX];
	ql_member_endpoint_t *known;
	bool served;

	if (ql_record_check(endpoint))
		return;
	ql_record_key(key, endpoint->service, endpoint->gate);
	known = g_hash_table_lookup(member->endpoints, key);
	if (known && member->opts.rules->compare(&version, &known->version) < 0)
		return;
	if (!known)
		known = add_known(member, key, endpoint);
	served = is_serving(known);
	known->version = version;
	known->info.incarnation = endpoint->incarnation;
	known->info.slots = endpoint->slots;
	known->info.connections = endpoint->connections;
	known->confirmed_ms = now_ms;
	known->uncovered = false;
	if (is_serving(known))
		tell_up(member, known);
	else if (served)
		tell_gone(member, known);
}

/* Whether an endpoint that a whole list does not name is to be forgotten. */
static bool is_absent(const ql_member_t *member, ql_member_endpoint_t *known,
		      bool registrar_ready, uint64_t now_ms)
{
	const domain_t *domain =
		find_domain(member, known->info.failure_domain);

	known->uncovered = !registrar_ready || !domain || !domain->covered;
	return !known->uncovered && now_ms - known->confirmed_ms >= SETTLE_MS;
}

static void forget_absent(ql_member_t *member, const char *service,
			  const ql_rpc_lease_res *res, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ql_member_endpoint_t *known = value;

		if (!is_serving(known) || known->confirmed_ms == now_ms ||
		    strcmp(known->service, service) != 0 ||
		    !is_absent(member, known, res->ready, now_ms))
			continue;
		tell_gone(member, known);
		g_hash_table_iter_remove(&iter);
	}
}

static void take_service(ql_member_t *member, const ql_rpc_service *service,
			 const ql_rpc_lease_res *res, uint64_t now_ms)
{
	u_int i;

	if (!g_hash_table_contains(member->interest, service->service))
		return;
	for (i = 0; i < service->endpoints.endpoints_len; i++)
		if (!strcmp(service->endpoints.endpoints_val[i].service,
			    service->service))
			take_endpoint(member,
				      &service->endpoints.endpoints_val[i],
				      now_ms);
	if (service->whole)
		forget_absent(member, service->service, res, now_ms);
}

/* Tells the node anew of endpoints whose domain became stale or fresh. */
static void tell_domain(ql_member_t *member, const char *name)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ql_member_endpoint_t *known = value;

		if (is_serving(known) &&
		    !strcmp(known->info.failure_domain, name))
			tell_up(member, known);
	}
}

/* Returns whether the registrar can speak for the domain from now on. */
static bool take_domain(ql_member_t *member, const ql_rpc_domain *in,
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
		tell_domain(member, in->name);
	return domain->covered && !was_covered;
}

static void drop_expired(ql_member_t *member, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ql_member_endpoint_t *known = value;

		if (!is_expired(member, known, now_ms))
			continue;
		if (is_serving(known))
			tell_gone(member, known);
		g_hash_table_iter_remove(&iter);
	}
}

bool ql_member__update_view(ql_member_t *member, const ql_rpc_lease_res *res,
			    uint64_t now_ms)
{
	bool compare = false;
	u_int i;

	for (i = 0; i < res->domains.domains_len; i++)
		compare |= take_domain(member, &res->domains.domains_val[i],
				       res->ready, now_ms);
	for (i = 0; i < res->services.services_len; i++)
		take_service(member, &res->services.services_val[i], res,
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
		const ql_member_endpoint_t *known = value;

		if (g_hash_table_contains(member->interest, known->service))
			continue;
		if (is_serving(known))
			tell_gone(member, known);
		g_hash_table_iter_remove(&iter);
	}
}

/* Whether the registrars can be expected to know the endpoint, too. */
static bool is_compared(const ql_member_t *member,
			const ql_member_endpoint_t *known)
{
	const domain_t *domain =
		find_domain(member, known->info.failure_domain);

	return is_serving(known) &&
	       (!known->uncovered || (domain && domain->covered));
}

/* Sums the digests of what is known, by service. */
static GHashTable *sum_digests(const ql_member_t *member)
{
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;
	uint64_t *sum;

	g_hash_table_iter_init(&iter, member->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ql_member_endpoint_t *known = value;

		if (!is_compared(member, known))
			continue;
		sum = g_hash_table_lookup(sums, known->service);
		if (!sum) {
			sum = g_new0(uint64_t, 1);
			g_hash_table_insert(sums, (gpointer)known->service,
					    sum);
		}
		*sum ^= ql_record_digest(known->service, known->info.gate,
					 &known->version);
	}
	return sums;
}

void ql_member__fill_interest(const ql_member_t *member,
			      ql_rpc_lease_args *args)
{
	u_int n = g_hash_table_size(member->interest);
	ql_rpc_interest *out = calloc(n + 1, sizeof(*out));
	GHashTable *sums = sum_digests(member);
	GHashTableIter iter;
	gpointer name;
	const uint64_t *sum;

	g_assert(out);
	args->has_interest = TRUE;
	args->interest.interest_len = n;
	args->interest.interest_val = out;
	g_hash_table_iter_init(&iter, member->interest);
	for (; g_hash_table_iter_next(&iter, &name, NULL); out++) {
		sum = g_hash_table_lookup(sums, name);
		out->service = strdup(name);
		out->digest = sum ? *sum : 0;
	}
	g_hash_table_destroy(sums);
}
