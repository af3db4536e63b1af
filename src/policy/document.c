#include "policy/document_internal.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BODY_LIMIT_DEFAULT_BYTES (8u << 20)
#define BODY_LIMIT_MAX_BYTES (256u << 20)
#define QUEUE_WAIT_DEFAULT_MS 50
#define QUEUE_WAIT_MAX_MS 10000
#define DEADLINE_MAX_MS 600000
#define RETRY_RATIO_DEFAULT 0.1
#define GUARANTEED_SHARE_DEFAULT (1.0 / 6)
#define GUARANTEED_SHARE_MAX 0.5
#define LIMITER_DEFAULT "gradient"
#define SERVICE_CONNECTIONS_MAX 65535
#define SPLIT_WEIGHT_MAX 1000000
/* A target_ms this far above deadline_ms is refused as a mistake. */
#define TARGET_ABOVE_DEADLINE_MAX_MS 60000
#define CLIENT_HEAD_DEFAULT_BYTES 16384
#define CLIENT_HEAD_MAX_BYTES (1u << 20)
#define CLIENT_HEAD_DEFAULT_MS 3000
#define CLIENT_IDLE_DEFAULT_MS 60000
#define TIME_SETTING_MAX_MS 3600000
/* Bytes of a key and "." that are appended to a JSON path in an error. */
#define PATH_SUFFIX_MAX_BYTES 16

typedef struct {
	char site[QL_NAME_MAX];
	uint64_t attempts;
	double guaranteed_share;
	json_t *classes;
	json_t *services;
	json_t *routes;
	json_t *teams;
	json_t *keepers;
	json_t *limits;
	json_t *origin;
} document_source_t;

static const ql_json_member_t document_members[] = {
	QL_MEMBER_STRING(document_source_t, site, true, 1),
	QL_MEMBER_UINT(document_source_t, attempts, true, 1, QL_ATTEMPTS_MAX),
	QL_MEMBER_REAL(document_source_t, guaranteed_share, false, 0,
		       GUARANTEED_SHARE_MAX),
	QL_MEMBER_OBJECT(document_source_t, classes, true),
	QL_MEMBER_OBJECT(document_source_t, services, true),
	QL_MEMBER_OBJECT(document_source_t, routes, true),
	QL_MEMBER_OBJECT(document_source_t, teams, false),
	QL_MEMBER_OBJECT(document_source_t, keepers, false),
	QL_MEMBER_OBJECT(document_source_t, limits, false),
	QL_MEMBER_OBJECT(document_source_t, origin, false),
};

static const ql_json_member_t limit_members[] = {
	QL_MEMBER_UINT(ql_client_limits_t, head_bytes, false, 256,
		       CLIENT_HEAD_MAX_BYTES),
	QL_MEMBER_UINT(ql_client_limits_t, body_bytes, false, 0,
		       BODY_LIMIT_MAX_BYTES),
	QL_MEMBER_UINT(ql_client_limits_t, head_ms, false, 1,
		       TIME_SETTING_MAX_MS),
	QL_MEMBER_UINT(ql_client_limits_t, idle_ms, false, 1,
		       TIME_SETTING_MAX_MS),
};

static const ql_json_member_t class_members[] = {
	QL_MEMBER_UINT(ql_class_t, shed_order, true, 0, QL_CLASSES_MAX),
};

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
		       BODY_LIMIT_MAX_BYTES),
	QL_MEMBER_UINT(service_source_t, queue_ms, false, 0, QUEUE_WAIT_MAX_MS),
	QL_MEMBER_STRING(service_source_t, limiter, false, 1),
	QL_MEMBER_UINT(service_source_t, connections, false, 1,
		       SERVICE_CONNECTIONS_MAX),
	QL_MEMBER_STRING(service_source_t, health_path, false, 1),
};

typedef struct {
	char host[QL_NAME_MAX];
	char method[QL_METHOD_MAX];
	char path[QL_PATH_MAX];
	char service[QL_NAME_MAX];
	char class[QL_NAME_MAX];
	json_t *split;
	uint64_t attempts;
	uint64_t target_ms;
	bool idempotent;
	bool anonymous;
	uint64_t deadline_ms;
} route_source_t;

