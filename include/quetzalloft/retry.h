#ifndef QUETZALLOFT_RETRY_H
#define QUETZALLOFT_RETRY_H

/**
 * DOC: When a failed attempt may be followed by another.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/**
 * struct ql_retry_budget - A token bucket for the retries to one callee.
 * @tokens: retries that are allowed at present
 * @ratio: tokens earned by each first attempt
 * @burst: most tokens
 */
typedef struct ql_retry_budget {
	double tokens;
	double ratio;
	double burst;
} ql_retry_budget_t;

void ql_retry_budget_init(ql_retry_budget_t *budget, double ratio,
			  double burst);
void ql_retry_budget_earn(ql_retry_budget_t *budget);
bool ql_retry_budget_spend(ql_retry_budget_t *budget);

/**
 * struct ql_retry_failure - A failed attempt.
 * @outcome: what is known about it
 * @reason: why it failed
 * @idempotent: whether the request may be repeated
 * @attempts_made: attempts of this call so far
 * @remaining_us: time until the deadline
 * @retry_after_us: what the callee asked for; 0 when nothing
 * @all_tried: no other endpoint is left, so what was asked for is waited for
 */
typedef struct ql_retry_failure {
	ql_outcome_t outcome;
	ql_reason_t reason;
	bool idempotent;
	uint32_t attempts_made;
	uint64_t remaining_us;
	uint64_t retry_after_us;
	bool all_tried;
} ql_retry_failure_t;

/**
 * struct ql_retry_decision - What to do after it.
 * @retry: whether to try again
 * @backoff_us: how long to wait before
 * @reason: why not
 */
typedef struct ql_retry_decision {
	bool retry;
	uint64_t backoff_us;
	ql_reason_t reason;
} ql_retry_decision_t;

/**
 * ql_retry_decide() - Decide on one failed attempt.
 * @budget: the callee's retry budget; a token is spent on a retry
 * @failure: the failed attempt
 * @random: source of the jitter
 *
 * A call whose outcome is unknown is repeated only when it is idempotent. One
 * for which a layer below has retried already is not repeated here.
 *
 * Return: the decision.
 */
ql_retry_decision_t ql_retry_decide(ql_retry_budget_t *budget,
				    const ql_retry_failure_t *failure,
				    GRand *random);

/**
 * ql_retry_after_ms() - Spread the return of those who are refused.
 * @mean_ms: when they may come again, on average
 * @random: source of the jitter
 *
 * Return: half of the mean to half more than it, so that they do not come in
 * one wave.
 */
uint32_t ql_retry_after_ms(double mean_ms, GRand *random);

G_END_DECLS

#endif
