#ifndef QUETZALLOFT_QUOTA_LEDGER_H
#define QUETZALLOFT_QUOTA_LEDGER_H

/**
 * DOC: The tokens of the quotas of all teams, one bucket for each team. The
 * leader of the replicas holds the only ledger that grants: it grants while a
 * quorum confirms that it leads, and a new leader waits until the permission of
 * the one before has run out. Times are of a clock that also runs while the
 * machine is suspended, see ql_clock_boot_us().
 */

#include "quetzalloft/team.h"

G_BEGIN_DECLS

/**
 * Microseconds for which a leader may grant after it has sent a round that a
 * quorum answered, and for which a new leader waits.
 */
#define QL_QUOTA_PERMIT_US 800000u
/**
 * Microseconds for which a token may be spent, from when the node sent the call
 * that it was granted for.
 */
#define QL_QUOTA_VALIDITY_US 300000u
/** Part of the allowed overshoot and slack that a ledger makes use of. */
#define QL_QUOTA_OVERSHOOT_PART 0.8

/**
 * struct ql_quota_ledger_opts - Options of a ledger.
 * @window_us: window in which the requests of a team are counted
 * @overshoot: part by which they may exceed the quota, 0 or above
 * @slack: requests by which they may exceed it besides, 0 or above
 */
typedef struct ql_quota_ledger_opts {
	uint64_t window_us;
	double overshoot;
	double slack;
} ql_quota_ledger_opts_t;

/**
 * struct ql_quota_permit - What a replica knows of its leadership.
 * @term: its term as the leader; 0 when it does not lead
 * @leading_since_us: a time at or after its election
 * @confirmed_us: a time at or before it sent the newest round that a quorum has
 *                answered in this term; 0 for none
 */
typedef struct ql_quota_permit {
	uint64_t term;
	uint64_t leading_since_us;
	uint64_t confirmed_us;
} ql_quota_permit_t;

/**
 * struct ql_quota_ask - What a node asks for one team.
 * @least: tokens for requests that wait
 * @more: tokens for requests that the node expects soon
 */
typedef struct ql_quota_ask {
	uint32_t least;
	uint32_t more;
} ql_quota_ask_t;

/**
 * struct ql_quota_grant - The answer to &struct ql_quota_ask.
 * @granted: number of tokens
 * @wait_us: time until the team may have a token; 0 unless @granted is below
 *           the least number asked for
 * @unlimited: the team has no quota
 */
typedef struct ql_quota_grant {
	uint32_t granted;
	uint64_t wait_us;
	bool unlimited;
} ql_quota_grant_t;

/**
 * struct ql_quota_ledger - A ledger.
 * @opts: options
 * @term: term that the buckets belong to; 0 for none
 * @start_us: when the buckets of this term began, empty
 * @buckets: by name of the team; one that is full is forgotten when there are
 *           more than QL_TEAMS_MAX
 */
typedef struct ql_quota_ledger {
	ql_quota_ledger_opts_t opts;
	uint64_t term;
	uint64_t start_us;
	GHashTable *buckets;
} ql_quota_ledger_t;

/**
 * ql_quota_ledger_init() - Initialize a ledger that may not grant yet.
 * @ledger: the ledger
 * @opts: options; copied
 */
void ql_quota_ledger_init(ql_quota_ledger_t *ledger,
			  const ql_quota_ledger_opts_t *opts);

/**
 * ql_quota_ledger_finish() - Free the buckets.
 * @ledger: the ledger
 */
void ql_quota_ledger_finish(ql_quota_ledger_t *ledger);

/**
 * ql_quota_ledger_open() - Check whether the ledger may grant now.
 * @ledger: the ledger; a new term begins with empty buckets
 * @permit: what the replica knows of its leadership
 * @now_us: the time; read after @permit, and again for each check
 * @retry_us: set to the time until it may grant, if that is known, else to 0
 *
 * Return: 0, QL_E_NOT_LEADER, or QL_E_PENDING when the permission has run out
 * or that of an earlier leader may still last.
 */
int ql_quota_ledger_open(ql_quota_ledger_t *ledger,
			 const ql_quota_permit_t *permit, uint64_t now_us,
			 uint64_t *retry_us);

/**
 * ql_quota_ledger_grant() - Take tokens out of the bucket of a team.
 * @ledger: the ledger, opened at @now_us
 * @team: the team in the applied document, or NULL if it has none
 * @ask: number of tokens that the node asks for
 * @now_us: the time that ql_quota_ledger_open() was called with
 *
 * Return: the answer. Tokens for requests that are expected are granted only
 * out of the upper half of the bucket, so that no node keeps those that another
 * one waits for.
 */
ql_quota_grant_t ql_quota_ledger_grant(ql_quota_ledger_t *ledger,
				       const ql_team_t *team,
				       const ql_quota_ask_t *ask,
				       uint64_t now_us);

G_END_DECLS

#endif
