#include "control/registrar_view.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/*
 * An endpoint that may be chosen for a subset. Candidates with lower ranks are
 * chosen first, and among equal ranks those with lower scores. The score is a
 * hash of the gate and the node.
 */
typedef struct {
	ql_handle_t handle;
	const ql_record_t *record;
	uint64_t score;
	guint rank;
} candidate_t;

static const ql_record_t *get_record(const ql_registrar_t *registrar,
				     ql_handle_t handle)
{
	return ql_table_get(&registrar->records, handle);
}

static gint compare_scores(const candidate_t *a, const candidate_t *b)
{
	return (a->score > b->score) - (a->score < b->score);
}

/* Returns the failure domain of the VM of an endpoint. */
static const char *record_domain(const ql_record_t *record)
{
	return record->placement[0] ? record->placement
				    : record->failure_domain;
}

static gint compare_by_domain(gconstpointer left, gconstpointer right)
{
	const candidate_t *a = left, *b = right;
	int order = strcmp(record_domain(a->record), record_domain(b->record));

	return order ? order : compare_scores(a, b);
}

static gint compare_by_rank(gconstpointer left, gconstpointer right)
{
	const candidate_t *a = left, *b = right;

	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	return compare_scores(a, b);
}

static GArray *list_candidates(const ql_registrar_t *registrar,
			       const ql_service_set_t *set, const char *node)
{
	uint64_t seed = XXH3_64bits(node, strlen(node));
	GArray *out = g_array_sized_new(FALSE, TRUE, sizeof(candidate_t),
					set->serving->len);
	candidate_t candidate = {0};
	guint i;

	for (i = 0; i < set->serving->len; i++) {
		candidate.handle = g_array_index(set->serving, ql_handle_t, i);
		candidate.record = get_record(registrar, candidate.handle);
		candidate.score =
			XXH3_64bits_withSeed(candidate.record->gate,
					     strlen(candidate.record->gate),
					     seed);
		g_array_append_val(out, candidate);
	}
	return out;
}

/*
 * Sorts the candidates by their rank inside their failure domain, so that the
 * failure domains are chosen in turn. The first endpoints of the failure domain
 * of the node have rank 0, so that its nodes share them all evenly.
 */
static void rank_candidates(GArray *candidates, const char *own_domain)
{
	const char *domain = "";
	candidate_t *candidate;
	guint i, position = 0;

	g_array_sort(candidates, compare_by_domain);
	for (i = 0; i < candidates->len; i++) {
		candidate = &g_array_index(candidates, candidate_t, i);
		if (strcmp(domain, record_domain(candidate->record)) != 0)
			position = 0;
		domain = record_domain(candidate->record);
		candidate->rank = strcmp(domain, own_domain)
					  ? position
					  : position / QL_SUBSET_OWN_DOMAIN_MIN;
		position++;
	}
	g_array_sort(candidates, compare_by_rank);
}

static GArray *copy_handles(const ql_service_set_t *set)
{
	GArray *out = g_array_sized_new(FALSE, FALSE, sizeof(ql_handle_t),
					set->serving->len);

	return g_array_append_vals(out, set->serving->data, set->serving->len);
}

GArray *ql_registrar__choose_subset(const ql_registrar_t *registrar,
				    const ql_service_set_t *set,
				    const char *node, const char *domain)
{
	const candidate_t *candidate;
	GArray *candidates, *out;
	uint64_t slots = 0;
	guint i;

	if (set->serving->len <= QL_SUBSET_ENDPOINTS_MIN)
		return copy_handles(set);
	out = g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
	candidates = list_candidates(registrar, set, node);
	rank_candidates(candidates, domain);
	for (i = 0; i < candidates->len && i < QL_SUBSET_ENDPOINTS_MAX; i++) {
		if (i >= QL_SUBSET_ENDPOINTS_MIN &&
		    slots >= QL_SUBSET_SLOTS_TARGET)
			break;
		candidate = &g_array_index(candidates, candidate_t, i);
		g_array_append_val(out, candidate->handle);
		slots += candidate->record->slots;
	}
	g_array_free(candidates, TRUE);
	return out;
}

static uint64_t digest_records(const ql_registrar_t *registrar,
			       const GArray *handles)
{
	const ql_record_t *record;
	uint64_t digest = 0;
	guint i;

	for (i = 0; i < handles->len; i++) {
		record = get_record(registrar,
				    g_array_index(handles, ql_handle_t, i));
		digest ^= ql_record_digest(record->set->name, record->gate,
					   &record->version);
	}
	return digest;
}

static ql_rpc_service *add_service(ql_rpc_lease_res *res, const char *name)
{
	u_int n = ++res->services.services_len;
	ql_rpc_service *services =
		realloc(res->services.services_val, n * sizeof(*services));

	g_assert(services);
	res->services.services_val = services;
	memset(&services[n - 1], 0, sizeof(*services));
	services[n - 1].service = strdup(name);
	return &services[n - 1];
}

static void write_records(ql_registrar_t *registrar, ql_rpc_service *out,
			  const GArray *handles)
{
	guint i;

	out->endpoints.endpoints_len = handles->len;
	out->endpoints.endpoints_val =
		calloc(handles->len + 1, sizeof(ql_rpc_endpoint));
	g_assert(out->endpoints.endpoints_val);
	for (i = 0; i < handles->len; i++)
		ql_registrar__fill_endpoint(
			&out->endpoints.endpoints_val[i],
			get_record(registrar,
				   g_array_index(handles, ql_handle_t, i)));
	registrar->counts.records_sent += handles->len;
}

