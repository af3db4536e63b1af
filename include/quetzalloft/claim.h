#ifndef QUETZALLOFT_CLAIM_H
#define QUETZALLOFT_CLAIM_H

/**
 * DOC: Deduplication of requests with an idempotency key. A copy of such a
 * request, such as a retry, runs only after a quorum of the keepers of its key
 * has chosen its claim, so that at most one copy runs.
 *
 * The keepers choose by single-decree consensus in the manner of Fast Paxos.
 * Any copy may propose a value in round 0, which needs a larger quorum. A later
 * round has one proposer, which sends prepare messages first and then proposes
 * the value that may already have been chosen. If the holder of a chosen claim
 * forfeits it, the next copy starts a new generation of the key with a further
 * choice. A seal is chosen like a claim and means that no copy will ever run.
 */

#include "quetzalloft/types.h"

#include <stddef.h>

G_BEGIN_DECLS

/** Most keepers of a key: two sets of five while the keepers change. */
#define QL_KEEPERS_MAX 10
/** Most sets of keepers of a key: the current and the previous one. */
#define QL_KEEPER_SETS_MAX 2
/** Longest time from the start of a claim until its copy starts to run. */
#define QL_CLAIM_START_MAX_US 10000000ULL
/** Most rounds that one copy prepares. */
#define QL_CLAIM_ROUNDS_MAX 16u
/** Largest answer that a keeper stores. */
#define QL_CLAIM_ANSWER_MAX_BYTES 65536u

/**
 * struct ql_claim_ballot - Ballot number; ordered by round, then by proposer.
 * @round: round; in round 0 any copy may propose
 * @proposer: copy that proposes in a later round; 0 in round 0
 */
typedef struct ql_claim_ballot {
	uint64_t round;
	uint64_t proposer;
} ql_claim_ballot_t;

/**
 * enum ql_claim_kind - Kind of a value that keepers choose.
 * @QL_CLAIM_NONE: no value was accepted yet
 * @QL_CLAIM_RUN: a claim: the claimant may run the request
 * @QL_CLAIM_SEAL: a seal: no copy will run
 * @QL_N_CLAIM_KINDS: number of kinds
 */
typedef enum ql_claim_kind {
	QL_CLAIM_NONE,
	QL_CLAIM_RUN,
	QL_CLAIM_SEAL,
	QL_N_CLAIM_KINDS,
} ql_claim_kind_t;

/**
 * struct ql_claim_value - A value that keepers choose for a key.
 * @kind: claim or seal
 * @claimant: identity of the copy that claims; zeros for a seal
 * @fingerprint: hash of method, URL, body and client scope of the request
 * @lease_ms: lease of a claim, from its acceptance; no answer is expected after
 *            it
 */
typedef struct ql_claim_value {
	ql_claim_kind_t kind;
	ql_attempt_id_t claimant;
	uint64_t fingerprint[2];
	uint32_t lease_ms;
} ql_claim_value_t;

/**
 * enum ql_claim_note - Note of the holder of a claim on how the claim ended.
 * @QL_CLAIM_NOTE_NONE: the holder sent no note
 * @QL_CLAIM_NOTE_FORFEITED: the copy did not run and never will
 * @QL_CLAIM_NOTE_ANSWERED: the copy ran; its answer is stored
 * @QL_CLAIM_NOTE_ANSWER_NOT_STORED: the copy ran; its answer is not stored, for
 *                                   lack of space or because it is too large
 * @QL_N_CLAIM_NOTES: number of notes
 */
typedef enum ql_claim_note {
	QL_CLAIM_NOTE_NONE,
	QL_CLAIM_NOTE_FORFEITED,
	QL_CLAIM_NOTE_ANSWERED,
	QL_CLAIM_NOTE_ANSWER_NOT_STORED,
	QL_N_CLAIM_NOTES,
} ql_claim_note_t;

/**
 * enum ql_claim_op - Operation that a message requests from a keeper.
 * @QL_CLAIM_OP_PREPARE: promise to accept no lower ballot
 * @QL_CLAIM_OP_ACCEPT: accept a value
 * @QL_CLAIM_OP_NOTE: store the note of the holder of a claim
 * @QL_N_CLAIM_OPS: number of operations
 */
typedef enum ql_claim_op {
	QL_CLAIM_OP_PREPARE,
	QL_CLAIM_OP_ACCEPT,
	QL_CLAIM_OP_NOTE,
	QL_N_CLAIM_OPS,
} ql_claim_op_t;

