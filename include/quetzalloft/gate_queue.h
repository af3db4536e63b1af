#ifndef QUETZALLOFT_GATE_QUEUE_H
#define QUETZALLOFT_GATE_QUEUE_H

/**
 * DOC: Priority queue of a gate: two lists for each class, one for new work
 * and one for work under way, and a heap ordered by expiry time. Every
 * operation takes constant or logarithmic time in the number of queued
 * requests.
 */

#include "quetzalloft/gate_usage.h"
#include "quetzalloft/table.h"

G_BEGIN_DECLS

/** Number of ranks: each shed order has one for new work and, above it, one for
 * work under way.
 */
#define QL_GATE_RANKS 130u
/** Size in 64-bit words of a bitmap with one bit for each rank. */
#define QL_GATE_RANK_WORDS 3u

G_STATIC_ASSERT(QL_GATE_RANKS == 2 * QL_SHED_ORDERS);
G_STATIC_ASSERT(QL_GATE_RANK_WORDS * 64 >= QL_GATE_RANKS);

/**
 * struct ql_gate_request - A request offered to a gate.
 * @shed_order: shed order of its class; lower numbers are shed first
 * @under_way: true if it is part of a client request of which other calls have
 *             already run; false if it is new work
 * @deadline_us: its deadline in microseconds, on the clock of the @now_us
 *               arguments
 */
typedef struct ql_gate_request {
	uint32_t shed_order;
	bool under_way;
	uint64_t deadline_us;
} ql_gate_request_t;

/**
 * struct ql_gate_ticket - A queued or admitted request.
 * @request: the request
 * @admitted: true if it is admitted, false while it is queued
 * @since_us: time of its admission, or of its offer while it is queued
 * @expires_us: time at which it is refused, or its expiry postponed, if it is
 *              still queued
 * @in_progress: requests in progress at its admission, itself included
 * @anti_starvation: admitted ahead of a queued higher class, so that its own
 *                   class does not starve
 * @previous: next older ticket in the list of its rank, or QL_HANDLE_NONE
 * @next: next newer ticket in the list of its rank, or QL_HANDLE_NONE
 * @heap_index: its index in the expiry heap while it is queued
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
 * @name: name in the configuration
 * @newest_first: returns true if the newest request of a rank is admitted
 *                first, false if the oldest one is
 * @shed: returns true if the newest request of the lowest rank must be shed
 *        now; @waited_us is the queueing delay so far of the request to admit
 *        next
 *
 * A policy does not affect the order of the classes.
 */
typedef struct ql_queue_ops {
	const char *name;
	bool (*newest_first)(const ql_gate_queue_t *queue, uint64_t now_us);
	bool (*shed)(ql_gate_queue_t *queue, uint64_t waited_us,
		     uint64_t now_us);
} ql_queue_ops_t;

/**
 * struct ql_gate_list - Queued tickets of one rank, oldest first.
 * @first: oldest ticket, or QL_HANDLE_NONE
 * @last: newest ticket, or QL_HANDLE_NONE
 */
typedef struct ql_gate_list {
	ql_handle_t first;
	ql_handle_t last;
} ql_gate_list_t;

/**
 * struct ql_gate_queue - Queue of a gate.
 * @ops: queue policy; borrowed
 * @tickets: table of &struct ql_gate_ticket; borrowed from the gate
 * @ranks: list of queued tickets of each rank
 * @occupied: bitmap of the ranks with queued tickets
 * @waiting: number of queued requests, indexed by shed order
 * @expiry_heap: min-heap of ticket handles, ordered by @expires_us
 * @max_wait_us: queueing delay limit, from which the policies derive their
 *               delay thresholds
 * @nonempty_since_us: time since which the queue has not been empty
 * @above_target_since_us: time since which the queueing delay exceeds the
 *                         target of CoDel; 0 if it does not
 * @next_shed_us: earliest time at which CoDel sheds the next request
 * @n_shed: requests shed since the delay last rose above the target
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

/** First in, first out. */
extern const ql_queue_ops_t ql_queue_fifo;
/** FIFO, but LIFO once the queue has not been empty for over @max_wait_us. */
extern const ql_queue_ops_t ql_queue_adaptive_lifo;
/**
 * CoDel: FIFO that sheds requests at an increasing rate while the queueing
 * delay stays above a quarter of @max_wait_us.
 */
