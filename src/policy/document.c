#include "policy/document_internal.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define GUARANTEED_SHARE_DEFAULT (1.0 / 6)
#define GUARANTEED_SHARE_MAX 0.5
#define CLIENT_HEAD_DEFAULT_BYTES 16384
#define CLIENT_HEAD_MAX_BYTES (1u << 20)
#define CLIENT_HEAD_DEFAULT_MS 3000
#define CLIENT_IDLE_DEFAULT_MS 60000

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
		       QL_BODY_LIMIT_MAX_BYTES),
	QL_MEMBER_UINT(ql_client_limits_t, head_ms, false, 1,
		       QL_TIME_SETTING_MAX_MS),
	QL_MEMBER_UINT(ql_client_limits_t, idle_ms, false, 1,
		       QL_TIME_SETTING_MAX_MS),
};

static const ql_json_member_t class_members[] = {
	QL_MEMBER_UINT(ql_class_t, shed_order, true, 0, QL_CLASSES_MAX),
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
		ret = ql_services__compile(doc, root.services, error);
	if (!ret)
		ret = ql_routes__compile(doc, root.routes, error);
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
		.body_bytes = QL_BODY_LIMIT_DEFAULT_BYTES,
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

const ql_class_t *ql_document_top_class(const ql_document_t *doc)
{
	const ql_class_t *top = &doc->classes[0];
	size_t i;

	for (i = 1; i < doc->n_classes; i++)
		if (doc->classes[i].shed_order > top->shed_order)
			top = &doc->classes[i];
	return top;
}
