#include "node/http_response.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000u
#define JSON_TYPE "application/json"

static const char *const hop_by_hop_headers[] = {
	"Host",
	"Connection",
	"Keep-Alive",
	"Content-Length",
	"Transfer-Encoding",
	"TE",
	"Trailer",
	"Upgrade",
	"Proxy-Connection",
	"Expect",
	"Proxy-Authenticate",
	"Proxy-Authorization",
};

static bool is_end_to_end_header(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop_headers); i++)
		if (!g_ascii_strcasecmp(hop_by_hop_headers[i], name))
			return false;
	return !ql_metadata_is_protocol_header(name) ||
	       !g_ascii_strcasecmp(name, QL_HEADER_KEY);
}

bool ql_failure_set_not_run(ql_failure_t *failure, ql_reason_t reason,
			    const char *detail)
{
	failure->outcome = QL_OUTCOME_NOT_RUN;
	failure->reason = reason;
	failure->detail = detail;
	return false;
}

static unsigned int failure_status(const ql_failure_t *failure)
{
	switch (failure->reason) {
	case QL_REASON_BAD_REQUEST:
		return 400;
	case QL_REASON_NO_ROUTE:
		return 404;
	case QL_REASON_KEY_IN_PROGRESS:
		return 409;
	case QL_REASON_TOO_LARGE:
		return 413;
	case QL_REASON_KEY_CONFLICT:
		return 422;
	case QL_REASON_DEADLINE:
		return 504;
	default:
		return failure->outcome == QL_OUTCOME_UNKNOWN ? 502 : 503;
	}
}

void ql_response_set_failure(struct _u_response *response,
			     const ql_failure_t *failure)
{
	char seconds[16];

	u_map_put(response->map_header, QL_HEADER_OUTCOME,
		  ql_outcome_name(failure->outcome));
	u_map_put(response->map_header, QL_HEADER_REASON,
		  ql_reason_name(failure->reason));
	if (failure->retry_after_ms) {
		snprintf(seconds, sizeof(seconds), "%u",
			 (failure->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		u_map_put(response->map_header, QL_HEADER_RETRY_AFTER, seconds);
	}
	ql_response_set_json(response, failure_status(failure),
			     json_pack("{s:s, s:s, s:s}", "outcome",
				       ql_outcome_name(failure->outcome),
				       "reason",
				       ql_reason_name(failure->reason),
				       "detail",
				       failure->detail ? failure->detail : ""));
}

void ql_response_set_text(struct _u_response *response, unsigned int status,
			  const char *type, const char *text)
{
	/* Without a body, ulfius sends the status 200. */
	if (!text) {
		ql_log(LOG_ERR, "response_without_body",
		       QL_UINT("status", status));
		ulfius_set_empty_body_response(response, 500);
		return;
	}
	ulfius_set_string_body_response(response, status, text);
	u_map_put(response->map_header, "Content-Type", type);
}

void ql_response_set_json(struct _u_response *response, unsigned int status,
			  json_t *json)
{
	char *text = json ? ql_json_dump(json) : NULL;

	ql_response_set_text(response, status, JSON_TYPE, text);
	free(text);
	json_decref(json);
}

void ql_response_forward(struct _u_response *response,
			 ql_http_response_t *upstream)
{
	const ql_http_header_t *header;
	guint i;

	for (i = 0; i < upstream->headers->len; i++) {
		header = &g_array_index(upstream->headers, ql_http_header_t, i);
		if (is_end_to_end_header(header->name))
			u_map_put(response->map_header, header->name,
				  header->value);
	}
	/* ulfius leaves the status as it is when there is no body. */
	response->status = upstream->status;
	if (upstream->body->len)
		ulfius_set_binary_body_response(
			response, (unsigned int)upstream->status,
			(const char *)upstream->body->data,
			upstream->body->len);
}

static void put_header(void *data, const char *name, const char *value)
{
	struct _u_response *response = data;

	u_map_put(response->map_header, name, value);
}

void ql_response_add_metadata(struct _u_response *response,
			      const ql_metadata_t *metadata)
{
	ql_metadata_emit(metadata, put_header, response);
}

static struct curl_slist *append_header(struct curl_slist *list,
					const char *name, const char *value)
{
	/* libcurl sends a header without a value only if it ends with ';'. */
	char *line = *value ? g_strconcat(name, ": ", value, NULL)
			    : g_strconcat(name, ";", NULL);
	struct curl_slist *extended = curl_slist_append(list, line);

	g_free(line);
	return extended ? extended : list;
}

struct curl_slist *ql_headers_copy_end_to_end(const struct _u_request *request)
{
	struct curl_slist *list = NULL;
	const char **names = u_map_enum_keys(request->map_header);
	size_t i;

	/* libcurl adds these headers by default unless the list names them. */
	list = curl_slist_append(list, "Expect:");
	if (!u_map_has_key_case(request->map_header, "Accept"))
		list = curl_slist_append(list, "Accept:");
	if (!u_map_has_key_case(request->map_header, "Content-Type"))
		list = curl_slist_append(list, "Content-Type:");
	for (i = 0; names && names[i]; i++)
		if (is_end_to_end_header(names[i]))
			list = append_header(list, names[i],
					     u_map_get(request->map_header,
						       names[i]));
	return list;
}

static void add_line(void *data, const char *name, const char *value)
{
	struct curl_slist **list = data;

	*list = append_header(*list, name, value);
}

struct curl_slist *ql_headers_add_metadata(struct curl_slist *headers,
					   const ql_metadata_t *metadata)
{
	ql_metadata_emit(metadata, add_line, &headers);
	return headers;
}

/* State of parsing the headers of one request. */
typedef struct {
	ql_metadata_t *metadata;
	GError **error;
	int ret;
} metadata_parser_t;

static bool parse_header(void *data, const char *name, const char *value)
{
	metadata_parser_t *parser = data;

	parser->ret =
		ql_metadata_add(parser->metadata, name, value, parser->error);
	return !parser->ret;
}

int ql_request_parse_metadata(ql_metadata_t *metadata, ql_http_server_t *server,
			      const struct _u_request *request, GError **error)
{
	metadata_parser_t parser = {.metadata = metadata, .error = error};

	ql_metadata_init(metadata);
	ql_http_server_visit_headers(server, request, parse_header, &parser);
	return parser.ret;
}

int ql_http_response_parse_metadata(ql_metadata_t *metadata,
				    const ql_http_response_t *response)
{
	const ql_http_header_t *header;
	guint i;
	int ret;

	ql_metadata_init(metadata);
	for (i = 0; i < response->headers->len; i++) {
		header = &g_array_index(response->headers, ql_http_header_t, i);
		ret = ql_metadata_add(metadata, header->name, header->value,
				      NULL);
		if (ret)
			return ret;
	}
	return 0;
}

ql_outcome_t ql_http_response_outcome(const ql_http_response_t *response)
{
	const char *value =
		ql_http_response_find_header(response, QL_HEADER_OUTCOME);
	ql_outcome_t outcome;

	if (value && !ql_outcome_parse(&outcome, value) &&
	    outcome == QL_OUTCOME_NOT_RUN)
		return outcome;
	return QL_OUTCOME_ANSWERED;
}
