#include "node/http_response.h"
#include "quetzalloft/error.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS_PER_S 1000u

static const char *const not_forwarded[] = {
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

static bool is_forwarded(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(not_forwarded); i++)
		if (!g_ascii_strcasecmp(not_forwarded[i], name))
			return false;
	return !ql_metadata_is_protocol_header(name) ||
	       !g_ascii_strcasecmp(name, QL_HEADER_KEY);
}

bool ql_failure_not_run(ql_failure_t *failure, ql_reason_t reason,
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

void ql_answer_fail(struct _u_response *response, const ql_failure_t *failure)
{
	char seconds[16];
	json_t *body;
	char *text;

	u_map_put(response->map_header, QL_HEADER_OUTCOME,
		  ql_outcome_name(failure->outcome));
	u_map_put(response->map_header, QL_HEADER_REASON,
		  ql_reason_name(failure->reason));
	if (failure->retry_after_ms) {
		snprintf(seconds, sizeof(seconds), "%u",
			 (failure->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		u_map_put(response->map_header, QL_HEADER_RETRY_AFTER, seconds);
	}
	body = json_pack("{s:s, s:s, s:s}", "outcome",
			 ql_outcome_name(failure->outcome), "reason",
			 ql_reason_name(failure->reason), "detail",
			 failure->detail ? failure->detail : "");
	text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	ql_answer_text(response, failure_status(failure), "application/json",
		       text ? text : "{}");
	free(text);
	json_decref(body);
}

void ql_answer_text(struct _u_response *response, unsigned int status,
		    const char *type, const char *text)
{
	ulfius_set_string_body_response(response, status, text);
	u_map_put(response->map_header, "Content-Type", type);
}

void ql_answer_pass(struct _u_response *response, ql_http_answer_t *answer)
{
	const ql_http_header_t *header;
	guint i;

	for (i = 0; i < answer->headers->len; i++) {
		header = &g_array_index(answer->headers, ql_http_header_t, i);
		if (is_forwarded(header->name))
			u_map_put(response->map_header, header->name,
				  header->value);
	}
	ulfius_set_binary_body_response(response, (unsigned int)answer->status,
					(const char *)answer->body->data,
					answer->body->len);
}

static void put_header(void *data, const char *name, const char *value)
{
	struct _u_response *response = data;

	u_map_put(response->map_header, name, value);
}

void ql_answer_add_metadata(struct _u_response *response,
			    const ql_metadata_t *metadata)
{
	ql_metadata_emit(metadata, put_header, response);
}

static struct curl_slist *append_header(struct curl_slist *list,
					const char *name, const char *value)
{
	/* libcurl drops a header without value unless it ends with ';'. */
	char *line = *value ? g_strconcat(name, ": ", value, NULL)
			    : g_strconcat(name, ";", NULL);
	struct curl_slist *longer = curl_slist_append(list, line);

	g_free(line);
	return longer ? longer : list;
}

struct curl_slist *ql_headers_forward(const struct _u_request *request)
{
	struct curl_slist *list = NULL;
	const char **names = u_map_enum_keys(request->map_header);
	size_t i;

	/* Keeps libcurl from adding headers that the caller did not send. */
	list = curl_slist_append(list, "Expect:");
	if (!u_map_has_key_case(request->map_header, "Accept"))
		list = curl_slist_append(list, "Accept:");
	if (!u_map_has_key_case(request->map_header, "Content-Type"))
		list = curl_slist_append(list, "Content-Type:");
	for (i = 0; names && names[i]; i++)
		if (is_forwarded(names[i]))
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

/* Where the headers of a request are collected. */
typedef struct {
	ql_metadata_t *metadata;
	GError **error;
	int ret;
} collector_t;

static bool collect_header(void *data, const char *name, const char *value)
{
	collector_t *collector = data;

	collector->ret = ql_metadata_add(collector->metadata, name, value,
					 collector->error);
	return !collector->ret;
}

int ql_request_metadata(ql_metadata_t *metadata, ql_http_server_t *server,
			const struct _u_request *request, GError **error)
{
	collector_t collector = {.metadata = metadata, .error = error};

	ql_metadata_init(metadata);
	ql_http_server_each_header(server, request, collect_header, &collector);
	return collector.ret;
}

int ql_answer_metadata(ql_metadata_t *metadata, const ql_http_answer_t *answer)
{
	const ql_http_header_t *header;
	guint i;
	int ret;

	ql_metadata_init(metadata);
	for (i = 0; i < answer->headers->len; i++) {
		header = &g_array_index(answer->headers, ql_http_header_t, i);
		ret = ql_metadata_add(metadata, header->name, header->value,
				      NULL);
		if (ret)
			return ret;
	}
	return 0;
}

ql_outcome_t ql_answer_outcome(const ql_http_answer_t *answer)
{
	const char *value = ql_http_answer_header(answer, QL_HEADER_OUTCOME);
	ql_outcome_t outcome;

	if (value && !ql_outcome_parse(&outcome, value) &&
	    outcome == QL_OUTCOME_NOT_RUN)
		return outcome;
	return QL_OUTCOME_ANSWERED;
}
