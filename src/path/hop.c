#include "path/hop.h"
#include "quetzalloft/address.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/metadata.h"

#include <string.h>
#include <strings.h>

#define CONNECT_TIMEOUT_MS 500u
/* Shorter than the idle timeout of gates, so that they do not close first. */
#define CONNECTION_IDLE_MAX_MS 20000u
#define IDLE_CONNECTIONS_PER_GATE_MAX 16u
#define MS_PER_S 1000.0

/*
 * A call to the gate of another node. The response is dropped if its headers
 * are malformed or its outcome is not QL_OUTCOME_ANSWERED.
 */
typedef struct {
	const char *request_id;
	char id[QL_KEY_MAX];
	char attempt[QL_ATTEMPT_TEXT_MAX];
	ql_upstream_request_t *request;
	const ql_call_sink_t *sink;
	void *data;
	ql_call_result_t result;
	bool bodiless;
	bool malformed;
} hop_call_t;

static void free_upstream(void *upstream)
{
	ql_upstream_free(upstream);
}

void ql_hops_init(ql_hops_t *hops, ql_loop_t *loop, const char *request_id)
{
	hops->request_id = request_id;
	hops->loop = loop;
	hops->last_attempt.request =
		(uint64_t)g_random_int() << 32 | g_random_int();
	hops->last_attempt.attempt = 0;
	hops->gates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_upstream);
}

void ql_hops_finish(ql_hops_t *hops)
{
	g_hash_table_destroy(hops->gates);
}

void ql_hops_remove_gate(ql_hops_t *hops, const char *gate)
{
	g_hash_table_remove(hops->gates, gate);
}

/*
 * Reads a header of the protocol. A response is good without the occupancy of
 * its gate, so a malformed one is only counted.
 */
static void read_header(hop_call_t *call, ql_metadata_t *metadata,
			const char *name, const char *value)
{
	if (!ql_metadata_add(metadata, name, value, NULL))
		return;
	if (g_ascii_strcasecmp(name, QL_HEADER_OCCUPANCY) != 0) {
		call->malformed = true;
		return;
	}
	call->result.bad_occupancy = true;
	metadata->has &= ~(uint32_t)QL_HAS_OCCUPANCY;
}

/* Reads the result of a call from the response headers of a gate. */
static void read_result(hop_call_t *call, const ql_headers_t *headers)
{
	const char *name, *value;
	ql_metadata_t metadata;
	size_t i;

	ql_metadata_init(&metadata);
	for (i = 0; i < ql_headers_count(headers); i++) {
		name = ql_headers_name(headers, i);
		value = ql_headers_value(headers, i);
		if (ql_call_is_protocol_header(name))
			read_header(call, &metadata, name, value);
	}
	value = ql_headers_get(headers, QL_HEADER_RETRY_AFTER);
	if (!(metadata.has & QL_HAS_OUTCOME))
		call->malformed = true;
	call->result.outcome = metadata.outcome;
	call->result.reason = metadata.reason;
	call->result.has_load_level = (metadata.has & QL_HAS_LOAD_LEVEL) != 0;
	call->result.load_level = (uint32_t)metadata.load_level;
	call->result.pressure = (double)metadata.pressure / QL_PRESSURE_SCALE;
	call->result.has_occupancy = (metadata.has & QL_HAS_OCCUPANCY) &&
				     !call->result.bad_occupancy;
	call->result.occupancy =
		(double)metadata.occupancy / QL_OCCUPANCY_SCALE;
	if (call->result.outcome != QL_OUTCOME_ANSWERED && value)
		call->result.retry_after_ms =
			(uint32_t)(g_ascii_strtod(value, NULL) * MS_PER_S);
}

/*
 * A gate echoes the attempt, which tells apart two runs of a request. One of an
 * earlier version does not.
 */
static const char *echoed_attempt(const ql_http_reader_t *reader)
{
	return ql_headers_get(&reader->headers, QL_HEADER_ATTEMPT_ID);
}

static ql_response_match_t match_response(const hop_call_t *call,
					  const ql_http_reader_t *reader)
{
	const char *attempt = echoed_attempt(reader);

	if (attempt && strcmp(attempt, call->attempt) != 0)
		return QL_RESPONSE_OTHER;
	return ql_call_match_response(call->id,
				      ql_headers_get(&reader->headers,
						     call->request_id));
}

static bool may_be_response(void *data, const ql_http_reader_t *reader)
{
	return match_response(data, reader) != QL_RESPONSE_OTHER;
}

static void on_head(void *data, ql_http_reader_t *reader)
{
	hop_call_t *call = data;
	ql_response_head_t head = {
		.status = ql_http_reader_status(reader),
		.headers = &reader->headers,
		.length = call->bodiless ? 0 : ql_http_reader_length(reader),
	};

	read_result(call, &reader->headers);
	if (match_response(call, reader) != QL_RESPONSE_OWN)
		call->malformed = true;
	if (call->malformed ||
	    (!echoed_attempt(reader) && ql_call_may_be_refusal(head.status)))
		ql_upstream_retire(call->request);
	head.pressure = call->result.pressure;
	if (!call->malformed && call->result.outcome == QL_OUTCOME_ANSWERED)
		call->sink->head(call->data, &head);
}

