#include "control/replica_plan.h"

#include <string.h>

static bool is_dead(const ql_replica_plan_t *plan,
		    const ql_replica_peer_t *member)
{
	return member->id != plan->self &&
	       member->unanswered_ticks >= plan->dead_after_ticks;
}

/* Returns whether a member that was added later has the same address. */
static bool is_superseded(const ql_replica_plan_t *plan, size_t index)
{
	const ql_replica_peer_t *member = &plan->members[index];
	size_t i;

	if (member->id == plan->self)
		return false;
	for (i = index + 1; i < plan->n_members; i++)
		if (!strcmp(plan->members[i].address, member->address))
			return true;
	return false;
}

static const ql_replica_peer_t *find_superseded(const ql_replica_plan_t *plan)
{
	size_t i;

	for (i = 0; i < plan->n_members; i++)
		if (is_superseded(plan, i))
			return &plan->members[i];
	return NULL;
}

/* Finds a live learner that has all committed entries. */
static const ql_replica_peer_t *
find_promotable_learner(const ql_replica_plan_t *plan)
{
	const ql_replica_peer_t *member;
	size_t i;

	for (i = 0; i < plan->n_members; i++) {
		member = &plan->members[i];
		if (!member->voter && !is_dead(plan, member) &&
		    member->match >= plan->commit && !is_superseded(plan, i))
			return member;
	}
	return NULL;
}

static const ql_replica_peer_t *find_dead_voter(const ql_replica_plan_t *plan)
{
	size_t i;

	for (i = 0; i < plan->n_members; i++)
		if (plan->members[i].voter && is_dead(plan, &plan->members[i]))
			return &plan->members[i];
	return NULL;
}

static const ql_replica_peer_t *
find_expired_learner(const ql_replica_plan_t *plan)
{
	const ql_replica_peer_t *member;
	size_t i;

	for (i = 0; i < plan->n_members; i++) {
		member = &plan->members[i];
		if (!member->voter && member->id != plan->self &&
		    member->unanswered_ticks >=
			    plan->remove_learner_after_ticks)
			return member;
	}
	return NULL;
}

static size_t count_voters(const ql_replica_plan_t *plan)
{
	size_t i, n = 0;

	for (i = 0; i < plan->n_members; i++)
		n += plan->members[i].voter;
	return n;
}

static bool set_change(ql_replica_change_t *change, ql_replica_change_kind kind,
		       const ql_replica_peer_t *member)
{
	if (!member)
		return false;
	change->kind = kind;
	change->id = member->id;
	change->address = member->address;
	return true;
}

bool ql_replica_plan_next(const ql_replica_plan_t *plan,
			  ql_replica_change_t *change)
{
	const ql_replica_peer_t *dead = find_dead_voter(plan);
	const ql_replica_peer_t *learner = find_promotable_learner(plan);
	size_t voters = count_voters(plan);

	if (set_change(change, QL_REPLICA_REMOVE, find_superseded(plan)))
		return true;
	/* A dead voter is removed only after a live one has been promoted. */
	if (voters < plan->target_voters ||
	    (dead && voters == plan->target_voters)) {
		if (set_change(change, QL_REPLICA_PROMOTE, learner))
			return true;
	}
	if (voters > plan->target_voters &&
	    set_change(change, QL_REPLICA_REMOVE, dead))
		return true;
	return set_change(change, QL_REPLICA_REMOVE,
			  find_expired_learner(plan));
}
