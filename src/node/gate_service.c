#include "node/gate_service.h"
#include "quetzalloft/error.h"
#include "quetzalloft/thread.h"

#include <stdlib.h>
#include <string.h>

/* A request that waits for a decision of the gate. */
typedef struct {
	pthread_cond_t decided;
	bool is_decided;
	ql_gate_decision_t decision;
} waiter_t;

struct ql_local_endpoint {
	ql_announcement_t announcement;
	uint64_t expires_us;
	uint64_t incarnation;
	pthread_mutex_t lock;
	ql_gate_t gate;
	GHashTable *waiters;
};

void ql_gate_service_init(ql_gate_service_t *service,
			  const ql_gate_service_opts_t *opts)
{
	memset(service, 0, sizeof(*service));
	service->opts = *opts;
	pthread_mutex_init(&service->lock, NULL);
	ql_calls_init(&service->calls);
}

static void endpoint_free(ql_local_endpoint_t *endpoint)
{
	ql_gate_finish(&endpoint->gate);
	g_hash_table_destroy(endpoint->waiters);
	pthread_mutex_destroy(&endpoint->lock);
	g_free(endpoint);
}

void ql_gate_service_finish(ql_gate_service_t *service)
{
	size_t i;

	for (i = 0; i < service->n_endpoints; i++)
		endpoint_free(service->endpoints[i]);
	ql_calls_finish(&service->calls);
	pthread_mutex_destroy(&service->lock);
}

static void gate_opts(const ql_gate_service_t *service,
		      const ql_announcement_t *announcement,
		      ql_gate_opts_t *opts)
{
	ql_document_t *doc = service->opts.document(service->opts.data);
	int index = ql_document_find_service(doc, announcement->service);
	const ql_service_t *known = index < 0 ? NULL : &doc->services[index];
	const char *name = service->opts.limiter;

	memset(opts, 0, sizeof(*opts));
	opts->seed = g_random_int();
	if (known && !name[0])
		name = known->limiter;
	opts->limiter = ql_limiter_find(name);
	if (!opts->limiter)
		opts->limiter = &ql_limiter_gradient;
	opts->slots = (uint32_t)announcement->slots;
	opts->queue_max = service->opts.queue_max;
	opts->queue_us = (known ? known->queue_ms : 50) * QL_US_PER_MS;
	ql_document_unref(doc);
}

static ql_local_endpoint_t *endpoint_new(const ql_gate_service_t *service,
					 const ql_announcement_t *announcement)
{
	ql_local_endpoint_t *endpoint = g_new0(ql_local_endpoint_t, 1);
	ql_gate_opts_t opts;

	gate_opts(service, announcement, &opts);
	pthread_mutex_init(&endpoint->lock, NULL);
	ql_gate_init(&endpoint->gate, &opts);
	endpoint->waiters = g_hash_table_new(NULL, NULL);
	return endpoint;
}

static ql_local_endpoint_t *find_endpoint(ql_gate_service_t *service,
					  const char *name)
{
	ql_local_endpoint_t *found = NULL;
	size_t i;

	pthread_mutex_lock(&service->lock);
	for (i = 0; i < service->n_endpoints; i++)
		if (!strcmp(service->endpoints[i]->announcement.service, name))
			found = service->endpoints[i];
	pthread_mutex_unlock(&service->lock);
	return found;
}

/* Hands the decisions that are due to the threads that wait for them. */
static void wake_waiters(ql_local_endpoint_t *endpoint)
{
	ql_gate_decision_t decision;
	waiter_t *waiter;
	uint64_t now_us = ql_clock_now_us();

	while (ql_gate_next(&endpoint->gate, &decision, now_us)) {
		waiter = g_hash_table_lookup(endpoint->waiters,
					     GUINT_TO_POINTER(decision.ticket));
		g_assert(waiter);
		waiter->decision = decision;
		waiter->is_decided = true;
		pthread_cond_signal(&waiter->decided);
	}
}

static void set_draining(ql_local_endpoint_t *endpoint)
{
	pthread_mutex_lock(&endpoint->lock);
	if (!endpoint->gate.draining) {
		ql_gate_drain(&endpoint->gate);
		wake_waiters(endpoint);
	}
	pthread_mutex_unlock(&endpoint->lock);
}

static void renew_endpoint(const ql_gate_service_t *service,
			   ql_local_endpoint_t *endpoint,
			   const ql_announcement_t *announcement, bool *changed)
{
	uint64_t now_us = ql_clock_now_us();
	bool restarted;

	pthread_mutex_lock(&endpoint->lock);
	restarted = endpoint->expires_us <= now_us ||
		    strcmp(endpoint->announcement.address,
			   announcement->address) != 0;
	*changed = restarted ||
		   endpoint->announcement.draining != announcement->draining;
	if (restarted)
		endpoint->incarnation = (uint64_t)g_get_real_time();
	endpoint->announcement = *announcement;
	endpoint->expires_us = now_us + announcement->lease_ms * QL_US_PER_MS;
	endpoint->gate.draining = announcement->draining || service->draining;
	pthread_mutex_unlock(&endpoint->lock);
	if (announcement->draining)
		set_draining(endpoint);
}

