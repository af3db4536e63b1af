#include "node/operator_http.h"
#include "node/http_response.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/log.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define PATH_CONFIG "/quetzalloft/config"
#define BODY_LIMIT_BYTES (4u << 20)
#define OPERATOR_CONNECTIONS_MAX 256u
/*
 * Longest time to wait for a quorum. An operator sends its request to another
 * replica after a second, so the answer must be earlier.
 */
#define QUORUM_WAIT_MAX_US (900 * QL_US_PER_MS)
#define QUORUM_POLL_INTERVAL_US (5 * QL_US_PER_MS)

/* A request in flight and its response. */
typedef struct {
	ql_operator_http_t *operators;
	const struct _u_request *request;
	struct _u_response *response;
	uint64_t started_us;
} operation_t;

static void respond_error(operation_t *operation, unsigned int status,
			  const char *detail)
{
	ql_response_set_json(operation->response, status,
			     json_pack("{s:s}", "error", detail));
}

static bool has_timed_out(const operation_t *operation)
{
	return ql_clock_now_us() - operation->started_us > QUORUM_WAIT_MAX_US;
}

/* The operators' interface of every replica has the same port. */
static void redirect_to_leader(operation_t *operation, const char *leader)
{
	const char *own = operation->operators->settings->listen.operator_;
	const char *colon = strchr(leader, ':');
	char *location;

	if (!colon) {
		respond_error(operation, 503, "no leader is known; try again");
		return;
	}
	location = g_strdup_printf("http://%.*s%s%s", (int)(colon - leader),
				   leader, strrchr(own, ':'),
				   operation->request->http_url);
	u_map_put(operation->response->map_header, "Location", location);
	respond_error(operation, 307, "another replica leads");
	g_free(location);
}

static void copy_leader_address(const ql_operator_http_t *operators,
				char *leader)
{
	pthread_mutex_lock(&operators->replica->view_lock);
	g_strlcpy(leader, operators->replica->view.leader_address,
		  QL_ADDRESS_MAX);
	pthread_mutex_unlock(&operators->replica->view_lock);
}

static void respond_put(operation_t *operation, const ql_patch_answer_t *answer,
			const char *leader)
{
	switch (answer->status) {
	case 0:
		ql_response_set_json(operation->response, 200,
				     json_pack("{s:I}", "version",
					       (json_int_t)answer->version));
		break;
	case QL_E_STALE:
		respond_error(operation, 412, answer->detail);
		break;
	case QL_E_TOO_LARGE:
		respond_error(operation, 413, answer->detail);
		break;
	case QL_E_NOT_LEADER:
		redirect_to_leader(operation, leader);
		break;
	case QL_E_PENDING:
	case QL_E_UNAVAILABLE:
	case QL_E_FULL:
		respond_error(operation, 503, answer->detail);
		break;
	default:
		respond_error(operation, 400, answer->detail);
		break;
	}
}

/*
 * Repeats the patch while its answer is pending, for up to QUORUM_WAIT_MAX_US,
 * and responds with the last answer.
 */
static void submit_patch(operation_t *operation, const ql_patch_t *patch)
{
	ql_patch_answer_t answer;
	char leader[QL_ADDRESS_MAX];

	for (;;) {
		ql_replica_service_submit(operation->operators->replica, patch,
					  &answer, leader);
		if (answer.status != QL_E_PENDING || has_timed_out(operation))
			break;
		g_usleep(QUORUM_POLL_INTERVAL_US);
	}
	respond_put(operation, &answer, leader);
	ql_log(LOG_NOTICE, "document_put", QL_STR("id", patch->id),
	       QL_UINT("base", patch->base_version),
	       QL_UINT("version", patch->version),
	       QL_STR("error", ql_error_name(answer.status)),
	       QL_STR("detail", answer.detail));
}

/*
 * Derives the id from the document and its base version, so that a repeated
 * request is deduplicated.
 */
static void set_id(ql_patch_t *patch, const char *body, size_t length)
{
	XXH128_hash_t hash =
		XXH3_128bits_withSeed(body, length, patch->base_version);

	g_snprintf(patch->id, sizeof(patch->id),
		   "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
		   (uint64_t)hash.high64, (uint64_t)hash.low64);
}

