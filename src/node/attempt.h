#ifndef QL_NODE_ATTEMPT_H
#define QL_NODE_ATTEMPT_H

/**
 * DOC: One attempt of a call at one gate, and what is known of it afterwards.
 */

#include "node/http_response.h"
#include "node/calls.h"
#include "node/context.h"
#include "quetzalloft/balancer.h"

G_BEGIN_DECLS

/**
 * struct ql_router_request - A call to make.
 * @call: on whose behalf; its allowance is spent
 * @service: the service that is called
 * @reserve: attempts that other calls on the same behalf still need
 * @idempotent: whether it may be repeated
 * @under_way: whether work for its client request was done already
 * @deadline_us: when its time is over
 * @config_version: version of the configuration
 * @request: what came in
 * @is_cancelled: whether to give up
 * @cancel_data: passed to it
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
 * struct ql_attempt - An attempt to make.
 * @context: borrowed
 * @client: borrowed
 * @request: the call
 * @id: identity of the attempt
 * @gate: "IP:port" of the gate
 * @lent: attempts that the callee may use, its own included
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
 * struct ql_attempt_completion - How it ended.
 * @result: for the balancer
 * @unused: attempts that the callee did not use
 */
typedef struct ql_attempt_completion {
	ql_attempt_result_t result;
	uint32_t attempts_unused;
} ql_attempt_completion_t;

/**
 * ql_attempt_execute() - Send the request and take the whole answer.
 * @attempt: the attempt
 * @response: the answer, empty at first
 * @completion: how it ended; the outcome is that of the final state of chart
 *       "attempt"
 */
void ql_attempt_execute(const ql_attempt_t *attempt,
			ql_http_response_t *response,
			ql_attempt_completion_t *completion);

G_END_DECLS

#endif