static void write_whole_service(ql_registrar_t *registrar,
				ql_rpc_lease_res *res, const char *name,
				const GArray *handles)
{
	ql_rpc_service *out = add_service(res, name);

	out->whole = TRUE;
	write_records(registrar, out, handles);
	registrar->counts.whole_lists++;
}

/* Returns the failure domain of the VM of a node: that of its endpoints. */
static const char *node_domain(const ql_registrar_t *registrar,
			       const ql_node_lease_t *lease)
{
	const ql_record_t *record =
		lease->records->len
			? get_record(registrar, g_array_index(lease->records,
							      ql_handle_t, 0))
			: NULL;

	return record ? record_domain(record) : registrar->opts.failure_domain;
}

static GArray *choose_subset_for_node(const ql_registrar_t *registrar,
				      const ql_service_set_t *set,
				      const ql_node_lease_t *lease)
{
	return ql_registrar__choose_subset(registrar, set, lease->name,
					   node_domain(registrar, lease));
}

/* Sends the complete list of a service unless the node has it already. */
static void send_whole_if_different(ql_registrar_t *registrar,
				    const ql_service_set_t *set,
				    const ql_node_lease_t *lease,
				    uint64_t node_digest, ql_rpc_lease_res *res)
{
	GArray *handles;

	if (set->serving->len <= QL_SUBSET_ENDPOINTS_MIN &&
	    set->digest == node_digest)
		return;
	handles = choose_subset_for_node(registrar, set, lease);
	if (digest_records(registrar, handles) != node_digest)
		write_whole_service(registrar, res, set->name, handles);
	g_array_free(handles, TRUE);
}

static void update_interest(ql_registrar_t *registrar, ql_node_lease_t *lease,
			    const ql_rpc_lease_args *args,
			    ql_rpc_lease_res *res)
{
	const ql_rpc_interest *interest;
	ql_service_set_t *set;
	u_int i;

	if (lease->interest)
		g_hash_table_remove_all(lease->interest);
	else
		lease->interest = g_hash_table_new(NULL, NULL);
	for (i = 0; i < args->interest.interest_len; i++) {
		interest = &args->interest.interest_val[i];
		set = ql_registrar__add_service(registrar, interest->service);
		if (!set || !g_hash_table_add(lease->interest, set))
			continue;
		send_whole_if_different(registrar, set, lease, interest->digest,
					res);
	}
}

/*
 * Returns the records of the followed services that changed after change number
 * @since, grouped by service.
 */
static GHashTable *collect_changes(const ql_registrar_t *registrar,
				   const ql_node_lease_t *lease, uint64_t since)
{
	GHashTable *changes =
		g_hash_table_new_full(NULL, NULL, NULL,
				      (GDestroyNotify)g_array_unref);
	ql_handle_t handle = registrar->newest;
	const ql_record_t *record;
	GArray *handles;

	while ((record = get_record(registrar, handle)) &&
	       record->change_number > since) {
		if (g_hash_table_contains(lease->interest, record->set)) {
			handles = g_hash_table_lookup(changes, record->set);
			if (!handles) {
				handles = g_array_new(FALSE, FALSE,
						      sizeof(ql_handle_t));
				g_hash_table_insert(changes, record->set,
						    handles);
			}
			g_array_append_val(handles, handle);
		}
		handle = record->older;
	}
	return changes;
}

static void write_changes(ql_registrar_t *registrar,
			  const ql_node_lease_t *lease, uint64_t since,
			  ql_rpc_lease_res *res)
{
	GHashTable *changes = collect_changes(registrar, lease, since);
	GHashTableIter iter;
	gpointer key, value;
	GArray *handles;

	g_hash_table_iter_init(&iter, changes);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const ql_service_set_t *set = key;

		if (set->serving->len <= QL_SUBSET_ENDPOINTS_MIN) {
			write_records(registrar, add_service(res, set->name),
				      value);
			continue;
		}
		handles = choose_subset_for_node(registrar, set, lease);
		write_whole_service(registrar, res, set->name, handles);
		g_array_free(handles, TRUE);
	}
	g_hash_table_destroy(changes);
}

void ql_registrar__fill_services(ql_registrar_t *registrar,
				 ql_node_lease_t *lease,
				 const ql_rpc_lease_args *args,
				 ql_rpc_lease_res *res)
{
	res->members_number = registrar->change_number;
	if (args->has_interest) {
		update_interest(registrar, lease, args, res);
		return;
	}
	if (!lease->interest ||
	    args->registrar_incarnation != registrar->opts.incarnation ||
	    args->members_number > registrar->change_number) {
		res->want_interest = TRUE;
		return;
	}
	if (args->members_number < registrar->change_number)
		write_changes(registrar, lease, args->members_number, res);
}

void ql_registrar__fill_domains(const ql_registrar_t *registrar, u_int *len,
				ql_rpc_domain **val, uint64_t now_ms)
{
	guint n = g_hash_table_size(registrar->domains);
	ql_rpc_domain *out = calloc(n + 1, sizeof(*out));
	GHashTableIter iter;
	gpointer value;

	g_assert(out);
	*len = n;
	*val = out;
	g_hash_table_iter_init(&iter, registrar->domains);
	for (; g_hash_table_iter_next(&iter, NULL, &value); out++) {
		const ql_domain_entry_t *entry = value;

		out->name = strdup(entry->name);
		out->age_ms = now_ms - MIN(entry->confirmed_ms, now_ms);
		out->covered = entry->covered;
		out->stale = entry->stale;
		out->digest = entry->digest;
	}
}
