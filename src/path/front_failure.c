#include "path/front_internal.h"
#include "quetzalloft/metadata.h"

#define RETRY_AFTER_DEFAULT_MS 500u

static unsigned int http_status_of(ql_outcome_t outcome, ql_reason_t reason)
{
	if (outcome != QL_OUTCOME_NOT_RUN)
		return reason == QL_REASON_DEADLINE
			       ? HTTP_STATUS_GATEWAY_TIMEOUT
			       : HTTP_STATUS_BAD_GATEWAY;
	switch (reason) {
	case QL_REASON_NO_ROUTE:
		return HTTP_STATUS_NOT_FOUND;
	case QL_REASON_BAD_REQUEST:
		return HTTP_STATUS_BAD_REQUEST;
	case QL_REASON_TOO_LARGE:
		return HTTP_STATUS_PAYLOAD_TOO_LARGE;
	case QL_REASON_UNKNOWN_KEY:
		return HTTP_STATUS_UNAUTHORIZED;
	case QL_REASON_QUOTA:
		return HTTP_STATUS_TOO_MANY_REQUESTS;
	default:
		return HTTP_STATUS_SERVICE_UNAVAILABLE;
	}
}

/* The delay requested by a gate, or else a default with jitter. */
static uint32_t retry_after_ms(ql_front_t *front,
			       const ql_call_result_t *result)
{
	if (result->retry_after_ms)
		return result->retry_after_ms;
	return ql_retry_after_ms(RETRY_AFTER_DEFAULT_MS, front->random);
}

void ql_front__count_outcome(ql_front_t *front, ql_outcome_t outcome)
{
	ql_counter_t counter = QL_COUNT_CLIENT_UNKNOWN;

	if (outcome == QL_OUTCOME_ANSWERED)
		counter = QL_COUNT_CLIENT_ANSWERED;
	else if (outcome == QL_OUTCOME_NOT_RUN)
		counter = QL_COUNT_CLIENT_NOT_RUN;
	ql_counter_increment(front->opts.counters, counter);
}

void ql_front__send_failure(ql_front_t *front, ql_http_exchange_t *exchange,
			    const ql_call_result_t *result)
{
	unsigned int status = http_status_of(result->outcome, result->reason);
	const char *id_name = front->opts.dialect->request_id;
	const char *id = ql_headers_get(&exchange->headers, id_name);
	GByteArray *header_lines = g_byte_array_new();

	if (id)
		ql_headers_write(header_lines, id_name, id);
	ql_call_write_outcome(header_lines, result->outcome, result->reason);
	if (status == HTTP_STATUS_SERVICE_UNAVAILABLE ||
	    status == HTTP_STATUS_TOO_MANY_REQUESTS)
		ql_call_write_retry_after(header_lines,
					  retry_after_ms(front, result));
	ql_http_exchange_write_head(exchange, status, header_lines, 0);
	ql_http_exchange_end(exchange);
	g_byte_array_free(header_lines, TRUE);
}