int ql_gate_service_announce(ql_gate_service_t *service,
			     const ql_announcement_t *announcement,
			     bool *changed, GError **error)
{
	ql_local_endpoint_t *endpoint =
		find_endpoint(service, announcement->service);
	int ret = 0;

	if (!endpoint) {
		endpoint = endpoint_new(service, announcement);
		endpoint->announcement = *announcement;
		pthread_mutex_lock(&service->lock);
		if (service->n_endpoints < QL_LOCAL_ENDPOINTS_MAX)
			service->endpoints[service->n_endpoints++] = endpoint;
		else
			ret = ql_error_set(error, QL_E_FULL,
					   "this node has %d endpoints already",
					   QL_LOCAL_ENDPOINTS_MAX);
		pthread_mutex_unlock(&service->lock);
	}
	if (ret) {
		endpoint_free(endpoint);
		return ret;
	}
	renew_endpoint(service, endpoint, announcement, changed);
	return 0;
}

/* Waits until the gate has decided on a queued request. */
static ql_gate_decision_t await_decision(ql_local_endpoint_t *endpoint,
					 ql_handle_t ticket)
{
	waiter_t waiter = {0};
	uint64_t until_us;

	ql_cond_init(&waiter.decided);
	g_hash_table_insert(endpoint->waiters, GUINT_TO_POINTER(ticket),
			    &waiter);
	while (!waiter.is_decided) {
		until_us = ql_gate_next_us(&endpoint->gate);
		ql_cond_wait_until(&waiter.decided, &endpoint->lock, until_us);
		wake_waiters(endpoint);
	}
	g_hash_table_remove(endpoint->waiters, GUINT_TO_POINTER(ticket));
	pthread_cond_destroy(&waiter.decided);
	return waiter.decision;
}

static ql_gate_decision_t enter(ql_local_endpoint_t *endpoint,
				const ql_gate_request_t *request,
				uint32_t *level)
{
	ql_gate_decision_t decision = {
		.verdict = QL_GATE_REFUSE,
		.ticket = QL_HANDLE_NONE,
		.reason = QL_REASON_NO_ENDPOINT,
	};
	uint64_t now_us = ql_clock_now_us();

	pthread_mutex_lock(&endpoint->lock);
	if (endpoint->expires_us > now_us) {
		decision = ql_gate_offer(&endpoint->gate, request, now_us);
		wake_waiters(endpoint);
		if (decision.verdict == QL_GATE_QUEUE)
			decision = await_decision(endpoint, decision.ticket);
	}
	*level = ql_gate_level(&endpoint->gate, ql_clock_now_us());
	pthread_mutex_unlock(&endpoint->lock);
	return decision;
}

static void leave(ql_local_endpoint_t *endpoint, ql_handle_t ticket,
		  bool overloaded, uint32_t *level)
{
	pthread_mutex_lock(&endpoint->lock);
	ql_gate_finish_request(&endpoint->gate, ticket, overloaded,
			       ql_clock_now_us());
	wake_waiters(endpoint);
	*level = ql_gate_level(&endpoint->gate, ql_clock_now_us());
	pthread_mutex_unlock(&endpoint->lock);
}

/* A call of another node, checked. */
typedef struct {
	const struct _u_request *request;
	ql_metadata_t metadata;
	ql_document_t *doc;
	const ql_service_t *service;
	ql_local_endpoint_t *endpoint;
	ql_call_t *call;
	uint32_t level;
} gate_call_t;

#define REQUIRED_METADATA                                                   \
	(QL_HAS_TIMEOUT | QL_HAS_ATTEMPTS | QL_HAS_ATTEMPT | QL_HAS_CLASS | \
	 QL_HAS_SERVICE)

static void not_run(ql_failure_t *failure, ql_reason_t reason,
		    const char *detail)
{
	failure->outcome = QL_OUTCOME_NOT_RUN;
	failure->reason = reason;
	failure->detail = detail;
}

static const ql_class_t *find_class(const ql_document_t *doc, const char *name)
{
	size_t i;

	for (i = 0; i < doc->n_classes; i++)
		if (!strcmp(doc->classes[i].name, name))
			return &doc->classes[i];
	return NULL;
}

