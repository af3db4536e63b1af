#include "path/front_internal.h"
#include "quetzalloft/clock.h"
#include "quetzalloft/log.h"

#include <string.h>

/* Retries that a node may make to one service without any first attempt. */
#define RETRY_BUDGET_BURST 1.0
/*
 * A retry repeats all calls below it, so retries of several layers of callers
 * multiply. Each layer has a part of the retry ratio of a service to itself,
 * and the layers share another part. With four layers, and losses at all of
 * them, the parts add up to the ratio.
 */
#define OWN_RATIO_PART 0.15
#define SHARED_RATIO_PART 0.4

static void service_free(void *data)
{
	ql_front_service_t *service = data;

	ql_balancer_finish(&service->balancer);
	g_free(service);
}

void ql_front_init(ql_front_t *front, ql_loop_t *loop,
		   const ql_front_opts_t *opts)
{
	memset(front, 0, sizeof(*front));
	front->loop = loop;
	front->opts = *opts;
	ql_key_lease_init(&front->key_lease, opts->key_lease_ms);
	front->random = g_rand_new();
	front->calls = g_hash_table_new(NULL, NULL);
	ql_front__init_quota(front);
	front->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						service_free);
	front->team_shares = ql_front__new_team_shares();
}

void ql_front__route_unref(ql_front_route_t *route)
{
	if (--route->references)
		return;
	g_ptr_array_free(route->classes, TRUE);
	g_free(route);
}

static void release_routes(ql_front_t *front)
{
	size_t i;

	for (i = 0; i < front->n_routes; i++)
		ql_front__route_unref(front->routes[i]);
	g_free(front->routes);
}

void ql_front_finish(ql_front_t *front)
{
	g_hash_table_destroy(front->services);
	g_hash_table_destroy(front->calls);
	ql_quota_wallet_finish(&front->quota);
	g_hash_table_destroy(front->team_shares);
	release_routes(front);
	ql_document_unref(front->doc);
	g_rand_free(front->random);
}

ql_front_service_t *ql_front_find_service(ql_front_t *front, const char *name)
{
	ql_front_service_t *service =
		g_hash_table_lookup(front->services, name);

	if (service)
		return service;
	service = g_new0(ql_front_service_t, 1);
	ql_balancer_init(&service->balancer,
			 front->opts.balancer ? front->opts.balancer
					      : &ql_balancer_least_time,
			 front->opts.failure_domain, front->random);
	ql_retry_budget_init(&service->budget, 0, RETRY_BUDGET_BURST);
	g_hash_table_insert(front->services, g_strdup(name), service);
	return service;
}

static void update_retry_ratios(ql_front_t *front)
{
	double site_ratio = front->opts.repeat_ratio;
	const ql_service_t *service;
	ql_retry_budget_t *budget;
	size_t i;

	for (i = 0; front->doc && i < front->doc->n_services; i++) {
		service = &front->doc->services[i];
		budget = &ql_front_find_service(front, service->name)->budget;
		budget->ratio = site_ratio > 0 ? site_ratio * OWN_RATIO_PART
					       : service->retry_ratio;
		budget->shared_ratio = site_ratio * SHARED_RATIO_PART;
	}
}

void ql_front_set_repeat_ratio(ql_front_t *front, double ratio)
{
	front->opts.repeat_ratio = ratio;
	update_retry_ratios(front);
}

static GHashTable *routes_by_name(const ql_front_t *front)
{
	GHashTable *routes = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < front->n_routes; i++)
		g_hash_table_insert(routes, front->doc->routes[i].name,
				    front->routes[i]);
	return routes;
}

static ql_front_route_t *get_route_state(GHashTable *routes, const char *name)
{
	ql_front_route_t *route = g_hash_table_lookup(routes, name);

	if (!route) {
		route = g_new0(ql_front_route_t, 1);
		route->classes = ql_front__new_route_classes();
	}
	memset(route->split_credit, 0, sizeof(route->split_credit));
	route->references++;
	return route;
}

/* The state of a route and its requests in flight are kept across documents. */
void ql_front_set_document(ql_front_t *front, ql_document_t *doc)
{
	ql_front_route_t **routes =
		g_new0(ql_front_route_t *, doc->n_routes + 1);
	GHashTable *old_routes = routes_by_name(front);
	size_t i;

	for (i = 0; i < doc->n_routes; i++)
		routes[i] = get_route_state(old_routes, doc->routes[i].name);
	g_hash_table_destroy(old_routes);
	release_routes(front);
	front->routes = routes;
	front->n_routes = doc->n_routes;
	ql_document_unref(front->doc);
	front->doc = ql_document_ref(doc);
	ql_front__drop_old_classes(front);
	update_retry_ratios(front);
}

void ql_front_prove_keys(ql_front_t *front, const ql_key_proof_t *proof)
{
	ql_key_lease_renew(&front->key_lease, proof);
}

bool ql_front_keys_are_current(const ql_front_t *front, uint64_t now_ms)
{
	if (!front->doc || !front->doc->teams.n_entries)
		return true;
	return ql_key_lease_is_valid(&front->key_lease, front->doc->version,
				     now_ms);
}

void ql_front_add_endpoint(ql_front_t *front, const char *service,
			   const ql_endpoint_info_t *info)
{
	ql_balancer_t *balancer =
		&ql_front_find_service(front, service)->balancer;
	guint n_before = balancer->all->len;

	ql_balancer_add(balancer, info, ql_loop_now_us(front->loop));
	/* Most updates confirm a known endpoint; only new ones are logged. */
	if (balancer->all->len != n_before)
		ql_log(LOG_NOTICE, "endpoint_up", QL_STR("service", service),
		       QL_STR("gate", info->gate),
		       QL_STR("placement", info->placement),
		       QL_UINT("slots", info->slots));
}

void ql_front_remove_endpoint(ql_front_t *front, const char *service,
			      const char *gate)
{
	ql_balancer_remove(&ql_front_find_service(front, service)->balancer,
			   gate);
	ql_hops_remove_gate(front->opts.hops, gate);
}

uint16_t ql_front__next_part(const ql_front_t *front, size_t index)
{
	const ql_route_t *route = &front->doc->routes[index];
	const int64_t *credit = front->routes[index]->split_credit;
	uint16_t i, best = 0;

	for (i = 1; i < route->n_split; i++)
		if (credit[i] + route->split[i].weight >
		    credit[best] + route->split[best].weight)
			best = i;
	return best;
}

uint16_t ql_front_choose_service(ql_front_t *front, size_t index)
{
	const ql_route_t *route = &front->doc->routes[index];
	int64_t *credit = front->routes[index]->split_credit;
	uint16_t i, best = ql_front__next_part(front, index);

	if (!route->n_split)
		return route->service;
	for (i = 0; i < route->n_split; i++) {
		credit[i] += route->split[i].weight;
		credit[best] -= route->split[i].weight;
	}
	return route->split[best].service;
}
