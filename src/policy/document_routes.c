#include "policy/document_internal.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <string.h>

#define DEADLINE_MAX_MS 600000
#define SPLIT_WEIGHT_MAX 1000000
/* A target_ms this far above deadline_ms is refused as a mistake. */
#define TARGET_ABOVE_DEADLINE_MAX_MS 60000
/* Bytes of a key and "." that are appended to a JSON path in an error. */
#define PATH_SUFFIX_MAX_BYTES 16

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
		       QL_TIME_SETTING_MAX_MS),
	QL_MEMBER_STRING(route_source_t, class, true, 1),
	QL_MEMBER_BOOL(route_source_t, idempotent, true),
	QL_MEMBER_BOOL(route_source_t, anonymous, false),
	QL_MEMBER_UINT(route_source_t, deadline_ms, true, 1, DEADLINE_MAX_MS),
};

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

int ql_routes__compile(ql_document_t *doc, json_t *source, GError **error)
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
