#include "control/replica_private.h"
#include "quetzalloft/clock.h"

/*
 * Least time between two proofs, so that those that wait for a quorum stay in
 * the ring for longer than a round trip, however fast entries are committed.
 */
#define PROOF_INTERVAL_MS 50u

void ql_replica_set_time(ql_replica_t *replica, uint64_t now_us)
{
	replica->now_us = now_us;
}

static uint64_t now_ms(const ql_replica_t *replica)
{
	return replica->now_us / QL_US_PER_MS;
}

/* Adds a proof unless it is hardly newer than the last one. */
static bool add_proof(ql_replica_t *replica, const ql_replica_proof_t *proof)
{
	const ql_replica_proof_t *last;

	if (replica->n_proofs) {
		last = &replica->proofs[(replica->n_proofs - 1) %
					QL_REPLICA_PROOFS_MAX];
		if (proof->at_ms < last->at_ms + PROOF_INTERVAL_MS)
			return false;
	}
	replica->proofs[replica->n_proofs++ % QL_REPLICA_PROOFS_MAX] = *proof;
	return true;
}

/*
 * Returns the newest proof up to an index whose round is confirmed, or NULL.
 */
static const ql_replica_proof_t *newest_proof(const ql_replica_t *replica,
					      uint64_t index)
{
	size_t n = MIN(replica->n_proofs, QL_REPLICA_PROOFS_MAX);
	const ql_replica_proof_t *proof, *newest = NULL;
	uint64_t confirmed = 0;
	size_t i;

	if (n && replica->role == QL_REPLICA_LEADER)
		confirmed = ql_replica__confirmed_round(replica);
	for (i = 0; i < n; i++) {
		proof = &replica->proofs[i];
		if (proof->round <= confirmed && proof->index <= index &&
		    (!newest || proof->at_ms > newest->at_ms))
			newest = proof;
	}
	return newest;
}

void ql_replica__start_proof(ql_replica_t *replica)
{
	const ql_replica_proof_t proof = {
		.round = replica->read_round + 1,
		.index = replica->state.commit,
		.at_ms = now_ms(replica),
	};

	/* Before, entries of older terms may be committed unknown to it. */
	if (!now_ms(replica) || replica->state.commit < replica->term_start)
		return;
	if (add_proof(replica, &proof))
		replica->read_round++;
}

void ql_replica__drop_proofs(ql_replica_t *replica)
{
	replica->n_proofs = 0;
}

/*
 * Translates a time of this replica to the clock of a peer. The peer wrote its
 * answer before it was received here, so the result is never too late.
 */
static uint64_t to_clock_of(const ql_replica_peer_t *peer, uint64_t at_ms)
{
	uint64_t before_ms;

	if (at_ms >= peer->heard_ms)
		return peer->clock_ms + (at_ms - peer->heard_ms);
	before_ms = peer->heard_ms - at_ms;
	return peer->clock_ms - MIN(before_ms, peer->clock_ms);
}

void ql_replica__fill_proof(const ql_replica_t *replica,
			    const ql_replica_peer_t *peer,
			    ql_rpc_replica_message *message)
{
	const ql_replica_proof_t *proof = newest_proof(replica, UINT64_MAX);

	if (!proof || !peer->clock_id)
		return;
	message->clock_id = peer->clock_id;
	message->clock_ms = to_clock_of(peer, proof->at_ms);
	message->proof_index = proof->index;
}

void ql_replica__take_proof(ql_replica_t *replica,
			    const ql_rpc_replica_message *message)
{
	const ql_replica_proof_t proof = {
		.index = message->proof_index,
		.at_ms = message->clock_ms,
	};

	if (!message->clock_id || message->clock_id != replica->opts.clock_id ||
	    message->clock_ms > now_ms(replica))
		return;
	add_proof(replica, &proof);
}

void ql_replica__fill_clock(const ql_replica_t *replica,
			    ql_rpc_replica_message *answer)
{
	answer->clock_id = replica->opts.clock_id;
	answer->clock_ms = now_ms(replica);
}

void ql_replica__note_clock(const ql_replica_t *replica,
			    ql_replica_peer_t *peer,
			    const ql_rpc_replica_message *answer)
{
	if (!answer->clock_id)
		return;
	peer->clock_id = answer->clock_id;
	peer->clock_ms = answer->clock_ms;
	peer->heard_ms = now_ms(replica);
}

uint64_t ql_replica_proven_ms(const ql_replica_t *replica)
{
	const ql_replica_proof_t *proof;

	if (replica->failed)
		return 0;
	proof = newest_proof(replica, replica->applied);
	return proof ? proof->at_ms : 0;
}
