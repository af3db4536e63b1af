#include "cli/output.h"

#include <stdio.h>
#include <stdlib.h>

#define COLUMN_GAP 2
#define INDENT 2

void ql_sheet_init(ql_sheet_t *sheet, const char *const *titles)
{
	sheet->n_columns = 0;
	sheet->cells = g_ptr_array_new_with_free_func(g_free);
	for (; titles[sheet->n_columns]; sheet->n_columns++)
		ql_sheet_add(sheet, titles[sheet->n_columns]);
}

void ql_sheet_finish(ql_sheet_t *sheet)
{
	g_ptr_array_free(sheet->cells, TRUE);
}

static char *printable(const char *text)
{
	GString *out = g_string_new(NULL);
	char *valid = g_utf8_make_valid(text, -1);
	const char *p;

	for (p = valid; *p; p = g_utf8_next_char(p)) {
		gunichar character = g_utf8_get_char(p);

		g_string_append_unichar(out, g_unichar_isprint(character)
						     ? character
						     : '?');
	}
	g_free(valid);
	return g_string_free(out, FALSE);
}

void ql_sheet_add(ql_sheet_t *sheet, const char *text)
{
	g_ptr_array_add(sheet->cells, printable(text && *text ? text : "-"));
}

void ql_sheet_add_number(ql_sheet_t *sheet, json_int_t number)
{
	g_ptr_array_add(sheet->cells,
			g_strdup_printf("%" JSON_INTEGER_FORMAT, number));
}

void ql_sheet_add_member(ql_sheet_t *sheet, const json_t *object,
			 const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		ql_sheet_add_number(sheet, json_integer_value(value));
	else if (json_is_boolean(value))
		ql_sheet_add(sheet, json_is_true(value) ? "yes" : "no");
	else
		ql_sheet_add(sheet, json_string_value(value));
}

static const char *cell(const ql_sheet_t *sheet, size_t row, size_t column)
{
	return g_ptr_array_index(sheet->cells, row * sheet->n_columns + column);
}

static glong column_width(const ql_sheet_t *sheet, size_t n_rows, size_t column)
{
	glong width = 0;
	size_t row;

	for (row = 0; row < n_rows; row++)
		width = MAX(width, g_utf8_strlen(cell(sheet, row, column), -1));
	return width;
}

static void append_cell(GString *text, const char *content, glong width)
{
	glong pad = width - g_utf8_strlen(content, -1) + COLUMN_GAP;

	g_string_append_printf(text, "%s%*s", content, (int)pad, "");
}

char *ql_sheet_text(const ql_sheet_t *sheet)
{
	GString *text = g_string_new(NULL);
	size_t n_rows = sheet->cells->len / sheet->n_columns;
	size_t last = sheet->n_columns - 1;
	size_t row, column;

	for (row = 0; row < n_rows; row++) {
		for (column = 0; column < last; column++)
			append_cell(text, cell(sheet, row, column),
				    column_width(sheet, n_rows, column));
		g_string_append_printf(text, "%s\n", cell(sheet, row, last));
	}
	return g_string_free(text, FALSE);
}

void ql_sheet_print(const ql_sheet_t *sheet)
{
	char *text = ql_sheet_text(sheet);

	fputs(text, stdout);
	g_free(text);
}

void ql_output_json(json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(INDENT) | JSON_SORT_KEYS |
					       JSON_ENCODE_ANY);

	puts(text ? text : "null");
	free(text);
	json_decref(value);
}
