#include "cli/command.h"
#include "cli/history.h"
#include "cli/output.h"
#include "cli/peer.h"
#include "quetzalloft/error.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#define COMMAND "timeline"
#define SUMMARY                                                               \
	"Shows what happened, over all the servers, in one order that puts "  \
	"each cause before\nits effects. With --request, one client request " \
	"as a tree of its attempts. Events\ncome from the servers, or from "  \
	"files that --save wrote. A process keeps its newest\nevents only."
#define TOPIC "timeline"
#define FILES_MAX 64
#define CLOCK_COUNTER_BITS 16
#define MS_PER_S 1000u

/* The command's own arguments. */
typedef struct {
	struct arg_str *request;
	struct arg_str *service;
	struct arg_str *endpoint;
	struct arg_int *version;
	struct arg_int *last_s;
	struct arg_file *from;
	struct arg_file *save;
	struct arg_file *svg;
} own_t;

static const char *const titles[] = {
	"CLOCK (MS)", "NODE",	 "EVENT",   "REQUEST", "ATTEMPT", "SERVICE",
	"ENDPOINT",   "VERSION", "OUTCOME", "REASON",  NULL,
};

static void add_own(ql_arguments_t *arguments, own_t *own)
{
	own->request = arg_str0("r", "request", "ID", "one client request");
	own->service = arg_str0(NULL, "service", "NAME", "one service");
	own->endpoint =
		arg_str0(NULL, "endpoint", "IP:PORT", "one endpoint's gate");
	own->version = arg_int0(NULL, "version", "N", "one version");
	own->last_s = arg_int0(NULL, "last", "SECONDS",
			       "events of the last seconds, by this clock");
	own->from = arg_filen("f", "from", "FILE", 0, FILES_MAX,
			      "read saved events, ask no server");
	own->save = arg_file0("o", "save", "FILE", "save the events");
	own->svg = arg_file0(NULL, "svg", "FILE", "draw a picture");
	ql_arguments_add(arguments, own->request);
	ql_arguments_add(arguments, own->service);
	ql_arguments_add(arguments, own->endpoint);
	ql_arguments_add(arguments, own->version);
	ql_arguments_add(arguments, own->last_s);
	ql_arguments_add(arguments, own->from);
	ql_arguments_add(arguments, own->save);
	ql_arguments_add(arguments, own->svg);
}

static int make_filter(ql_timeline_filter_t *filter, const own_t *own,
		       GError **error)
{
	uint64_t ago_ms;

	*filter = (ql_timeline_filter_t){0};
	if (own->request->count &&
	    ql_hex64_parse(&filter->request, own->request->sval[0]))
		return ql_error_set(error, QL_E_INVALID,
				    "--request: found \"%s\", allowed 1 to 16 "
				    "hex digits",
				    own->request->sval[0]);
	if (own->service->count)
		g_strlcpy(filter->service, own->service->sval[0],
			  sizeof(filter->service));
	if (own->endpoint->count)
		g_strlcpy(filter->endpoint, own->endpoint->sval[0],
			  sizeof(filter->endpoint));
	filter->has_version = own->version->count > 0;
	if (filter->has_version)
		filter->version = (uint64_t)own->version->ival[0];
	if (own->last_s->count && own->last_s->ival[0] >= 0) {
		ago_ms = (uint64_t)own->last_s->ival[0] * MS_PER_S;
		filter->since = (ql_clock_wall_ms() - ago_ms)
				<< CLOCK_COUNTER_BITS;
	}
	return 0;
}

/* The stamp of the last event of a report, for the next page. */
static bool next_page(ql_timeline_filter_t *filter, const json_t *report)
{
	const json_t *events = json_object_get(report, "events");
	size_t n = json_array_size(events);
	const char *clock;

	if (!n || !json_is_true(json_object_get(report, "more")))
		return false;
	clock = json_string_value(
		json_object_get(json_array_get(events, n - 1), "clock"));
	return clock && !ql_hex64_parse(&filter->since, clock);
}

static int gather_from(ql_history_t *history, const ql_options_t *options,
		       const char *address, ql_timeline_filter_t filter,
		       GError **error)
{
	bool more = true;
	json_t *report;
	char *text;
	int ret;

	while (more) {
		text = ql_timeline_filter_format(&filter);
		ret = ql_peer_report(&report, options, address, TOPIC, text,
				     error);
		free(text);
		if (ret)
			return ret;
		ret = ql_history_take_report(history, report, address, error);
		more = !ret && next_page(&filter, report);
		json_decref(report);
		if (ret)
			return ret;
	}
	return 0;
}

