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
#define SUMMARY                                                              \
	"Checks configuration documents and state charts, which are told "   \
	"apart by their\nmembers. With --dot, prints a chart in Graphviz's " \
	"language. Settings of a node are\nchecked by \"quetzalloftd "       \
	"--config FILE --check\"."

/* How a file is shown. */
typedef enum {
	FORM_TEXT,
	FORM_JSON,
	FORM_DOT,
} form_t;

static void show_chart(const char *path, const ql_chart_t *chart, form_t form)
{
	char *dot;

	if (form == FORM_DOT) {
		dot = ql_chart_format_dot(chart);
		fputs(dot, stdout);
		g_free(dot);
	} else if (form == FORM_JSON) {
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

static int check_chart(const char *path, json_t *json, form_t form,
		       GError **error)
{
	ql_chart_t *chart = g_new0(ql_chart_t, 1);
	int ret = ql_chart_parse(chart, json, path, NULL, error);

	if (!ret)
		show_chart(path, chart, form);
	g_free(chart);
	return ret;
}

static void show_document(const char *path, const ql_document_t *doc,
			  form_t form)
{
	if (form == FORM_JSON)
		ql_output_json(json_pack("{s:s, s:s, s:i, s:i, s:i}", "file",
					 path, "kind", "document", "services",
					 (int)doc->n_services, "classes",
					 (int)doc->n_classes, "routes",
					 (int)doc->n_routes));
	else
		printf("%s: %zu services, %zu classes, %zu routes\n", path,
		       doc->n_services, doc->n_classes, doc->n_routes);
}

static int check_document(const char *path, json_t *json, form_t form,
			  GError **error)
{
	GError *cause = NULL;
	ql_document_t *doc;
	int ret;

	if (form == FORM_DOT)
		return ql_error_set(error, QL_E_INVALID,
				    "%s: --dot needs a state chart", path);
	ret = ql_document_compile(&doc, json, 1, &cause);
	if (ret) {
		ql_error_set(error, (ql_error_code_t)ret, "%s: %s", path,
			     cause->message);
		g_error_free(cause);
		return ret;
	}
	show_document(path, doc, form);
	ql_document_unref(doc);
	return 0;
}

static int check_json(const char *path, json_t *json, form_t form,
		      GError **error)
{
	if (json_object_get(json, "states"))
		return check_chart(path, json, form, error);
	if (json_object_get(json, "gate_port"))
		return ql_error_set(error, QL_E_INVALID,
				    "%s: these are settings of a node; use "
				    "\"quetzalloftd --config %s --check\"",
				    path, path);
	return check_document(path, json, form, error);
}

static int check_file(const char *path, form_t form)
{
	GError *error = NULL;
	json_t *json;
	int ret;

	ret = ql_json_load_file(&json, path, &error);
	if (!ret) {
		ret = check_json(path, json, form, &error);
		json_decref(json);
	}
	return ret ? ql_command_complain(COMMAND, error) : EX_OK;
}

static int check_files(const struct arg_file *files, form_t form)
{
	int worst = EX_OK;
	int i, status;

	for (i = 0; i < files->count; i++) {
		status = check_file(files->filename[i], form);
		worst = status == EX_OK ? worst : status;
	}
	return worst;
}

int ql_command_check(int argc, char **argv)
{
	struct arg_lit *dot = arg_lit0("d", "dot", "print a chart as a graph");
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 1, 64, "what to check");
	ql_arguments_t arguments;
	ql_options_t options;
	form_t form = FORM_TEXT;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, false);
	ql_arguments_add(&arguments, dot);
	ql_arguments_add(&arguments, files);
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status)) {
		if (dot->count)
			form = FORM_DOT;
		else if (options.json)
			form = FORM_JSON;
		status = check_files(files, form);
	}
	ql_arguments_finish(&arguments);
	return status;
}
