#ifndef QL_NODE_CLAIM_CODEC_H
#define QL_NODE_CLAIM_CODEC_H

/**
 * DOC: Claims and stored answers as they travel.
 */

#include "node/http_client.h"
#include "quetzalloft/claim.h"

#include "claim.h"

G_BEGIN_DECLS

/**
 * ql_claim_encode_request() - Prepare a message for sending.
 * @out: borrows from @in
 * @in: the message
 */
void ql_claim_encode_request(ql_rpc_claim_request *out,
			     const ql_claim_request_t *in);

/**
 * ql_claim_decode_request() - Check a message that came.
 * @out: the message; the caller drops its answer
 * @in: what came
 *
 * Return: 0 or QL_E_PROTOCOL.
 */
int ql_claim_decode_request(ql_claim_request_t *out,
			    const ql_rpc_claim_request *in);

/**
 * ql_claim_encode_reply() - Prepare a reply for sending.
 * @out: freed by its XDR routine
 * @in: the reply
 */
void ql_claim_encode_reply(ql_rpc_claim_reply *out, const ql_claim_reply_t *in);

/**
 * ql_claim_decode_reply() - Check a reply that came.
 * @out: the reply; the caller drops its answer
 * @in: what came
 *
 * Return: 0 or QL_E_PROTOCOL.
 */
int ql_claim_decode_reply(ql_claim_reply_t *out, const ql_rpc_claim_reply *in);

/**
 * ql_claim_pack_answer() - Turn an answer into what a keeper stores.
 * @answer: the endpoint's answer
 *
 * Return: the bytes, or NULL when they are over QL_CLAIM_ANSWER_MAX_BYTES.
 */
GBytes *ql_claim_pack_answer(const ql_http_response_t *answer);

/**
 * ql_claim_unpack_answer() - Turn back what a keeper stored.
 * @answer: the answer, empty at first
 * @bytes: what was stored
 *
 * Return: 0 or QL_E_CORRUPT.
 */
int ql_claim_unpack_answer(ql_http_response_t *answer, GBytes *bytes);

/**
 * struct ql_claim_fingerprint_input - What tells one keyed request from
 * another.
 * @method: HTTP method
 * @target: path and query
 * @scope: who the client is, such as its Authorization header; may be empty
 * @body: the body
 * @body_bytes: its length
 */
typedef struct ql_claim_fingerprint_input {
	const char *method;
	const char *target;
	const char *scope;
	const void *body;
	size_t body_bytes;
} ql_claim_fingerprint_input_t;

/**
 * ql_claim_fingerprint() - Hash what tells a request from another.
 * @out: the hash
 * @input: the request
 */
void ql_claim_fingerprint(uint64_t out[2],
			  const ql_claim_fingerprint_input_t *input);

G_END_DECLS

#endif
