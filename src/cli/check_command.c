#include "cli/command.h"
#include "cli/output.h"
#include "cli/options.h"
#include "quetzalloft/chart.h"
#include "quetzalloft/document.h"
#include "quetzalloft/error.h"
#include "quetzalloft/json.h"

#include <stdio.h>
#include <sysexits.h>

#define COMMAND "check"
#define SUMMARY                                                               \
	"Checks configuration documents and state charts. A file with a "     \
	"member \"states\" is\na state chart. With --dot, prints a chart in " \
	"the Graphviz DOT language. Check the\nsettings of a node with "      \
	"\"quetzalloftd --config FILE --check\"."

/* Output format for a valid file. */
typedef enum {
	FORMAT_TEXT,
	FORMAT_JSON,
	FORMAT_DOT,
} output_format_t;

static void show_chart(const char *path, const ql_chart_t *chart,
		       output_format_t format)
{
	char *dot;

	if (format == FORMAT_DOT) {
		dot = ql_chart_format_dot(chart);
		fputs(dot, stdout);
		g_free(dot);
	} else if (format == FORMAT_JSON) {
		ql_output_json(json_pack("{s:s, s:s, s:s, s:i, s:i}", "file",
					 path, "kind", "chart", "name",
					 chart->name, "states",
					 (int)chart->n_states, "events",
					 (int)chart->n_events));
	} else {
		printf("%s: chart %s, %zu states, %zu events\n", path,
		       chart->name, chart->n_states, chart->n_events);
	}
}

static int check_chart(const char *path, json_t *json, output_format_t format,
		       GError **error)
{
	ql_chart_t *chart = g_new0(ql_chart_t, 1);
	int ret = ql_chart_parse(chart, json, path, NULL, error);

	if (!ret)
		show_chart(path, chart, format);
	g_free(chart);
	return ret;
}

static void show_document(const char *path, const ql_document_t *doc,
			  output_format_t format)
{
	if (format == FORMAT_JSON)
		ql_output_json(json_pack("{s:s, s:s, s:i, s:i, s:i}", "file",
					 path, "kind", "document", "services",
					 (int)doc->n_services, "classes",
					 (int)doc->n_base_classes, "routes",
					 (int)doc->n_routes));
	else
		printf("%s: %zu services, %zu classes, %zu routes\n", path,
		       doc->n_services, doc->n_base_classes, doc->n_routes);
}

static int check_document(const char *path, json_t *json,
			  output_format_t format, GError **error)
{
	GError *cause = NULL;
	ql_document_t *doc;
	int ret;

	if (format == FORMAT_DOT)
		return ql_error_set(error, QL_E_INVALID,
				    "%s: --dot needs a state chart", path);
	ret = ql_document_compile(&doc, json, 1, &cause);
	if (ret) {
		ql_error_set(error, (ql_error_code_t)ret, "%s: %s", path,
			     cause->message);
		g_error_free(cause);
		return ret;
	}
	show_document(path, doc, format);
	ql_document_unref(doc);
	return 0;
}

static int check_json(const char *path, json_t *json, output_format_t format,
		      GError **error)
{
	if (json_object_get(json, "states"))
		return check_chart(path, json, format, error);
	if (json_object_get(json, "gate_port"))
		return ql_error_set(
			error, QL_E_INVALID,
			"%s: this file holds the settings of a node; use "
			"\"quetzalloftd --config %s --check\"",
			path, path);
	return check_document(path, json, format, error);
}

static int check_file(const char *path, output_format_t format)
{
	GError *error = NULL;
	json_t *json;
	int ret;

	ret = ql_json_load_file(&json, path, &error);
	if (!ret) {
		ret = check_json(path, json, format, &error);
		json_decref(json);
	}
	return ret ? ql_command_report_error(COMMAND, error) : EX_OK;
}

/* Checks all files; returns the exit status of the last invalid one. */
static int check_files(const struct arg_file *files, output_format_t format)
{
	int result = EX_OK;
	int i, status;

	for (i = 0; i < files->count; i++) {
		status = check_file(files->filename[i], format);
		result = status == EX_OK ? result : status;
	}
	return result;
}

int ql_command_check(int argc, char **argv)
{
	struct arg_lit *dot =
		arg_lit0("d", "dot", "print a state chart as a DOT graph");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 64, "file to check");
	ql_arguments_t arguments;
	ql_options_t options;
	output_format_t format = FORMAT_TEXT;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, false);
	ql_arguments_add(&arguments, dot);
	ql_arguments_add(&arguments, files);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status)) {
		if (dot->count)
			format = FORMAT_DOT;
		else if (options.json)
			format = FORMAT_JSON;
		status = check_files(files, format);
	}
	ql_arguments_finish(&arguments);
	return status;
}
