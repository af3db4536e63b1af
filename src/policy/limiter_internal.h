#ifndef QL_POLICY_LIMITER_INTERNAL_H
#define QL_POLICY_LIMITER_INTERNAL_H

/**
 * DOC: Functions shared by the limit policies.
 */

#include "quetzalloft/limiter.h"

/**
 * ql_limiter__clamp() - Clamp the limit to its bounds.
 * @limiter: limiter
 */
void ql_limiter__clamp(ql_limiter_t *limiter);

/**
 * ql_limiter__back_off() - Lower the limit by a fifth, at most once in 100 ms.
 * @limiter: limiter
 * @now_us: current time
 *
 * Does nothing if @limiter->changed_us is less than 100 ms ago.
 */
void ql_limiter__back_off(ql_limiter_t *limiter, uint64_t now_us);

#endif
