#include "quetzalloft/gate_queue.h"

#include <math.h>
#include <string.h>

/* The target delay of CoDel is the queueing delay limit divided by this. */
#define CODEL_TARGET_DIVISOR 4u
/* Length of the CoDel interval, in queueing delay limits. */
#define CODEL_INTERVAL_MULTIPLE 2u

static bool oldest_first(const ql_gate_queue_t *queue G_GNUC_UNUSED,
			 uint64_t now_us G_GNUC_UNUSED)
{
	return false;
}

static bool never_shed(ql_gate_queue_t *queue G_GNUC_UNUSED,
		       uint64_t waited_us G_GNUC_UNUSED,
		       uint64_t now_us G_GNUC_UNUSED)
{
	return false;
}

static bool newest_first_if_standing(const ql_gate_queue_t *queue,
				     uint64_t now_us)
{
	return now_us - queue->nonempty_since_us > queue->max_wait_us;
}

/*
 * CoDel: sheds at an increasing rate while the queueing delay of the request to
 * admit next stays above the target.
 */
static bool codel_shed(ql_gate_queue_t *queue, uint64_t waited_us,
		       uint64_t now_us)
{
	uint64_t interval_us = CODEL_INTERVAL_MULTIPLE * queue->max_wait_us;

	if (waited_us < queue->max_wait_us / CODEL_TARGET_DIVISOR) {
		queue->above_target_since_us = 0;
		queue->n_shed = 0;
		return false;
	}
	if (!queue->above_target_since_us)
		queue->above_target_since_us = now_us;
	if (now_us - queue->above_target_since_us < interval_us ||
	    now_us < queue->next_shed_us)
		return false;
	queue->n_shed++;
	queue->next_shed_us =
		now_us + (uint64_t)((double)interval_us / sqrt(queue->n_shed));
	return true;
}

const ql_queue_ops_t ql_queue_fifo = {"fifo", oldest_first, never_shed};
const ql_queue_ops_t ql_queue_adaptive_lifo = {"adaptive_lifo",
					       newest_first_if_standing,
					       never_shed};
const ql_queue_ops_t ql_queue_codel = {"codel", oldest_first, codel_shed};

static const ql_queue_ops_t *const policies[] = {
	&ql_queue_fifo,
	&ql_queue_adaptive_lifo,
	&ql_queue_codel,
};

const ql_queue_ops_t *ql_queue_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(policies); i++)
		if (!strcmp(policies[i]->name, name))
			return policies[i];
	return NULL;
}

void ql_gate_queue_init(ql_gate_queue_t *queue, const ql_queue_ops_t *ops,
			ql_table_t *tickets, uint64_t max_wait_us)
{
	uint32_t i;

	memset(queue, 0, sizeof(*queue));
	queue->ops = ops;
	queue->tickets = tickets;
	queue->max_wait_us = max_wait_us;
	queue->expiry_heap = g_array_new(FALSE, FALSE, sizeof(ql_handle_t));
	for (i = 0; i < QL_GATE_RANKS; i++)
		queue->ranks[i] =
			(ql_gate_list_t){QL_HANDLE_NONE, QL_HANDLE_NONE};
}

void ql_gate_queue_finish(ql_gate_queue_t *queue)
{
	g_array_free(queue->expiry_heap, TRUE);
}

guint ql_gate_queue_length(const ql_gate_queue_t *queue)
{
	return queue->expiry_heap->len;
}

uint32_t ql_gate_rank(const ql_gate_request_t *request)
{
	uint32_t order = MIN(request->shed_order, QL_SHED_ORDERS - 1);

	return 2 * order + (request->under_way ? 1 : 0);
}

static ql_gate_ticket_t *get_ticket(const ql_gate_queue_t *queue,
				    ql_handle_t handle)
{
	return ql_table_get(queue->tickets, handle);
}

static ql_gate_ticket_t *ticket_at_heap_index(const ql_gate_queue_t *queue,
					      guint index)
{
	return get_ticket(queue, g_array_index(queue->expiry_heap, ql_handle_t,
					       index));
}

static void heap_set(ql_gate_queue_t *queue, guint index, ql_handle_t handle)
{
	g_array_index(queue->expiry_heap, ql_handle_t, index) = handle;
	get_ticket(queue, handle)->heap_index = index;
}

static bool expires_before(const ql_gate_queue_t *queue, guint a, guint b)
{
	return ticket_at_heap_index(queue, a)->expires_us <
	       ticket_at_heap_index(queue, b)->expires_us;
}

static void heap_swap(ql_gate_queue_t *queue, guint a, guint b)
{
	ql_handle_t handle = g_array_index(queue->expiry_heap, ql_handle_t, a);

	heap_set(queue, a, g_array_index(queue->expiry_heap, ql_handle_t, b));
	heap_set(queue, b, handle);
}

static void heap_sift_up(ql_gate_queue_t *queue, guint index)
{
	while (index && expires_before(queue, index, (index - 1) / 2)) {
		heap_swap(queue, index, (index - 1) / 2);
		index = (index - 1) / 2;
	}
}

static void heap_sift_down(ql_gate_queue_t *queue, guint index)
{
	guint child;

	while ((child = 2 * index + 1) < queue->expiry_heap->len) {
		if (child + 1 < queue->expiry_heap->len &&
		    expires_before(queue, child + 1, child))
			child++;
		if (!expires_before(queue, child, index))
			return;
		heap_swap(queue, index, child);
		index = child;
	}
}

