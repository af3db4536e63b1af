#include "policy/balancer_internal.h"
#include "quetzalloft/clock.h"

#include <string.h>

#define ENDPOINTS_MAX 4096u
/* Up to this many endpoints are all examined; of more, some are drawn. */
#define SCANNED_ENDPOINTS_MAX QL_BALANCER_FEW_ENDPOINTS_MAX
/* The same for a policy that weighs them all. */
#define SCANNED_WEIGHTED_MAX 128u
/* Draws in search of two candidates; ineligible endpoints use up draws. */
#define RANDOM_DRAWS_MAX 16u
/* With many endpoints, the least load level is computed once in this time. */
#define MIN_LEVEL_CACHE_US (10 * QL_US_PER_MS)
/* A load level reported longer ago counts as 0. */
#define LOAD_LEVEL_VALID_US (200 * QL_US_PER_MS)

static GArray *handles_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
}

void ql_balancer_init(ql_balancer_t *balancer, const ql_balancer_ops_t *ops,
		      const char *failure_domain, GRand *random)
{
	memset(balancer, 0, sizeof(*balancer));
	balancer->ops = ops;
	balancer->random = random;
	g_strlcpy(balancer->failure_domain, failure_domain,
		  sizeof(balancer->failure_domain));
	ql_table_init(&balancer->endpoints, sizeof(ql_endpoint_t),
		      ENDPOINTS_MAX);
	balancer->by_gate =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	balancer->all = handles_new();
	balancer->same_domain = handles_new();
	balancer->ejected = handles_new();
	balancer->candidates = handles_new();
}

void ql_balancer_finish(ql_balancer_t *balancer)
{
	g_array_free(balancer->candidates, TRUE);
	g_array_free(balancer->ejected, TRUE);
	g_array_free(balancer->same_domain, TRUE);
	g_array_free(balancer->all, TRUE);
	g_hash_table_destroy(balancer->by_gate);
	ql_table_finish(&balancer->endpoints);
}

static ql_endpoint_t *find_by_gate(const ql_balancer_t *balancer,
				   const char *gate, ql_handle_t *handle)
{
	void *value;

	*handle = QL_HANDLE_NONE;
	if (!g_hash_table_lookup_extended(balancer->by_gate, gate, NULL,
					  &value))
		return NULL;
	*handle = GPOINTER_TO_UINT(value);
	return ql_table_get(&balancer->endpoints, *handle);
}

static bool is_same_domain(const ql_balancer_t *balancer,
			   const ql_endpoint_info_t *info)
{
	const char *domain =
		info->placement[0] ? info->placement : info->failure_domain;

	return !strcmp(domain, balancer->failure_domain);
}

static void add_to_lists(ql_balancer_t *balancer, ql_endpoint_t *endpoint,
			 ql_handle_t handle)
{
	endpoint->position = balancer->all->len;
	g_array_append_val(balancer->all, handle);
	endpoint->same_domain_position = UINT32_MAX;
	if (!is_same_domain(balancer, &endpoint->info))
		return;
	endpoint->same_domain_position = balancer->same_domain->len;
	g_array_append_val(balancer->same_domain, handle);
}

/* Moves the last element of each list to the position of the removed one. */
static void remove_from_lists(ql_balancer_t *balancer,
			      const ql_endpoint_t *endpoint)
{
	ql_endpoint_t *last;

	last = ql_balancer__endpoint_at(balancer, balancer->all,
					balancer->all->len - 1);
	last->position = endpoint->position;
	g_array_remove_index_fast(balancer->all, endpoint->position);
	if (endpoint->same_domain_position == UINT32_MAX)
		return;
	last = ql_balancer__endpoint_at(balancer, balancer->same_domain,
					balancer->same_domain->len - 1);
	last->same_domain_position = endpoint->same_domain_position;
	g_array_remove_index_fast(balancer->same_domain,
				  endpoint->same_domain_position);
}

static void remove_endpoint(ql_balancer_t *balancer, ql_endpoint_t *endpoint,
			    ql_handle_t handle)
{
	remove_from_lists(balancer, endpoint);
	g_hash_table_remove(balancer->by_gate, endpoint->info.gate);
	ql_table_remove(&balancer->endpoints, handle);
}

