#include "node/claim_codec.h"
#include "quetzalloft/error.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static void encode_ballot(ql_rpc_claim_ballot *out, const ql_claim_ballot_t *in)
{
	out->round = in->round;
	out->proposer = in->proposer;
}

static void decode_ballot(ql_claim_ballot_t *out, const ql_rpc_claim_ballot *in)
{
	out->round = in->round;
	out->proposer = in->proposer;
}

static void encode_value(ql_rpc_claim_value *out, const ql_claim_value_t *in)
{
	out->kind = in->kind;
	out->request = in->claimant.request;
	out->attempt = in->claimant.attempt;
	out->fingerprint[0] = in->fingerprint[0];
	out->fingerprint[1] = in->fingerprint[1];
	out->lease_ms = in->lease_ms;
}

static int decode_value(ql_claim_value_t *out, const ql_rpc_claim_value *in)
{
	if (in->kind >= QL_N_CLAIM_KINDS)
		return QL_E_PROTOCOL;
	out->kind = (ql_claim_kind_t)in->kind;
	out->claimant.request = in->request;
	out->claimant.attempt = in->attempt;
	out->fingerprint[0] = in->fingerprint[0];
	out->fingerprint[1] = in->fingerprint[1];
	out->lease_ms = in->lease_ms;
	return 0;
}

void ql_claim_encode_request(ql_rpc_claim_request *out,
			     const ql_claim_request_t *in)
{
	gsize bytes = 0;

	memset(out, 0, sizeof(*out));
	out->op = in->op;
	out->key = (char *)in->key;
	out->generation = in->generation;
	encode_ballot(&out->ballot, &in->ballot);
	encode_value(&out->value, &in->value);
	out->note = in->note;
	if (!in->answer)
		return;
	out->answer.answer_val = (char *)g_bytes_get_data(in->answer, &bytes);
	out->answer.answer_len = (u_int)bytes;
}

/* Checks the ranges; a keeper can accept only a claim or a seal as value. */
static bool is_valid_request(const ql_rpc_claim_request *in)
{
	if (in->op >= QL_N_CLAIM_OPS || in->note >= QL_N_CLAIM_NOTES ||
	    !in->key[0])
		return false;
	return in->op != QL_CLAIM_OP_ACCEPT || in->value.kind != QL_CLAIM_NONE;
}

int ql_claim_decode_request(ql_claim_request_t *out,
			    const ql_rpc_claim_request *in)
{
	memset(out, 0, sizeof(*out));
	if (!is_valid_request(in) || decode_value(&out->value, &in->value))
		return QL_E_PROTOCOL;
	out->op = (ql_claim_op_t)in->op;
	g_strlcpy(out->key, in->key, sizeof(out->key));
	out->generation = in->generation;
	decode_ballot(&out->ballot, &in->ballot);
	out->note = (ql_claim_note_t)in->note;
	if (out->note == QL_CLAIM_NOTE_ANSWERED)
		out->answer = g_bytes_new(in->answer.answer_val,
					  in->answer.answer_len);
	return 0;
}

/* Copies the answer with malloc(), since xdr_free() calls free(). */
static void encode_answer(ql_rpc_claim_reply *out, GBytes *answer)
{
	gsize bytes;
	const void *data = g_bytes_get_data(answer, &bytes);

	out->has_answer = true;
	if (!bytes)
		return;
	out->answer.answer_val = malloc(bytes);
	g_assert(out->answer.answer_val);
	memcpy(out->answer.answer_val, data, bytes);
	out->answer.answer_len = (u_int)bytes;
}

void ql_claim_encode_reply(ql_rpc_claim_reply *out, const ql_claim_reply_t *in)
{
	memset(out, 0, sizeof(*out));
	out->status = in->status;
	out->generation = in->generation;
	encode_ballot(&out->promised, &in->promised);
	encode_ballot(&out->accepted, &in->accepted);
	encode_value(&out->value, &in->value);
	out->note = in->note;
	out->age_ms = in->age_ms;
	if (in->answer)
		encode_answer(out, in->answer);
}

