#include "quetzalloft/clock.h"
#include "quetzalloft/route_admission.h"

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t kGapUs = 1 * QL_US_PER_MS;
constexpr int kRequests = 6000;
/* A request ends after this many further requests have been offered. */
constexpr int kInProgress = 50;

struct Case {
	const char *name;
	double share;
	/* One in so many of the best-effort requests is served; 0 for none. */
	int best_effort_served_interval;
	/* Bounds of the guaranteed requests, as a fraction of all requests. */
	double min_guaranteed;
	double max_guaranteed;
};

class RouteAdmission : public testing::TestWithParam<Case>
{
      protected:
	void SetUp() override
	{
		ql_route_admission_init(&admission_);
	}

	void TearDown() override
	{
		g_rand_free(random_);
	}

	void Offer(int request)
	{
		const ql_admission_offer_t offer = {GetParam().share, 0,
						    random_, now_us_,
						    QL_THROTTLE_RANDOM};
		ql_admission_decision_t decision =
			ql_route_admission_offer(&admission_, &offer);

		ASSERT_FALSE(decision.refuse);
		guaranteed_[request % kInProgress] = decision.guaranteed;
		n_guaranteed_ += decision.guaranteed;
	}

	void End(int request)
	{
		bool guaranteed = guaranteed_[request % kInProgress];
		int interval = GetParam().best_effort_served_interval;
		bool served =
			guaranteed || (interval && request % interval == 0);

		ql_route_admission_finish_request(&admission_, guaranteed,
						  served);
	}

	ql_route_admission_t admission_;
	GRand *random_ = g_rand_new_with_seed(1);
	uint64_t now_us_ = 60 * QL_US_PER_S;
	bool guaranteed_[kInProgress] = {};
	int n_guaranteed_ = 0;
};

/*
 * Guards against: lower classes always get their guaranteed share on top of the
 * best-effort requests that are served anyway, at the cost of orders, which are
 * of a higher class.
 */
TEST_P(RouteAdmission, GuaranteesOnlyWhatBestEffortLeavesMissing)
{
	const Case &test = GetParam();

	for (int i = 0; i < kRequests; i++) {
		if (i >= kInProgress)
			End(i - kInProgress);
		Offer(i);
		now_us_ += kGapUs;
	}
	EXPECT_GE(n_guaranteed_, test.min_guaranteed * kRequests);
	EXPECT_LE(n_guaranteed_, test.max_guaranteed * kRequests);
}

INSTANTIATE_TEST_SUITE_P(
	ServedBestEffort, RouteAdmission,
	testing::Values(Case{"NoneIsServed", 0.125, 0, 0.12, 0.126},
			Case{"AllAreServed", 0.125, 1, 0, 0.003},
			Case{"TwiceTheShareIsServed", 0.125, 4, 0, 0.003},
			Case{"HalfTheShareIsServed", 0.125, 16, 0.06, 0.072},
			Case{"NoShare", 0, 0, 0, 0}),
	[](const auto &test) { return test.param.name; });

struct AnswerCase {
	const char *name;
	double pressure;
	/* Latency of a request without queueing delay, and its deadline. */
	double uncongested_latency_us;
	uint64_t deadline_ms;
	/* Guaranteed requests are throttled as fast as best-effort ones. */
	bool same_share;
};

class RouteAdmissionAnswer : public testing::TestWithParam<AnswerCase>
{
      protected:
	static void RecordAnswer(ql_route_admission_t *admission,
				 bool guaranteed, uint64_t now_us)
	{
		const ql_admission_answer_t answer = {guaranteed,
						      GetParam().pressure, 0,
						      GetParam().deadline_ms,
						      now_us};

		ql_route_admission_record_answer(admission, &answer);
	}
};

/*
 * Guards against: guaranteed requests that all fail take the capacity of those
 * that could be served, and the queue grows until orders exceed their deadlines
 * (kask, narrow-service-shrinks). Queueing delays must throttle guaranteed
 * requests less than best-effort ones, losses must throttle both alike.
 */
TEST_P(RouteAdmissionAnswer, GuaranteedRequestsTolerateDelaysButNotLosses)
{
	ql_route_admission_t admission;
	uint64_t now_us = 60 * QL_US_PER_S;

	ql_route_admission_init(&admission);
	admission.guaranteed.uncongested_latency_us =
		GetParam().uncongested_latency_us;
	for (int i = 0; i < 1000; i++, now_us += kGapUs)
		for (bool guaranteed : {false, true})
			RecordAnswer(&admission, guaranteed, now_us);
	EXPECT_LT(admission.best_effort.share, 1);
	if (GetParam().same_share)
		EXPECT_DOUBLE_EQ(admission.best_effort.share,
				 admission.guaranteed.share);
	else
		EXPECT_LT(1.2 * admission.best_effort.share,
			  admission.guaranteed.share);
}

INSTANTIATE_TEST_SUITE_P(
	Pressures, RouteAdmissionAnswer,
	testing::Values(AnswerCase{"Delay", 1.9, 5e5, 6000, false},
			AnswerCase{"LongDelay", 3, 5e5, 6000, false},
			AnswerCase{"UnknownLatency", 3, 0, 1200, false},
			AnswerCase{"ShortDeadline", 3, 5e5, 1200, true},
			AnswerCase{"SufficientDeadline", 3, 5e5, 2500, false},
			AnswerCase{"Lost", QL_PRESSURE_MAX, 5e5, 6000, true}),
	[](const auto &test) { return test.param.name; });

} // namespace
