#ifndef QL_NET_LOOP_H
#define QL_NET_LOOP_H

/**
 * DOC: The event loop of one thread: sockets by libuv, timers by a wheel, and
 * jobs that other threads hand in.
 */

#include "quetzalloft/wheel.h"

#include <pthread.h>
#include <uv.h>

G_BEGIN_DECLS

/**
 * struct ql_loop_job - Work that another thread hands in.
 * @run: called once in the thread of the loop; frees the job
 */
typedef struct ql_loop_job {
	void (*run)(struct ql_loop_job *job);
} ql_loop_job_t;

/**
 * struct ql_loop - The loop.
 * @wheel: timers
 * @armed_ms: when @timer fires, UINT64_MAX when it does not
 * @jobs: ring of &struct ql_loop_job
 */
typedef struct ql_loop {
	uv_loop_t uv;
	ql_wheel_t wheel;
	uv_timer_t timer;
	uint64_t armed_ms;
	uv_async_t wake;
	struct ql_ring *jobs;
} ql_loop_t;

/**
 * ql_loop_init() - Prepare a loop.
 * @loop: the loop; it must not move in memory
 * @error: detail of a failure
 *
 * Return: 0, QL_E_IO or a failure of ql_ring_init().
 */
int ql_loop_init(ql_loop_t *loop, GError **error);

/**
 * ql_loop_finish() - Close what the loop owns; its users have closed theirs.
 * @loop: the loop
 */
void ql_loop_finish(ql_loop_t *loop);

/**
 * ql_loop_run() - Run until ql_loop_stop() is called.
 * @loop: the loop
 */
void ql_loop_run(ql_loop_t *loop);

/**
 * ql_loop_stop() - End ql_loop_run(); called in the thread of the loop.
 * @loop: the loop
 */
void ql_loop_stop(ql_loop_t *loop);

/**
 * ql_loop_now_us() - The monotonic time, read anew.
 */
uint64_t ql_loop_now_us(const ql_loop_t *loop);

/**
 * ql_loop_start_timer() - Start a timer of the wheel.
 * @loop: the loop
 * @timer: the timer
 * @delay_ms: from now
 */
void ql_loop_start_timer(ql_loop_t *loop, ql_wheel_timer_t *timer,
			 uint64_t delay_ms);
void ql_loop_stop_timer(ql_loop_t *loop, ql_wheel_timer_t *timer);

/**
 * ql_loop_post() - Hand in work from any thread.
 * @loop: the loop
 * @job: the work
 *
 * Return: 0 or QL_E_FULL; then the job still belongs to the caller.
 */
int ql_loop_post(ql_loop_t *loop, ql_loop_job_t *job);

G_END_DECLS

#endif
