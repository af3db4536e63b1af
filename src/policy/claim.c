#include "policy/claim_internal.h"
#include "quetzalloft/clock.h"

#include <string.h>

static bool may_vote(const ql_keeper_t *keeper, uint64_t now_us)
{
	return now_us >= keeper->votes_from_us;
}

static uint32_t majority(uint32_t n_members, uint32_t n_voted G_GNUC_UNUSED)
{
	return n_members / 2 + 1;
}

static uint32_t fast_quorum(uint32_t n_members)
{
	return (3 * n_members + 3) / 4;
}

static bool is_forfeited(const ql_claim_reply_t *reply)
{
	return reply->note == QL_CLAIM_NOTE_FORFEITED;
}

static ql_outcome_t outcome(ql_claim_result_t result)
{
	switch (result) {
	case QL_CLAIM_SEALED:
		return QL_OUTCOME_NOT_RUN;
	case QL_CLAIM_ANSWERED:
		return QL_OUTCOME_ANSWERED;
	case QL_CLAIM_UNKNOWN:
		return QL_OUTCOME_UNKNOWN;
	default:
		return QL_OUTCOME_REFUSED;
	}
}

const ql_claim_rules_t ql_claim_rules = {
	.may_vote = may_vote,
	.majority = majority,
	.fast_quorum = fast_quorum,
	.is_forfeited = is_forfeited,
	.outcome = outcome,
};

ql_reason_t ql_claim_reason(ql_claim_result_t result)
{
	switch (result) {
	case QL_CLAIM_CONFLICT:
		return QL_REASON_KEY_CONFLICT;
	case QL_CLAIM_IN_PROGRESS:
		return QL_REASON_KEY_IN_PROGRESS;
	case QL_CLAIM_NO_QUORUM:
		return QL_REASON_NO_QUORUM;
	case QL_CLAIM_TIMED_OUT:
		return QL_REASON_DEADLINE;
	case QL_CLAIM_UNKNOWN:
		return QL_REASON_CONNECTION_LOST;
	default:
		return QL_REASON_OVERLOAD;
	}
}

static uint32_t count_bits(uint32_t mask)
{
	return (uint32_t)__builtin_popcount(mask);
}

static bool has_fast_quorum(const ql_claim_t *claim, uint32_t mask)
{
	uint32_t i, set;

	for (i = 0; i < claim->opts.n_sets; i++) {
		set = claim->opts.sets[i];
		if (count_bits(mask & set) <
		    claim->opts.rules->fast_quorum(count_bits(set)))
			return false;
	}
	return true;
}

static bool has_majority(const ql_claim_t *claim, uint32_t mask)
{
	uint32_t i, set, n_voted;

	for (i = 0; i < claim->opts.n_sets; i++) {
		set = claim->opts.sets[i];
		n_voted = count_bits(claim->voted & set);
		if (count_bits(mask & set) <
		    claim->opts.rules->majority(count_bits(set), n_voted))
			return false;
	}
	return true;
}

static bool same_claimant(const ql_attempt_id_t *a, const ql_attempt_id_t *b)
{
	return a->request == b->request && a->attempt == b->attempt;
}

bool ql_claim__same_value(const ql_claim_value_t *a, const ql_claim_value_t *b)
{
	return a->kind == b->kind && same_claimant(&a->claimant, &b->claimant);
}

int ql_claim__compare_ballots(const ql_claim_ballot_t *a,
			      const ql_claim_ballot_t *b)
{
	if (a->round != b->round)
		return a->round < b->round ? -1 : 1;
	if (a->proposer != b->proposer)
		return a->proposer < b->proposer ? -1 : 1;
	return 0;
}

static bool has_same_fingerprint(const ql_claim_value_t *a,
				 const ql_claim_value_t *b)
{
	return a->fingerprint[0] == b->fingerprint[0] &&
	       a->fingerprint[1] == b->fingerprint[1];
}

static uint32_t all_keepers(const ql_claim_t *claim)
{
	return (1u << claim->opts.n_keepers) - 1;
}