static const ql_json_member_t route_members[] = {
	QL_MEMBER_STRING(route_source_t, host, false, 1),
	QL_MEMBER_STRING(route_source_t, method, false, 1),
	QL_MEMBER_STRING(route_source_t, path, true, 1),
	QL_MEMBER_STRING(route_source_t, service, false, 1),
	QL_MEMBER_OBJECT(route_source_t, split, false),
	QL_MEMBER_UINT(route_source_t, attempts, false, 1, QL_ATTEMPTS_MAX),
	QL_MEMBER_UINT(route_source_t, target_ms, false, 1,
		       TIME_SETTING_MAX_MS),
	QL_MEMBER_STRING(route_source_t, class, true, 1),
	QL_MEMBER_BOOL(route_source_t, idempotent, true),
	QL_MEMBER_BOOL(route_source_t, anonymous, false),
	QL_MEMBER_UINT(route_source_t, deadline_ms, true, 1, DEADLINE_MAX_MS),
};

int ql_document__check_name(const char *path, const char *name, GError **error)
{
	const char *p;

	for (p = name; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("-_.", *p))
			break;
	if (*p || p == name || p - name >= QL_NAME_MAX)
		return ql_error_set(error, QL_E_INVALID,
				    "%s: found name \"%s\", allowed 1 to %d of "
				    "A-Z a-z 0-9 - _ .",
				    path, name, QL_NAME_MAX - 1);
	return 0;
}

int ql_document__check_count(const char *path, size_t found, size_t max,
			     GError **error)
{
	if (found <= max)
		return 0;
	return ql_error_set(error, QL_E_RANGE,
			    "%s: found %zu entries, allowed at most %zu", path,
			    found, max);
}

int ql_document__find_class(const ql_document_t *doc, const char *name)
{
	size_t i;

	for (i = 0; i < doc->n_classes; i++)
		if (!strcmp(doc->classes[i].name, name))
			return (int)i;
	return -1;
}

static int compile_classes(ql_document_t *doc, json_t *source, GError **error)
{
	char path[JSON_PATH_MAX_BYTES];
	const char *name;
	json_t *value;
	ql_class_t *class;
	int ret;

	ret = ql_document__check_count("classes", json_object_size(source),
				       QL_CLASSES_MAX, error);
	if (ret)
		return ret;
	doc->classes = g_new0(ql_class_t, json_object_size(source));
	json_object_foreach (source, name, value) {
		ret = ql_document__check_name("classes", name, error);
		if (ret)
			return ret;
		snprintf(path, sizeof(path), "classes.%s", name);
		class = &doc->classes[doc->n_classes++];
		g_strlcpy(class->name, name, sizeof(class->name));
		ret = ql_json_read(class, value, path, class_members,
				   G_N_ELEMENTS(class_members), error);
		if (ret)
			return ret;
	}
	return 0;
}

