#include "node/attempt.h"
#include "quetzalloft/error.h"

#include <string.h>

static struct curl_slist *make_request_headers(const ql_attempt_t *attempt,
					       uint64_t timeout_ms)
{
	const ql_router_request_t *request = attempt->request;
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	metadata.has = QL_HAS_TIMEOUT | QL_HAS_ATTEMPTS | QL_HAS_ATTEMPT |
		       QL_HAS_VERSION | QL_HAS_CLASS | QL_HAS_SERVICE |
		       QL_HAS_UNDER_WAY | QL_HAS_CLOCK | QL_HAS_IDEMPOTENT;
	metadata.timeout_ms = timeout_ms;
	metadata.attempts = attempt->attempts_lent;
	metadata.attempt = attempt->id;
	metadata.version = request->config_version;
	metadata.under_way = request->under_way;
	metadata.idempotent = request->idempotent;
	metadata.clock = ql_context_tick_clock(attempt->context);
	g_strlcpy(metadata.class_name, request->call->class_name, QL_NAME_MAX);
	g_strlcpy(metadata.service, request->service->name, QL_NAME_MAX);
	return ql_headers_add_metadata(ql_headers_copy_end_to_end(
					       request->request),
				       &metadata);
}

static ql_reason_t failure_reason(int ret, bool sent)
{
	switch (ret) {
	case QL_E_TIMEOUT:
		return QL_REASON_DEADLINE;
	case QL_E_CANCELLED:
		return QL_REASON_CANCELLED;
	case QL_E_TOO_LARGE:
		return QL_REASON_TOO_LARGE;
	case QL_E_PROTOCOL:
		return QL_REASON_BAD_ANSWER;
	default:
		return sent ? QL_REASON_CONNECTION_LOST
			    : QL_REASON_CONNECT_FAILED;
	}
}

static ql_event_t failure_event(ql_reason_t reason)
{
	switch (reason) {
	case QL_REASON_CANCELLED:
		return QL_EVENT_ATTEMPT_CANCELLED;
	case QL_REASON_TOO_LARGE:
	case QL_REASON_BAD_ANSWER:
		return QL_EVENT_ATTEMPT_DROPPED;
	default:
		return QL_EVENT_ATTEMPT_LOST;
	}
}

static uint64_t retry_after_us(const ql_http_response_t *response)
{
	const char *value =
		ql_http_response_find_header(response, QL_HEADER_RETRY_AFTER);

	return value ? g_ascii_strtoull(value, NULL, 10) * QL_US_PER_S : 0;
}

static bool is_response_to_attempt(const ql_metadata_t *metadata,
				   const ql_attempt_id_t *id)
{
	return metadata->has & QL_HAS_ATTEMPT &&
	       metadata->has & QL_HAS_OUTCOME &&
	       metadata->attempt.attempt == id->attempt &&
	       metadata->attempt.request == id->request;
}

static ql_event_t outcome_event(ql_outcome_t outcome)
{
	switch (outcome) {
	case QL_OUTCOME_ANSWERED:
		return QL_EVENT_ATTEMPT_ANSWERED;
	case QL_OUTCOME_NOT_RUN:
	case QL_OUTCOME_REFUSED:
		return QL_EVENT_ATTEMPT_REFUSED;
	default:
		return QL_EVENT_ATTEMPT_LOST;
	}
}

/*
 * Parses the complete response of a gate. A response to another attempt is
 * dropped, so the outcome of this one is unknown.
 */
static ql_event_t parse_response(const ql_attempt_t *attempt,
				 const ql_http_response_t *response,
				 ql_attempt_completion_t *completion)
{
	ql_attempt_result_t *result = &completion->result;
	ql_metadata_t metadata;

	if (ql_http_response_parse_metadata(&metadata, response) ||
	    !is_response_to_attempt(&metadata, &attempt->id)) {
		ql_counter_increment(&attempt->context->counters,
				     QL_COUNT_BAD_ANSWERS);
		result->outcome = QL_OUTCOME_UNKNOWN;
		result->reason = QL_REASON_BAD_ANSWER;
		return QL_EVENT_ATTEMPT_DROPPED;
	}
	ql_context_observe_metadata(attempt->context, &metadata);
	result->outcome = metadata.outcome;
	result->reason =
		metadata.has & QL_HAS_REASON ? metadata.reason : QL_REASON_NONE;
	result->has_load_level = metadata.has & QL_HAS_LOAD_LEVEL;
	result->load_level = (uint32_t)metadata.load_level;
	completion->attempts_unused =
		metadata.has & QL_HAS_ATTEMPTS_UNUSED
			? (uint32_t)metadata.attempts_unused
			: 0;
	if (metadata.outcome != QL_OUTCOME_ANSWERED)
		result->retry_after_us = retry_after_us(response);
	return outcome_event(metadata.outcome);
}

