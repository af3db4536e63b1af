#ifndef QUETZALLOFT_RING_H
#define QUETZALLOFT_RING_H

/**
 * DOC: A bounded ring that hands pointers from many threads to one.
 */

#include <ck_ring.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_ring - Many producers, one consumer.
 * @lock: held for a push or a pop
 * @ring: the ring itself
 * @slots: its buffer
 * @wake_fd: an eventfd that becomes readable after a push
 * @refused: pushes refused because the ring was full
 */
typedef struct ql_ring {
	pthread_mutex_t lock;
	ck_ring_t ring;
	ck_ring_buffer_t *slots;
	int wake_fd;
	uint64_t refused;
} ql_ring_t;

/**
 * ql_ring_init() - Prepare a ring.
 * @ring: the ring
 * @capacity: entries, a power of two of at least 4; one entry stays unused
 * @error: detail of a failure
 *
 * Return: 0, QL_E_INVALID or QL_E_IO.
 */
int ql_ring_init(ql_ring_t *ring, unsigned int capacity, GError **error);

void ql_ring_finish(ql_ring_t *ring);

/**
 * ql_ring_push() - Hand a pointer to the consumer.
 * @ring: the ring
 * @item: the pointer
 *
 * Return: 0 or QL_E_FULL, which is counted.
 */
int ql_ring_push(ql_ring_t *ring, void *item);

/**
 * ql_ring_pop() - Take the oldest pointer.
 * @ring: the ring
 *
 * Return: the pointer, or NULL when the ring is empty.
 */
void *ql_ring_pop(ql_ring_t *ring);

/**
 * ql_ring_wait() - Wait until something was pushed.
 * @ring: the ring
 * @timeout_ms: how long at most
 */
void ql_ring_wait(ql_ring_t *ring, int timeout_ms);

G_END_DECLS

#endif