ql_handle_t ql_balancer_add(ql_balancer_t *balancer,
			    const ql_endpoint_info_t *info, uint64_t now_us)
{
	ql_handle_t handle;
	ql_endpoint_t *endpoint = find_by_gate(balancer, info->gate, &handle);
	void *row;

	if (endpoint && endpoint->info.incarnation == info->incarnation &&
	    is_same_domain(balancer, &endpoint->info) ==
		    is_same_domain(balancer, info)) {
		endpoint->info = *info;
		return handle;
	}
	if (endpoint)
		remove_endpoint(balancer, endpoint, handle);
	handle = ql_table_insert(&balancer->endpoints, &row);
	if (handle == QL_HANDLE_NONE)
		return handle;
	endpoint = row;
	endpoint->info = *info;
	endpoint->started_us = now_us - MIN(info->age_us, now_us);
	g_hash_table_insert(balancer->by_gate, g_strdup(info->gate),
			    GUINT_TO_POINTER(handle));
	add_to_lists(balancer, endpoint, handle);
	balancer->min_level = 0;
	return handle;
}

void ql_balancer_remove(ql_balancer_t *balancer, const char *gate)
{
	ql_handle_t handle;
	ql_endpoint_t *endpoint = find_by_gate(balancer, gate, &handle);

	if (endpoint)
		remove_endpoint(balancer, endpoint, handle);
}

static bool was_tried(ql_handle_t handle, const ql_handle_t *tried,
		      size_t n_tried)
{
	size_t i;

	for (i = 0; i < n_tried; i++)
		if (tried[i] == handle)
			return true;
	return false;
}

/*
 * Passes of the search for candidates, by preference: healthy endpoints with
 * free slots in the failure domain of this node, healthy endpoints, and any.
 */
typedef enum {
	PASS_SAME_DOMAIN,
	PASS_HEALTHY,
	PASS_ANY,
	N_PASSES,
} search_pass_t;

/* A pass, the endpoints that it must leave out, and whether none is drawn. */
typedef struct {
	search_pass_t pass;
	bool all;
	const ql_handle_t *tried;
	size_t n_tried;
	uint64_t now_us;
} search_t;

static bool has_capacity(const ql_endpoint_t *endpoint, uint64_t now_us)
{
	uint32_t slots = MAX(endpoint->info.slots, 1);

	return endpoint->backoff_until_us <= now_us &&
	       endpoint->in_progress < slots;
}

static bool has_connection(const ql_endpoint_t *endpoint)
{
	return !endpoint->info.connections ||
	       endpoint->in_progress < endpoint->info.connections;
}

/*
 * After the end of an ejection, an endpoint gets one attempt at a time as a
 * probe, until it answers.
 */
static bool is_healthy(const ql_endpoint_t *endpoint, uint64_t now_us)
{
	if (endpoint->ejected_until_us > now_us)
		return false;
	return !endpoint->ejections || !endpoint->in_progress;
}

static bool is_candidate(const ql_endpoint_t *endpoint, ql_handle_t handle,
			 const search_t *search)
{
	if (!has_connection(endpoint) ||
	    was_tried(handle, search->tried, search->n_tried))
		return false;
	if (search->pass == PASS_ANY)
		return true;
	if (!is_healthy(endpoint, search->now_us))
		return false;
	return search->pass == PASS_HEALTHY ||
	       has_capacity(endpoint, search->now_us);
}

static void add_if_candidate(ql_balancer_t *balancer, ql_handle_t handle,
			     const search_t *search)
{
	const ql_endpoint_t *endpoint =
		ql_table_get(&balancer->endpoints, handle);

	if (is_candidate(endpoint, handle, search))
		g_array_append_val(balancer->candidates, handle);
}

static bool contains_handle(const GArray *handles, ql_handle_t handle)
{
	guint i;

	for (i = 0; i < handles->len; i++)
		if (ql_balancer__handle_at(handles, i) == handle)
			return true;
	return false;
}

