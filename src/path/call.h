#ifndef QL_PATH_CALL_H
#define QL_PATH_CALL_H

/**
 * DOC: A call on its way to an endpoint, and what its maker is told. The gate
 * beside an endpoint and the gates of other nodes are called alike.
 */

#include "http/headers.h"
#include "quetzalloft/metadata.h"

G_BEGIN_DECLS

/**
 * struct ql_path_call - What is called. All pointers are borrowed for the time
 * of the function that the call is given to.
 * @method: HTTP method
 * @target: path and query
 * @headers: of the request
 * @body: its body
 * @id: identity of the request, or ""
 * @service: the service that is called
 * @class_name: class of the request
 * @shed_order: of its class; lower numbers are shed first
 * @under_way: other work was done already for what it serves
 * @idempotent: whether it may be repeated
 * @deadline_us: when its time is over
 * @version: configuration version of the caller
 */
typedef struct ql_path_call {
	const char *method;
	const char *target;
	const ql_headers_t *headers;
	const GByteArray *body;
	const char *id;
	const char *service;
	const char *class_name;
	uint32_t shed_order;
	bool under_way;
	bool idempotent;
	uint64_t deadline_us;
	uint64_t version;
} ql_path_call_t;

/**
 * struct ql_call_result - How a call ended.
 * @outcome: what is known
 * @reason: why there is no answer
 * @retry_after_ms: when to come again; 0 when nothing is known
 * @has_level: whether the gate told its level
 * @level: the load level of the gate
 * @pressure: on its way, see quetzalloft/pressure.h
 */
typedef struct ql_call_result {
	ql_outcome_t outcome;
	ql_reason_t reason;
	uint32_t retry_after_ms;
	bool has_level;
	uint32_t level;
	double pressure;
} ql_call_result_t;

/**
 * struct ql_response_head - How an answer begins.
 * @status: HTTP status
 * @headers: of the answer; borrowed
 * @length: of its body, or -1 when that is not known
 * @pressure: see &struct ql_call_result
 */
typedef struct ql_response_head {
	unsigned int status;
	const ql_headers_t *headers;
	int64_t length;
	double pressure;
} ql_response_head_t;

/**
 * struct ql_call_sink - What the maker of a call is told.
 * @head: an answer begins
 * @body: a part of its body
 * @complete: the answer is whole; the call is gone
 * @failed: there is no whole answer; the call is gone
 */
typedef struct ql_call_sink {
	void (*head)(void *data, const ql_response_head_t *head);
	void (*body)(void *data, const char *bytes, size_t length);
	void (*complete)(void *data, const ql_call_result_t *end);
	void (*failed)(void *data, const ql_call_result_t *end);
} ql_call_sink_t;

/**
 * struct ql_call_handle_ops - Who is called.
 * @cancel: the maker has gone: it is told nothing more
 * @pause: take no more of the answer for now
 * @resume: take more of it
 */
typedef struct ql_call_handle_ops {
	void (*cancel)(void *call);
	void (*pause)(void *call);
	void (*resume)(void *call);
} ql_call_handle_ops_t;

/**
 * struct ql_call_handle - A call in progress, as its maker holds it.
 * @ops: who is called
 * @call: passed to @ops
 */
typedef struct ql_call_handle {
	const ql_call_handle_ops_t *ops;
	void *call;
} ql_call_handle_t;

/**
 * ql_call_is_own_header() - Whether a header belongs to the protocol between
 * nodes, see quetzalloft/metadata.h.
 */
bool ql_call_is_protocol_header(const char *name);

/**
 * ql_call_write_head() - Write the start line and the headers that are passed
 * on: all but those of one connection and of this product's own protocol.
 * @out: where to append
 * @call: the call
 * @skip: one more header that is left out, or NULL
 * @skip_too: another one
 */
void ql_call_write_head(GByteArray *out, const ql_path_call_t *call,
			const char *skip, const char *skip_too);

/**
 * ql_call_write_headers() - Write the headers of an answer that are passed on.
 */
void ql_call_write_headers(GByteArray *out, const ql_headers_t *headers);

/**
 * ql_call_write_metadata() - Write the headers of the protocol between nodes.
 */
void ql_call_write_metadata(GByteArray *out, const ql_metadata_t *metadata);

/**
 * ql_call_write_outcome() - Write the headers that say how a call ended.
 */
void ql_call_write_outcome(GByteArray *out, ql_outcome_t outcome,
			   ql_reason_t reason);

/**
 * ql_call_write_retry_after() - Write when to come again.
 */
void ql_call_write_retry_after(GByteArray *out, uint32_t retry_after_ms);

/**
 * ql_call_write_body() - End the headers with the framing, and write the body.
 */
void ql_call_write_body(GByteArray *out, const ql_path_call_t *call);

G_END_DECLS

#endif
