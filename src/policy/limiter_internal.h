#ifndef QL_POLICY_LIMITER_INTERNAL_H
#define QL_POLICY_LIMITER_INTERNAL_H

/**
 * DOC: Steps that several limiters share.
 */

#include "quetzalloft/limiter.h"

/** Brings the limit back within its bounds. */
void ql_limiter__clamp(ql_limiter_t *limiter);

/** Lowers the limit by a fifth, at most once in 100 ms. */
void ql_limiter__back_off(ql_limiter_t *limiter, uint64_t now_us);

#endif
