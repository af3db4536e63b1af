#include "quetzalloft/wheel.h"

#include <gtest/gtest.h>

namespace
{

struct Timer {
	ql_wheel_timer_t timer{};
	int expired = 0;
	Timer()
	{
		timer.data = this;
		timer.expired = [](void *data) {
			static_cast<Timer *>(data)->expired++;
		};
	}
};

struct Case {
	uint64_t start_ms;
	uint64_t due_ms;
};

class WheelCase : public testing::TestWithParam<Case>
{
};

TEST_P(WheelCase, RunsOutOnceWithinASlot)
{
	ql_wheel_t wheel;
	Timer t;
	uint64_t now = GetParam().start_ms, next;

	ql_wheel_init(&wheel, now);
	ql_wheel_start(&wheel, &t.timer, GetParam().due_ms);
	while (!t.expired) {
		next = ql_wheel_next_wakeup_ms(&wheel);
		ASSERT_NE(next, UINT64_MAX);
		ASSERT_GT(next, now);
		now = next;
		ql_wheel_advance(&wheel, now);
	}
	EXPECT_GE(now, GetParam().due_ms);
	EXPECT_LE(now, std::max(GetParam().due_ms, GetParam().start_ms) +
			       QL_WHEEL_SLOT_MS);
	ql_wheel_advance(&wheel, now + 100000);
	EXPECT_EQ(t.expired, 1);
	EXPECT_EQ(ql_wheel_next_wakeup_ms(&wheel), UINT64_MAX);
}

INSTANTIATE_TEST_SUITE_P(Times, WheelCase,
			 testing::Values(Case{0, 1}, Case{0, 4}, Case{1003, 5},
					 Case{1003, 1004}, Case{7, 1023},
					 Case{7, 1024}, Case{7, 1030},
					 Case{7, 60000},
					 Case{1000000007, 1000015007}));

TEST(Wheel, StoppedTimerDoesNotRunOut)
{
	ql_wheel_t wheel;
	Timer a, b;

	ql_wheel_init(&wheel, 0);
	ql_wheel_start(&wheel, &a.timer, 10);
	ql_wheel_start(&wheel, &b.timer, 10);
	ql_wheel_stop(&wheel, &a.timer);
	ql_wheel_stop(&wheel, &a.timer);
	ql_wheel_advance(&wheel, 20);
	EXPECT_EQ(a.expired, 0);
	EXPECT_EQ(b.expired, 1);
}

TEST(Wheel, CallbackMayStopOthersOfItsSlot)
{
	ql_wheel_t wheel;
	struct Pair {
		ql_wheel_t *wheel;
		ql_wheel_timer_t timers[2];
		int expired;
	} pair = {};

	ql_wheel_init(&wheel, 0);
	pair.wheel = &wheel;
	for (auto &timer : pair.timers) {
		timer.data = &pair;
		timer.expired = [](void *data) {
			auto *p = static_cast<Pair *>(data);
			p->expired++;
			ql_wheel_stop(p->wheel, &p->timers[0]);
			ql_wheel_stop(p->wheel, &p->timers[1]);
		};
		ql_wheel_start(&wheel, &timer, 10);
	}
	ql_wheel_advance(&wheel, 20);
	EXPECT_EQ(pair.expired, 1);
	EXPECT_EQ(wheel.n_timers, 0u);
}

TEST(Wheel, AfterAPauseEverythingThatIsDueRunsOut)
{
	ql_wheel_t wheel;
	Timer timers[100];

	ql_wheel_init(&wheel, 0);
	for (int i = 0; i < 100; i++)
		ql_wheel_start(&wheel, &timers[i].timer, i * 37);
	ql_wheel_advance(&wheel, 50000);
	for (const auto &t : timers)
		EXPECT_EQ(t.expired, 1);
}

} // namespace