static ql_claim_action_t finish(ql_claim_t *claim, ql_claim_result_t result)
{
	claim->result = result;
	return QL_CLAIM_DONE;
}

static ql_claim_action_t start_step(ql_claim_t *claim, ql_claim_op_t op)
{
	claim->request.op = op;
	claim->step++;
	claim->granted = 0;
	claim->voted = 0;
	claim->completed = 0;
	return QL_CLAIM_SEND;
}

/* Starts round 0 of a generation: proposes the value of this copy. */
static ql_claim_action_t start_generation(ql_claim_t *claim,
					  uint32_t generation)
{
	claim->request.generation = generation;
	claim->request.value = claim->opts.value;
	memset(&claim->request.ballot, 0, sizeof(claim->request.ballot));
	memset(&claim->forfeited_claimant, 0,
	       sizeof(claim->forfeited_claimant));
	claim->round_seen = 0;
	return start_step(claim, QL_CLAIM_OP_ACCEPT);
}

static ql_claim_action_t prepare_next_round(ql_claim_t *claim)
{
	if (++claim->rounds > QL_CLAIM_ROUNDS_MAX)
		return finish(claim, QL_CLAIM_NO_QUORUM);
	if (claim->generation_seen > claim->request.generation) {
		claim->request.generation = claim->generation_seen;
		memset(&claim->forfeited_claimant, 0,
		       sizeof(claim->forfeited_claimant));
	}
	claim->request.ballot.round = claim->round_seen + 1;
	claim->request.ballot.proposer = claim->proposer;
	return start_step(claim, QL_CLAIM_OP_PREPARE);
}

void ql_claim_init(ql_claim_t *claim, const ql_claim_opts_t *opts,
		   uint64_t now_us)
{
	g_assert(opts->n_keepers <= QL_KEEPERS_MAX);
	memset(claim, 0, sizeof(*claim));
	claim->opts = *opts;
	claim->start_us = now_us;
	claim->proposer = opts->value.claimant.attempt;
	g_strlcpy(claim->request.key, opts->key, QL_KEY_MAX);
	if (opts->value.kind == QL_CLAIM_SEAL)
		memset(&claim->opts.value.claimant, 0,
		       sizeof(claim->opts.value.claimant));
	start_generation(claim, 0);
}

void ql_claim_finish(ql_claim_t *claim)
{
	if (claim->answer)
		g_bytes_unref(claim->answer);
}

/*
 * Finds the value that may have been chosen in round 0: the one accepted by
 * keepers in claim->granted that form a fast quorum together with all keepers
 * in the mask unseen, whose votes are not known. Returns NULL if there is none.
 */
static const ql_claim_value_t *find_fast_choice(const ql_claim_t *claim,
						uint32_t unseen)
{
	uint32_t i, j, supporters;
	const ql_claim_value_t *value;

	for (i = 0; i < claim->opts.n_keepers; i++) {
		value = &claim->replies[i].value;
		if (!(claim->granted >> i & 1) || value->kind == QL_CLAIM_NONE)
			continue;
		supporters = unseen;
		for (j = 0; j < claim->opts.n_keepers; j++)
			if (claim->granted >> j & 1 &&
			    ql_claim__same_value(value,
						 &claim->replies[j].value))
				supporters |= 1u << j;
		if (has_fast_quorum(claim, supporters))
			return value;
	}
	return NULL;
}

/*
 * Returns the value to propose in a prepared round: the one that may already
 * have been chosen, or that of this copy if none can have been.
 */
static const ql_claim_value_t *choose_proposal(const ql_claim_t *claim)
{
	const ql_claim_reply_t *reply, *highest = NULL;
	const ql_claim_value_t *value;
	uint32_t i;

	for (i = 0; i < claim->opts.n_keepers; i++) {
		reply = &claim->replies[i];
		if (!(claim->granted >> i & 1) ||
		    reply->value.kind == QL_CLAIM_NONE)
			continue;
		if (!highest ||
		    ql_claim__compare_ballots(&reply->accepted,
					      &highest->accepted) > 0)
			highest = reply;
	}
	if (!highest)
		return &claim->opts.value;
	if (highest->accepted.round)
		return &highest->value;
	value = find_fast_choice(claim, all_keepers(claim) & ~claim->granted);
	return value ? value : &claim->opts.value;
}

