#include "node/settings.h"
#include "quetzalloft/address.h"
#include "quetzalloft/balancer.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/key_lease.h"
#include "quetzalloft/limiter.h"

#include <string.h>

#define PORT_MAX 65535
#define LISTENER_CONNECTIONS_DEFAULT 4000
#define GATE_QUEUE_DEFAULT 256
#define LEASE_DEFAULT_MS 3000
#define RENEW_DEFAULT_MS 500
#define DRAIN_DEFAULT_MS 1500
#define VOTERS_DEFAULT 3
#define VOTERS_MAX 9
/* A quorum of VOTERS_MAX survives as many. */
#define REPLICA_LOSSES_MAX 4
#define GRACE_DEFAULT_MS 30000
#define QUOTA_WINDOW_DEFAULT_MS 5000

static const ql_json_member_t members[] = {
	QL_MEMBER_STRING(ql_settings_t, cluster, true, 1),
	QL_MEMBER_STRING(ql_settings_t, node, true, 1),
	QL_MEMBER_STRING(ql_settings_t, failure_domain, true, 1),
	QL_MEMBER_STRING(ql_settings_t, address, true, 1),
	QL_MEMBER_UINT(ql_settings_t, client_port, false, 1, PORT_MAX),
	QL_MEMBER_UINT(ql_settings_t, gate_port, false, 1, PORT_MAX),
	QL_MEMBER_UINT(ql_settings_t, local_port, false, 1, PORT_MAX),
	QL_MEMBER_UINT(ql_settings_t, control_port, true, 1, PORT_MAX),
	QL_MEMBER_STRING(ql_settings_t, data_folder, false, 1),
	QL_MEMBER_BOOL(ql_settings_t, registrar, false),
	QL_MEMBER_BOOL(ql_settings_t, replica, false),
	QL_MEMBER_STRING(ql_settings_t, balancer, false, 1),
	QL_MEMBER_STRING(ql_settings_t, limiter, false, 1),
	QL_MEMBER_STRING(ql_settings_t, charts, false, 1),
	QL_MEMBER_UINT(ql_settings_t, connections, false, 1, 65535),
	QL_MEMBER_UINT(ql_settings_t, queue, false, 0, 65535),
	QL_MEMBER_UINT(ql_settings_t, lease_ms, false, 100, 60000),
	QL_MEMBER_UINT(ql_settings_t, renew_ms, false, 10, 60000),
	QL_MEMBER_DURATION(ql_settings_t, drain_ms, false, 0, 600000),
	QL_MEMBER_STRING(ql_settings_t, placement, false, 1),
	QL_MEMBER_BOOL(ql_settings_t, bootstrap, false),
	QL_MEMBER_UINT(ql_settings_t, voters, false, 1, VOTERS_MAX),
	QL_MEMBER_UINT(ql_settings_t, replica_losses, false, 0,
		       REPLICA_LOSSES_MAX),
	QL_MEMBER_DURATION(ql_settings_t, grace_ms, false, 0, 600000),
	QL_MEMBER_REAL(ql_settings_t, repeat_ratio, false, 0, 1),
	QL_MEMBER_DURATION(ql_settings_t, key_lease_ms, false, 0, 600000),
	QL_MEMBER_DURATION(ql_settings_t, quota_window_ms, false, 100, 600000),
	QL_MEMBER_REAL(ql_settings_t, quota_overshoot, false, 0, 10),
	QL_MEMBER_REAL(ql_settings_t, quota_slack, false, 0, 1000000),
};

static const ql_json_member_t listen_members[] = {
	QL_MEMBER_STRING(ql_listen_settings_t, client, false, 1),
	QL_MEMBER_STRING(ql_listen_settings_t, gate, false, 1),
	QL_MEMBER_STRING(ql_listen_settings_t, ready, false, 1),
	QL_MEMBER_STRING(ql_listen_settings_t, announce, false, 1),
	QL_MEMBER_STRING(ql_listen_settings_t, metrics, false, 1),
	{"operator", QL_JSON_STRING, false,
	 offsetof(ql_listen_settings_t, operator_), QL_ADDRESS_MAX, 1, 0},
};

static const ql_json_member_t endpoint_members[] = {
	QL_MEMBER_STRING(ql_endpoint_settings_t, address, true, 1),
	QL_MEMBER_STRING(ql_endpoint_settings_t, service, true, 1),
};