/* Finds what the call refers to; on failure nothing was run. */
static bool resolve(ql_gate_service_t *service, gate_call_t *gc,
		    ql_failure_t *failure)
{
	const ql_class_t *class;
	int index;

	if (!service->opts.is_ready(service->opts.data)) {
		not_run(failure, QL_REASON_NOT_READY,
			"the node has not heard from its failure domain yet");
		return false;
	}
	gc->doc = service->opts.document(service->opts.data);
	index = ql_document_find_service(gc->doc, gc->metadata.service);
	class = find_class(gc->doc, gc->metadata.class_name);
	gc->endpoint = find_endpoint(service, gc->metadata.service);
	if (index < 0 || !class || !gc->endpoint) {
		not_run(failure, QL_REASON_NO_ENDPOINT,
			"the service or class is not known here");
		return false;
	}
	gc->service = &gc->doc->services[index];
	if (gc->request->binary_body_length > gc->service->body_limit_bytes) {
		ql_count(service->opts.counters, QL_COUNT_TOO_LARGE);
		not_run(failure, QL_REASON_TOO_LARGE,
			"the body is over the limit of the service");
		return false;
	}
	gc->call = ql_call_new(&gc->metadata.attempt,
			       (uint32_t)gc->metadata.attempts - 1);
	gc->call->deadline_us =
		ql_clock_now_us() + gc->metadata.timeout_ms * QL_US_PER_MS;
	gc->call->shed_order = (uint32_t) class->shed_order;
	g_strlcpy(gc->call->class_name, class->name, QL_NAME_MAX);
	return true;
}

static struct curl_slist *endpoint_headers(const gate_call_t *gc,
					   uint64_t timeout_ms)
{
	ql_metadata_t metadata = gc->metadata;

	metadata.has = QL_HAS_TIMEOUT | QL_HAS_ATTEMPT | QL_HAS_CLASS;
	metadata.timeout_ms = timeout_ms;
	return ql_headers_add_metadata(ql_headers_forward(gc->request),
				       &metadata);
}

static ql_reason_t failure_reason(int ret)
{
	switch (ret) {
	case QL_E_TIMEOUT:
		return QL_REASON_DEADLINE;
	case QL_E_TOO_LARGE:
		return QL_REASON_TOO_LARGE;
	case QL_E_PROTOCOL:
		return QL_REASON_BAD_ANSWER;
	default:
		return QL_REASON_CONNECTION_LOST;
	}
}

/* Runs an admitted call at the endpoint; true when it answered in whole. */
static bool run(ql_gate_service_t *service, gate_call_t *gc,
		ql_http_answer_t *answer, ql_failure_t *failure)
{
	uint64_t now_us = ql_clock_now_us();
	uint64_t timeout_ms;
	ql_http_request_t http = {
		.address = gc->endpoint->announcement.address,
		.method = gc->request->http_verb,
		.target = gc->request->http_url,
		.body = gc->request->binary_body,
		.body_bytes = gc->request->binary_body_length,
		.body_limit_bytes = gc->service->body_limit_bytes,
	};
	bool sent;
	int ret;

	if (now_us >= gc->call->deadline_us) {
		not_run(failure, QL_REASON_DEADLINE, NULL);
		return false;
	}
	timeout_ms = (gc->call->deadline_us - now_us) / QL_US_PER_MS + 1;
	http.timeout_ms = timeout_ms;
	http.headers = endpoint_headers(gc, timeout_ms);
	ret = ql_http_client_exchange(service->opts.client, &http, answer,
				      &sent, NULL);
	curl_slist_free_all(http.headers);
	if (!ret)
		return true;
	if (!sent) {
		not_run(failure, QL_REASON_CONNECT_FAILED, NULL);
		return false;
	}
	failure->outcome = QL_OUTCOME_UNKNOWN;
	failure->reason = failure_reason(ret);
	return false;
}

/* Admits, runs and answers a call that was resolved. */
static bool admit_and_run(ql_gate_service_t *service, gate_call_t *gc,
			  ql_http_answer_t *answer, ql_failure_t *failure)
{
	ql_gate_request_t request = {
		.shed_order = gc->call->shed_order,
		.under_way = gc->metadata.under_way,
		.deadline_us = gc->call->deadline_us,
	};
	ql_gate_decision_t decision = enter(gc->endpoint, &request, &gc->level);
	bool answered;

	if (decision.verdict == QL_GATE_REFUSE) {
		ql_count(service->opts.counters, QL_COUNT_GATE_REFUSED);
		not_run(failure, decision.reason, NULL);
		failure->retry_after_ms = decision.retry_after_ms;
		return false;
	}
	ql_count(service->opts.counters, QL_COUNT_GATE_ADMITTED);
	if (ql_calls_add(&service->calls, gc->call)) {
		leave(gc->endpoint, decision.ticket, false, &gc->level);
		failure->outcome = QL_OUTCOME_UNKNOWN;
		failure->reason = QL_REASON_BAD_REQUEST;
		failure->detail = "this attempt was received already";
		return false;
	}
	answered = run(service, gc, answer, failure);
	ql_calls_remove(&service->calls, gc->call);
	leave(gc->endpoint, decision.ticket,
	      !answered && failure->reason == QL_REASON_DEADLINE, &gc->level);
	return answered;
}

