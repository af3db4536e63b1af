#include "control/replica_private.h"

bool ql_replica__has_leader(const ql_replica_t *replica)
{
	if (replica->role == QL_REPLICA_LEADER)
		return true;
	return replica->leader &&
	       replica->election_elapsed < replica->opts.election_ticks;
}

/* Returns whether the candidate's log is at least as recent as this one. */
static bool is_up_to_date(const ql_replica_t *replica,
			  const ql_rpc_replica_message *message)
{
	uint64_t last = ql_replica_last_index(replica);
	uint64_t last_term = ql_replica__term_at(replica, last);

	if (message->index_term != last_term)
		return message->index_term > last_term;
	return message->index >= last;
}

static void request_votes(ql_replica_t *replica, ql_replica_message_type type,
			  uint64_t term)
{
	ql_rpc_replica_message *message;
	size_t i;

	for (i = 0; i < replica->n_peers; i++) {
		ql_replica_peer_t *peer = &replica->peers[i];

		peer->vote_granted = false;
		if (!peer->voter || peer->id == replica->state.identity)
			continue;
		message = ql_replica__new_message(replica, type, peer->id);
		message->term = term;
		message->index = ql_replica_last_index(replica);
		message->index_term =
			ql_replica__term_at(replica, message->index);
		if (type == QL_REPLICA_VOTE)
			ql_replica__send_after_sync(replica, message);
		else
			ql_replica__send(replica, message);
	}
}

/*
 * Starts an election in a new term. The candidate counts its own vote once the
 * vote is on the disk, see ql_replica_write_done().
 */
static void become_candidate(ql_replica_t *replica)
{
	ql_replica__apply_event(replica, QL_EVENT_REPLICA_PRE_VOTE_WON);
	replica->state.term++;
	replica->state.vote = replica->state.identity;
	ql_replica__require_write(replica);
	ql_replica__reset_election_timer(replica);
	request_votes(replica, QL_REPLICA_VOTE, replica->state.term);
}

void ql_replica__campaign(ql_replica_t *replica)
{
	ql_replica__apply_event(replica, QL_EVENT_REPLICA_ELECTION_TIMEOUT);
	replica->leader = 0;
	ql_replica__reset_election_timer(replica);
	if (replica->role != QL_REPLICA_PRE_CANDIDATE)
		return;
	request_votes(replica, QL_REPLICA_PRE_VOTE, replica->state.term + 1);
	ql_replica__vote_for_self(replica);
}

void ql_replica__vote_for_self(ql_replica_t *replica)
{
	ql_replica_peer_t *self =
		ql_replica__find_peer(replica, replica->state.identity);

	if (self)
		self->vote_granted = true;
	ql_replica__count_votes(replica);
}

void ql_replica__count_votes(ql_replica_t *replica)
{
	size_t granted = 0, i;

	for (i = 0; i < replica->n_peers; i++)
		if (replica->peers[i].voter && replica->peers[i].vote_granted)
			granted++;
	if (granted < ql_replica__quorum(replica))
		return;
	if (replica->role == QL_REPLICA_PRE_CANDIDATE)
		become_candidate(replica);
	else if (replica->role == QL_REPLICA_CANDIDATE)
		ql_replica__become_leader(replica);
}

void ql_replica__on_pre_vote(ql_replica_t *replica,
			     const ql_rpc_replica_message *message)
{
	ql_rpc_replica_message *answer;

	if (ql_replica__has_leader(replica))
		return;
	answer = ql_replica__new_message(replica, QL_REPLICA_PRE_VOTE_ANSWER,
					 message->from);
	answer->granted = message->term > replica->state.term &&
			  is_up_to_date(replica, message);
	if (answer->granted)
		answer->term = message->term;
	ql_replica__send(replica, answer);
}

void ql_replica__on_pre_vote_answer(ql_replica_t *replica,
				    const ql_rpc_replica_message *message)
{
	ql_replica_peer_t *peer = ql_replica__find_peer(replica, message->from);

	if (!message->granted) {
		ql_replica__adopt_term(replica, message->term);
		return;
	}
	if (replica->role != QL_REPLICA_PRE_CANDIDATE || !peer ||
	    message->term != replica->state.term + 1)
		return;
	peer->vote_granted = true;
	ql_replica__count_votes(replica);
}

void ql_replica__on_vote(ql_replica_t *replica,
			 const ql_rpc_replica_message *message)
{
	ql_rpc_replica_message *answer =
		ql_replica__new_message(replica, QL_REPLICA_VOTE_ANSWER,
					message->from);
	bool may_vote =
		!replica->state.vote || replica->state.vote == message->from;

	answer->granted = message->term == replica->state.term && may_vote &&
			  is_up_to_date(replica, message);
	if (answer->granted && !replica->state.vote) {
		replica->state.vote = message->from;
		ql_replica__require_write(replica);
	}
	if (answer->granted)
		ql_replica__reset_election_timer(replica);
	ql_replica__send_after_sync(replica, answer);
}

void ql_replica__on_vote_answer(ql_replica_t *replica,
				const ql_rpc_replica_message *message)
{
	ql_replica_peer_t *peer = ql_replica__find_peer(replica, message->from);

	if (replica->role != QL_REPLICA_CANDIDATE || !peer || !message->granted)
		return;
	peer->vote_granted = true;
	ql_replica__count_votes(replica);
}