static const char *const role_names[] = {
	[QL_ROLE_ALL] = "all",
	[QL_ROLE_NODE] = "node",
	[QL_ROLE_REPLICA] = "replica",
};

static int read_addresses(char (*out)[QL_ADDRESS_MAX], size_t *n_out,
			  size_t max, json_t *list, const char *key,
			  GError **error)
{
	struct sockaddr_in unused;
	GError *cause = NULL;
	json_t *value;
	size_t i;

	if (!json_is_array(list) || json_array_size(list) > max)
		return ql_error_set(error, QL_E_RANGE,
				    "settings.%s: allowed an array of at most "
				    "%zu addresses",
				    key, max);
	json_array_foreach (list, i, value) {
		if (!json_is_string(value))
			return ql_error_set(error, QL_E_TYPE,
					    "settings.%s[%zu]: allowed a "
					    "string",
					    key, i);
		if (ql_address_parse(&unused, json_string_value(value),
				     &cause)) {
			ql_error_set(error, QL_E_INVALID,
				     "settings.%s[%zu]: %s", key, i,
				     cause->message);
			g_error_free(cause);
			return QL_E_INVALID;
		}
		g_strlcpy(out[i], json_string_value(value), QL_ADDRESS_MAX);
	}
	*n_out = json_array_size(list);
	return 0;
}

/* A setting that is a list of addresses. */
typedef struct {
	const char *key;
	char (*out)[QL_ADDRESS_MAX];
	size_t *n_out;
	size_t max;
} address_list_t;

/*
 * Reads the lists of addresses and removes them from the object, as
 * ql_json_read() refuses a key that it is not given.
 */
static int read_address_lists(ql_settings_t *settings, json_t *json,
			      GError **error)
{
	const address_list_t lists[] = {
		{"registrars", settings->registrars, &settings->n_registrars,
		 QL_REGISTRARS_MAX},
		{"replicas", settings->replicas, &settings->n_replicas,
		 QL_REPLICAS_MAX},
		{"peers", settings->peers, &settings->n_peers,
		 QL_REGISTRAR_PEERS_MAX},
		{"neighbours", settings->neighbours, &settings->n_neighbours,
		 QL_NEIGHBOURS_MAX},
		{"seeds", settings->seeds, &settings->n_seeds, QL_SEEDS_MAX},
	};
	json_t *value;
	size_t i;
	int ret;

	for (i = 0; i < G_N_ELEMENTS(lists); i++) {
		value = json_object_get(json, lists[i].key);
		if (!value)
			continue;
		ret = read_addresses(lists[i].out, lists[i].n_out, lists[i].max,
				     value, lists[i].key, error);
		if (ret)
			return ret;
		json_object_del(json, lists[i].key);
	}
	return 0;
}

static int read_role(ql_settings_t *settings, json_t *json, GError **error)
{
	json_t *value = json_object_get(json, "role");
	const char *name = json_string_value(value);
	size_t i;

	if (!value)
		return 0;
	for (i = 0; i < G_N_ELEMENTS(role_names); i++) {
		if (!name || strcmp(name, role_names[i]) != 0)
			continue;
		settings->role = (ql_role_t)i;
		json_object_del(json, "role");
		return 0;
	}
	return ql_error_set(error, QL_E_INVALID,
			    "settings.role: found \"%s\", allowed all, node, "
			    "replica",
			    name ? name : "no string");
}

/* Reads a setting that is an object and removes it from its parent. */
static int read_object(void *out, json_t *json, const char *key,
		       const ql_json_member_t *object_members, size_t n_members,
		       GError **error)
{
	json_t *value = json_object_get(json, key);
	char path[64];
	int ret;

	if (!value)
		return 0;
	g_snprintf(path, sizeof(path), "settings.%s", key);
	ret = ql_json_read(out, value, path, object_members, n_members, error);
	json_object_del(json, key);
	return ret;
}

static int read_nested(ql_settings_t *settings, json_t *json, GError **error)
{
	int ret = read_role(settings, json, error);

	if (!ret)
		ret = read_object(&settings->listen, json, "listen",
				  listen_members, G_N_ELEMENTS(listen_members),
				  error);
	if (!ret)
		ret = read_object(&settings->endpoint, json, "endpoint",
				  endpoint_members,
				  G_N_ELEMENTS(endpoint_members), error);
	return ret;
}

