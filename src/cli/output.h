#ifndef QL_CLI_OUTPUT_H
#define QL_CLI_OUTPUT_H

/**
 * DOC: Output of commands: tables with aligned columns, or JSON.
 */

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/**
 * struct ql_text_table - A table of text cells with a row of titles.
 * @n_columns: number of columns
 * @cells: the cells as owned strings, row by row; the first row has the titles
 */
typedef struct ql_text_table {
	size_t n_columns;
	GPtrArray *cells;
} ql_text_table_t;

/**
 * ql_text_table_init() - Initialize a table with its titles.
 * @table: the table; freed by ql_text_table_finish()
 * @titles: title of each column, terminated by NULL; copied
 */
void ql_text_table_init(ql_text_table_t *table, const char *const *titles);

/**
 * ql_text_table_finish() - Free the cells of a table.
 * @table: the table
 */
void ql_text_table_finish(ql_text_table_t *table);

/**
 * ql_text_table_add_cell() - Append a cell; rows are filled from left to
 * right.
 * @table: the table
 * @text: text of the cell, copied; NULL and "" become "-". Characters that are
 *        not printable become '?', so that a name from another process can
 *        neither add a line nor send escape sequences to the terminal.
 */
void ql_text_table_add_cell(ql_text_table_t *table, const char *text);

/**
 * ql_text_table_add_number() - Append a cell with an integer.
 * @table: the table
 * @number: the integer, written in decimal
 */
void ql_text_table_add_number(ql_text_table_t *table, json_int_t number);

/**
 * ql_text_table_add_member() - Append a cell with a member of a JSON object.
 * @table: the table
 * @object: the object; may be NULL
 * @key: name of the member. Booleans are written as "yes" or "no"; "-" stands
 *       for a member that is absent or of a type other than integer, boolean
 *       and string.
 */
void ql_text_table_add_member(ql_text_table_t *table, const json_t *object,
			      const char *key);

/**
 * ql_text_table_format() - Format a table with aligned columns.
 * @table: the table; its last row must be complete
 *
 * Return: one line for each row; the caller frees it with g_free().
 */
char *ql_text_table_format(const ql_text_table_t *table);

/**
 * ql_text_table_print() - Print a table to standard output.
 * @table: the table, as for ql_text_table_format()
 */
void ql_text_table_print(const ql_text_table_t *table);

/**
 * ql_output_json() - Print a JSON value and a newline to standard output.
 * @value: the value; the function drops the caller's reference
 */
void ql_output_json(json_t *value);

G_END_DECLS

#endif
