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
#define SUMMARY                                                                \
	"Shows the events of all servers in one order, each cause before its " \
	"effects. With\n--request, shows one client request as a tree of its " \
	"attempts. Events come from the\nservers, or from files that --save "  \
	"wrote. Each process keeps a limited number of\nits newest events."
#define TOPIC "timeline"
#define FILES_MAX 64
#define CLOCK_COUNTER_BITS 16
#define MS_PER_S 1000u

/* Arguments specific to this command. */
typedef struct {
	struct arg_str *request;
	struct arg_str *service;
	struct arg_str *endpoint;
	struct arg_int *version;
	struct arg_int *last_s;
	struct arg_file *from;
	struct arg_file *save;
	struct arg_file *svg;
} timeline_arguments_t;

static const char *const titles[] = {
	"CLOCK (MS)", "NODE",	 "EVENT",   "REQUEST", "ATTEMPT", "SERVICE",
	"ENDPOINT",   "VERSION", "OUTCOME", "REASON",  NULL,
};

static void add_timeline_arguments(ql_arguments_t *arguments,
				   timeline_arguments_t *args)
{
	args->request = arg_str0("r", "request", "ID",
				 "events of one client request, as a tree");
	args->service =
		arg_str0(NULL, "service", "NAME", "events of one service");
	args->endpoint = arg_str0(NULL, "endpoint", "IP:PORT",
				  "events of the gate of one endpoint");
	args->version = arg_int0(NULL, "version", "N",
				 "events of one version of the configuration");
	args->last_s =
		arg_int0(NULL, "last", "SECONDS",
			 "events of the last SECONDS by the local clock");
	args->from = arg_filen("f", "from", "FILE", 0, FILES_MAX,
			       "read saved events instead of those of servers");
	args->save = arg_file0("o", "save", "FILE", "save the events");
	args->svg = arg_file0(NULL, "svg", "FILE",
			      "draw the events as an SVG picture");
	ql_arguments_add(arguments, args->request);
	ql_arguments_add(arguments, args->service);
	ql_arguments_add(arguments, args->endpoint);
	ql_arguments_add(arguments, args->version);
	ql_arguments_add(arguments, args->last_s);
	ql_arguments_add(arguments, args->from);
	ql_arguments_add(arguments, args->save);
	ql_arguments_add(arguments, args->svg);
}

/* Checks a number that the arguments may leave out. */
static int check_number(const struct arg_int *argument, const char *name,
			GError **error)
{
	if (!argument->count || argument->ival[0] >= 0)
		return 0;
	return ql_error_set(error, QL_E_RANGE,
			    "%s: found %d, allowed 0 or more", name,
			    argument->ival[0]);
}

static int parse_filter(ql_timeline_filter_t *filter,
			const timeline_arguments_t *args, GError **error)
{
	uint64_t now_ms = ql_clock_wall_ms();
	int ret = check_number(args->version, "--version", error);

	*filter = (ql_timeline_filter_t){0};
	if (!ret)
		ret = check_number(args->last_s, "--last", error);
	if (ret)
		return ret;
	if (args->request->count &&
	    ql_hex64_parse(&filter->request, args->request->sval[0]))
		return ql_error_set(error, QL_E_INVALID,
				    "--request: found \"%s\", allowed 1 to 16 "
				    "hex digits",
				    args->request->sval[0]);
	if (args->service->count)
		g_strlcpy(filter->service, args->service->sval[0],
			  sizeof(filter->service));
	if (args->endpoint->count)
		g_strlcpy(filter->endpoint, args->endpoint->sval[0],
			  sizeof(filter->endpoint));
	filter->has_version = args->version->count > 0;
	if (filter->has_version)
		filter->version = (uint64_t)args->version->ival[0];
	if (args->last_s->count)
		filter->since = (now_ms -
				 MIN((uint64_t)args->last_s->ival[0] * MS_PER_S,
				     now_ms))
				<< CLOCK_COUNTER_BITS;
	return 0;
}

/*
 * Makes the filter start after the last event of a report. Returns false if
 * there are no further events.
 */
static bool advance_to_next_page(ql_timeline_filter_t *filter,
				 const json_t *report)
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

static int fetch_events(ql_history_t *history, const ql_options_t *options,
			const char *address, ql_timeline_filter_t filter,
			GError **error)
{
	bool more = true;
	json_t *report;
	char *text;
	int ret;

	while (more) {
		text = ql_timeline_filter_format(&filter);
		ret = ql_peer_fetch_report(&report, options, address, TOPIC,
					   text, error);
		free(text);
		if (ret)
			return ret;
		ret = ql_history_add_report(history, report, address, error);
		more = !ret && advance_to_next_page(&filter, report);
		json_decref(report);
		if (ret)
			return ret;
	}
	return 0;
}