extern const ql_queue_ops_t ql_queue_codel;

/**
 * ql_queue_find() - Find a queue policy by name.
 * @name: "fifo", "adaptive_lifo" or "codel"
 *
 * Return: the policy, or NULL if there is none of that name.
 */
const ql_queue_ops_t *ql_queue_find(const char *name);

/**
 * ql_gate_queue_init() - Initialize an empty queue.
 * @queue: queue; release with ql_gate_queue_finish()
 * @ops: queue policy; borrowed
 * @tickets: table of &struct ql_gate_ticket that the handles refer to; borrowed
 *           for as long as the queue is used
 * @max_wait_us: queueing delay limit
 */
void ql_gate_queue_init(ql_gate_queue_t *queue, const ql_queue_ops_t *ops,
			ql_table_t *tickets, uint64_t max_wait_us);
/**
 * ql_gate_queue_finish() - Free the expiry heap of a queue.
 * @queue: queue; its tickets stay in their table
 */
void ql_gate_queue_finish(ql_gate_queue_t *queue);

/**
 * ql_gate_queue_length() - Count the queued requests.
 * @queue: queue
 *
 * Return: number of queued requests.
 */
guint ql_gate_queue_length(const ql_gate_queue_t *queue);

/**
 * ql_gate_queue_push() - Append a request to the list of its rank.
 * @queue: queue
 * @handle: ticket that is not queued, with @request and @expires_us set
 * @now_us: current time
 */
void ql_gate_queue_push(ql_gate_queue_t *queue, ql_handle_t handle,
			uint64_t now_us);

/**
 * ql_gate_queue_remove() - Remove a request from the queue.
 * @queue: queue
 * @handle: ticket in this queue; it stays in the table
 */
void ql_gate_queue_remove(ql_gate_queue_t *queue, ql_handle_t handle);

/**
 * ql_gate_queue_postpone() - Postpone the expiry of a queued request.
 * @queue: queue
 * @handle: ticket in this queue
 * @expires_us: new expiry time; not before the current one
 */
void ql_gate_queue_postpone(ql_gate_queue_t *queue, ql_handle_t handle,
			    uint64_t expires_us);

/**
 * ql_gate_queue_head() - Find the request to admit next.
 * @queue: queue
 * @now_us: current time
 *
 * Return: ticket of the highest rank, by the queue policy the oldest or newest
 * one; QL_HANDLE_NONE if the queue is empty.
 */
ql_handle_t ql_gate_queue_head(const ql_gate_queue_t *queue, uint64_t now_us);

/**
 * ql_gate_queue_next_lower_class() - Find the request of a lower class to admit
 * next, in rotation over all classes below the highest one queued.
 * @queue: queue
 * @last: shed order of the lower class that was admitted last
 * @now_us: current time
 *
 * Return: the request to admit next of the highest queued class below both
 * @last and the highest queued class; if there is none below @last, of the
 * second highest queued class. QL_HANDLE_NONE if fewer than two classes are
 * queued.
 */
ql_handle_t ql_gate_queue_next_lower_class(const ql_gate_queue_t *queue,
					   uint32_t last, uint64_t now_us);

/**
 * ql_gate_queue_lowest() - Find the request to shed first: the newest one of
 * the lowest rank.
 * @queue: queue
 *
 * Return: its ticket, or QL_HANDLE_NONE if the queue is empty.
 */
ql_handle_t ql_gate_queue_lowest(const ql_gate_queue_t *queue);

/**
 * ql_gate_queue_expiring() - Find the request that expires first.
 * @queue: queue
 *
 * Return: its ticket, or QL_HANDLE_NONE if the queue is empty.
 */
ql_handle_t ql_gate_queue_expiring(const ql_gate_queue_t *queue);

/**
 * ql_gate_rank() - Compute the rank of a request: higher ranks are admitted
 * first and shed last.
 * @request: request
 *
 * Return: a rank below QL_GATE_RANKS.
 */
uint32_t ql_gate_rank(const ql_gate_request_t *request);

G_END_DECLS

#endif