static int read_base_version(const operation_t *operation, uint64_t *out,
			     GError **error)
{
	const char *name = operation->operators->dialect->base_version;
	const char *value =
		u_map_get_case(operation->request->map_header, name);
	guint64 number;

	if (!value || !g_ascii_string_to_unsigned(value, 10, 0, UINT64_MAX,
						  &number, NULL))
		return ql_error_set(error, QL_E_INVALID,
				    "%s: found \"%s\", allowed a number", name,
				    value ? value : "nothing");
	*out = number;
	return 0;
}

static void put_document(operation_t *operation)
{
	const ql_dialect_t *dialect = operation->operators->dialect;
	const char *body = operation->request->binary_body;
	size_t length = operation->request->binary_body_length;
	ql_patch_t patch = {.whole = true};
	json_t *document = NULL;
	GError *error = NULL;
	char *text;
	int ret;

	/* A body above the limit is cut off, see ql_http_server_opts_t. */
	if (length > BODY_LIMIT_BYTES) {
		respond_error(operation, 413, "the document is too large");
		return;
	}
	ret = read_base_version(operation, &patch.base_version, &error);
	if (!ret)
		ret = dialect->read_document(&document, &patch.version,
					     body ? body : "", length, &error);
	if (ret) {
		ql_log_error(LOG_NOTICE, "document_refused", error);
		respond_error(operation, 400, error->message);
		g_error_free(error);
		return;
	}
	set_id(&patch, body, length);
	text = ql_json_dump(document);
	patch.text = text;
	patch.length = strlen(text);
	submit_patch(operation, &patch);
	free(text);
	json_decref(document);
}

static void respond_document(operation_t *operation)
{
	ql_replica_service_t *replica = operation->operators->replica;
	ql_document_t *doc;
	json_t *json;

	pthread_mutex_lock(replica->lock);
	doc = ql_document_ref(replica->state->doc);
	pthread_mutex_unlock(replica->lock);
	json = doc->version ? operation->operators->dialect->write_document(doc)
			    : NULL;
	if (json)
		ql_response_set_json(operation->response, 200, json);
	else
		respond_error(operation, 503, "there is no document yet");
	ql_document_unref(doc);
}

static void get_document(operation_t *operation)
{
	char leader[QL_ADDRESS_MAX];
	uint64_t token = 0;
	int ret;

	for (;;) {
		ret = ql_replica_service_read(operation->operators->replica,
					      &token);
		if (ret != QL_E_PENDING || has_timed_out(operation))
			break;
		g_usleep(QUORUM_POLL_INTERVAL_US);
	}
	if (!ret) {
		respond_document(operation);
	} else if (ret == QL_E_NOT_LEADER) {
		copy_leader_address(operation->operators, leader);
		redirect_to_leader(operation, leader);
	} else {
		respond_error(operation, 503,
			      "no quorum of replicas has confirmed "
			      "that the document is current");
	}
}

static void handle(void *data, const struct _u_request *request,
		   struct _u_response *response)
{
	operation_t operation = {
		.operators = data,
		.request = request,
		.response = response,
		.started_us = ql_clock_now_us(),
	};

	if (strcmp(request->url_path, PATH_CONFIG) != 0)
		respond_error(&operation, 404, "no such resource");
	else if (!strcasecmp(request->http_verb, "PUT"))
		put_document(&operation);
	else if (!strcasecmp(request->http_verb, "GET"))
		get_document(&operation);
	else
		respond_error(&operation, 405, "allowed: GET, PUT");
}

int ql_operator_http_start(ql_operator_http_t *operators, GError **error)
{
	const ql_http_server_opts_t opts = {
		.address = operators->settings->address,
		.connections = OPERATOR_CONNECTIONS_MAX,
		.body_limit_bytes = BODY_LIMIT_BYTES,
		.handle = handle,
		.data = operators,
	};

	return ql_http_server_start_at(&operators->server, &opts,
				       operators->settings->listen.operator_,
				       error);
}

void ql_operator_http_stop(ql_operator_http_t *operators)
{
	ql_http_server_stop(&operators->server);
}
