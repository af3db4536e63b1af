#include "policy/balancer_internal.h"
#include "quetzalloft/clock.h"

#include <string.h>

#define TARGETS_MAX 4096u
/* Up to this many endpoints are all looked at; of more, some are drawn. */
#define SCAN_MAX 16u
#define DRAWS_MAX 16u
#define LEVEL_FRESH_US (10 * QL_US_PER_MS)
#define LEVEL_HOLD_US (200 * QL_US_PER_MS)

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
	ql_table_init(&balancer->endpoints, sizeof(ql_endpoint_t), TARGETS_MAX);
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

static ql_endpoint_t *find_gate(const ql_balancer_t *balancer, const char *gate,
				ql_handle_t *handle)
{
	void *value;

	*handle = QL_HANDLE_NONE;
	if (!g_hash_table_lookup_extended(balancer->by_gate, gate, NULL,
					  &value))
		return NULL;
	*handle = GPOINTER_TO_UINT(value);
	return ql_table_get(&balancer->endpoints, *handle);
}

static bool is_near(const ql_balancer_t *balancer,
		    const ql_endpoint_info_t *info)
{
	const char *place =
		info->placement[0] ? info->placement : info->failure_domain;

	return !strcmp(place, balancer->failure_domain);
}

static void list_target(ql_balancer_t *balancer, ql_endpoint_t *target,
			ql_handle_t handle)
{
	target->position = balancer->all->len;
	g_array_append_val(balancer->all, handle);
	target->same_domain_position = UINT32_MAX;
	if (!is_near(balancer, &target->info))
		return;
	target->same_domain_position = balancer->same_domain->len;
	g_array_append_val(balancer->same_domain, handle);
}

/* The last entry takes the place of the one that is removed. */
static void unlist_target(ql_balancer_t *balancer, const ql_endpoint_t *target)
{
	ql_endpoint_t *last;

	last = ql_balancer__endpoint_at(balancer, balancer->all,
					balancer->all->len - 1);
	last->position = target->position;
	g_array_remove_index_fast(balancer->all, target->position);
	if (target->same_domain_position == UINT32_MAX)
		return;
	last = ql_balancer__endpoint_at(balancer, balancer->same_domain,
					balancer->same_domain->len - 1);
	last->same_domain_position = target->same_domain_position;
	g_array_remove_index_fast(balancer->same_domain,
				  target->same_domain_position);
}

static void forget(ql_balancer_t *balancer, ql_endpoint_t *target,
		   ql_handle_t handle)
{
	unlist_target(balancer, target);
	g_hash_table_remove(balancer->by_gate, target->info.gate);
	ql_table_remove(&balancer->endpoints, handle);
}

ql_handle_t ql_balancer_add(ql_balancer_t *balancer,
			    const ql_endpoint_info_t *info, uint64_t now_us)
{
	ql_handle_t handle;
	ql_endpoint_t *target = find_gate(balancer, info->gate, &handle);
	void *row;

	if (target && target->info.incarnation == info->incarnation &&
	    is_near(balancer, &target->info) == is_near(balancer, info)) {
		target->info = *info;
		return handle;
	}
	if (target)
		forget(balancer, target, handle);
	handle = ql_table_insert(&balancer->endpoints, &row);
	if (handle == QL_HANDLE_NONE)
		return handle;
	target = row;
	target->info = *info;
	target->added_us = now_us;
	g_hash_table_insert(balancer->by_gate, g_strdup(info->gate),
			    GUINT_TO_POINTER(handle));
	list_target(balancer, target, handle);
	balancer->min_level = 0;
	return handle;
}

