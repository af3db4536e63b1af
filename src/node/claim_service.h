#ifndef QL_NODE_CLAIM_SERVICE_H
#define QL_NODE_CLAIM_SERVICE_H

/**
 * DOC: Claims on idempotency keys over RPC. The service runs the keeper of this
 * process, and claims or seals a key at the keepers for a gate that is about to
 * run or refuse a request. For each keeper that the process sends messages to,
 * a thread with a persistent connection sends the queued messages in batches.
 */

#include "control/rpc_server.h"
#include "quetzalloft/claim.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/document.h"

#include <pthread.h>

G_BEGIN_DECLS

/** Maximum number of keepers that a process sends messages to. */
#define QL_CLAIM_PEERS_MAX 64

/**
 * struct ql_claim_service_opts - Settings of a claim service.
 * @cluster: name of the cluster
 * @node: name of this node
 * @failure_domain: failure domain of this node
 * @incarnation: incarnation of this process
 * @hlc: hybrid logical clock of the process; borrowed
 * @document: returns a new reference to the document in force
 * @data: passed to @document
 * @keys_max: maximum number of keys that the keeper stores
 * @answers_max_bytes: maximum total size of the responses that it stores
 * @clock_offset_us: added to the time of each message that the keeper handles;
 *                   makes it vote as if it had started that much earlier
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
 * struct ql_claim_service - A claim service.
 * @opts: settings
 * @keeper_lock: guards @keeper
 * @keeper: keeper of this process
 * @lock: guards @peers and @random
 * @peers: &struct ql_claim_peer by address of the keeper
 * @random: source of claim identities and of the backoff
 * @stopping: set to stop the threads of the peers; atomic
 * @results: number of finished claims by &enum ql_claim_result; atomic
 * @failed_batches: number of failed batches to keepers; atomic
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
 * ql_claim_service_init() - Initialize a service. The thread of a peer starts
 * with the first message to it.
 * @service: the service
 * @opts: settings; copied
 */
void ql_claim_service_init(ql_claim_service_t *service,
			   const ql_claim_service_opts_t *opts);

/**
 * ql_claim_service_finish() - Stop the threads and free the service.
 * @service: the service; all its claims must have ended
 */
void ql_claim_service_finish(ql_claim_service_t *service);

/**
 * ql_claim_service_program() - Fill in the RPC program of the keeper.
 * @program: program to fill, for the RPC server of the process
 * @service: the service; borrowed by @program
 */
void ql_claim_service_program(ql_rpc_program_t *program,
			      ql_claim_service_t *service);

/**
 * struct ql_claim_params - Parameters of a claim or a seal.
 * @doc: document that names the keepers; borrowed
 * @key: idempotency key
 * @fingerprint: fingerprint of the request, see ql_claim_fingerprint()
 * @kind: QL_CLAIM_RUN to claim the key before the request runs, QL_CLAIM_SEAL
 *        to seal it before the request is refused as not run
 * @deadline_us: time limit of the claim, on the clock of ql_clock_now_us()
 * @lease_ms: lease of the claim, in milliseconds; no response is expected after
 *            it
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
 * struct ql_claim_verdict - Result of a claim or a seal.
 * @result: result of the claim
 * @outcome: outcome to return to the caller if this copy does not run
 * @reason: reason to return to the caller if this copy does not run
 * @answer: stored response of the copy that ran, see ql_claim_unpack_answer(),
 *          or NULL; the caller owns a reference
 */
typedef struct ql_claim_verdict {
	ql_claim_result_t result;
	ql_outcome_t outcome;
	ql_reason_t reason;
	GBytes *answer;
} ql_claim_verdict_t;

/** struct ql_claim_session - A claim in progress or won; opaque. */
typedef struct ql_claim_session ql_claim_session_t;

/**
 * ql_claim_service_begin() - Claim or seal a key.
 * @service: the service
 * @params: parameters of the claim
 * @verdict: set to the result
 *
 * Blocks until the keepers have decided or the deadline has passed. The result
 * is QL_CLAIM_NO_QUORUM if the deadline passes first or the document names no
 * keepers.
 *
 * Return: the claim if the result is QL_CLAIM_WON; the caller must end it with
 * ql_claim_service_end(). Otherwise NULL; the request must not run.
 */
ql_claim_session_t *ql_claim_service_begin(ql_claim_service_t *service,
					   const ql_claim_params_t *params,
					   ql_claim_verdict_t *verdict);

/**
 * ql_claim_service_may_run() - Check that a won claim has not expired.
 * @session: the claim
 *
 * Call it right before the request is sent: a process that was suspended in
 * between may resume after its claim has expired.
 *
 * Return: false if the request must not run any more.
 */
bool ql_claim_service_may_run(const ql_claim_session_t *session);

/**
 * ql_claim_service_end() - End a claim and report its result to the keepers;
 * does not block.
 * @service: the service
 * @session: the claim; the reference of the caller is released
 * @note: QL_CLAIM_NOTE_ANSWERED with @answer; QL_CLAIM_NOTE_ANSWER_NOT_STORED
 *        if the response is too large to store; QL_CLAIM_NOTE_FORFEITED if the
 *        request certainly did not run; QL_CLAIM_NOTE_NONE if it may have run,
 *        for which no message is sent
 * @answer: response packed with ql_claim_pack_answer(), or NULL; ownership is
 *          taken
 */
void ql_claim_service_end(ql_claim_service_t *service,
			  ql_claim_session_t *session, ql_claim_note_t note,
			  GBytes *answer);

G_END_DECLS

#endif