/* Draws up to n candidates at random. */
static void draw(ql_balancer_t *balancer, const GArray *handles, guint n,
		 const search_t *search, bool other_domains_only)
{
	guint n_wanted = balancer->candidates->len + n;
	ql_handle_t handle;
	guint i;

	for (i = 0;
	     i < RANDOM_DRAWS_MAX && balancer->candidates->len < n_wanted;
	     i++) {
		handle = ql_balancer__handle_at(
			handles, (guint)g_rand_int_range(balancer->random, 0,
							 (gint32)handles->len));
		if (!contains_handle(balancer->candidates, handle) &&
		    !(other_domains_only &&
		      ql_balancer__is_same_domain(balancer, handle)))
			add_if_candidate(balancer, handle, search);
	}
}

static void add_all_candidates(ql_balancer_t *balancer, const GArray *handles,
			       const search_t *search)
{
	guint i;

	for (i = 0; i < handles->len; i++)
		add_if_candidate(balancer, ql_balancer__handle_at(handles, i),
				 search);
}

static void draw_candidates(ql_balancer_t *balancer, const GArray *handles,
			    const search_t *search)
{
	bool cross_domain = balancer->ops->cross_domain;

	if (balancer->ops->weighted) {
		draw(balancer, handles, RANDOM_DRAWS_MAX, search, false);
		return;
	}
	/* The other policies compare no more than two of a list. */
	if (cross_domain && balancer->same_domain->len)
		draw(balancer, balancer->same_domain, 2, search, false);
	draw(balancer, handles, 2, search, cross_domain);
}

/*
 * Collects the candidates of one pass: of many endpoints a few random ones, or
 * all eligible ones if no draw found any.
 */
static void collect_candidates(ql_balancer_t *balancer, const search_t *search)
{
	const GArray *handles = search->pass == PASS_SAME_DOMAIN
					? balancer->same_domain
					: balancer->all;

	g_array_set_size(balancer->candidates, 0);
	if (!search->all &&
	    handles->len > (balancer->ops->weighted ? SCANNED_WEIGHTED_MAX
						    : SCANNED_ENDPOINTS_MAX))
		draw_candidates(balancer, handles, search);
	if (!balancer->candidates->len)
		add_all_candidates(balancer, handles, search);
}

static void find_candidates(ql_balancer_t *balancer, search_t *search)
{
	int pass =
		balancer->ops->cross_domain ? PASS_HEALTHY : PASS_SAME_DOMAIN;

	for (; pass < N_PASSES; pass++) {
		search->pass = (search_pass_t)pass;
		collect_candidates(balancer, search);
		if (balancer->candidates->len)
			return;
	}
}

ql_handle_t ql_balancer_pick(ql_balancer_t *balancer,
			     const ql_pick_request_t *request, uint64_t now_us)
{
	search_t search = {
		.tried = request->tried,
		.n_tried = request->n_tried,
		.now_us = now_us,
	};
	ql_endpoint_t *endpoint;
	ql_handle_t handle;

	find_candidates(balancer, &search);
	if (!balancer->candidates->len && request->n_tried &&
	    !request->once_per_endpoint) {
		search.tried = request->tried + request->n_tried - 1;
		search.n_tried = balancer->all->len > 1 ? 1 : 0;
		find_candidates(balancer, &search);
	}
	if (!balancer->candidates->len)
		return QL_HANDLE_NONE;
	handle = balancer->ops->pick(balancer, request, now_us);
	endpoint = ql_table_get(&balancer->endpoints, handle);
	if (!endpoint->in_progress++)
		endpoint->unanswered_since_us = now_us;
	endpoint->sent_since++;
	return handle;
}

static ql_endpoint_obstacle_t obstacle_of(const ql_endpoint_t *endpoint,
					  uint64_t now_us)
{
	if (!has_connection(endpoint))
		return QL_OBSTACLE_CONNECTIONS;
	if (!is_healthy(endpoint, now_us))
		return endpoint->ejected_until_us > now_us ? QL_OBSTACLE_EJECTED
							   : QL_OBSTACLE_PROBED;
	if (!has_capacity(endpoint, now_us))
		return endpoint->backoff_until_us > now_us ? QL_OBSTACLE_BACKOFF
							   : QL_OBSTACLE_SLOTS;
	return QL_OBSTACLE_NONE;
}

