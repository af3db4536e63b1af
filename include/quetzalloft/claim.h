#ifndef QUETZALLOFT_CLAIM_H
#define QUETZALLOFT_CLAIM_H

/**
 * DOC: Claims on idempotency keys. A copy of a keyed request runs only after
 * its claim was chosen by a majority of the keepers of its key, so that at
 * most one copy runs. Choosing is a single-decree agreement: round 0 is open
 * to every copy and needs a larger quorum; later rounds prepare first and
 * carry on whatever may have been chosen before. A claim whose holder
 * forfeited it opens the next generation of the key; a sealed key stays shut.
 */

#include "quetzalloft/types.h"

#include <stddef.h>

G_BEGIN_DECLS

/** Keepers of a key, two sets of five while the keepers change. */
#define QL_KEEPERS_MAX 10
/** Sets of keepers: the present one and the one before. */
#define QL_KEEPER_SETS_MAX 2
/** Time from the first message of a claim to the start of the run. */
#define QL_CLAIM_START_MAX_US 10000000ULL
/** Rounds that one copy tries. */
#define QL_CLAIM_ROUNDS_MAX 16u
/** Longest answer that a keeper stores. */
#define QL_CLAIM_ANSWER_MAX_BYTES 65536u

/**
 * struct ql_claim_ballot - A round of the agreement.
 * @round: 0 is open to all copies
 * @proposer: who leads a later round
 */
typedef struct ql_claim_ballot {
	uint64_t round;
	uint64_t proposer;
} ql_claim_ballot_t;

/**
 * enum ql_claim_kind - What a copy wants for its key.
 * @QL_CLAIM_NONE: nothing was accepted yet
 * @QL_CLAIM_RUN: to run
 * @QL_CLAIM_SEAL: that no copy runs any more
 */
typedef enum ql_claim_kind {
	QL_CLAIM_NONE,
	QL_CLAIM_RUN,
	QL_CLAIM_SEAL,
	QL_N_CLAIM_KINDS,
} ql_claim_kind_t;

/**
 * struct ql_claim_value - What the keepers agree on.
 * @kind: to run or to seal
 * @claimant: identity of the claim; zeros for a seal
 * @fingerprint: hash of method, target, body and client scope
 * @lease_ms: time after which no answer is expected any more
 */
typedef struct ql_claim_value {
	ql_claim_kind_t kind;
	ql_attempt_id_t claimant;
	uint64_t fingerprint[2];
	uint32_t lease_ms;
} ql_claim_value_t;

/**
 * enum ql_claim_note - What the holder of a claim said of it.
 * @QL_CLAIM_NOTE_NONE: nothing
 * @QL_CLAIM_NOTE_FORFEITED: it did not run and never will
 * @QL_CLAIM_NOTE_ANSWERED: it ran; the answer is stored
 * @QL_CLAIM_NOTE_ANSWER_NOT_STORED: it ran; there was no room for the answer
 */
typedef enum ql_claim_note {
	QL_CLAIM_NOTE_NONE,
	QL_CLAIM_NOTE_FORFEITED,
	QL_CLAIM_NOTE_ANSWERED,
	QL_CLAIM_NOTE_ANSWER_NOT_STORED,
	QL_N_CLAIM_NOTES,
} ql_claim_note_t;

/**
 * enum ql_claim_op - Messages to a keeper.
 * @QL_CLAIM_OP_PREPARE: promise to accept no lower ballot
 * @QL_CLAIM_OP_ACCEPT: accept a value
 * @QL_CLAIM_OP_NOTE: store what the holder says
 */
typedef enum ql_claim_op {
	QL_CLAIM_OP_PREPARE,
	QL_CLAIM_OP_ACCEPT,
	QL_CLAIM_OP_NOTE,
	QL_N_CLAIM_OPS,
} ql_claim_op_t;

/**
 * struct ql_claim_request - A message to a keeper.
 * @op: what is asked
 * @key: idempotency key
 * @generation: of the key
 * @ballot: of a prepare or an accept
 * @value: to accept; for a note, whose claim it is
 * @note: what the holder says
 * @answer: the answer of the endpoint; borrowed, may be NULL
 */
typedef struct ql_claim_request {
	ql_claim_op_t op;
	char key[QL_KEY_MAX];
	uint32_t generation;
	ql_claim_ballot_t ballot;
	ql_claim_value_t value;
	ql_claim_note_t note;
	GBytes *answer;
} ql_claim_request_t;

/**
 * enum ql_claim_status - What a keeper did with a message.
 * @QL_CLAIM_GRANTED: as it was asked
 * @QL_CLAIM_REJECTED: another ballot, generation or value stands against it
 * @QL_CLAIM_ABSTAINED: it restarted and may have forgotten votes
 * @QL_CLAIM_FULL: it has no room for another key
 */
typedef enum ql_claim_status {
	QL_CLAIM_GRANTED,
	QL_CLAIM_REJECTED,
	QL_CLAIM_ABSTAINED,
	QL_CLAIM_FULL,
	QL_N_CLAIM_STATUSES,
} ql_claim_status_t;

