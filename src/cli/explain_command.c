#include "cli/command.h"
#include "cli/output.h"
#include "cli/peer.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define COMMAND "explain"
#define SUMMARY                                                                \
	"Shows where one node would send a request now, and why. Nothing is "  \
	"sent to an endpoint\nand nothing is counted. The API key is read "    \
	"from a file or from QUETZALLOFT_KEY, as\nother users of the machine " \
	"can read command lines."
#define KEY_VARIABLE "QUETZALLOFT_KEY"
/* Bytes of a method, with NUL, as in the configuration. */
#define METHOD_SIZE 8

/* The arguments of the command; @key is owned. */
typedef struct {
	const char *host;
	const char *method;
	const char *path;
	char *key;
	bool call;
} request_t;

static const char *const endpoint_titles[] = {
	"GATE",	    "LIKELY",	    "ESTIMATE",	    "IN PROGRESS",
	"SLOTS",    "LATENCY (US)", "FAILURES",	    "OCCUPANCY",
	"AGE (MS)", "EJECTED (MS)", "BACKOFF (MS)", "PASSED OVER",
	NULL,
};
static const char *const split_titles[] = {"SERVICE", "WEIGHT", "NEXT", NULL};

static int usage_error(const char *message)
{
	fprintf(stderr, "quetzalloft " COMMAND ": %s\n", message);
	return EX_USAGE;
}

/* A key may end with a newline, which editors add to a file. */
static int read_key_file(request_t *request, const char *path)
{
	GError *error = NULL;

	if (!g_file_get_contents(path, &request->key, NULL, &error)) {
		fprintf(stderr, "quetzalloft " COMMAND ": %s\n",
			error->message);
		g_error_free(error);
		return EX_NOINPUT;
	}
	g_strchomp(request->key);
	return EX_OK;
}

static int read_key(request_t *request, const char *path)
{
	const char *value = getenv(KEY_VARIABLE);
	int status = EX_OK;

	if (path)
		status = read_key_file(request, path);
	else if (value && value[0])
		request->key = g_strdup(value);
	if (status || !request->key)
		return status;
	if (request->key[0] && g_utf8_validate(request->key, -1, NULL))
		return EX_OK;
	fputs("quetzalloft " COMMAND ": the API key is empty or not UTF-8\n",
	      stderr);
	return EX_DATAERR;
}

/* Returns the request as the filter of the report; NULL if it is too long. */
static char *make_filter(const request_t *request)
{
	json_t *json = json_pack("{s:s, s:s, s:s, s:b}", "host", request->host,
				 "method", request->method, "path",
				 request->path, "call", request->call);
	char *text;

	if (!json)
		return NULL;
	if (request->key)
		json_object_set_new(json, "key", json_string(request->key));
	text = ql_json_dump(json);
	json_decref(json);
	if (strlen(text) <= QL_RPC_DETAIL_MAX)
		return text;
	free(text);
	return NULL;
}

