#include "cli/command.h"
#include "cli/peer.h"
#include "quetzalloft/document.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#define ARGUMENT_ERRORS_MAX 8

typedef struct {
	struct arg_str *server;
	struct arg_str *cluster;
	struct arg_str *id;
	struct arg_int *base;
	struct arg_file *file;
	struct arg_end *end;
} patch_arguments_t;

static int print_patch_answer(const ql_rpc_patch_res *res, const char *id)
{
	if (!res->status) {
		printf("accepted as version %" PRIu64 "\n",
		       (uint64_t)res->config_version);
		return EX_OK;
	}
	fprintf(stderr,
		"quetzalloft config patch: %s: %s (current version %" PRIu64
		", id %s)\n",
		ql_error_name(res->status), res->detail,
		(uint64_t)res->config_version, id);
	return ql_command_exit_status(res->status);
}

static int send_patch(const patch_arguments_t *options, char *text,
		      size_t length)
{
	ql_rpc_patch_args args = {
		.id = (char *)options->id->sval[0],
		.base_version = (uint64_t)options->base->ival[0],
		.patch = {(u_int)length, text},
	};
	ql_rpc_patch_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_PATCH,
		.encode = (xdrproc_t)xdr_ql_rpc_patch_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_patch_res,
		.result = &res,
	};
	GError *error = NULL;
	int status;

	ql_peer_greeting(&args.greeting, options->cluster->sval[0]);
	if (ql_peer_call(options->server->sval[0], &call, &error))
		return ql_peer_complain("config patch", error);
	status = print_patch_answer(&res, args.id);
	xdr_free((xdrproc_t)xdr_ql_rpc_patch_res, &res);
	return status;
}

static int load_and_send(const patch_arguments_t *options)
{
	GError *error = NULL;
	gchar *text;
	gsize length;
	int status;

	if (!g_file_get_contents(options->file->filename[0], &text, &length,
				 &error)) {
		fprintf(stderr, "quetzalloft config patch: %s\n",
			error->message);
		g_error_free(error);
		return EX_NOINPUT;
	}
	status = send_patch(options, text, length);
	g_free(text);
	return status;
}

static int usage(const char *command, void **table, struct arg_end *end)
{
	arg_print_errors(stderr, end, command);
	fprintf(stderr, "Usage: quetzalloft %s", command);
	arg_print_syntax(stderr, table, "\n");
	arg_print_glossary(stderr, table, "  %-24s %s\n");
	return EX_USAGE;
}

int ql_command_config_patch(int argc, char **argv)
{
	patch_arguments_t options = {
		arg_str1("s", "server", "IP:PORT", "a replica"),
		arg_str1("c", "cluster", "NAME", "name of the cluster"),
		arg_str1("i", "id", "ID", "your own identifier of this patch"),
		arg_int1("b", "base", "N", "version it was written against"),
		arg_file1(NULL, NULL, "FILE", "RFC 7396 merge patch"),
		arg_end(ARGUMENT_ERRORS_MAX),
	};
	void **table = (void **)&options;
	int status;

	if (arg_parse(argc, argv, table) || options.base->ival[0] < 0)
		status = usage("config patch", table, options.end);
	else
		status = load_and_send(&options);
	arg_freetable(table, sizeof(options) / sizeof(void *));
	return status;
}

typedef struct {
	struct arg_str *server;
	struct arg_str *cluster;
	struct arg_end *end;
} get_arguments_t;

static int get_document(const get_arguments_t *options)
{
	ql_rpc_document_args args = {0};
	ql_rpc_document_res res = {0};
	ql_rpc_call_t call = {
		.procedure = QL_DOCUMENT,
		.encode = (xdrproc_t)xdr_ql_rpc_document_args,
		.args = &args,
		.decode = (xdrproc_t)xdr_ql_rpc_document_res,
		.result = &res,
	};
	GError *error = NULL;
	int status;

	ql_peer_greeting(&args.greeting, options->cluster->sval[0]);
	args.must_be_current = TRUE;
	if (ql_peer_call(options->server->sval[0], &call, &error))
		return ql_peer_complain("config get", error);
	status = ql_command_exit_status(res.status);
	if (res.status)
		fprintf(stderr, "quetzalloft config get: %s: %s\n",
			ql_error_name(res.status), res.detail);
	else
		printf("{\"version\":%" PRIu64 ",\"document\":%.*s}\n",
		       (uint64_t)res.config_version,
		       res.whole_document ? (int)res.document.document_len : 2,
		       res.whole_document ? res.document.document_val : "{}");
	xdr_free((xdrproc_t)xdr_ql_rpc_document_res, &res);
	return status;
}

int ql_command_config_get(int argc, char **argv)
{
	get_arguments_t options = {
		arg_str1("s", "server", "IP:PORT", "a replica"),
		arg_str1("c", "cluster", "NAME", "name of the cluster"),
		arg_end(ARGUMENT_ERRORS_MAX),
	};
	void **table = (void **)&options;
	int status;

	if (arg_parse(argc, argv, table))
		status = usage("config get", table, options.end);
	else
		status = get_document(&options);
	arg_freetable(table, sizeof(options) / sizeof(void *));
	return status;
}

int ql_command_check(int argc, char **argv)
{
	GError *error = NULL;
	ql_document_t *doc;
	json_t *json;
	int ret;

	if (argc != 2) {
		fputs("Usage: quetzalloft check FILE\n", stderr);
		return EX_USAGE;
	}
	ret = ql_json_load_file(&json, argv[1], &error);
	if (!ret) {
		ret = ql_document_compile(&doc, json, 1, &error);
		json_decref(json);
	}
	if (ret)
		return ql_peer_complain("check", error);
	printf("%s: %zu services, %zu classes, %zu routes\n", argv[1],
	       doc->n_services, doc->n_classes, doc->n_routes);
	ql_document_unref(doc);
	return EX_OK;
}