/**
 * struct ql_claim_request - A message to a keeper.
 * @op: operation
 * @key: idempotency key
 * @generation: generation of the key
 * @ballot: ballot of a prepare or accept message
 * @value: value to accept; with a note, the claim that it belongs to
 * @note: note
 * @answer: packed answer of the endpoint, with QL_CLAIM_NOTE_ANSWERED; borrowed
 *          or NULL
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
 * enum ql_claim_status - Status of a message at a keeper.
 * @QL_CLAIM_GRANTED: the operation was done
 * @QL_CLAIM_REJECTED: refused because of a higher ballot, another generation or
 *                     another value
 * @QL_CLAIM_ABSTAINED: refused because the keeper restarted and may have lost
 *                      votes that still count
 * @QL_CLAIM_FULL: the keeper has no space for another key, or for the answer
 * @QL_N_CLAIM_STATUSES: number of statuses
 */
typedef enum ql_claim_status {
	QL_CLAIM_GRANTED,
	QL_CLAIM_REJECTED,
	QL_CLAIM_ABSTAINED,
	QL_CLAIM_FULL,
	QL_N_CLAIM_STATUSES,
} ql_claim_status_t;

/**
 * struct ql_claim_reply - Reply of a keeper: its state of the key.
 * @status: status of the message; all other fields are zeros if the keeper
 *          abstained or has no space for the key, and in the reply to a note
 *          all but @note
 * @generation: generation of the key
 * @promised: lowest ballot that the keeper may still accept
 * @accepted: ballot in which @value was accepted
 * @value: accepted value; QL_CLAIM_NONE if there is none
 * @note: note of the holder of the claim
 * @age_ms: time since the keeper first accepted @value
 * @answer: stored answer, or NULL; borrowed until the next call that changes
 *          the keeper
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
 * enum ql_claim_result - Result of the attempt to claim or seal a key.
 * @QL_CLAIM_PENDING: not decided yet
 * @QL_CLAIM_WON: the claim of this copy was chosen: only this copy may run
 * @QL_CLAIM_SEALED: a seal was chosen: no copy ran and none will
 * @QL_CLAIM_ANSWERED: another copy ran and its answer is stored
 * @QL_CLAIM_IN_PROGRESS: the claim of another copy was chosen and its lease has
 *                        not expired
 * @QL_CLAIM_UNKNOWN: the claim of another copy was chosen; the copy may have
 *                    run, but its lease has expired or its answer is not stored
 * @QL_CLAIM_CONFLICT: the key was used with a request that has another
 *                     fingerprint
 * @QL_CLAIM_NO_QUORUM: too few keepers voted, or no value was chosen in
 *                      QL_CLAIM_ROUNDS_MAX rounds
 * @QL_CLAIM_KEEPERS_FULL: too few keepers voted, and at least one of the others
 *                         has no space for another key
 * @QL_CLAIM_TIMED_OUT: the claim took longer than QL_CLAIM_START_MAX_US
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
 * struct ql_claim_rules - The rules that make claims safe.
 * @may_vote: whether a keeper has all its votes that still count at @now_us
 * @majority: size of a quorum in a set with @n_members keepers, of which
 *            @n_voted voted in the current step
 * @fast_quorum: size of a quorum of round 0; any two such quorums and any
 *               majority have a keeper in common
 * @is_forfeited: whether the reply shows that the accepted claim will never run
 * @outcome: outcome to return to the caller of a copy that does not run
 *
 * Production code always uses ql_claim_rules. Tests replace a rule to show that
 * their checks detect the violation.
 */
typedef struct ql_claim_rules {
	bool (*may_vote)(const ql_keeper_t *keeper, uint64_t now_us);
	uint32_t (*majority)(uint32_t n_members, uint32_t n_voted);
	uint32_t (*fast_quorum)(uint32_t n_members);
	bool (*is_forfeited)(const ql_claim_reply_t *reply);
	ql_outcome_t (*outcome)(ql_claim_result_t result);
} ql_claim_rules_t;

/** The rules of production code. */
extern const ql_claim_rules_t ql_claim_rules;

/**
 * struct ql_keeper_opts - Settings of a keeper.
 * @rules: usually &ql_claim_rules; borrowed
 * @retention_us: time that a key is kept after the last vote on it
 * @keys_max: most keys to keep
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
 * @start_us: start time
 * @votes_from_us: time before which it abstains, since it may have lost votes
 *                 in a restart
 * @records: records by key
 * @lru: records, least recently voted on first
 * @answers_bytes: bytes of the stored answers
 * @refused_full: messages refused for lack of space for another key
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
 * ql_keeper_init() - Initialize a keeper without any votes.
 * @keeper: keeper
 * @opts: settings; copied
 * @now_us: current time; the keeper abstains for @opts->retention_us from now
 */
void ql_keeper_init(ql_keeper_t *keeper, const ql_keeper_opts_t *opts,
		    uint64_t now_us);

/**
 * ql_keeper_finish() - Free the votes of a keeper.
 * @keeper: keeper
 */
void ql_keeper_finish(ql_keeper_t *keeper);

/**
 * ql_keeper_set_retention() - Set the retention of the configuration in force.
 * @keeper: keeper
 * @retention_us: time that a key is kept after the last vote on it, and for
 *                which the keeper abstains after its start
 */
