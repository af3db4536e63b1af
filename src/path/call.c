#include "path/call.h"
#include "http/reader.h"

#include <string.h>
#include <strings.h>

/* Prefix of the headers between nodes; see quetzalloft/metadata.h. */
#define PROTOCOL_PREFIX "Quetzalloft-"
#define MS_PER_S 1000.0

static void append(GByteArray *out, const char *text)
{
	g_byte_array_append(out, (const guint8 *)text, (guint)strlen(text));
}

ql_response_match_t ql_call_match_response(const char *call_id,
					   const char *response_id)
{
	if (!call_id[0])
		return QL_RESPONSE_OWN;
	if (!response_id)
		return QL_RESPONSE_UNIDENTIFIED;
	return strcmp(call_id, response_id) ? QL_RESPONSE_OTHER
					    : QL_RESPONSE_OWN;
}

bool ql_call_may_be_refusal(unsigned int status)
{
	return status == HTTP_STATUS_MISDIRECTED_REQUEST ||
	       status == HTTP_STATUS_TOO_MANY_REQUESTS ||
	       status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

bool ql_call_is_protocol_header(const char *name)
{
	return !strncasecmp(name, PROTOCOL_PREFIX, strlen(PROTOCOL_PREFIX));
}

static bool is_header(const char *name, const char *other)
{
	return other && !strcasecmp(name, other);
}

/* Checks whether the path or its ends cannot do without a header. */
static bool is_essential(const ql_dialect_t *dialect, const char *name)
{
	return is_header(name, "host") ||
	       is_header(name, dialect->request_id) ||
	       is_header(name, dialect->timeout_ms) ||
	       is_header(name, dialect->caller) ||
	       is_header(name, dialect->team) ||
	       is_header(name, dialect->expected_instance) ||
	       is_header(name, dialect->not_run) ||
	       is_header(name, dialect->seal);
}

static bool is_for_one_hop(const char *name)
{
	return ql_header_is_hop_by_hop(name) ||
	       ql_call_is_protocol_header(name);
}

bool ql_call_is_end_to_end(const ql_dialect_t *dialect,
			   const ql_headers_t *headers, const char *name)
{
	if (is_for_one_hop(name))
		return false;
	return is_essential(dialect, name) ||
	       !ql_headers_connection_lists(headers, name);
}

void ql_call_write_head(GByteArray *out, const ql_path_call_t *call,
			const char *skip, const char *also_skip)
{
	const char *name;
	size_t i;

	append(out, call->method);
	append(out, " ");
	append(out, call->target);
	append(out, " HTTP/1.1\r\n");
	for (i = 0; i < ql_headers_count(call->headers); i++) {
		name = ql_headers_name(call->headers, i);
		if (!is_for_one_hop(name) && !is_header(name, skip) &&
		    !is_header(name, also_skip))
			ql_headers_write(out, name,
					 ql_headers_value(call->headers, i));
	}
}

void ql_call_write_headers(GByteArray *out, const ql_dialect_t *dialect,
			   const ql_headers_t *headers)
{
	const char *name;
	size_t i;

	for (i = 0; i < ql_headers_count(headers); i++) {
		name = ql_headers_name(headers, i);
		if (ql_call_is_end_to_end(dialect, headers, name))
			ql_headers_write(out, name,
					 ql_headers_value(headers, i));
	}
}

void ql_call_write_body(GByteArray *out, const ql_path_call_t *call)
{
	if (call->body->len || (strcmp(call->method, "GET") != 0 &&
				strcmp(call->method, "HEAD") != 0))
		ql_headers_write_uint(out, "Content-Length", call->body->len);
	append(out, "\r\n");
	g_byte_array_append(out, call->body->data, call->body->len);
}

static void write_header(void *data, const char *name, const char *value)
{
	ql_headers_write(data, name, value);
}

void ql_call_write_metadata(GByteArray *out, const ql_metadata_t *metadata)
{
	ql_metadata_emit(metadata, write_header, out);
}

void ql_call_write_outcome(GByteArray *out, ql_outcome_t outcome,
			   ql_reason_t reason)
{
	ql_metadata_t metadata;

	ql_metadata_init(&metadata);
	metadata.has = QL_HAS_OUTCOME | QL_HAS_REASON;
	metadata.outcome = outcome;
	metadata.reason = reason;
	ql_call_write_metadata(out, &metadata);
}

void ql_call_write_retry_after(GByteArray *out, uint32_t retry_after_ms)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	g_ascii_formatd(text, sizeof(text), "%.3f", retry_after_ms / MS_PER_S);
	ql_headers_write(out, QL_HEADER_RETRY_AFTER, text);
}