/**
 * struct ql_claim_reply - The state of the key at one keeper.
 * @status: what became of the message
 * @generation: of the key
 * @promised: lowest ballot that may still be accepted
 * @accepted: ballot of @value
 * @value: the accepted value
 * @note: what its holder said
 * @age_ms: time since this keeper accepted it first
 * @answer: the stored answer; borrowed until the keeper's next event
 */
typedef struct ql_claim_reply {
	ql_claim_status_t status;
	uint32_t generation;
	ql_claim_ballot_t promised;
	ql_claim_ballot_t accepted;
	ql_claim_value_t value;
	ql_claim_note_t note;
	uint64_t age_ms;
	GBytes *answer;
} ql_claim_reply_t;

/**
 * enum ql_claim_result - How a claim ended.
 * @QL_CLAIM_PENDING: it has not ended
 * @QL_CLAIM_WON: this copy, and no other, may run
 * @QL_CLAIM_SEALED: no copy ran and none will
 * @QL_CLAIM_ANSWERED: another copy ran, here is its answer
 * @QL_CLAIM_IN_PROGRESS: another copy holds the claim
 * @QL_CLAIM_UNKNOWN: another copy held it and may have run
 * @QL_CLAIM_CONFLICT: the key was used with another request
 * @QL_CLAIM_NO_QUORUM: no majority answered
 * @QL_CLAIM_KEEPERS_FULL: keepers have no room for another key
 * @QL_CLAIM_TIMED_OUT: it took longer than QL_CLAIM_START_MAX_US
 */
typedef enum ql_claim_result {
	QL_CLAIM_PENDING,
	QL_CLAIM_WON,
	QL_CLAIM_SEALED,
	QL_CLAIM_ANSWERED,
	QL_CLAIM_IN_PROGRESS,
	QL_CLAIM_UNKNOWN,
	QL_CLAIM_CONFLICT,
	QL_CLAIM_NO_QUORUM,
	QL_CLAIM_KEEPERS_FULL,
	QL_CLAIM_TIMED_OUT,
} ql_claim_result_t;

typedef struct ql_keeper ql_keeper_t;

/**
 * struct ql_claim_rules - What the safety of claims rests on.
 * @may_vote: whether a keeper remembers all votes that still count
 * @majority: size of a quorum, of the configured and of the answering keepers
 * @fast_quorum: size of a quorum of round 0; two of them and a majority have
 *               a keeper in common
 * @is_forfeited: whether the claim in a reply certainly never runs
 * @outcome: what the caller of a copy that did not run is told
 */
typedef struct ql_claim_rules {
	bool (*may_vote)(const ql_keeper_t *keeper, uint64_t now_us);
	uint32_t (*majority)(uint32_t n_members, uint32_t n_voted);
	uint32_t (*fast_quorum)(uint32_t n_members);
	bool (*is_forfeited)(const ql_claim_reply_t *reply);
	ql_outcome_t (*outcome)(ql_claim_result_t result);
} ql_claim_rules_t;

extern const ql_claim_rules_t ql_claim_rules;

/**
 * struct ql_keeper_opts - Settings of a keeper.
 * @rules: usually &ql_claim_rules
 * @retention_us: how long a key is remembered after the last vote on it
 * @keys_max: most keys
 * @answers_max_bytes: most bytes of stored answers
 */
typedef struct ql_keeper_opts {
	const ql_claim_rules_t *rules;
	uint64_t retention_us;
	uint32_t keys_max;
	uint64_t answers_max_bytes;
} ql_keeper_opts_t;

/**
 * struct ql_keeper - The votes of one keeper, in memory only.
 * @opts: settings
 * @start_us: when it started
 * @votes_from_us: it is silent before, since it may have forgotten votes
 * @records: by key
 * @lru: records, the one voted on least lately first
 * @answers_bytes: bytes of the stored answers
 * @refused_full: keys refused for lack of room
 */
struct ql_keeper {
	ql_keeper_opts_t opts;
	uint64_t start_us;
	uint64_t votes_from_us;
	GHashTable *records;
	GQueue lru;
	uint64_t answers_bytes;
	uint64_t refused_full;
};

/**
 * ql_keeper_init() - Start a keeper without memory.
 * @keeper: the keeper
 * @opts: settings
 * @now_us: the time; it votes after @opts->retention_us
 */
void ql_keeper_init(ql_keeper_t *keeper, const ql_keeper_opts_t *opts,
		    uint64_t now_us);
void ql_keeper_finish(ql_keeper_t *keeper);

/**
 * ql_keeper_set_retention() - Follow the retention of the configuration.
 * @keeper: the keeper
 * @retention_us: how long a key is remembered; also how long after its start
 *                the keeper is silent
 */
void ql_keeper_set_retention(ql_keeper_t *keeper, uint64_t retention_us);