static ql_claim_action_t propose(ql_claim_t *claim)
{
	claim->request.value = *choose_proposal(claim);
	return start_step(claim, QL_CLAIM_OP_ACCEPT);
}

static uint64_t oldest_age_ms(const ql_claim_t *claim,
			      const ql_claim_value_t *value)
{
	uint64_t age_ms = 0;
	uint32_t i;

	for (i = 0; i < claim->opts.n_keepers; i++)
		if (claim->voted >> i & 1 &&
		    ql_claim__same_value(&claim->replies[i].value, value))
			age_ms = MAX(age_ms, claim->replies[i].age_ms);
	return age_ms;
}

static ql_claim_action_t finish_lost(ql_claim_t *claim,
				     const ql_claim_value_t *value)
{
	if (same_claimant(&claim->forfeited_claimant, &value->claimant))
		return start_generation(claim, claim->request.generation + 1);
	if (oldest_age_ms(claim, value) > value->lease_ms)
		return finish(claim, QL_CLAIM_UNKNOWN);
	return finish(claim, QL_CLAIM_IN_PROGRESS);
}

/* Ends the claim by the chosen value, which is final in its generation. */
static ql_claim_action_t finish_chosen(ql_claim_t *claim,
				       const ql_claim_value_t *chosen)
{
	ql_claim_value_t value = *chosen;

	if (value.kind == QL_CLAIM_SEAL)
		return finish(claim, QL_CLAIM_SEALED);
	if (ql_claim__same_value(&value, &claim->opts.value))
		return finish(claim, QL_CLAIM_WON);
	if (!has_same_fingerprint(&value, &claim->opts.value))
		return finish(claim, QL_CLAIM_CONFLICT);
	return finish_lost(claim, &value);
}

/*
 * The step has no quorum: starts a higher round, or ends the claim if no
 * majority voted.
 */
static ql_claim_action_t retry_or_fail(ql_claim_t *claim)
{
	if (has_majority(claim, claim->voted))
		return prepare_next_round(claim);
	return finish(claim, claim->keeper_full ? QL_CLAIM_KEEPERS_FULL
						: QL_CLAIM_NO_QUORUM);
}

static ql_claim_action_t evaluate_fast_round(ql_claim_t *claim)
{
	const ql_claim_value_t *value;
	uint32_t i;

	if (has_fast_quorum(claim, claim->granted))
		return finish_chosen(claim, &claim->opts.value);
	if (claim->completed != all_keepers(claim))
		return QL_CLAIM_WAIT;
	/*
	 * The votes of round 0 show a retry which value was chosen, without a
	 * prepared round, unless a vote is from another round or generation.
	 */
	for (i = 0; i < claim->opts.n_keepers; i++)
		if (claim->voted >> i & 1 &&
		    (claim->replies[i].accepted.round ||
		     claim->replies[i].generation != claim->request.generation))
			return retry_or_fail(claim);
	claim->granted = claim->voted;
	value = find_fast_choice(claim, 0);
	return value ? finish_chosen(claim, value) : retry_or_fail(claim);
}

static ql_claim_action_t evaluate_step(ql_claim_t *claim)
{
	uint32_t outstanding = all_keepers(claim) & ~claim->completed;

	if (claim->request.op == QL_CLAIM_OP_ACCEPT &&
	    !claim->request.ballot.round)
		return evaluate_fast_round(claim);
	if (has_majority(claim, claim->granted)) {
		if (claim->request.op == QL_CLAIM_OP_PREPARE)
			return propose(claim);
		return finish_chosen(claim, &claim->request.value);
	}
	return outstanding ? QL_CLAIM_WAIT : retry_or_fail(claim);
}