static int fetch_from_all(ql_history_t *history, const ql_options_t *options,
			  const ql_timeline_filter_t *filter)
{
	int failed = EX_OK;
	size_t answered = 0;
	size_t i;

	for (i = 0; i < options->n_servers; i++) {
		GError *error = NULL;

		if (fetch_events(history, options, options->servers[i], *filter,
				 &error))
			failed = ql_command_report_error(COMMAND, error);
		else
			answered++;
	}
	return failed == EX_OK || !answered ? failed : QL_EXIT_PARTIAL;
}

static int load(ql_history_t *history, const timeline_arguments_t *args,
		const ql_timeline_filter_t *filter)
{
	GError *error = NULL;
	int i;

	for (i = 0; i < args->from->count; i++)
		if (ql_history_load(history, args->from->filename[i], filter,
				    &error))
			return ql_command_report_error(COMMAND, error);
	return EX_OK;
}

static void add_hex(ql_text_table_t *table, uint64_t value)
{
	char text[QL_HEX64_MAX];

	ql_hex64_format(text, value);
	ql_text_table_add_cell(table, value ? text : NULL);
}

static void add_row(ql_text_table_t *table, const ql_history_event_t *event)
{
	ql_text_table_add_number(table, (json_int_t)(event->clock >>
						     CLOCK_COUNTER_BITS));
	ql_text_table_add_cell(table, event->node);
	ql_text_table_add_cell(table, event->name);
	add_hex(table, event->id.request);
	add_hex(table, event->id.attempt);
	ql_text_table_add_cell(table, event->service);
	ql_text_table_add_cell(table, event->endpoint);
	ql_text_table_add_number(table, (json_int_t)event->version);
	ql_text_table_add_cell(table, event->outcome);
	ql_text_table_add_cell(table, event->reason);
}

static void print_table(const ql_history_t *history)
{
	ql_text_table_t table;
	guint i;

	ql_text_table_init(&table, titles);
	for (i = 0; i < history->events->len; i++)
		add_row(&table, ql_history_at(history, i));
	ql_text_table_print(&table);
	ql_text_table_finish(&table);
}

static void print_tree(const ql_history_t *history, uint64_t request)
{
	char *tree = ql_history_format_tree(history, request);

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
	char *picture = ql_history_format_svg(history);
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

static void print_warnings(const ql_history_t *history)
{
	size_t misordered = ql_history_count_misordered(history);

	if (misordered)
		fprintf(stderr,
			"quetzalloft " COMMAND ": %zu attempts have events in "
			"an impossible order: a process lost its clock\n",
			misordered);
	if (history->overwritten)
		fprintf(stderr,
			"quetzalloft " COMMAND ": %" PRIu64 " older events "
			"were overwritten\n",
			history->overwritten);
}

static int show(const ql_history_t *history, const timeline_arguments_t *args,
		const ql_timeline_filter_t *filter, bool json)
{
	int status = EX_OK;

	print_warnings(history);
	if (args->save->count)
		status = save(history, args->save->filename[0]);
	if (status == EX_OK && args->svg->count)
		status = draw(history, args->svg->filename[0]);
	if (json)
		ql_history_save(history, stdout);
	else if (filter->request)
		print_tree(history, filter->request);
	else
		print_table(history);
	return status;
}

static int run(const ql_options_t *options, const timeline_arguments_t *args)
{
	ql_timeline_filter_t filter;
	ql_history_t history;
	GError *error = NULL;
	int status, output_status;

	if (parse_filter(&filter, args, &error)) {
		ql_command_report_error(COMMAND, error);
		return EX_USAGE;
	}
	ql_history_init(&history);
	status = args->from->count ? load(&history, args, &filter)
				   : fetch_from_all(&history, options, &filter);
	if (status == EX_OK || status == QL_EXIT_PARTIAL) {
		ql_history_sort(&history);
		output_status = show(&history, args, &filter, options->json);
		status = output_status == EX_OK ? status : output_status;
	}
	ql_history_finish(&history);
	return status;
}

int ql_command_timeline(int argc, char **argv)
{
	ql_arguments_t arguments;
	ql_options_t options;
	timeline_arguments_t args;
	int status;

	ql_arguments_init(&arguments, COMMAND, SUMMARY, true);
	add_timeline_arguments(&arguments, &args);
	arguments.offline = args.from;
	if (ql_arguments_parse(&arguments, argc, argv, &options, &status))
		status = run(&options, &args);
	ql_arguments_finish(&arguments);
	return status;
}
