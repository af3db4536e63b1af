#include "quetzalloft/clock.h"
#include "quetzalloft/route_admission.h"

#include <gtest/gtest.h>

namespace
{

constexpr uint64_t kGapUs = 1 * QL_US_PER_MS;
constexpr int kRequests = 6000;
/* An answer comes so many requests later. */
constexpr int kInProgress = 50;

struct Case {
	const char *name;
	double share;
	/* One in so many of the others is served; 0 for none. */
	int others_served;
	double least_guaranteed;
	double most_guaranteed;
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
						    random_, now_us_};
		ql_admission_decision_t decision =
			ql_route_admission_offer(&admission_, &offer);

		ASSERT_FALSE(decision.refuse);
		guaranteed_[request % kInProgress] = decision.guaranteed;
		n_guaranteed_ += decision.guaranteed;
	}

	void Answer(int request)
	{
		bool guaranteed = guaranteed_[request % kInProgress];
		int one_in = GetParam().others_served;
		bool served = guaranteed || (one_in && request % one_in == 0);

		ql_route_admission_end(&admission_, guaranteed, served);
	}

	ql_route_admission_t admission_;
	GRand *random_ = g_rand_new_with_seed(1);
	uint64_t now_us_ = 60 * QL_US_PER_S;
	bool guaranteed_[kInProgress] = {};
	int n_guaranteed_ = 0;
};

/*
 * Guards against: the lower classes got their guaranteed part on top of what
 * the higher ones left them, all day long, at the cost of orders.
 */
TEST_P(RouteAdmission, GuaranteesWhatTheOthersLeaveMissing)
{
	const Case &test = GetParam();

	for (int i = 0; i < kRequests; i++) {
		if (i >= kInProgress)
			Answer(i - kInProgress);
		Offer(i);
		now_us_ += kGapUs;
	}
	EXPECT_GE(n_guaranteed_, test.least_guaranteed * kRequests);
	EXPECT_LE(n_guaranteed_, test.most_guaranteed * kRequests);
}

INSTANTIATE_TEST_SUITE_P(
	Parts, RouteAdmission,
	testing::Values(Case{"NoneIsServed", 0.125, 0, 0.12, 0.126},
			Case{"AllAreServed", 0.125, 1, 0, 0.003},
			Case{"TwiceTheShareIsServed", 0.125, 4, 0, 0.003},
			Case{"HalfTheShareIsServed", 0.125, 16, 0.06, 0.072},
			Case{"NoShare", 0, 0, 0, 0}),
	[](const auto &test) { return test.param.name; });

struct NoteCase {
	const char *name;
	double pressure;
	/* How long a request takes without waits, and how long it may. */
	double clear_us;
	uint64_t deadline_ms;
	/* Whether guaranteed requests give way as fast as the others. */
	bool alike;
};

class RouteAdmissionNote : public testing::TestWithParam<NoteCase>
{
      protected:
	static void Note(ql_route_admission_t *admission, bool guaranteed,
			 uint64_t now_us)
	{
		const ql_admission_answer_t answer = {guaranteed,
						      GetParam().pressure, 0,
						      GetParam().deadline_ms,
						      now_us};

		ql_route_admission_record_answer(admission, &answer);
	}
};

/*
 * Guards against: guaranteed requests that all fail take the room of those that
 * could be served, and let the queue grow until orders run out of time (kask,
 * narrow-service-shrinks).
 */
TEST_P(RouteAdmissionNote, GuaranteedOnesBearWaitsButNoLosses)
{
	ql_route_admission_t admission;
	uint64_t now_us = 60 * QL_US_PER_S;

	ql_route_admission_init(&admission);
	admission.guaranteed.uncongested_latency_us = GetParam().clear_us;
	for (int i = 0; i < 1000; i++, now_us += kGapUs)
		for (bool guaranteed : {false, true})
			Note(&admission, guaranteed, now_us);
	EXPECT_LT(admission.best_effort.share, 1);
	if (GetParam().alike)
		EXPECT_DOUBLE_EQ(admission.best_effort.share,
				 admission.guaranteed.share);
	else
		EXPECT_LT(1.2 * admission.best_effort.share,
			  admission.guaranteed.share);
}

INSTANTIATE_TEST_SUITE_P(
	Pressures, RouteAdmissionNote,
	testing::Values(NoteCase{"Waits", 1.9, 5e5, 6000, false},
			NoteCase{"LongWaits", 3, 5e5, 6000, false},
			NoteCase{"NothingIsKnown", 3, 0, 1200, false},
			NoteCase{"LittleTime", 3, 5e5, 1200, true},
			NoteCase{"JustEnoughTime", 3, 5e5, 2500, false},
			NoteCase{"Lost", QL_PRESSURE_MAX, 5e5, 6000, true}),
	[](const auto &test) { return test.param.name; });

} // namespace
