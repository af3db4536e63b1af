#ifndef QUETZALLOFT_RETRY_H
#define QUETZALLOFT_RETRY_H

/**
 * DOC: Decides whether a failed attempt is retried, with a retry budget for
 * each callee and exponential backoff with jitter.
 */

#include "quetzalloft/types.h"

G_BEGIN_DECLS

/**
 * struct ql_retry_budget - Token buckets for the retries to one callee.
 * @tokens: retries currently allowed
 * @ratio: tokens added by each call
 * @burst: maximum number of tokens, and of shared tokens
 * @shared_tokens: further retries currently allowed. Calls made by runs that
 *                 are repeats themselves take them too, so that the layers of
 *                 callers share them; negative while the bucket is in debt.
 * @shared_ratio: shared tokens added by each call that is not such a repeat
 */
typedef struct ql_retry_budget {
	double tokens;
	double ratio;
	double burst;
	double shared_tokens;
	double shared_ratio;
} ql_retry_budget_t;

/**
 * ql_retry_budget_init() - Initialize a budget with @burst tokens and none that
 * are shared.
 * @budget: retry budget
 * @ratio: tokens added by each call
 * @burst: maximum number of tokens
 */
void ql_retry_budget_init(ql_retry_budget_t *budget, double ratio,
			  double burst);

/**
 * ql_retry_budget_earn() - Add the tokens of one call.
 * @budget: retry budget
 */
void ql_retry_budget_earn(ql_retry_budget_t *budget);

/**
 * ql_retry_budget_charge() - Add the tokens of one call that is made by a run
 * that repeats another one, and take a shared token for it.
 * @budget: retry budget; its debt is bounded
 */
void ql_retry_budget_charge(ql_retry_budget_t *budget);

/**
 * ql_retry_budget_spend() - Take the token of one retry, a shared one first.
 * @budget: retry budget
 *
 * Return: false if there is no token, in which case none is taken.
 */
bool ql_retry_budget_spend(ql_retry_budget_t *budget);

/**
 * struct ql_retry_failure - A failed attempt.
 * @outcome: outcome of the attempt
 * @reason: why it failed
 * @idempotent: whether it is safe to run the request more than once
 * @attempts_made: attempts made for this call so far, including this one; at
 *                 least 1
 * @remaining_us: time until the deadline of the call
 * @retry_after_us: delay that the callee requested before a retry; 0 if none
 * @all_tried: all endpoints have been tried, so @retry_after_us is added to the
 *             backoff; false if the retry can go to another endpoint at once
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
 * struct ql_retry_decision - Whether and when to retry a failed attempt.
 * @retry: whether to retry
 * @backoff_us: how long to wait before the retry
 * @reason: why the call fails if it is not retried: %QL_REASON_DEADLINE if the
 *          backoff does not fit into the remaining time,
 *          %QL_REASON_RETRY_BUDGET if the budget is empty, otherwise the reason
 *          of the failed attempt
 */
typedef struct ql_retry_decision {
	bool retry;
	uint64_t backoff_us;
	ql_reason_t reason;
} ql_retry_decision_t;

/**
 * ql_retry_decide() - Decide whether to retry a failed attempt.
 * @budget: retry budget of the callee; a retry takes one token
 * @failure: the failed attempt
 * @random: random number generator for the jitter
 *
 * A call with an unknown outcome is retried only if it is idempotent. A call
 * that ran out of attempts or retry budget further downstream is not retried
 * here either. The backoff is uniformly distributed between 0 and a bound that
 * starts at 5 ms and doubles with each attempt, up to 500 ms.
 *
 * Return: the decision.
 */
ql_retry_decision_t ql_retry_decide(ql_retry_budget_t *budget,
				    const ql_retry_failure_t *failure,
				    GRand *random);

/**
 * ql_retry_after_ms() - Choose the delay after which a refused request may be
 * sent again.
 * @mean_ms: mean delay in milliseconds
 * @random: random number generator for the jitter
 *
 * Return: milliseconds, uniformly distributed between 0.5 and 1.5 times
 * @mean_ms, so that refused clients do not return all at once.
 */
uint32_t ql_retry_after_ms(double mean_ms, GRand *random);

G_END_DECLS

#endif