static void heap_remove(ql_gate_queue_t *queue, guint index)
{
	guint last = queue->expiry_heap->len - 1;
	ql_handle_t moved =
		g_array_index(queue->expiry_heap, ql_handle_t, last);

	g_array_set_size(queue->expiry_heap, last);
	if (index == last)
		return;
	heap_set(queue, index, moved);
	heap_sift_up(queue, index);
	heap_sift_down(queue, get_ticket(queue, moved)->heap_index);
}

static void append_ticket(ql_gate_queue_t *queue, uint32_t rank,
			  ql_handle_t handle)
{
	ql_gate_list_t *list = &queue->ranks[rank];
	ql_gate_ticket_t *ticket = get_ticket(queue, handle);

	ticket->previous = list->last;
	ticket->next = QL_HANDLE_NONE;
	if (list->last == QL_HANDLE_NONE)
		list->first = handle;
	else
		get_ticket(queue, list->last)->next = handle;
	list->last = handle;
	queue->occupied[rank / 64] |= 1ULL << rank % 64;
	queue->waiting[rank / 2]++;
}

static void unlink_ticket(ql_gate_queue_t *queue,
			  const ql_gate_ticket_t *ticket)
{
	uint32_t rank = ql_gate_rank(&ticket->request);
	ql_gate_list_t *list = &queue->ranks[rank];

	if (ticket->previous == QL_HANDLE_NONE)
		list->first = ticket->next;
	else
		get_ticket(queue, ticket->previous)->next = ticket->next;
	if (ticket->next == QL_HANDLE_NONE)
		list->last = ticket->previous;
	else
		get_ticket(queue, ticket->next)->previous = ticket->previous;
	if (list->first == QL_HANDLE_NONE)
		queue->occupied[rank / 64] &= ~(1ULL << rank % 64);
	queue->waiting[rank / 2]--;
}

void ql_gate_queue_push(ql_gate_queue_t *queue, ql_handle_t handle,
			uint64_t now_us)
{
	ql_gate_ticket_t *ticket = get_ticket(queue, handle);

	if (!queue->expiry_heap->len)
		queue->nonempty_since_us = now_us;
	append_ticket(queue, ql_gate_rank(&ticket->request), handle);
	g_array_append_val(queue->expiry_heap, handle);
	ticket->heap_index = queue->expiry_heap->len - 1;
	heap_sift_up(queue, ticket->heap_index);
}

void ql_gate_queue_remove(ql_gate_queue_t *queue, ql_handle_t handle)
{
	const ql_gate_ticket_t *ticket = get_ticket(queue, handle);

	unlink_ticket(queue, ticket);
	heap_remove(queue, ticket->heap_index);
}

void ql_gate_queue_postpone(ql_gate_queue_t *queue, ql_handle_t handle,
			    uint64_t expires_us)
{
	ql_gate_ticket_t *ticket = get_ticket(queue, handle);

	g_assert(expires_us >= ticket->expires_us);
	ticket->expires_us = expires_us;
	heap_sift_down(queue, ticket->heap_index);
}

static ql_handle_t next_of_rank(const ql_gate_queue_t *queue, uint32_t rank,
				uint64_t now_us)
{
	const ql_gate_list_t *list = &queue->ranks[rank];

	return queue->ops->newest_first(queue, now_us) ? list->last
						       : list->first;
}

ql_handle_t ql_gate_queue_head(const ql_gate_queue_t *queue, uint64_t now_us)
{
	int word;

	for (word = QL_GATE_RANK_WORDS - 1; word >= 0; word--) {
		if (!queue->occupied[word])
			continue;
		return next_of_rank(queue,
				    (uint32_t)(64 * word + 63 -
					       __builtin_clzll(
						       queue->occupied[word])),
				    now_us);
	}
	return QL_HANDLE_NONE;
}

static bool is_rank_occupied(const ql_gate_queue_t *queue, uint32_t rank)
{
	return queue->occupied[rank / 64] & 1ULL << rank % 64;
}

/*
 * Returns the highest queued class below the given one, or the given one if
 * there is none.
 */
static uint32_t next_class_below(const ql_gate_queue_t *queue, uint32_t order)
{
	uint32_t below;

	for (below = order; below > 0; below--)
		if (queue->waiting[below - 1])
			return below - 1;
	return order;
}

ql_handle_t ql_gate_queue_next_lower_class(const ql_gate_queue_t *queue,
					   uint32_t last, uint64_t now_us)
{
	uint32_t highest = next_class_below(queue, QL_SHED_ORDERS);
	uint32_t bound = MIN(last, highest);
	uint32_t order = next_class_below(queue, bound);

	if (order == bound)
		order = next_class_below(queue, highest);
	if (order == highest)
		return QL_HANDLE_NONE;
	return next_of_rank(queue,
			    is_rank_occupied(queue, 2 * order + 1)
				    ? 2 * order + 1
				    : 2 * order,
			    now_us);
}

ql_handle_t ql_gate_queue_lowest(const ql_gate_queue_t *queue)
{
	unsigned int word;

	for (word = 0; word < QL_GATE_RANK_WORDS; word++)
		if (queue->occupied[word])
			return queue
				->ranks[64 * word +
					__builtin_ctzll(queue->occupied[word])]
				.last;
	return QL_HANDLE_NONE;
}

ql_handle_t ql_gate_queue_expiring(const ql_gate_queue_t *queue)
{
	if (!queue->expiry_heap->len)
		return QL_HANDLE_NONE;
	return g_array_index(queue->expiry_heap, ql_handle_t, 0);
}
