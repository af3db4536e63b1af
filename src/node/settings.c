#include "node/settings.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"
#include "quetzalloft/limiter.h"

#include <string.h>

#define PORT_MAX 65535
#define CONNECTIONS_DEFAULT 4000
#define QUEUE_DEFAULT 256
#define LEASE_DEFAULT_MS 3000
#define RENEW_DEFAULT_MS 500
#define DRAIN_DEFAULT_MS 1500

static const ql_json_member_t members[] = {
	QL_MEMBER_STRING(ql_settings_t, cluster, true, 1),
	QL_MEMBER_STRING(ql_settings_t, node, true, 1),
	QL_MEMBER_STRING(ql_settings_t, failure_domain, true, 1),
	QL_MEMBER_STRING(ql_settings_t, address, true, 1),
	QL_MEMBER_UINT(ql_settings_t, client_port, true, 1, PORT_MAX),
	QL_MEMBER_UINT(ql_settings_t, gate_port, true, 1, PORT_MAX),
	QL_MEMBER_UINT(ql_settings_t, local_port, true, 1, PORT_MAX),
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
	QL_MEMBER_UINT(ql_settings_t, drain_ms, false, 0, 600000),
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

/* A member of the settings that is a list of addresses. */
typedef struct {
	const char *key;
	char (*out)[QL_ADDRESS_MAX];
	size_t *n_out;
	size_t max;
} address_list_t;

/* Takes the lists of addresses out of the object before the rest is read. */
static int read_lists(ql_settings_t *settings, json_t *json, GError **error)
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

/* The list may be left out by a replica that stays alone. */
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
	if (settings->limiter[0] && !ql_limiter_find(settings->limiter))
		return ql_error_set(error, QL_E_NOT_FOUND,
				    "settings.limiter: found \"%s\", allowed "
				    "fixed, aimd, gradient",
				    settings->limiter);
	return 0;
}

int ql_settings_parse(ql_settings_t *settings, json_t *json, GError **error)
{
	json_t *rest;
	int ret;

	memset(settings, 0, sizeof(*settings));
	g_strlcpy(settings->balancer, "two_choices", QL_NAME_MAX);
	settings->connections = CONNECTIONS_DEFAULT;
	settings->queue = QUEUE_DEFAULT;
	settings->lease_ms = LEASE_DEFAULT_MS;
	settings->renew_ms = RENEW_DEFAULT_MS;
	settings->drain_ms = DRAIN_DEFAULT_MS;
	rest = json_is_object(json) ? json_copy(json) : json_incref(json);
	ret = read_lists(settings, rest, error);
	if (!ret)
		ret = ql_json_read(settings, rest, "settings", members,
				   G_N_ELEMENTS(members), error);
	json_decref(rest);
	return ret ? ret : check_relations(settings, error);
}

int ql_settings_load(ql_settings_t *settings, const char *path, GError **error)
{
	json_t *json;
	int ret = ql_json_load_file(&json, path, error);

	if (ret)
		return ret;
	ret = ql_settings_parse(settings, json, error);
	json_decref(json);
	return ret;
}