static int compile_service(ql_service_t *service, const char *name,
			   json_t *value, GError **error)
{
	service_source_t source = {
		.retry_ratio = RETRY_RATIO_DEFAULT,
		.body_limit_bytes = BODY_LIMIT_DEFAULT_BYTES,
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

static int compile_services(ql_document_t *doc, json_t *source, GError **error)
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

static int find_service(const ql_document_t *doc, const char *path,
			const char *name, GError **error)
{
	int service = ql_document_find_service(doc, name);

	if (service < 0)
		return ql_error_set(error, QL_E_NOT_FOUND,
				    "%s: found \"%s\", which is not a service",
				    path, name);
	return service;
}

static int compile_split_entry(const ql_document_t *doc,
			       ql_route_split_entry_t *entry, const char *path,
			       const char *name, json_t *weight, GError **error)
{
	int service = find_service(doc, path, name, error);

	if (service < 0)
		return service;
	if (!json_is_integer(weight) || json_integer_value(weight) < 0 ||
	    json_integer_value(weight) > SPLIT_WEIGHT_MAX)
		return ql_error_set(error, QL_E_RANGE,
				    "%s.%s: allowed a weight of 0 to %d", path,
				    name, SPLIT_WEIGHT_MAX);
	entry->service = (uint16_t)service;
	entry->weight = (uint32_t)json_integer_value(weight);
	return 0;
}

/* Compiles the services that share the requests of a route. */
static int compile_split(const ql_document_t *doc, ql_route_t *route,
			 const char *route_path, json_t *split, GError **error)
{
	char path[JSON_PATH_MAX_BYTES + PATH_SUFFIX_MAX_BYTES];
	uint64_t sum = 0;
	const char *name;
	json_t *value;
	int ret;

	snprintf(path, sizeof(path), "%s.split", route_path);
	ret = ql_document__check_count(path, json_object_size(split),
				       QL_ROUTE_SPLIT_MAX, error);
	if (ret)
		return ret;
	json_object_foreach (split, name, value) {
		ret = compile_split_entry(doc, &route->split[route->n_split],
					  path, name, value, error);
		if (ret)
			return ret;
		sum += route->split[route->n_split++].weight;
	}
	if (!sum)
		return ql_error_set(error, QL_E_RANGE,
				    "%s: the weights add up to 0", path);
	route->service = route->split[0].service;
	return 0;
}

/* Compiles the service or the split of a route; exactly one must be set. */
static int compile_route_services(const ql_document_t *doc, ql_route_t *route,
				  const char *path,
				  const route_source_t *source, GError **error)
{
	char service_path[JSON_PATH_MAX_BYTES + PATH_SUFFIX_MAX_BYTES];
	int service;

	if (!source->service[0] == !source->split)
		return ql_error_set(error, QL_E_MISSING_KEY,
				    "%s: allowed one of service and split",
				    path);
	if (source->split)
		return compile_split(doc, route, path, source->split, error);
	snprintf(service_path, sizeof(service_path), "%s.service", path);
	service = find_service(doc, service_path, source->service, error);
	if (service < 0)
		return service;
	route->service = (uint16_t)service;
	return 0;
}

static int check_route_source(const route_source_t *source, const char *path,
			      GError **error)
{
	if (source->path[0] != '/')
		return ql_error_set(error, QL_E_INVALID,
				    "%s.path: found \"%s\", allowed a path "
				    "that starts with /",
				    path, source->path);
	if (source->target_ms >=
	    source->deadline_ms + TARGET_ABOVE_DEADLINE_MAX_MS)
		return ql_error_set(error, QL_E_RANGE,
				    "%s.target_ms: found %" G_GUINT64_FORMAT
				    ", allowed less than %d above deadline_ms",
				    path, source->target_ms,
				    TARGET_ABOVE_DEADLINE_MAX_MS);
	return 0;
}

/* Checks that the allowance covers a request of which no attempt fails. */
static int check_allowance(const ql_document_t *doc, const ql_route_t *route,
			   const char *path, GError **error)
{
	uint32_t needed = doc->services[route->service].subtree_attempts;

	if (needed <= doc->attempts)
		return 0;
	return ql_error_set(error, QL_E_RANGE,
			    "attempts: found %" G_GUINT64_FORMAT
			    ", but a request of %s needs %u when none fails",
			    doc->attempts, path, needed);
}

static int compile_route(ql_document_t *doc, ql_route_t *route,
			 const char *name, json_t *value, GError **error)
{
	route_source_t source = {0};
	char path[JSON_PATH_MAX_BYTES];
	int class, ret;

	snprintf(path, sizeof(path), "routes.%s", name);
	ret = ql_json_read(&source, value, path, route_members,
			   G_N_ELEMENTS(route_members), error);
	if (!ret)
		ret = check_route_source(&source, path, error);
	if (!ret)
		ret = compile_route_services(doc, route, path, &source, error);
	if (ret)
		return ret;
	class = ql_document__find_class(doc, source.class);
	if (class < 0)
		return ql_error_set(error, QL_E_NOT_FOUND,
				    "%s.class: found \"%s\", which is not a "
				    "class",
				    path, source.class);
	g_strlcpy(route->name, name, sizeof(route->name));
	memcpy(route->host, source.host, sizeof(route->host));
	memcpy(route->method, source.method, sizeof(route->method));
	memcpy(route->path, source.path, sizeof(route->path));
	route->class_index = (uint16_t) class;
	route->attempts = source.attempts;
	route->target_ms = source.target_ms;
	route->idempotent = source.idempotent;
	route->anonymous = source.anonymous;
	route->deadline_ms = source.deadline_ms;
	return check_allowance(doc, route, path, error);
}

static int compile_routes(ql_document_t *doc, json_t *source, GError **error)
{
	const char *name;
	json_t *value;
	int ret;

	ret = ql_document__check_count("routes", json_object_size(source),
				       QL_ROUTES_MAX, error);
	if (ret)
		return ret;
	doc->routes = g_new0(ql_route_t, json_object_size(source));
	json_object_foreach (source, name, value) {
		ret = ql_document__check_name("routes", name, error);
		if (!ret)
			ret = compile_route(doc, &doc->routes[doc->n_routes++],
					    name, value, error);
		if (ret)
			return ret;
	}
	return 0;
}

static int compile_root(ql_document_t *doc, json_t *json, GError **error)
{
	document_source_t root = {.guaranteed_share = GUARANTEED_SHARE_DEFAULT};
	int ret;

	if (json_is_object(json) && !json_object_size(json))
		return 0;
	ret = ql_json_read(&root, json, "document", document_members,
			   G_N_ELEMENTS(document_members), error);
	if (ret)
		return ret;
	memcpy(doc->site, root.site, sizeof(doc->site));
	doc->attempts = root.attempts;
	doc->guaranteed_share = root.guaranteed_share;
	if (root.limits)
		ret = ql_json_read(&doc->limits, root.limits, "limits",
				   limit_members, G_N_ELEMENTS(limit_members),
				   error);
	if (ret)
		return ret;
	ret = compile_classes(doc, root.classes, error);
	if (!ret)
		ret = compile_services(doc, root.services, error);
	if (!ret)
		ret = compile_routes(doc, root.routes, error);
	if (!ret && root.teams)
		ret = ql_teams__compile(doc, root.teams, error);
	if (!ret)
		ql_document__combine_classes(doc);
	if (!ret && root.keepers)
		ret = ql_keepers__compile(&doc->keepers, root.keepers, error);
	return ret;
}

static void free_document(ql_document_t *doc)
{
	g_free(doc->classes);
	g_free(doc->combined_classes);
	g_free(doc->services);
	g_free(doc->routes);
	ql_teams__finish(&doc->teams);
	ql_keepers__finish(&doc->keepers);
	json_decref(doc->json);
	g_free(doc);
}

int ql_document_compile(ql_document_t **out, json_t *json, uint64_t version,
			GError **error)
{
	ql_document_t *doc = g_new0(ql_document_t, 1);
	int ret;

	doc->references = 1;
	doc->version = version;
	doc->limits = (ql_client_limits_t){
		.head_bytes = CLIENT_HEAD_DEFAULT_BYTES,
		.body_bytes = BODY_LIMIT_DEFAULT_BYTES,
		.head_ms = CLIENT_HEAD_DEFAULT_MS,
		.idle_ms = CLIENT_IDLE_DEFAULT_MS,
	};
	doc->json = json_incref(json);
	ret = compile_root(doc, json, error);
	if (ret) {
		ql_document_unref(doc);
		*out = NULL;
		return ret;
	}
	doc->digest = ql_document_digest(json);
	*out = doc;
	return 0;
}

ql_document_t *ql_document_ref(ql_document_t *doc)
{
	__atomic_add_fetch(&doc->references, 1, __ATOMIC_RELAXED);
	return doc;
}

void ql_document_unref(ql_document_t *doc)
{
	if (doc && !__atomic_sub_fetch(&doc->references, 1, __ATOMIC_ACQ_REL))
		free_document(doc);
}

uint64_t ql_document_digest(const json_t *json)
{
	char *text = ql_json_dump(json);
	uint64_t digest = XXH3_64bits(text, strlen(text));

	free(text);
	return digest;
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

const ql_class_t *ql_document_top_class(const ql_document_t *doc)
{
	const ql_class_t *top = &doc->classes[0];
	size_t i;

	for (i = 1; i < doc->n_classes; i++)
		if (doc->classes[i].shed_order > top->shed_order)
			top = &doc->classes[i];
	return top;
}

/*
 * Returns 0 if the route does not match, otherwise twice the length of its
 * path, plus one if it has a host: a longer path wins, of equal paths a host.
 */
static size_t match_score(const ql_route_t *route, const char *host,
			  const char *method, const char *path)
{
	size_t length = strlen(route->path);

	if ((route->method[0] && strcmp(route->method, method) != 0) ||
	    strncmp(route->path, path, length) != 0)
		return 0;
	if (path[length] && path[length] != '/' &&
	    route->path[length - 1] != '/')
		return 0;
	if (!route->host[0])
		return 2 * length;
	return host && !g_ascii_strcasecmp(route->host, host) ? 2 * length + 1
							      : 0;
}

const ql_route_t *ql_document_match(const ql_document_t *doc, int service,
				    const char *host, const char *method,
				    const char *path)
{
	const ql_route_t *best = NULL;
	size_t best_score = 0;
	size_t score, i;

	for (i = 0; i < doc->n_routes; i++) {
		if (service >= 0 && doc->routes[i].service != service)
			continue;
		score = match_score(&doc->routes[i], host, method, path);
		if (score <= best_score)
			continue;
		best = &doc->routes[i];
		best_score = score;
	}
	return best;
}