static int gather(ql_history_t *history, const ql_options_t *options,
		  const ql_timeline_filter_t *filter)
{
	int failed = EX_OK;
	size_t answered = 0;
	size_t i;

	for (i = 0; i < options->n_servers; i++) {
		GError *error = NULL;

		if (gather_from(history, options, options->servers[i], *filter,
				&error))
			failed = ql_command_complain(COMMAND, error);
		else
			answered++;
	}
	return failed == EX_OK || !answered ? failed : QL_EXIT_PARTIAL;
}

static int load(ql_history_t *history, const own_t *own,
		const ql_timeline_filter_t *filter)
{
	GError *error = NULL;
	int i;

	for (i = 0; i < own->from->count; i++)
		if (ql_history_load(history, own->from->filename[i], filter,
				    &error))
			return ql_command_complain(COMMAND, error);
	return EX_OK;
}

static void add_hex(ql_sheet_t *sheet, uint64_t value)
{
	char text[QL_HEX64_MAX];

	ql_hex64_format(text, value);
	ql_sheet_add(sheet, value ? text : NULL);
}

static void add_row(ql_sheet_t *sheet, const ql_moment_t *moment)
{
	ql_sheet_add_number(sheet,
			    (json_int_t)(moment->clock >> CLOCK_COUNTER_BITS));
	ql_sheet_add(sheet, moment->node);
	ql_sheet_add(sheet, moment->event);
	add_hex(sheet, moment->id.request);
	add_hex(sheet, moment->id.attempt);
	ql_sheet_add(sheet, moment->service);
	ql_sheet_add(sheet, moment->endpoint);
	ql_sheet_add_number(sheet, (json_int_t)moment->version);
	ql_sheet_add(sheet, moment->outcome);
	ql_sheet_add(sheet, moment->reason);
}

static void print_table(const ql_history_t *history)
{
	ql_sheet_t sheet;
	guint i;

	ql_sheet_init(&sheet, titles);
	for (i = 0; i < history->moments->len; i++)
		add_row(&sheet, ql_history_at(history, i));
	ql_sheet_print(&sheet);
	ql_sheet_finish(&sheet);
}

static void print_tree(const ql_history_t *history, uint64_t request)
{
	char *tree = ql_history_tree(history, request);

	fputs(tree, stdout);
	g_free(tree);
}

static int save(const ql_history_t *history, const char *path)
{
	FILE *out = fopen(path, "w");

	if (!out) {
		perror(path);
		return EX_CANTCREAT;
	}
	ql_history_save(history, out);
	if (fclose(out)) {
		perror(path);
		return EX_IOERR;
	}
	return EX_OK;
}

static int draw(const ql_history_t *history, const char *path)
{
	char *picture = ql_history_picture(history);
	GError *error = NULL;
	int status = EX_OK;

	if (!g_file_set_contents(path, picture, -1, &error)) {
		fprintf(stderr, "quetzalloft " COMMAND ": %s\n",
			error->message);
		g_error_free(error);
		status = EX_CANTCREAT;
	}
	g_free(picture);
	return status;
}

static void warn(const ql_history_t *history)
{
	size_t unsound = ql_history_count_unsound(history);

	if (unsound)
		fprintf(stderr,
			"quetzalloft " COMMAND ": %zu attempts stand in an "
			"order that cannot be: a process lost its clock\n",
			unsound);
	if (history->overwritten)
		fprintf(stderr,
			"quetzalloft " COMMAND ": %" PRIu64 " older events "
			"are no longer kept\n",
			history->overwritten);
}

static int show(const ql_history_t *history, const own_t *own,
		const ql_timeline_filter_t *filter, bool json)
{
	int status = EX_OK;

	warn(history);
	if (own->save->count)
		status = save(history, own->save->filename[0]);
	if (status == EX_OK && own->svg->count)
		status = draw(history, own->svg->filename[0]);
	if (json)
		ql_history_save(history, stdout);
	else if (filter->request)
		print_tree(history, filter->request);
	else
		print_table(history);
	return status;
}

static int run(const ql_options_t *options, const own_t *own)
{
	ql_timeline_filter_t filter;
	ql_history_t history;
	GError *error = NULL;
	int status, shown;

	if (make_filter(&filter, own, &error)) {
		ql_command_complain(COMMAND, error);
		return EX_USAGE;
	}
	ql_history_init(&history);
	status = own->from->count ? load(&history, own, &filter)
				  : gather(&history, options, &filter);
	if (status == EX_OK || status == QL_EXIT_PARTIAL) {
		ql_history_sort(&history);
		shown = show(&history, own, &filter, options->json);
		status = shown == EX_OK ? status : shown;
	}
	ql_history_finish(&history);
	return status;
}

int ql_command_timeline(int argc, char **argv)
{
	ql_arguments_t arguments;
	ql_options_t options;
	own_t own;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	add_own(&arguments, &own);
	arguments.offline = own.from;
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status))
		status = run(&options, &own);
	ql_arguments_finish(&arguments);
	return status;
}
