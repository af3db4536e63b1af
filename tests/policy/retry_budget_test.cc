#include "quetzalloft/retry.h"

#include <gtest/gtest.h>

#include <array>

namespace
{

/* Calls that one run makes to the service below: 15 calls for each request. */
constexpr int kLayers = 4;
constexpr std::array<int, kLayers> kCallsBelow = {2, 1, 4, 0};
constexpr int kNodes = 13;
constexpr int kRequests = 3000;
/* The rule of the site: repeats for each first call, and some besides. */
constexpr double kRatio = 0.2;
constexpr int kSlack = 47;
/* Parts of the ratio that each layer has, and that the layers share. */
struct Parts {
	double own;
	double shared;
	/* Repeats by runs that are repeats themselves take shared tokens. */
	bool charges;
};

constexpr Parts kEqual = {0.25, 0, false};
constexpr Parts kShared = {0.15, 0.4, true};
constexpr Parts kUncharged = {0.15, 0.4, false};

/*
 * Client requests whose calls lose answers at random, through nodes that each
 * keep a retry budget for each service.
 */
class CallTree
{
      public:
	int first[kLayers] = {}, repeated[kLayers] = {}, served = 0;

	/* Each layer loses its ratio of the answers. */
	CallTree(const Parts &parts, const std::array<double, kLayers> &lost)
	    : parts_(parts), lost_(lost), random_(g_rand_new_with_seed(1))
	{
		for (auto &layer : budgets_)
			for (auto &budget : layer) {
				ql_retry_budget_init(&budget,
						     kRatio * parts.own, 1);
				budget.shared_ratio = kRatio * parts.shared;
			}
		for (int i = 0; i < kRequests; i++)
			served += call(0, false);
	}

	~CallTree()
	{
		g_rand_free(random_);
	}

      private:
	enum Result {
		ANSWERED,
		FAILED,
		LOST
	};

	/* Returns whether the call gets a good answer. */
	bool call(int layer, bool in_repeat)
	{
		ql_retry_budget_t *budget =
			&budgets_[layer][g_rand_int_range(random_, 0, kNodes)];

		if (in_repeat && parts_.charges)
			ql_retry_budget_charge(budget);
		else
			ql_retry_budget_earn(budget);
		(in_repeat ? repeated : first)[layer]++;
		switch (run(layer, in_repeat)) {
		case ANSWERED:
			return true;
		case FAILED:
			return false;
		default:
			break;
		}
		if (!ql_retry_budget_spend(budget))
			return false;
		repeated[layer]++;
		return run(layer, true) == ANSWERED;
	}

	/* A run ends at its first failed call, with an answer that says so. */
	Result run(int layer, bool is_repeat)
	{
		bool failed = false;

		for (int i = 0; i < kCallsBelow[layer] && !failed; i++)
			failed = !call(layer + 1, is_repeat);
		if (g_rand_double(random_) < lost_[layer])
			return LOST;
		return failed ? FAILED : ANSWERED;
	}

	Parts parts_;
	std::array<double, kLayers> lost_;
	GRand *random_;
	ql_retry_budget_t budgets_[kLayers][kNodes];
};

struct Case {
	const char *name;
	std::array<double, kLayers> lost;
	/* Requests served at least, as a multiple of those with equal parts. */
	double gain;
};

class RetryBudget : public testing::TestWithParam<Case>
{
};

/*
 * Guards against a budget that is split among the layers in advance: when one
 * service loses answers, most requests fail although its budget is hardly used.
 * Repeats of all layers together keep the ratio of each service.
 */
TEST_P(RetryBudget, IsSharedByTheLayersAndKept)
{
	CallTree equal(kEqual, GetParam().lost);
	CallTree shared(kShared, GetParam().lost);

	for (int layer = 0; layer < kLayers; layer++)
		EXPECT_LE(shared.repeated[layer],
			  kRatio * shared.first[layer] + kSlack)
			<< "layer " << layer;
	EXPECT_GE(shared.served, GetParam().gain * equal.served);
}

INSTANTIATE_TEST_SUITE_P(
	Losses, RetryBudget,
	testing::Values(Case{"LowestFew", {0, 0, 0, 0.03}, 1.05},
			Case{"LowestSome", {0, 0, 0, 0.1}, 1.2},
			Case{"LowestMany", {0, 0, 0, 0.2}, 1.2},
			Case{"Middle", {0, 0.1, 0, 0}, 1},
			Case{"MiddleMany", {0, 0, 0.2, 0}, 1},
			Case{"Highest", {0.1, 0, 0, 0}, 1},
			Case{"HighestMany", {0.45, 0, 0, 0}, 1},
			Case{"TwoLayers", {0, 0.1, 0, 0.1}, 1},
			Case{"All", {0.03, 0.03, 0.03, 0.03}, 0.95},
			Case{"AllSome", {0.1, 0.1, 0.1, 0.1}, 0.8},
			Case{"AllMany", {0.2, 0.2, 0.2, 0.2}, 0.8}),
	[](const auto &test) { return test.param.name; });

/* Without the charge, repeats of several layers exceed the ratio. */
TEST(RetryBudgetTree, IsExceededWithoutTheCharge)
{
	CallTree uncharged(kUncharged, {0.2, 0.2, 0.2, 0.2});

	EXPECT_GT(uncharged.repeated[kLayers - 1],
		  kRatio * uncharged.first[kLayers - 1] + kSlack);
}

TEST(RetryBudgetTree, DebtIsBounded)
{
	ql_retry_budget_t budget;

	ql_retry_budget_init(&budget, 0, 1);
	budget.shared_ratio = 0.5;
	EXPECT_TRUE(ql_retry_budget_spend(&budget));
	for (int i = 0; i < 1000; i++)
		ql_retry_budget_charge(&budget);
	for (int i = 0; i < 21; i++)
		ql_retry_budget_earn(&budget);
	EXPECT_FALSE(ql_retry_budget_spend(&budget));
	ql_retry_budget_earn(&budget);
	EXPECT_TRUE(ql_retry_budget_spend(&budget));
}

} // namespace
