#include "path/front_internal.h"

#include <string.h>

/* Stands for the class of the route; no class has an empty name. */
#define OWN_CLASS ""

static ql_front_route_class_t *class_at(const ql_front_route_t *route,
					guint index)
{
	return g_ptr_array_index(route->classes, index);
}

static ql_front_route_class_t *add_route_class(GPtrArray *classes,
					       const char *name)
{
	ql_front_route_class_t *state = g_new0(ql_front_route_class_t, 1);

	state->references = 1;
	g_strlcpy(state->name, name, sizeof(state->name));
	ql_route_admission_init(&state->admission);
	g_ptr_array_add(classes, state);
	return state;
}

GPtrArray *ql_front__new_route_classes(void)
{
	GPtrArray *classes =
		g_ptr_array_new_with_free_func(ql_front__route_class_unref);

	add_route_class(classes, OWN_CLASS);
	return classes;
}

/* Returns the name of the state of the class of a request on its route. */
static const char *state_name(const ql_front_call_t *call,
			      const ql_class_t *class)
{
	bool is_own = class == &call->doc->classes[call->route->class_index];

	return is_own ? OWN_CLASS : class->name;
}

ql_front_route_class_t *ql_front__find_route_class(const ql_front_call_t *call)
{
	const char *name = state_name(call, ql_front__find_class(call));
	const ql_front_route_t *route = call->route_state;
	guint i;

	for (i = 0; i < route->classes->len; i++)
		if (!strcmp(class_at(route, i)->name, name))
			return class_at(route, i);
	return NULL;
}

ql_front_route_class_t *ql_front__get_route_class(const ql_front_call_t *call)
{
	const ql_class_t *class = ql_front__find_class(call);
	ql_front_route_class_t *state = ql_front__find_route_class(call);

	if (!state)
		state = add_route_class(call->route_state->classes,
					state_name(call, class));
	state->shed_order = (uint32_t) class->shed_order;
	return state;
}

void ql_front__route_class_unref(void *data)
{
	ql_front_route_class_t *state = data;

	if (!--state->references)
		g_free(state);
}

static void free_team_shares(void *data)
{
	ql_team_shares_finish(data);
	g_free(data);
}

GHashTable *ql_front__new_team_shares(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_team_shares);
}

static bool has_class(const ql_document_t *doc, const char *name)
{
	size_t i;

	for (i = 0; i < doc->n_classes; i++)
		if (!strcmp(doc->classes[i].name, name))
			return true;
	return false;
}

static gboolean is_old_class(void *key, void *value G_GNUC_UNUSED, void *data)
{
	const ql_front_t *front = data;

	return !front->doc->teams.n_entries || !has_class(front->doc, key);
}

static void drop_route_classes(const ql_front_t *front, ql_front_route_t *route)
{
	guint i;

	for (i = route->classes->len; i > 1; i--)
		if (!has_class(front->doc, class_at(route, i - 1)->name))
			g_ptr_array_remove_index_fast(route->classes, i - 1);
}

void ql_front__drop_old_classes(ql_front_t *front)
{
	size_t i;

	for (i = 0; i < front->n_routes; i++)
		drop_route_classes(front, front->routes[i]);
	g_hash_table_foreach_remove(front->team_shares, is_old_class, front);
}

/* Takes over what the other classes of the route have learned. */
static void compare_classes(const ql_front_call_t *call,
			    ql_route_admission_t *admission,
			    uint32_t shed_order)
{
	const ql_front_route_class_t *own = call->route_class, *other;
	ql_admission_peer_t peers[QL_CLASSES_MAX];
	size_t n = 0;
	guint i;

	for (i = 0; i < call->route_state->classes->len; i++) {
		other = class_at(call->route_state, i);
		if (other == own || n == QL_CLASSES_MAX)
			continue;
		peers[n++] = (ql_admission_peer_t){
			.admission = &other->admission,
			.shed_order = other->shed_order,
		};
	}
	ql_route_admission_compare(admission, shed_order, peers, n,
				   ql_front__now_us(call));
}

/* Returns the teams of the class of a request. */
static ql_team_shares_t *get_team_shares(const ql_front_call_t *call)
{
	const char *name = ql_front__find_class(call)->name;
	ql_front_t *front = call->front;
	ql_team_shares_t *shares =
		g_hash_table_lookup(front->team_shares, name);

	if (shares)
		return shares;
	shares = g_new(ql_team_shares_t, 1);
	ql_team_shares_init(shares, front->random);
	g_hash_table_insert(front->team_shares, g_strdup(name), shares);
	return shares;
}

ql_throttle_choice_t ql_front__compare_shares(const ql_front_call_t *call)
{
	double share;

	compare_classes(call, &call->route_class->admission,
			call->route_class->shed_order);
	if (!call->team)
		return QL_THROTTLE_RANDOM;
	share = ql_route_admission_share(&call->route_class->admission,
					 call->doc->guaranteed_share);
	return ql_team_shares_offer(get_team_shares(call), call->team->name,
				    call->team->weight, share,
				    ql_front__now_us(call));
}

ql_throttle_choice_t ql_front__look_at_shares(const ql_front_call_t *call,
					      ql_route_admission_t *admission)
{
	const ql_class_t *class = ql_front__find_class(call);
	const ql_team_shares_t *shares;
	double share;

	if (call->route_class)
		*admission = call->route_class->admission;
	else
		ql_route_admission_init(admission);
	compare_classes(call, admission, (uint32_t) class->shed_order);
	if (!call->team)
		return QL_THROTTLE_RANDOM;
	shares = g_hash_table_lookup(call->front->team_shares, class->name);
	if (!shares)
		return QL_THROTTLE_RANDOM;
	share = ql_route_admission_share(admission,
					 call->doc->guaranteed_share);
	return ql_team_shares_look(shares, call->team->name, call->team->weight,
				   share, ql_front__now_us(call));
}

void ql_front__record_share(const ql_front_call_t *call,
			    const ql_admission_decision_t *decision,
			    ql_throttle_choice_t choice)
{
	if (!call->team)
		return;
	ql_team_shares_record(get_team_shares(call), call->team->name,
			      !decision->refuse);
	if (decision->refuse && choice == QL_THROTTLE_LEAVE)
		ql_front__count(call, QL_COUNT_TEAM_REFUSALS);
}
