#ifndef QL_CLI_OUTPUT_H
#define QL_CLI_OUTPUT_H

/**
 * DOC: What commands print: aligned tables for people, JSON for programs.
 */

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/**
 * struct ql_text_table - A table of text.
 * @n_columns: its width
 * @cells: the cells row by row, the titles first
 */
typedef struct ql_text_table {
	size_t n_columns;
	GPtrArray *cells;
} ql_text_table_t;

/**
 * ql_text_table_init() - Begin a table.
 * @table: the table
 * @titles: a title for each column, ended by NULL
 */
void ql_text_table_init(ql_text_table_t *table, const char *const *titles);

void ql_text_table_finish(ql_text_table_t *table);

/**
 * ql_text_table_add_cell() - Add a cell; rows fill from left to right.
 * @table: the table
 * @text: its text, NULL or empty for "-"; control characters become '?', so
 *        that no name can forge a line or drive the terminal
 */
void ql_text_table_add_cell(ql_text_table_t *table, const char *text);

/**
 * ql_text_table_add_number() - Add a cell with a whole number.
 * @table: the table
 * @number: the number
 */
void ql_text_table_add_number(ql_text_table_t *table, json_int_t number);

/**
 * ql_text_table_add_member() - Add a cell with the member of a JSON object.
 * @table: the table
 * @object: the object
 * @key: name of the member; "-" stands for one that is absent
 */
void ql_text_table_add_member(ql_text_table_t *table, const json_t *object,
			      const char *key);

/**
 * ql_text_table_format() - Align the columns.
 * @table: the table
 *
 * Return: a string to free with g_free().
 */
char *ql_text_table_format(const ql_text_table_t *table);

/**
 * ql_text_table_print() - Write the table to standard output.
 * @table: the table
 */
void ql_text_table_print(const ql_text_table_t *table);

/**
 * ql_output_json() - Write a value and a line end to standard output.
 * @value: the value; a reference is dropped
 */
void ql_output_json(json_t *value);

G_END_DECLS

#endif
