#ifndef QL_NODE_ATTEMPT_H
#define QL_NODE_ATTEMPT_H

/**
 * DOC: One attempt of a call: one request to the gate of one endpoint, and its
 * outcome.
 */

#include "node/http_response.h"
#include "node/calls.h"
#include "node/context.h"
#include "quetzalloft/balancer.h"

G_BEGIN_DECLS

/**
 * struct ql_router_request - A call to a service.
 * @call: call that makes this one; its allowance pays for the attempts
 * @service: service to call; borrowed from the document
 * @reserve: attempts to keep for other downstream calls of @call, see
 *           ql_call_start_downstream()
 * @idempotent: the call may be retried although an attempt may have run
 * @under_way: other calls of the client request have run already
 * @deadline_us: deadline, on the clock of ql_clock_now_us()
 * @config_version: version of the document in force
 * @request: received HTTP request, which is forwarded; borrowed
 * @is_cancelled: checks whether the call was cancelled; polled during the call
 * @cancel_data: passed to @is_cancelled
 */
typedef struct ql_router_request {
	ql_call_t *call;
	const ql_service_t *service;
	uint32_t reserve;
	bool idempotent;
	bool under_way;
	uint64_t deadline_us;
	uint64_t config_version;
	const struct _u_request *request;
	bool (*is_cancelled)(void *data);
	void *cancel_data;
} ql_router_request_t;

/**
 * struct ql_attempt - Parameters of an attempt.
 * @context: shared state of the node; borrowed
 * @client: HTTP client; borrowed
 * @request: the call; borrowed
 * @id: identity of the attempt
 * @gate: "IP:port" of the gate
 * @attempts_lent: attempts that the callee may use, including this one
 */
typedef struct ql_attempt {
	ql_context_t *context;
	ql_http_client_t *client;
	const ql_router_request_t *request;
	ql_attempt_id_t id;
	char gate[QL_ADDRESS_MAX];
	uint32_t attempts_lent;
} ql_attempt_t;

/**
 * struct ql_attempt_completion - Result of an attempt.
 * @result: outcome, reason, latency and load level, for the balancer
 * @attempts_unused: attempts that the callee did not use
 */
typedef struct ql_attempt_completion {
	ql_attempt_result_t result;
	uint32_t attempts_unused;
} ql_attempt_completion_t;

/**
 * ql_attempt_execute() - Send the request and receive the complete response.
 * @attempt: parameters of the attempt
 * @response: filled with the response; must be empty
 * @completion: set to the result. Its outcome follows from the final state of
 *              the attempt's state chart, except that a refusal stays
 *              QL_OUTCOME_REFUSED.
 *
 * Blocks until the response is complete, the deadline has passed or the call is
 * cancelled.
 */
void ql_attempt_execute(const ql_attempt_t *attempt,
			ql_http_response_t *response,
			ql_attempt_completion_t *completion);

G_END_DECLS

#endif