static int require_key(const char *key, bool is_set, const char *why,
		       GError **error)
{
	if (is_set)
		return 0;
	return ql_error_set(error, QL_E_MISSING_KEY,
			    "settings.%s: required key is missing, since %s",
			    key, why);
}

/* Checks that the keys that the role requires are set. */
static int check_role(const ql_settings_t *settings, GError **error)
{
	const ql_listen_settings_t *listen = &settings->listen;
	const char *why = "there is no role";
	int ret = 0;

	if (settings->role == QL_ROLE_ALL) {
		ret = require_key("client_port", settings->client_port, why,
				  error);
		if (!ret)
			ret = require_key("gate_port", settings->gate_port, why,
					  error);
		return ret ? ret
			   : require_key("local_port", settings->local_port,
					 why, error);
	}
	ret = require_key("seeds", settings->n_seeds, "the role is set", error);
	if (settings->role == QL_ROLE_REPLICA)
		return ret ? ret
			   : require_key("listen.operator",
					 listen->operator_[0],
					 "role is replica", error);
	why = "role is node";
	if (!ret)
		ret = require_key("listen.client", listen->client[0], why,
				  error);
	if (!ret)
		ret = require_key("listen.gate", listen->gate[0], why, error);
	if (!ret)
		ret = require_key("listen.ready", listen->ready[0], why, error);
	if (!ret)
		ret = require_key("listen.announce", listen->announce[0], why,
				  error);
	return ret ? ret
		   : require_key("endpoint", settings->endpoint.address[0], why,
				 error);
}

/*
 * The file gives seeds with the port of another interface; the replicas
 * listen for RPC on the control port.
 */
static int replace_seed_ports(ql_settings_t *settings, GError **error)
{
	char ip[QL_ADDRESS_MAX];
	char *colon;
	size_t i;

	for (i = 0; i < settings->n_seeds; i++) {
		memcpy(ip, settings->seeds[i], sizeof(ip));
		colon = strchr(ip, ':');
		if (!colon)
			return ql_error_set(error, QL_E_INVALID,
					    "settings.seeds[%zu]: allowed "
					    "IP:port",
					    i);
		*colon = '\0';
		ql_address_format(settings->seeds[i], ip,
				  (unsigned int)settings->control_port);
	}
	return 0;
}

/*
 * Derives settings from the role: a replica is a registrar too, and a node
 * takes the seeds as its registrars.
 */
static void apply_role(ql_settings_t *settings)
{
	size_t i;

	if (!settings->balancer[0])
		g_strlcpy(settings->balancer,
			  settings->role == QL_ROLE_NODE ? "least_time"
							 : "two_choices",
			  QL_NAME_MAX);
	if (settings->role == QL_ROLE_REPLICA) {
		settings->replica = true;
		settings->registrar = true;
	}
	if (settings->role != QL_ROLE_NODE)
		return;
	for (i = 0; i < settings->n_seeds; i++)
		memcpy(settings->registrars[i], settings->seeds[i],
		       QL_ADDRESS_MAX);
	settings->n_registrars = settings->n_seeds;
}

/*
 * A quorum of the voters has to survive the losses: of 2n + 1 voters, n may be
 * lost.
 */
static int apply_voters(ql_settings_t *settings, GError **error)
{
	uint64_t required = 2 * settings->replica_losses + 1;

	if (!settings->voters)
		settings->voters = MAX(VOTERS_DEFAULT, required);
	if (settings->voters >= required)
		return 0;
	return ql_error_set(error, QL_E_RANGE,
			    "settings.voters: found %" G_GUINT64_FORMAT
			    ", allowed at least %" G_GUINT64_FORMAT
			    ", as replica_losses is %" G_GUINT64_FORMAT,
			    settings->voters, required,
			    settings->replica_losses);
}

