#include "node/router.h"
#include "quetzalloft/retry.h"

#include <string.h>

/* Maximum number of retries that the retry budget of a service saves up. */
#define RETRY_BUDGET_BURST 10.0
/* Most endpoints of a call that are kept as tried, for the balancer to avoid.
 */
#define TRIED_ENDPOINTS_MAX 16

/* Endpoints and retry budget of a service. */
typedef struct {
	pthread_mutex_t lock;
	GRand *random;
	ql_balancer_t balancer;
	ql_retry_budget_t budget;
} service_pool_t;

/* State of one call. */
typedef struct {
	ql_router_t *router;
	const ql_router_request_t *request;
	service_pool_t *pool;
	ql_handle_t tried[TRIED_ENDPOINTS_MAX];
	size_t n_tried;
	uint32_t attempts_made;
	bool may_have_run;
} router_call_t;

static void pool_free(void *data)
{
	service_pool_t *pool = data;

	ql_balancer_finish(&pool->balancer);
	g_rand_free(pool->random);
	pthread_mutex_destroy(&pool->lock);
	g_free(pool);
}

void ql_router_init(ql_router_t *router, ql_context_t *context,
		    ql_http_client_t *client)
{
	router->context = context;
	router->client = client;
	router->ops = ql_balancer_find(context->settings->balancer);
	pthread_mutex_init(&router->lock, NULL);
	router->services = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, pool_free);
}

void ql_router_finish(ql_router_t *router)
{
	g_hash_table_destroy(router->services);
	pthread_mutex_destroy(&router->lock);
}

static service_pool_t *pool_new(const ql_router_t *router)
{
	service_pool_t *pool = g_new0(service_pool_t, 1);

	pthread_mutex_init(&pool->lock, NULL);
	pool->random = g_rand_new();
	ql_balancer_init(&pool->balancer, router->ops,
			 router->context->settings->failure_domain,
			 pool->random);
	ql_retry_budget_init(&pool->budget, 0, RETRY_BUDGET_BURST);
	return pool;
}

static service_pool_t *get_pool(ql_router_t *router, const char *service)
{
	service_pool_t *pool;

	pthread_mutex_lock(&router->lock);
	pool = g_hash_table_lookup(router->services, service);
	if (!pool) {
		pool = pool_new(router);
		g_hash_table_insert(router->services, g_strdup(service), pool);
	}
	pthread_mutex_unlock(&router->lock);
	return pool;
}

void ql_router_add_endpoint(ql_router_t *router, const char *service,
			    const ql_endpoint_info_t *info)
{
	service_pool_t *pool = get_pool(router, service);

	pthread_mutex_lock(&pool->lock);
	ql_balancer_add(&pool->balancer, info, ql_clock_now_us());
	pthread_mutex_unlock(&pool->lock);
}

void ql_router_remove_endpoint(ql_router_t *router, const char *service,
			       const char *gate)
{
	service_pool_t *pool = get_pool(router, service);

	pthread_mutex_lock(&pool->lock);
	ql_balancer_remove(&pool->balancer, gate);
	pthread_mutex_unlock(&pool->lock);
}

static uint64_t new_attempt_id(service_pool_t *pool)
{
	uint64_t high = g_rand_int(pool->random);

	return high << 32 | g_rand_int(pool->random);
}

/*
 * Chooses an endpoint, and sets the gate and the identity of the attempt.
 * Returns QL_HANDLE_NONE if the service has no endpoint.
 */
static ql_handle_t choose_endpoint(router_call_t *call, ql_attempt_t *attempt)
{
	service_pool_t *pool = call->pool;
	const ql_endpoint_t *endpoint;
	ql_handle_t handle;
	ql_pick_request_t pick = {
		.tried = call->tried,
		.n_tried = call->n_tried,
	};

	pthread_mutex_lock(&pool->lock);
	handle = ql_balancer_pick(&pool->balancer, &pick, ql_clock_now_us());
	if (handle != QL_HANDLE_NONE) {
		endpoint = ql_table_get(&pool->balancer.endpoints, handle);
		memcpy(attempt->gate, endpoint->info.gate, QL_ADDRESS_MAX);
		attempt->id.request = call->request->call->id.request;
		attempt->id.attempt = new_attempt_id(pool);
	}
	pthread_mutex_unlock(&pool->lock);
	return handle;
}

static void set_not_run(ql_attempt_result_t *result, ql_reason_t reason)
{
	result->outcome = QL_OUTCOME_NOT_RUN;
	result->reason = reason;
}

/* Records a finished attempt with the balancer and the calling call. */
static void record_completion(router_call_t *call, ql_handle_t handle,
			      uint32_t lent,
			      const ql_attempt_completion_t *completion)
{
	service_pool_t *pool = call->pool;

	pthread_mutex_lock(&pool->lock);
	ql_balancer_record_result(&pool->balancer, handle, &completion->result,
				  ql_clock_now_us());
	pthread_mutex_unlock(&pool->lock);
	ql_call_return_attempts(call->request->call, lent,
				completion->attempts_unused);
	if (completion->result.has_load_level)
		ql_call_record_load_level(call->request->call,
					  completion->result.load_level);
	if (completion->result.outcome == QL_OUTCOME_UNKNOWN)
		call->may_have_run = true;
	if (call->n_tried < TRIED_ENDPOINTS_MAX)
		call->tried[call->n_tried++] = handle;
}