static void fill_look(ql_endpoint_look_t *look, const ql_balancer_t *balancer,
		      const ql_endpoint_t *endpoint, uint64_t now_us)
{
	*look = (ql_endpoint_look_t){
		.endpoint = endpoint,
		.same_domain = endpoint->same_domain_position != UINT32_MAX,
		.latency_us =
			ql_balancer__expected_latency_us(balancer, endpoint,
							 now_us),
		.failure_ratio =
			ql_balancer__expected_failure_ratio(endpoint, now_us),
		.refusal_ratio =
			ql_balancer__expected_refusal_ratio(endpoint, now_us),
		.obstacle = obstacle_of(endpoint, now_us),
	};
}

static bool is_better(ql_estimate_kind_t kind, double a, double b)
{
	return kind == QL_ESTIMATE_WEIGHT ? a > b : a < b;
}

/* Marks the candidates; of those compared, the best is the likely one. */
static void mark_candidates(const ql_balancer_t *balancer,
			    ql_estimate_kind_t kind, const double *estimates,
			    ql_endpoint_look_t *out)
{
	const ql_endpoint_t *endpoint;
	guint i, best = 0;

	for (i = 0; i < balancer->candidates->len; i++) {
		endpoint = ql_balancer__endpoint_at(balancer,
						    balancer->candidates, i);
		out[endpoint->position].candidate = true;
		out[endpoint->position].estimate = estimates[i];
		if (is_better(kind, estimates[i], estimates[best]))
			best = i;
	}
	if (!i || (kind == QL_ESTIMATE_NONE && i > 1))
		return;
	endpoint =
		ql_balancer__endpoint_at(balancer, balancer->candidates, best);
	out[endpoint->position].likely = true;
}

/* The policy works on a copy, which has candidates of its own. */
ql_estimate_kind_t ql_balancer_look(const ql_balancer_t *balancer,
				    const ql_pick_request_t *request,
				    uint64_t now_us, ql_endpoint_look_t *out)
{
	search_t search = {.all = true, .now_us = now_us};
	ql_balancer_t copy = *balancer;
	ql_estimate_kind_t kind;
	double *estimates;
	guint i;

	for (i = 0; i < balancer->all->len; i++)
		fill_look(&out[i], balancer,
			  ql_balancer__endpoint_at(balancer, balancer->all, i),
			  now_us);
	copy.candidates = handles_new();
	copy.random = NULL;
	find_candidates(&copy, &search);
	estimates = g_new0(double, copy.candidates->len + 1);
	kind = copy.ops->estimate(&copy, request, now_us, estimates);
	mark_candidates(&copy, kind, estimates, out);
	g_free(estimates);
	g_array_free(copy.candidates, TRUE);
	return kind;
}

static uint32_t compute_min_level(const ql_balancer_t *balancer,
				  uint64_t now_us)
{
	uint32_t level = UINT32_MAX;
	const ql_endpoint_t *endpoint;
	guint i;

	for (i = 0; i < balancer->all->len && level; i++) {
		endpoint = ql_balancer__endpoint_at(balancer, balancer->all, i);
		level = MIN(level, now_us - endpoint->load_level_us <
						   LOAD_LEVEL_VALID_US
					   ? endpoint->load_level
					   : 0);
	}
	return level == UINT32_MAX ? 0 : level;
}

uint32_t ql_balancer_min_level(ql_balancer_t *balancer, uint64_t now_us)
{
	bool is_large = balancer->all->len > SCANNED_ENDPOINTS_MAX;

	if (is_large && now_us - balancer->min_level_us < MIN_LEVEL_CACHE_US)
		return balancer->min_level;
	balancer->min_level = compute_min_level(balancer, now_us);
	balancer->min_level_us = now_us;
	return balancer->min_level;
}
