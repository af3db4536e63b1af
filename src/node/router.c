#include "node/router.h"
#include "quetzalloft/error.h"
#include "quetzalloft/retry.h"

#include <string.h>

#define RETRY_BURST 10.0
#define TRIED_MAX 16

typedef struct {
	pthread_mutex_t lock;
	GRand *random;
	ql_balancer_t balancer;
	ql_retry_budget_t budget;
} service_pool_t;

/* One call while its attempts are made. */
typedef struct {
	ql_router_t *router;
	const ql_router_request_t *request;
	service_pool_t *pool;
	ql_handle_t tried[TRIED_MAX];
	size_t n_tried;
	uint32_t attempts_made;
	bool may_have_run;
} pending_t;

/* How one attempt ended. */
typedef struct {
	ql_attempt_result_t result;
	uint32_t unused;
} attempt_end_t;

static void pool_free(void *data)
{
	service_pool_t *pool = data;

	ql_balancer_finish(&pool->balancer);
	g_rand_free(pool->random);
	pthread_mutex_destroy(&pool->lock);
	g_free(pool);
}

void ql_router_init(ql_router_t *router, const ql_balancer_ops_t *ops,
		    const char *failure_domain)
{
	router->ops = ops;
	g_strlcpy(router->failure_domain, failure_domain, QL_NAME_MAX);
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
	ql_balancer_init(&pool->balancer, router->ops, router->failure_domain,
			 pool->random);
	ql_retry_budget_init(&pool->budget, 0, RETRY_BURST);
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

void ql_router_endpoint_up(ql_router_t *router, const char *service,
			   const ql_target_info_t *info)
{
	service_pool_t *pool = get_pool(router, service);

	pthread_mutex_lock(&pool->lock);
	ql_balancer_add(&pool->balancer, info, ql_clock_now_us());
	pthread_mutex_unlock(&pool->lock);
}

void ql_router_endpoint_gone(ql_router_t *router, const char *service,
			     const char *gate)
{
	service_pool_t *pool = get_pool(router, service);

	pthread_mutex_lock(&pool->lock);
	ql_balancer_remove(&pool->balancer, gate);
	pthread_mutex_unlock(&pool->lock);
}

static uint64_t new_identity(service_pool_t *pool)
{
	uint64_t high = g_rand_int(pool->random);

	return high << 32 | g_rand_int(pool->random);
}

/* Chooses an endpoint; its gate and the attempt's identity are copied out. */
static ql_handle_t choose(pending_t *pending, char *gate,
			  ql_attempt_id_t *attempt)
{
	service_pool_t *pool = pending->pool;
	const ql_target_t *target;
	ql_handle_t handle;

	pthread_mutex_lock(&pool->lock);
	handle = ql_balancer_pick(&pool->balancer, pending->tried,
				  pending->n_tried, ql_clock_now_us());
	if (handle != QL_HANDLE_NONE) {
		target = ql_table_get(&pool->balancer.targets, handle);
		memcpy(gate, target->info.gate, QL_ADDRESS_MAX);
		attempt->request = pending->request->call->id.request;
		attempt->attempt = new_identity(pool);
	}
	pthread_mutex_unlock(&pool->lock);
	return handle;
}

static struct curl_slist *attempt_headers(const pending_t *pending,
					  const ql_attempt_id_t *attempt,
					  uint32_t lent, uint64_t timeout_ms)
{
	const ql_router_request_t *request = pending->request;
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	metadata.has = QL_HAS_TIMEOUT | QL_HAS_ATTEMPTS | QL_HAS_ATTEMPT |
		       QL_HAS_VERSION | QL_HAS_CLASS | QL_HAS_SERVICE |
		       QL_HAS_UNDER_WAY | QL_HAS_CLOCK | QL_HAS_IDEMPOTENT;
	metadata.timeout_ms = timeout_ms;
	metadata.attempts = lent;
	metadata.attempt = *attempt;
	metadata.version = request->config_version;
	metadata.under_way = request->under_way;
	metadata.idempotent = request->idempotent;
	metadata.clock = ql_hlc_tick(pending->router->hlc, ql_clock_wall_ms());
	g_strlcpy(metadata.class_name, request->call->class_name, QL_NAME_MAX);
	g_strlcpy(metadata.service, request->service->name, QL_NAME_MAX);
	return ql_headers_add_metadata(ql_headers_forward(request->request),
				       &metadata);
}

static void fail_result(ql_attempt_result_t *result, ql_outcome_t outcome,
			ql_reason_t reason)
{
	result->outcome = outcome;
	result->reason = reason;
}

static ql_reason_t unsent_reason(int ret)
{
	if (ret == QL_E_CANCELLED)
		return QL_REASON_CANCELLED;
	return ret == QL_E_TIMEOUT ? QL_REASON_DEADLINE
				   : QL_REASON_CONNECT_FAILED;
}

/* Classifies an exchange that did not give a whole answer. */
static void classify_failure(ql_attempt_result_t *result, int ret, bool sent)
{
	if (!sent) {
		fail_result(result, QL_OUTCOME_NOT_RUN, unsent_reason(ret));
		return;
	}
	switch (ret) {
	case QL_E_TIMEOUT:
		fail_result(result, QL_OUTCOME_UNKNOWN, QL_REASON_DEADLINE);
		break;
	case QL_E_CANCELLED:
		fail_result(result, QL_OUTCOME_UNKNOWN, QL_REASON_CANCELLED);
		break;
	case QL_E_TOO_LARGE:
		fail_result(result, QL_OUTCOME_UNKNOWN, QL_REASON_TOO_LARGE);
		break;
	case QL_E_PROTOCOL:
		fail_result(result, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER);
		break;
	default:
		fail_result(result, QL_OUTCOME_UNKNOWN,
			    QL_REASON_CONNECTION_LOST);
		break;
	}
}

static uint64_t retry_after_us(const ql_http_answer_t *answer)
{
	const char *value =
		ql_http_answer_header(answer, QL_HEADER_RETRY_AFTER);

	return value ? g_ascii_strtoull(value, NULL, 10) * QL_US_PER_S : 0;
}

/* Classifies a whole answer of a gate; one of another attempt is dropped. */
static void classify_answer(pending_t *pending, attempt_end_t *end,
			    const ql_attempt_id_t *attempt,
			    const ql_http_answer_t *answer)
{
	ql_attempt_result_t *result = &end->result;
	ql_metadata_t metadata;

	if (ql_answer_metadata(&metadata, answer) ||
	    !(metadata.has & QL_HAS_ATTEMPT) ||
	    !(metadata.has & QL_HAS_OUTCOME) ||
	    metadata.attempt.attempt != attempt->attempt ||
	    metadata.attempt.request != attempt->request) {
		ql_count(pending->router->counters, QL_COUNT_BAD_ANSWERS);
		fail_result(result, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER);
		return;
	}
	if (metadata.has & QL_HAS_CLOCK)
		ql_hlc_observe(pending->router->hlc, metadata.clock,
			       ql_clock_wall_ms());
	fail_result(result, metadata.outcome,
		    metadata.has & QL_HAS_REASON ? metadata.reason
						 : QL_REASON_NONE);
	result->has_level = metadata.has & QL_HAS_LEVEL;
	result->level = (uint32_t)metadata.level;
	end->unused =
		metadata.has & QL_HAS_UNUSED ? (uint32_t)metadata.unused : 0;
	if (metadata.outcome != QL_OUTCOME_ANSWERED)
		result->retry_after_us = retry_after_us(answer);
}

static void make_attempt(pending_t *pending, const char *gate,
			 const ql_attempt_id_t *attempt, uint32_t lent,
			 ql_http_answer_t *answer, attempt_end_t *end)
{
	const ql_router_request_t *request = pending->request;
	uint64_t start_us = ql_clock_now_us();
	uint64_t timeout_ms =
		(request->deadline_us - start_us) / QL_US_PER_MS + 1;
	ql_http_request_t http = {
		.address = gate,
		.method = request->request->http_verb,
		.target = request->request->http_url,
		.body = request->request->binary_body,
		.body_bytes = request->request->binary_body_length,
		.timeout_ms = timeout_ms,
		.body_limit_bytes = request->service->body_limit_bytes,
		.is_cancelled = request->is_cancelled,
		.cancel_data = request->cancel_data,
	};
	bool sent;
	int ret;

	http.headers = attempt_headers(pending, attempt, lent, timeout_ms);
	ret = ql_http_client_exchange(pending->router->client, &http, answer,
				      &sent, NULL);
	curl_slist_free_all(http.headers);
	memset(end, 0, sizeof(*end));
	if (ret)
		classify_failure(&end->result, ret, sent);
	else
		classify_answer(pending, end, attempt, answer);
	if (!sent)
		end->unused = lent - 1;
	end->result.latency_us = ql_clock_now_us() - start_us;
}

static void report_end(pending_t *pending, ql_handle_t handle, uint32_t lent,
		       const attempt_end_t *end)
{
	service_pool_t *pool = pending->pool;

	pthread_mutex_lock(&pool->lock);
	ql_balancer_done(&pool->balancer, handle, &end->result,
			 ql_clock_now_us());
	pthread_mutex_unlock(&pool->lock);
	ql_call_return(pending->request->call, lent, end->unused);
	if (end->result.outcome == QL_OUTCOME_UNKNOWN)
		pending->may_have_run = true;
	if (pending->n_tried < TRIED_MAX)
		pending->tried[pending->n_tried++] = handle;
}

static ql_retry_decision_t decide_retry(pending_t *pending,
					const ql_attempt_result_t *result)
{
	service_pool_t *pool = pending->pool;
	uint64_t now_us = ql_clock_now_us();
	uint64_t deadline_us = pending->request->deadline_us;
	ql_retry_failure_t failure = {
		.outcome = result->outcome,
		.reason = result->reason,
		.idempotent = pending->request->idempotent,
		.attempts_made = pending->attempts_made,
		.remaining_us = deadline_us > now_us ? deadline_us - now_us : 0,
		.retry_after_us = result->retry_after_us,
	};
	ql_retry_decision_t decision;

	pthread_mutex_lock(&pool->lock);
	decision = ql_retry_decide(&pool->budget, &failure, pool->random);
	pthread_mutex_unlock(&pool->lock);
	return decision;
}

/* One attempt, or the reason why none can be made; true ends the call. */
static bool try_once(pending_t *pending, ql_http_answer_t *answer,
		     ql_attempt_result_t *result)
{
	const ql_router_request_t *request = pending->request;
	char gate[QL_ADDRESS_MAX];
	ql_attempt_id_t attempt;
	attempt_end_t end;
	ql_handle_t handle;
	uint32_t lent;

	if (ql_clock_now_us() >= request->deadline_us) {
		fail_result(result, QL_OUTCOME_NOT_RUN, QL_REASON_DEADLINE);
		return true;
	}
	if (request->is_cancelled(request->cancel_data)) {
		fail_result(result, QL_OUTCOME_NOT_RUN, QL_REASON_CANCELLED);
		return true;
	}
	lent = ql_call_lend(request->call, request->service->subtree_attempts);
	if (!lent) {
		fail_result(result, QL_OUTCOME_NOT_RUN, QL_REASON_ATTEMPTS);
		return true;
	}
	handle = choose(pending, gate, &attempt);
	if (handle == QL_HANDLE_NONE) {
		ql_call_return(request->call, lent + 1, lent);
		fail_result(result, QL_OUTCOME_NOT_RUN, QL_REASON_NO_ENDPOINT);
		return true;
	}
	ql_count(pending->router->counters, QL_COUNT_ATTEMPTS);
	if (pending->attempts_made++)
		ql_count(pending->router->counters, QL_COUNT_RETRIES);
	make_attempt(pending, gate, &attempt, lent, answer, &end);
	report_end(pending, handle, lent, &end);
	*result = end.result;
	return result->outcome == QL_OUTCOME_ANSWERED;
}

static void clear_answer(ql_http_answer_t *answer)
{
	answer->status = 0;
	g_array_set_size(answer->headers, 0);
	g_byte_array_set_size(answer->body, 0);
}

/* The outcome of the whole call: an earlier attempt may have run. */
static void fill_failure(const pending_t *pending,
			 const ql_attempt_result_t *result,
			 ql_failure_t *failure)
{
	memset(failure, 0, sizeof(*failure));
	failure->outcome =
		pending->may_have_run ? QL_OUTCOME_UNKNOWN : result->outcome;
	failure->reason = result->reason;
	failure->retry_after_ms =
		(uint32_t)(result->retry_after_us / QL_US_PER_MS);
}

bool ql_router_call(ql_router_t *router, const ql_router_request_t *request,
		    ql_http_answer_t *answer, ql_failure_t *failure)
{
	pending_t pending = {
		.router = router,
		.request = request,
		.pool = get_pool(router, request->service->name),
	};
	ql_attempt_result_t result = {0};
	ql_retry_decision_t decision;

	pthread_mutex_lock(&pending.pool->lock);
	pending.pool->budget.ratio = request->service->retry_ratio;
	ql_retry_budget_earn(&pending.pool->budget);
	pthread_mutex_unlock(&pending.pool->lock);
	while (!try_once(&pending, answer, &result)) {
		decision = decide_retry(&pending, &result);
		if (!decision.retry)
			break;
		clear_answer(answer);
		g_usleep(decision.backoff_us);
	}
	if (result.outcome == QL_OUTCOME_ANSWERED)
		return true;
	fill_failure(&pending, &result, failure);
	return false;
}
