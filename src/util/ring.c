#include "quetzalloft/ring.h"
#include "quetzalloft/error.h"

#include <errno.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define RING_CAPACITY_MIN 4

int ql_ring_init(ql_ring_t *ring, unsigned int capacity, GError **error)
{
	if (capacity < RING_CAPACITY_MIN || (capacity & (capacity - 1)))
		return ql_error_set(error, QL_E_INVALID,
				    "ring capacity %u is not a power of two of "
				    "at least %d",
				    capacity, RING_CAPACITY_MIN);
	ring->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (ring->wake_fd < 0)
		return ql_error_set_errno(error, errno, "eventfd");
	ring->slots = g_new0(ck_ring_buffer_t, capacity);
	ring->refused = 0;
	pthread_mutex_init(&ring->lock, NULL);
	ck_ring_init(&ring->ring, capacity);
	return 0;
}

void ql_ring_finish(ql_ring_t *ring)
{
	close(ring->wake_fd);
	pthread_mutex_destroy(&ring->lock);
	g_free(ring->slots);
	ring->slots = NULL;
}

int ql_ring_push(ql_ring_t *ring, void *item)
{
	uint64_t one = 1;
	bool is_full;

	/*
	 * The enqueue operation of a lock-free ring with many producers spins
	 * until earlier producers have finished, which takes whole time slices
	 * if one of them was preempted. A mutex avoids this.
	 */
	pthread_mutex_lock(&ring->lock);
	is_full = !ck_ring_enqueue_spsc(&ring->ring, ring->slots, item);
	pthread_mutex_unlock(&ring->lock);
	if (is_full) {
		__atomic_add_fetch(&ring->refused, 1, __ATOMIC_RELAXED);
		return QL_E_FULL;
	}
	/* If the eventfd counter is at its maximum, it is readable anyway. */
	if (write(ring->wake_fd, &one, sizeof(one)) < 0)
		return 0;
	return 0;
}

void *ql_ring_pop(ql_ring_t *ring)
{
	void *item = NULL;

	pthread_mutex_lock(&ring->lock);
	if (!ck_ring_dequeue_spsc(&ring->ring, ring->slots, &item))
		item = NULL;
	pthread_mutex_unlock(&ring->lock);
	return item;
}

void ql_ring_wait(ql_ring_t *ring, int timeout_ms)
{
	struct pollfd pfd = {.fd = ring->wake_fd, .events = POLLIN};
	uint64_t count;

	if (poll(&pfd, 1, timeout_ms) <= 0)
		return;
	if (read(ring->wake_fd, &count, sizeof(count)) < 0)
		return;
}