static void record_event(const ql_attempt_t *attempt, ql_event_t event,
			 const ql_attempt_completion_t *completion)
{
	ql_timeline_event_t entry = {
		.event = event,
		.id = attempt->id,
		.parent = attempt->request->call->id.attempt,
		.version = attempt->request->config_version,
		.service = attempt->request->service->name,
		.endpoint = attempt->gate,
		.class_name = attempt->request->call->class_name,
	};

	if (completion) {
		entry.has_outcome = true;
		entry.outcome = completion->result.outcome;
		entry.reason = completion->result.reason;
	}
	ql_timeline_record(&attempt->context->timeline, &entry);
}

/*
 * Moves the state chart to its final state, which gives the outcome, and
 * records the event.
 */
static void record_completion(const ql_attempt_t *attempt, bool sent,
			      ql_event_t event,
			      ql_attempt_completion_t *completion)
{
	static const ql_outcome_t outcomes[QL_N_ATTEMPT_STATES] = {
		[QL_ATTEMPT_CHOSEN] = QL_OUTCOME_UNKNOWN,
		[QL_ATTEMPT_SENT] = QL_OUTCOME_UNKNOWN,
		[QL_ATTEMPT_ANSWERED] = QL_OUTCOME_ANSWERED,
		[QL_ATTEMPT_NOT_RUN] = QL_OUTCOME_NOT_RUN,
		[QL_ATTEMPT_UNKNOWN] = QL_OUTCOME_UNKNOWN,
	};
	const ql_life_cycles_t *cycles = &attempt->context->cycles;
	ql_attempt_state_t state = QL_ATTEMPT_CHOSEN;

	if (sent)
		ql_attempt_step(cycles, &state, QL_EVENT_ATTEMPT_SENT);
	ql_attempt_step(cycles, &state, event);
	/*
	 * The chart has one state for not-run and refused. QL_OUTCOME_REFUSED
	 * is kept: other copies of a keyed request may have run.
	 */
	if (state != QL_ATTEMPT_NOT_RUN ||
	    completion->result.outcome != QL_OUTCOME_REFUSED)
		completion->result.outcome = outcomes[state];
	record_event(attempt, event, completion);
}

void ql_attempt_execute(const ql_attempt_t *attempt,
			ql_http_response_t *response,
			ql_attempt_completion_t *completion)
{
	const ql_router_request_t *request = attempt->request;
	uint64_t start_us = ql_clock_now_us();
	uint64_t timeout_ms = ql_remaining_ms(request->deadline_us, start_us);
	ql_http_request_t http = {
		.address = attempt->gate,
		.method = request->request->http_verb,
		.target = request->request->http_url,
		.body = request->request->binary_body,
		.body_bytes = request->request->binary_body_length,
		.timeout_ms = timeout_ms,
		.body_limit_bytes = request->service->body_limit_bytes,
		.is_cancelled = request->is_cancelled,
		.cancel_data = request->cancel_data,
	};
	ql_event_t event;
	bool sent;
	int ret;

	memset(completion, 0, sizeof(*completion));
	record_event(attempt, QL_EVENT_ATTEMPT_SENT, NULL);
	http.headers = make_request_headers(attempt, timeout_ms);
	ret = ql_http_client_exchange(attempt->client, &http, response, &sent,
				      NULL);
	curl_slist_free_all(http.headers);
	if (ret) {
		completion->result.reason = failure_reason(ret, sent);
		completion->attempts_unused =
			sent ? 0 : attempt->attempts_lent - 1;
		event = failure_event(completion->result.reason);
	} else {
		event = parse_response(attempt, response, completion);
	}
	completion->result.latency_us = ql_clock_now_us() - start_us;
	ql_latency_record(&attempt->context->counters, QL_LATENCY_ATTEMPT,
			  completion->result.latency_us);
	record_completion(attempt, sent, event, completion);
}
