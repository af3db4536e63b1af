#include "cli/history.h"

#include <inttypes.h>
#include <string.h>

#define LANE_HEIGHT_PX 56
#define TOP_MARGIN_PX 40
#define LEFT_MARGIN_PX 160
#define EVENT_SPACING_PX 26
#define DOT_RADIUS_PX 6
#define CLOCK_COUNTER_BITS 16

/* Colour of an event: the first entry whose prefix matches the name. */
static const struct {
	const char *prefix;
	const char *colour;
} colours[] = {
	{"request_", "#333333"},     {"attempt_answered", "#2a8f4f"},
	{"attempt_sent", "#2f6fb3"}, {"attempt_", "#c0392b"},
	{"gate_refused", "#c0392b"}, {"gate_", "#7f8c2f"},
	{"endpoint_", "#8e5ea2"},    {"", "#777777"},
};

/*
 * State of a drawing. @nodes has the name of the node of each lane, in the
 * order of their first events. @last_of_attempt maps an attempt to the index
 * of its last event drawn, plus 1.
 */
typedef struct {
	const ql_history_t *history;
	GPtrArray *nodes;
	GHashTable *last_of_attempt;
	GString *text;
} svg_drawing_t;

static guint find_lane(svg_drawing_t *drawing, const char *node)
{
	guint i;

	for (i = 0; i < drawing->nodes->len; i++)
		if (!strcmp(g_ptr_array_index(drawing->nodes, i), node))
			return i;
	g_ptr_array_add(drawing->nodes, (gpointer)node);
	return drawing->nodes->len - 1;
}

static guint lane_y(guint lane)
{
	return TOP_MARGIN_PX + lane * LANE_HEIGHT_PX;
}

static guint event_x(guint index)
{
	return LEFT_MARGIN_PX + index * EVENT_SPACING_PX;
}

static const char *event_colour(const char *event)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(colours); i++)
		if (g_str_has_prefix(event, colours[i].prefix))
			return colours[i].colour;
	return "#777777";
}

static void append_escaped(GString *text, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void append_escaped(GString *text, const char *format, ...)
{
	va_list args;
	char *escaped;

	va_start(args, format);
	escaped = g_markup_vprintf_escaped(format, args);
	va_end(args);
	g_string_append(text, escaped);
	g_free(escaped);
}

/* Draws a line from the previous event of the same attempt. */
static void draw_line(svg_drawing_t *drawing, guint index)
{
	const ql_history_event_t *event =
		ql_history_at(drawing->history, index);
	gpointer previous;
	guint from;

	if (!event->id.attempt)
		return;
	previous = g_hash_table_lookup(drawing->last_of_attempt,
				       &event->id.attempt);
	if (previous) {
		from = GPOINTER_TO_UINT(previous) - 1;
		g_string_append_printf(
			drawing->text,
			"<line x1=\"%u\" y1=\"%u\" x2=\"%u\" y2=\"%u\" "
			"stroke=\"#999999\"/>\n",
			event_x(from),
			lane_y(find_lane(
				drawing,
				ql_history_at(drawing->history, from)->node)),
			event_x(index),
			lane_y(find_lane(drawing, event->node)));
	}
	g_hash_table_insert(drawing->last_of_attempt,
			    (gpointer)&event->id.attempt,
			    GUINT_TO_POINTER(index + 1));
}

static void draw_dot(svg_drawing_t *drawing, guint index)
{
	const ql_history_event_t *event =
		ql_history_at(drawing->history, index);

	g_string_append_printf(drawing->text,
			       "<circle cx=\"%u\" cy=\"%u\" r=\"%d\" "
			       "fill=\"%s\"><title>",
			       event_x(index),
			       lane_y(find_lane(drawing, event->node)),
			       DOT_RADIUS_PX, event_colour(event->name));
	append_escaped(drawing->text,
		       "%s at %s, clock %" PRIu64 " ms\n"
		       "request %016" PRIx64 " attempt %016" PRIx64 "\n"
		       "%s %s %s %s %s version %" PRIu64,
		       event->name, event->node,
		       event->clock >> CLOCK_COUNTER_BITS, event->id.request,
		       event->id.attempt, event->service, event->endpoint,
		       event->class_name, event->outcome, event->reason,
		       event->version);
	g_string_append(drawing->text, "</title></circle>\n");
}

static void draw_lane(svg_drawing_t *drawing, guint lane, guint width)
{
	guint y = lane_y(lane);

	g_string_append_printf(drawing->text,
			       "<line x1=\"%u\" y1=\"%u\" x2=\"%u\" y2=\"%u\" "
			       "stroke=\"#dddddd\"/>\n"
			       "<text x=\"8\" y=\"%u\">",
			       LEFT_MARGIN_PX, y, width, y, y + 4);
	append_escaped(drawing->text, "%s",
		       (const char *)g_ptr_array_index(drawing->nodes, lane));
	g_string_append(drawing->text, "</text>\n");
}

static void draw(svg_drawing_t *drawing)
{
	guint n = drawing->history->events->len;
	guint width = event_x(n) + EVENT_SPACING_PX;
	guint i;

	for (i = 0; i < n; i++)
		find_lane(drawing, ql_history_at(drawing->history, i)->node);
	g_string_append_printf(
		drawing->text,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%u\" "
		"height=\"%u\" font-family=\"sans-serif\" font-size=\"13\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"#ffffff\"/>\n",
		width, lane_y(drawing->nodes->len));
	for (i = 0; i < drawing->nodes->len; i++)
		draw_lane(drawing, i, width);
	for (i = 0; i < n; i++)
		draw_line(drawing, i);
	for (i = 0; i < n; i++)
		draw_dot(drawing, i);
	g_string_append(drawing->text, "</svg>\n");
}

char *ql_history_format_svg(const ql_history_t *history)
{
	svg_drawing_t drawing = {
		.history = history,
		.nodes = g_ptr_array_new(),
		.last_of_attempt =
			g_hash_table_new(g_int64_hash, g_int64_equal),
		.text = g_string_new(NULL),
	};

	draw(&drawing);
	g_hash_table_destroy(drawing.last_of_attempt);
	g_ptr_array_free(drawing.nodes, TRUE);
	return g_string_free(drawing.text, FALSE);
}
