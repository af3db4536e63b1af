#include "cli/output.h"

#include <stdio.h>
#include <stdlib.h>

#define COLUMN_GAP_CHARS 2
#define JSON_INDENT_CHARS 2

void ql_text_table_init(ql_text_table_t *table, const char *const *titles)
{
	table->n_columns = 0;
	table->cells = g_ptr_array_new_with_free_func(g_free);
	for (; titles[table->n_columns]; table->n_columns++)
		ql_text_table_add_cell(table, titles[table->n_columns]);
}

void ql_text_table_finish(ql_text_table_t *table)
{
	g_ptr_array_free(table->cells, TRUE);
}

/* Returns valid UTF-8 with '?' for each character that is not printable. */
static char *replace_unprintable(const char *text)
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

void ql_text_table_add_cell(ql_text_table_t *table, const char *text)
{
	g_ptr_array_add(table->cells,
			replace_unprintable(text && *text ? text : "-"));
}

void ql_text_table_add_number(ql_text_table_t *table, json_int_t number)
{
	g_ptr_array_add(table->cells,
			g_strdup_printf("%" JSON_INTEGER_FORMAT, number));
}

void ql_text_table_add_member(ql_text_table_t *table, const json_t *object,
			      const char *key)
{
	const json_t *value = json_object_get(object, key);

	if (json_is_integer(value))
		ql_text_table_add_number(table, json_integer_value(value));
	else if (json_is_boolean(value))
		ql_text_table_add_cell(table,
				       json_is_true(value) ? "yes" : "no");
	else
		ql_text_table_add_cell(table, json_string_value(value));
}

static const char *cell(const ql_text_table_t *table, size_t row, size_t column)
{
	return g_ptr_array_index(table->cells, row * table->n_columns + column);
}

static glong column_width(const ql_text_table_t *table, size_t n_rows,
			  size_t column)
{
	glong width = 0;
	size_t row;

	for (row = 0; row < n_rows; row++)
		width = MAX(width, g_utf8_strlen(cell(table, row, column), -1));
	return width;
}

static void append_cell(GString *text, const char *content, glong width)
{
	glong pad = width - g_utf8_strlen(content, -1) + COLUMN_GAP_CHARS;

	g_string_append_printf(text, "%s%*s", content, (int)pad, "");
}

char *ql_text_table_format(const ql_text_table_t *table)
{
	GString *text = g_string_new(NULL);
	size_t n_rows = table->cells->len / table->n_columns;
	size_t last = table->n_columns - 1;
	size_t row, column;

	for (row = 0; row < n_rows; row++) {
		for (column = 0; column < last; column++)
			append_cell(text, cell(table, row, column),
				    column_width(table, n_rows, column));
		g_string_append_printf(text, "%s\n", cell(table, row, last));
	}
	return g_string_free(text, FALSE);
}

void ql_text_table_print(const ql_text_table_t *table)
{
	char *text = ql_text_table_format(table);

	fputs(text, stdout);
	g_free(text);
}

void ql_output_json(json_t *value)
{
	char *text =
		json_dumps(value, JSON_INDENT(JSON_INDENT_CHARS) |
					  JSON_SORT_KEYS | JSON_ENCODE_ANY);

	puts(text ? text : "null");
	free(text);
	json_decref(value);
}
