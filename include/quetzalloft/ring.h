#ifndef QUETZALLOFT_RING_H
#define QUETZALLOFT_RING_H

/**
 * DOC: A bounded ring buffer that passes pointers from many producer threads to
 * one consumer thread.
 */

#include <ck_ring.h>
#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/**
 * struct ql_ring - A ring buffer with many producers and one consumer.
 * @lock: protects @ring and @slots
 * @ring: head and tail of the ring buffer
 * @slots: buffer of @ring
 * @wake_fd: eventfd that is readable after a push
 * @refused: number of pushes that failed because the ring was full
 */
typedef struct ql_ring {
	pthread_mutex_t lock;
	ck_ring_t ring;
	ck_ring_buffer_t *slots;
	int wake_fd;
	uint64_t refused;
} ql_ring_t;

/**
 * ql_ring_init() - Initialize an empty ring.
 * @ring: the ring
 * @capacity: number of entries, a power of two of at least 4; one entry stays
 *            unused
 * @error: set to the detail of a failure, or NULL
 *
 * Return: 0, QL_E_INVALID for another @capacity, or QL_E_IO if the eventfd
 * cannot be created.
 */
int ql_ring_init(ql_ring_t *ring, unsigned int capacity, GError **error);

/**
 * ql_ring_finish() - Release the resources of a ring. Pointers that are still
 * in it are dropped.
 * @ring: the ring; no other thread may use it any more
 */
void ql_ring_finish(ql_ring_t *ring);

/**
 * ql_ring_push() - Push a pointer and wake the consumer. Thread-safe.
 * @ring: the ring
 * @item: the pointer, not NULL; the consumer owns it after success
 *
 * Return: 0, or QL_E_FULL if the ring is full, which increments @refused.
 */
int ql_ring_push(ql_ring_t *ring, void *item);

/**
 * ql_ring_pop() - Remove the oldest pointer.
 * @ring: the ring
 *
 * Return: the pointer, or NULL if the ring is empty.
 */
void *ql_ring_pop(ql_ring_t *ring);

/**
 * ql_ring_wait() - Wait for a push since the last return of this function.
 * @ring: the ring
 * @timeout_ms: maximum time to wait; negative for no limit
 */
void ql_ring_wait(ql_ring_t *ring, int timeout_ms);

G_END_DECLS

#endif
