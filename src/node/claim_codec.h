#ifndef QL_NODE_CLAIM_CODEC_H
#define QL_NODE_CLAIM_CODEC_H

/**
 * DOC: Wire format of claim messages, storage format of responses, and
 * fingerprints of keyed requests.
 */

#include "node/http_client.h"
#include "quetzalloft/claim.h"

#include "claim.h"

G_BEGIN_DECLS

/**
 * ql_claim_encode_request() - Encode a message to a keeper.
 * @out: set to the wire format; borrows the key and the answer of @in
 * @in: the message
 */
void ql_claim_encode_request(ql_rpc_claim_request *out,
			     const ql_claim_request_t *in);

/**
 * ql_claim_decode_request() - Decode and validate a message to a keeper.
 * @out: set to the message; the caller releases its answer
 * @in: received wire format
 *
 * Return: 0, or QL_E_PROTOCOL if a member is out of range.
 */
int ql_claim_decode_request(ql_claim_request_t *out,
			    const ql_rpc_claim_request *in);

/**
 * ql_claim_encode_reply() - Encode the reply of a keeper.
 * @out: set to the wire format; free it with xdr_free()
 * @in: the reply; its answer is copied
 */
void ql_claim_encode_reply(ql_rpc_claim_reply *out, const ql_claim_reply_t *in);

/**
 * ql_claim_decode_reply() - Decode and validate the reply of a keeper.
 * @out: set to the reply; the caller releases its answer
 * @in: received wire format
 *
 * Return: 0, or QL_E_PROTOCOL if a member is out of range.
 */
int ql_claim_decode_reply(ql_claim_reply_t *out, const ql_rpc_claim_reply *in);

/**
 * ql_claim_pack_answer() - Pack a response into the format that keepers store.
 * @answer: response of the endpoint
 *
 * Return: the packed response, or NULL if it is longer than
 * QL_CLAIM_ANSWER_MAX_BYTES or has more than QL_RPC_STORED_HEADERS_MAX headers.
 */
GBytes *ql_claim_pack_answer(const ql_http_response_t *answer);

/**
 * ql_claim_unpack_answer() - Unpack a response that a keeper stored.
 * @answer: filled with the response; must be empty
 * @bytes: packed response
 *
 * Return: 0, or QL_E_CORRUPT if @bytes is malformed.
 */
int ql_claim_unpack_answer(ql_http_response_t *answer, GBytes *bytes);

/**
 * struct ql_claim_fingerprint_input - Fields that identify a keyed request.
 * Another request with the same key is a conflict.
 * @method: HTTP method
 * @target: path and query
 * @scope: identifies the client, such as its Authorization header; may be empty
 * @body: body; may be NULL if @body_bytes is 0
 * @body_bytes: length of @body
 */
typedef struct ql_claim_fingerprint_input {
	const char *method;
	const char *target;
	const char *scope;
	const void *body;
	size_t body_bytes;
} ql_claim_fingerprint_input_t;

/**
 * ql_claim_fingerprint() - Hash the fields that identify a request.
 * @out: set to the 128-bit hash, low half first
 * @input: the fields
 */
void ql_claim_fingerprint(uint64_t out[2],
			  const ql_claim_fingerprint_input_t *input);

G_END_DECLS

#endif