/**
 * ql_keeper_handle() - Answer a message.
 * @keeper: the keeper
 * @request: the message
 * @reply: the answer
 * @now_us: the time
 */
void ql_keeper_handle(ql_keeper_t *keeper, const ql_claim_request_t *request,
		      ql_claim_reply_t *reply, uint64_t now_us);

/**
 * struct ql_claim_opts - A copy and the keepers of its key.
 * @rules: usually &ql_claim_rules
 * @key: idempotency key
 * @value: what the copy wants; its claimant is never used twice
 * @n_keepers: keepers in all sets
 * @sets: bits of the keepers in each set; all sets must agree
 * @n_sets: 1, or 2 while the keepers change
 */
typedef struct ql_claim_opts {
	const ql_claim_rules_t *rules;
	char key[QL_KEY_MAX];
	ql_claim_value_t value;
	uint32_t n_keepers;
	uint32_t sets[QL_KEEPER_SETS_MAX];
	uint32_t n_sets;
} ql_claim_opts_t;

/**
 * enum ql_claim_action - What to do after an event.
 * @QL_CLAIM_WAIT: wait for more replies
 * @QL_CLAIM_SEND: send @request of the claim to every keeper
 * @QL_CLAIM_DONE: @result of the claim is final
 */
typedef enum ql_claim_action {
	QL_CLAIM_WAIT,
	QL_CLAIM_SEND,
	QL_CLAIM_DONE,
} ql_claim_action_t;

/**
 * struct ql_claim - One copy on its way to a claim or a seal.
 * @opts: the copy and the keepers
 * @request: the message of the present step
 * @step: number of the present step; replies carry it back
 * @rounds: rounds that were prepared
 * @start_us: when it began
 * @proposer: leads the rounds that this copy prepares
 * @granted: bits of the keepers that granted the present step
 * @voted: bits of those that voted on it, for or against
 * @completed: bits of those that answered or failed
 * @replies: replies to the present step
 * @generation_seen: highest generation among all replies
 * @round_seen: highest round among all replies
 * @forfeited_claimant: claimant that certainly never runs in the present
 * generation
 * @keeper_full: whether a keeper was full
 * @result: how it ended
 * @answer: of the copy that ran; owned
 */
typedef struct ql_claim {
	ql_claim_opts_t opts;
	ql_claim_request_t request;
	uint32_t step;
	uint32_t rounds;
	uint64_t start_us;
	uint64_t proposer;
	uint32_t granted;
	uint32_t voted;
	uint32_t completed;
	ql_claim_reply_t replies[QL_KEEPERS_MAX];
	uint32_t generation_seen;
	uint64_t round_seen;
	ql_attempt_id_t forfeited_claimant;
	bool keeper_full;
	ql_claim_result_t result;
	GBytes *answer;
} ql_claim_t;

/**
 * ql_claim_init() - Begin; @request is to be sent to every keeper.
 * @claim: the claim
 * @opts: the copy and the keepers
 * @now_us: the time
 */
void ql_claim_init(ql_claim_t *claim, const ql_claim_opts_t *opts,
		   uint64_t now_us);
void ql_claim_finish(ql_claim_t *claim);

/**
 * ql_claim_handle_reply() - Take the reply of a keeper.
 * @claim: the claim
 * @step: the step that it answers; one of an earlier step is ignored
 * @keeper: number of the keeper
 * @reply: the reply, or NULL when the keeper was not reached
 * @now_us: the time
 *
 * Return: what to do next.
 */
ql_claim_action_t ql_claim_handle_reply(ql_claim_t *claim, uint32_t step,
					uint32_t keeper,
					const ql_claim_reply_t *reply,
					uint64_t now_us);

/**
 * ql_claim_stop_waiting() - Go on without the keepers that have not answered.
 * @claim: the claim
 * @now_us: the time
 *
 * Nothing happens while less than a majority has answered.
 *
 * Return: what to do next.
 */
ql_claim_action_t ql_claim_stop_waiting(ql_claim_t *claim, uint64_t now_us);

/**
 * ql_claim_give_up() - End a claim that was not decided in time.
 * @claim: the claim; it ends as QL_CLAIM_NO_QUORUM
 */
void ql_claim_give_up(ql_claim_t *claim);

/**
 * ql_claim_build_note() - Build the message that ends a claim to run.
 * @claim: the claim
 * @request: the message, to be sent to every keeper
 * @note: QL_CLAIM_NOTE_FORFEITED when this copy did not run and never will,
 *        also after a claim that was not won; QL_CLAIM_NOTE_ANSWERED
 * @answer: the answer; borrowed
 */
void ql_claim_build_note(const ql_claim_t *claim, ql_claim_request_t *request,
			 ql_claim_note_t note, GBytes *answer);

/**
 * ql_claim_reason() - Why a copy did not run.
 * @result: how its claim ended
 *
 * Return: the reason for the caller.
 */
ql_reason_t ql_claim_reason(ql_claim_result_t result);

G_END_DECLS

#endif
