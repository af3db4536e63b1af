#ifndef QL_CONTROL_REPLICA_PLAN_H
#define QL_CONTROL_REPLICA_PLAN_H

/**
 * DOC: Which change of the members a leader makes next by itself, so that the
 * voters are as many as wished and alive. It decides only; the replica checks
 * and carries out each change, one at a time.
 */

#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/**
 * struct ql_replica_plan - What is wished and known.
 * @target_voters: voters that are wished, an odd number
 * @dead_after_ticks: a member that was silent for so long is replaced
 * @remove_learner_after_ticks: a learner that was silent for so long is removed
 * @self: identity of the leader
 * @commit: its commit index
 * @members: all members in the order in which they were added
 * @n_members: their number
 */
typedef struct ql_replica_plan {
	size_t target_voters;
	uint32_t dead_after_ticks;
	uint32_t remove_learner_after_ticks;
	uint64_t self;
	uint64_t commit;
	const ql_replica_peer_t *members;
	size_t n_members;
} ql_replica_plan_t;

/**
 * ql_replica_plan_next() - Choose the next change.
 * @plan: what is wished and known
 * @change: the change
 *
 * A member whose address a later member has lost its disk and is removed.
 *
 * Return: false when nothing is to be done.
 */
bool ql_replica_plan_next(const ql_replica_plan_t *plan,
			  ql_replica_change_t *change);

G_END_DECLS

#endif
