#ifndef QL_POLICY_CLAIM_INTERNAL_H
#define QL_POLICY_CLAIM_INTERNAL_H

/**
 * DOC: What the keeper and the copies share.
 */

#include "quetzalloft/claim.h"

/**
 * ql_claim__same_value() - Whether two values are the same decision.
 * @a: a value
 * @b: another
 *
 * All seals are the same decision; claims differ by their claimant.
 *
 * Return: true when they are.
 */
bool ql_claim__same_value(const ql_claim_value_t *a, const ql_claim_value_t *b);

/**
 * ql_claim__compare_ballots() - Order two ballots.
 * @a: a ballot
 * @b: another
 *
 * Return: below, equal to or above 0, as @a is lower, equal or higher.
 */
int ql_claim__compare_ballots(const ql_claim_ballot_t *a,
			      const ql_claim_ballot_t *b);

#endif