void ql_balancer_remove(ql_balancer_t *balancer, const char *gate)
{
	ql_handle_t handle;
	ql_endpoint_t *target = find_gate(balancer, gate, &handle);

	if (target)
		forget(balancer, target, handle);
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

/* Which endpoints a pass may take, best first. */
typedef enum {
	PASS_OWN_DOMAIN,
	PASS_HEALTHY,
	PASS_ANY,
	N_PASSES,
} pass_t;

/* What a pass looks for. */
typedef struct {
	pass_t pass;
	const ql_handle_t *tried;
	size_t n_tried;
	uint64_t now_us;
} search_t;

static bool has_room(const ql_endpoint_t *target, uint64_t now_us)
{
	uint32_t slots = MAX(target->info.slots, 1);

	return target->refuse_until_us <= now_us && target->in_progress < slots;
}

static bool has_connection(const ql_endpoint_t *target)
{
	return !target->info.connections ||
	       target->in_progress < target->info.connections;
}

/* After an ejection one attempt at a time shows whether it answers again. */
static bool is_healthy(const ql_endpoint_t *target, uint64_t now_us)
{
	if (target->ejected_until_us > now_us)
		return false;
	return !target->ejections || !target->in_progress;
}

static bool is_candidate(const ql_endpoint_t *target, ql_handle_t handle,
			 const search_t *search)
{
	if (!has_connection(target) ||
	    was_tried(handle, search->tried, search->n_tried))
		return false;
	if (search->pass == PASS_ANY)
		return true;
	if (!is_healthy(target, search->now_us))
		return false;
	return search->pass == PASS_HEALTHY || has_room(target, search->now_us);
}

static void try_candidate(ql_balancer_t *balancer, ql_handle_t handle,
			  const search_t *search)
{
	const ql_endpoint_t *target =
		ql_table_get(&balancer->endpoints, handle);

	if (is_candidate(target, handle, search))
		g_array_append_val(balancer->candidates, handle);
}

static bool is_listed(const GArray *handles, ql_handle_t handle)
{
	guint i;

	for (i = 0; i < handles->len; i++)
		if (ql_balancer__handle_at(handles, i) == handle)
			return true;
	return false;
}

/* Draws two candidates; no more are needed by any policy. */
static void draw(ql_balancer_t *balancer, const GArray *handles,
		 const search_t *search, bool far_only)
{
	guint wanted = balancer->candidates->len + 2;
	ql_handle_t handle;
	guint i;

	for (i = 0; i < DRAWS_MAX && balancer->candidates->len < wanted; i++) {
		handle = ql_balancer__handle_at(
			handles, (guint)g_rand_int_range(balancer->random, 0,
							 (gint32)handles->len));
		if (!is_listed(balancer->candidates, handle) &&
		    !(far_only &&
		      ql_balancer__is_same_domain(balancer, handle)))
			try_candidate(balancer, handle, search);
	}
}

static void scan(ql_balancer_t *balancer, const GArray *handles,
		 const search_t *search)
{
	guint i;

	for (i = 0; i < handles->len; i++)
		try_candidate(balancer, ql_balancer__handle_at(handles, i),
			      search);
}

static void draw_some(ql_balancer_t *balancer, const GArray *handles,
		      const search_t *search)
{
	bool by_domain = balancer->ops->cross_domain;

	if (by_domain && balancer->same_domain->len)
		draw(balancer, balancer->same_domain, search, false);
	draw(balancer, handles, search, by_domain);
}

static void collect(ql_balancer_t *balancer, const search_t *search)
{
	const GArray *handles = search->pass == PASS_OWN_DOMAIN
					? balancer->same_domain
					: balancer->all;

	g_array_set_size(balancer->candidates, 0);
	if (handles->len > SCAN_MAX)
		draw_some(balancer, handles, search);
	if (!balancer->candidates->len)
		scan(balancer, handles, search);
}

static void find_candidates(ql_balancer_t *balancer, search_t *search)
{
	int pass = balancer->ops->cross_domain ? PASS_HEALTHY : PASS_OWN_DOMAIN;

	for (; pass < N_PASSES; pass++) {
		search->pass = (pass_t)pass;
		collect(balancer, search);
		if (balancer->candidates->len)
			return;
	}
}

ql_handle_t ql_balancer_pick(ql_balancer_t *balancer,
			     const ql_pick_request_t *pick, uint64_t now_us)
{
	search_t search = {
		.tried = pick->tried,
		.n_tried = pick->n_tried,
		.now_us = now_us,
	};
	ql_endpoint_t *target;
	ql_handle_t handle;

	find_candidates(balancer, &search);
	if (!balancer->candidates->len && pick->n_tried) {
		search.tried = pick->tried + pick->n_tried - 1;
		search.n_tried = balancer->all->len > 1 ? 1 : 0;
		find_candidates(balancer, &search);
	}
	if (!balancer->candidates->len)
		return QL_HANDLE_NONE;
	handle = balancer->ops->pick(balancer, pick, now_us);
	target = ql_table_get(&balancer->endpoints, handle);
	if (!target->in_progress++)
		target->unanswered_since_us = now_us;
	return handle;
}

static uint32_t least_level(const ql_balancer_t *balancer, uint64_t now_us)
{
	uint32_t level = UINT32_MAX;
	const ql_endpoint_t *target;
	guint i;

	for (i = 0; i < balancer->all->len && level; i++) {
		target = ql_balancer__endpoint_at(balancer, balancer->all, i);
		level = MIN(level, now_us - target->level_us < LEVEL_HOLD_US
					   ? target->level
					   : 0);
	}
	return level == UINT32_MAX ? 0 : level;
}

uint32_t ql_balancer_min_level(ql_balancer_t *balancer, uint64_t now_us)
{
	bool is_large = balancer->all->len > SCAN_MAX;

	if (is_large && now_us - balancer->min_level_us < LEVEL_FRESH_US)
		return balancer->min_level;
	balancer->min_level = least_level(balancer, now_us);
	balancer->min_level_us = now_us;
	return balancer->min_level;
}
