#ifndef QL_NODE_CLAIM_SERVICE_H
#define QL_NODE_CLAIM_SERVICE_H

/**
 * DOC: Claims on idempotency keys over RPC: the keeper of this process, and
 * the calls by which a gate claims or seals a key before it runs or refuses a
 * request. Each keeper that this process asks has a thread with a kept
 * connection, which sends what waits for it as one batch.
 */

#include "control/rpc_server.h"
#include "quetzalloft/claim.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/document.h"

#include <pthread.h>

G_BEGIN_DECLS

/** Keepers that one process asks at the most. */
#define QL_CLAIM_PEERS_MAX 64

/**
 * struct ql_claim_service_opts - Settings.
 * @cluster: name of the cluster
 * @node: name of this node
 * @failure_domain: where it is
 * @incarnation: start of this process
 * @hlc: clock of the time line; borrowed
 * @document: the configuration in force, with a reference
 * @data: passed to @document
 * @keys_max: most keys that the keeper remembers
 * @answers_max_bytes: most bytes of answers that it stores
 * @kept_us: how long this process has kept claims already
 */
typedef struct ql_claim_service_opts {
	char cluster[QL_NAME_MAX];
	char node[QL_NAME_MAX];
	char failure_domain[QL_NAME_MAX];
	uint64_t incarnation;
	ql_hlc_t *hlc;
	ql_document_t *(*document)(void *data);
	void *data;
	uint32_t keys_max;
	uint64_t answers_max_bytes;
	uint64_t clock_offset_us;
} ql_claim_service_opts_t;

/**
 * struct ql_claim_service - The service.
 * @opts: settings
 * @keeper_lock: guards @keeper
 * @keeper: the votes of this process
 * @lock: guards @peers and @random
 * @peers: threads that talk to a keeper, by its address
 * @random: source of identities and backoff
 * @stopping: set to end the threads
 * @results: claims by &enum ql_claim_result
 * @failed_batches: exchanges with a keeper that failed
 */
typedef struct ql_claim_service {
	ql_claim_service_opts_t opts;
	pthread_mutex_t keeper_lock;
	ql_keeper_t keeper;
	pthread_mutex_t lock;
	GHashTable *peers;
	GRand *random;
	int stopping;
	uint64_t results[QL_CLAIM_TIMED_OUT + 1];
	uint64_t failed_batches;
} ql_claim_service_t;

/**
 * ql_claim_service_init() - Prepare the service; no thread runs yet.
 * @service: the service
 * @opts: settings
 */
void ql_claim_service_init(ql_claim_service_t *service,
			   const ql_claim_service_opts_t *opts);

/**
 * ql_claim_service_finish() - End the threads.
 * @service: the service; all its claims have ended
 */
void ql_claim_service_finish(ql_claim_service_t *service);

/**
 * ql_claim_service_program() - The RPC program of the keeper.
 * @program: to be served by the process's RPC server
 * @service: the service
 */
void ql_claim_service_program(ql_rpc_program_t *program,
			      ql_claim_service_t *service);

/**
 * struct ql_claim_params - A copy of a keyed request at this gate.
 * @doc: the configuration that names the keepers
 * @key: idempotency key
 * @fingerprint: see ql_claim_fingerprint()
 * @kind: QL_CLAIM_RUN before running it, QL_CLAIM_SEAL to refuse it as
 *        not-run
 * @deadline_us: when to give up
 * @lease_ms: time that the request may run
 */
typedef struct ql_claim_params {
	ql_document_t *doc;
	const char *key;
	uint64_t fingerprint[2];
	ql_claim_kind_t kind;
	uint64_t deadline_us;
	uint32_t lease_ms;
} ql_claim_params_t;

/**
 * struct ql_claim_verdict - How a claim ended.
 * @result: the result
 * @outcome: what the caller is told when this copy does not run
 * @reason: why
 * @answer: of the copy that ran, see ql_claim_unpack_answer(); the caller
 *          drops it
 */
typedef struct ql_claim_verdict {
	ql_claim_result_t result;
	ql_outcome_t outcome;
	ql_reason_t reason;
	GBytes *answer;
} ql_claim_verdict_t;

typedef struct ql_claim_session ql_claim_session_t;

/**
 * ql_claim_service_begin() - Claim or seal a key.
 * @service: the service
 * @params: the copy
 * @verdict: how it ended
 *
 * Blocks until the keepers agreed, or the deadline. A document without keepers
 * gives QL_CLAIM_NO_QUORUM.
 *
 * Return: the won claim, to be ended with ql_claim_service_end(), when
 * @verdict is QL_CLAIM_WON; else NULL, and the copy must not run.
 */
ql_claim_session_t *ql_claim_service_begin(ql_claim_service_t *service,
					   const ql_claim_params_t *params,
					   ql_claim_verdict_t *verdict);

/**
 * ql_claim_service_may_run() - Whether a won claim still covers a start.
 * @session: the claim
 *
 * To be asked right before the request is sent: a process that was stopped in
 * between may come back after its claim has expired.
 *
 * Return: false when the copy must not run any more.
 */
bool ql_claim_service_may_run(const ql_claim_session_t *session);

/**
 * ql_claim_service_end() - End a won claim; does not block.
 * @service: the service
 * @session: the claim; freed
 * @note: QL_CLAIM_NOTE_ANSWERED with @answer; QL_CLAIM_NOTE_ANSWER_NOT_STORED
 *        when the answer is too large to store; QL_CLAIM_NOTE_FORFEITED when it
 *        surely did not run; QL_CLAIM_NOTE_NONE when it may have run
 * @answer: see ql_claim_pack_answer(), or NULL; owned from now on
 */
void ql_claim_service_end(ql_claim_service_t *service,
			  ql_claim_session_t *session, ql_claim_note_t note,
			  GBytes *answer);

G_END_DECLS

#endif
