#ifndef QL_POLICY_CLAIM_INTERNAL_H
#define QL_POLICY_CLAIM_INTERNAL_H

/**
 * DOC: Comparisons shared by the keeper and the proposing copies.
 */

#include "quetzalloft/claim.h"

/**
 * ql_claim__same_value() - Check whether two values are equal.
 * @a: first value
 * @b: second value
 *
 * All seals are equal; claims are equal if they have the same claimant.
 *
 * Return: true if they are equal.
 */
bool ql_claim__same_value(const ql_claim_value_t *a, const ql_claim_value_t *b);

/**
 * ql_claim__compare_ballots() - Compare two ballots.
 * @a: first ballot
 * @b: second ballot
 *
 * Return: a negative number if @a is lower than @b, 0 if they are equal, a
 * positive number if @a is higher.
 */
int ql_claim__compare_ballots(const ql_claim_ballot_t *a,
			      const ql_claim_ballot_t *b);

#endif
