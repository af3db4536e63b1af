#include "control/replica_private.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>

/*
 * A read that completes once a quorum has answered its round and the entry at
 * its index is applied.
 */
typedef struct {
	uint64_t round;
	uint64_t index;
	uint64_t token;
} read_t;

int ql_replica_start_read(ql_replica_t *replica, uint64_t token)
{
	read_t *read;

	if (replica->role != QL_REPLICA_LEADER)
		return QL_E_NOT_LEADER;
	if (replica->state.commit < replica->term_start)
		return QL_E_PENDING;
	read = g_new(read_t, 1);
	read->round = ++replica->read_round;
	read->index = replica->state.commit;
	read->token = token;
	g_queue_push_tail(&replica->pending_reads, read);
	ql_replica__broadcast(replica);
	ql_replica__finish_reads(replica);
	return 0;
}

bool ql_replica_is_current(const ql_replica_t *replica)
{
	if (replica->role == QL_REPLICA_LEADER)
		return replica->state.commit >= replica->term_start &&
		       replica->applied >= replica->state.commit;
	return ql_replica__has_leader(replica) &&
	       replica->applied >= replica->leader_commit &&
	       ql_replica__term_at(replica, replica->applied) ==
		       replica->state.term;
}

static int compare_rounds(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

uint64_t ql_replica__confirmed_round(const ql_replica_t *replica)
{
	uint64_t rounds[QL_REPLICA_MEMBERS_MAX] = {0};
	const ql_replica_peer_t *peer;
	size_t n = 0, i;

	for (i = 0; i < replica->n_peers; i++) {
		peer = &replica->peers[i];
		if (!peer->voter)
			continue;
		rounds[n++] = peer->id == replica->state.identity
				      ? replica->read_round
				      : peer->answered_round;
	}
	qsort(rounds, n, sizeof(*rounds), compare_rounds);
	return rounds[ql_replica__quorum(replica) - 1];
}

void ql_replica__forget_rounds(ql_replica_t *replica)
{
	memset(replica->timed_rounds, 0, sizeof(replica->timed_rounds));
}

/*
 * The number of a round is no place in the ring, as proofs and reads take
 * numbers too.
 */
void ql_replica__begin_round(ql_replica_t *replica)
{
	ql_replica_timed_round_t *slot =
		&replica->timed_rounds[replica->n_timed_rounds++ %
				       QL_REPLICA_TIMED_ROUNDS];

	slot->round = ++replica->read_round;
	slot->sent_us = replica->now_us;
}

uint64_t ql_replica_confirmed_us(const ql_replica_t *replica)
{
	const ql_replica_timed_round_t *timed;
	uint64_t confirmed, newest_us = 0;
	size_t i;

	if (replica->role != QL_REPLICA_LEADER)
		return 0;
	confirmed = ql_replica__confirmed_round(replica);
	for (i = 0; i < QL_REPLICA_TIMED_ROUNDS; i++) {
		timed = &replica->timed_rounds[i];
		if (timed->round <= confirmed)
			newest_us = MAX(newest_us, timed->sent_us);
	}
	return newest_us;
}

void ql_replica__finish_reads(ql_replica_t *replica)
{
	uint64_t confirmed, token;
	read_t *read;

	if (replica->role != QL_REPLICA_LEADER ||
	    !replica->pending_reads.length)
		return;
	confirmed = ql_replica__confirmed_round(replica);
	while ((read = g_queue_peek_head(&replica->pending_reads))) {
		if (read->round > confirmed || read->index > replica->applied)
			return;
		token = read->token;
		g_free(g_queue_pop_head(&replica->pending_reads));
		replica->ops->read_done(replica->data, token, 0);
	}
}

void ql_replica__fail_reads(ql_replica_t *replica)
{
	uint64_t token;
	read_t *read;

	while ((read = g_queue_pop_head(&replica->pending_reads))) {
		token = read->token;
		g_free(read);
		replica->ops->read_done(replica->data, token, QL_E_NOT_LEADER);
	}
}
