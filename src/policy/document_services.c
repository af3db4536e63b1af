#include "policy/document_internal.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define QUEUE_WAIT_DEFAULT_MS 50
#define QUEUE_WAIT_MAX_MS 10000
#define RETRY_RATIO_DEFAULT 0.1
#define LIMITER_DEFAULT "gradient"
#define SERVICE_CONNECTIONS_MAX 65535

typedef struct {
	json_t *calls;
	double retry_ratio;
	uint64_t body_limit_bytes;
	uint64_t queue_ms;
	char limiter[QL_NAME_MAX];
	uint64_t connections;
	char health_path[QL_PATH_MAX];
} service_source_t;

static const ql_json_member_t service_members[] = {
	QL_MEMBER_ARRAY(service_source_t, calls, false),
	QL_MEMBER_REAL(service_source_t, retry_ratio, false, 0, 1),
	QL_MEMBER_UINT(service_source_t, body_limit_bytes, false, 1,
		       QL_BODY_LIMIT_MAX_BYTES),
	QL_MEMBER_UINT(service_source_t, queue_ms, false, 0, QUEUE_WAIT_MAX_MS),
	QL_MEMBER_STRING(service_source_t, limiter, false, 1),
	QL_MEMBER_UINT(service_source_t, connections, false, 1,
		       SERVICE_CONNECTIONS_MAX),
	QL_MEMBER_STRING(service_source_t, health_path, false, 1),
};

static int compile_service(ql_service_t *service, const char *name,
			   json_t *value, GError **error)
{
	service_source_t source = {
		.retry_ratio = RETRY_RATIO_DEFAULT,
		.body_limit_bytes = QL_BODY_LIMIT_DEFAULT_BYTES,
		.queue_ms = QUEUE_WAIT_DEFAULT_MS,
		.limiter = LIMITER_DEFAULT,
	};
	char path[JSON_PATH_MAX_BYTES];
	int ret;

	snprintf(path, sizeof(path), "services.%s", name);
	ret = ql_json_read(&source, value, path, service_members,
			   G_N_ELEMENTS(service_members), error);
	if (ret)
		return ret;
	g_strlcpy(service->name, name, sizeof(service->name));
	service->retry_ratio = source.retry_ratio;
	service->body_limit_bytes = source.body_limit_bytes;
	service->queue_ms = source.queue_ms;
	g_strlcpy(service->limiter, source.limiter, sizeof(service->limiter));
	service->connections = source.connections;
	memcpy(service->health_path, source.health_path,
	       sizeof(service->health_path));
	return 0;
}

static int compare_services(const void *a, const void *b)
{
	return strcmp(((const ql_service_t *)a)->name,
		      ((const ql_service_t *)b)->name);
}

static int link_calls(ql_document_t *doc, ql_service_t *service, json_t *calls,
		      GError **error)
{
	char path[JSON_PATH_MAX_BYTES];
	json_t *value;
	size_t i;
	int callee, ret;

	snprintf(path, sizeof(path), "services.%s.calls", service->name);
	ret = ql_document__check_count(path, json_array_size(calls),
				       QL_CALLS_MAX, error);
	if (ret)
		return ret;
	json_array_foreach (calls, i, value) {
		callee = json_is_string(value)
				 ? ql_document_find_service(doc,
							    json_string_value(
								    value))
				 : -1;
		if (callee < 0)
			return ql_error_set(
				error, QL_E_NOT_FOUND,
				"%s[%zu]: found \"%s\", which is not a service",
				path, i,
				json_is_string(value) ? json_string_value(value)
						      : "no string");
		service->calls[service->n_calls++] = (uint16_t)callee;
	}
	return 0;
}

/*
 * Computes depth and subtree_attempts of a service from those of the services
 * that it calls; chain_length counts the services of the chain up to this one.
 * Fails if there is a cycle or the chain is too long.
 */
static int compute_call_depth(ql_document_t *doc, uint16_t index,
			      uint32_t chain_length, GError **error)
{
	ql_service_t *service = &doc->services[index];
	uint64_t attempts = 1;
	uint32_t depth = 1;
	uint16_t i;
	int ret;

	if (chain_length > QL_CALL_DEPTH_MAX)
		return ql_error_set(error, QL_E_RANGE,
				    "services.%s.calls: the chain of calls is "
				    "a cycle or longer than %d",
				    service->name, QL_CALL_DEPTH_MAX);
	if (service->depth)
		return 0;
	for (i = 0; i < service->n_calls; i++) {
		const ql_service_t *callee = &doc->services[service->calls[i]];

		ret = compute_call_depth(doc, service->calls[i],
					 chain_length + 1, error);
		if (ret)
			return ret;
		attempts += callee->subtree_attempts;
		depth = MAX(depth, callee->depth + 1);
	}
	if (depth > QL_CALL_DEPTH_MAX)
		return ql_error_set(error, QL_E_RANGE,
				    "services.%s.calls: the chain of calls has "
				    "%u services, allowed at most %d",
				    service->name, depth, QL_CALL_DEPTH_MAX);
	service->subtree_attempts = (uint32_t)MIN(attempts, UINT32_MAX);
	service->depth = depth;
	return 0;
}

int ql_services__compile(ql_document_t *doc, json_t *source, GError **error)
{
	const char *name;
	json_t *value;
	size_t i;
	int ret;

	ret = ql_document__check_count("services", json_object_size(source),
				       QL_SERVICES_MAX, error);
	if (ret)
		return ret;
	doc->services = g_new0(ql_service_t, json_object_size(source));
	json_object_foreach (source, name, value) {
		ret = ql_document__check_name("services", name, error);
		if (!ret)
			ret = compile_service(&doc->services[doc->n_services++],
					      name, value, error);
		if (ret)
			return ret;
	}
	if (doc->n_services)
		qsort(doc->services, doc->n_services, sizeof(*doc->services),
		      compare_services);
	for (i = 0; i < doc->n_services; i++) {
		value = json_object_get(source, doc->services[i].name);
		ret = link_calls(doc, &doc->services[i],
				 json_object_get(value, "calls"), error);
		if (ret)
			return ret;
	}
	for (i = 0; i < doc->n_services; i++) {
		ret = compute_call_depth(doc, (uint16_t)i, 1, error);
		if (ret)
			return ret;
	}
	return 0;
}

int ql_document_find_service(const ql_document_t *doc, const char *name)
{
	size_t low = 0, high = doc->n_services;

	while (low < high) {
		size_t middle = (low + high) / 2;
		int order = strcmp(name, doc->services[middle].name);

		if (!order)
			return (int)middle;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return -1;
}
