#include "control/member_interest.h"

#include <string.h>
#include <xxhash.h>

/*
 * Hashes the inputs of the interest. Demanded services are only added, so their
 * number is sufficient.
 */
static uint64_t digest_inputs(const ql_member_t *member,
			      const ql_rpc_endpoint *endpoints,
			      size_t n_endpoints)
{
	uint64_t digest = member->config.doc->version * 31 +
			  g_hash_table_size(member->demanded) + 1;
	size_t i;

	for (i = 0; i < n_endpoints; i++)
		digest = XXH3_64bits_withSeed(endpoints[i].service,
					      strlen(endpoints[i].service),
					      digest);
	return digest;
}

static void add_to_interest(GHashTable *interest, const char *service)
{
	if (g_hash_table_size(interest) < QL_RPC_INTEREST_MAX &&
	    ql_name_is_valid(service))
		g_hash_table_add(interest, g_strdup(service));
}

static void add_callees(GHashTable *interest, const ql_document_t *doc,
			const char *service)
{
	int index = ql_document_find_service(doc, service);
	uint16_t i;

	if (index < 0)
		return;
	for (i = 0; i < doc->services[index].n_calls; i++)
		add_to_interest(
			interest,
			doc->services[doc->services[index].calls[i]].name);
}

static GHashTable *compute_interest(const ql_member_t *member,
				    const ql_rpc_endpoint *endpoints,
				    size_t n_endpoints)
{
	const ql_document_t *doc = member->config.doc;
	GHashTable *interest =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer name;
	size_t i;

	for (i = 0; i < n_endpoints; i++)
		add_callees(interest, doc, endpoints[i].service);
	if (doc->n_services <= QL_PREFETCH_SERVICES_MAX)
		for (i = 0; i < doc->n_services; i++)
			add_to_interest(interest, doc->services[i].name);
	g_hash_table_iter_init(&iter, member->demanded);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		add_to_interest(interest, name);
	return interest;
}

static bool is_equal(GHashTable *a, GHashTable *b)
{
	GHashTableIter iter;
	gpointer name;

	if (g_hash_table_size(a) != g_hash_table_size(b))
		return false;
	g_hash_table_iter_init(&iter, a);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		if (!g_hash_table_contains(b, name))
			return false;
	return true;
}

bool ql_member__update_interest(ql_member_t *member,
				const ql_rpc_endpoint *endpoints,
				size_t n_endpoints)
{
	uint64_t digest = digest_inputs(member, endpoints, n_endpoints);
	GHashTable *interest;

	if (digest == member->interest_digest)
		return false;
	member->interest_digest = digest;
	interest = compute_interest(member, endpoints, n_endpoints);
	if (member->interest_number && is_equal(interest, member->interest)) {
		g_hash_table_destroy(interest);
		return false;
	}
	g_hash_table_destroy(member->interest);
	member->interest = interest;
	member->interest_number++;
	return true;
}

bool ql_member_follow_service(ql_member_t *member, const char *service)
{
	/* One that is prefetched today may not be with the next document. */
	if (g_hash_table_size(member->demanded) >= QL_RPC_INTEREST_MAX ||
	    !g_hash_table_add(member->demanded, g_strdup(service)))
		return false;
	return !g_hash_table_contains(member->interest, service);
}
