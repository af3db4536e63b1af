#ifndef QL_NODE_CLAIM_PEER_H
#define QL_NODE_CLAIM_PEER_H

/**
 * DOC: Connection and thread that send the messages to one keeper.
 */

#include "node/claim_service.h"
#include "quetzalloft/ring.h"

G_BEGIN_DECLS

/**
 * struct ql_claim_job - A queued message to a keeper.
 * @session: claim that sends the message; the job holds a reference
 * @step: step of the claim, returned with the reply
 * @keeper: index of the keeper in the claim
 * @request: the message; its answer belongs to @session
 */
typedef struct ql_claim_job {
	ql_claim_session_t *session;
	uint32_t step;
	uint32_t keeper;
	ql_claim_request_t request;
} ql_claim_job_t;

/** struct ql_claim_peer - Connection to one keeper; opaque. */
typedef struct ql_claim_peer ql_claim_peer_t;

/**
 * ql_claim_peer_new() - Create a peer and start its thread.
 * @service: claim service; borrowed
 * @address: "IP:port" of the keeper
 *
 * Return: the peer, or NULL if the job queue cannot be created.
 */
ql_claim_peer_t *ql_claim_peer_new(ql_claim_service_t *service,
				   const char *address);

/**
 * ql_claim_peer_free() - Join the thread, fail all queued messages and free the
 * peer.
 * @peer: the peer; @stopping of its service must be set
 */
void ql_claim_peer_free(ql_claim_peer_t *peer);

/**
 * ql_claim_peer_post() - Queue a message to the keeper.
 * @peer: the peer
 * @job: the message; ownership is taken. If the queue is full, it completes at
 *       once as if the keeper were unreachable.
 */
void ql_claim_peer_post(ql_claim_peer_t *peer, ql_claim_job_t *job);

/**
 * ql_claim_job_complete() - Pass the reply to the claim and free the message.
 * @job: the message
 * @reply: reply, whose answer is released, or NULL if the keeper was not
 * reached
 */
void ql_claim_job_complete(ql_claim_job_t *job, const ql_claim_reply_t *reply);

G_END_DECLS

#endif
