#include "quetzalloft/clock.h"
#include "quetzalloft/drain_schedule.h"

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t kNowUs = 5000000;

/* Times of the steps after the start of the drain. */
struct Case {
	uint64_t drain_ms;
	uint64_t grace_ms;
	uint64_t leave_ms;
	uint64_t drain_gate_ms;
	uint64_t refuse_clients_ms;
	uint64_t exit_ms;
	uint64_t fail_ms;
	uint64_t latest_exit_ms;
};

/*
 * Guards against steps with fixed delays: with a shorter grace time the process
 * was killed before it had failed its requests, and with a longer one it failed
 * requests that could still have been answered.
 */
TEST(DrainSchedule, FitsIntoTheGraceTime)
{
	const Case cases[] = {
		{2400, 6000, 1000, 2000, 2300, 2400, 5300, 5500},
		{2400, 10000, 1000, 2000, 2300, 2400, 9300, 9500},
		{1500, 30000, 1000, 2000, 2300, 2300, 29300, 29500},
		{2400, 2000, 1000, 1300, 1300, 1300, 1300, 1500},
		{2400, 1000, 300, 300, 300, 300, 300, 500},
		{2400, 600, 0, 0, 0, 0, 0, 100},
		{0, 0, 0, 0, 0, 0, 0, 0},
		{60000, 6000, 1000, 2000, 2300, 5300, 5300, 5500},
	};

	for (const Case &test : cases) {
		SCOPED_TRACE(testing::Message() << "drain " << test.drain_ms
						<< " grace " << test.grace_ms);
		ql_drain_schedule_t schedule;
		auto ms = [](uint64_t at_us) {
			return (at_us - kNowUs) / QL_US_PER_MS;
		};

		ql_drain_schedule_init(&schedule, test.drain_ms, test.grace_ms,
				       kNowUs);
		EXPECT_EQ(test.leave_ms, ms(schedule.leave_us));
		EXPECT_EQ(test.drain_gate_ms, ms(schedule.drain_gate_us));
		EXPECT_EQ(test.refuse_clients_ms,
			  ms(schedule.refuse_clients_us));
		EXPECT_EQ(test.exit_ms, ms(schedule.exit_us));
		EXPECT_EQ(test.fail_ms, ms(schedule.fail_us));
		EXPECT_EQ(test.latest_exit_ms, ms(schedule.latest_exit_us));
	}
}

} // namespace