static void on_body(void *data, const char *bytes, size_t length)
{
	hop_call_t *call = data;

	if (!call->malformed && call->result.outcome == QL_OUTCOME_ANSWERED)
		call->sink->body(call->data, bytes, length);
}

static void fail_call(hop_call_t *call, ql_outcome_t outcome,
		      ql_reason_t reason)
{
	call->result.outcome = outcome;
	call->result.reason = reason;
	call->sink->failed(call->data, &call->result);
	g_free(call);
}

static void on_complete(void *data)
{
	hop_call_t *call = data;

	if (call->malformed) {
		fail_call(call, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER);
		return;
	}
	if (call->result.outcome == QL_OUTCOME_ANSWERED)
		call->sink->complete(call->data, &call->result);
	else
		call->sink->failed(call->data, &call->result);
	g_free(call);
}

static void on_failed(void *data, ql_upstream_failure_t failure)
{
	hop_call_t *call = data;

	if (failure == QL_UPSTREAM_NOT_SENT)
		fail_call(call, QL_OUTCOME_NOT_RUN, QL_REASON_CONNECT_FAILED);
	else if (failure == QL_UPSTREAM_MALFORMED)
		fail_call(call, QL_OUTCOME_UNKNOWN, QL_REASON_BAD_ANSWER);
	else
		fail_call(call, QL_OUTCOME_UNKNOWN, QL_REASON_CONNECTION_LOST);
}

static const ql_upstream_ops_t upstream_ops = {
	.accepts = may_be_response,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

/* Closes the connection, which cancels the call at the gate. */
static void cancel(void *data)
{
	hop_call_t *call = data;

	ql_upstream_cancel(call->request);
	g_free(call);
}

static void pause_response(void *data)
{
	ql_upstream_pause(((hop_call_t *)data)->request);
}

static void resume_response(void *data)
{
	ql_upstream_resume(((hop_call_t *)data)->request);
}

static const ql_call_handle_ops_t handle_ops = {
	.cancel = cancel,
	.pause = pause_response,
	.resume = resume_response,
};

static GByteArray *write_request(ql_hops_t *hops, const ql_path_call_t *call)
{
	GByteArray *bytes = g_byte_array_sized_new(1024);
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	/* The default of the flags is 0. */
	metadata.has = QL_HAS_TIMEOUT | QL_HAS_SERVICE | QL_HAS_CLASS |
		       QL_HAS_VERSION | QL_HAS_ATTEMPT |
		       (call->idempotent ? QL_HAS_IDEMPOTENT : 0) |
		       (call->under_way ? QL_HAS_UNDER_WAY : 0) |
		       (call->repeat ? QL_HAS_REPEAT : 0);
	metadata.timeout_ms =
		ql_remaining_ms(call->deadline_us, ql_loop_now_us(hops->loop));
	hops->last_attempt.attempt++;
	metadata.attempt = hops->last_attempt;
	metadata.version = call->version;
	metadata.idempotent = call->idempotent;
	metadata.under_way = call->under_way;
	metadata.repeat = call->repeat;
	g_strlcpy(metadata.service, call->service, sizeof(metadata.service));
	g_strlcpy(metadata.class_name, call->class_name,
		  sizeof(metadata.class_name));
	ql_call_write_head(bytes, call, NULL, NULL);
	ql_call_write_metadata(bytes, &metadata);
	ql_call_write_body(bytes, call);
	return bytes;
}

static ql_upstream_t *get_upstream(ql_hops_t *hops, const char *gate)
{
	ql_upstream_t *upstream = g_hash_table_lookup(hops->gates, gate);
	ql_upstream_opts_t opts = {
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_ms = CONNECTION_IDLE_MAX_MS,
		.idle_max = IDLE_CONNECTIONS_PER_GATE_MAX,
	};

	if (upstream)
		return upstream;
	if (ql_address_parse(&opts.address, gate, NULL))
		return NULL;
	upstream = ql_upstream_new(hops->loop, &opts);
	g_hash_table_insert(hops->gates, g_strdup(gate), upstream);
	return upstream;
}

void ql_hops_call(ql_hops_t *hops, const char *gate, const ql_path_call_t *call,
		  const ql_call_sink_t *sink, void *data, ql_call_handle_t *out)
{
	ql_upstream_t *upstream = get_upstream(hops, gate);
	hop_call_t *hop = g_new0(hop_call_t, 1);
	ql_upstream_call_t send = {
		.bytes = write_request(hops, call),
		.bodiless = !strcmp(call->method, "HEAD"),
		.ops = &upstream_ops,
		.data = hop,
	};

	*out = (ql_call_handle_t){&handle_ops, hop};
	hop->request_id = hops->request_id;
	g_strlcpy(hop->id, call->id, sizeof(hop->id));
	ql_attempt_format(hop->attempt, &hops->last_attempt);
	hop->sink = sink;
	hop->data = data;
	hop->bodiless = send.bodiless;
	hop->request = upstream ? ql_upstream_send(upstream, &send) : NULL;
	g_byte_array_free((GByteArray *)send.bytes, TRUE);
	if (hop->request)
		return;
	out->call = NULL;
	fail_call(hop, QL_OUTCOME_NOT_RUN, QL_REASON_CONNECT_FAILED);
}