/* An endpoint may say itself that it did not run a request that it shed. */
static ql_outcome_t endpoint_outcome(const ql_http_answer_t *answer)
{
	ql_outcome_t outcome;
	const char *value = ql_http_answer_header(answer, QL_HEADER_OUTCOME);

	if (value && !ql_outcome_parse(&outcome, value) &&
	    outcome == QL_OUTCOME_NOT_RUN)
		return outcome;
	return QL_OUTCOME_ANSWERED;
}

static void finish_answer(ql_gate_service_t *service, gate_call_t *gc,
			  ql_outcome_t outcome, struct _u_response *response)
{
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	metadata.has = QL_HAS_ATTEMPT | QL_HAS_UNUSED | QL_HAS_LEVEL |
		       QL_HAS_OUTCOME | QL_HAS_CLOCK | QL_HAS_VERSION;
	metadata.attempt = gc->metadata.attempt;
	metadata.unused =
		gc->call ? ql_call_end(gc->call) : gc->metadata.attempts - 1;
	metadata.level = gc->level;
	metadata.outcome = outcome;
	metadata.version = gc->doc ? gc->doc->version : 0;
	metadata.clock = ql_hlc_tick(service->opts.hlc, ql_clock_wall_ms());
	ql_answer_add_metadata(response, &metadata);
}

static bool parse_call(ql_gate_service_t *service, gate_call_t *gc,
		       struct _u_response *response)
{
	ql_failure_t failure = {0};
	GError *error = NULL;

	if (!ql_request_metadata(&gc->metadata, gc->request, &error) &&
	    (gc->metadata.has & REQUIRED_METADATA) == REQUIRED_METADATA &&
	    gc->metadata.attempts)
		return true;
	ql_count(service->opts.counters, QL_COUNT_BAD_METADATA);
	not_run(&failure, QL_REASON_BAD_REQUEST,
		error ? error->message : "a required header is missing");
	ql_answer_fail(response, &failure);
	g_clear_error(&error);
	return false;
}

void ql_gate_service_handle(void *data, const struct _u_request *request,
			    struct _u_response *response)
{
	ql_gate_service_t *service = data;
	gate_call_t gc = {.request = request};
	ql_failure_t failure = {0};
	ql_http_answer_t answer;
	ql_outcome_t outcome;

	if (!parse_call(service, &gc, response))
		return;
	if (gc.metadata.has & QL_HAS_CLOCK)
		ql_hlc_observe(service->opts.hlc, gc.metadata.clock,
			       ql_clock_wall_ms());
	ql_http_answer_init(&answer);
	if (resolve(service, &gc, &failure) &&
	    admit_and_run(service, &gc, &answer, &failure)) {
		outcome = endpoint_outcome(&answer);
		ql_answer_pass(response, &answer);
	} else {
		outcome = failure.outcome;
		ql_answer_fail(response, &failure);
	}
	finish_answer(service, &gc, outcome, response);
	ql_http_answer_finish(&answer);
	ql_call_unref(gc.call);
	ql_document_unref(gc.doc);
}

u_int ql_gate_service_describe(ql_gate_service_t *service, const char *node,
			       const char *failure_domain, const char *gate,
			       ql_rpc_endpoint *out)
{
	uint64_t now_us = ql_clock_now_us();
	ql_local_endpoint_t *endpoint;
	size_t i;

	pthread_mutex_lock(&service->lock);
	for (i = 0; i < service->n_endpoints; i++) {
		endpoint = service->endpoints[i];
		pthread_mutex_lock(&endpoint->lock);
		out[i].service = strdup(endpoint->announcement.service);
		out[i].gate = strdup(gate);
		out[i].node = strdup(node);
		out[i].failure_domain = strdup(failure_domain);
		out[i].incarnation = endpoint->incarnation;
		out[i].slots = (u_int)endpoint->announcement.slots;
		out[i].connections = (u_int)endpoint->announcement.connections;
		out[i].state = endpoint->gate.draining ||
					       endpoint->expires_us <= now_us
				       ? QL_RPC_ENDPOINT_LEAVING
				       : QL_RPC_ENDPOINT_SERVING;
		pthread_mutex_unlock(&endpoint->lock);
	}
	pthread_mutex_unlock(&service->lock);
	return (u_int)i;
}

void ql_gate_service_drain(ql_gate_service_t *service)
{
	size_t i;

	pthread_mutex_lock(&service->lock);
	service->draining = true;
	for (i = 0; i < service->n_endpoints; i++)
		set_draining(service->endpoints[i]);
	pthread_mutex_unlock(&service->lock);
}
