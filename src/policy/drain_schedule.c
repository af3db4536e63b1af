#include "quetzalloft/drain_schedule.h"
#include "quetzalloft/clock.h"

#define LEAVE_DELAY_MS 1000u
#define GATE_DRAIN_DELAY_MS 2000u
#define CLIENT_REFUSAL_DELAY_MS 2300u
/* Time reserved for sending the final responses of failed requests. */
#define FINAL_RESPONSES_MS 200u
/* Part of the grace time reserved for the exit of the process. */
#define EXIT_RESERVE_MS 500u

static uint64_t minus(uint64_t ms, uint64_t reserved_ms)
{
	return ms - MIN(ms, reserved_ms);
}

static uint64_t after(uint64_t now_us, uint64_t delay_ms)
{
	return now_us + delay_ms * QL_US_PER_MS;
}

void ql_drain_schedule_init(ql_drain_schedule_t *schedule, uint64_t drain_ms,
			    uint64_t grace_ms, uint64_t now_us)
{
	uint64_t latest_exit_ms = minus(grace_ms, EXIT_RESERVE_MS);
	uint64_t fail_ms = minus(latest_exit_ms, FINAL_RESPONSES_MS);
	uint64_t exit_ms = MAX(drain_ms, CLIENT_REFUSAL_DELAY_MS);

	*schedule = (ql_drain_schedule_t){
		.leave_us = after(now_us, MIN(LEAVE_DELAY_MS, fail_ms)),
		.drain_gate_us =
			after(now_us, MIN(GATE_DRAIN_DELAY_MS, fail_ms)),
		.refuse_clients_us =
			after(now_us, MIN(CLIENT_REFUSAL_DELAY_MS, fail_ms)),
		.exit_us = after(now_us, MIN(exit_ms, fail_ms)),
		.fail_us = after(now_us, fail_ms),
		.latest_exit_us = after(now_us, latest_exit_ms),
	};
}
