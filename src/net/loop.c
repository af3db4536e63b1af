#include "net/loop.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/error.h"
#include "quetzalloft/ring.h"

#include <string.h>

#define JOB_RING_CAPACITY 4096u

static uint64_t now_ms(void)
{
	return ql_clock_now_us() / QL_US_PER_MS;
}

static void on_timer(uv_timer_t *timer);

/* Arms the libuv timer for the next expiry on the wheel. */
static void arm_timer(ql_loop_t *loop)
{
	uint64_t next_ms = ql_wheel_next_wakeup_ms(&loop->wheel);
	uint64_t now = now_ms();

	if (next_ms >= loop->armed_ms)
		return;
	loop->armed_ms = next_ms;
	/* libuv counts from its cached time, which can be out of date. */
	uv_update_time(&loop->uv);
	uv_timer_start(&loop->timer, on_timer,
		       next_ms > now ? next_ms - now : 0, 0);
}

static void on_timer(uv_timer_t *timer)
{
	ql_loop_t *loop = timer->data;

	loop->armed_ms = UINT64_MAX;
	ql_wheel_advance(&loop->wheel, now_ms());
	arm_timer(loop);
}

static void on_wake(uv_async_t *wake)
{
	ql_loop_t *loop = wake->data;
	ql_loop_job_t *job;

	while ((job = ql_ring_pop(loop->jobs)))
		job->run(job);
}

int ql_loop_init(ql_loop_t *loop, GError **error)
{
	int ret;

	memset(loop, 0, sizeof(*loop));
	loop->armed_ms = UINT64_MAX;
	loop->jobs = g_new0(ql_ring_t, 1);
	ret = ql_ring_init(loop->jobs, JOB_RING_CAPACITY, error);
	if (ret) {
		g_free(loop->jobs);
		return ret;
	}
	if (uv_loop_init(&loop->uv)) {
		ql_ring_finish(loop->jobs);
		g_free(loop->jobs);
		return ql_error_set(error, QL_E_IO, "uv_loop_init failed");
	}
	ql_wheel_init(&loop->wheel, now_ms());
	uv_timer_init(&loop->uv, &loop->timer);
	uv_async_init(&loop->uv, &loop->wake, on_wake);
	loop->timer.data = loop;
	loop->wake.data = loop;
	return 0;
}

void ql_loop_finish(ql_loop_t *loop)
{
	uv_close((uv_handle_t *)&loop->timer, NULL);
	uv_close((uv_handle_t *)&loop->wake, NULL);
	uv_run(&loop->uv, UV_RUN_DEFAULT);
	uv_loop_close(&loop->uv);
	on_wake(&loop->wake);
	ql_ring_finish(loop->jobs);
	g_free(loop->jobs);
}

void ql_loop_run(ql_loop_t *loop)
{
	uv_run(&loop->uv, UV_RUN_DEFAULT);
}

void ql_loop_stop(ql_loop_t *loop)
{
	uv_stop(&loop->uv);
}

uint64_t ql_loop_now_us(const ql_loop_t *loop G_GNUC_UNUSED)
{
	return ql_clock_now_us();
}

void ql_loop_start_timer(ql_loop_t *loop, ql_wheel_timer_t *timer,
			 uint64_t delay_ms)
{
	ql_wheel_start(&loop->wheel, timer, now_ms() + delay_ms);
	arm_timer(loop);
}

void ql_loop_stop_timer(ql_loop_t *loop, ql_wheel_timer_t *timer)
{
	ql_wheel_stop(&loop->wheel, timer);
}

int ql_loop_post(ql_loop_t *loop, ql_loop_job_t *job)
{
	int ret = ql_ring_push(loop->jobs, job);

	if (!ret)
		uv_async_send(&loop->wake);
	return ret;
}
