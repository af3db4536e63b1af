#include "quetzalloft/retry.h"
#include "quetzalloft/clock.h"

/* Bound of the backoff after the first attempt; it doubles with each one. */
#define BACKOFF_BASE_US (5 * QL_US_PER_MS)
/* Bound of the backoff after any number of attempts. */
#define BACKOFF_MAX_US (500 * QL_US_PER_MS)
#define BACKOFF_DOUBLINGS_MAX 10u
/* Most shared tokens by which a bucket is in debt. */
#define DEBT_MAX_TOKENS 10.0
/* The delay is the mean plus or minus up to this fraction of it. */
#define RETRY_AFTER_JITTER_RATIO 0.5

void ql_retry_budget_init(ql_retry_budget_t *budget, double ratio, double burst)
{
	*budget = (ql_retry_budget_t){
		.tokens = burst,
		.ratio = ratio,
		.burst = burst,
	};
}

static void add(double *tokens, double ratio, double burst)
{
	*tokens = MIN(*tokens + ratio, burst);
}

void ql_retry_budget_earn(ql_retry_budget_t *budget)
{
	add(&budget->tokens, budget->ratio, budget->burst);
	add(&budget->shared_tokens, budget->shared_ratio, budget->burst);
}

void ql_retry_budget_charge(ql_retry_budget_t *budget)
{
	add(&budget->tokens, budget->ratio, budget->burst);
	budget->shared_tokens =
		MAX(budget->shared_tokens - 1, -DEBT_MAX_TOKENS);
}

static bool take(double *tokens)
{
	if (*tokens < 1)
		return false;
	*tokens -= 1;
	return true;
}

bool ql_retry_budget_spend(ql_retry_budget_t *budget)
{
	return take(&budget->shared_tokens) || take(&budget->tokens);
}

static bool is_retryable(const ql_retry_failure_t *failure)
{
	switch (failure->outcome) {
	case QL_OUTCOME_NOT_RUN:
		return failure->reason != QL_REASON_BAD_REQUEST &&
		       failure->reason != QL_REASON_TOO_LARGE &&
		       failure->reason != QL_REASON_NO_ROUTE &&
		       failure->reason != QL_REASON_ATTEMPTS &&
		       failure->reason != QL_REASON_RETRY_BUDGET &&
		       failure->reason != QL_REASON_DEADLINE &&
		       failure->reason != QL_REASON_CANCELLED;
	case QL_OUTCOME_UNKNOWN:
		return failure->idempotent &&
		       failure->reason != QL_REASON_DEADLINE &&
		       failure->reason != QL_REASON_CANCELLED;
	default:
		return false;
	}
}

/* Full jitter: uniform between 0 and a bound that doubles with each attempt. */
static uint64_t backoff_us(const ql_retry_failure_t *failure, GRand *random)
{
	uint32_t doublings =
		MIN(failure->attempts_made - 1, BACKOFF_DOUBLINGS_MAX);
	uint64_t bound_us = MIN(BACKOFF_BASE_US << doublings, BACKOFF_MAX_US);

	return (uint64_t)(g_rand_double(random) * (double)bound_us);
}

ql_retry_decision_t ql_retry_decide(ql_retry_budget_t *budget,
				    const ql_retry_failure_t *failure,
				    GRand *random)
{
	ql_retry_decision_t decision = {.reason = failure->reason};

	g_assert(failure->attempts_made >= 1);
	if (!is_retryable(failure))
		return decision;
	decision.backoff_us = backoff_us(failure, random);
	if (failure->all_tried)
		decision.backoff_us += failure->retry_after_us;
	if (decision.backoff_us >= failure->remaining_us) {
		decision.reason = QL_REASON_DEADLINE;
		return decision;
	}
	if (!ql_retry_budget_spend(budget)) {
		decision.reason = QL_REASON_RETRY_BUDGET;
		return decision;
	}
	decision.retry = true;
	return decision;
}

uint32_t ql_retry_after_ms(double mean_ms, GRand *random)
{
	return (uint32_t)(mean_ms *
			  g_rand_double_range(random,
					      1 - RETRY_AFTER_JITTER_RATIO,
					      1 + RETRY_AFTER_JITTER_RATIO));
}