int ql_claim_decode_reply(ql_claim_reply_t *out, const ql_rpc_claim_reply *in)
{
	memset(out, 0, sizeof(*out));
	if (in->status >= QL_N_CLAIM_STATUSES || in->note >= QL_N_CLAIM_NOTES ||
	    decode_value(&out->value, &in->value))
		return QL_E_PROTOCOL;
	out->status = (ql_claim_status_t)in->status;
	out->generation = in->generation;
	decode_ballot(&out->promised, &in->promised);
	decode_ballot(&out->accepted, &in->accepted);
	out->note = (ql_claim_note_t)in->note;
	out->age_ms = in->age_ms;
	if (in->has_answer)
		out->answer = g_bytes_new(in->answer.answer_val,
					  in->answer.answer_len);
	return 0;
}

static GBytes *encode_stored_answer(ql_rpc_stored_answer *stored)
{
	u_int size = (u_int)xdr_sizeof(
		(xdrproc_t)(void (*)(void))xdr_ql_rpc_stored_answer, stored);
	char *buffer;
	XDR xdr;

	if (!size || size > QL_CLAIM_ANSWER_MAX_BYTES)
		return NULL;
	buffer = g_malloc(size);
	xdrmem_create(&xdr, buffer, size, XDR_ENCODE);
	if (!xdr_ql_rpc_stored_answer(&xdr, stored)) {
		g_free(buffer);
		return NULL;
	}
	return g_bytes_new_take(buffer, size);
}

GBytes *ql_claim_pack_answer(const ql_http_response_t *answer)
{
	ql_rpc_stored_header headers[QL_RPC_STORED_HEADERS_MAX];
	ql_rpc_stored_answer stored = {.status = (u_int)answer->status};
	const ql_http_header_t *header;
	guint i;

	if (answer->headers->len > QL_RPC_STORED_HEADERS_MAX ||
	    answer->body->len > QL_RPC_CLAIM_ANSWER_MAX)
		return NULL;
	for (i = 0; i < answer->headers->len; i++) {
		header = &g_array_index(answer->headers, ql_http_header_t, i);
		headers[i].name = header->name;
		headers[i].value = header->value;
	}
	stored.headers.headers_val = headers;
	stored.headers.headers_len = answer->headers->len;
	stored.body.body_val = (char *)answer->body->data;
	stored.body.body_len = answer->body->len;
	return encode_stored_answer(&stored);
}

int ql_claim_unpack_answer(ql_http_response_t *answer, GBytes *bytes)
{
	ql_rpc_stored_answer stored = {0};
	ql_http_header_t header;
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);
	XDR xdr;
	u_int i;

	xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
	if (!xdr_ql_rpc_stored_answer(&xdr, &stored)) {
		xdr_free((xdrproc_t)(void (*)(void))xdr_ql_rpc_stored_answer,
			 &stored);
		return QL_E_CORRUPT;
	}
	answer->status = (long)stored.status;
	for (i = 0; i < stored.headers.headers_len; i++) {
		header.name = g_strdup(stored.headers.headers_val[i].name);
		header.value = g_strdup(stored.headers.headers_val[i].value);
		g_array_append_val(answer->headers, header);
	}
	g_byte_array_append(answer->body, (const guint8 *)stored.body.body_val,
			    stored.body.body_len);
	xdr_free((xdrproc_t)(void (*)(void))xdr_ql_rpc_stored_answer, &stored);
	return 0;
}

/* Includes the terminating NUL, which separates the fields. */
static void hash_text(XXH3_state_t *state, const char *text)
{
	XXH3_128bits_update(state, text, strlen(text) + 1);
}

void ql_claim_fingerprint(uint64_t out[2],
			  const ql_claim_fingerprint_input_t *input)
{
	XXH3_state_t *state = XXH3_createState();
	XXH128_hash_t hash;

	g_assert(state);
	XXH3_128bits_reset(state);
	hash_text(state, input->method);
	hash_text(state, input->target);
	hash_text(state, input->scope);
	if (input->body_bytes)
		XXH3_128bits_update(state, input->body, input->body_bytes);
	hash = XXH3_128bits_digest(state);
	out[0] = hash.low64;
	out[1] = hash.high64;
	XXH3_freeState(state);
}
