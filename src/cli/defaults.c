#include "cli/options.h"
#include "quetzalloft/address.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <string.h>

#define FILE_VARIABLE "QUETZALLOFT_CONFIG"
#define SERVERS_VARIABLE "QUETZALLOFT_SERVERS"
#define CLUSTER_VARIABLE "QUETZALLOFT_CLUSTER"
#define TIMEOUT_VARIABLE "QUETZALLOFT_TIMEOUT_MS"
#define FILE_NAME "quetzalloft.json"
#define TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 600000
#define DECIMAL 10

/* Contents of the file of defaults. */
typedef struct {
	char cluster[QL_NAME_MAX];
	uint64_t timeout_ms;
	json_t *servers;
} file_defaults_t;

static const ql_json_member_t file_members[] = {
	QL_MEMBER_STRING(file_defaults_t, cluster, false, 1),
	QL_MEMBER_UINT(file_defaults_t, timeout_ms, false, 1, TIMEOUT_MAX_MS),
	QL_MEMBER_ARRAY(file_defaults_t, servers, false),
};

static int add_server(ql_options_t *options, const char *address,
		      const char *location, GError **error)
{
	struct sockaddr_in parsed;
	GError *cause = NULL;

	if (options->n_servers == QL_SERVERS_MAX)
		return ql_error_set(error, QL_E_RANGE,
				    "%s: allowed at most %d addresses",
				    location, QL_SERVERS_MAX);
	if (ql_address_parse(&parsed, address, &cause)) {
		ql_error_set(error, QL_E_INVALID, "%s: %s", location,
			     cause->message);
		g_error_free(cause);
		return QL_E_INVALID;
	}
	g_strlcpy(options->servers[options->n_servers++], address,
		  QL_ADDRESS_MAX);
	return 0;
}

static int read_servers(ql_options_t *options, const json_t *list,
			const char *path, GError **error)
{
	json_t *value;
	size_t i;
	int ret;

	json_array_foreach (list, i, value) {
		if (!json_is_string(value))
			return ql_error_set(error, QL_E_TYPE,
					    "%s.servers[%zu]: allowed a string",
					    path, i);
		ret = add_server(options, json_string_value(value), path,
				 error);
		if (ret)
			return ret;
	}
	return 0;
}

static int read_file(ql_options_t *options, const char *path, GError **error)
{
	file_defaults_t defaults = {.timeout_ms = TIMEOUT_DEFAULT_MS};
	json_t *json;
	int ret;

	ret = ql_json_load_file(&json, path, error);
	if (ret)
		return ret;
	ret = ql_json_read(&defaults, json, path, file_members,
			   G_N_ELEMENTS(file_members), error);
	if (!ret)
		ret = read_servers(options, defaults.servers, path, error);
	memcpy(options->cluster, defaults.cluster, sizeof(options->cluster));
	options->timeout_ms = defaults.timeout_ms;
	json_decref(json);
	return ret;
}

/* Only the file in the user's configuration folder may be missing. */
static int read_default_file(ql_options_t *options, GError **error)
{
	const char *configured_path = g_getenv(FILE_VARIABLE);
	char *path;
	int ret = 0;

	if (configured_path && *configured_path)
		return read_file(options, configured_path, error);
	path = g_build_filename(g_get_user_config_dir(), FILE_NAME, NULL);
	if (g_file_test(path, G_FILE_TEST_EXISTS))
		ret = read_file(options, path, error);
	g_free(path);
	return ret;
}

/* Replaces the servers of the file. */
static int read_server_variable(ql_options_t *options, const char *value,
				GError **error)
{
	char **addresses = g_strsplit(value, ",", -1);
	int ret = 0;
	size_t i;

	options->n_servers = 0;
	for (i = 0; addresses[i] && !ret; i++)
		ret = add_server(options, g_strstrip(addresses[i]),
				 "$" SERVERS_VARIABLE, error);
	g_strfreev(addresses);
	return ret;
}

static int read_timeout_variable(ql_options_t *options, const char *value,
				 GError **error)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(value, DECIMAL, 1, TIMEOUT_MAX_MS,
					&number, NULL))
		return ql_error_set(error, QL_E_RANGE,
				    "$" TIMEOUT_VARIABLE
				    ": found \"%s\", allowed 1 to %d",
				    value, TIMEOUT_MAX_MS);
	options->timeout_ms = number;
	return 0;
}

int ql_options_load_defaults(ql_options_t *options, GError **error)
{
	const char *servers = g_getenv(SERVERS_VARIABLE);
	const char *cluster = g_getenv(CLUSTER_VARIABLE);
	const char *timeout = g_getenv(TIMEOUT_VARIABLE);
	int ret;

	options->timeout_ms = TIMEOUT_DEFAULT_MS;
	ret = read_default_file(options, error);
	if (!ret && servers && *servers)
		ret = read_server_variable(options, servers, error);
	if (!ret && timeout && *timeout)
		ret = read_timeout_variable(options, timeout, error);
	if (cluster && *cluster)
		g_strlcpy(options->cluster, cluster, sizeof(options->cluster));
	return ret;
}