void ql_keeper_set_retention(ql_keeper_t *keeper, uint64_t retention_us);

/**
 * ql_keeper_handle() - Handle a message.
 * @keeper: keeper
 * @request: message
 * @reply: set to the reply
 * @now_us: current time
 */
void ql_keeper_handle(ql_keeper_t *keeper, const ql_claim_request_t *request,
		      ql_claim_reply_t *reply, uint64_t now_us);

/**
 * struct ql_claim_opts - A copy and the keepers of its key.
 * @rules: usually &ql_claim_rules; borrowed
 * @key: idempotency key
 * @value: value that the copy proposes; its claimant must be unique, also for a
 *         seal, as it identifies the proposer
 * @n_keepers: number of keepers in all sets, at most QL_KEEPERS_MAX
 * @sets: bit mask of the keepers in each set; each set must have a quorum
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
 * enum ql_claim_action - What the caller must do next for a claim.
 * @QL_CLAIM_WAIT: wait for more replies
 * @QL_CLAIM_SEND: send &struct ql_claim.request to every keeper
 * @QL_CLAIM_DONE: nothing; &struct ql_claim.result is final
 */
typedef enum ql_claim_action {
	QL_CLAIM_WAIT,
	QL_CLAIM_SEND,
	QL_CLAIM_DONE,
} ql_claim_action_t;

/**
 * struct ql_claim - The attempt of one copy to claim or seal a key.
 * @opts: copy and keepers
 * @request: message of the current step
 * @step: number of the current step, from 1; the caller returns it with each
 *        reply
 * @rounds: number of rounds that were prepared
 * @start_us: start time
 * @proposer: proposer in the ballots that this copy prepares
 * @granted: bit mask of the keepers that granted the current step
 * @voted: bit mask of the keepers that granted or rejected it
 * @completed: bit mask of the keepers that replied or were not reached, and of
 *             those that are not waited for
 * @replies: replies to the current step, by number of the keeper; only those in
 *           @voted are valid
 * @generation_seen: highest generation in all replies
 * @round_seen: highest round in all replies since this copy last proposed in a
 *              round 0
 * @forfeited_claimant: claimant of the current generation that will never run;
 *                      zeros if none is known
 * @keeper_full: a keeper had no space for another key
 * @result: result
 * @answer: answer of the copy that ran, with QL_CLAIM_ANSWERED; owned
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
 * ql_claim_init() - Start a claim or a seal.
 * @claim: claim; the caller must send @claim->request to every keeper
 * @opts: copy and keepers; copied
 * @now_us: current time
 */
void ql_claim_init(ql_claim_t *claim, const ql_claim_opts_t *opts,
		   uint64_t now_us);

/**
 * ql_claim_finish() - Free the resources of a claim.
 * @claim: claim
 */
void ql_claim_finish(ql_claim_t *claim);

/**
 * ql_claim_handle_reply() - Handle the reply of a keeper.
 * @claim: claim
 * @step: step of the request; a reply to an earlier step is ignored
 * @keeper: number of the keeper, from 0
 * @reply: reply, or NULL if the keeper was not reached
 * @now_us: current time
 *
 * Return: what the caller must do next.
 */
ql_claim_action_t ql_claim_handle_reply(ql_claim_t *claim, uint32_t step,
					uint32_t keeper,
					const ql_claim_reply_t *reply,
					uint64_t now_us);

/**
 * ql_claim_stop_waiting() - Continue without the keepers that have not replied.
 * @claim: claim
 * @now_us: current time
 *
 * Has no effect until a majority of each set of keepers has voted.
 *
 * Return: what the caller must do next.
 */
ql_claim_action_t ql_claim_stop_waiting(ql_claim_t *claim, uint64_t now_us);

/**
 * ql_claim_give_up() - End a claim that was not decided in time.
 * @claim: claim; if it is pending, its result becomes QL_CLAIM_NO_QUORUM
 */
void ql_claim_give_up(ql_claim_t *claim);

/**
 * ql_claim_build_note() - Build the note on how a claim ended.
 * @claim: claim of kind QL_CLAIM_RUN
 * @request: set to the message, to be sent to every keeper
 * @note: QL_CLAIM_NOTE_FORFEITED if the copy did not run and never will, also
 *        if the claim was not won; otherwise how the copy that ran ended
 * @answer: packed answer, with QL_CLAIM_NOTE_ANSWERED; borrowed; may be NULL
 */
void ql_claim_build_note(const ql_claim_t *claim, ql_claim_request_t *request,
			 ql_claim_note_t note, GBytes *answer);

/**
 * ql_claim_reason() - Get the reason to return for a copy that does not run.
 * @result: result of its claim
 *
 * Return: the reason; QL_REASON_OVERLOAD if there is no more specific one.
 */
ql_reason_t ql_claim_reason(ql_claim_result_t result);

G_END_DECLS

#endif
