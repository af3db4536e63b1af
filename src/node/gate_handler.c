#include "node/gate_service.h"
#include "node/keyed_request.h"
#include "quetzalloft/error.h"

#include <string.h>

/*
 * A call of another node while it is handled. The document, the service and the
 * call are NULL until resolve() has set them.
 */
typedef struct {
	ql_http_server_t *server;
	const struct _u_request *request;
	ql_metadata_t metadata;
	ql_document_t *doc;
	const ql_service_t *service;
	ql_local_endpoint_t *endpoint;
	ql_call_t *call;
	uint32_t load_level;
} gate_call_t;

/* Whether the calling node closed the connection of the call. */
static bool is_caller_disconnected(void *data)
{
	const gate_call_t *gc = data;

	return ql_http_server_is_peer_disconnected(gc->server, gc->request);
}

/* Protocol headers that each call of another node must carry. */
#define REQUIRED_METADATA                                                   \
	(QL_HAS_TIMEOUT | QL_HAS_ATTEMPTS | QL_HAS_ATTEMPT | QL_HAS_CLASS | \
	 QL_HAS_SERVICE)

static const ql_class_t *find_class(const ql_document_t *doc, const char *name)
{
	size_t i;

	for (i = 0; i < doc->n_classes; i++)
		if (!strcmp(doc->classes[i].name, name))
			return &doc->classes[i];
	return NULL;
}

/*
 * Looks up the service, class and endpoint of the call, and creates the call
 * record. Sets @failure to not-run and returns false if the call cannot run.
 */
static bool resolve(ql_gate_service_t *service, gate_call_t *gc,
		    ql_failure_t *failure)
{
	const ql_class_t *class;
	int index;

	if (!ql_context_is_ready(service->context)) {
		ql_failure_set_not_run(
			failure, QL_REASON_NOT_READY,
			"the node has not reached its failure domain yet");
		return false;
	}
	gc->doc = ql_context_document(service->context);
	index = ql_document_find_service(gc->doc, gc->metadata.service);
	class = find_class(gc->doc, gc->metadata.class_name);
	gc->endpoint =
		ql_gate_service_find_endpoint(service, gc->metadata.service);
	if (index < 0 || !class || !gc->endpoint) {
		ql_failure_set_not_run(
			failure, QL_REASON_NO_ENDPOINT,
			"the service or the class is not configured, or the "
			"service has no endpoint here");
		return false;
	}
	gc->service = &gc->doc->services[index];
	if (gc->request->binary_body_length > gc->service->body_limit_bytes) {
		ql_counter_increment(&service->context->counters,
				     QL_COUNT_TOO_LARGE);
		ql_failure_set_not_run(
			failure, QL_REASON_TOO_LARGE,
			"the body exceeds the limit of the service");
		return false;
	}
	gc->call = ql_call_new(&gc->metadata.attempt,
			       (uint32_t)gc->metadata.attempts - 1);
	gc->call->deadline_us =
		ql_clock_now_us() + gc->metadata.timeout_ms * QL_US_PER_MS;
	gc->call->shed_order = (uint32_t) class->shed_order;
	g_strlcpy(gc->call->class_name, class->name, QL_NAME_MAX);
	g_strlcpy(gc->call->service, gc->service->name, QL_NAME_MAX);
	return true;
}

static struct curl_slist *make_endpoint_headers(const gate_call_t *gc,
						uint64_t timeout_ms)
{
	ql_metadata_t metadata = gc->metadata;

	metadata.has = QL_HAS_TIMEOUT | QL_HAS_ATTEMPT | QL_HAS_CLASS;
	metadata.timeout_ms = timeout_ms;
	return ql_headers_add_metadata(ql_headers_copy_end_to_end(gc->request),
				       &metadata);
}

