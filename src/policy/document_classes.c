#include "policy/document_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define NO_CLASS UINT16_MAX

/* The sort key of a class: that of its team goes before that of its route. */
typedef struct {
	size_t index;
	uint64_t team_order;
	uint64_t route_order;
} class_key_t;

static uint16_t *combined_class(const ql_document_t *doc, size_t team_class,
				size_t route_class)
{
	return &doc->combined_classes[team_class * doc->n_base_classes +
				      route_class];
}

static bool is_base_class(const ql_document_t *doc, const char *name)
{
	size_t i;

	for (i = 0; i < doc->n_base_classes; i++)
		if (!strcmp(doc->classes[i].name, name))
			return true;
	return false;
}

/*
 * Names that are too long together are replaced by their hash, so that the name
 * fits. So are those with a dot, as another pair could have the same name. The
 * hash is that of the names with a line feed between, which no name has.
 */
static void set_combined_name(const ql_document_t *doc, ql_class_t *class,
			      const ql_class_t *team_class,
			      const ql_class_t *route_class)
{
	char name[2 * QL_NAME_MAX];
	int length = snprintf(name, sizeof(name), "%s.%s", team_class->name,
			      route_class->name);
	uint64_t hash;

	if (length >= QL_NAME_MAX || strchr(team_class->name, '.') ||
	    strchr(route_class->name, '.') || is_base_class(doc, name)) {
		name[strlen(team_class->name)] = '\n';
		hash = XXH3_64bits(name, (size_t)length);
		snprintf(name, sizeof(name),
			 "combined-%016" G_GINT64_MODIFIER "x", hash);
	}
	g_strlcpy(class->name, name, sizeof(class->name));
}

static void add_combined_class(ql_document_t *doc, class_key_t *keys,
			       size_t team_class, size_t route_class)
{
	uint16_t *index = combined_class(doc, team_class, route_class);

	if (*index != NO_CLASS)
		return;
	*index = (uint16_t)doc->n_classes;
	set_combined_name(doc, &doc->classes[doc->n_classes],
			  &doc->classes[team_class],
			  &doc->classes[route_class]);
	keys[doc->n_classes] = (class_key_t){
		.index = doc->n_classes,
		.team_order = doc->classes[team_class].shed_order,
		.route_order = doc->classes[route_class].shed_order,
	};
	doc->n_classes++;
}

static void add_combined_classes(ql_document_t *doc, class_key_t *keys)
{
	const ql_team_t *team;
	size_t i, k;

	for (i = 0; i < doc->teams.n_entries; i++) {
		team = &doc->teams.entries[i];
		if (team->class_index == QL_TEAM_NO_CLASS)
			continue;
		for (k = 0; k < doc->n_routes; k++)
			if (!doc->routes[k].anonymous)
				add_combined_class(doc, keys,
						   (size_t)team->class_index,
						   doc->routes[k].class_index);
	}
}

static int compare_orders(const class_key_t *a, const class_key_t *b)
{
	if (a->team_order != b->team_order)
		return a->team_order < b->team_order ? -1 : 1;
	if (a->route_order != b->route_order)
		return a->route_order < b->route_order ? -1 : 1;
	return 0;
}

static int compare_keys(const void *a, const void *b)
{
	return compare_orders(a, b);
}

/*
 * Numbers the classes anew in the order of their keys. With more different keys
 * than shed orders, neighbours share one.
 */
static void set_shed_orders(ql_document_t *doc, class_key_t *keys)
{
	size_t i, n_orders = 1;
	size_t *order = g_new0(size_t, doc->n_classes);

	qsort(keys, doc->n_classes, sizeof(*keys), compare_keys);
	for (i = 1; i < doc->n_classes; i++) {
		n_orders += compare_orders(&keys[i - 1], &keys[i]) != 0;
		order[i] = n_orders - 1;
	}
	for (i = 0; i < doc->n_classes; i++)
		doc->classes[keys[i].index].shed_order =
			n_orders <= QL_CLASSES_MAX + 1
				? order[i]
				: order[i] * QL_CLASSES_MAX / (n_orders - 1);
	g_free(order);
}

void ql_document__combine_classes(ql_document_t *doc)
{
	size_t n = doc->n_classes, i;
	class_key_t *keys;

	doc->n_base_classes = n;
	if (!doc->teams.n_entries || !n)
		return;
	doc->combined_classes = g_new(uint16_t, n * n);
	for (i = 0; i < n * n; i++)
		doc->combined_classes[i] = NO_CLASS;
	doc->classes = g_renew(ql_class_t, doc->classes, n + n * n);
	keys = g_new(class_key_t, n + n * n);
	for (i = 0; i < n; i++)
		keys[i] = (class_key_t){
			.index = i,
			.team_order = doc->classes[i].shed_order,
			.route_order = doc->classes[i].shed_order,
		};
	add_combined_classes(doc, keys);
	if (doc->n_classes > n)
		set_shed_orders(doc, keys);
	g_free(keys);
}

size_t ql_document_find_class(const ql_document_t *doc, const ql_route_t *route,
			      const ql_team_t *team)
{
	uint16_t index;

	if (!team || team->class_index == QL_TEAM_NO_CLASS)
		return route->class_index;
	index = *combined_class(doc, (size_t)team->class_index,
				route->class_index);
	return index == NO_CLASS ? route->class_index : index;
}