static ql_retry_decision_t decide_retry(router_call_t *call,
					const ql_attempt_result_t *result)
{
	service_pool_t *pool = call->pool;
	uint64_t now_us = ql_clock_now_us();
	uint64_t deadline_us = call->request->deadline_us;
	ql_retry_failure_t failure = {
		.outcome = result->outcome,
		.reason = result->reason,
		.idempotent = call->request->idempotent,
		.attempts_made = call->attempts_made,
		.remaining_us = deadline_us > now_us ? deadline_us - now_us : 0,
		.retry_after_us = result->retry_after_us,
	};
	ql_retry_decision_t decision;

	pthread_mutex_lock(&pool->lock);
	failure.all_tried = call->n_tried >= pool->balancer.endpoints.count;
	decision = ql_retry_decide(&pool->budget, &failure, pool->random);
	pthread_mutex_unlock(&pool->lock);
	return decision;
}

/* Returns why no further attempt can be made, or QL_REASON_NONE. */
static ql_reason_t stop_reason(const ql_router_request_t *request,
			       uint32_t attempts_made)
{
	if (ql_clock_now_us() >= request->deadline_us)
		return QL_REASON_DEADLINE;
	if (attempts_made && request->is_cancelled(request->cancel_data))
		return QL_REASON_CANCELLED;
	return QL_REASON_NONE;
}

static void count_attempt(router_call_t *call)
{
	ql_counters_t *counters = &call->router->context->counters;

	ql_counter_increment(counters, QL_COUNT_ATTEMPTS);
	if (call->attempts_made++)
		ql_counter_increment(counters, QL_COUNT_RETRIES);
}

/*
 * Makes one attempt, or sets the reason why none can be made. Returns true if
 * the call has ended.
 */
static bool make_attempt(router_call_t *call, ql_http_response_t *response,
			 ql_attempt_result_t *result)
{
	const ql_router_request_t *request = call->request;
	ql_attempt_t attempt = {
		.context = call->router->context,
		.client = call->router->client,
		.request = request,
	};
	ql_reason_t reason = stop_reason(request, call->attempts_made);
	ql_attempt_completion_t completion;
	ql_handle_t handle;

	if (reason != QL_REASON_NONE) {
		set_not_run(result, reason);
		return true;
	}
	attempt.attempts_lent =
		ql_call_lend_attempts(request->call,
				      request->service->subtree_attempts,
				      request->reserve);
	if (!attempt.attempts_lent) {
		set_not_run(result, QL_REASON_ATTEMPTS);
		return true;
	}
	handle = choose_endpoint(call, &attempt);
	if (handle == QL_HANDLE_NONE) {
		ql_call_restore_attempts(request->call, attempt.attempts_lent);
		set_not_run(result, QL_REASON_NO_ENDPOINT);
		return true;
	}
	count_attempt(call);
	ql_attempt_execute(&attempt, response, &completion);
	record_completion(call, handle, attempt.attempts_lent, &completion);
	*result = completion.result;
	return result->outcome == QL_OUTCOME_ANSWERED;
}

static void clear_response(ql_http_response_t *response)
{
	response->status = 0;
	g_array_set_size(response->headers, 0);
	g_byte_array_set_size(response->body, 0);
}

/*
 * Sets the failure of the call. Its outcome is unknown if that of any attempt
 * is, since that attempt may have run.
 */
static void fill_failure(const router_call_t *call,
			 const ql_attempt_result_t *result,
			 ql_failure_t *failure)
{
	memset(failure, 0, sizeof(*failure));
	failure->outcome =
		call->may_have_run ? QL_OUTCOME_UNKNOWN : result->outcome;
	failure->reason = result->reason;
	failure->retry_after_ms =
		(uint32_t)(result->retry_after_us / QL_US_PER_MS);
}

bool ql_router_call(ql_router_t *router, const ql_router_request_t *request,
		    ql_http_response_t *response, ql_failure_t *failure)
{
	router_call_t call = {
		.router = router,
		.request = request,
		.pool = get_pool(router, request->service->name),
	};
	ql_attempt_result_t result = {0};
	ql_retry_decision_t decision;

	pthread_mutex_lock(&call.pool->lock);
	call.pool->budget.ratio = request->service->retry_ratio;
	ql_retry_budget_earn(&call.pool->budget);
	pthread_mutex_unlock(&call.pool->lock);
	while (!make_attempt(&call, response, &result)) {
		decision = decide_retry(&call, &result);
		if (!decision.retry)
			break;
		clear_response(response);
		g_usleep(decision.backoff_us);
	}
	if (result.outcome == QL_OUTCOME_ANSWERED)
		return true;
	fill_failure(&call, &result, failure);
	return false;
}