static ql_reason_t failure_reason(int ret)
{
	switch (ret) {
	case QL_E_CANCELLED:
		return QL_REASON_CANCELLED;
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

/*
 * Cancels a running call and its downstream calls once the caller has
 * disconnected. Polled for idempotent calls only: any other call runs to its
 * end, since the caller may request the response again with the same key.
 */
static bool cancel_if_caller_disconnected(void *data)
{
	gate_call_t *gc = data;

	if (!is_caller_disconnected(gc))
		return false;
	ql_call_cancel(gc->call);
	return true;
}

/*
 * Forwards an admitted call to the endpoint. Returns true if the endpoint sent
 * a complete response, else sets the failure.
 */
static bool forward_to_endpoint(ql_gate_service_t *service, gate_call_t *gc,
				ql_http_response_t *upstream,
				ql_failure_t *failure)
{
	uint64_t now_us = ql_clock_now_us();
	uint64_t timeout_ms;
	char address[QL_ADDRESS_MAX];
	ql_http_request_t http = {
		.address = address,
		.method = gc->request->http_verb,
		.target = gc->request->http_url,
		.body = gc->request->binary_body,
		.body_bytes = gc->request->binary_body_length,
		.body_limit_bytes = gc->service->body_limit_bytes,
		.is_cancelled = gc->metadata.idempotent
					? cancel_if_caller_disconnected
					: NULL,
		.cancel_data = gc,
	};
	bool sent;
	int ret;

	if (now_us >= gc->call->deadline_us) {
		ql_failure_set_not_run(failure, QL_REASON_DEADLINE, NULL);
		return false;
	}
	timeout_ms = ql_remaining_ms(gc->call->deadline_us, now_us);
	ql_local_endpoint_copy_address(gc->endpoint, address);
	http.timeout_ms = timeout_ms;
	http.headers = make_endpoint_headers(gc, timeout_ms);
	ret = ql_http_client_exchange(service->client, &http, upstream, &sent,
				      NULL);
	curl_slist_free_all(http.headers);
	if (!ret)
		return true;
	if (!sent) {
		ql_failure_set_not_run(failure, QL_REASON_CONNECT_FAILED, NULL);
		return false;
	}
	failure->outcome = QL_OUTCOME_UNKNOWN;
	failure->reason = failure_reason(ret);
	return false;
}

static void record_event(ql_gate_service_t *service, const gate_call_t *gc,
			 ql_event_t event, ql_outcome_t outcome,
			 ql_reason_t reason)
{
	ql_timeline_event_t entry = {
		.event = event,
		.id = gc->metadata.attempt,
		.version = gc->doc->version,
		.has_outcome = event != QL_EVENT_GATE_ADMITTED,
		.outcome = outcome,
		.reason = reason,
		.service = gc->service->name,
		.endpoint = service->gate_address,
		.class_name = gc->call->class_name,
	};

	ql_timeline_record(&service->context->timeline, &entry);
}

/* Forwards an admitted call, and records its events and its latency. */
static bool forward_and_record(ql_gate_service_t *service, gate_call_t *gc,
			       ql_http_response_t *upstream,
			       ql_failure_t *failure)
{
	uint64_t start_us = ql_clock_now_us();
	bool answered;

	record_event(service, gc, QL_EVENT_GATE_ADMITTED, QL_OUTCOME_ANSWERED,
		     QL_REASON_NONE);
	answered = forward_to_endpoint(service, gc, upstream, failure);
	ql_latency_record(&service->context->counters, QL_LATENCY_ENDPOINT,
			  ql_clock_now_us() - start_us);
	record_event(service, gc, QL_EVENT_GATE_DONE,
		     answered ? QL_OUTCOME_ANSWERED : failure->outcome,
		     answered ? QL_REASON_NONE : failure->reason);
	return answered;
}

#define SERVER_ERROR_STATUS_MIN 500

/* Classifies the result of a call as a load signal for the gate. */
static ql_gate_outcome_t gate_outcome(bool answered,
				      const ql_http_response_t *upstream,
				      const ql_failure_t *failure)
{
	if (!answered)
		return failure->reason == QL_REASON_DEADLINE
			       ? QL_GATE_OVERLOADED
			       : QL_GATE_FAILED;
	if (ql_http_response_outcome(upstream) == QL_OUTCOME_NOT_RUN)
		return QL_GATE_OVERLOADED;
	return upstream->status >= SERVER_ERROR_STATUS_MIN ? QL_GATE_FAILED
							   : QL_GATE_SERVED;
}

/*
 * Whether the key of the call must be claimed first: the call is not idempotent
 * and the document names keepers.
 */
static bool is_keyed(const gate_call_t *gc)
{
	return gc->metadata.has & QL_HAS_KEY && !gc->metadata.idempotent &&
	       ql_keyed_request_has_keepers(gc->doc);
}

/* Arguments of run_claimed(). */
typedef struct {
	ql_gate_service_t *service;
	gate_call_t *gc;
} claimed_run_t;

static bool run_claimed(void *data, ql_http_response_t *upstream,
			ql_failure_t *failure)
{
	const claimed_run_t *claimed_run = data;

	record_event(claimed_run->service, claimed_run->gc,
		     QL_EVENT_KEY_CLAIMED, QL_OUTCOME_ANSWERED, QL_REASON_NONE);
	return forward_and_record(claimed_run->service, claimed_run->gc,
				  upstream, failure);
}

static bool forward_under_claim(ql_gate_service_t *service, gate_call_t *gc,
				ql_http_response_t *upstream,
				ql_failure_t *failure)
{
	claimed_run_t claimed_run = {service, gc};
	ql_keyed_request_t keyed = {
		.claims = service->claims,
		.doc = gc->doc,
		.request = gc->request,
		.key = gc->metadata.key,
		.deadline_us = gc->call->deadline_us,
		.run = run_claimed,
		.data = &claimed_run,
	};
	bool answered = ql_keyed_request_run(&keyed, upstream, failure);

	if (!answered)
		record_event(service, gc, QL_EVENT_KEY_REFUSED,
			     failure->outcome, failure->reason);
	return answered;
}

/*
 * Requests admission for the call, and forwards it if it is admitted. Returns
 * true if the endpoint sent a complete response, else sets the failure.
 */
static bool admit_and_forward(ql_gate_service_t *service, gate_call_t *gc,
			      ql_http_response_t *upstream,
			      ql_failure_t *failure)
{
	ql_admission_request_t admission = {
		.request = {.shed_order = gc->call->shed_order,
			    .under_way = gc->metadata.under_way,
			    .deadline_us = gc->call->deadline_us},
		.is_cancelled = is_caller_disconnected,
		.data = gc,
	};
	uint64_t start_us = ql_clock_now_us();
	ql_gate_decision_t decision =
		ql_local_endpoint_admit(gc->endpoint, &admission,
					&gc->load_level);
	bool answered;

	ql_latency_record(&service->context->counters, QL_LATENCY_GATE_WAIT,
			  ql_clock_now_us() - start_us);

	if (decision.verdict == QL_GATE_REFUSE) {
		ql_counter_increment(&service->context->counters,
				     QL_COUNT_GATE_REFUSED);
		ql_failure_set_not_run(failure, decision.reason, NULL);
		failure->retry_after_ms = decision.retry_after_ms;
		record_event(service, gc, QL_EVENT_GATE_REFUSED,
			     QL_OUTCOME_NOT_RUN, decision.reason);
		return false;
	}
	ql_counter_increment(&service->context->counters,
			     QL_COUNT_GATE_ADMITTED);
	if (ql_calls_add(&service->calls, gc->call)) {
		ql_local_endpoint_finish_request(gc->endpoint, decision.ticket,
						 QL_GATE_FAILED,
						 &gc->load_level);
		failure->outcome = QL_OUTCOME_UNKNOWN;
		failure->reason = QL_REASON_BAD_REQUEST;
		failure->detail = "this attempt is already in flight";
		return false;
	}
	answered = is_keyed(gc)
			   ? forward_under_claim(service, gc, upstream, failure)
			   : forward_and_record(service, gc, upstream, failure);
	ql_calls_remove(&service->calls, gc->call);
	ql_local_endpoint_finish_request(gc->endpoint, decision.ticket,
					 gate_outcome(answered, upstream,
						      failure),
					 &gc->load_level);
	return answered;
}

static void add_response_metadata(ql_gate_service_t *service, gate_call_t *gc,
				  ql_outcome_t outcome,
				  const ql_failure_t *failure,
				  struct _u_response *response)
{
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	metadata.has = QL_HAS_ATTEMPT | QL_HAS_ATTEMPTS_UNUSED |
		       QL_HAS_LOAD_LEVEL | QL_HAS_OUTCOME | QL_HAS_CLOCK |
		       QL_HAS_VERSION;
	metadata.attempt = gc->metadata.attempt;
	metadata.attempts_unused =
		gc->call ? ql_call_end(gc->call) : gc->metadata.attempts - 1;
	metadata.load_level =
		gc->call ? MAX(gc->load_level, ql_call_load_level(gc->call))
			 : gc->load_level;
	metadata.outcome = outcome;
	if (outcome == QL_OUTCOME_NOT_RUN && !failure->reason) {
		metadata.has |= QL_HAS_REASON;
		metadata.reason = QL_REASON_OVERLOAD;
	}
	metadata.version = gc->doc ? gc->doc->version : 0;
	metadata.clock = ql_context_tick_clock(service->context);
	ql_response_add_metadata(response, &metadata);
}

static bool parse_request(ql_gate_service_t *service, gate_call_t *gc,
			  struct _u_response *response)
{
	ql_failure_t failure = {0};
	GError *error = NULL;

	if (!ql_request_parse_metadata(&gc->metadata, gc->server, gc->request,
				       &error) &&
	    (gc->metadata.has & REQUIRED_METADATA) == REQUIRED_METADATA &&
	    gc->metadata.attempts)
		return true;
	ql_counter_increment(&service->context->counters,
			     QL_COUNT_BAD_METADATA);
	ql_failure_set_not_run(
		&failure, QL_REASON_BAD_REQUEST,
		error ? error->message
		      : "a required header is missing, or " QL_HEADER_ATTEMPTS
			" is 0");
	ql_response_set_failure(response, &failure);
	g_clear_error(&error);
	return false;
}

void ql_gate_service_handle(void *data, const struct _u_request *request,
			    struct _u_response *response)
{
	ql_gate_service_t *service = data;
	gate_call_t gc = {.server = service->server, .request = request};
	ql_failure_t failure = {0};
	ql_http_response_t upstream;
	ql_outcome_t outcome;

	if (!parse_request(service, &gc, response))
		return;
	ql_context_observe_metadata(service->context, &gc.metadata);
	ql_http_response_init(&upstream);
	if (resolve(service, &gc, &failure) &&
	    admit_and_forward(service, &gc, &upstream, &failure)) {
		outcome = ql_http_response_outcome(&upstream);
		ql_response_forward(response, &upstream);
	} else {
		outcome = failure.outcome;
		ql_response_set_failure(response, &failure);
	}
	add_response_metadata(service, &gc, outcome, &failure, response);
	ql_http_response_finish(&upstream);
	ql_call_unref(gc.call);
	ql_document_unref(gc.doc);
}
