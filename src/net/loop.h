#ifndef QL_NET_LOOP_H
#define QL_NET_LOOP_H

/**
 * DOC: Single-threaded event loop: sockets through libuv, timers on a timer
 * wheel, and jobs posted by other threads.
 */

#include "quetzalloft/wheel.h"

#include <pthread.h>
#include <uv.h>

G_BEGIN_DECLS

/**
 * struct ql_loop_job - Work posted by another thread.
 * @run: called once in the thread of the loop, or by ql_loop_finish(); frees
 *       the job
 */
typedef struct ql_loop_job {
	void (*run)(struct ql_loop_job *job);
} ql_loop_job_t;

/**
 * struct ql_loop - Event loop.
 * @uv: libuv loop
 * @wheel: timer wheel
 * @timer: libuv timer that advances @wheel
 * @armed_ms: when @timer fires, in milliseconds of ql_clock_now_us();
 *            UINT64_MAX while it is not armed
 * @wake: wakes the loop after a job was posted
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
 * ql_loop_init() - Initialize a loop.
 * @loop: the loop; it must not move in memory
 * @error: detail of a failure
 *
 * Return: 0, QL_E_IO or a failure of ql_ring_init().
 */
int ql_loop_init(ql_loop_t *loop, GError **error);

/**
 * ql_loop_finish() - Release a loop and run the jobs that are still queued.
 * @loop: the loop; its users must have closed their handles
 */
void ql_loop_finish(ql_loop_t *loop);

/**
 * ql_loop_run() - Run until ql_loop_stop() is called.
 * @loop: the loop
 */
void ql_loop_run(ql_loop_t *loop);

/**
 * ql_loop_stop() - Make ql_loop_run() return; call it in the thread of the
 * loop.
 * @loop: the loop
 */
void ql_loop_stop(ql_loop_t *loop);

/**
 * ql_loop_now_us() - Read the monotonic clock.
 * @loop: the loop
 *
 * Return: the current time in microseconds, not cached by the loop.
 */
uint64_t ql_loop_now_us(const ql_loop_t *loop);

/**
 * ql_loop_start_timer() - Start a timer on the wheel of a loop.
 * @loop: the loop
 * @timer: the timer
 * @delay_ms: milliseconds from now
 */
void ql_loop_start_timer(ql_loop_t *loop, ql_wheel_timer_t *timer,
			 uint64_t delay_ms);

/**
 * ql_loop_stop_timer() - Stop a timer; ignored if it is not running.
 * @loop: the loop
 * @timer: the timer
 */
void ql_loop_stop_timer(ql_loop_t *loop, ql_wheel_timer_t *timer);

/**
 * ql_loop_post() - Queue a job; may be called from any thread.
 * @loop: the loop
 * @job: the job
 *
 * Return: 0, or QL_E_FULL; the caller then still owns the job.
 */
int ql_loop_post(ql_loop_t *loop, ql_loop_job_t *job);

G_END_DECLS

#endif
