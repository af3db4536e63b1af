#ifndef QUETZALLOFT_GATE_QUEUE_H
#define QUETZALLOFT_GATE_QUEUE_H

/**
 * DOC: The queue of a gate: one list for each class, work under way apart,
 * and a heap of the times at which waiting ends. Every step takes constant or
 * logarithmic time.
 */

#include "quetzalloft/gate_usage.h"
#include "quetzalloft/table.h"

G_BEGIN_DECLS

/** Two ranks a shed order: new work, and above it work under way. */
#define QL_GATE_RANKS 130u
#define QL_GATE_RANK_WORDS 3u

G_STATIC_ASSERT(QL_GATE_RANKS == 2 * QL_SHED_ORDERS);
G_STATIC_ASSERT(QL_GATE_RANK_WORDS * 64 >= QL_GATE_RANKS);

/**
 * struct ql_gate_request - A request that asks to be admitted.
 * @shed_order: of its class; lower numbers are shed first
 * @under_way: work for its client request was done already
 * @deadline_us: when its time is over, on the clock of @now_us
 */
typedef struct ql_gate_request {
	uint32_t shed_order;
	bool under_way;
	uint64_t deadline_us;
} ql_gate_request_t;

/**
 * struct ql_gate_ticket - A request that waits or runs.
 * @request: the request
 * @admitted: it runs
 * @since_us: when it was offered, or admitted if it runs
 * @expires_us: when waiting ends
 * @in_progress: requests in progress when it was admitted, itself included
 * @anti_starvation: admitted before a higher class that waited
 * @previous: before it in the list of its rank
 * @next: behind it
 * @heap_index: its place in the heap
 */
typedef struct ql_gate_ticket {
	ql_gate_request_t request;
	bool admitted;
	uint64_t since_us;
	uint64_t expires_us;
	uint32_t in_progress;
	bool anti_starvation;
	ql_handle_t previous;
	ql_handle_t next;
	guint heap_index;
} ql_gate_ticket_t;

typedef struct ql_gate_queue ql_gate_queue_t;

/**
 * struct ql_queue_ops - A queue policy.
 * @name: its name in the configuration
 * @newest_first: whether the newest request of a rank is admitted first
 * @shed: whether one request of the lowest class is to be refused now, given
 *        how long the next one to admit has waited
 *
 * A policy has no say in the order of the classes.
 */
typedef struct ql_queue_ops {
	const char *name;
	bool (*newest_first)(const ql_gate_queue_t *queue, uint64_t now_us);
	bool (*shed)(ql_gate_queue_t *queue, uint64_t waited_us,
		     uint64_t now_us);
} ql_queue_ops_t;

/**
 * struct ql_gate_list - The list of one rank, oldest first.
 */
typedef struct ql_gate_list {
	ql_handle_t first;
	ql_handle_t last;
} ql_gate_list_t;

/**
 * struct ql_gate_queue - The queue.
 * @ops: the policy
 * @tickets: table of &struct ql_gate_ticket; borrowed
 * @ranks: one list a rank
 * @occupied: one bit for each rank that is not empty
 * @waiting: requests by shed order
 * @expiry_heap: heap of handles by @expires_us
 * @max_wait_us: longest wait, from which the policies derive their times
 * @nonempty_since_us: when the first request came after it was empty
 * @above_target_since_us: since when requests wait longer than the target, or 0
 * @next_shed_us: when the next one is shed
 * @n_shed: requests shed in the present spell
 */
struct ql_gate_queue {
	const ql_queue_ops_t *ops;
	ql_table_t *tickets;
	ql_gate_list_t ranks[QL_GATE_RANKS];
	uint64_t occupied[QL_GATE_RANK_WORDS];
	uint32_t waiting[QL_SHED_ORDERS];
	GArray *expiry_heap;
	uint64_t max_wait_us;
	uint64_t nonempty_since_us;
	uint64_t above_target_since_us;
	uint64_t next_shed_us;
	uint32_t n_shed;
};

/** Oldest first. */
extern const ql_queue_ops_t ql_queue_fifo;
/** Oldest first, and newest first while the queue stands. */
extern const ql_queue_ops_t ql_queue_adaptive_lifo;
/** Oldest first; a standing queue is shortened at a growing rate. */
extern const ql_queue_ops_t ql_queue_codel;

/**
 * ql_queue_find() - Find a policy by name.
 * @name: "fifo", "adaptive_lifo" or "codel"
 *
 * Return: the policy, or NULL.
 */
const ql_queue_ops_t *ql_queue_find(const char *name);

void ql_gate_queue_init(ql_gate_queue_t *queue, const ql_queue_ops_t *ops,
			ql_table_t *tickets, uint64_t max_wait_us);
void ql_gate_queue_finish(ql_gate_queue_t *queue);

/**
 * ql_gate_queue_length() - Requests that wait.
 */
guint ql_gate_queue_length(const ql_gate_queue_t *queue);

/**
 * ql_gate_queue_push() - Let a request wait.
 * @queue: the queue
 * @handle: its ticket, with the request and @expires_us set
 * @now_us: the time
 */
void ql_gate_queue_push(ql_gate_queue_t *queue, ql_handle_t handle,
			uint64_t now_us);

/**
 * ql_gate_queue_remove() - Take a request out.
 * @queue: the queue
 * @handle: a ticket that waits here
 */
void ql_gate_queue_remove(ql_gate_queue_t *queue, ql_handle_t handle);

/**
 * ql_gate_queue_postpone() - Let a request wait longer.
 * @queue: the queue
 * @handle: a ticket that waits here
 * @expires_us: the later time
 */
void ql_gate_queue_postpone(ql_gate_queue_t *queue, ql_handle_t handle,
			    uint64_t expires_us);

/**
 * ql_gate_queue_head() - The request to admit next.
 *
 * Return: its ticket, or QL_HANDLE_NONE when none waits.
 */
ql_handle_t ql_gate_queue_head(const ql_gate_queue_t *queue, uint64_t now_us);

/**
 * ql_gate_queue_next_lower_class() - The next of the classes below the highest
 * that waits.
 * @queue: the queue
 * @last: shed order of the one that was next before
 * @now_us: the time
 *
 * Return: the ticket to admit of the class below @last, or of the highest of
 * them when there is none; QL_HANDLE_NONE when only one class waits.
 */
ql_handle_t ql_gate_queue_next_lower_class(const ql_gate_queue_t *queue,
					   uint32_t last, uint64_t now_us);

/**
 * ql_gate_queue_lowest() - The request to refuse first: the newest one of the
 * lowest rank.
 *
 * Return: its ticket, or QL_HANDLE_NONE when none waits.
 */
ql_handle_t ql_gate_queue_lowest(const ql_gate_queue_t *queue);

/**
 * ql_gate_queue_expiring() - The request whose waiting ends first.
 *
 * Return: its ticket, or QL_HANDLE_NONE when none waits.
 */
ql_handle_t ql_gate_queue_expiring(const ql_gate_queue_t *queue);

/**
 * ql_gate_rank() - The rank of a request: the higher is admitted first.
 */
uint32_t ql_gate_rank(const ql_gate_request_t *request);

G_END_DECLS

#endif
