#ifndef QL_PATH_CALL_H
#define QL_PATH_CALL_H

/**
 * DOC: A call to an endpoint and the callbacks of its caller. The local gate
 * and the gates of other nodes are called through the same interface.
 */

#include "http/headers.h"
#include "quetzalloft/dialect.h"
#include "quetzalloft/metadata.h"

G_BEGIN_DECLS

/**
 * struct ql_path_call - Parameters of a call. All pointers are borrowed for the
 * duration of the function that takes the call.
 * @method: HTTP method
 * @target: path and query
 * @headers: request headers
 * @body: request body
 * @id: request ID, or ""
 * @service: service to call
 * @class_name: class of the request
 * @shed_order: shed order of the class; lower numbers are shed first
 * @under_way: the call belongs to a client request that is being served
 *             already, so refusing the call would waste the work done so far
 * @repeat: the call repeats one that may have reached an endpoint, or is made
 * by a run that does; it counts against the retry budget of the service
 * @idempotent: the request may be repeated
 * @deadline_us: deadline of the call, as a time of ql_loop_now_us()
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
	bool repeat;
	bool idempotent;
	uint64_t deadline_us;
	uint64_t version;
} ql_path_call_t;

/**
 * struct ql_call_result - Result of a call.
 * @outcome: answered, not run, or unknown
 * @reason: why there is no response
 * @retry_after_ms: delay requested before a retry; 0 if none was given
 * @has_load_level: the gate reported its load level
 * @load_level: load level of the gate
 * @pressure: backpressure signal of the call, see quetzalloft/pressure.h
 * @has_occupancy: the gate reported its occupancy
 * @bad_occupancy: it reported one that is malformed, which is ignored
 * @occupancy: occupancy of the gate without this call, see ql_gate_occupancy()
 */
typedef struct ql_call_result {
	ql_outcome_t outcome;
	ql_reason_t reason;
	uint32_t retry_after_ms;
	bool has_load_level;
	uint32_t load_level;
	double pressure;
	bool has_occupancy;
	bool bad_occupancy;
	double occupancy;
} ql_call_result_t;

/**
 * struct ql_response_head - Status and headers of a response.
 * @status: HTTP status
 * @headers: response headers; borrowed
 * @length: bytes of the body, or -1 if not known
 * @pressure: see &struct ql_call_result
 * @has_occupancy: see &struct ql_call_result
 * @occupancy: see &struct ql_call_result
 */
typedef struct ql_response_head {
	unsigned int status;
	const ql_headers_t *headers;
	int64_t length;
	double pressure;
	bool has_occupancy;
	double occupancy;
} ql_response_head_t;

/**
 * struct ql_call_sink - Callbacks of a caller.
 * @head: the status and headers of the response were read
 * @body: a fragment of the response body was read
 * @complete: the response is complete; the handle is invalid from now on
 * @failed: there is no complete response; the handle is invalid from now on
 */
typedef struct ql_call_sink {
	void (*head)(void *data, const ql_response_head_t *head);
	void (*body)(void *data, const char *bytes, size_t length);
	void (*complete)(void *data, const ql_call_result_t *result);
	void (*failed)(void *data, const ql_call_result_t *result);
} ql_call_sink_t;

/**
 * struct ql_call_handle_ops - Operations on a call in flight.
 * @cancel: cancels the call; its callbacks are not called any more and the
 *          handle is invalid. A call that is not idempotent may be completed
 *          without its caller
 * @pause: pauses reading the response, as the client reads slowly
 * @resume: resumes reading the response
 */
typedef struct ql_call_handle_ops {
	void (*cancel)(void *call);
	void (*pause)(void *call);
	void (*resume)(void *call);
} ql_call_handle_ops_t;

/**
 * struct ql_call_handle - The caller's handle of a call in flight.
 * @ops: operations of the callee
 * @call: passed to @ops; NULL if the call has ended
 */