/*
 * Returns the result that a single reply shows: there is only one holder of a
 * claim, so that its note is final. QL_CLAIM_PENDING if more votes are needed.
 */
static ql_claim_result_t result_from_reply(const ql_claim_t *claim,
					   const ql_claim_reply_t *reply)
{
	if (reply->value.kind != QL_CLAIM_RUN)
		return QL_CLAIM_PENDING;
	if (!has_same_fingerprint(&reply->value, &claim->opts.value))
		return QL_CLAIM_CONFLICT;
	if (reply->note == QL_CLAIM_NOTE_ANSWERED)
		return reply->answer ? QL_CLAIM_ANSWERED : QL_CLAIM_UNKNOWN;
	if (reply->note == QL_CLAIM_NOTE_ANSWER_NOT_STORED)
		return QL_CLAIM_UNKNOWN;
	return QL_CLAIM_PENDING;
}

static void record_reply(ql_claim_t *claim, uint32_t keeper,
			 const ql_claim_reply_t *reply)
{
	claim->completed |= 1u << keeper;
	if (!reply)
		return;
	claim->keeper_full |= reply->status == QL_CLAIM_FULL;
	if (reply->status != QL_CLAIM_GRANTED &&
	    reply->status != QL_CLAIM_REJECTED)
		return;
	claim->replies[keeper] = *reply;
	claim->replies[keeper].answer = NULL;
	claim->voted |= 1u << keeper;
	if (reply->status == QL_CLAIM_GRANTED)
		claim->granted |= 1u << keeper;
	claim->generation_seen = MAX(claim->generation_seen, reply->generation);
	claim->round_seen = MAX(claim->round_seen, reply->promised.round);
	if (reply->generation == claim->request.generation &&
	    reply->value.kind == QL_CLAIM_RUN &&
	    claim->opts.rules->is_forfeited(reply))
		claim->forfeited_claimant = reply->value.claimant;
}

ql_claim_action_t ql_claim_handle_reply(ql_claim_t *claim, uint32_t step,
					uint32_t keeper,
					const ql_claim_reply_t *reply,
					uint64_t now_us)
{
	ql_claim_result_t result;

	g_assert(keeper < claim->opts.n_keepers);
	if (claim->result != QL_CLAIM_PENDING)
		return QL_CLAIM_DONE;
	if (step != claim->step || claim->completed >> keeper & 1)
		return QL_CLAIM_WAIT;
	if (now_us - claim->start_us >= QL_CLAIM_START_MAX_US)
		return finish(claim, QL_CLAIM_TIMED_OUT);
	record_reply(claim, keeper, reply);
	result = reply ? result_from_reply(claim, reply) : QL_CLAIM_PENDING;
	if (result == QL_CLAIM_ANSWERED)
		claim->answer = g_bytes_ref(reply->answer);
	if (result != QL_CLAIM_PENDING)
		return finish(claim, result);
	return evaluate_step(claim);
}

ql_claim_action_t ql_claim_stop_waiting(ql_claim_t *claim, uint64_t now_us)
{
	if (claim->result != QL_CLAIM_PENDING)
		return QL_CLAIM_DONE;
	if (now_us - claim->start_us >= QL_CLAIM_START_MAX_US)
		return finish(claim, QL_CLAIM_TIMED_OUT);
	if (!has_majority(claim, claim->voted))
		return QL_CLAIM_WAIT;
	claim->completed = all_keepers(claim);
	return evaluate_step(claim);
}

void ql_claim_give_up(ql_claim_t *claim)
{
	if (claim->result == QL_CLAIM_PENDING)
		claim->result = QL_CLAIM_NO_QUORUM;
}

void ql_claim_build_note(const ql_claim_t *claim, ql_claim_request_t *request,
			 ql_claim_note_t note, GBytes *answer)
{
	memset(request, 0, sizeof(*request));
	request->op = QL_CLAIM_OP_NOTE;
	g_strlcpy(request->key, claim->opts.key, QL_KEY_MAX);
	request->generation = claim->request.generation;
	request->value = claim->opts.value;
	request->note = note;
	request->answer = answer;
}