/* A replica that forms a cluster of its own may have an empty list. */
static int check_replicas(const ql_settings_t *settings, GError **error)
{
	char own[QL_ADDRESS_MAX];
	size_t i;

	ql_address_format(own, settings->address,
			  (unsigned int)settings->control_port);
	if (!settings->replica || !settings->n_replicas)
		return 0;
	for (i = 0; i < settings->n_replicas; i++)
		if (!strcmp(settings->replicas[i], own))
			return 0;
	return ql_error_set(error, QL_E_NOT_FOUND,
			    "settings.replicas: allowed a list with %s, the "
			    "address and control_port of this replica",
			    own);
}

/*
 * Role "node" takes every policy, the other roles those that do not choose
 * across failure domains.
 */
static int check_balancer(const ql_settings_t *settings, GError **error)
{
	bool is_path = settings->role == QL_ROLE_NODE;
	const ql_balancer_ops_t *ops = ql_balancer_find(settings->balancer);

	if (ops && (is_path || !ops->cross_domain))
		return 0;
	return ql_error_set(error, QL_E_NOT_FOUND,
			    "settings.balancer: found \"%s\", allowed %s",
			    settings->balancer,
			    is_path ? QL_BALANCER_NAMES
				    : "random or two_choices");
}

static int check_relations(const ql_settings_t *settings, GError **error)
{
	char address[QL_ADDRESS_MAX * 2];
	struct sockaddr_in unused;

	g_snprintf(address, sizeof(address), "%s:1", settings->address);
	if (ql_address_parse(&unused, address, NULL))
		return ql_error_set(error, QL_E_INVALID,
				    "settings.address: found \"%s\", allowed "
				    "an IPv4 number",
				    settings->address);
	if (settings->replica && !settings->data_folder[0])
		return ql_error_set(error, QL_E_MISSING_KEY,
				    "settings.data_folder: required key is "
				    "missing, since replica is true");
	if (check_replicas(settings, error))
		return QL_E_NOT_FOUND;
	if (!settings->registrar && !settings->n_registrars)
		return ql_error_set(error, QL_E_MISSING_KEY,
				    "settings.registrars: required key is "
				    "missing, since registrar is not true");
	if (settings->renew_ms * 2 > settings->lease_ms)
		return ql_error_set(
			error, QL_E_RANGE,
			"settings.renew_ms: found %" G_GUINT64_FORMAT
			", allowed at most half of lease_ms",
			settings->renew_ms);
	/* One renewal may fail without a loss of the permission. */
	if (settings->key_lease_ms &&
	    settings->key_lease_ms <
		    settings->renew_ms * 2 + QL_KEY_LEASE_MARGIN_MS)
		return ql_error_set(
			error, QL_E_RANGE,
			"settings.key_lease_ms: found %" G_GUINT64_FORMAT
			", allowed 0 or at least twice renew_ms and %u ms",
			settings->key_lease_ms, QL_KEY_LEASE_MARGIN_MS);
	if (settings->limiter[0] && !ql_limiter_find(settings->limiter))
		return ql_error_set(
			error, QL_E_NOT_FOUND,
			"settings.limiter: found \"%s\", allowed " QL_LIMITER_NAMES,
			settings->limiter);
	return check_balancer(settings, error);
}

int ql_settings_parse(ql_settings_t *settings, json_t *json, GError **error)
{
	json_t *remaining;
	int ret;

	memset(settings, 0, sizeof(*settings));
	settings->connections = LISTENER_CONNECTIONS_DEFAULT;
	settings->queue = GATE_QUEUE_DEFAULT;
	settings->lease_ms = LEASE_DEFAULT_MS;
	settings->renew_ms = RENEW_DEFAULT_MS;
	settings->drain_ms = DRAIN_DEFAULT_MS;
	settings->grace_ms = GRACE_DEFAULT_MS;
	settings->quota_window_ms = QUOTA_WINDOW_DEFAULT_MS;
	remaining = json_is_object(json) ? json_copy(json) : json_incref(json);
	ret = read_address_lists(settings, remaining, error);
	if (!ret)
		ret = read_nested(settings, remaining, error);
	if (!ret)
		ret = ql_json_read(settings, remaining, "settings", members,
				   G_N_ELEMENTS(members), error);
	json_decref(remaining);
	if (!ret)
		ret = replace_seed_ports(settings, error);
	if (!ret)
		ret = check_role(settings, error);
	if (!ret)
		ret = apply_voters(settings, error);
	if (ret)
		return ret;
	apply_role(settings);
	return check_relations(settings, error);
}