static const char *text_of(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static json_int_t integer_of(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static double number_of(const json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

static bool flag_of(const json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key));
}

static void print_caller(const json_t *report)
{
	const json_t *route = json_object_get(report, "route");
	const json_t *class = json_object_get(report, "class");
	const json_t *keys = json_object_get(report, "keys");

	printf("version    %" JSON_INTEGER_FORMAT "\n",
	       integer_of(report, "version"));
	printf("route      %s, target %" JSON_INTEGER_FORMAT
	       " ms, deadline %" JSON_INTEGER_FORMAT " ms%s%s\n",
	       text_of(route, "name"), integer_of(route, "target_ms"),
	       integer_of(route, "deadline_ms"),
	       flag_of(route, "idempotent") ? ", idempotent" : "",
	       flag_of(route, "anonymous") ? ", no key needed" : "");
	printf("team       %s\n", text_of(report, "team"));
	printf("class      %s, shed order %" JSON_INTEGER_FORMAT "%s\n",
	       text_of(class, "name"), integer_of(class, "shed_order"),
	       flag_of(report, "call") ? " (a call has that of its request)"
				       : "");
	printf("keys       %s",
	       flag_of(keys, "current") ? "current" : "not current");
	if (json_is_integer(json_object_get(keys, "age_ms")))
		printf(", proven %" JSON_INTEGER_FORMAT " ms ago",
		       integer_of(keys, "age_ms"));
	puts("");
}

static void print_quota(const json_t *quota)
{
	if (!json_is_object(quota)) {
		puts("quota      none");
		return;
	}
	printf("quota      %g a second, burst %g; tokens held "
	       "%" JSON_INTEGER_FORMAT "%s; next: %s",
	       number_of(quota, "rate_per_s"), number_of(quota, "burst"),
	       integer_of(quota, "tokens"),
	       flag_of(quota, "unlimited") ? " (unlimited for now)" : "",
	       text_of(quota, "next"));
	if (json_is_integer(json_object_get(quota, "room_in_ms")))
		printf("; room in %" JSON_INTEGER_FORMAT " ms",
		       integer_of(quota, "room_in_ms"));
	puts("");
}

static void print_admission(const json_t *admission)
{
	if (!json_is_object(admission)) {
		puts("admission  not asked for a call");
		return;
	}
	printf("admission  share %.3g, guaranteed share %.3g, in progress "
	       "%" JSON_INTEGER_FORMAT " + %" JSON_INTEGER_FORMAT
	       " guaranteed\n",
	       number_of(admission, "share"),
	       number_of(admission, "guaranteed_share"),
	       integer_of(admission, "in_progress"),
	       integer_of(admission, "guaranteed_in_progress"));
	printf("           next: %s by %s, chance %.3g%s\n",
	       flag_of(admission, "next_refused") ? "refused" : "admitted",
	       text_of(admission, "next_by"),
	       number_of(admission, "next_chance"),
	       flag_of(admission, "next_guaranteed") ? ", guaranteed" : "");
}

static void print_service(const json_t *service)
{
	const json_t *split = json_object_get(service, "split"), *part;
	ql_text_table_t table;
	size_t i;

	printf("service    %s\n", text_of(service, "name"));
	if (!json_array_size(split))
		return;
	ql_text_table_init(&table, split_titles);
	json_array_foreach (split, i, part) {
		ql_text_table_add_member(&table, part, "service");
		ql_text_table_add_member(&table, part, "weight");
		ql_text_table_add_member(&table, part, "next");
	}
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
}

/* Adds a number, or a dash for one that is not known. */
static void add_real(ql_text_table_t *table, const json_t *object,
		     const char *key)
{
	const json_t *value = json_object_get(object, key);
	char text[32] = "";

	if (json_is_number(value))
		g_snprintf(text, sizeof(text), "%.4g",
			   json_number_value(value));
	ql_text_table_add_cell(table, text);
}

static void add_endpoint_row(ql_text_table_t *table, const json_t *endpoint)
{
	ql_text_table_add_member(table, endpoint, "gate");
	ql_text_table_add_member(table, endpoint, "likely");
	add_real(table, endpoint, "estimate");
	ql_text_table_add_member(table, endpoint, "in_progress");
	ql_text_table_add_member(table, endpoint, "slots");
	add_real(table, endpoint, "latency_us");
	add_real(table, endpoint, "failure_ratio");
	add_real(table, endpoint, "occupancy");
	ql_text_table_add_member(table, endpoint, "occupancy_age_ms");
	ql_text_table_add_member(table, endpoint, "ejected_ms");
	ql_text_table_add_member(table, endpoint, "backoff_ms");
	ql_text_table_add_member(table, endpoint, "obstacle");
}

static void print_balancer(const json_t *balancer)
{
	const json_t *endpoints = json_object_get(balancer, "endpoints");
	ql_text_table_t table;
	size_t i;

	printf("likely     %s: %s\n", text_of(balancer, "likely"),
	       text_of(balancer, "reason"));
	printf("balancer   %s, compares by %s\n", text_of(balancer, "policy"),
	       text_of(balancer, "compared_by"));
	ql_text_table_init(&table, endpoint_titles);
	for (i = 0; i < json_array_size(endpoints); i++)
		add_endpoint_row(&table, json_array_get(endpoints, i));
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
}

static void print_report(const json_t *report)
{
	printf("outcome    %s\n", text_of(report, "outcome"));
	print_caller(report);
	print_quota(json_object_get(report, "quota"));
	print_admission(json_object_get(report, "admission"));
	print_service(json_object_get(report, "service"));
	print_balancer(json_object_get(report, "balancer"));
}

static int explain(const ql_options_t *options, const char *filter)
{
	GError *error = NULL;
	json_t *report = NULL;

	if (ql_peer_fetch_report(&report, options, options->servers[0], COMMAND,
				 filter, &error))
		return ql_command_report_error(COMMAND, error);
	if (options->json) {
		ql_output_json(report);
		return EX_OK;
	}
	print_report(report);
	json_decref(report);
	return EX_OK;
}

static int run(const ql_options_t *options, request_t *request,
	       const char *key_file)
{
	char *filter;
	int status;

	if (options->n_servers != 1)
		return usage_error("give exactly one --server");
	if (request->path[0] != '/')
		return usage_error("the path must start with \"/\"");
	if (!request->method[0] || strlen(request->method) >= METHOD_SIZE)
		return usage_error("--method: allowed are 1 to 7 bytes");
	if (strlen(request->host) >= QL_NAME_MAX)
		return usage_error("--host: allowed are up to 63 bytes");
	status = read_key(request, key_file);
	if (status)
		return status;
	filter = make_filter(request);
	if (!filter)
		return usage_error("the request is not UTF-8, or longer than "
				   "511 bytes as JSON");
	status = explain(options, filter);
	free(filter);
	return status;
}

int ql_command_explain(int argc, char **argv)
{
	struct arg_str *method = arg_str0("m", "method", "NAME",
					  "HTTP method; GET unless given");
	struct arg_str *host =
		arg_str0("H", "host", "NAME", "value of the Host header");
	struct arg_file *key_file =
		arg_file0("k", "key-file", "FILE", "file with the API key");
	struct arg_lit *call =
		arg_lit0(NULL, "call",
			 "a call of a request that runs at the endpoint");
	struct arg_str *path =
		arg_str1(NULL, NULL, "PATH", "path of the request");
	request_t request = {0};
	ql_arguments_t arguments;
	ql_options_t options;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	ql_arguments_add(&arguments, method);
	ql_arguments_add(&arguments, host);
	ql_arguments_add(&arguments, key_file);
	ql_arguments_add(&arguments, call);
	ql_arguments_add(&arguments, path);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status)) {
		request.method = method->count ? method->sval[0] : "GET";
		request.host = host->count ? host->sval[0] : "";
		request.path = path->sval[0];
		request.call = call->count > 0;
		status = run(&options, &request,
			     key_file->count ? key_file->filename[0] : NULL);
	}
	g_free(request.key);
	ql_arguments_finish(&arguments);
	return status;
}
