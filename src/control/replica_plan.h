#ifndef QL_CONTROL_REPLICA_PLAN_H
#define QL_CONTROL_REPLICA_PLAN_H

/**
 * DOC: Automatic membership changes. They keep the wanted number of live
 * voters. The plan only chooses the next change; the replica that leads checks
 * and carries out each change, one at a time.
 */

#include "quetzalloft/replica.h"

G_BEGIN_DECLS

/**
 * struct ql_replica_plan - Input of the choice of a membership change.
 * @target_voters: wanted number of voters, odd
 * @dead_after_ticks: ticks without an answer after which a member counts as
 *                    dead; a dead voter is replaced
 * @remove_learner_after_ticks: ticks without an answer after which a learner is
 *                              removed
 * @self: identity of the leader
 * @commit: commit index of the leader
 * @members: all members in the order in which they were added
 * @n_members: number of @members
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
 * ql_replica_plan_next() - Choose the next membership change.
 * @plan: the members and the limits
 * @change: the change
 *
 * A member is removed when a later member has the same address: the replica at
 * that address has lost its disk and has joined under a new identity.
 *
 * Return: false when no change is needed.
 */
bool ql_replica_plan_next(const ql_replica_plan_t *plan,
			  ql_replica_change_t *change);

G_END_DECLS

#endif
