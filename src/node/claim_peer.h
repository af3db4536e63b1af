#ifndef QL_NODE_CLAIM_PEER_H
#define QL_NODE_CLAIM_PEER_H

/**
 * DOC: The thread that talks to one keeper.
 */

#include "node/claim_service.h"
#include "quetzalloft/ring.h"

G_BEGIN_DECLS

/**
 * struct ql_claim_job - A message to a keeper.
 * @session: the claim that sends it; holds a reference
 * @step: of the claim
 * @keeper: number of the keeper in the claim
 * @request: the message; its answer is owned
 */
typedef struct ql_claim_job {
	ql_claim_session_t *session;
	uint32_t step;
	uint32_t keeper;
	ql_claim_request_t request;
} ql_claim_job_t;

typedef struct ql_claim_peer ql_claim_peer_t;

/**
 * ql_claim_peer_new() - Start the thread of a keeper.
 * @service: the service
 * @address: "IP:port" of the keeper
 *
 * Return: the peer, or NULL when a resource is missing.
 */
ql_claim_peer_t *ql_claim_peer_new(ql_claim_service_t *service,
				   const char *address);

/**
 * ql_claim_peer_free() - End the thread; what waits fails.
 * @peer: the peer; the service is stopping
 */
void ql_claim_peer_free(ql_claim_peer_t *peer);

/**
 * ql_claim_peer_post() - Send a message.
 * @peer: the peer
 * @job: the message; owned from now on. It fails when too many wait.
 */
void ql_claim_peer_post(ql_claim_peer_t *peer, ql_claim_job_t *job);

/**
 * ql_claim_job_complete() - Hand the reply to the claim and free the message.
 * @job: the message
 * @reply: the reply, whose answer is owned from now on, or NULL when the keeper
 * was not reached
 */
void ql_claim_job_complete(ql_claim_job_t *job, const ql_claim_reply_t *reply);

G_END_DECLS

#endif