typedef struct ql_call_handle {
	const ql_call_handle_ops_t *ops;
	void *call;
} ql_call_handle_t;

/**
 * typedef ql_response_match_t - Whether a response belongs to a call.
 * @QL_RESPONSE_OWN: it bears the request ID of the call, or the call has none
 * @QL_RESPONSE_OTHER: it bears another ID
 * @QL_RESPONSE_UNIDENTIFIED: it bears no ID; it may be a late copy of the
 *                            response to an earlier call, so it proves nothing
 */
typedef enum ql_response_match {
	QL_RESPONSE_OWN,
	QL_RESPONSE_OTHER,
	QL_RESPONSE_UNIDENTIFIED,
} ql_response_match_t;

/**
 * ql_call_match_response() - Check whether a response belongs to a call.
 * @call_id: request ID of the call, or ""
 * @response_id: request ID in the response, or NULL
 */
ql_response_match_t ql_call_match_response(const char *call_id,
					   const char *response_id);

/**
 * ql_call_may_be_refusal() - Check whether a status can tell that a request
 * has not run. The connection of such a response is not used again: a late
 * copy, also with the right request ID, could be taken for the response to a
 * second run of the request.
 * @status: HTTP status
 */
bool ql_call_may_be_refusal(unsigned int status);

/**
 * ql_call_is_protocol_header() - Check whether a header belongs to the protocol
 * between nodes, see quetzalloft/metadata.h.
 * @name: name of the header; case is ignored
 */
bool ql_call_is_protocol_header(const char *name);

/**
 * ql_call_is_end_to_end() - Check whether a received header is for the other
 * end of the path.
 * @dialect: names of the headers that the path depends on
 * @headers: the headers of the message
 * @name: name of the header; case is ignored
 *
 * Return: false for hop-by-hop headers and those of the protocol between nodes.
 * A Connection header of the sender makes any further one hop-by-hop, except
 * those that tell the ends of the path what is requested or answered, by whom
 * and until when.
 */
bool ql_call_is_end_to_end(const ql_dialect_t *dialect,
			   const ql_headers_t *headers, const char *name);

/**
 * ql_call_write_head() - Write the request line and the headers to forward: all
 * except hop-by-hop headers and those of the protocol between nodes.
 * @out: buffer to append to
 * @call: the call; of its headers, none may be made hop-by-hop by a Connection
 *        header
 * @skip: a further header to leave out, or NULL
 * @also_skip: another one, or NULL
 */
void ql_call_write_head(GByteArray *out, const ql_path_call_t *call,
			const char *skip, const char *also_skip);

/**
 * ql_call_write_headers() - Write the response headers to forward.
 * @out: buffer to append to
 * @dialect: names of the headers that the path depends on
 * @headers: headers received
 */
void ql_call_write_headers(GByteArray *out, const ql_dialect_t *dialect,
			   const ql_headers_t *headers);

/**
 * ql_call_write_metadata() - Write the headers of the protocol between nodes.
 * @out: buffer to append to
 * @metadata: values to write
 */
void ql_call_write_metadata(GByteArray *out, const ql_metadata_t *metadata);

/**
 * ql_call_write_outcome() - Write the outcome and reason headers.
 * @out: buffer to append to
 * @outcome: the outcome
 * @reason: why there is no response, or %QL_REASON_NONE
 */
void ql_call_write_outcome(GByteArray *out, ql_outcome_t outcome,
			   ql_reason_t reason);

/**
 * ql_call_write_retry_after() - Write a Retry-After header, in seconds with
 * three decimals.
 * @out: buffer to append to
 * @retry_after_ms: the delay
 */
void ql_call_write_retry_after(GByteArray *out, uint32_t retry_after_ms);

/**
 * ql_call_write_body() - Write the Content-Length where one is needed, the end
 * of the headers, and the body.
 * @out: buffer to append to
 * @call: the call
 */
void ql_call_write_body(GByteArray *out, const ql_path_call_t *call);

G_END_DECLS

#endif
